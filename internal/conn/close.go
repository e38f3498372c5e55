package conn

import (
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lingerTimeout is how long a connection waits for the peer to close after its
// sending side is shut down. It covers many round trips.
const lingerTimeout = 200 * time.Millisecond

// closeState is the stage that a connection has reached in closing. The states
// are ordered, and each transition is made by one method:
//
//	from                     to         by
//	open                     draining   CloseGracefully, CloseAfterSend
//	draining                 lingering  closeSend, once nothing is pending
//	open/draining/lingering  aborted    Abort, markOverflowed
//	any                      closed     reportClosed, once the descriptor is closed
type closeState uint8

const (
	stateOpen      closeState = iota
	stateDraining             // closes as soon as nothing is pending
	stateLingering            // the sending side is shut down and input is discarded
	stateAborted              // closed by this side; OnClosed was not called yet
	stateClosed               // OnClosed was called
)

// CloseGracefully closes the connection as soon as no response is pending and
// every received byte was delivered. OnClosed is called afterwards with reason, or
// with ErrPeerClosed if the peer closes before the sending side is shut down.
// CloseGracefully has no effect on a connection that is already closing.
func (c *Conn) CloseGracefully(reason error) {
	if c.state != stateOpen {
		return
	}
	c.state = stateDraining
	c.closeReason = reason
	c.loop.draining = append(c.loop.draining, c)
}

// CloseAfterSend closes a connection whose peer expects no response. It discards
// further input and sends all queued output before closing.
func (c *Conn) CloseAfterSend(reason error) {
	c.DiscardInput()
	c.CloseGracefully(reason)
}

// Abort closes the connection at once and drops its unsent output. OnClosed is
// called afterwards with reason.
func (c *Conn) Abort(reason error) {
	if c.state >= stateAborted {
		return
	}
	c.state = stateAborted
	c.closeReason = reason
	_ = c.netConn.Close() // calls onClose, which marks the connection and queues it
}

// markOverflowed records that receive closed the connection because its
// undelivered input exceeded a limit.
func (c *Conn) markOverflowed() {
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

// DiscardInput drops all further input without delivering it.
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

// Closing reports whether this side began to close the connection, or OnClosed
// was called.
func (c *Conn) Closing() bool { return c.state != stateOpen }

// SendClosed reports whether a graceful close has shut down the sending side. It
// remains true after the connection has ended.
func (c *Conn) SendClosed() bool { return !c.lingerUntil.IsZero() }

// Unread reports whether received bytes wait for delivery, in the ring, in
// netpoll's buffer or in the receive buffer of the kernel.
func (c *Conn) Unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fdClosed {
		return false
	}
	// The kernel's buffer is checked first: bytes that netpoll reads from it
	// meanwhile are found in the buffers checked below.
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

// drained reports whether the sending side can be shut down: all output is sent,
// no response is pending, and all input is delivered or discarded.
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

// closeSend shuts down the sending side and moves the connection to
// stateLingering.
func (c *Conn) closeSend(now time.Time) {
	c.mu.Lock()
	if !c.fdClosed {
		// An error means that the peer has disconnected; onClose reports that.
		_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
	}
	c.discardInput = true
	c.mu.Unlock()
	c.state = stateLingering
	c.lingerUntil = now.Add(lingerTimeout)
	c.loop.lingering = append(c.loop.lingering, c)
}

// closeDrained shuts down the sending side of the draining connections that
// have nothing pending. It reports whether one of the others must be polled,
// because no event announces the end of its wait.
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

// closeLingering closes the connections that have lingered for lingerTimeout,
// and the oldest ones beyond MaxLingering. It returns the time until the next
// one expires, or 0 if none is left.
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

// removeClosedLingering removes connections that the peer has closed from the
// list of lingering ones.
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
// and that wait for the peer to close.
func (l *Loop) Lingering() int { return len(l.lingering) }
