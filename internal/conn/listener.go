package conn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"frosthub/internal/faultinject"

	"github.com/cloudwego/netpoll"
)

const (
	// capacityTimeout is how long an accepted connection waits for the owner to
	// close idle ones, if the owner has not yet handled all accepted connections.
	// It covers one iteration of the owner's loop.
	capacityTimeout      = 50 * time.Millisecond
	capacityPollInterval = capacityTimeout / 500

	// acceptRetryDelay follows a failed accept, for instance when descriptors run
	// out. Netpoll's goroutine sleeps, so input of other connections is delayed too.
	acceptRetryDelay = 5 * time.Millisecond

	// pollStartDelay is an upper bound of the time between netpoll's call of Fd
	// and the moment it polls the descriptor, which is usually some microseconds.
	pollStartDelay         = 20 * time.Millisecond
	pollStartCheckInterval = pollStartDelay / 10
)

// Listener accepts connections for a Loop. It replaces netpoll's listener, whose
// Close closes the same descriptor number twice: in between, another connection
// may have been assigned that number. Any goroutine may call its methods.
type Listener struct {
	loop     *Loop
	addr     net.Addr
	maxOpen  int64
	onReject func(err error)

	mu          sync.Mutex
	file        *os.File // nil once the listener is closed
	fd          int
	fdRequested time.Time // time of netpoll's last call of Fd
	closing     bool      // closes as soon as the accept queue is empty
	handingOver int       // connections accepted and not yet posted to the owner
}

// connKey is the key of the Conn in the context of netpoll's callbacks.
type connKey struct{}

// Listen accepts TCP connections at the address. It calls accept on the owner's
// goroutine for each of them, before its first OnData. At most maxOpen
// connections of the loop are open at a time, including dialed ones; a
// connection beyond that is closed at once. Listen calls onReject with nil for
// each of these, and with the error for each failed accept, from any goroutine.
func (l *Loop) Listen(address string, maxOpen int, accept func(*Conn), onReject func(err error)) (*Listener, error) {
	file, addr, err := listenSocket(address)
	if err != nil {
		return nil, err
	}
	ln := &Listener{
		loop:     l,
		addr:     addr,
		maxOpen:  int64(maxOpen),
		onReject: onReject,
		file:     file,
		fd:       int(file.Fd()),
	}
	// Accepted connections inherit the size. Without it the kernel would buffer
	// megabytes from a peer that sends a lot.
	_ = syscall.SetsockoptInt(ln.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
	if err := syscall.SetNonblock(ln.fd, true); err != nil {
		ln.closeFile()
		return nil, err
	}
	eventLoop, err := netpoll.NewEventLoop(onReadableFromContext, netpoll.WithOnPrepare(ln.onAccepted(accept)))
	if err != nil {
		ln.closeFile()
		return nil, err
	}
	go ln.serve(eventLoop)
	return ln, nil
}

// listenSocket returns a listening descriptor that the Go runtime does not poll.
func listenSocket(address string) (*os.File, net.Addr, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	file, err := ln.(*net.TCPListener).File() // duplicates the descriptor, so that ln can be closed
	_ = ln.Close()
	return file, ln.Addr(), err
}

// onAccepted returns the netpoll callback that creates a Conn for an accepted
// connection and posts it to the owner.
func (ln *Listener) onAccepted(accept func(*Conn)) netpoll.OnPrepare {
	l := ln.loop
	return func(netConn netpoll.Connection) context.Context {
		c := l.newConn(netConn)
		_ = netConn.AddCloseCallback(c.onClose)
		l.newConns.Add(1)
		l.Post(func() {
			accept(c)
			l.newConnsSeen++
		})
		ln.handedOver()
		return context.WithValue(context.Background(), connKey{}, c)
	}
}

func onReadableFromContext(ctx context.Context, netConn netpoll.Connection) error {
	return ctx.Value(connKey{}).(*Conn).onReadable(ctx, netConn)
}

// serve runs netpoll's event loop on the listener, and restarts it if the kernel
// fails to poll the descriptor.
func (ln *Listener) serve(eventLoop netpoll.EventLoop) {
	for {
		err := eventLoop.Serve(ln)
		if err == nil || ln.stopped() {
			return
		}
		ln.onReject(err)
		time.Sleep(acceptRetryDelay)
	}
}

// stopped reports whether Close was called.
func (ln *Listener) stopped() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.closing || ln.file == nil
}

// Addr returns the address of the listening socket.
func (ln *Listener) Addr() net.Addr { return ln.addr }

