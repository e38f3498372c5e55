package idempotency

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

// Fingerprints are the data that is kept of a segment whose keys have all expired.
type Fingerprints struct {
	// Segment is the number of the segment.
	Segment uint64
	// LastSeq is the sequence number of its last log record.
	LastSeq uint64
	// From is the time of its first log record.
	From time.Duration
	// Until is the time of its last log record about a key.
	Until time.Duration
	// Keys is the number of its intents.
	Keys int
	// LostBefore is set if log records in this segment or after it are lost: a request made before
	// this time and without a record may have run. It is 0 if none are lost.
	LostBefore time.Duration
	// Accepted is set if all history losses up to this segment were ended, because an operator
	// accepted them or other nodes supplied the history.
	Accepted bool
	// Filter is the Bloom filter of the expired keys, or nil if there are none. The filter of a
	// retired segment no longer changes.
	Filter *bloom.BloomFilter
}

// segment is a part of the log.
type segment struct {
	Fingerprints
	bytes       int  // size of its log records about keys
	liveRecords int  // number of intents and completion records of keys that have not expired
	retired     bool // only its fingerprints are on the disk
	unreadable  bool // neither its log records nor its fingerprints could be read
}

// countRecord adds a log record about a key to the counts of the segment.
func (g *segment) countRecord(kind EntryKind, at time.Duration, dataBytes int) {
	g.bytes += entryOverhead + dataBytes
	g.Until = max(g.Until, at)
	if kind == EntryIntent {
		g.Keys++
	}
}

// addFingerprint adds an expired key to the filter. The filter is created for keysPerSegment keys,
// or for the number of keys in the segment if that is higher.
func (g *segment) addFingerprint(key Key, keysPerSegment int) {
	if g.Filter == nil {
		g.Filter = bloom.NewWithEstimates(uint(max(keysPerSegment, g.Keys)), falsePositiveRate)
	}
	g.Filter.Add(key[:])
}

// lastSegment returns the last segment. There must be one.
func (s *Store) lastSegment() *segment {
	return s.segments[len(s.segments)-1]
}

// appendEntry appends a log record to the last segment, and returns the segment and the sequence
// number of the log record.
func (s *Store) appendEntry(entry LogEntry) (*segment, uint64) {
	seg := s.lastSegment()
	s.lastSeq++
	seg.LastSeq = s.lastSeq
	entry.Seq = s.lastSeq
	entry.At = s.now
	entry.Segment = seg.Segment
	s.unwritten = append(s.unwritten, entry)
	return seg, s.lastSeq
}

// appendKeyEntry appends a log record about a key to the last segment and adds it to the counts of
// the segment.
func (s *Store) appendKeyEntry(kind EntryKind, key Key, data []byte) (*segment, uint64) {
	s.lastSegment().countRecord(kind, s.now, len(data))
	return s.appendEntry(LogEntry{Kind: kind, Key: key, Data: data})
}

// ensureCapacity makes room for an intent, in memory and in a segment. It reports whether there is
// room.
func (s *Store) ensureCapacity() bool {
	if len(s.records) >= s.cfg.MaxEntries && !s.expireOldest() {
		return false
	}
	if s.lastSegmentHasRoom() {
		return true
	}
	s.sweepSegments()
	if len(s.segments) >= s.cfg.MaxSegments {
		return false
	}
	s.openSegment(0)
	return true
}

// lastSegmentHasRoom reports whether another intent may be appended to the last segment.
func (s *Store) lastSegmentHasRoom() bool {
	if len(s.segments) == 0 {
		return false
	}
	seg := s.lastSegment()
	return !seg.retired &&
		seg.Keys < s.cfg.KeysPerSegment &&
		seg.bytes < s.cfg.SegmentBytes &&
		s.now-seg.From < s.cfg.RetryHorizon/segmentsPerHorizon
}

// openSegment opens a segment with a number after that of the last segment and after the given
// number.
func (s *Store) openSegment(after uint64) {
	if len(s.segments) > 0 {
		after = max(after, s.lastSegment().Segment)
	}
	s.segments = append(s.segments, &segment{Fingerprints: Fingerprints{Segment: after + 1, From: s.now, Until: s.now}})
	s.appendEntry(LogEntry{Kind: EntrySegmentOpened, Subject: s.segments[0].Segment})
}

// sweepSegments expires overdue records, then retires and drops segments.
func (s *Store) sweepSegments() {
	s.expireOverdue()
	if s.failed {
		return
	}
	s.retireSegments()
	s.dropSegments()
}

// retireSegments retires the oldest segments whose keys have all expired. The last segment is never
// retired.
func (s *Store) retireSegments() {
	for _, seg := range s.segments[:max(0, len(s.segments)-1)] {
		if seg.retired {
			continue
		}
		if seg.liveRecords > 0 {
			return
		}
		seg.retired = true
		s.unwritten = append(s.unwritten, LogEntry{
			Kind:         EntrySegmentRetired,
			Segment:      seg.Segment,
			At:           s.now,
			Fingerprints: &seg.Fingerprints,
		})
	}
}

// dropSegments drops the oldest retired segments that are older than the retry horizon.
func (s *Store) dropSegments() {
	for len(s.segments) > 1 {
		first := s.segments[0]
		if !first.retired || s.now-first.Until <= s.cfg.RetryHorizon {
			return
		}
		s.appendEntry(LogEntry{Kind: EntrySegmentDropped, Subject: first.Segment})
		s.segments = s.segments[1:]
	}
}

// MayBeExpired reports whether a key has a fingerprint, here or among those merged from other
// nodes. It is rarely true for a key without one; see falsePositiveRate.
func (s *Store) MayBeExpired(key Key) bool {
	for _, seg := range s.segments {
		if seg.Filter != nil && seg.Filter.Test(key[:]) {
			return true
		}
	}
	return slices.ContainsFunc(s.peerFingerprints, func(peer ExpiredKeys) bool { return peer.Filter.Test(key[:]) })
}
