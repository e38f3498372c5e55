package idempotency

import (
	"math"
	"time"
)

// recordState is the state of the request of a key.
//
// The transitions between the states, and the functions that make them:
//
//	from                 cause                                           to         function
//	none                 a fresh request is reserved                     reserved   reserve
//	none                 an intent is loaded or merged                   unknown    addUnknown
//	reserved             its intent is durable                           running    start
//	reserved             all its requests withdraw, or the disk fails    none       removeInFlight
//	reserved, running    no outcome will be reported                     unknown    setOutcomeUnknown
//	reserved, running    it is proved never to have run                  none       removeInFlight
//	reserved, running    it completes with a result                      finishing  awaitCompletion
//	reserved, running    it fails, or completes after the disk failed    finished   finish
//	finishing            its completion is durable, or the disk fails    finished   finish
//	unknown              its run is reported after all                   running    resume
//	unknown              its completion is loaded or merged              finished   resolve
//	unknown              the log entry is loaded that it never ran       none       removeUnknown
//	unknown, finished    it expires                                      none       expire
//
// "None" is a key without a record. Such a key may still have a fingerprint.
type recordState uint8

const (
	stateReserved  recordState = iota // the intent is not yet durable
	stateRunning                      // the request is running
	stateFinishing                    // the request ran, and its result is not yet durable
	stateFinished                     // the request ran with a result, or failed
	stateUnknown                      // there is an intent without a completion record
)

// Names of states in the output of the operators' commands. A finished record has the name of its
// completion kind instead.
const (
	nameInFlight = "in hand"
	nameUnknown  = "in doubt"
)

// record is the state of one key. A store holds millions of records, so the fields that only
// requests in flight need are in a separate struct.
type record struct {
	state             recordState
	completion        EntryKind     // kind of its completion record; 0 without one
	at                time.Duration // time of its completion; before that, of its intent or of when its outcome became unknown
	result            []byte
	intentSegment     *segment // segment with its intent
	completionSegment *segment // segment with its completion record; nil without one
	flight            *flight  // nil unless the record is reserved, running or finishing
}

// flight is the part of a record that exists until the request has finished.
type flight struct {
	seq        uint64   // of the log record that must become durable next
	originalID uint64   // request ID of the request that runs or is to run; 0 after it was withdrawn
	waitingIDs []uint64 // request IDs of its retries, which receive the same outcome
	handler    string
}

// lateRequestID is the ID of the original request of a run that is reported after its outcome
// became unknown. No client waits for its result.
const lateRequestID = math.MaxUint64

// decision returns the decision on a retry of a record that is no longer in flight.
func (r *record) decision() Decision {
	switch {
	case r.state == stateUnknown:
		return OutcomeUnknown
	case r.completion == EntryResult:
		return Replay
	case r.completion == EntryResultTooLong:
		return ResultExpired
	default:
		return OriginalFailed
	}
}

// stateName returns the name of the record's state in the output of the operators' commands.
func (r *record) stateName() string {
	switch r.state {
	case stateFinished:
		return r.completion.String()
	case stateUnknown:
		return nameUnknown
	default:
		return nameInFlight
	}
}

// awaitsDisk reports whether the record waits for one of its log records to become durable.
func (r *record) awaitsDisk() bool {
	return r.flight != nil && r.state != stateRunning
}

// setCompletionSegment sets the segment that has the record's completion and counts the record
// there.
func (r *record) setCompletionSegment(seg *segment) {
	r.completionSegment = seg
	seg.liveRecords++
}

// appendWaiting appends an outcome for each retry that waits for the flight to finish.
func (f *flight) appendWaiting(outcomes []Outcome, decision Decision, result []byte) []Outcome {
	for _, id := range f.waitingIDs {
		outcomes = append(outcomes, Outcome{ID: id, Decision: decision, Result: result})
	}
	return outcomes
}

// reserve creates the record of a fresh request and appends its intent to the log.
func (s *Store) reserve(key Key, handler string, requestID uint64) {
	seg, seq := s.appendKeyEntry(EntryIntent, key, []byte(handler))
	seg.liveRecords++
	s.records[key] = &record{
		state:         stateReserved,
		at:            s.now,
		intentSegment: seg,
		flight:        &flight{seq: seq, originalID: requestID, handler: handler},
	}
	s.inFlight++
	s.awaitingDisk = append(s.awaitingDisk, key)
}

