package idempotency

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

// Record is what one store supplies to another about a key that has ended, or whose outcome is
// unknown.
type Record struct {
	// Key is the key.
	Key Key
	// Kind is its end: EntryResult, EntryFailed or EntryResultTooLong; 0 if the outcome is unknown.
	Kind EntryKind
	// Result is the result, for EntryResult.
	Result []byte
}

// ExpiredKeys are fingerprints of keys of which nothing more is known.
type ExpiredKeys struct {
	// Segment is the segment that the keys belong to, in the store that supplies them.
	Segment uint64
	// Until is when the segment ended.
	Until time.Duration
	// Filter has the keys.
	Filter *bloom.BloomFilter
}

// firstPeerPosition is where the fingerprints that were merged from other nodes begin among those
// that NextExpired returns. Before it, the position is the number of a segment of the store's own.
const firstPeerPosition = 1 << 48

// Export returns records of keys that have ended or whose outcome is unknown, in the order in which
// they did so. It walks the positions from `from` up to `to`, passes over keys that include
// rejects, and stops early when the records have reached maxBytes. next is the position to go on
// from, end the one past the last there is. Records that expire during a walk are among the
// fingerprints, if those are asked for after it.
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

// NextExpired returns the first fingerprints after a position: those of this store's segments, then
// those that it merged. The position returned is what to ask with next; 0 begins. ok is false when
// there are no more.
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

// Merge takes another store's record of a key of which this one knows nothing, or only that its
// outcome is unknown. It is written to the log like a request that ran here, and expires from now
// on: later than where it ran, never earlier. Merge reports whether it was taken.
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

// mergeIntent makes and writes a record of which only the intent is known.
func (s *Store) mergeIntent(key Key) *record {
	seg, _ := s.appendKeyEntry(EntryIntent, key, nil)
	s.expiryQueue = append(s.expiryQueue, key)
	return s.addUnknown(key, s.now, seg)
}

// mergeEnd writes the end of a record whose outcome was unknown. The record is in the queue of what
// expires already.
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

// MergeExpired takes another store's fingerprints. They are kept in memory only.
func (s *Store) MergeExpired(expired ExpiredKeys) {
	if expired.Filter != nil && s.now-expired.Until <= s.cfg.RetryHorizon {
		s.peerFingerprints = append(s.peerFingerprints, expired)
	}
}
