package overload

import (
	"slices"
	"time"
)

// requestState says where a request is.
//
// Each request has two of them: state is what events have reported, wanted what decisions have made of it since.
// They differ within a call of Handle only, whose end turns the differences into actions. The methods of Controller
// in this file are the transitions, and nothing else changes a state:
//
//	from          to            transition   cause
//	-             queued        enqueue      event Arrived
//	queued        coalesced     coalesce     it repeats a remembered request; action Coalesce
//	queued        running       start        action Start
//	running       awaitingCall  awaitCall    event NeedsCall
//	awaitingCall  calling       placeCall    action Call
//	awaitingCall  running       skipCall     action SkipCall
//	calling       running       finishCall   event CallEnded with OK
//	calling       awaitingCall  failCall     event CallEnded with another outcome
//	queued        ended         end          action Reject or Fail, event ClientGone
//	coalesced     ended         end          action Fail, event Ended or ClientGone
//	running       ended         end          event Ended
//	awaitingCall  ended         end          event Ended
//	calling       ended         end          event Ended
//
// A final answer (Reject, Fail) ends a request at once only if nothing of it runs. Otherwise it keeps its core and
// memory until its Ended event. Cancel has no state of its own, as it may be without effect.
type requestState uint8

const (
	stateQueued       requestState = iota // waits to be started
	stateCoalesced                        // waits for the answer of its original
	stateRunning                          // runs
	stateAwaitingCall                     // runs, and waits to be allowed its call
	stateCalling                          // runs, and its call is in flight
	stateEnded
	numStates
)

// admitted reports whether a request was started, whether or not it has ended since.
func (s requestState) admitted() bool { return s >= stateRunning }

// request is one request from its arrival until it has ended, and longer while it is in the idempotency table or
// has repeats.
type request struct {
	id        uint64
	handler   *handler
	arrivedAt time.Duration // when the server could have read it
	readAt    time.Duration // when the controller heard of it
	deadline  time.Duration // an answer later than this is of no use to anybody
	target    time.Duration // an answer until this has its full value
	sizeKB    float64       // memory while queued
	costScale float64       // expected work in relation to its handler's mean

	state     requestState // as reported
	wanted    requestState // as decided
	dirty     bool         // listed in requestTable.dirty
	wasRun    bool         // it has been started, or may have been by another request
	startedAt time.Duration
	cpuTime   time.Duration // estimated
	breaches  int           // resource trackers that it breached at the last observation

	answer        ActionKind // final answer given: Reject, Fail or noAnswer
	wantedAnswer  ActionKind
	retryAfter    time.Duration // advice of a Reject
	noRetry       bool
	clientGone    bool
	abandoned     bool // what still runs of it should be stopped
	cancelledAt   time.Duration
	rememberUntil time.Duration // wanted end of its entry in the idempotency table, 0 for none
	rememberedTo  time.Duration // end of the entry that there is, 0 if there is none

	original       *request // the request that this one repeats, if that is known
	pendingRepeats int      // repeats that wait for this one

	callAskedAt time.Duration // when it last came to its call
	callTimeout time.Duration
	callTime    time.Duration // spent on its calls
	callRetried bool
}

// needsAnswer reports whether the final answer is still to be decided.
func (r *request) needsAnswer() bool {
	return r.state != stateEnded && r.answer == noAnswer && r.wantedAnswer == noAnswer && !r.clientGone
}

// requestTable holds the requests of a server.
type requestTable struct {
	byID    map[uint64]*request // those that have not ended
	ordered []*request          // the same in the order of arrival, and those that ended since the last tick
	dirty   []*request          // those whose wanted and reported states may differ
	count   [numStates]int      // by wanted state
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*request{}}
}

func (t *requestTable) queued() int  { return t.count[stateQueued] }
func (t *requestTable) running() int { return t.count[stateRunning] }
func (t *requestTable) calling() int { return t.count[stateCalling] }

// inProgress returns the number of requests that were started and have not ended.
func (t *requestTable) inProgress() int {
	return t.count[stateRunning] + t.count[stateAwaitingCall] + t.count[stateCalling]
}

// removeEnded forgets the order of the requests that have ended.
func (t *requestTable) removeEnded() {
	t.ordered = slices.DeleteFunc(t.ordered, func(r *request) bool { return r.state == stateEnded })
}

// markDirty has the end of Handle look at a request.
func (t *requestTable) markDirty(r *request) {
	if !r.dirty {
		r.dirty = true
		t.dirty = append(t.dirty, r)
	}
}

// enqueue takes up a new request.
func (c *Controller) enqueue(r *request) {
	c.requests.byID[r.id] = r
	c.requests.ordered = append(c.requests.ordered, r)
	c.requests.count[stateQueued]++
	r.handler.queued++
	c.memory.usedKB += r.sizeKB
}

// coalesce has a repeat wait for the answer of its original.
func (c *Controller) coalesce(now time.Duration, r *request) { c.decide(now, r, stateCoalesced) }

// start begins the run of a queued request.
func (c *Controller) start(now time.Duration, r *request) {
	r.wasRun = true
	r.startedAt = now
	c.decide(now, r, stateRunning)
}

// awaitCall takes note of a running request that has come to its call.
func (c *Controller) awaitCall(now time.Duration, r *request) {
	r.callAskedAt = now
	c.report(now, r, stateAwaitingCall)
}

// placeCall lets a request make its call.
func (c *Controller) placeCall(now time.Duration, r *request, timeout time.Duration) {
	r.callTimeout = timeout
	c.decide(now, r, stateCalling)
}

// skipCall has a request go on without its call.
func (c *Controller) skipCall(now time.Duration, r *request) {
	r.callTime += now - r.callAskedAt
	c.decide(now, r, stateRunning)
}

// finishCall takes note of a call that was answered.
func (c *Controller) finishCall(now time.Duration, r *request) {
	r.callTime += now - r.callAskedAt
	c.report(now, r, stateRunning)
}

// failCall takes note of a call that came to nothing.
func (c *Controller) failCall(now time.Duration, r *request) { c.report(now, r, stateAwaitingCall) }

// end takes a request out of the table, and lets its idempotency entry go if that is of no use any more.
func (c *Controller) end(now time.Duration, r *request) {
	c.report(now, r, stateEnded)
	delete(c.requests.byID, r.id)
	c.releaseOriginal(r)
	c.noteNeverRan(now, r)
}

// report takes over a state that was reported. It is the wanted one too: whatever was decided before is overtaken.
func (c *Controller) report(now time.Duration, r *request, to requestState) {
	c.decide(now, r, to)
	r.state = to
}

// decide changes the wanted state, and all that is counted by it.
func (c *Controller) decide(now time.Duration, r *request, to requestState) {
	from := r.wanted
	if from == to {
		return
	}
	if from == stateCalling || to == stateCalling {
		c.calls.accrue(now, c.requests.calling())
	}
	if from == stateCalling && to != stateRunning {
		c.calls.giveUp(now)
	}
	if from == stateQueued {
		r.handler.queued--
	}
	c.memory.usedKB += c.memory.of(r, to) - c.memory.of(r, from)
	c.requests.count[from]--
	c.requests.count[to]++
	r.wanted = to
	c.requests.markDirty(r)
}
