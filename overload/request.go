package overload

import (
	"slices"
	"time"
)

// requestState is the state of a request in its life cycle.
//
// Each request has two: state is the one that events have reported, wantedState the one that later decisions have
// set. They differ only during a call of Handle, the end of which converts the differences to actions. The methods of
// Controller in this file are the transitions. Nothing else changes a state, except that the end of Handle sets state
// to wantedState:
//
//	from          to            transition   cause
//	-             queued        enqueue      event Arrived
//	queued        coalesced     coalesce     repeat of a request with an idempotency entry; action Coalesce
//	queued        running       start        action Start
//	running       awaitingCall  awaitCall    event NeedsCall
//	awaitingCall  calling       placeCall    action Call
//	awaitingCall  running       skipCall     action SkipCall
//	calling       running       finishCall   event CallEnded with OK
//	calling       awaitingCall  failCall     event CallEnded with another outcome
//	queued        ended         endRequest   action Reject or Fail, event ClientGone
//	coalesced     ended         endRequest   action Fail, event Ended or ClientGone
//	running       ended         endRequest   event Ended
//	awaitingCall  ended         endRequest   event Ended
//	calling       ended         endRequest   event Ended
//
// A final answer (Reject or Fail) ends a request at once only if the request has no run. Otherwise the run occupies
// its core and memory until its Ended event. Cancel has no state of its own, because it may have no effect.
type requestState uint8

const (
	stateQueued       requestState = iota // waits to be started
	stateCoalesced                        // waits for the answer to its original
	stateRunning                          // is running
	stateAwaitingCall                     // is running and waits until it may call the dependency
	stateCalling                          // is running and has its call in flight
	stateEnded
	numStates
)

// startedOrEnded reports whether the request has been started or has ended, with or without a run.
func (s requestState) startedOrEnded() bool { return s >= stateRunning }

// request is a request from its arrival to its end, or longer while it has an idempotency entry or repeats.
type request struct {
	id        uint64
	handler   *handler
	arrivedAt time.Duration // when the request reached the server's input
	readAt    time.Duration // when the controller received its Arrived event
	deadline  time.Duration // an answer after this time is useless
	target    time.Duration // response target; an answer by then has its full value
	sizeKB    float64       // memory while queued
	costScale float64       // expected work relative to the mean of its handler

	state           requestState // as reported by events
	wantedState     requestState // as decided
	dirty           bool         // listed in requestTable.dirty
	mayHaveRun      bool         // started, or repeats an unknown original that may have run
	startedAt       time.Duration
	cpuTime         time.Duration // estimated CPU time of the run
	trackerBreaches int           // number of resource trackers breached at the last observation

	answer           ActionKind    // final answer sent: Reject, Fail or noAnswer
	wantedAnswer     ActionKind    // final answer decided, noAnswer if none
	retryAfter       time.Duration // delay that a Reject carries
	noRetry          bool          // a Reject advises against a retry on another server
	clientGone       bool          // the client no longer waits
	stopWanted       bool          // the run, if there is one, should be stopped
	cancelledAt      time.Duration // time of the last Cancel action, 0 if there is none or it may be repeated
	entryWantedUntil time.Duration // wanted expiry of its idempotency entry, 0 for no entry
	entryExpiresAt   time.Duration // expiry of the existing entry, 0 if there is none

	original       *request // the request that this one repeats, nil if none or unknown
	pendingRepeats int      // number of repeats that wait for this request

	callRequestedAt time.Duration // start of the latest wait for a call
	callTimeout     time.Duration // timeout of the latest call
	callTime        time.Duration // total time spent waiting for calls and making them
	callRetried     bool          // the call has been retried; a second retry is not made
}

// needsAnswer reports whether a final answer may still be decided: the request has not ended, its client waits, and
// neither Reject nor Fail has been decided.
func (r *request) needsAnswer() bool {
	return r.state != stateEnded && r.answer == noAnswer && r.wantedAnswer == noAnswer && !r.clientGone
}

