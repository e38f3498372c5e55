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
	trustIdle = time.Second
	// pongTimeout is how long that answer is waited for: giving it takes the server no work.
	pongTimeout = 100 * time.Millisecond
	// ajpMaxIdle is how long a connection may be idle before it is closed.
	ajpMaxIdle = 30 * time.Second
)

var errNoPong = errors.New("no answer to CPing")

// connPool holds the idle connections to a target, the last used at the end.
type connPool struct {
	idle []*ajpConn
}

// ajpConn is one connection to a target.
type ajpConn struct {
	conn       *conn.Conn // nil once it was closed here
	parser     *ajp.Client
	target     *loadbalance.Target
	call       *upstreamCall // in flight; nil while the connection is idle
	pongBy     time.Duration // when the wait for a CPong ends; 0 none is awaited
	unsentBody []byte        // the part of the call's body that the server has not asked for yet
	usedAt     time.Duration
	sentMark   int // bytes written before the call
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
func (u *ajpUpstream) dial(waiting *upstreamCall) {
	u.open++
	target := waiting.target
	u.backend.loop.Dial(target.Address, func(c *conn.Conn, err error) { u.dialed(target, waiting, c, err) })
}

func (u *ajpUpstream) dialed(target *loadbalance.Target, waiting *upstreamCall, c *conn.Conn, err error) {
	b := u.backend
	stillWaits := waiting.request.call == waiting && waiting.target == target && waiting.ajpConn == nil
	if err != nil {
		u.open--
		b.logLimited("upstream unreachable", "peer", target.Address, "reason", err)
		if stillWaits {
			u.retryElsewhere(waiting, loadbalance.Fault, overload.NoConnection)
		}
		return
	}
	opened := &ajpConn{conn: c, parser: ajp.NewClient(b.cfg.AJP.packet()), target: target, usedAt: b.now}
	c.MaxUnsent = maxUnsentCalls
	c.OnData = b.parseLogged("upstream protocol error", func(text []byte) error {
		return opened.parser.Feed(text, func(answer ajp.Reply) { u.onAnswer(opened, answer) })
	})
	c.OnClosed = func(error) { u.onClosed(opened) }
	if !stillWaits {
		u.release(opened)
		return
	}
	u.assign(opened, waiting)
}

// release makes a connection idle.
func (u *ajpUpstream) release(free *ajpConn) {
	if free.target.Removed {
		u.close(free)
		return
	}
	pool := u.pool(free.target)
	pool.idle = append(pool.idle, free)
}

// close ends a connection. The caller sees to the call that was in flight on it.
func (u *ajpUpstream) close(closed *ajpConn) {
	if closed.conn == nil {
		return
	}
	pool := u.pool(closed.target)
	pool.idle = slices.DeleteFunc(pool.idle, func(other *ajpConn) bool { return other == closed })
	if closed.target.Removed && len(pool.idle) == 0 {
		delete(u.pools, closed.target)
	}
	c := closed.conn
	closed.conn = nil
	u.open--
	c.CloseAfterSend(conn.ErrClosedLocally)
}

// onClosed handles the end of a connection by the other side. A call of which no byte had left, or that waited for a
// CPong, never ran; of any other nothing is proved.
func (u *ajpUpstream) onClosed(closed *ajpConn) {
	c := closed.conn
	if c == nil {
		return // closed here
	}
	broken := closed.call
	closed.call = nil
	u.close(closed)
	switch {
	case broken == nil:
	case closed.pongBy > 0 || c.SentTotal() <= closed.sentMark:
		u.retryElsewhere(broken, loadbalance.Fault, overload.NoConnection)
	default:
		u.leaveTarget(broken, loadbalance.Fault)
		u.end(broken, overload.ConnectionLost)
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
