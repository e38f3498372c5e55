package idempotency

import (
	"math"
	"time"
)

// UnboundedLoss is the end of a history loss that no record follows. FinishLoading replaces it by
// the time at which the incarnation begins.
const UnboundedLoss = time.Duration(math.MaxInt64)

// mayBeLost reports whether a request without a record that was made at the given time or later may
// have run.
func (s *Store) mayBeLost(madeAt time.Duration, key Key) bool {
	if s.lostBefore == 0 || madeAt > s.lostBefore {
		return false
	}
	return s.refillCovers == nil || !s.refillCovers(key)
}

// AddHistoryLoss adds a loss of log records, the last of which was written no later than until: a
// request made before that time and without a record may have run.
func (s *Store) AddHistoryLoss(until time.Duration) {
	s.lostBefore = max(s.lostBefore, until)
	// The lost records may belong to the last readable segment and to the unreadable ones after it.
	for i := len(s.segments) - 1; i >= 0; i-- {
		seg := s.segments[i]
		seg.LostBefore = max(seg.LostBefore, until)
		if !seg.unreadable {
			break
		}
		seg.Until = max(seg.Until, until)
	}
}

// MarkOutdated marks the store as older than the state that other nodes recorded when this
// incarnation began: a request made before now and without a record may have run. It is written to
// the log.
func (s *Store) MarkOutdated(now time.Duration) {
	s.advanceClock(now)
	s.AddHistoryLoss(s.now)
	s.refilled = false
	s.appendEntry(LogEntry{Kind: EntryHistoryLost})
}

// AcceptHistory ends all history losses, because an operator accepts them or other nodes have
// supplied the history: a request without a record is fresh again. It is written to the log.
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

// SetRefillCheck sets the function that reports whether other nodes have supplied everything that
// this store may have lost about a key.
func (s *Store) SetRefillCheck(covers func(Key) bool) { s.refillCovers = covers }

// HistoryComplete reports whether the disk works and the store has its full history, either because
// none is lost or because other nodes have supplied it.
func (s *Store) HistoryComplete() bool {
	return !s.failed && (s.lostBefore == 0 || s.refilled)
}

// HasFullHistory reports whether the store has the full history of a key.
func (s *Store) HasFullHistory(key Key) bool {
	return s.HistoryComplete() || s.refillCovers != nil && s.refillCovers(key)
}

// MarkRefilled marks the lost history as supplied by other nodes, for all keys. Like the acceptance
// by an operator, it ends all history losses. It reports whether that holds for later incarnations
// too. It does not if fingerprints of other nodes were merged, because those are not on this disk,
// or if the disk has failed.
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
