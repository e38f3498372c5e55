package idempotency

import (
	"slices"
	"time"
)

// Peek returns what would become of a request with that key if it were reserved now: Fresh,
// Duplicate, or why it can't run. madeAt is when its caller first made it; 0 if that is not known,
// in which case it may be as old as the retry horizon.
func (s *Store) Peek(now, madeAt time.Duration, key Key) Decision {
	s.advanceClock(now)
	oldestRetry := s.now - s.cfg.RetryHorizon
	switch {
	case s.records[key] != nil:
		return Duplicate
	case s.MayBeExpired(key):
		return ResultExpired
	case madeAt > 0 && madeAt < oldestRetry:
		return ResultExpired
	case s.mayBeLost(max(madeAt, oldestRetry), key):
		return HistoryLost
	case s.failed:
		return StoreFailed
	default:
		return Fresh
	}
}

// PeekOutcome returns what a request with that key would meet, and reserves nothing: the outcome of
// the original request if that has one, otherwise the decision of Peek.
func (s *Store) PeekOutcome(now, madeAt time.Duration, key Key) Outcome {
	decision := s.Peek(now, madeAt, key)
	rec := s.records[key]
	if rec == nil || rec.flight != nil {
		return Outcome{Decision: decision}
	}
	return Outcome{Decision: rec.decision(), Result: rec.result}
}

// Reserve takes a request that is to run. If it is fresh its intent is written, and it waits for
// that to be durable. If its key is in flight it waits for the original request to end. Otherwise
// the outcome says why it doesn't run.
//
// The handler's name is written with the intent, for those who look into unknown outcomes. The
// request ID is the one of later outcomes.
func (s *Store) Reserve(now, madeAt time.Duration, key Key, handler string, requestID uint64) Outcome {
	outcome := Outcome{ID: requestID, Decision: s.Peek(now, madeAt, key)}
	switch outcome.Decision {
	case Fresh:
		if !s.ensureCapacity() {
			outcome.Decision = StoreFull
			break
		}
		s.reserve(key, handler, requestID)
		outcome.Decision = Wait
	case Duplicate:
		rec := s.records[key]
		if rec.flight != nil {
			rec.flight.waitingIDs = append(rec.flight.waitingIDs, requestID)
			outcome.Decision = Wait
			break
		}
		outcome.Decision = rec.decision()
		outcome.Result = rec.result
	}
	return outcome
}

// OriginalRequest returns the request in flight that a retry of the key would wait for, 0 if there is
// none.
func (s *Store) OriginalRequest(key Key) uint64 {
	rec := s.records[key]
	if rec == nil || rec.flight == nil {
		return 0
	}
	return rec.flight.originalID
}

// Withdraw says that a request no longer waits: its caller is gone, or has another answer. If it
// had not started, the next one that waits takes its place; if none does, its key is fresh again.
func (s *Store) Withdraw(now time.Duration, key Key, requestID uint64) {
	s.advanceClock(now)
	rec := s.records[key]
	if rec == nil || rec.flight == nil {
		return
	}
	flight := rec.flight
	switch {
	case flight.originalID != requestID:
		flight.waitingIDs = slices.DeleteFunc(flight.waitingIDs, func(id uint64) bool { return id == requestID })
	case rec.state != stateReserved:
		flight.originalID = 0
	case len(flight.waitingIDs) > 0:
		flight.originalID = flight.waitingIDs[0]
		flight.waitingIDs = flight.waitingIDs[1:]
	default:
		s.removeNeverRan(key, rec)
	}
}

// forgetNeverRan removes a record in flight whose request is proved not to have run, and writes
// that.
func (s *Store) removeNeverRan(key Key, rec *record) {
	if !s.failed {
		s.appendKeyEntry(EntryNeverRan, key, nil)
	}
	s.removeInFlight(key, rec)
}
