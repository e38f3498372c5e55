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

// proxyConn is one connection to the proxy.
type proxyConn struct {
	conn    *conn.Conn
	calls   map[uint64]*upstreamCall // in flight on the connection, by request id
	usedAt  time.Duration
	retired bool          // carries no further calls
	closeAt time.Duration // when it is closed, even with calls in flight; 0 for never
}

// mayCarry reports whether the connection may carry the next call of r. It carries one call of each request at most: a
// reply names the request and not the call, so a late duplicate of the reply to an earlier call would be taken for the
// reply to the next one.
func (c *proxyConn) mayCarry(r *request) bool { return !c.retired && !slices.Contains(r.callConns, c) }

func (u *proxyUpstream) connectionCount() int { return len(u.conns) }

// leastLoaded returns the connection with the fewest calls among those that may carry the next call of r, or nil.
func (u *proxyUpstream) leastLoaded(r *request) *proxyConn {
	var least *proxyConn
	for candidate := range u.conns { // which of several equally loaded ones is used does not matter
		if !candidate.mayCarry(r) {
			continue
		}
		if least == nil || len(candidate.calls) < len(least.calls) {
			least = candidate
		}
	}
	return least
}

// dial opens a connection for the calls in the queue.
func (u *proxyUpstream) dial() {
	u.dialing++
	address := u.address
	u.backend.loop.Dial(address, func(c *conn.Conn, err error) { u.dialed(address, c, err) })
}

// dialMore dials a connection if more calls are queued than connections are being dialed.
func (u *proxyUpstream) dialMore() {
	if len(u.queue) > u.dialing {
		u.dial()
	}
}

// dialed starts using the connection that was dialed, or handles the failure of the dial.
func (u *proxyUpstream) dialed(address string, c *conn.Conn, err error) {
	u.dialing--
	if address != u.address { // the address was replaced during the dial
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

// dialFailed ends the first call of the queue, for which the connection was dialed. After a dial timeout the call stays
// queued for another dial instead, until its own timeout.
func (u *proxyUpstream) dialFailed(err error) {
	u.backend.logLimited("upstream unreachable", "reason", err)
	if !errors.Is(err, conn.ErrDialTimeout) {
		if call := u.dequeue(anyRequest); call != nil {
			u.endCall(call, overload.NoConnection)
		}
	}
	u.dialMore()
}

// dequeue removes and returns the first call of the queue that has not ended and whose request suits, or nil if there is
// none.
func (u *proxyUpstream) dequeue(suits func(*request) bool) *upstreamCall {
	u.queue = slices.DeleteFunc(u.queue, func(call *upstreamCall) bool { return call.request.call != call })
	i := slices.IndexFunc(u.queue, func(call *upstreamCall) bool { return suits(call.request) })
	if i < 0 {
		return nil
	}
	call := u.queue[i]
	u.queue = slices.Delete(u.queue, i, i+1)
	return call
}

// anyRequest makes dequeue return the first call that has not ended.
func anyRequest(*request) bool { return true }

// replace closes a connection without calls that may carry no call of the queue, and dials another one.
func (u *proxyUpstream) replace(connection *proxyConn) {
	u.close(connection)
	u.dialMore()
}

// release sends the next call of the queue on a connection without calls, or marks the connection idle if the queue is
// empty. It closes a retired connection, and replaces one that may carry no call of the queue.
func (u *proxyUpstream) release(connection *proxyConn) {
	if connection.retired {
		u.close(connection)
		return
	}
	if call := u.dequeue(connection.mayCarry); call != nil {
		u.send(connection, call)
		return
	}
	if len(u.queue) > 0 {
		u.replace(connection)
		return
	}
	u.idle = append(u.idle, connection)
}

// onClosed handles the end of a connection. A call of which no byte was sent never ran and is sent on another
// connection; the outcome of the other calls is unknown. If the connection ended right after a call was sent on it, the
// proxy had dropped it while it was idle. The limit on the idle time is then lowered, since dialing a connection costs
// less than a failed call.
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

// removeConn retires a connection and removes it from the connections of u. It does not close it.
func (u *proxyUpstream) removeConn(connection *proxyConn) {
	connection.retired = true
	delete(u.conns, connection)
	u.removeIdle(connection)
}

// removeIdle removes a connection from the idle ones, if it is among them.
func (u *proxyUpstream) removeIdle(connection *proxyConn) {
	u.idle = slices.DeleteFunc(u.idle, func(other *proxyConn) bool { return other == connection })
}

// close closes a connection. If calls are in flight on it, it aborts the connection, and onClosed ends these calls.
func (u *proxyUpstream) close(connection *proxyConn) {
	u.removeConn(connection)
	if len(connection.calls) > 0 {
		connection.conn.Abort(conn.ErrClosedLocally)
	} else {
		connection.conn.CloseAfterSend(conn.ErrClosedLocally)
	}
}

// closeIdle closes the connections that were idle for maxIdle or longer.
func (u *proxyUpstream) closeIdle() {
	b := u.backend
	for len(u.idle) > 0 && b.now-u.idle[0].usedAt >= u.maxIdle {
		u.close(u.idle[0])
	}
	if len(u.idle) > 0 {
		b.wakeBy(u.idle[0].usedAt + u.maxIdle)
	}
}

// closeRetired closes the connections to replaced addresses at their closeAt time.
func (u *proxyUpstream) closeRetired() {
	b := u.backend
	for old := range u.conns { // the order does not matter
		switch {
		case old.closeAt == 0:
		case b.now >= old.closeAt:
			u.close(old)
		default:
			b.wakeBy(old.closeAt)
		}
	}
}
