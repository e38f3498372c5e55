package backend

import (
	"context"
	"errors"
	"syscall"
	"time"

	"frosthub/internal/conn"
)

const (
	listenTimeout       = 5 * time.Second       // at the start, since an earlier process may still be ending
	listenRetryInterval = 50 * time.Millisecond // between tries
)

// transientErrors are those of the system that may pass by themselves.
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

// isTransient reports whether an error of the system may pass by itself.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// listenAll listens for the other nodes of the cluster and for the clients of each protocol.
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

// listen accepts connections at an address. It retries for a while, since the system may have no descriptor to give or
// an earlier process may still hold the address.
func (b *Backend) listen(ctx context.Context, address string, accept func(*conn.Conn)) error {
	for end := time.Now().Add(listenTimeout); ; {
		listener, err := b.loop.Listen(address, b.frontend.connectionLimit(), accept, b.recordNotAccepted)
		if err == nil {
			b.listeners = append(b.listeners, listener)
			return nil
		}
		if !isTransient(err) || ctx.Err() != nil || time.Now().After(end) {
			return err
		}
		b.logLimited("listen failed", "listen", address, "reason", err)
		time.Sleep(listenRetryInterval)
	}
}

// recordNotAccepted counts a connection for which there was no room (a nil error), or that the system could not give. It is
// called by the accepting goroutine.
func (b *Backend) recordNotAccepted(err error) {
	b.connsRejected.Add(1)
	if err != nil {
		b.loop.Post(func() { b.logLimited("accept failed", "reason", err) })
	}
}

// closeListeners stops listening. Connections that the system has accepted already are still handed over.
func (b *Backend) closeListeners() {
	for _, listener := range b.listeners {
		_ = listener.Close()
	}
}

// listenersClosed reports whether no connection can come any more.
func (b *Backend) listenersClosed() bool {
	for _, listener := range b.listeners {
		if !listener.Closed() {
			return false
		}
	}
	return true
}
