package idempotency

import (
	"slices"
	"time"
)

// Peek classifies a request with the given key as Fresh or Duplicate, or returns the reason why it
// cannot run. It reserves nothing and does not consider the capacity of the store. madeAt is when
// the client first made the request; 0 means that the time is not known, so that the request may be
// as old as the retry horizon.
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

// PeekOutcome returns the outcome that a request with the given key would receive, without
// reserving the key: that of the original request if that has finished or its outcome is unknown,
// otherwise the decision of Peek.
func (s *Store) PeekOutcome(now, madeAt time.Duration, key Key) Outcome {
	decision := s.Peek(now, madeAt, key)
	rec := s.records[key]
	if rec == nil || rec.flight != nil {
		return Outcome{Decision: decision}
	}
	return Outcome{Decision: rec.decision(), Result: rec.result}
}

// Reserve adds a request that is to run. If the request is fresh, its intent is appended to the log
// and the request waits until the intent is durable. If its key is in flight, the request waits
// until the original request has finished. Otherwise the outcome states why the request does not
// run.
//
// The name of the handler is written with the intent, for operators who investigate unknown
// outcomes. Later outcomes of the request carry requestID.
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

// OriginalRequest returns the ID of the request in flight that a retry of the key would wait for,
// or 0 if there is none.
func (s *Store) OriginalRequest(key Key) uint64 {
	rec := s.records[key]
	if rec == nil || rec.flight == nil {
		return 0
	}
	return rec.flight.originalID
}

// Withdraw removes a request whose client is gone or has been answered otherwise. If the original
// request has not started, the next request that waits for it takes its place. If none waits, the
// key is fresh again.
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

// removeNeverRan removes a record in flight whose request is proved not to have run, and appends an
// EntryNeverRan to the log.
func (s *Store) removeNeverRan(key Key, rec *record) {
	if !s.failed {
		s.appendKeyEntry(EntryNeverRan, key, nil)
	}
	s.removeInFlight(key, rec)
}