// requestTable contains the requests of a server.
type requestTable struct {
	byID         map[uint64]*request // requests that have not ended
	byArrival    []*request          // the same in order of arrival, plus the requests that ended since the last tick
	dirty        []*request          // requests whose wanted and reported states may differ
	countByState [numStates]int      // number of requests by wanted state
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*request{}}
}

func (t *requestTable) queued() int  { return t.countByState[stateQueued] }
func (t *requestTable) running() int { return t.countByState[stateRunning] }
func (t *requestTable) calling() int { return t.countByState[stateCalling] }

// inProgress returns the number of requests that have been started and have not ended.
func (t *requestTable) inProgress() int {
	return t.countByState[stateRunning] + t.countByState[stateAwaitingCall] + t.countByState[stateCalling]
}

// removeEnded removes the ended requests from byArrival.
func (t *requestTable) removeEnded() {
	t.byArrival = slices.DeleteFunc(t.byArrival, func(r *request) bool { return r.state == stateEnded })
}

// markDirty adds a request to those for which the end of Handle compares the wanted with the reported state.
func (t *requestTable) markDirty(r *request) {
	if !r.dirty {
		r.dirty = true
		t.dirty = append(t.dirty, r)
	}
}

// enqueue adds a new request in the queued state.
func (c *Controller) enqueue(r *request) {
	c.requests.byID[r.id] = r
	c.requests.byArrival = append(c.requests.byArrival, r)
	c.requests.countByState[stateQueued]++
	r.handler.queued++
	c.memory.usedKB += r.sizeKB
}

// coalesce makes a repeat wait for the answer to its original.
func (c *Controller) coalesce(now time.Duration, r *request) {
	c.setWantedState(now, r, stateCoalesced)
}

// start starts a queued request.
func (c *Controller) start(now time.Duration, r *request) {
	r.mayHaveRun = true
	r.startedAt = now
	c.setWantedState(now, r, stateRunning)
}

// awaitCall records that a running request has reached its call.
func (c *Controller) awaitCall(now time.Duration, r *request) {
	r.callRequestedAt = now
	c.setReportedState(now, r, stateAwaitingCall)
}

// placeCall permits a request to make its call with the given timeout.
func (c *Controller) placeCall(now time.Duration, r *request, timeout time.Duration) {
	r.callTimeout = timeout
	c.setWantedState(now, r, stateCalling)
}

// skipCall makes a request continue without its call.
func (c *Controller) skipCall(now time.Duration, r *request) {
	r.callTime += now - r.callRequestedAt
	c.setWantedState(now, r, stateRunning)
}

// finishCall records that a call was answered.
func (c *Controller) finishCall(now time.Duration, r *request) {
	r.callTime += now - r.callRequestedAt
	c.setReportedState(now, r, stateRunning)
}

// failCall records that a call ended with an outcome other than OK.
func (c *Controller) failCall(now time.Duration, r *request) {
	c.setReportedState(now, r, stateAwaitingCall)
}

// endRequest removes a request from the table, and requests the removal of idempotency entries that have become
// useless.
func (c *Controller) endRequest(now time.Duration, r *request) {
	c.setReportedState(now, r, stateEnded)
	delete(c.requests.byID, r.id)
	c.releaseOriginal(r)
	c.recordNeverRan(now, r)
}

// setReportedState sets the reported state and the wanted one, since a report supersedes earlier decisions.
func (c *Controller) setReportedState(now time.Duration, r *request, to requestState) {
	c.setWantedState(now, r, to)
	r.state = to
}

// setWantedState sets the wanted state, and updates the counts and the memory that depend on it.
func (c *Controller) setWantedState(now time.Duration, r *request, to requestState) {
	from := r.wantedState
	if from == to {
		return
	}
	if from == stateCalling || to == stateCalling {
		c.calls.accrue(now, c.requests.calling())
	}
	if from == stateCalling && to != stateRunning {
		c.calls.recordUnsuccessfulCall(now)
	}
	if from == stateQueued {
		r.handler.queued--
	}
	c.memory.usedKB += c.memory.usageOf(r, to) - c.memory.usageOf(r, from)
	c.requests.countByState[from]--
	c.requests.countByState[to]++
	r.wantedState = to
	c.requests.markDirty(r)
}
