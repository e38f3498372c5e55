package backend

import (
	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
	"strconv"
	"time"
)

// requestState is where a req is.
type requestState uint8

const (
	stateUnverified requestState = iota // the processor is asked whether it knows it; the module has not heard of it
	stateHeld
	stateJoined         // waits for the result of another
	stateAwaitingIntent // guarded, to be begun: waits until that is on the disk, or for another with its key
	stateAwaitingResult // guarded, and ended: waits until its result is
	stateRunning        // begun, or to be begun once the link stands
	stateAwaitingCall   // its run waits for a call that is not made
	stateCalling        // and for one that is
)

// request is one req from reading to the end of its run.
type request struct {
	id          uint64
	wireID      string // the id as it came
	handler     int
	stickyRoute string // of the worker that its calls stick to; empty: any
	body        []byte
	state       requestState

	ticket   accounting.Ticket
	client   *clientConn // who waits for the answer; nil once it is given or nobody does
	slot     uint16
	keepOpen bool

	startSent, runHeard bool          // begin is written; something of the run was heard
	confirmTag          uint64        // the last question for gauges before the last command: one answered later proves it arrived
	cancelRequested     bool          // the run is to end
	probeDue            time.Duration // after an interrupt: nothing heard until then may prove that it never ran
	probeTag            uint64        // the question for gauges, asked after that, whose answer does; 0 before
	callBody            []byte        // what the run asks of the next tier
	callReply           []byte        // the reply, until more is heard of the run
	callReplied         bool
	call                *call
	callFailed          bool // its last call failed
	callOutcomeUnknown  bool // and may have had its effect

	arrival   overload.Event // unverified: its arrival
	readAt    time.Duration  // when it was read whole
	arrivedAt time.Duration  // when it came to the machine
	verified  bool           // the processor knows it
	verifyTag uint64         // the question for gauges whose answer proves that it is known if it is not rejected

	guard     *guardState // nil where it may run twice
	takenOver bool        // over from another box: nobody waits for it on a connection
	accounted bool        // taken over, and its account is closed

	clientTimeout time.Duration // how long its caller waits from when it came, as told; 0 not told
	subject       cacheKey
	originalID    uint64     // the remembered req that it repeats
	followers     []*request // those that wait for its result
}

func (b *Backend) hasClient(r *request) bool { return r.client != nil }

// isWanted tells whether anybody waits for a req, here or elsewhere.
func (b *Backend) isWanted(r *request) bool { return b.hasClient(r) || r.takenOver }

// apply carries out one action of the module.
func (b *Backend) apply(a *overload.Action) {
	switch a.Kind {
	case overload.Health:
		b.healthy, b.shallowChecks = a.Healthy, a.Shallow
		return
	case overload.Signal:
		b.signal = strconv.AppendFloat(b.signal[:0], a.Value, 'f', 4, 64)
		return
	case overload.Wake:
		b.controllerWake = a.At
		b.wakeBy(a.At)
		return
	case overload.CloseIdle:
		b.idleTimeout = a.Duration
		return
	case overload.Forget: // also of a req that has ended
		if e := b.results.byID[a.ID]; e != nil && !e.runsOnce { // what must run once goes as it never ran: by its end
			b.results.drop(e)
		}
		return
	}
	r := b.requests[a.ID]
	if r == nil {
		return // it ended in the same batch
	}
	switch a.Kind {
	case overload.Start:
		if !invariant.Check(r.state == stateHeld && b.isWanted(r), "what is run is held") {
			return
		}
		if v := b.process.Start(r.readAt); v != lifecycle.Allowed && !r.takenOver {
			b.recordViolation("start", r, v)
			b.runEnded(r, overload.NeverRan, accounting.NotReady, 0, nil)
			return
		}
		if r.guard != nil {
			b.guard.requestStart(r)
			return
		}
		b.startRun(r)
	case overload.Cancel:
		switch {
		case r.state >= stateRunning:
			b.stats.Stopped++
			b.processor.cancel(r)
		case r.state == stateAwaitingIntent:
			b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		}
	case overload.Reject:
		if r.takenOver {
			b.cluster.closeAccount(r, accounting.Shed)
			b.releaseUnstarted(r)
			return
		}
		if b.process.Phase() > lifecycle.Serving && b.cluster.handOff(r) {
			return
		}
		if invariant.Check(r.state == stateHeld, "what is shed never ran") {
			b.frontend.shed(r, a.RetryAfter, a.NoRetry)
		} else {
			b.frontend.failed(r, accounting.Cancelled)
		}
		b.finishAnswered(r)
	case overload.Fail:
		if b.hasClient(r) {
			why := accounting.Cancelled
			if r.state == stateAwaitingCall && r.callFailed {
				why = accounting.CallFailed
			}
			b.frontend.failed(r, why)
			b.finishAnswered(r)
		} else if r.takenOver && r.state < stateAwaitingIntent {
			b.cluster.closeAccount(r, accounting.Cancelled)
			b.releaseUnstarted(r)
		} else if r.state >= stateAwaitingCall {
			b.cancelRun(r) // nobody waits, but the run does
		}
	case overload.Remember:
		b.results.remember(r, a.Duration)
	case overload.Coalesce:
		switch {
		case !invariant.Check(r.state == stateHeld && b.isWanted(r) && r.originalID != 0, "what joins is a held repeat"):
		case r.guard != nil && !r.guard.replayable:
			b.guard.join(r)
		default:
			b.results.join(r)
		}
	case overload.Call:
		if r.state == stateAwaitingCall {
			b.call(r, a.Duration)
		}
	default:
		invariant.Check(false, "an action that this protocol has no message for")
	}
}

