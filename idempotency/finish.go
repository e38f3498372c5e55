package idempotency

import (
	"slices"
	"time"
)

// Finish ends the run of a key. completion is EntryResult with a result, EntryFailed or
// EntryNeverRan. Finish returns the outcomes of the requests that wait for the run.
//
// After EntryResult the requests are answered by MarkDurable, when the completion record is
// durable. After the other kinds they are answered at once: if that log record is lost, the outcome
// is unknown after a restart, and retries are answered as failed in that case too.
func (s *Store) Finish(now time.Duration, key Key, completion EntryKind, result []byte) []Outcome {
	s.advanceClock(now)
	rec := s.records[key]
	s.Resume(key, lateRequestID)
	if rec == nil || rec.flight == nil || rec.state == stateFinishing {
		return nil
	}
	if completion == EntryNeverRan {
		outcomes := rec.flight.appendWaiting(nil, Fresh, nil)
		s.removeNeverRan(key, rec)
		return outcomes
	}
	if completion == EntryResult && len(result) > s.cfg.MaxResultBytes {
		completion = EntryResultTooLong
	}
	rec.completion = completion
	rec.result = nil
	if completion == EntryResult || completion == EntryResultTooLong { // the original request receives it even if it is too long
		rec.result = append([]byte(nil), result...)
	}
	if s.failed { // the requests are still answered, and so are retries as long as this process runs
		return s.finish(key, rec, completion != EntryFailed)
	}

	data := rec.result
	if completion == EntryResultTooLong {
		data = nil
	}
	seg, seq := s.appendKeyEntry(completion, key, data)
	rec.setCompletionSegment(seg)
	if completion == EntryFailed {
		return s.finish(key, rec, false)
	}
	s.awaitCompletion(key, rec, seq)
	return nil
}

// MarkDurable marks all log records up to the given sequence number as durable. It returns the
// outcomes of the requests that may start or be answered now.
func (s *Store) MarkDurable(seq uint64) []Outcome {
	s.durableSeq = max(s.durableSeq, seq)
	var outcomes []Outcome
	for len(s.awaitingDisk) > 0 {
		key := s.awaitingDisk[0]
		rec := s.records[key]
		if rec == nil || !rec.awaitsDisk() {
			s.awaitingDisk = s.awaitingDisk[1:]
			continue
		}
		if rec.flight.seq > s.durableSeq {
			break
		}
		s.awaitingDisk = s.awaitingDisk[1:]
		if rec.state == stateReserved {
			outcomes = append(outcomes, s.start(rec))
		} else {
			outcomes = append(outcomes, s.finish(key, rec, true)...)
		}
	}
	return outcomes
}

// MarkDiskFailed marks the disk as failed: no more entries are written. Requests whose intent is
// not durable have not started and are rejected. Requests whose completion record is lost are
// answered nevertheless, because they have run. Retries of them are answered as long as this
// process runs. The outcomes of all these requests are returned.
func (s *Store) MarkDiskFailed() []Outcome {
	s.failed = true
	s.unwritten = nil
	var outcomes []Outcome
	for _, key := range s.awaitingDisk {
		rec := s.records[key]
		if rec == nil || !rec.awaitsDisk() {
			continue
		}
		if rec.state == stateReserved {
			outcomes = append(outcomes, Outcome{ID: rec.flight.originalID, Decision: StoreFailed})
			outcomes = rec.flight.appendWaiting(outcomes, StoreFailed, nil)
			s.removeInFlight(key, rec)
		} else {
			outcomes = append(outcomes, s.finish(key, rec, true)...)
		}
	}
	s.awaitingDisk = nil
	return outcomes
}

// MarkOutcomeUnknown marks the outcome of a running key as unknown, as after a restart, because
// nothing will report it. A later Finish is still accepted. It returns the outcomes of the requests
// that wait for the run.
func (s *Store) MarkOutcomeUnknown(now time.Duration, key Key) []Outcome {
	s.advanceClock(now)
	rec := s.records[key]
	if rec == nil || rec.flight == nil || rec.state != stateRunning {
		return nil
	}
	return s.setOutcomeUnknown(key, rec)
}

// AbandonInFlight marks the outcomes of all requests in flight as unknown, as after a restart,
// because the component that ran them is gone. Retries that wait for these requests get no outcome
// from the store. Requests whose completion record is being written are not affected.
func (s *Store) AbandonInFlight(now time.Duration) {
	s.advanceClock(now)
	var keys []Key
	for key, rec := range s.records {
		if rec.flight != nil && rec.state != stateFinishing {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return slices.Compare(a[:], b[:]) })
	for _, key := range keys {
		s.setOutcomeUnknown(key, s.records[key])
	}
}

// Resume puts a key whose outcome is unknown in flight again, so that a late completion can be
// recorded. The outcome of that completion carries requestID. Resume reports whether the outcome of
// the key was unknown.
func (s *Store) Resume(key Key, requestID uint64) bool {
	rec := s.records[key]
	if rec == nil || rec.state != stateUnknown {
		return false
	}
	s.resume(key, rec, requestID)
	return true
}