// Fd returns the listening descriptor. It is called by netpoll, which polls the
// descriptor afterwards.
func (ln *Listener) Fd() int {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.fdRequested = time.Now()
	return ln.fd
}

// Accept returns the next connection, or nil if there is none. It is called by
// netpoll. A connection beyond the limit is accepted and closed at once, so that
// the accept queue of the kernel never fills up.
func (ln *Listener) Accept() (net.Conn, error) {
	fd, peer, err := ln.acceptSocket()
	if err != nil {
		// Netpoll handles an error only once per listener; after that it would
		// accept again without a delay.
		ln.onReject(err)
		time.Sleep(acceptRetryDelay)
		return nil, nil
	}
	if fd == noSocket {
		return nil, nil
	}
	ln.waitForCapacity()
	if ln.full() {
		ln.onReject(nil)
		_ = syscall.Close(fd)
		ln.handedOver()
		return nil, nil
	}
	// The kernel must not delay small writes, since a close could lose them.
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	return &socket{fd: fd, local: ln.addr, peer: peer}, nil
}

func (ln *Listener) full() bool { return ln.loop.Open.Load() >= ln.maxOpen }

// waitForCapacity waits up to capacityTimeout for the owner to close idle
// connections, which the owner does when it handles new ones. Without the wait,
// a burst of connections between two iterations of the owner would use up the
// limit, and the next connection would be rejected although idle ones exist.
func (ln *Listener) waitForCapacity() {
	deadline := time.Now().Add(capacityTimeout)
	for ln.full() && ln.loop.newConns.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(capacityPollInterval)
	}
}

// noSocket is the result of acceptSocket if no connection is available.
const noSocket = -1

// acceptSocket removes the next connection from the kernel's accept queue and
// returns its descriptor, or noSocket if the queue is empty.
func (ln *Listener) acceptSocket() (int, net.Addr, error) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.file == nil {
		return noSocket, nil, nil
	}
	if err := faultinject.Error(faultinject.Accept); err != nil {
		return noSocket, nil, err
	}
	fd, sockaddr, err := syscall.Accept4(ln.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if ln.closing && !readable(ln.fd) {
		ln.closeFile()
	}
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
		return noSocket, nil, nil
	case err != nil:
		return noSocket, nil, err
	}
	ln.handingOver++
	return fd, tcpAddr(sockaddr), nil
}

// handedOver records that an accepted connection was posted to the owner or
// closed.
func (ln *Listener) handedOver() {
	ln.mu.Lock()
	ln.handingOver--
	ln.mu.Unlock()
}

// closeFile closes the descriptor. The caller holds ln.mu, or no other goroutine
// has access to the listener yet.
func (ln *Listener) closeFile() {
	if ln.file != nil {
		_ = ln.file.Close()
		ln.file = nil
	}
}

// Close ends listening. The listener first accepts the connections in the
// kernel's accept queue, since their peers may have sent a complete request, and
// Closed reports when it is done. Close itself blocks until netpoll polls the
// descriptor. Netpoll does not report that, so Close waits for pollStartDelay.
// Otherwise netpoll could poll another file that the descriptor number is
// assigned to next.
func (ln *Listener) Close() error {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for ln.fdRequested.IsZero() || time.Since(ln.fdRequested) < pollStartDelay {
		ln.mu.Unlock()
		time.Sleep(pollStartCheckInterval)
		ln.mu.Lock()
	}
	ln.closing = true
	if ln.file != nil && !readable(ln.fd) {
		ln.closeFile()
	}
	return nil
}

// Closed reports whether the listener is closed and all accepted connections
// were posted to the owner.
func (ln *Listener) Closed() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.file == nil && ln.handingOver == 0
}

// socket passes an accepted descriptor to netpoll, which calls only the methods
// defined here.
type socket struct {
	net.Conn

	fd    int
	local net.Addr
	peer  net.Addr
}

// Fd returns the descriptor.
func (s *socket) Fd() int { return s.fd }

// LocalAddr returns the address of the listener.
func (s *socket) LocalAddr() net.Addr { return s.local }

// RemoteAddr returns the address of the peer.
func (s *socket) RemoteAddr() net.Addr { return s.peer }

func tcpAddr(sockaddr syscall.Sockaddr) net.Addr {
	switch sockaddr := sockaddr.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: sockaddr.Addr[:], Port: sockaddr.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: sockaddr.Addr[:], Port: sockaddr.Port}
	}
	return &net.TCPAddr{}
}
