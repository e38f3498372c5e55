package backend

import (
	"time"

	"frosthub/lifecycle"
	"frosthub/loadbalance"
	"frosthub/overload"
)

// Limits of calls to the upstream tier, whichever protocol carries them.
const (
	// callGrace is how long past its timeout a call is waited for: the server that runs it should report the timeout
	// first.
	callGrace = 20 * time.Millisecond
	// upstreamConnShare is the part of the descriptors that connections to the upstream tier may take.
	upstreamConnShare = 0.125
	// maxUnsentCalls is how many bytes of calls may wait on one connection.
	maxUnsentCalls = 256 << 10
)

// upstream makes the calls that runs need from the upstream tier. The overload controller decides which calls are made; an
// upstream only carries them. All methods are called by the goroutine that owns the backend.
type upstream interface {
	// connectionLimit is the number of connections that the upstream may hold.
	connectionLimit() int
	// invoke makes the call of r, which times out after the given time.
	invoke(r *request, after time.Duration)
	// cancel gives up the call of r, if there is one.
	cancel(r *request)
	// reconfigure sends new calls to the addresses of another configuration. Calls in flight may finish where they are.
	reconfigure(cfg *Config)
	// onTimer does what is due and asks the backend to wake up for the rest.
	onTimer()
	// callsInFlight is the number of calls in flight.
	callsInFlight() int
	// connections is the number of connections to the upstream tier.
	connectionCount() int
}

// upstreamCall is a call in flight.
type upstreamCall struct {
	request   *request
	startedAt time.Duration
	deadline  time.Duration

	// Over the proxy protocol.
	proxyConn    *proxyConn    // nil while the call waits for a connection
	sentAt       time.Duration // when it was written
	connIdleTime time.Duration // how long the connection had been idle before
	queuedBefore int           // bytes written on the connection before

	// Over AJP.
	target        *loadbalance.Target
	ajpConn       *ajpConn              // nil while the connection is dialed
	tried         []*loadbalance.Target // targets at which the call is proved never to have run
	provenOutcome overload.Outcome      // what the last of them proved
}

// upstreamCalls are the calls in flight of an upstream, by the id of their request. Both upstreams embed it.
type upstreamCalls struct {
	backend *Backend
	calls   map[uint64]*upstreamCall
}

func newUpstreamCalls(b *Backend) upstreamCalls {
	return upstreamCalls{backend: b, calls: map[uint64]*upstreamCall{}}
}

// connectionLimit is the number of connections to the upstream tier that the limit on descriptors leaves.
func (u *upstreamCalls) connectionLimit() int {
	return max(1, int(upstreamConnShare*float64(u.backend.cfg.Limits.Sockets)))
}

func (u *upstreamCalls) callsInFlight() int { return len(u.calls) }

// add puts the run of r on hold until its call has ended.
func (u *upstreamCalls) add(r *request, timeout time.Duration) *upstreamCall {
	b := u.backend
	b.stats.Calls++
	call := &upstreamCall{request: r, startedAt: b.now, deadline: b.now + timeout}
	r.startCall()
	r.call = call
	u.calls[r.id] = call
	return call
}

// remove forgets a call without reporting its end.
func (u *upstreamCalls) remove(call *upstreamCall) {
	r := call.request
	delete(u.calls, r.id)
	r.call = nil
	r.awaitCall()
}

// call makes the call of r if that is allowed: a call that was made before and may have had its effect is not retried
// where that does harm.
func (b *Backend) makeCall(r *request, timeout time.Duration) {
	command := lifecycle.Command{
		Idempotent: b.handlers[r.handler].replayable,
		NeverRan:   !r.callOutcomeUnknown,
		Wanted:     b.isWanted(r),
	}
	if verdict := lifecycle.CheckRetry(command); verdict != lifecycle.Allowed {
		b.recordViolation("call", r, verdict)
		b.events = append(b.events, overload.Event{Kind: overload.CallEnded, ID: r.id, Outcome: overload.NoConnection})
		return
	}
	b.upstream.invoke(r, timeout)
}

// callEnded reports the end of a call to the overload controller.
func (b *Backend) reportCallEnd(call *upstreamCall, outcome overload.Outcome) {
	r := call.request
	r.callFailed = outcome != overload.OK
	r.callOutcomeUnknown = !isOutcomeProven(outcome)
	if outcome == overload.OK {
		b.stats.CallsOK++
		r.run()
	} else {
		b.stats.CallsFailed++
	}
	b.events = append(b.events, overload.Event{
		Kind:    overload.CallEnded,
		ID:      r.id,
		Outcome: outcome,
		Took:    b.now - call.startedAt,
	})
}

// provesCallOutcome reports whether a call that ended so is known to have had its effect or known to have had none.
func isOutcomeProven(outcome overload.Outcome) bool {
	switch outcome {
	case overload.OK, overload.Overloaded, overload.NeverRan, overload.NoConnection:
		return true
	}
	return false
}
