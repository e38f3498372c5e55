package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"time"

	"frosthub/idempotency"

	"github.com/cespare/xxhash/v2"
)

// Sizes of frames, in bytes.
const (
	frameHeaderSize  = 32
	recordHeaderSize = 29
	maxPayloadSize   = 64 << 20 // far beyond any that is written
	sectorSize       = 512      // a disk writes whole sectors, in any order until it is synced
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
	frameEnd   = 0xff // the last byte of each frame: one that ends in zeros was not completely written
)

// checksum returns the checksum of parts of a segment.
func (id ID) checksum(segment uint64, parts ...[]byte) uint64 {
	var salt [16]byte
	binary.LittleEndian.PutUint64(salt[:], id.Mark)
	binary.LittleEndian.PutUint64(salt[8:], segment)
	digest := xxhash.New()
	_, _ = digest.Write(salt[:]) // never an error
	for _, part := range parts {
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// headerChecksum returns the checksum of a frame's header.
func (id ID) headerChecksum(header []byte) uint32 {
	return uint32(id.checksum(0, header[:frameHeaderChecksumOffset], header[frameSeqOffset:frameChecksumOffset]))
}

// hasSubject reports whether records of that kind have a segment's number in place of a key.
func hasSubject(kind idempotency.EntryKind) bool {
	return kind == idempotency.EntrySegmentOpened || kind == idempotency.EntrySegmentDropped
}

// appendFrame appends the records as one frame. They are of one segment, and their sequence numbers
// follow each other.
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

// readFrame reads the frame that data begins with, calls f for each of its records, and returns its
// size. The error is errCorrupt, or errTruncated if data is shorter than the frame's header says.
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

// readRecord reads the record that data begins with, and returns its size. The record's data is not
// copied.
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

// isTorn reports whether the rest of a file, which begins at that offset and fails to be read with
// that error, may be a write that was never durable: it is cut short, or one of its sectors was
// never written. What is complete and wrong was complete once.
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
