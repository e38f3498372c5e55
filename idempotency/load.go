package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Load adds a log record that an earlier incarnation wrote. Log records must be loaded in the order
// in which they were written, together with the fingerprints of retired segments and the losses
// between them. FinishLoading ends loading.
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
	case EntrySegmentDropped: // its files are already removed, or are removed by the writer
	case EntryHistoryAccepted:
		s.acceptHistory()
	case EntryHistoryLost:
		s.AddHistoryLoss(entry.At)
	default:
		seg.countRecord(entry.Kind, entry.At, len(entry.Data))
		s.loadKeyEntry(entry, seg)
	}
}

// loadKeyEntry applies a log record about a key.
func (s *Store) loadKeyEntry(entry LogEntry, seg *segment) {
	rec := s.records[entry.Key]
	switch entry.Kind {
	case EntryIntent:
		if rec == nil { // otherwise a log record in between was lost, and keeping the existing record is safe
			s.loadIntent(entry, seg)
		}
	case EntryResult, EntryResultTooLong, EntryFailed:
		if rec != nil && rec.state == stateUnknown { // otherwise the key has expired, or its intent is lost
			s.loadCompletion(entry, rec, seg)
		}
	case EntryNeverRan:
		if rec != nil && rec.state == stateUnknown {
			s.removeUnknown(entry.Key, rec)
		}
	}
}

func (s *Store) loadIntent(entry LogEntry, seg *segment) {
	if len(s.records) >= s.cfg.MaxEntries { // the limit may be lower than in earlier incarnations
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

// LoadFingerprints adds a retired segment with the fingerprints that an earlier incarnation wrote.
// Segments must be loaded in ascending order.
func (s *Store) LoadFingerprints(fingerprints Fingerprints) {
	s.advanceClock(fingerprints.Until)
	s.segments = append(s.segments, &segment{Fingerprints: fingerprints, retired: true})
	if fingerprints.Accepted {
		s.lostBefore = 0
	}
	s.lostBefore = max(s.lostBefore, fingerprints.LostBefore)
}

// LoadLostSegment adds a placeholder for a segment of which nothing can be read. AddHistoryLoss
// sets the time by which it had ended.
func (s *Store) LoadLostSegment(number uint64) {
	s.segments = append(s.segments, newUnreadableSegment(number, s.now))
}

// LoadLostPrefix adds placeholders for the missing segments with the numbers from `from` up to the
// first segment that was loaded. until is a time by which they had ended. At least one segment must
// have been loaded.
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

// queueUncompletedIntents appends the intents of an ended incarnation that have no completion
// record to the expiry queue.
func (s *Store) queueUncompletedIntents() {
	keys := slices.SortedFunc(maps.Keys(s.uncompletedIntents), func(a, b Key) int {
		return cmp.Or(cmp.Compare(s.records[a].at, s.records[b].at), slices.Compare(a[:], b[:]))
	})
	clear(s.uncompletedIntents)
	s.expiryQueue = append(s.expiryQueue, keys...)
}

// FinishLoading ends loading and begins an incarnation. The outcome of each intent without a
// completion record is unknown. Such keys expire like the others.
//
// If needsNewSegment is set, a new segment is opened with a number after lastSegment, because lost
// records may follow the last ones that were loaded.
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

// RaiseIncarnation raises the number of this incarnation to at least the given number. Incarnations
// are numbered by counting their log records, so it appends one log record per step, and rejects a
// number that is more than maxIncarnationStep ahead. It reports whether the number was accepted.
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
