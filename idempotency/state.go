package idempotency

import (
	"math"
	"time"
)

// recordState is how far the request of a key has come.
//
// The transitions between the states, and the functions that make them:
//
//	from                 cause                                       to         function
//	none                 a fresh request is reserved                 reserved   reserve
//	none                 an intent is loaded or merged               unknown    addUnknown
//	reserved             its intent is durable                       running    start
//	reserved             withdrawn by all, or the disk failed        none       forget
//	reserved, running    its owner will not tell how it ended        unknown    loseOutcome
//	reserved, running    it is proved never to have run              none       forget
//	reserved, running    it ended with a result                      finishing  awaitEnd
//	reserved, running    it failed, or ended after the disk failed   finished   finish
//	finishing            its end is durable, or the disk failed      finished   finish
//	unknown              its end turns up after all                  running    resume
//	unknown              its end is loaded or merged                 finished   resolve
//	unknown              it is loaded that it never ran              none       forgetUnknown
//	unknown, finished    it expires                                  none       expire
//
// "None" is a key without a record. It may still have a fingerprint.
type recordState uint8

const (
	stateReserved  recordState = iota // its intent is not yet durable
	stateRunning                      // it runs
	stateFinishing                    // it has run, and its result is not yet durable
	stateFinished                     // it has a result, or failed
	stateUnknown                      // it has an intent and no end
)

// Names of states as the operators' commands print them. A finished record has the name of its end
// instead.
const (
	nameInFlight = "in hand"
	nameUnknown  = "in doubt"
)

// record is what is remembered of a key. There are millions of them, so what only those in flight
// need is kept apart.
type record struct {
	state             recordState
	completion        EntryKind     // how it ended; 0 if that is not known
	at                time.Duration // of its end, or of its intent while the outcome is unknown
	result            []byte
	intentSegment     *segment // that has its intent
	completionSegment *segment // that has its end; nil without one
	flight            *flight  // nil unless reserved, running or finishing
}

// flight is what a record needs until it has ended.
type flight struct {
	seq        uint64   // of the log record that is waited for
	originalID uint64   // the request that runs; 0 once it was withdrawn
	waitingIDs []uint64 // retries of it, which get the same outcome
	handler    string
}

// lateRequest is the original request of a run whose end turned up after its outcome was unknown:
// no caller waits for it.
const lateRequestID = math.MaxUint64

// decision is what a retry meets once the record is no longer in flight.
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

// stateName returns the record's state as the operators' commands print it.
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

// awaitsDisk reports whether the record waits for one of its log records to be durable.
func (r *record) awaitsDisk() bool {
	return r.flight != nil && r.state != stateRunning
}

// setEndSegment notes which segment has the record's end.
func (r *record) setCompletionSegment(seg *segment) {
	r.completionSegment = seg
	seg.liveRecords++
}

// appendWaiting appends a decision for each request that waits for the flight's end.
func (f *flight) appendWaiting(outcomes []Outcome, decision Decision, result []byte) []Outcome {
	for _, id := range f.waitingIDs {
		outcomes = append(outcomes, Outcome{ID: id, Decision: decision, Result: result})
	}
	return outcomes
}

// reserve makes a record for a fresh request, and writes its intent.
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

// addUnknown makes a record for an intent in that segment whose end is not known.
func (s *Store) addUnknown(key Key, at time.Duration, seg *segment) *record {
	seg.liveRecords++
	rec := &record{state: stateUnknown, at: at, intentSegment: seg}
	s.records[key] = rec
	s.unknownOutcomes++
	return rec
}

// start lets the original request run.
func (s *Store) start(rec *record) Outcome {
	rec.state = stateRunning
	return Outcome{ID: rec.flight.originalID, Decision: Start}
}

// awaitEnd has the answers wait until the end is durable.
func (s *Store) awaitCompletion(key Key, rec *record, seq uint64) {
	rec.state = stateFinishing
	rec.flight.seq = seq
	s.awaitingDisk = append(s.awaitingDisk, key)
}

// finish ends a flight and answers all that wait for it, and the original request too if
// answerOriginal is set.
func (s *Store) finish(key Key, rec *record, answerOriginal bool) []Outcome {
	var outcomes []Outcome
	if answerOriginal && rec.flight.originalID != 0 {
		outcomes = append(outcomes, Outcome{ID: rec.flight.originalID, Decision: Completed, Result: rec.result})
	}
	if rec.completion == EntryResultTooLong {
		rec.result = nil // only the original request gets it
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

// loseOutcome ends a flight whose outcome nobody will tell.
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

// resume puts a record whose outcome is unknown in flight again.
func (s *Store) resume(key Key, rec *record, requestID uint64) {
	rec.state = stateRunning
	rec.flight = &flight{originalID: requestID, handler: s.unknownHandlers[key]}
	delete(s.unknownHandlers, key)
	s.unknownOutcomes--
	s.inFlight++
}

// resolve gives a record whose outcome is unknown its end, whose log record is in that segment.
func (s *Store) resolve(key Key, rec *record, completion EntryKind, at time.Duration, seg *segment) {
	rec.state = stateFinished
	rec.completion = completion
	rec.at = at
	rec.setCompletionSegment(seg)
	s.unknownOutcomes--
	delete(s.unknownHandlers, key)
	delete(s.uncompletedIntents, key)
}

// forget removes a record in flight whose request has not run.
func (s *Store) removeInFlight(key Key, rec *record) {
	rec.intentSegment.liveRecords--
	s.inFlight--
	delete(s.records, key)
}

// forgetUnknown removes a record whose outcome was unknown until it was loaded that it never ran.
func (s *Store) removeUnknown(key Key, rec *record) {
	rec.intentSegment.liveRecords--
	s.unknownOutcomes--
	delete(s.uncompletedIntents, key)
	delete(s.unknownHandlers, key)
	delete(s.records, key)
}

// expire replaces a record that is not in flight by its fingerprint.
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
