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
	// roomTimeout is how long an accepted connection waits for the owner to
	// close idle ones, where the owner has not yet seen all that was accepted:
	// one iteration of its loop.
	roomTimeout      = 50 * time.Millisecond
	roomPollInterval = roomTimeout / 500

	// acceptPause follows a failed accept, for instance without descriptors.
	// Netpoll's goroutine pauses, so input of other connections waits as long.
	acceptPause = 5 * time.Millisecond

	// pollDelay is how long after netpoll asks for the listening descriptor it
	// surely polls it: usually some microseconds.
	pollDelay             = 20 * time.Millisecond
	pollDelayPollInterval = pollDelay / 10
)

// Listener accepts connections for a Loop. It replaces netpoll's listener, whose
// Close closes the number of the descriptor twice: in between another connection
// may have been given that number. Its methods may be called from any goroutine.
type Listener struct {
	loop     *Loop
	addr     net.Addr
	maxOpen  int64
	rejected func(err error)

	mu          sync.Mutex
	file        *os.File // nil once the listener is closed
	fd          int
	fdRequested time.Time // when netpoll last asked for the descriptor
	closing     bool      // to be closed as soon as the accept queue is empty
	handingOver int       // connections accepted and not yet posted to the owner
}

// connKey is the key of the Conn in the context of netpoll's callbacks.
type connKey struct{}

// Listen accepts TCP connections at the address. It calls accept on the owner's
// goroutine for each, before the first OnData. At most maxOpen connections of
// the loop are open at a time, dialed ones included: one without room is closed
// at once. For each of these rejected is called with nil, and for each time
// that the system failed to give a connection with the error. It is called from
// any goroutine.
func (l *Loop) Listen(address string, maxOpen int, accept func(*Conn), rejected func(err error)) (*Listener, error) {
	file, addr, err := listenSocket(address)
	if err != nil {
		return nil, err
	}
	ln := &Listener{
		loop:     l,
		addr:     addr,
		maxOpen:  int64(maxOpen),
		rejected: rejected,
		file:     file,
		fd:       int(file.Fd()),
	}
	// Accepted connections inherit the size. Without it the system would buffer
	// megabytes at a time from a peer that sends them.
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

// listenSocket returns a listening descriptor that the runtime does not poll.
func listenSocket(address string) (*os.File, net.Addr, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	file, err := ln.(*net.TCPListener).File() // a duplicate
	_ = ln.Close()
	return file, ln.Addr(), err
}

// onAccepted returns the callback that makes a Conn of an accepted connection
// and hands it to the owner.
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

// serve has netpoll accept connections, and starts over where the system fails
// to poll the descriptor.
func (ln *Listener) serve(eventLoop netpoll.EventLoop) {
	for {
		err := eventLoop.Serve(ln)
		if err == nil || ln.stopped() {
			return
		}
		ln.rejected(err)
		time.Sleep(acceptPause)
	}
}

// stopped reports whether Close was called.
func (ln *Listener) stopped() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.closing || ln.file == nil
}

// Addr returns the address it listens at.
func (ln *Listener) Addr() net.Addr { return ln.addr }

// Fd returns the descriptor, for netpoll, which polls it from then on.
func (ln *Listener) Fd() int {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.fdRequested = time.Now()
	return ln.fd
}

// Accept takes a connection, for netpoll. It closes the connection at once where
// there is no room, so that the system's accept queue never stands still. The
// result is nil if there is none.
func (ln *Listener) Accept() (net.Conn, error) {
	fd, peer, err := ln.acceptSocket()
	if err != nil {
		// An error returned to netpoll is handled there only once per listener;
		// then it would accept again without a pause.
		ln.rejected(err)
		time.Sleep(acceptPause)
		return nil, nil
	}
	if fd == noSocket {
		return nil, nil
	}
	ln.waitForRoom()
	if ln.full() {
		ln.rejected(nil)
		_ = syscall.Close(fd)
		ln.handedOver()
		return nil, nil
	}
	// Small writes must not be held back by the system: a close could lose them.
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	return &socket{fd: fd, local: ln.addr, peer: peer}, nil
}

func (ln *Listener) full() bool { return ln.loop.Open.Load() >= ln.maxOpen }

// waitForRoom waits for a short while for the owner to close idle connections,
// which it does as it sees new ones. Many that arrive between two iterations
// would take all places before that, and the next one would find none.
func (ln *Listener) waitForRoom() {
	deadline := time.Now().Add(roomTimeout)
	for ln.full() && ln.loop.newConns.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(roomPollInterval)
	}
}

// noSocket is the descriptor that acceptSocket returns if there is none.
const noSocket = -1

// acceptSocket takes the next connection off the system's queue, noSocket if
// the queue is empty.
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

// handedOver notes that an accepted connection was posted to the owner or closed.
func (ln *Listener) handedOver() {
	ln.mu.Lock()
	ln.handingOver--
	ln.mu.Unlock()
}

// closeFile closes the descriptor. The caller holds ln.mu, or is alone.
func (ln *Listener) closeFile() {
	if ln.file != nil {
		_ = ln.file.Close()
		ln.file = nil
	}
}

// Close ends listening. Connections in the system's accept queue are taken
// first, since their peers may have sent a complete request. It blocks until
// netpoll surely polls the descriptor, of which there is no notice: otherwise
// netpoll would poll whatever is given its number next.
func (ln *Listener) Close() error {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for ln.fdRequested.IsZero() || time.Since(ln.fdRequested) < pollDelay {
		ln.mu.Unlock()
		time.Sleep(pollDelayPollInterval)
		ln.mu.Lock()
	}
	ln.closing = true
	if ln.file != nil && !readable(ln.fd) {
		ln.closeFile()
	}
	return nil
}

// Closed reports whether nothing is accepted any more and everything that was
// is posted to the owner.
func (ln *Listener) Closed() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.file == nil && ln.handingOver == 0
}

// socket is an accepted descriptor on its way to netpoll, which uses nothing
// but these methods of it.
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
