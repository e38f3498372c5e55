package backend

import (
	"errors"
	"slices"
	"time"

	"frosthub/internal/ajp"
	"frosthub/internal/conn"
	"frosthub/loadbalance"
	"frosthub/overload"
)

// Timeouts of connections to AJP servers.
const (
	// cpingIdleThreshold is how long a connection may have been idle and still be used without a CPing.
	cpingIdleThreshold = time.Second
	// cpongTimeout is the timeout for the answer to a CPing, which takes the server hardly any work.
	cpongTimeout = 100 * time.Millisecond
	// ajpMaxIdle is how long a connection may be idle before it is closed.
	ajpMaxIdle = 30 * time.Second
)

var errNoCPong = errors.New("no CPong within the timeout")

// connPool holds the idle connections to a target, ordered by last use, the most recent at the end.
type connPool struct {
	idle []*ajpConn
}

// ajpConn is one connection to a target, a server of the upstream tier.
type ajpConn struct {
	conn          *conn.Conn // nil once this side has closed it
	parser        *ajp.Client
	target        *loadbalance.Target
	call          *upstreamCall // the call in flight; nil while the connection is idle
	cpongDeadline time.Duration // when the wait for a CPong ends; 0 if none is pending
	unsentBody    []byte        // the part of the call's body that the server has not requested yet
	usedAt        time.Duration
	queuedBefore  int // bytes queued before the call
}

// pool returns the pool of a target, and creates it if there is none.
func (u *ajpUpstream) pool(target *loadbalance.Target) *connPool {
	pool := u.pools[target]
	if pool == nil {
		pool = &connPool{}
		u.pools[target] = pool
	}
	return pool
}

// takeIdle removes the most recently used connection to a target from its pool and returns it, or nil if none is idle.
func (u *ajpUpstream) takeIdle(target *loadbalance.Target) *ajpConn {
	pool := u.pool(target)
	last := len(pool.idle) - 1
	if last < 0 {
		return nil
	}
	taken := pool.idle[last]
	pool.idle = pool.idle[:last]
	return taken
}

// closeOldest closes the connection that has been idle for longest, to make room for another. It reports whether there
// was one.
func (u *ajpUpstream) closeOldest() bool {
	var oldest *ajpConn
	for _, pool := range u.pools { // which of several equally old ones is closed does not matter
		if len(pool.idle) > 0 && (oldest == nil || pool.idle[0].usedAt < oldest.usedAt) {
			oldest = pool.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	u.close(oldest)
	return true
}

// dial opens a connection to the target of a call.
func (u *ajpUpstream) dial(call *upstreamCall) {
	u.openConns++
	target := call.target
	u.backend.loop.Dial(target.Address, func(c *conn.Conn, err error) { u.dialed(target, call, c, err) })
}

// dialed assigns a connection that was dialed to its call, or to the pool if the call no longer waits for it. If the dial
// failed, the call is retried at another target.
func (u *ajpUpstream) dialed(target *loadbalance.Target, call *upstreamCall, c *conn.Conn, err error) {
	b := u.backend
	stillWaiting := call.request.call == call && call.target == target && call.ajpConn == nil
	if err != nil {
		u.openConns--
		b.logLimited("upstream unreachable", "peer", target.Address, "reason", err)
		if stillWaiting {
			u.retryAtAnotherTarget(call, loadbalance.Fault, overload.NoConnection)
		}
		return
	}
	opened := &ajpConn{conn: c, parser: ajp.NewClient(b.cfg.AJP.packet()), target: target, usedAt: b.now}
	c.MaxUnsent = maxUnsentCalls
	c.OnData = b.parseLogged("upstream protocol error", func(text []byte) error {
		return opened.parser.Feed(text, func(reply ajp.Reply) { u.onReply(opened, reply) })
	})
	c.OnClosed = func(error) { u.onClosed(opened) }
	if !stillWaiting {
		u.release(opened)
		return
	}
	u.assignConn(opened, call)
}

// release returns a connection to the pool of its target, or closes it if the target was removed.
func (u *ajpUpstream) release(connection *ajpConn) {
	if connection.target.Removed {
		u.close(connection)
		return
	}
	pool := u.pool(connection.target)
	pool.idle = append(pool.idle, connection)
}

// close closes a connection. The caller handles the call that was in flight on it.
func (u *ajpUpstream) close(connection *ajpConn) {
	if connection.conn == nil {
		return
	}
	pool := u.pool(connection.target)
	pool.idle = slices.DeleteFunc(pool.idle, func(other *ajpConn) bool { return other == connection })
	if connection.target.Removed && len(pool.idle) == 0 {
		delete(u.pools, connection.target)
	}
	c := connection.conn
	connection.conn = nil
	u.openConns--
	c.CloseAfterSend(conn.ErrClosedLocally)
}

// onClosed handles a connection that the peer has closed or that has failed. If no byte of its call was sent, or the
// call was waiting for a CPong, the call never ran. Otherwise its outcome is unknown.
func (u *ajpUpstream) onClosed(connection *ajpConn) {
	c := connection.conn
	if c == nil {
		return // closed by this side
	}
	call := connection.call
	connection.call = nil
	u.close(connection)
	switch {
	case call == nil:
	case connection.cpongDeadline > 0 || c.SentTotal() <= connection.queuedBefore:
		u.retryAtAnotherTarget(call, loadbalance.Fault, overload.NoConnection)
	default:
		u.releaseTarget(call, loadbalance.Fault)
		u.endCall(call, overload.ConnectionLost)
	}
}

// closeIdle closes the connections that have been idle for too long.
func (u *ajpUpstream) closeIdle() {
	for _, pool := range u.pools { // the order does not matter
		for len(pool.idle) > 0 && u.backend.now-pool.idle[0].usedAt >= ajpMaxIdle {
			u.close(pool.idle[0])
		}
	}
}
