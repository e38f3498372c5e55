package wal

import (
	"encoding/binary"
	"fmt"
	"time"

	"frosthub/idempotency"

	"github.com/bits-and-blooms/bloom/v3"
)

const (
	fingerprintsMagic      = 0x4b455250
	fingerprintsHeaderSize = 72
)

// Offsets in the header of a fingerprint file.
const (
	fingerprintsLengthOffset     = 4
	fingerprintsSegmentOffset    = 8
	fingerprintsLastSeqOffset    = 16
	fingerprintsFromOffset       = 24
	fingerprintsUntilOffset      = 32
	fingerprintsKeysOffset       = 40
	fingerprintsLostBeforeOffset = 48
	fingerprintsAcceptedOffset   = 56
	fingerprintsChecksumOffset   = 64
)

// encodeFingerprints returns the content of a fingerprint file.
func (id ID) encodeFingerprints(fingerprints *idempotency.Fingerprints) ([]byte, error) {
	var filter []byte
	if fingerprints.Filter != nil {
		var err error
		filter, err = fingerprints.Filter.MarshalBinary()
		if err != nil {
			return nil, fmt.Errorf("encode the filter of segment %d: %w", fingerprints.Segment, err)
		}
	}
	accepted := uint64(0)
	if fingerprints.Accepted {
		accepted = 1
	}

	header := make([]byte, fingerprintsHeaderSize)
	binary.LittleEndian.PutUint32(header, fingerprintsMagic)
	binary.LittleEndian.PutUint32(header[fingerprintsLengthOffset:], uint32(len(filter)))
	binary.LittleEndian.PutUint64(header[fingerprintsSegmentOffset:], fingerprints.Segment)
	binary.LittleEndian.PutUint64(header[fingerprintsLastSeqOffset:], fingerprints.LastSeq)
	binary.LittleEndian.PutUint64(header[fingerprintsFromOffset:], uint64(fingerprints.From))
	binary.LittleEndian.PutUint64(header[fingerprintsUntilOffset:], uint64(fingerprints.Until))
	binary.LittleEndian.PutUint64(header[fingerprintsKeysOffset:], uint64(fingerprints.Keys))
	binary.LittleEndian.PutUint64(header[fingerprintsLostBeforeOffset:], uint64(fingerprints.LostBefore))
	binary.LittleEndian.PutUint64(header[fingerprintsAcceptedOffset:], accepted)
	checksum := id.checksum(fingerprints.Segment, header[:fingerprintsChecksumOffset], filter)
	binary.LittleEndian.PutUint64(header[fingerprintsChecksumOffset:], checksum)
	return append(header, filter...), nil
}

// parseFingerprints parses the fingerprint file of a segment. The error is errCorrupt.
func (id ID) parseFingerprints(data []byte, segment uint64) (idempotency.Fingerprints, error) {
	if len(data) < fingerprintsHeaderSize || binary.LittleEndian.Uint32(data) != fingerprintsMagic {
		return idempotency.Fingerprints{}, errCorrupt
	}
	header := data[:fingerprintsHeaderSize]
	filter := data[fingerprintsHeaderSize:]
	field := func(offset int) uint64 { return binary.LittleEndian.Uint64(header[offset:]) }
	switch {
	case int(binary.LittleEndian.Uint32(header[fingerprintsLengthOffset:])) != len(filter),
		field(fingerprintsChecksumOffset) != id.checksum(segment, header[:fingerprintsChecksumOffset], filter),
		field(fingerprintsSegmentOffset) != segment:
		return idempotency.Fingerprints{}, errCorrupt
	}
	fingerprints := idempotency.Fingerprints{
		Segment:    segment,
		LastSeq:    field(fingerprintsLastSeqOffset),
		From:       time.Duration(field(fingerprintsFromOffset)),
		Until:      time.Duration(field(fingerprintsUntilOffset)),
		Keys:       int(field(fingerprintsKeysOffset)),
		LostBefore: time.Duration(field(fingerprintsLostBeforeOffset)),
		Accepted:   field(fingerprintsAcceptedOffset) == 1,
	}
	if len(filter) > 0 {
		fingerprints.Filter = &bloom.BloomFilter{}
		if err := fingerprints.Filter.UnmarshalBinary(filter); err != nil {
			return idempotency.Fingerprints{}, errCorrupt
		}
	}
	return fingerprints, nil
}
