package backend

import (
	"errors"
	"maps"
	"slices"
	"time"

	"frosthub/internal/conn"
	"frosthub/internal/upstreamproto"
	"frosthub/overload"
)

const (
	// proxyMaxIdle is how long a connection may be idle and still be used. Proxies close idle connections after 10 s,
	// some far sooner: this side closes first.
	proxyMaxIdle = time.Second
	// idleBackoff is the part of the idle time after which the proxy had dropped a connection that becomes the new
	// maximum.
	idleBackoffFactor = 0.25
	// deadConnWindow is how soon after a call was sent the end of its connection shows that the proxy had dropped the
	// connection before: no call takes so little.
	staleConnWindow = 2 * time.Millisecond
)

// proxyUpstream makes calls to a proxy in front of the upstream tier. As long as there is room for more connections each
// carries one call at a time, so that a malformed reply, a reset or a reply that never comes costs one call. A
// connection on which such a thing happened is retired. That covers a proxy that breaks one call in many; where the
// proxy is sound it costs descriptors.
type proxyUpstream struct {
	upstreamCalls
	address string
	maxIdle time.Duration // a connection that was idle for longer isn't used
	conns   map[*proxyConn]struct{}
	idle    []*proxyConn    // free connections, the last used at the end
	queue   []*upstreamCall // calls that wait for a connection, in order
	dialing int             // connections being dialed for the queue
}

// proxyConn is one connection to the proxy.
type proxyConn struct {
	conn        *conn.Conn
	calls       map[uint64]*upstreamCall // in flight on it, by the id of the request
	lastRequest uint64                   // request whose call it carried last: a duplicate of that reply may follow
	usedAt      time.Duration
	retired     bool          // takes no more calls
	closeAt     time.Duration // when it is closed whatever is in flight; 0 never
}

func newProxyUpstream(b *Backend) *proxyUpstream {
	return &proxyUpstream{
		upstreamCalls: newUpstreamCalls(b),
		address:       b.cfg.Upstream,
		maxIdle:       proxyMaxIdle,
		conns:         map[*proxyConn]struct{}{},
	}
}

func (u *proxyUpstream) connectionCount() int { return len(u.conns) }

func (u *proxyUpstream) invoke(r *request, timeout time.Duration) {
	call := u.add(r, timeout)
	if u.address == "" {
		u.endCall(call, overload.NoConnection)
		return
	}
	u.assignConn(call)
}

// place gives a call a connection: a free one, a new one, or where there is no room for more the one with the fewest
// calls.
func (u *proxyUpstream) assignConn(call *upstreamCall) {
	b := u.backend
	for i := len(u.idle) - 1; i >= 0; i-- {
		connection := u.idle[i]
		if connection.lastRequest != call.request.id && b.now-connection.usedAt < u.maxIdle {
			u.send(connection, call)
			return
		}
	}
	if len(u.conns)+u.dialing < u.connectionLimit() {
		u.queue = append(u.queue, call)
		u.dial()
		return
	}
	least := u.leastLoaded(call.request.id)
	if least == nil {
		u.queue = append(u.queue, call) // all are being dialed or retired
		return
	}
	u.send(least, call)
}

// leastLoaded returns the connection with the fewest calls that may carry the call of a request, or nil.
func (u *proxyUpstream) leastLoaded(requestID uint64) *proxyConn {
	var least *proxyConn
	for candidate := range u.conns { // which of several equal ones doesn't matter
		if candidate.retired || candidate.lastRequest == requestID {
			continue
		}
		if least == nil || len(candidate.calls) < len(least.calls) {
			least = candidate
		}
	}
	return least
}

func (u *proxyUpstream) dial() {
	u.dialing++
	address := u.address
	u.backend.loop.Dial(address, func(c *conn.Conn, err error) { u.dialed(address, c, err) })
}

// dialMore dials if more calls wait than connections are being dialed.
func (u *proxyUpstream) dialMore() {
	if len(u.queue) > u.dialing {
		u.dial()
	}
}

func (u *proxyUpstream) dialed(address string, c *conn.Conn, err error) {
	u.dialing--
	if address != u.address { // replaced meanwhile
		if err == nil {
			c.CloseAfterSend(conn.ErrClosedLocally)
		}
		u.dialMore()
		return
	}
	if err != nil {
		u.dialFailed(err)
		return
	}
	opened := &proxyConn{conn: c, calls: map[uint64]*upstreamCall{}, usedAt: u.backend.now}
	u.conns[opened] = struct{}{}
	c.MaxUnsent = maxUnsentCalls
	parser := upstreamproto.NewParser(func(reply upstreamproto.Reply) { u.onReply(opened, reply) })
	c.OnData = u.backend.parseLogged("upstream protocol error", parser.Feed)
	c.OnClosed = func(error) { u.onClosed(opened) }
	u.release(opened)
}

// dialFailed ends the call for which the connection was dialed. After a timeout of the dial the calls wait for another
// dial instead, as long as their own timeouts allow.
func (u *proxyUpstream) dialFailed(err error) {
	u.backend.logLimited("upstream unreachable", "reason", err)
	if !errors.Is(err, conn.ErrDialTimeout) {
		if call := u.dequeue(); call != nil {
			u.endCall(call, overload.NoConnection)
		}
	}
	u.dialMore()
}

