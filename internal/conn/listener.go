package conn

import (
	"context"
	"errors"
	"frosthub/internal/faultinject"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

const (
	makeRoom    = 50 * time.Millisecond // for the owner to free a place, where it has not yet seen all that was accepted: a turn
	acceptPause = 5 * time.Millisecond  // after the system gave no connection, as without descriptors: what is read waits as long
	settle      = 20 * time.Millisecond // from when netpoll asks for the descriptor until it surely polls it: some microseconds
)

// Listener accepts for an inbox. It is its own and not netpoll's, whose Close closes the descriptor's number twice: in
// between another connection may have got that number.
type Listener struct {
	box    *Loop
	addr   net.Addr
	most   int64
	turned func(err error)

	mu     sync.Mutex
	file   *os.File // nil once it is closed
	fd     int
	asked  time.Time // when netpoll asked for the descriptor
	ending bool      // it is closed once its queue is empty
	taken  int       // connections taken and not yet posted to the owner
}

// Listen accepts connections at the address, at most so many at a time with those dialled; accept is called on
// the owner for each before its first Data, turned anywhere for each that found no room (nil), and for each time that the
// system gave none (its error).
func (b *Loop) Listen(address string, most int, accept func(*Conn), turned func(err error)) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	file, err := ln.(*net.TCPListener).File() // a descriptor of the same socket that the runtime does not poll
	_ = ln.Close()
	if err != nil {
		return nil, err
	}
	l := &Listener{box: b, addr: ln.Addr(), most: int64(most), turned: turned, file: file, fd: int(file.Fd())}
	// Those accepted inherit it: without a bound the system would take in megabytes at a time from who sends them.
	_ = syscall.SetsockoptInt(l.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelMost)
	err = syscall.SetNonblock(l.fd, true)
	var loop netpoll.EventLoop
	if err == nil {
		loop, err = netpoll.NewEventLoop(
			func(ctx context.Context, nc netpoll.Connection) error {
				return ctx.Value(ctxKey{}).(*Conn).read(ctx, nc)
			},
			netpoll.WithOnPrepare(func(nc netpoll.Connection) context.Context {
				c := b.adopt(nc)
				_ = nc.AddCloseCallback(c.closed)
				b.unseen.Add(1)
				b.Post(func() { accept(c); b.seen++ })
				l.posted()
				return context.WithValue(context.Background(), ctxKey{}, c)
			}))
	}
	if err != nil {
		l.shut()
		return nil, err
	}
	go l.serve(loop)
	return l, nil
}

// serve has netpoll accept, again where the system fails to have it polled.
func (l *Listener) serve(loop netpoll.EventLoop) {
	for {
		err := loop.Serve(l)
		l.mu.Lock()
		over := l.ending || l.file == nil
		l.mu.Unlock()
		if over || err == nil {
			return
		}
		l.turned(err)
		time.Sleep(acceptPause)
	}
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.addr }

// Fd is its descriptor, for netpoll, which polls it from then on.
func (l *Listener) Fd() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = time.Now()
	return l.fd
}

// Accept takes a connection and closes it at once where there is no room, so that the queue never stands.
func (l *Listener) Accept() (net.Conn, error) {
	fd, peer, err := l.next()
	if err != nil { // netpoll's own way out works once a listener only, then it would ask again without a pause
		l.turned(err)
		time.Sleep(acceptPause)
		return nil, nil
	}
	if fd < 0 {
		return nil, nil
	}
	// The owner ends idle connections as it sees new ones. Many that come between two turns would take all places before
	// it does, and who comes next would find none.
	for end := time.Now().Add(makeRoom); l.box.Open.Load() >= l.most && l.box.unseen.Load() > 0 && time.Now().Before(end); {
		time.Sleep(makeRoom / 500)
	}
	if l.box.Open.Load() >= l.most {
		l.turned(nil)
		_ = syscall.Close(fd)
		l.posted()
		return nil, nil
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // nothing small is held back at a close
	return &socket{fd: fd, local: l.addr, peer: peer}, nil
}

// next gives the next connection of the queue, below 0 for none.
func (l *Listener) next() (int, net.Addr, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return -1, nil, nil
	}
	if err := faultinject.Error(faultinject.Accept); err != nil {
		return -1, nil, err
	}
	fd, sa, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if l.ending && !l.waits() {
		l.shut()
	}
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
		return -1, nil, nil
	case err != nil:
		return -1, nil, err
	}
	l.taken++
	return fd, address(sa), nil
}

func (l *Listener) posted() {
	l.mu.Lock()
	l.taken--
	l.mu.Unlock()
}

// waits tells whether the queue holds a connection.
func (l *Listener) waits() bool {
	fds := []unix.PollFd{{Fd: int32(l.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
}

func (l *Listener) shut() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// Close ends the listening. What the system has accepted is taken first: its peers may have sent all of a req. It waits
// until netpoll polls the descriptor, which nothing tells: its number would else be polled for whoever got it next.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for time.Since(l.asked) < settle || l.asked.IsZero() {
		l.mu.Unlock()
		time.Sleep(settle / 10)
		l.mu.Lock()
	}
	l.ending = true
	if l.file != nil && !l.waits() {
		l.shut()
	}
	return nil
}

// Closed tells whether nothing is accepted any more, and all that was is posted to the owner.
func (l *Listener) Closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.file == nil && l.taken == 0
}

// socket is an accepted descriptor on its way to netpoll, which takes no more of it than this.
type socket struct {
	net.Conn
	fd          int
	local, peer net.Addr
}

func (s *socket) Fd() int              { return s.fd }
func (s *socket) LocalAddr() net.Addr  { return s.local }
func (s *socket) RemoteAddr() net.Addr { return s.peer }

func address(sa syscall.Sockaddr) net.Addr {
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: sa.Addr[:], Port: sa.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: sa.Addr[:], Port: sa.Port}
	}
	return &net.TCPAddr{}
}
