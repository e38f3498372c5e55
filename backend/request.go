package backend

import (
	"time"

	"frosthub/accounting"
	"frosthub/overload"
)

// request is the state of one request, from the time it is read until it is answered and its run has ended. It is owned
// by the owner goroutine.
type request struct {
	id          uint64
	wireID      string // the id in its received form
	handler     int    // index in Backend.handlers
	stickyRoute string // upstream worker that its calls are routed to; empty for any worker
	body        []byte
	state       requestState

	// Client.
	ticket   accounting.Ticket
	client   *clientConn // connection of the waiting client; nil after the response or if no client waits
	slot     uint16      // slot on the client's connection
	keepOpen bool        // the connection stays open after the response

	// Run.
	startSent         bool   // the begin command was written
	runNoticeReceived bool   // the processor has sent a notice about the run
	tagBeforeCommand  uint64 // last query before the last command; the answer to a later gauge query proves that the command arrived
	cancelRequested   bool   // the run is to be cancelled

	// Unconfirmed run, see unconfirmedRuns.
	noticeDeadline       time.Duration // until when a notice about the run is awaited; 0 if the run is not unconfirmed
	restartWhenCancelled bool          // the run was interrupted in order to start again

	// Upstream call of the run.
	callBody           []byte        // body of the call that the run requested
	callReplied        bool          // the call was answered, and the run was sent the reply or will be
	replyUnsent        bool          // the reply was not sent yet, because the link was not ready
	callReply          []byte        // the reply while it is unsent
	call               *upstreamCall // call in flight; nil for none
	callConns          []*proxyConn  // connections that carried its calls, see proxyConn.mayCarry
	callFailed         bool          // the last call failed
	callOutcomeUnknown bool          // the last call may have taken effect all the same

	// Arrival.
	arrival   overload.Event // event that reports the request to the overload controller
	readAt    time.Duration  // when the request was completely read
	arrivedAt time.Duration  // when the request reached this machine
	verified  bool           // the processor confirmed that it recognizes the request
	verifyTag uint64         // gauge query whose answer confirms the request unless the processor rejects it first

	guard         *guardState // state in the idempotency guard; nil for a request that is not guarded
	failedOver    bool        // taken over from another node of the cluster; no client of this node waits for it
	accountClosed bool        // the account of a request that was taken over is closed

	clientTimeout time.Duration // client timeout from arrival on, as stated by the client; 0 if not stated
	cacheKey      cacheKey
	originalID    uint64     // id of the request that this one repeats; 0 for none
	followers     []*request // repeats that wait for the result of this request
}

// clearReply drops the reply to the last call, which the run no longer waits for.
func (r *request) clearReply() {
	r.callReply = nil
	r.callReplied = false
	r.replyUnsent = false
}

// requestTable holds the requests that are not answered or whose run has not ended. It is not safe for concurrent use.
type requestTable struct {
	requests   map[uint64]*request // by id
	unanswered int                 // number of requests that a client waits for
}

// releaseClient detaches the client from a request, after its response or when the client has disconnected.
func (t *requestTable) releaseClient(r *request) {
	t.unanswered--
	r.client = nil
}

// hasClient reports whether a client of this node waits for the response.
func (b *Backend) hasClient(r *request) bool { return r.client != nil }

// isWanted reports whether a client waits for a request, at this node or at another one.
func (b *Backend) isWanted(r *request) bool { return b.hasClient(r) || r.failedOver }

// admit submits a request to the overload controller unless the idempotency guard or the result cache answers or defers it.
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

// submitArrival queues the event that reports the arrival of a request to the overload controller.
func (b *Backend) submitArrival(r *request) {
	if r.clientTimeout > 0 {
		r.arrival.Remaining = max(time.Millisecond, r.clientTimeout-r.arrival.QueueDelay)
	}
	b.events = append(b.events, r.arrival)
}

// startRun starts the run of a request on the processor, after every precondition of the start is met.
func (b *Backend) startRun(r *request) {
	r.run()
	b.stats.Started++
	b.processor.start(r)
}

// finishAnswered releases the client of a request after its final response. A run in progress may continue.
func (b *Backend) finishAnswered(r *request) {
	b.releaseClient(r)
	b.releaseUnstarted(r)
}

// clientGone handles a client's abort of a request or, with overload.ConnectionLost, the loss of its connection.
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

// releaseUnstarted withdraws a request that never ran, and cancels a run that waits for a call. The simulator, in
// which the overload controller runs too, does the same.
func (b *Backend) releaseUnstarted(r *request) {
	switch r.state {
	case stateUnverified, stateHeld, stateJoined:
		b.withdrawRequest(r)
	case stateAwaitingCall, stateCalling:
		b.cancelRun(r)
	}
}

// cancelRun cancels the call of a run and then the run itself.
func (b *Backend) cancelRun(r *request) {
	b.upstream.cancel(r)
	b.processor.cancel(r)
}

// runEnded handles the end of a run with its outcome, the reason by which it is accounted for, its duration and its
// result. The response to a guarded request is delayed until the result is durable.
func (b *Backend) runEnded(r *request, outcome overload.Outcome, reason accounting.Reason, took time.Duration, result []byte) {
	if r.state.runInProgress() {
		b.stats.Ended++
	}
	awaitsDisk := r.guard != nil && b.guard.recordEnd(r, outcome, reason, result)
	b.upstream.cancel(r)
	b.processor.confirm(r)
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
	mayHaveRun := r.startSent && reason != accounting.NeverRan
	b.endRequest(r, requestEnd{outcome: outcome, reason: reason, mayHaveRun: mayHaveRun, result: result})
}

// reasonForOutcome returns the accounting reason for the outcome of a run.
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
