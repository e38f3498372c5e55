package backend

import (
	"context"
	"errors"
	"syscall"
	"time"

	"frosthub/internal/conn"
)

const (
	listenTimeout       = 5 * time.Second       // at startup: an earlier process may still be shutting down
	listenRetryInterval = 50 * time.Millisecond // between attempts
)

// transientErrors are the system errors that may resolve without intervention.
var transientErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EAGAIN,
	syscall.EINTR,
	syscall.EIO,
	syscall.EADDRINUSE,
}

// isTransient reports whether err is one of transientErrors.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// listenAll opens the listeners for the other nodes of the cluster and for the clients of each protocol.
func (b *Backend) listenAll(ctx context.Context) error {
	if b.cluster.enabled() {
		if err := b.listen(ctx, b.cfg.Cluster.Listen, b.cluster.accept); err != nil {
			return err
		}
	}
	if err := b.listen(ctx, b.cfg.Listen, b.frontend.acceptFunc(b.frontend.newFastCGIProtocol)); err != nil {
		return err
	}
	if b.cfg.AJP.Listen == "" {
		return nil
	}
	if err := b.listen(ctx, b.cfg.AJP.Listen, b.frontend.acceptFunc(b.frontend.newAJPProtocol)); err != nil {
		return err
	}
	b.log.Info("serving AJP", "listen", b.cfg.AJP.Listen)
	return nil
}

// listen opens a listener on an address. It retries transient errors for listenTimeout, since the system may be out of
// descriptors or an earlier process may still hold the address.
func (b *Backend) listen(ctx context.Context, address string, accept func(*conn.Conn)) error {
	for deadline := time.Now().Add(listenTimeout); ; {
		listener, err := b.loop.Listen(address, b.frontend.connectionLimit(), accept, b.recordNotAccepted)
		if err == nil {
			b.listeners = append(b.listeners, listener)
			return nil
		}
		if !isTransient(err) || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		b.logLimited("listen failed, retrying", "listen", address, "reason", err)
		time.Sleep(listenRetryInterval)
	}
}

// recordNotAccepted counts a connection that was not accepted, either because the connection limit was reached (a nil
// error) or because accept failed. It is called by the accepting goroutine.
func (b *Backend) recordNotAccepted(err error) {
	b.connsRejected.Add(1)
	if err != nil {
		b.loop.Post(func() { b.logLimited("accept failed", "reason", err) })
	}
}

// closeListeners closes all listeners. Connections in the system's accept queue are still accepted.
func (b *Backend) closeListeners() {
	for _, listener := range b.listeners {
		_ = listener.Close()
	}
}

// listenersClosed reports whether all listeners are closed, so that no new connection can arrive.
func (b *Backend) listenersClosed() bool {
	for _, listener := range b.listeners {
		if !listener.Closed() {
			return false
		}
	}
	return true
}
