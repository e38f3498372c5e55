package idempotency

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

// Record is the data that one store supplies to another about a key that has completed or whose
// outcome is unknown.
type Record struct {
	// Key is the key.
	Key Key
	// Kind is the kind of its completion: EntryResult, EntryFailed or EntryResultTooLong; 0 if the
	// outcome is unknown.
	Kind EntryKind
	// Result is the result, for EntryResult.
	Result []byte
}

// ExpiredKeys are the fingerprints of expired keys in one segment.
type ExpiredKeys struct {
	// Segment is the number of the segment in the store that supplies the fingerprints.
	Segment uint64
	// Until is the time of the last log record about a key in the segment.
	Until time.Duration
	// Filter is the Bloom filter of the keys.
	Filter *bloom.BloomFilter
}

// firstPeerPosition is the position in NextExpired of the first fingerprints that were merged from
// other nodes. A smaller position is the number of a segment of this store.
const firstPeerPosition = 1 << 48

// Export returns the records of keys that have completed or whose outcome is unknown, in the order
// in which they expire. It visits the positions from `from` up to `to`, skips the keys that include
// rejects, and stops early when the size of the records reaches maxBytes. next is the position to
// continue from, end the position after the last key. A record that expires during the transfer is
// found among the fingerprints, provided that those are requested afterwards.
func (s *Store) Export(from, to uint64, maxBytes int, include func(Key) bool) (records []Record, next, end uint64) {
	end = s.queueStart + uint64(len(s.expiryQueue))
	next = max(from, s.queueStart)
	for next < min(to, end) && maxBytes > 0 {
		key := s.expiryQueue[next-s.queueStart]
		next++
		rec := s.records[key]
		if rec == nil || rec.flight != nil || !include(key) {
			continue
		}
		exported := Record{Key: key, Kind: rec.completion, Result: rec.result}
		if rec.state == stateUnknown {
			exported.Kind = 0
		}
		records = append(records, exported)
		maxBytes -= entryOverhead + len(exported.Result)
	}
	return records, next, end
}

// NextExpired returns the first fingerprints after a position: those of the segments of this store,
// followed by those that it merged. The iteration begins with after = 0 and continues with the
// returned position. ok is false if there are no more fingerprints.
func (s *Store) NextExpired(after uint64) (expired ExpiredKeys, position uint64, ok bool) {
	for _, seg := range s.segments {
		if seg.Filter != nil && seg.Segment > after {
			return ExpiredKeys{Segment: seg.Segment, Until: seg.Until, Filter: seg.Filter}, seg.Segment, true
		}
	}
	index := uint64(0)
	if after >= firstPeerPosition {
		index = after - firstPeerPosition + 1
	}
	if index < uint64(len(s.peerFingerprints)) {
		return s.peerFingerprints[index], firstPeerPosition + index, true
	}
	return ExpiredKeys{}, 0, false
}

// Merge adds a record of another store for a key that has no record here or whose outcome is
// unknown here. The record is written to the log like that of a request that ran here. It expires
// Config.ResultTTL from now, which is later than in the store that supplied it, never earlier.
// Merge reports whether the record was added.
func (s *Store) Merge(now time.Duration, record Record) bool {
	s.advanceClock(now)
	if s.failed {
		return false
	}
	rec := s.records[record.Key]
	if rec == nil {
		if !s.ensureCapacity() {
			return false
		}
		rec = s.mergeIntent(record.Key)
	} else if rec.state != stateUnknown || record.Kind == 0 {
		return false
	}
	if record.Kind != 0 {
		s.mergeCompletion(rec, record)
	}
	return true
}

// mergeIntent creates a record with an unknown outcome and appends its intent to the log.
func (s *Store) mergeIntent(key Key) *record {
	seg, _ := s.appendKeyEntry(EntryIntent, key, nil)
	s.expiryQueue = append(s.expiryQueue, key)
	return s.addUnknown(key, s.now, seg)
}

// mergeCompletion appends the completion of a record whose outcome was unknown to the log. The
// record is already in the expiry queue.
func (s *Store) mergeCompletion(rec *record, merged Record) {
	completion := merged.Kind
	if completion == EntryResult && len(merged.Result) > s.cfg.MaxResultBytes {
		completion = EntryResultTooLong
	}
	rec.result = nil
	if completion == EntryResult {
		rec.result = slices.Clone(merged.Result)
	}
	seg, _ := s.appendKeyEntry(completion, merged.Key, rec.result)
	s.resolve(merged.Key, rec, completion, s.now, seg)
	s.addResult(rec)
}

// MergeExpired adds fingerprints of another store. They are kept in memory only.
func (s *Store) MergeExpired(expired ExpiredKeys) {
	if expired.Filter != nil && s.now-expired.Until <= s.cfg.RetryHorizon {
		s.peerFingerprints = append(s.peerFingerprints, expired)
	}
}
