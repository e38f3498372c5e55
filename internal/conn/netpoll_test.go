package conn

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// TestInputLimit checks that a peer whose undelivered bytes exceed the limit of
// a connection, or the limit over all connections, is disconnected, and that its
// bytes are no longer counted afterwards.
func TestInputLimit(t *testing.T) {
	for name, limit := range map[string]int64{"connection": 1 << 40, "total": 256 << 10} {
		t.Run(name, func(t *testing.T) {
			l := NewLoop()
			l.MaxUndelivered = limit
			server := serveEcho(t, l, 100)
			small, large := connect(t, server.address), connect(t, server.address)
			_, _ = small.Write([]byte("hello"))
			var err error
			for sent := 0; err == nil && sent < 64<<20; { // the loop does not run meanwhile
				var n int
				n, err = large.Write(make([]byte, 64<<10))
				sent += n
			}
			if err == nil {
				t.Error("all bytes were accepted")
			}
			if !runLoop(l, func() bool { return len(server.closeErrors) == 1 }) ||
				!errors.Is(server.closeErrors[0], ErrInputLimit) {
				t.Error("close errors:", server.closeErrors)
			}
			if l.undelivered.Load() != 0 {
				t.Error("counted as undelivered:", l.undelivered.Load())
			}
		})
	}
}

// TestStartWithoutDescriptors checks that a process that has no file descriptors
// available at its start waits until it has some, and then accepts connections.
func TestStartWithoutDescriptors(t *testing.T) {
	const childName = "CONN_TEST_CHILD"
	if os.Getenv(childName) == "" {
		child := exec.Command(os.Args[0], "-test.run", "^TestStartWithoutDescriptors$")
		child.Env = append(os.Environ(), childName+"=1")
		if out, err := child.CombinedOutput(); err != nil {
			t.Fatal(err, string(out))
		}
		return
	}
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	if l, err := net.Listen("tcp", "127.0.0.1:0"); err != nil || l.Close() != nil { // starts the Go runtime's own poller
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 0, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	if startPollers() {
		t.Error("a descriptor was available, so the test proves nothing")
	}
	restored := make(chan error, 1)
	go func() {
		time.Sleep(5 * pollerRetryInterval)
		restored <- syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)
	}()
	Prepare(slog.New(slog.DiscardHandler))
	if err := <-restored; err != nil {
		t.Fatal(err)
	}
	l := NewLoop()
	server := serveEcho(t, l, 10)
	peer := connect(t, server.address)
	_, _ = peer.Write([]byte("hello"))
	echoed := make(chan struct{})
	go func() {
		_, _ = io.ReadFull(peer, make([]byte, 5))
		close(echoed)
	}()
	if !runLoop(l, func() bool {
		select {
		case <-echoed:
			return true
		default:
			return false
		}
	}) {
		t.Error("the server does not answer")
	}
}

// TestNoDelay checks that the kernel does not delay small writes on accepted and
// on dialed connections. A reset would lose delayed bytes.
func TestNoDelay(t *testing.T) {
	l := NewLoop()
	server := serveEcho(t, l, 100)
	l.Dial(server.address, func(c *Conn, err error) {
		if err == nil {
			c.OnClosed = func(error) {}
			server.conns = append(server.conns, c)
		}
	})
	if !runLoop(l, func() bool { return len(server.conns) == 2 }) {
		t.Fatal("not connected")
	}
	for _, c := range server.conns {
		if on, err := syscall.GetsockoptInt(c.fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
			t.Error("TCP_NODELAY", on, err)
		}
	}
}
