package idempotency

import (
	"math"
	"time"
)

// UnboundedLoss is the end of a loss that no record follows. FinishLoading ends it.
const UnboundedLoss = time.Duration(math.MaxInt64)

// mayBeLost reports whether a request that was made at that time, or later, and is not remembered
// may have run.
func (s *Store) mayBeLost(madeAt time.Duration, key Key) bool {
	if s.lostBefore == 0 || madeAt > s.lostBefore {
		return false
	}
	return s.refillCovers == nil || !s.refillCovers(key)
}

// AddHistoryLoss says that records are missing or unreadable, the last of them no later than that
// time: no request made before can be proved fresh.
func (s *Store) AddHistoryLoss(until time.Duration) {
	s.lostBefore = max(s.lostBefore, until)
	// The loss is in the last segment, or in the unreadable ones that end the list.
	for i := len(s.segments) - 1; i >= 0; i-- {
		seg := s.segments[i]
		seg.LostBefore = max(seg.LostBefore, until)
		if !seg.unreadable {
			break
		}
		seg.Until = max(seg.Until, until)
	}
}

// MarkOutdated says that other nodes know of more than this store had when this incarnation began:
// a request that was made before now and is not remembered can't be proved fresh. It is written to
// the log.
func (s *Store) MarkOutdated(now time.Duration) {
	s.advanceClock(now)
	s.AddHistoryLoss(s.now)
	s.refilled = false
	s.appendEntry(LogEntry{Kind: EntryHistoryLost})
}

// AcceptHistory says that an operator vouches for what was lost: all that is not remembered is
// fresh again. It is written to the log.
func (s *Store) AcceptHistory(now time.Duration) {
	s.advanceClock(now)
	s.acceptHistory()
	s.appendEntry(LogEntry{Kind: EntryHistoryAccepted})
}

func (s *Store) acceptHistory() {
	s.lostBefore = 0
	seg := s.lastSegment()
	seg.LostBefore = 0
	seg.Accepted = true
}

// SetRefillCheck sets a function that reports whether all that may be lost here of a key has been
// supplied by other nodes.
func (s *Store) SetRefillCheck(covers func(Key) bool) { s.refillCovers = covers }

// HistoryComplete reports whether the store can answer for all that it has ever had.
func (s *Store) HistoryComplete() bool {
	return !s.failed && (s.lostBefore == 0 || s.refilled)
}

// HasFullHistory reports whether what the store has of a key is all that it ever had.
func (s *Store) HasFullHistory(key Key) bool {
	return s.HistoryComplete() || s.refillCovers != nil && s.refillCovers(key)
}

// MarkRefilled says that other nodes have supplied all that was lost, for all keys. It counts like
// an operator's acceptance, and reports whether that holds in later incarnations too. It doesn't if
// fingerprints of other nodes were merged, as those are not on this disk.
func (s *Store) MarkRefilled(now time.Duration) bool {
	s.refilled = true
	s.Sweep(now)
	if len(s.peerFingerprints) > 0 || s.failed {
		return false
	}
	if s.lostBefore > 0 {
		s.AcceptHistory(now)
	}
	return true
}
