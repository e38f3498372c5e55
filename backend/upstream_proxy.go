package backend

import (
	"slices"
	"time"

	"frosthub/internal/upstreamproto"
	"frosthub/overload"
)

const (
	// proxyMaxIdle is how long a connection may be idle and still be used. Proxies close idle connections after 10 s,
	// some much earlier; this limit lets this side close first.
	proxyMaxIdle = time.Second
	// idleBackoffFactor determines the new limit on the idle time when the proxy has dropped an idle connection: this
	// part of the time for which that connection was idle.
	idleBackoffFactor = 0.25
	// staleConnWindow is how long after a call was sent the end of its connection is taken as a sign that the proxy had
	// dropped the connection before. No call completes in so short a time.
	staleConnWindow = 2 * time.Millisecond
)

// proxyUpstream makes calls to a proxy in front of the upstream tier. While the limit allows more connections, each
// carries one call at a time, so that a malformed reply, a reset or a missing reply affects one call only. A connection
// with such a fault is retired. This limits the damage of a proxy that breaks occasional calls; with a faultless proxy
// it only costs file descriptors.
type proxyUpstream struct {
	upstreamCalls
	address string
	maxIdle time.Duration // a connection that was idle for longer is not used
	conns   map[*proxyConn]struct{}
	idle    []*proxyConn    // connections without calls, ordered by last use, the most recent at the end
	queue   []*upstreamCall // calls that wait for a connection, first in first out
	dialing int             // number of connections being dialed for the queue
}

func newProxyUpstream(b *Backend) *proxyUpstream {
	return &proxyUpstream{
		upstreamCalls: newUpstreamCalls(b),
		address:       b.cfg.Upstream,
		maxIdle:       proxyMaxIdle,
		conns:         map[*proxyConn]struct{}{},
	}
}

func (u *proxyUpstream) invoke(r *request, timeout time.Duration) {
	call := u.add(r, timeout)
	if u.address == "" {
		u.endCall(call, overload.NoConnection)
		return
	}
	u.assignConn(call)
}

// assignConn sends a call on an idle connection. If there is none, it queues the call and dials a new connection, or at
// the connection limit sends the call on the connection with the fewest calls. If no connection may carry the call, the
// one that was idle for longest is replaced.
func (u *proxyUpstream) assignConn(call *upstreamCall) {
	b := u.backend
	for i := len(u.idle) - 1; i >= 0; i-- {
		connection := u.idle[i]
		if connection.mayCarry(call.request) && b.now-connection.usedAt < u.maxIdle {
			u.send(connection, call)
			return
		}
	}
	if len(u.conns)+u.dialing < u.connectionLimit() {
		u.queue = append(u.queue, call)
		u.dial()
		return
	}
	if least := u.leastLoaded(call.request); least != nil {
		u.send(least, call)
		return
	}
	u.queue = append(u.queue, call)
	if len(u.idle) > 0 {
		u.replace(u.idle[0])
	}
}

// send writes a call to a connection.
func (u *proxyUpstream) send(connection *proxyConn, call *upstreamCall) {
	b := u.backend
	r := call.request
	u.removeIdle(connection)
	call.sentAt = b.now
	call.connIdleTime = b.now - connection.usedAt
	call.queuedBefore = connection.conn.QueuedTotal()
	call.proxyConn = connection
	r.callConns = append(r.callConns, connection)
	connection.usedAt = b.now
	connection.calls[r.id] = call
	b.scratch = upstreamproto.AppendInvoke(b.scratch[:0], r.wireID, call.deadline-b.now, r.callBody)
	connection.conn.Write(b.scratch)
}

// onReply ends the call that a reply belongs to, and passes the body of a successful one to the run.
func (u *proxyUpstream) onReply(connection *proxyConn, reply upstreamproto.Reply) {
	call := connection.calls[reply.ID]
	if call == nil {
		return // a cancelled call, a duplicate reply, or an id that was never sent on this connection
	}
	connection.usedAt = u.backend.now
	if reply.Outcome == overload.OK {
		u.backend.processor.replyToCall(call.request, reply.Body)
	}
	u.endCall(call, reply.Outcome)
	if len(connection.calls) == 0 {
		u.release(connection)
	}
}

// detach removes a call from its connection and from the calls in flight.
func (u *proxyUpstream) detach(call *upstreamCall) {
	if call.proxyConn != nil {
		delete(call.proxyConn.calls, call.request.id)
	}
	u.remove(call)
}

// endCall removes a call and reports its end to the overload controller.
func (u *proxyUpstream) endCall(call *upstreamCall, outcome overload.Outcome) {
	u.detach(call)
	u.backend.reportCallEnd(call, outcome)
}

// cancel cancels the call of r, if there is one. The reply may still arrive or be missing for good, so the connection
// is retired.
func (u *proxyUpstream) cancel(r *request) {
	call := r.call
	if call == nil {
		return
	}
	u.detach(call)
	connection := call.proxyConn
	if connection == nil {
		return
	}
	connection.retired = true
	u.backend.scratch = upstreamproto.AppendCancel(u.backend.scratch[:0], r.wireID)
	connection.conn.Write(u.backend.scratch)
	if len(connection.calls) == 0 {
		u.close(connection)
	}
}

func (u *proxyUpstream) reconfigure(cfg *Config) {
	address := cfg.Upstream
	if address == u.address {
		return
	}
	u.address = address
	u.maxIdle = proxyMaxIdle
	for address == "" && len(u.queue) > 0 {
		if call := u.dequeue(anyRequest); call != nil {
			u.endCall(call, overload.NoConnection)
		}
	}
	for old := range u.conns { // the order does not matter
		old.retired = true
		if old.closeAt == 0 {
			old.closeAt = u.backend.now + oldAddressGrace
		}
		if len(old.calls) == 0 {
			u.close(old)
		}
	}
}

func (u *proxyUpstream) onTimer() {
	u.expireCalls()
	u.closeIdle()
	u.closeRetired()
}

// expireCalls cancels and ends the calls whose deadline and callGrace have passed.
func (u *proxyUpstream) expireCalls() {
	b := u.backend
	var expired []uint64
	for id, call := range u.calls {
		if at := call.deadline + callGrace; b.now >= at {
			expired = append(expired, id)
		} else {
			b.wakeBy(at)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		call := u.calls[id]
		outcome := overload.TimedOut
		if call.proxyConn == nil {
			outcome = overload.NoConnection // the call was never sent
		}
		u.cancel(call.request)
		u.endCall(call, outcome)
	}
}
