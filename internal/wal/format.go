// Package wal puts what package keep writes on a disk, and reads it back. It decides nothing: what stands where, when a
// segment ends and when it may go is keep's. The format is told in docs/notes/keep.md.
package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"frosthub/idempotency"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/cespare/xxhash/v2"
)

const (
	idName      = "store"
	LockName    = "lock" // the lock of who uses it
	logMark     = ".log"
	printsMark  = ".prints"
	newMark     = ".new"
	version     = 1
	frameMagic  = 0x4b455246 // little end first: FREK
	printsMagic = 0x4b455250
	frameHead   = 32       // magic, length, number of records, checksum of these and of what follows; first number, checksum of all
	recordHead  = 29       // kind, time, key, length of the data
	frameEnd    = 0xff     // the last byte of each: one that ends in zeros was never written whole
	printsHead  = 72       // magic, length, number, last, from, till, keys, hole, accepted, checksum
	payloadMost = 64 << 20 // bytes of a frame: far beyond any that is written
	sector      = 512      // a disk writes whole ones, in any order until it is told to have them all
)

// Errors of files.
var (
	ErrNoStore    = errors.New("no store: one is made by keep init")
	ErrWrongOwner = errors.New("not this store's")
	ErrVersion    = errors.New("a store of another version")
	errFrame      = errors.New("a frame that can't be read")
)

// ID tells stores apart: a file of another one is not taken for one of this.
type ID struct {
	Node    string
	Created time.Duration // since 1970
	Mark    uint64        // drawn when it was made
}

func (i ID) append(b []byte) []byte {
	b = fmt.Appendf(b, "frosthub keep %d\nbox %s\nmade %s\nmark %016x\n", version, strconv.Quote(i.Node),
		time.Unix(0, int64(i.Created)).UTC().Format(time.RFC3339Nano), i.Mark)
	return fmt.Appendf(b, "sum %016x\n", xxhash.Sum64(b))
}

func parseID(b []byte) (ID, error) {
	var i ID
	body, sum, ok := bytes.Cut(b, []byte("sum "))
	if !ok || !strings.HasPrefix(string(b), "frosthub keep ") {
		return i, ErrWrongOwner
	}
	if !strings.HasPrefix(string(b), fmt.Sprintf("frosthub keep %d\n", version)) {
		return i, ErrVersion
	}
	var box, made, mark string
	for line := range strings.Lines(string(body)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		switch name {
		case "box":
			box = value
		case "made":
			made = value
		case "mark":
			mark = value
		}
	}
	at, err := time.Parse(time.RFC3339Nano, made)
	if err == nil {
		i.Mark, err = strconv.ParseUint(mark, 16, 64)
	}
	if err == nil {
		i.Node, err = strconv.Unquote(box)
	}
	if err != nil || strings.TrimSpace(string(sum)) != fmt.Sprintf("%016x", xxhash.Sum64(body)) {
		return ID{}, fmt.Errorf("%s: %w", idName, ErrWrongOwner)
	}
	i.Created = time.Duration(at.UnixNano())
	return i, nil
}

func logName(n uint64) string    { return fmt.Sprintf("%016d%s", n, logMark) }
func printsName(n uint64) string { return fmt.Sprintf("%016d%s", n, printsMark) }

// numberOf reads a file's name.
func numberOf(name, mark string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, mark)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil && n > 0
}

// sum is the checksum of bytes that stand in a segment of a store: the same elsewhere are not taken.
func (i ID) sum(segment uint64, parts ...[]byte) uint64 {
	d := xxhash.New()
	var salt [16]byte
	binary.LittleEndian.PutUint64(salt[:], i.Mark)
	binary.LittleEndian.PutUint64(salt[8:], segment)
	_, _ = d.Write(salt[:]) // never an error
	for _, p := range parts {
		_, _ = d.Write(p)
	}
	return d.Sum64()
}

// appendFrame appends the records as one frame; all are of one segment, their numbers follow each other.
func (i ID) appendFrame(b []byte, records []idempotency.LogEntry) []byte {
	at := len(b)
	b = append(b, make([]byte, frameHead)...)
	for k := range records {
		w := &records[k]
		key := w.Key
		if w.Kind == idempotency.EntrySegmentOpened || w.Kind == idempotency.EntrySegmentDropped {
			binary.LittleEndian.PutUint64(key[:], w.Subject)
		}
		b = append(b, byte(w.Kind))
		b = binary.LittleEndian.AppendUint64(b, uint64(w.At))
		b = append(b, key[:]...)
		b = binary.LittleEndian.AppendUint32(b, uint32(len(w.Data)))
		b = append(b, w.Data...)
	}
	b = append(b, frameEnd)
	head := b[at : at+frameHead]
	binary.LittleEndian.PutUint32(head, frameMagic)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(b)-at-frameHead))
	binary.LittleEndian.PutUint32(head[8:], uint32(len(records)))
	binary.LittleEndian.PutUint64(head[16:], records[0].Seq)
	binary.LittleEndian.PutUint32(head[12:], i.headSum(head))
	binary.LittleEndian.PutUint64(head[24:], i.sum(records[0].Segment, head[:24], b[at+frameHead:]))
	return b
}