// dequeue removes and returns the first call of the queue that still waits, nil if there is none.
func (u *proxyUpstream) dequeue() *upstreamCall {
	for len(u.queue) > 0 {
		first := u.queue[0]
		u.queue = u.queue[1:]
		if first.request.call == first {
			return first
		}
	}
	return nil
}

// release gives a connection without calls the next one of the queue, or makes it idle.
func (u *proxyUpstream) release(connection *proxyConn) {
	if connection.retired {
		u.close(connection)
		return
	}
	if call := u.dequeue(); call != nil {
		u.send(connection, call)
		return
	}
	u.idle = append(u.idle, connection)
}

func (u *proxyUpstream) send(connection *proxyConn, call *upstreamCall) {
	b := u.backend
	r := call.request
	u.removeIdle(connection)
	call.sentAt = b.now
	call.connIdleTime = b.now - connection.usedAt
	call.queuedBefore = connection.conn.QueuedTotal()
	call.proxyConn = connection
	connection.lastRequest = r.id
	connection.usedAt = b.now
	connection.calls[r.id] = call
	b.scratch = upstreamproto.AppendInvoke(b.scratch[:0], r.wireID, call.deadline-b.now, r.callBody)
	connection.conn.Write(b.scratch)
}

func (u *proxyUpstream) onReply(connection *proxyConn, reply upstreamproto.Reply) {
	call := connection.calls[reply.ID]
	if call == nil {
		return // given up, a duplicate, or never sent here
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

// onClosed handles the end of a connection. A call of which no byte had left never ran and gets another connection; of
// the others nothing is proved. A connection that broke right after a call was sent on it had been dropped by the proxy
// while it was idle: from then on connections may be idle for a shorter time, as dialing one costs less than a failed
// call.
func (u *proxyUpstream) onClosed(connection *proxyConn) {
	u.removeConn(connection)
	for _, id := range slices.Sorted(maps.Keys(connection.calls)) {
		call := connection.calls[id]
		if connection.conn.SentTotal() <= call.queuedBefore {
			delete(connection.calls, id)
			call.proxyConn = nil
			u.assignConn(call)
			continue
		}
		if call.queuedBefore > 0 && u.backend.now-call.sentAt <= staleConnWindow {
			u.maxIdle = min(u.maxIdle, time.Duration(idleBackoffFactor*float64(call.connIdleTime)))
		}
		u.endCall(call, overload.ConnectionLost)
	}
	u.dialMore()
}

func (u *proxyUpstream) removeConn(connection *proxyConn) {
	connection.retired = true
	delete(u.conns, connection)
	u.removeIdle(connection)
}

func (u *proxyUpstream) removeIdle(connection *proxyConn) {
	u.idle = slices.DeleteFunc(u.idle, func(other *proxyConn) bool { return other == connection })
}

// close ends a connection and gives up the calls in flight on it.
func (u *proxyUpstream) close(connection *proxyConn) {
	u.removeConn(connection)
	if len(connection.calls) > 0 {
		connection.conn.Abort(conn.ErrClosedLocally)
	} else {
		connection.conn.CloseAfterSend(conn.ErrClosedLocally)
	}
}

// detach takes a call from its connection and from the calls in flight.
func (u *proxyUpstream) detach(call *upstreamCall) {
	if call.proxyConn != nil {
		delete(call.proxyConn.calls, call.request.id)
	}
	u.remove(call)
}

func (u *proxyUpstream) endCall(call *upstreamCall, outcome overload.Outcome) {
	u.detach(call)
	u.backend.reportCallEnd(call, outcome)
}

// cancel gives up the call of r, if there is one. Its reply may be on the way or never come, so its connection takes no
// more calls.
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
		u.removeConn(connection)
		connection.conn.CloseAfterSend(conn.ErrClosedLocally)
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
		if call := u.dequeue(); call != nil {
			u.endCall(call, overload.NoConnection)
		}
	}
	for old := range u.conns { // each by itself: the order doesn't matter
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

// expireCalls gives up the calls whose time has passed.
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
			outcome = overload.NoConnection // it was never sent
		}
		u.cancel(call.request)
		u.endCall(call, outcome)
	}
}

// closeIdle closes the connections that were idle for too long.
func (u *proxyUpstream) closeIdle() {
	b := u.backend
	for len(u.idle) > 0 && b.now-u.idle[0].usedAt >= u.maxIdle {
		u.close(u.idle[0])
	}
	if len(u.idle) > 0 {
		b.wakeBy(u.idle[0].usedAt + u.maxIdle)
	}
}

// closeRetired closes the connections to replaced addresses whose time has passed.
func (u *proxyUpstream) closeRetired() {
	b := u.backend
	for old := range u.conns { // each by itself: the order doesn't matter
		switch {
		case old.closeAt == 0:
		case b.now >= old.closeAt:
			u.close(old)
		default:
			b.wakeBy(old.closeAt)
		}
	}
}
