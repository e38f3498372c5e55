package conn

import (
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lingerTimeout is how long a connection waits for the peer's close after its
// sending side is shut down: many round trips.
const lingerTimeout = 200 * time.Millisecond

// closeState is how far a connection is on its way to its end. The states are
// ordered; each transition is one method:
//
//	from                     to         by
//	open                     draining   CloseGracefully, CloseAfterSend
//	draining                 lingering  closeSend: nothing is pending any more
//	open/draining/lingering  aborted    Abort, rejectOverflow
//	any                      closed     reportClosed: the descriptor is closed
type closeState uint8

const (
	stateOpen      closeState = iota
	stateDraining             // to be closed as soon as nothing is pending
	stateLingering            // the sending side is shut down, input is discarded
	stateAborted              // closed by this side; OnClosed is still due
	stateClosed               // OnClosed was called
)

// CloseGracefully closes the connection in the orderly way, as soon as no
// response is pending and no received byte is undelivered. OnClosed follows. It
// has no effect on a connection that is already closing.
func (c *Conn) CloseGracefully(reason error) {
	if c.state != stateOpen {
		return
	}
	c.state = stateDraining
	c.closeReason = reason
	c.loop.draining = append(c.loop.draining, c)
}

// CloseAfterSend closes a connection whose peer expects nothing: input is
// discarded from now on, and what was written is sent first.
func (c *Conn) CloseAfterSend(reason error) {
	c.DiscardInput()
	c.CloseGracefully(reason)
}

// Abort closes the connection at once, with everything that was not sent.
// OnClosed follows.
func (c *Conn) Abort(reason error) {
	if c.state >= stateAborted {
		return
	}
	c.state = stateAborted
	c.closeReason = reason
	_ = c.netConn.Close() // its callback marks the connection and queues it
}

// rejectOverflow takes note that netpoll's side has closed the connection since
// too much input waited.
func (c *Conn) rejectOverflow() {
	if c.state >= stateAborted {
		return
	}
	c.state = stateAborted
	c.closeReason = ErrInputLimit
}

// reportClosed calls OnClosed for a connection whose descriptor is closed.
func (c *Conn) reportClosed() {
	if c.state < stateLingering {
		c.closeReason = ErrPeerClosed
	}
	c.state = stateClosed
	c.OnClosed(c.closeReason)
}

// DiscardInput has everything that arrives from now on dropped unread.
func (c *Conn) DiscardInput() {
	c.mu.Lock()
	c.discardInput = true
	c.mu.Unlock()
}

func (c *Conn) discardsInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.discardInput
}

// Closing reports whether the connection was closed here, or its end reported.
func (c *Conn) Closing() bool { return c.state != stateOpen }

// SendClosed reports whether the sending side was shut down in the course of a
// graceful close. It stays true after the connection has ended.
func (c *Conn) SendClosed() bool { return !c.lingerUntil.IsZero() }

// Unread reports whether received bytes were not delivered yet: in the ring,
// with netpoll or in the system's buffer.
func (c *Conn) Unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fdClosed {
		return false
	}
	// The system's buffer comes first: what is read from it meanwhile is found
	// in the buffers checked below.
	if readable(c.fd) {
		return true
	}
	return c.netConn.Reader().Len() > 0 || c.input.Len() > 0
}

// readable reports whether a read or accept on the descriptor would not block.
func readable(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
}

// drained reports whether nothing stands against shutting down the sending side.
func (c *Conn) drained() bool {
	if c.output.Len() > 0 {
		return false
	}
	if c.responsePending() {
		return false
	}
	return c.discardsInput() || !c.Unread()
}

func (c *Conn) responsePending() bool {
	return c.ResponsePending != nil && c.ResponsePending()
}

// closeSend shuts down the sending side and has the connection linger.
func (c *Conn) closeSend(now time.Time) {
	c.mu.Lock()
	if !c.fdClosed {
		// Where this fails the peer has gone, and OnClosed follows.
		_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
	}
	c.discardInput = true
	c.mu.Unlock()
	c.state = stateLingering
	c.lingerUntil = now.Add(lingerTimeout)
	c.loop.lingering = append(c.loop.lingering, c)
}

// closeDrained shuts down the sending side of the draining connections that
// have nothing pending. It reports whether one of the others waits for
// something that only polling can tell.
func (l *Loop) closeDrained(now time.Time) (poll bool) {
	stillDraining := l.draining[:0]
	for _, c := range l.draining {
		if c.state != stateDraining {
			continue
		}
		if c.drained() {
			c.closeSend(now)
			continue
		}
		poll = poll || !c.responsePending()
		stillDraining = append(stillDraining, c)
	}
	clear(l.draining[len(stillDraining):])
	l.draining = stillDraining
	return poll
}

// closeLingering closes the connections that have lingered for long enough, and
// the oldest of too many. It returns the time until the next is due, 0 for none.
func (l *Loop) closeLingering(now time.Time) time.Duration {
	l.removeClosedLingering()
	expired := 0
	for _, c := range l.lingering {
		tooMany := len(l.lingering)-expired > l.MaxLingering
		if !tooMany && now.Before(c.lingerUntil) {
			break
		}
		c.Abort(c.closeReason)
		expired++
	}
	l.lingering = slices.Delete(l.lingering, 0, expired)
	if len(l.lingering) == 0 {
		return 0
	}
	return max(time.Millisecond, l.lingering[0].lingerUntil.Sub(now))
}

// removeClosedLingering forgets lingering connections that the peer has closed.
func (l *Loop) removeClosedLingering() {
	open := l.lingering[:0]
	for _, c := range l.lingering {
		c.mu.Lock()
		closed := c.fdClosed
		c.mu.Unlock()
		if !closed {
			open = append(open, c)
		}
	}
	clear(l.lingering[len(open):])
	l.lingering = open
}

// Lingering returns the number of connections whose sending side is shut down
// and that wait for the peer's close.
func (l *Loop) Lingering() int { return len(l.lingering) }