func (i ID) headSum(head []byte) uint32 { return uint32(i.sum(0, head[:12], head[16:24])) }

// frameAt reads the frame that begins with b, calls f for each of its records, and gives its length. short is how long b
// would have to be for it to be whole, as far as its head tells; 0 if it is.
func (i ID) frameAt(b []byte, segment uint64, f func(idempotency.LogEntry)) (n, short int, err error) {
	if len(b) < frameHead {
		return 0, frameHead, errFrame
	}
	if binary.LittleEndian.Uint32(b) != frameMagic || binary.LittleEndian.Uint32(b[12:]) != i.headSum(b) {
		return 0, 0, errFrame
	}
	length, count, seq := int(binary.LittleEndian.Uint32(b[4:])), binary.LittleEndian.Uint32(b[8:]), binary.LittleEndian.Uint64(b[16:])
	if length > payloadMost || length == 0 {
		return 0, 0, errFrame
	}
	n = frameHead + length
	if len(b) < n {
		return 0, n, errFrame
	}
	payload := b[frameHead : n-1]
	if binary.LittleEndian.Uint64(b[24:]) != i.sum(segment, b[:24], b[frameHead:n]) {
		return 0, 0, errFrame
	}
	for range count {
		if len(payload) < recordHead {
			return 0, 0, errFrame
		}
		w := idempotency.LogEntry{
			Seq: seq, Kind: idempotency.EntryKind(payload[0]), Segment: segment, At: time.Duration(binary.LittleEndian.Uint64(payload[1:])),
			Key: idempotency.Key(payload[9:25]),
		}
		size := int(binary.LittleEndian.Uint32(payload[25:]))
		if payload = payload[recordHead:]; size > len(payload) {
			return 0, 0, errFrame
		}
		if w.Kind == idempotency.EntrySegmentOpened || w.Kind == idempotency.EntrySegmentDropped {
			w.Subject, w.Key = binary.LittleEndian.Uint64(w.Key[:]), idempotency.Key{}
		}
		w.Data, payload = payload[:size:size], payload[size:]
		f(w)
		seq++
	}
	return n, 0, nil
}

// torn tells whether what is left of a file may be a write that the disk never confirmed: it is short, or one of its sectors was
// never written. One that is whole and wrong was whole once.
func torn(rest []byte, at, short int) bool {
	if short > 0 {
		return true
	}
	zeros := make([]byte, sector)
	for from := 0; from < len(rest); {
		to := min(len(rest), from+sector-(at+from)%sector)
		if bytes.Equal(rest[from:to], zeros[:to-from]) {
			return true
		}
		from = to
	}
	return false
}

// appendPrints is the file of a segment of which only the prints are left.
func (i ID) appendPrints(b []byte, p *idempotency.Fingerprints) ([]byte, error) {
	var filter []byte
	if p.Filter != nil {
		var err error
		if filter, err = p.Filter.MarshalBinary(); err != nil {
			return nil, err
		}
	}
	accepted := uint64(0)
	if p.Accepted {
		accepted = 1
	}
	head := binary.LittleEndian.AppendUint32(nil, printsMagic)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(filter)))
	for _, v := range [...]uint64{p.Segment, p.LastSeq, uint64(p.From), uint64(p.Until), uint64(p.Keys), uint64(p.LostBefore), accepted} {
		head = binary.LittleEndian.AppendUint64(head, v)
	}
	head = binary.LittleEndian.AppendUint64(head, i.sum(p.Segment, head, filter))
	return append(append(b, head...), filter...), nil
}

func (i ID) parsePrints(b []byte, number uint64) (idempotency.Fingerprints, error) {
	var p idempotency.Fingerprints
	if len(b) < printsHead || binary.LittleEndian.Uint32(b) != printsMagic {
		return p, errFrame
	}
	at := func(n int) uint64 { return binary.LittleEndian.Uint64(b[n:]) }
	filter := b[printsHead:]
	if int(binary.LittleEndian.Uint32(b[4:])) != len(filter) || at(64) != i.sum(number, b[:64], filter) || at(8) != number {
		return p, errFrame
	}
	p = idempotency.Fingerprints{
		Segment: number, LastSeq: at(16), From: time.Duration(at(24)), Until: time.Duration(at(32)), Keys: int(at(40)),
		LostBefore: time.Duration(at(48)), Accepted: at(56) == 1,
	}
	if len(filter) > 0 {
		p.Filter = &bloom.BloomFilter{}
		if err := p.Filter.UnmarshalBinary(filter); err != nil {
			return p, errFrame
		}
	}
	return p, nil
}
