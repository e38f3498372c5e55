package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Load takes a record that an earlier incarnation wrote. Records are loaded in the order in which
// they were written, between the fingerprints of retired segments and the losses around them.
// FinishLoading ends that.
func (s *Store) Load(entry LogEntry) {
	s.lastSeq = max(s.lastSeq, entry.Seq)
	s.advanceClock(entry.At)
	if entry.Kind == EntrySegmentOpened {
		s.segments = append(s.segments, &segment{Fingerprints: Fingerprints{
			Segment: entry.Segment,
			LastSeq: entry.Seq,
			From:    entry.At,
			Until:   entry.At,
		}})
		return
	}
	if len(s.segments) == 0 {
		return
	}
	seg := s.lastSegment()
	seg.LastSeq = entry.Seq
	switch entry.Kind {
	case EntryIncarnation:
		s.incarnation++
		s.queueUncompletedIntents()
	case EntrySegmentDropped: // its files are gone already, or are removed
	case EntryHistoryAccepted:
		s.acceptHistory()
	case EntryHistoryLost:
		s.AddHistoryLoss(entry.At)
	default:
		seg.countRecord(entry.Kind, entry.At, len(entry.Data))
		s.loadKeyEntry(entry, seg)
	}
}

// loadKeyEntry takes a record about a key.
func (s *Store) loadKeyEntry(entry LogEntry, seg *segment) {
	rec := s.records[entry.Key]
	switch entry.Kind {
	case EntryIntent:
		if rec == nil { // else the record between was lost, and what is known already is the safe side
			s.loadIntent(entry, seg)
		}
	case EntryResult, EntryResultTooLong, EntryFailed:
		if rec != nil && rec.state == stateUnknown { // else it had expired, or its intent is lost
			s.loadCompletion(entry, rec, seg)
		}
	case EntryNeverRan:
		if rec != nil && rec.state == stateUnknown {
			s.removeUnknown(entry.Key, rec)
		}
	}
}

func (s *Store) loadIntent(entry LogEntry, seg *segment) {
	if len(s.records) >= s.cfg.MaxEntries { // also where the bound is smaller than that of earlier incarnations
		s.expireOldest()
	}
	s.addUnknown(entry.Key, entry.At, seg)
	s.uncompletedIntents[entry.Key] = struct{}{}
	if len(entry.Data) > 0 {
		s.unknownHandlers[entry.Key] = string(entry.Data)
	}
}

func (s *Store) loadCompletion(entry LogEntry, rec *record, seg *segment) {
	s.resolve(entry.Key, rec, entry.Kind, entry.At, seg)
	if entry.Kind == EntryResult {
		rec.result = slices.Clone(entry.Data)
	}
	s.expiryQueue = append(s.expiryQueue, entry.Key)
	s.addResult(rec)
}

// LoadFingerprints takes what an earlier incarnation left of a retired segment, in its place among
// the others.
func (s *Store) LoadFingerprints(fingerprints Fingerprints) {
	s.advanceClock(fingerprints.Until)
	s.segments = append(s.segments, &segment{Fingerprints: fingerprints, retired: true})
	if fingerprints.Accepted {
		s.lostBefore = 0
	}
	s.lostBefore = max(s.lostBefore, fingerprints.LostBefore)
}

// LoadLostSegment adds a placeholder for a segment of which nothing can be read. AddHistoryLoss
// says when it ended.
func (s *Store) LoadLostSegment(number uint64) {
	s.segments = append(s.segments, newUnreadableSegment(number, s.now))
}

// LoadLostPrefix adds placeholders for missing segments before the first one that was loaded, from
// that number on. They had ended by the time given. At least one segment must have been loaded.
func (s *Store) LoadLostPrefix(from uint64, until time.Duration) {
	first := s.segments[0].Segment
	for number := first - 1; number >= max(1, from); number-- {
		seg := newUnreadableSegment(number, until)
		seg.LostBefore = until
		s.segments = slices.Insert(s.segments, 0, seg)
	}
	s.lostBefore = max(s.lostBefore, until)
}

func newUnreadableSegment(number uint64, at time.Duration) *segment {
	return &segment{
		Fingerprints: Fingerprints{Segment: number, From: at, Until: at},
		retired:      true,
		unreadable:   true,
	}
}

// queueUnterminated puts intents without an end of an incarnation that is over in the queue of what
// expires.
func (s *Store) queueUncompletedIntents() {
	keys := slices.SortedFunc(maps.Keys(s.uncompletedIntents), func(a, b Key) int {
		return cmp.Or(cmp.Compare(s.records[a].at, s.records[b].at), slices.Compare(a[:], b[:]))
	})
	clear(s.uncompletedIntents)
	s.expiryQueue = append(s.expiryQueue, keys...)
}

// FinishLoading ends loading and begins an incarnation. The outcome of intents without an end is
// unknown; they expire like the others.
//
// needsNewSegment has a new segment opened, numbered after lastSegment, because records that were
// lost may follow the last ones.
func (s *Store) FinishLoading(now time.Duration, needsNewSegment bool, lastSegment uint64) {
	s.advanceClock(now)
	s.lostBefore = min(s.lostBefore, s.now)
	for _, seg := range s.segments {
		seg.LostBefore = min(seg.LostBefore, s.now)
		seg.Until = min(seg.Until, s.now)
	}
	s.queueUncompletedIntents()
	s.durableSeq = s.lastSeq
	if len(s.segments) == 0 || needsNewSegment || s.lastSegment().retired {
		s.openSegment(lastSegment)
	}
	s.beginIncarnation()
}

// RaiseIncarnation raises the number of this incarnation to at least that. Incarnations are
// numbered by counting their log records, so it writes as many, and refuses a number that is too
// far off. It reports whether it did as asked.
func (s *Store) RaiseIncarnation(incarnation uint64) bool {
	if incarnation > s.incarnation+maxIncarnationStep {
		return false
	}
	for s.incarnation < incarnation {
		s.beginIncarnation()
	}
	return true
}

func (s *Store) beginIncarnation() {
	s.incarnation++
	s.appendEntry(LogEntry{Kind: EntryIncarnation})
}
