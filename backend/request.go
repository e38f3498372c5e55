package backend

import (
	"time"

	"frosthub/accounting"
	"frosthub/overload"
)

// request is one request from the moment it was read until it is answered and its run has ended. It belongs to the
// owner goroutine.
type request struct {
	id          uint64
	wireID      string // the id as it was received
	handler     int    // index in Backend.handlers
	stickyRoute string // the worker that its calls stick to; empty for any
	body        []byte
	state       requestState

	// Its client.
	ticket   accounting.Ticket
	client   *clientConn // who waits for the answer; nil once it is given or nobody waits
	slot     uint16      // of the client's connection
	keepOpen bool        // the connection stays open after the answer

	// Its run.
	startSent         bool          // the begin command is written
	runNoticeReceived bool          // something was heard of the run
	tagBeforeCommand  uint64        // the last gauge query before the last command: an answer to a later one proves that it arrived
	cancelRequested   bool          // the run is to end
	probeDeadline     time.Duration // after an interrupt: if nothing is heard until then, the run may be proved never to have been
	probeTag          uint64        // the gauge query after that, whose answer proves it; 0 before

	// The call of its run.
	callBody           []byte // what the run asks of the upstream tier
	callReply          []byte // the reply, until more is heard of the run
	callReplied        bool
	call               *upstreamCall // in flight; nil for none
	callFailed         bool          // the last one failed
	callOutcomeUnknown bool          // it may have had its effect all the same

	// Its arrival.
	arrival   overload.Event // what the controller hears of it
	readAt    time.Duration  // when it was read completely
	arrivedAt time.Duration  // when it came to the machine
	verified  bool           // the processor knows it
	verifyTag uint64         // the gauge query whose answer proves that it is known, unless it is rejected before

	guard         *guardState // nil where it may run twice
	failedOver    bool        // from another node of the cluster: no client of this node waits for it
	accountClosed bool        // it was taken over, and its account is closed

	clientTimeout time.Duration // how long its client waits from its arrival on, as stated; 0 if not stated
	cacheKey      cacheKey
	originalID    uint64     // the remembered request that it repeats; 0 for none
	followers     []*request // those that wait for its result
}

// requestTable holds all requests that are not answered or still run. It is not safe for concurrent use.
type requestTable struct {
	requests   map[uint64]*request // by id
	unanswered int                 // those that a client waits for
}

// releaseClient counts that a client no longer waits for a request: it has its answer, or has gone.
func (t *requestTable) releaseClient(r *request) {
	t.unanswered--
	r.client = nil
}

// hasClient reports whether a client of this node waits for the answer.
func (b *Backend) hasClient(r *request) bool { return r.client != nil }

// isWanted reports whether anybody waits for a request, here or at another node.
func (b *Backend) isWanted(r *request) bool { return b.hasClient(r) || r.failedOver }

// admit hands a request to the controller, unless it can be answered without.
func (b *Backend) admit(r *request) {
	r.hold()
	r.arrival.QueueDelay += b.now - r.readAt
	if r.guard != nil {
		r.guard.claimedAt = b.now
		if b.guard.admit(r) {
			b.submitArrival(r)
		}
		return
	}
	switch reason := b.results.checkRepeat(r); reason {
	case accounting.NoReason:
		b.submitArrival(r)
	case accounting.UnknownRequest:
		b.frontend.rejectUnknown(r)
	default:
		b.frontend.respondWithoutResult(r, reason)
		b.finishAnswered(r)
	}
}

// submitArrival adds the event by which the controller hears of a request.
func (b *Backend) submitArrival(r *request) {
	if r.clientTimeout > 0 {
		r.arrival.Remaining = max(time.Millisecond, r.clientTimeout-r.arrival.QueueDelay)
	}
	b.events = append(b.events, r.arrival)
}

// startRun has the processor run a request whose start nothing holds back any more.
func (b *Backend) startRun(r *request) {
	r.run()
	b.stats.Started++
	b.processor.start(r)
}

// finishAnswered follows the final answer of a request. Its run may go on.
func (b *Backend) finishAnswered(r *request) {
	b.releaseClient(r)
	b.releaseUnstarted(r)
}

// clientGone follows the client's abort, or with overload.BrokenOff the end of its connection.
func (b *Backend) clientGone(r *request, outcome overload.Outcome) {
	reason := accounting.Aborted
	if outcome == overload.ConnectionLost {
		reason = accounting.ConnectionLost
	}
	b.ledger.Close(b.wallTime, r.ticket, reason)
	b.releaseClient(r)
	if r.state != stateUnverified && r.state != stateAwaitingResult {
		b.events = append(b.events, overload.Event{Kind: overload.ClientGone, ID: r.id, Outcome: outcome})
	}
	b.releaseUnstarted(r)
}

// releaseUnstarted lets go of a request that never ran, and cancels a run that waits for a call, as the simulator does.
func (b *Backend) releaseUnstarted(r *request) {
	switch r.state {
	case stateUnverified, stateHeld, stateJoined:
		b.withdrawRequest(r)
	case stateAwaitingCall, stateCalling:
		b.cancelRun(r)
	}
}

// cancelRun gives up the call of a run and interrupts the run.
func (b *Backend) cancelRun(r *request) {
	b.upstream.cancel(r)
	b.processor.cancel(r)
}

// runEnded follows the end of a run: outcome is how it ended, reason how it is accounted for, took how long it ran.
// The answer of a guarded request waits until its result is durable.
func (b *Backend) runEnded(r *request, outcome overload.Outcome, reason accounting.Reason, took time.Duration, result []byte) {
	if r.state.runInProgress() {
		b.stats.Ended++
	}
	awaitsDisk := r.guard != nil && b.guard.recordEnd(r, outcome, reason, result)
	b.upstream.cancel(r)
	if r.probeDeadline > 0 {
		b.processor.endProbe(r)
	}
	b.events = append(b.events, overload.Event{Kind: overload.Ended, ID: r.id, Outcome: outcome, Took: took})
	if awaitsDisk {
		return
	}
	if b.hasClient(r) {
		if outcome == overload.OK {
			b.frontend.respondSuccess(r, reason, result)
		} else {
			b.frontend.respondWithoutResult(r, reason)
		}
		b.releaseClient(r)
	}
	ran := r.startSent && reason != accounting.NeverRan
	b.endRequest(r, requestEnd{outcome: outcome, reason: reason, mayHaveRun: ran, result: result})
}

// reasonForOutcome returns how the end of a run is accounted for.
func reasonForOutcome(outcome overload.Outcome) accounting.Reason {
	switch outcome {
	case overload.OK:
		return accounting.Completed
	case overload.Cancelled:
		return accounting.RunStopped
	case overload.NeverRan:
		return accounting.NeverRan
	}
	return accounting.RunFailed
}
