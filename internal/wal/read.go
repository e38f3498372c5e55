package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"frosthub/idempotency"
	"io/fs"
	"slices"
	"strings"
	"time"
)

// Contents is what a disk has.
type Contents struct {
	ID          ID
	Records     int
	Segments    int
	TornBytes   int      // bytes of a write at the end that the disk never confirmed
	Damage      []string // what is missing or can't be read, a line each
	Leftover    []string // files that an earlier life did not get to remove
	LastSegment uint64   // the last segment of which there is a file

	tail uint64 // the last segment, if it can be written on
	size int64  // up to where
	seq  uint64 // of the last record
}

// Complete tells whether nothing is missing that the disk had confirmed.
func (f *Contents) Complete() bool { return len(f.Damage) == 0 }

// Init makes an empty store where there is none. That nothing has run under this name before, or that what has is not
// repeated, is its caller's word.
func Init(d Disk, box string, made time.Duration, mark uint64) error {
	names, err := d.Names()
	if err != nil {
		return err
	}
	for _, n := range names {
		if n != LockName && !strings.HasSuffix(n, newMark) {
			return fmt.Errorf("the folder is not empty: it has %s", n)
		}
	}
	return WriteFile(d, idName, ID{Node: box, Created: made, Mark: mark}.append(nil))
}

// Identify reads whose store it is.
func Identify(d Disk) (ID, error) {
	text, err := d.Read(idName)
	if errors.Is(err, fs.ErrNotExist) {
		return ID{}, ErrNoStore
	}
	if err != nil {
		return ID{}, err
	}
	return parseID(text)
}

const missingMost = 1024 // segments at a time: more are never kept

// reader reads a store.
type reader struct {
	Contents
	d      Disk
	s      *idempotency.Store
	each   func(idempotency.LogEntry) error
	stop   error         // what it said
	at     time.Duration // of the last record
	broken bool          // what was read last ended in damage: the next record ends the hole
	any    uint64        // the last segment that a record was read of
	oldest uint64        // the oldest segment that must be there
	first  uint64        // that is
	from   time.Duration // when it, or the first of which anything can be read, was opened
}