// addUnknown creates a record with an unknown outcome for an intent in the given segment.
func (s *Store) addUnknown(key Key, at time.Duration, seg *segment) *record {
	seg.liveRecords++
	rec := &record{state: stateUnknown, at: at, intentSegment: seg}
	s.records[key] = rec
	s.unknownOutcomes++
	return rec
}

// start changes a record to running and returns the outcome that lets its original request run.
func (s *Store) start(rec *record) Outcome {
	rec.state = stateRunning
	return Outcome{ID: rec.flight.originalID, Decision: Start}
}

// awaitCompletion changes a record to finishing. Its requests are answered when the completion
// record, which has the given sequence number, is durable.
func (s *Store) awaitCompletion(key Key, rec *record, seq uint64) {
	rec.state = stateFinishing
	rec.flight.seq = seq
	s.awaitingDisk = append(s.awaitingDisk, key)
}

// finish ends a flight and returns the outcomes of all requests that wait for it, including the
// original request if answerOriginal is set.
func (s *Store) finish(key Key, rec *record, answerOriginal bool) []Outcome {
	var outcomes []Outcome
	if answerOriginal && rec.flight.originalID != 0 {
		outcomes = append(outcomes, Outcome{ID: rec.flight.originalID, Decision: Completed, Result: rec.result})
	}
	if rec.completion == EntryResultTooLong {
		rec.result = nil // only the original request receives it
	}
	outcomes = rec.flight.appendWaiting(outcomes, rec.decision(), rec.result)
	rec.state = stateFinished
	rec.flight = nil
	rec.at = s.now
	s.inFlight--
	s.expiryQueue = append(s.expiryQueue, key)
	s.addResult(rec)
	return outcomes
}

// setOutcomeUnknown ends a flight whose outcome will not be reported and returns the outcomes of
// the retries that wait for it.
func (s *Store) setOutcomeUnknown(key Key, rec *record) []Outcome {
	outcomes := rec.flight.appendWaiting(nil, OutcomeUnknown, nil)
	if rec.flight.handler != "" {
		s.unknownHandlers[key] = rec.flight.handler
	}
	rec.state = stateUnknown
	rec.flight = nil
	rec.at = s.now
	s.inFlight--
	s.unknownOutcomes++
	s.expiryQueue = append(s.expiryQueue, key)
	return outcomes
}

// resume puts a record whose outcome is unknown in flight again, with the given request as its
// original request.
func (s *Store) resume(key Key, rec *record, requestID uint64) {
	rec.state = stateRunning
	rec.flight = &flight{originalID: requestID, handler: s.unknownHandlers[key]}
	delete(s.unknownHandlers, key)
	s.unknownOutcomes--
	s.inFlight++
}

// resolve sets the completion of a record whose outcome is unknown. seg is the segment that has the
// completion record.
func (s *Store) resolve(key Key, rec *record, completion EntryKind, at time.Duration, seg *segment) {
	rec.state = stateFinished
	rec.completion = completion
	rec.at = at
	rec.setCompletionSegment(seg)
	s.unknownOutcomes--
	delete(s.unknownHandlers, key)
	delete(s.uncompletedIntents, key)
}

// removeInFlight removes a record in flight whose request has not run.
func (s *Store) removeInFlight(key Key, rec *record) {
	rec.intentSegment.liveRecords--
	s.inFlight--
	delete(s.records, key)
}

// removeUnknown removes a record whose outcome was unknown, because a log entry that was loaded
// proves that its request never ran.
func (s *Store) removeUnknown(key Key, rec *record) {
	rec.intentSegment.liveRecords--
	s.unknownOutcomes--
	delete(s.uncompletedIntents, key)
	delete(s.unknownHandlers, key)
	delete(s.records, key)
}

// expire removes a record that is not in flight and adds its fingerprint to the segment of its
// intent.
func (s *Store) expire(key Key, rec *record) {
	s.resultBytes -= len(rec.result)
	if rec.state == stateUnknown {
		s.unknownOutcomes--
		delete(s.unknownHandlers, key)
	}
	delete(s.records, key)
	delete(s.uncompletedIntents, key)
	rec.intentSegment.addFingerprint(key, s.cfg.KeysPerSegment)
	rec.intentSegment.liveRecords--
	if rec.completionSegment != nil {
		rec.completionSegment.liveRecords--
	}
}
