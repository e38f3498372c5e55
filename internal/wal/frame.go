package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"time"

	"frosthub/idempotency"

	"github.com/cespare/xxhash/v2"
)

// Sizes in frames, in bytes.
const (
	frameHeaderSize  = 32
	recordHeaderSize = 29
	maxPayloadSize   = 64 << 20 // larger than the payload of any frame that is written
	sectorSize       = 512      // a disk writes whole sectors, in any order until a sync
)

// Offsets in the header of a frame.
const (
	frameLengthOffset         = 4
	frameCountOffset          = 8
	frameHeaderChecksumOffset = 12
	frameSeqOffset            = 16
	frameChecksumOffset       = 24
)

// Offsets in the header of a record.
const (
	recordTimeOffset       = 1
	recordKeyOffset        = 9
	recordDataLengthOffset = 25
)

const (
	frameMagic = 0x4b455246
	frameEnd   = 0xff // last byte of each frame; a frame that ends in zeros was not completely written
)

// checksum returns the salted checksum of parts of a file of the given segment.
func (id ID) checksum(segment uint64, parts ...[]byte) uint64 {
	var salt [16]byte
	binary.LittleEndian.PutUint64(salt[:], id.Mark)
	binary.LittleEndian.PutUint64(salt[8:], segment)
	digest := xxhash.New()
	_, _ = digest.Write(salt[:]) // a hash returns no errors
	for _, part := range parts {
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// headerChecksum returns the checksum of a frame's header.
func (id ID) headerChecksum(header []byte) uint32 {
	return uint32(id.checksum(0, header[:frameHeaderChecksumOffset], header[frameSeqOffset:frameChecksumOffset]))
}

// hasSubject reports whether records of the given kind have a segment number in place of a key.
func hasSubject(kind idempotency.EntryKind) bool {
	return kind == idempotency.EntrySegmentOpened || kind == idempotency.EntrySegmentDropped
}

// appendFrame appends the records as one frame. They must belong to one segment and have
// consecutive sequence numbers.
func (id ID) appendFrame(buf []byte, records []idempotency.LogEntry) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, frameHeaderSize)...)
	for i := range records {
		buf = appendRecord(buf, &records[i])
	}
	buf = append(buf, frameEnd)

	header := buf[start : start+frameHeaderSize]
	payload := buf[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(header, frameMagic)
	binary.LittleEndian.PutUint32(header[frameLengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[frameCountOffset:], uint32(len(records)))
	binary.LittleEndian.PutUint64(header[frameSeqOffset:], records[0].Seq)
	binary.LittleEndian.PutUint32(header[frameHeaderChecksumOffset:], id.headerChecksum(header))
	checksum := id.checksum(records[0].Segment, header[:frameChecksumOffset], payload)
	binary.LittleEndian.PutUint64(header[frameChecksumOffset:], checksum)
	return buf
}

func appendRecord(buf []byte, record *idempotency.LogEntry) []byte {
	key := record.Key
	if hasSubject(record.Kind) {
		binary.LittleEndian.PutUint64(key[:], record.Subject)
	}
	buf = append(buf, byte(record.Kind))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(record.At))
	buf = append(buf, key[:]...)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(record.Data)))
	return append(buf, record.Data...)
}

// readFrame parses the frame at the start of data, calls f for each of its records, and returns the
// size of the frame. The error is errCorrupt, or errTruncated if data is shorter than the length in
// the frame header.
func (id ID) readFrame(data []byte, segment uint64, f func(idempotency.LogEntry)) (int, error) {
	if len(data) < frameHeaderSize {
		return 0, errTruncated
	}
	header := data[:frameHeaderSize]
	if binary.LittleEndian.Uint32(header) != frameMagic {
		return 0, errCorrupt
	}
	if binary.LittleEndian.Uint32(header[frameHeaderChecksumOffset:]) != id.headerChecksum(header) {
		return 0, errCorrupt
	}
	length := int(binary.LittleEndian.Uint32(header[frameLengthOffset:]))
	if length == 0 || length > maxPayloadSize {
		return 0, errCorrupt
	}
	size := frameHeaderSize + length
	if len(data) < size {
		return 0, errTruncated
	}
	payload := data[frameHeaderSize:size]
	if binary.LittleEndian.Uint64(header[frameChecksumOffset:]) != id.checksum(segment, header[:frameChecksumOffset], payload) {
		return 0, errCorrupt
	}

	seq := binary.LittleEndian.Uint64(header[frameSeqOffset:])
	rest := payload[:length-1]
	for range binary.LittleEndian.Uint32(header[frameCountOffset:]) {
		record, recordSize, err := readRecord(rest)
		if err != nil {
			return 0, err
		}
		rest = rest[recordSize:]
		record.Seq = seq
		record.Segment = segment
		f(record)
		seq++
	}
	return size, nil
}

// readRecord parses the record at the start of data and returns its size. The Data of the record is
// not copied.
func readRecord(data []byte) (record idempotency.LogEntry, size int, err error) {
	if len(data) < recordHeaderSize {
		return record, 0, errCorrupt
	}
	header := data[:recordHeaderSize]
	dataLength := int(binary.LittleEndian.Uint32(header[recordDataLengthOffset:]))
	size = recordHeaderSize + dataLength
	if len(data) < size {
		return record, 0, errCorrupt
	}
	record = idempotency.LogEntry{
		Kind: idempotency.EntryKind(header[0]),
		At:   time.Duration(binary.LittleEndian.Uint64(header[recordTimeOffset:])),
		Data: data[recordHeaderSize:size:size],
	}
	key := idempotency.Key(header[recordKeyOffset:recordDataLengthOffset])
	if hasSubject(record.Kind) {
		record.Subject = binary.LittleEndian.Uint64(key[:])
	} else {
		record.Key = key
	}
	return record, size, nil
}

// isTorn reports whether the rest of a file, which begins at the given offset and failed to parse
// with err, may be a write that was never durable: the rest is cut short, or one of its sectors was
// never written. A complete frame that is corrupt was durable once, so it is not torn.
func isTorn(rest []byte, offset int, err error) bool {
	if errors.Is(err, errTruncated) {
		return true
	}
	zeros := make([]byte, sectorSize)
	for len(rest) > 0 {
		n := min(len(rest), sectorSize-offset%sectorSize)
		if bytes.Equal(rest[:n], zeros[:n]) {
			return true
		}
		rest = rest[n:]
		offset += n
	}
	return false
}