// admit hands a req to the module.
func (b *Backend) admit(r *request) {
	r.state = stateHeld
	r.arrival.Delay += b.now - r.readAt
	if r.guard != nil {
		r.guard.askedAt = b.now
		if !b.guard.admit(r) {
			return
		}
	} else {
		switch why := b.results.lookup(r); why {
		case accounting.None:
		case accounting.UnknownRequest:
			b.frontend.unknown(r)
			return
		default:
			b.frontend.declined(r, why)
			b.finishAnswered(r)
			return
		}
	}
	b.submitArrival(r)
}

// submitArrival has the module hear of a req.
func (b *Backend) submitArrival(r *request) {
	if r.clientTimeout > 0 {
		r.arrival.Remaining = max(time.Millisecond, r.clientTimeout-r.arrival.Delay)
	}
	b.events = append(b.events, r.arrival)
}

// startRun has the processor run a req.
func (b *Backend) startRun(r *request) {
	r.state = stateRunning
	b.stats.Begun++
	b.processor.start(r)
}

// finishAnswered follows the final answer of a req.
func (b *Backend) finishAnswered(r *request) {
	b.unanswered--
	r.client = nil
	b.releaseUnstarted(r)
}

// clientGone follows the edge node's word that it no longer waits, or (BrokenOff) the end of its connection.
func (b *Backend) clientGone(r *request, how overload.Outcome) {
	b.unanswered--
	why := accounting.Aborted
	if how == overload.BrokenOff {
		why = accounting.ConnectionLost
	}
	b.ledger.Close(b.wall, r.ticket, why)
	r.client = nil
	if r.state != stateUnverified && r.state != stateAwaitingResult {
		b.events = append(b.events, overload.Event{Kind: overload.ClientGone, ID: r.id, Outcome: how})
	}
	b.releaseUnstarted(r)
}

// releaseUnstarted lets go of a req that never ran, and ends a run that stands at a call: as the simulator does.
func (b *Backend) releaseUnstarted(r *request) {
	switch r.state {
	case stateUnverified, stateHeld, stateJoined:
		delete(b.requests, r.id)
		b.guard.withdraw(r)
		b.results.ended(r, overload.Failed, false, nil)
	case stateAwaitingCall, stateCalling:
		b.cancelRun(r)
	}
}

func (b *Backend) cancelRun(r *request) {
	b.upstream.cancel(r)
	b.processor.cancel(r)
}

// runEnded follows the end of a run, why says how it is accounted for; body is the result.
func (b *Backend) runEnded(r *request, how overload.Outcome, why accounting.Reason, took time.Duration, body []byte) {
	if r.state >= stateRunning {
		b.stats.Ended++
	}
	waits := r.guard != nil && b.guard.recordEnd(r, how, why, body) // until its result is on the disk
	b.upstream.cancel(r)
	if r.probeDue > 0 {
		b.processor.probing--
		r.probeTag, r.probeDue = 0, 0
	}
	b.events = append(b.events, overload.Event{Kind: overload.Ended, ID: r.id, Outcome: how, Took: took})
	if waits {
		return
	}
	if b.hasClient(r) {
		if how == overload.OK {
			b.frontend.succeeded(r, why, body)
		} else {
			b.frontend.declined(r, why)
		}
		b.unanswered--
		r.client = nil
	}
	b.cluster.closeAccount(r, why)
	delete(b.requests, r.id)
	b.results.ended(r, how, r.startSent && why != accounting.NeverRan, body)
}

// reasonOf says how the end of a run is accounted for.
func reasonOf(how overload.Outcome) accounting.Reason {
	switch how {
	case overload.OK:
		return accounting.Completed
	case overload.Stopped:
		return accounting.RunStopped
	case overload.NeverRan:
		return accounting.NeverRan
	}
	return accounting.RunFailed
}
