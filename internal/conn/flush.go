package conn

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"frosthub/internal/faultinject"
)

// Times of sending to a peer that does not read.
const (
	// retryInterval is how long until such a peer is tried again.
	retryInterval = 5 * time.Millisecond
	// stallTimeout is how long it may read nothing: its requests have timed out by then.
	stallTimeout = 15 * time.Second
)

// Flush sends what was written since the last call, as far as the peers take
// it, and advances the connections that are closing. It returns how long until
// it should be called again, 0 if there is no need.
func (l *Loop) Flush(now time.Time) time.Duration {
	l.sendDirty(now)
	l.enforceMaxUnsent()
	poll := l.closeDrained(now)
	next := l.closeLingering(now)
	if poll && (next == 0 || next > retryInterval) {
		next = retryInterval
	}
	l.newConns.Add(-l.newConnsSeen)
	l.newConnsSeen = 0
	if len(l.stalled) > 0 {
		return retryInterval
	}
	return next
}

// sendDirty sends on the connections that stalled before and then on those with
// new output, and lists anew which of them are stalled.
func (l *Loop) sendDirty(now time.Time) {
	dirty := l.dirty
	l.dirty = l.dirty[:0]
	stalled := l.stalled[:0]
	for _, c := range l.stalled {
		if c.flush(now) {
			stalled = append(stalled, c)
		}
	}
	for _, c := range dirty {
		alreadySent := !c.dirty // it was among the stalled ones
		if !alreadySent && c.flush(now) {
			stalled = append(stalled, c)
		}
	}
	clear(dirty)
	l.stalled = stalled
}

// enforceMaxUnsent aborts the connection with the most unsent bytes if there
// are too many over all stalled connections.
func (l *Loop) enforceMaxUnsent() {
	total := 0
	var worst *Conn
	for _, c := range l.stalled {
		total += c.Unsent()
		if worst == nil || c.Unsent() > worst.Unsent() {
			worst = c
		}
	}
	if total > l.MaxUnsent {
		worst.Abort(ErrUnsentLimit)
	}
}

// Stalled returns the number of connections whose peers did not take all that
// was sent.
func (l *Loop) Stalled() int { return len(l.stalled) }

// flush sends what is queued, and reports whether the peer left some of it.
func (c *Conn) flush(now time.Time) (stalled bool) {
	before := c.sentTotal
	stalled = c.send(now)
	if c.sentTotal > before && c.OnSent != nil {
		c.OnSent()
	}
	return stalled
}

func (c *Conn) send(now time.Time) (stalled bool) {
	c.dirty = false
	for c.state < stateAborted && c.output.Len() > 0 {
		n, err := c.writeOnce()
		switch {
		case n > 0:
			c.output.Skip(n)
			c.sentTotal += n
			c.stalledSince = time.Time{}
		case errors.Is(err, errFdClosed):
			return false
		case errors.Is(err, syscall.EINTR):
		case isFatal(err):
			c.Abort(err)
			return false
		default: // the peer does not read, or the system is short of buffers
			return c.stall(now)
		}
	}
	return false
}

// errFdClosed is returned by writeOnce for a descriptor that may be closed.
var errFdClosed = errors.New("descriptor closed")

// writeOnce makes one system call to write the first stretch of the output.
func (c *Conn) writeOnce() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fdClosed {
		return 0, errFdClosed
	}
	if err := faultinject.Error(faultinject.Write); err != nil {
		return 0, err
	}
	return syscall.Write(c.fd, c.output.Peek())
}

// stall notes that the peer takes nothing now, and aborts the connection where
// it has done so for too long or too much waits. It reports whether the
// connection stays.
func (c *Conn) stall(now time.Time) bool {
	if c.stalledSince.IsZero() {
		c.stalledSince = now
	}
	if c.Unsent() > c.MaxUnsent {
		c.Abort(ErrUnsentLimit)
		return false
	}
	if now.Sub(c.stalledSince) > stallTimeout {
		c.Abort(ErrPeerStalled)
		return false
	}
	return true
}

// fatalErrors are the errors of a write after which a connection can't go on.
// Others may pass: no response is lost because the system is out of buffers or
// memory for a moment.
var fatalErrors = []error{
	syscall.EPIPE,
	syscall.ECONNRESET,
	syscall.ECONNABORTED,
	syscall.ENOTCONN,
	syscall.EBADF,
	syscall.ENOTSOCK,
	syscall.EINVAL,
	syscall.ETIMEDOUT,
	syscall.EHOSTUNREACH,
	syscall.ENETUNREACH,
	syscall.EDESTADDRREQ,
}

func isFatal(err error) bool {
	return slices.ContainsFunc(fatalErrors, func(fatal error) bool { return errors.Is(err, fatal) })
}
