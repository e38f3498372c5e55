package backend

import (
	"time"

	"frosthub/lifecycle"
	"frosthub/loadbalance"
	"frosthub/overload"
)

// Limits of calls to the upstream tier, for both protocols.
const (
	// callGrace is added to the timeout of a call, so that the server that runs the call can report the timeout first.
	callGrace = 20 * time.Millisecond
	// upstreamConnShare is the share of the file descriptors that connections to the upstream tier may use.
	upstreamConnShare = 0.125
	// maxUnsentCalls is the limit on unsent bytes of calls on one connection.
	maxUnsentCalls = 256 << 10
)

// upstream makes the calls of runs to the upstream tier. The overload controller decides which calls are made; an
// upstream only transports them. All methods must be called by the owner goroutine of the backend.
type upstream interface {
	// connectionLimit returns the number of connections that the upstream may hold.
	connectionLimit() int
	// invoke makes the call of r with the given timeout.
	invoke(r *request, timeout time.Duration)
	// cancel aborts the call of r, if there is one, and does not report its end.
	cancel(r *request)
	// reconfigure directs new calls to the addresses of another configuration. Calls in flight may finish on their
	// connections.
	reconfigure(cfg *Config)
	// onTimer handles the timeouts that are due and schedules a turn of the owner for the others.
	onTimer()
	// callsInFlight returns the number of calls in flight.
	callsInFlight() int
	// connectionCount returns the number of connections to the upstream tier.
	connectionCount() int
}

// upstreamCall is the call of a run, from its start to its end.
type upstreamCall struct {
	request   *request
	startedAt time.Duration
	deadline  time.Duration

	// Over the proxy protocol.
	proxyConn    *proxyConn    // nil while the call waits for a connection
	sentAt       time.Duration // when the call was written to the connection
	connIdleTime time.Duration // how long the connection had been idle before the call
	queuedBefore int           // bytes queued on the connection before the call

	// Over AJP.
	target        *loadbalance.Target
	ajpConn       *ajpConn              // nil while the connection is being dialed
	tried         []*loadbalance.Target // targets that are proved not to have run the call
	provenOutcome overload.Outcome      // the outcome at the last of these targets
}

// upstreamCalls holds the calls in flight of an upstream, by request id. Both upstreams embed it.
type upstreamCalls struct {
	backend *Backend
	calls   map[uint64]*upstreamCall
}

func newUpstreamCalls(b *Backend) upstreamCalls {
	return upstreamCalls{backend: b, calls: map[uint64]*upstreamCall{}}
}

// connectionLimit returns the number of connections to the upstream tier that the limit on file descriptors allows.
func (u *upstreamCalls) connectionLimit() int {
	return max(1, int(upstreamConnShare*float64(u.backend.cfg.Limits.Sockets)))
}

func (u *upstreamCalls) callsInFlight() int { return len(u.calls) }

// add records a new call of r, whose run waits until the call has ended.
func (u *upstreamCalls) add(r *request, timeout time.Duration) *upstreamCall {
	b := u.backend
	b.stats.Calls++
	call := &upstreamCall{request: r, startedAt: b.now, deadline: b.now + timeout}
	r.startCall()
	r.call = call
	u.calls[r.id] = call
	return call
}

// remove removes a call without reporting its end to the overload controller.
func (u *upstreamCalls) remove(call *upstreamCall) {
	r := call.request
	delete(u.calls, r.id)
	r.call = nil
	r.awaitCall()
}

// makeCall makes the call of r if package lifecycle allows it: a call whose earlier attempt may have had its effect is
// retried only if the handler is replayable.
func (b *Backend) makeCall(r *request, timeout time.Duration) {
	command := lifecycle.Command{
		Idempotent: b.handlers[r.handler].replayable,
		NeverRan:   !r.callOutcomeUnknown,
		Wanted:     b.isWanted(r),
	}
	if decision := lifecycle.CheckRetry(command); decision != lifecycle.Allowed {
		b.recordViolation("call", r, decision)
		b.events = append(b.events, overload.Event{Kind: overload.CallEnded, ID: r.id, Outcome: overload.NoConnection})
		return
	}
	b.upstream.invoke(r, timeout)
}

// reportCallEnd reports the end of a call to the overload controller.
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

// isOutcomeProven reports whether the outcome of a call proves that the call had its effect, or proves that it did not.
func isOutcomeProven(outcome overload.Outcome) bool {
	switch outcome {
	case overload.OK, overload.Overloaded, overload.NeverRan, overload.NoConnection:
		return true
	}
	return false
}
