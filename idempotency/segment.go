package idempotency

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

// Fingerprints are what remains of a segment whose keys have all expired.
type Fingerprints struct {
	// Segment is the segment's number.
	Segment uint64
	// LastSeq is the sequence number of its last record.
	LastSeq uint64
	// From is the time of its first record.
	From time.Duration
	// Until is the time of its last record about a key.
	Until time.Duration
	// Keys is the number of its intents.
	Keys int
	// LostBefore is set if records in the segment or after it are lost: requests made before can't
	// be proved fresh. It is 0 if none are.
	LostBefore time.Duration
	// Accepted says that an operator accepted all history that had been lost until then.
	Accepted bool
	// Filter has the keys that expired, nil if there are none. Nothing is added to that of a
	// retired segment.
	Filter *bloom.BloomFilter
}

// segment is a part of the log.
type segment struct {
	Fingerprints
	bytes       int  // of its records
	liveRecords int  // intents and ends of keys that have not expired
	retired     bool // only the fingerprints are left on the disk
	unreadable  bool // not even those
}

// count adds a record about a key.
func (g *segment) countRecord(kind EntryKind, at time.Duration, dataBytes int) {
	g.bytes += entryOverhead + dataBytes
	g.Until = max(g.Until, at)
	if kind == EntryIntent {
		g.Keys++
	}
}

// addFingerprint adds a key that expired. The filter is sized for that many keys, or for those of
// the segment if they are more.
func (g *segment) addFingerprint(key Key, keysPerSegment int) {
	if g.Filter == nil {
		g.Filter = bloom.NewWithEstimates(uint(max(keysPerSegment, g.Keys)), falsePositiveRate)
	}
	g.Filter.Add(key[:])
}

// lastSegment returns the last segment; there must be one.
func (s *Store) lastSegment() *segment {
	return s.segments[len(s.segments)-1]
}

// appendEntry writes a record to the last segment, and returns both the segment and the record's
// sequence number.
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

// appendKeyEntry writes a record about a key to the last segment, and counts it there.
func (s *Store) appendKeyEntry(kind EntryKind, key Key, data []byte) (*segment, uint64) {
	s.lastSegment().countRecord(kind, s.now, len(data))
	return s.appendEntry(LogEntry{Kind: kind, Key: key, Data: data})
}

// makeRoom makes sure that an intent can be kept, in memory and in a segment. It reports whether
// that is so.
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

// lastSegmentHasRoom reports whether the last segment takes another intent.
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

// openSegment begins a segment, numbered after the last one and after that number.
func (s *Store) openSegment(after uint64) {
	if len(s.segments) > 0 {
		after = max(after, s.lastSegment().Segment)
	}
	s.segments = append(s.segments, &segment{Fingerprints: Fingerprints{Segment: after + 1, From: s.now, Until: s.now}})
	s.appendEntry(LogEntry{Kind: EntrySegmentOpened, Subject: s.segments[0].Segment})
}

// sweepSegments expires what is overdue, then retires and drops segments.
func (s *Store) sweepSegments() {
	s.expireOverdue()
	if s.failed {
		return
	}
	s.retireSegments()
	s.dropSegments()
}

// retireSegments retires the oldest segments whose keys have all expired. The last one stays open.
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

// dropSegments drops the oldest retired segments that are past the retry horizon.
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

// MayBeExpired reports whether a key has a fingerprint, here or in those merged from other nodes.
// It is rarely true for a key that has not.
func (s *Store) MayBeExpired(key Key) bool {
	for _, seg := range s.segments {
		if seg.Filter != nil && seg.Filter.Test(key[:]) {
			return true
		}
	}
	return slices.ContainsFunc(s.peerFingerprints, func(peer ExpiredKeys) bool { return peer.Filter.Test(key[:]) })
}
