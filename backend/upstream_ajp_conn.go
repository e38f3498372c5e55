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

// Times of connections to AJP servers.
const (
	// trustIdle is how long a connection may be idle and be used without asking first whether the server is there.
	cpingIdleThreshold = time.Second
	// pongTimeout is how long that answer is waited for: giving it takes the server no work.
	cpongTimeout = 100 * time.Millisecond
	// ajpMaxIdle is how long a connection may be idle before it is closed.
	ajpMaxIdle = 30 * time.Second
)

var errNoCPong = errors.New("no answer to CPing")

// connPool holds the idle connections to a target, the last used at the end.
type connPool struct {
	idle []*ajpConn
}

// ajpConn is one connection to a target.
type ajpConn struct {
	conn          *conn.Conn // nil once it was closed here
	parser        *ajp.Client
	target        *loadbalance.Target
	call          *upstreamCall // in flight; nil while the connection is idle
	cpongDeadline time.Duration // when the wait for a CPong ends; 0 none is awaited
	unsentBody    []byte        // the part of the call's body that the server has not asked for yet
	usedAt        time.Duration
	queuedBefore  int // bytes written before the call
}

func (u *ajpUpstream) pool(target *loadbalance.Target) *connPool {
	pool := u.pools[target]
	if pool == nil {
		pool = &connPool{}
		u.pools[target] = pool
	}
	return pool
}

// takeIdle takes the connection to a target that was used last out of its pool. It returns nil if none is idle.
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

// closeOldest makes room by closing the connection that has been idle for longest, and reports whether there was one.
func (u *ajpUpstream) closeOldest() bool {
	var oldest *ajpConn
	for _, pool := range u.pools { // which of several equal ones doesn't matter
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

// dial opens a connection for a call.
func (u *ajpUpstream) dial(call *upstreamCall) {
	u.openConns++
	target := call.target
	u.backend.loop.Dial(target.Address, func(c *conn.Conn, err error) { u.dialed(target, call, c, err) })
}

func (u *ajpUpstream) dialed(target *loadbalance.Target, call *upstreamCall, c *conn.Conn, err error) {
	b := u.backend
	stillWaits := call.request.call == call && call.target == target && call.ajpConn == nil
	if err != nil {
		u.openConns--
		b.logLimited("upstream unreachable", "peer", target.Address, "reason", err)
		if stillWaits {
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
	if !stillWaits {
		u.release(opened)
		return
	}
	u.assignConn(opened, call)
}

// release makes a connection idle.
func (u *ajpUpstream) release(connection *ajpConn) {
	if connection.target.Removed {
		u.close(connection)
		return
	}
	pool := u.pool(connection.target)
	pool.idle = append(pool.idle, connection)
}

// close ends a connection. The caller sees to the call that was in flight on it.
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

// onClosed handles the end of a connection by the other side. A call of which no byte had left, or that waited for a
// CPong, never ran; of any other nothing is proved.
func (u *ajpUpstream) onClosed(connection *ajpConn) {
	c := connection.conn
	if c == nil {
		return // closed here
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
	for _, pool := range u.pools { // each by itself: the order doesn't matter
		for len(pool.idle) > 0 && u.backend.now-pool.idle[0].usedAt >= ajpMaxIdle {
			u.close(pool.idle[0])
		}
	}
}
