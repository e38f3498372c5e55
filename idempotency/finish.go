package idempotency

import (
	"slices"
	"time"
)

// Finish says how the run of a key ended: EntryResult with its result, EntryFailed or
// EntryNeverRan. It returns the outcomes of those that wait for it.
//
// The answers of a run with a result come from MarkDurable, once its log record is durable. The
// others come at once: without their log record the outcome is unknown after a restart, which is
// answered as a failure too.
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
	if completion == EntryResult || completion == EntryResultTooLong { // the original request gets it however long it is
		rec.result = append([]byte(nil), result...)
	}
	if s.failed { // it is answered, and retries meet it as long as this process lives
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

// MarkDurable says that all records up to that sequence number are durable, and returns what may
// happen now.
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

// MarkDiskFailed says that nothing can be written any more. Requests whose intent is not durable never
// started, and are rejected. Results whose record is lost are answered nevertheless: their requests
// have run, and retries meet them as long as this process lives.
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

// MarkOutcomeUnknown says that nobody will tell how the run of a key ended: its outcome is unknown, as
// after a restart. Its end may still turn up. It returns the outcomes of those that wait for it.
func (s *Store) MarkOutcomeUnknown(now time.Duration, key Key) []Outcome {
	s.advanceClock(now)
	rec := s.records[key]
	if rec == nil || rec.flight == nil || rec.state != stateRunning {
		return nil
	}
	return s.setOutcomeUnknown(key, rec)
}

// AbandonInFlight says that whoever had requests in flight is gone: their outcomes are unknown, as
// after a restart, but for ends that are on their way to the disk.
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

// Resume puts a key whose outcome is unknown in flight again, for an end that turns up; its
// completion is that request's. It reports whether the outcome was unknown.
func (s *Store) Resume(key Key, requestID uint64) bool {
	rec := s.records[key]
	if rec == nil || rec.state != stateUnknown {
		return false
	}
	s.resume(key, rec, requestID)
	return true
}
