package peerproto

import (
	"encoding/binary"
	"time"

	"frosthub/idempotency"

	"github.com/bits-and-blooms/bloom/v3"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// maxFilterHashes bounds the number of hash functions of a received Bloom filter. Filters of this program have 17.
	maxFilterHashes = 64

	wordBytes = 8
	wordBits  = 8 * wordBytes
)

func appendExpired(b []byte, expired *idempotency.ExpiredKeys) []byte {
	b = appendUint(b, expiredSegment, expired.Segment)
	b = appendUint(b, expiredUntil, uint64(expired.Until))
	b = appendUint(b, expiredBits, uint64(expired.Filter.Cap()))
	b = appendUint(b, expiredHashes, uint64(expired.Filter.K()))
	words := expired.Filter.BitSet().Words()
	b = protowire.AppendTag(b, expiredWords, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(words)*wordBytes))
	for _, word := range words {
		b = binary.LittleEndian.AppendUint64(b, word)
	}
	return b
}

// parseExpired decodes a Bloom filter of expired keys. The encoded sizes must match the received words, so that decoding allocates no more
// memory than was received.
func parseExpired(b []byte) (idempotency.ExpiredKeys, error) {
	var expired idempotency.ExpiredKeys
	var bits, hashes uint64
	var words []byte
	err := forEachField(b, func(f field) error {
		switch f.number {
		case expiredSegment:
			expired.Segment = f.uint
		case expiredUntil:
			expired.Until = time.Duration(f.uint)
		case expiredBits:
			bits = f.uint
		case expiredHashes:
			hashes = f.uint
		case expiredWords:
			words = f.bytes
		}
		return nil
	})
	if err != nil {
		return expired, err
	}
	if !validFilterSize(bits, hashes, uint64(len(words))) {
		return expired, ErrMalformed
	}
	set := make([]uint64, len(words)/wordBytes)
	for i := range set {
		set[i] = binary.LittleEndian.Uint64(words[i*wordBytes:])
	}
	expired.Filter = bloom.FromWithM(set, uint(bits), uint(hashes))
	return expired, nil
}

// validFilterSize reports whether a filter of the given number of bits takes exactly the given number of bytes, in whole words.
func validFilterSize(bits, hashes, bytes uint64) bool {
	if bytes%wordBytes != 0 {
		return false
	}
	if bits == 0 || hashes == 0 || hashes > maxFilterHashes {
		return false
	}
	capacity := bytes / wordBytes * wordBits
	return bits <= capacity && bits+wordBits > capacity
}
