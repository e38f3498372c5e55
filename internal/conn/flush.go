package conn

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"frosthub/internal/faultinject"
)

// Times that apply to a peer that does not read.
const (
	// retryInterval is the time between attempts to send to such a peer.
	retryInterval = 5 * time.Millisecond
	// stallTimeout is how long the peer may read nothing before the connection is
	// aborted. Its requests have timed out by then.
	stallTimeout = 15 * time.Second
)

// Flush sends the output written since the last call, as far as the peers accept
// it, and advances the connections that are closing. It returns the time until
// it must be called again, or 0 if the next event is soon enough.
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

// sendDirty sends on the connections that were stalled and then on those with
// new output, and updates the list of stalled ones.
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
		alreadySent := !c.dirty // it was one of the stalled connections
		if !alreadySent && c.flush(now) {
			stalled = append(stalled, c)
		}
	}
	clear(dirty)
	l.stalled = stalled
}

// enforceMaxUnsent aborts the connection with the most unsent bytes if the
// unsent bytes of all stalled connections exceed MaxUnsent.
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

// Stalled returns the number of connections whose peers did not accept all
// output.
func (l *Loop) Stalled() int { return len(l.stalled) }

// flush sends queued output, and reports whether the peer did not accept all of
// it.
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
		default: // the peer does not read, or the kernel is short of buffers
			return c.recordStall(now)
		}
	}
	return false
}

// errFdClosed is the error of writeOnce for a descriptor that may be closed.
var errFdClosed = errors.New("descriptor closed")

// writeOnce makes one system call to write the first contiguous part of the
// output.
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

// recordStall records that the peer accepts no bytes, and aborts the connection
// if this has lasted for stallTimeout or the unsent bytes exceed MaxUnsent. It
// reports whether the connection remains open.
func (c *Conn) recordStall(now time.Time) bool {
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

// fatalErrors are the write errors after which a connection is unusable. Other
// errors may be temporary and are retried, so that no response is lost when the
// kernel is briefly out of buffers or memory.
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