// Read reads what there is into a store, in its order; each, if it is not nil, is called for each record, and ends
// the reading by an error. What is damaged is told to the store as a hole. Other errors are of the disk, or say that the store is not ours.
func Read(d Disk, box string, s *idempotency.Store, each func(idempotency.LogEntry) error) (Contents, error) {
	r := reader{d: d, s: s, each: each}
	var err error
	if r.ID, err = Identify(d); err != nil {
		return r.Contents, err
	}
	if box != "" && r.ID.Node != box {
		return r.Contents, fmt.Errorf("%w: it was made for box %s", ErrWrongOwner, r.ID.Node)
	}
	names, err := d.Names()
	if err != nil {
		return r.Contents, err
	}
	kinds := map[uint64]string{}
	for _, name := range names {
		if strings.HasSuffix(name, newMark) {
			r.Leftover = append(r.Leftover, name)
		}
		if n, ok := numberOf(name, logMark); ok {
			kinds[n] += "l"
		}
		if n, ok := numberOf(name, printsMark); ok {
			kinds[n] += "p"
		}
	}
	numbers := make([]uint64, 0, len(kinds))
	for n := range kinds {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for i, n := range numbers {
		r.LastSegment = n
		if i == 0 {
			r.first = n
		} else if n != numbers[i-1]+1 {
			r.missing(numbers[i-1]+1, n)
		}
		if strings.Contains(kinds[n], "p") {
			p, err := r.prints(n)
			if err != nil {
				return r.Contents, err
			}
			if p && kinds[n] != "p" {
				r.Leftover = append(r.Leftover, logName(n))
			}
			if p {
				continue
			}
			if kinds[n] == "p" {
				r.damage("%s can't be read", printsName(n))
				s.LoadLostSegment(n)
				continue
			}
		}
		if err := r.log(n, i == len(numbers)-1); err != nil {
			return r.Contents, err
		}
	}
	if r.broken {
		s.AddHistoryLoss(idempotency.Forever)
	}
	if r.oldest > 0 && r.first > r.oldest {
		r.damage("segments %d to %d are missing", r.oldest, r.first-1)
		s.LoadLostPrefix(max(r.oldest, r.first-min(r.first, missingMost)), r.from)
	}
	return r.Contents, nil
}

func (r *reader) damage(format string, args ...any) {
	r.Damage = append(r.Damage, fmt.Sprintf(format, args...))
	r.broken = true
}

// missing has the store know of segments that are not there, before that one.
func (r *reader) missing(from, before uint64) {
	r.damage("segments %d to %d are missing", from, before-1)
	for n := from; n < before && n < from+missingMost; n++ {
		r.s.LoadLostSegment(n)
	}
}

// follows has what is read next follow what was read last.
func (r *reader) follows(seq uint64, at time.Duration) {
	if r.seq > 0 && seq != r.seq+1 && !r.broken {
		r.damage("records %d to %d are missing", r.seq+1, seq-1)
	}
	if r.broken {
		r.s.AddHistoryLoss(at)
		r.broken = false
	}
}

func (r *reader) begins(at time.Duration) {
	if r.from == 0 {
		r.from = at
	}
}

// prints reads those of a segment, and tells whether they are whole.
func (r *reader) prints(n uint64) (bool, error) {
	data, err := r.d.Read(printsName(n))
	if err != nil {
		return false, err
	}
	p, err := r.ID.parsePrints(data, n)
	if err != nil {
		return false, nil
	}
	if r.broken {
		r.s.AddHistoryLoss(p.From)
		r.broken = false
	}
	r.s.LoadFingerprints(p)
	r.begins(p.From)
	r.seq, r.at = p.LastSeq, max(r.at, p.Until)
	r.Segments++
	return true, nil
}

// log reads a segment's records.
func (r *reader) log(n uint64, last bool) error {
	data, err := r.d.Read(logName(n))
	if err != nil {
		return err
	}
	r.Segments++
	at := 0
	for at < len(data) {
		size, short, err := r.ID.frameAt(data[at:], n, r.record)
		if r.stop != nil {
			return r.stop
		}
		if err == nil {
			at += size
			continue
		}
		next := r.nextFrame(data, at+1, n)
		if next < 0 && last && torn(data[at:], at, short) {
			r.TornBytes = len(data) - at
			break
		}
		end := next
		if next < 0 {
			end = len(data)
		}
		r.damage("%s: %d bytes at %d can't be read", logName(n), end-at, at)
		at = end
	}
	switch {
	case r.any == n && last && !r.broken:
		r.tail, r.size = n, int64(len(data)-r.TornBytes)
	case r.any == n:
	case last && !r.broken: // it was just being made
		r.LastSegment = n - 1
	default:
		if !r.broken {
			r.damage("%s has no record", logName(n))
		}
		r.s.LoadLostSegment(n)
	}
	return nil
}

// nextFrame finds the next one that is whole, -1 if there is none.
func (r *reader) nextFrame(data []byte, from int, segment uint64) int {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for from < len(data) {
		i := bytes.Index(data[from:], magic)
		if i < 0 {
			return -1
		}
		from += i
		if _, _, err := r.ID.frameAt(data[from:], segment, func(idempotency.LogEntry) {}); err == nil {
			return from
		}
		from++
	}
	return -1
}

func (r *reader) record(w idempotency.LogEntry) {
	if w.Kind != idempotency.EntrySegmentOpened && r.any != w.Segment { // its head is gone
		r.s.LoadLostSegment(w.Segment)
	}
	r.any = w.Segment
	r.follows(w.Seq, w.At)
	r.begins(w.At)
	r.seq, r.at = w.Seq, max(r.at, w.At)
	r.Records++
	switch w.Kind {
	case idempotency.EntrySegmentOpened:
		r.oldest = max(r.oldest, w.Subject)
	case idempotency.EntrySegmentDropped:
		r.oldest = max(r.oldest, w.Subject+1)
	}
	r.s.Load(w)
	if r.each != nil && r.stop == nil {
		r.stop = r.each(w)
	}
}

// NeedsNewSegment tells whether what follows has to stand in a segment of its own.
func (f *Contents) NeedsNewSegment() bool { return f.tail == 0 }
