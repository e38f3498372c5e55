package conn

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestClosed checks that an error returned by OnData closes the connection, that
// a close by the peer is reported, that both free a place, that a connection
// beyond the limit is closed at once, and that a refused dial is reported.
func TestClosed(t *testing.T) {
	l := NewLoop()
	server := serveEcho(t, l, 2)
	invalid := connect(t, server.address)
	closing := connect(t, server.address)
	if !runLoop(l, func() bool { return len(server.conns) == 2 }) {
		t.Fatal("accept failed")
	}
	rejected := connect(t, server.address)
	if _, err := rejected.Read(make([]byte, 1)); err == nil || len(server.rejected) != 1 {
		t.Error("a connection beyond the limit is kept open")
	}
	_, _ = invalid.Write([]byte("bad"))
	if !runLoop(l, func() bool { return len(server.closeErrors) == 1 }) ||
		!errors.Is(server.closeErrors[0], io.ErrUnexpectedEOF) {
		t.Error("close errors:", server.closeErrors)
	}
	_ = closing.Close()
	if !runLoop(l, func() bool { return len(server.closeErrors) == 2 }) ||
		!errors.Is(server.closeErrors[1], ErrPeerClosed) || l.Open.Load() != 0 {
		t.Error("close errors:", server.closeErrors, "open", l.Open.Load())
	}
	var dialErr error
	l.Dial("127.0.0.1:1", func(_ *Conn, err error) { dialErr = err })
	if !runLoop(l, func() bool { return dialErr != nil }) {
		t.Error("a refused dial is not reported")
	}
}

// TestClosedAfterAccept checks that OnClosed is called for a peer that closes
// right after it accepted, even before the connection has callbacks.
func TestClosedAfterAccept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	l := NewLoop()
	closed := 0
	for range 50 {
		l.Dial(ln.Addr().String(), func(c *Conn, err error) {
			if err != nil {
				closed++
				return
			}
			c.OnData = func([]byte) error { return nil }
			c.OnClosed = func(error) { closed++ }
		})
	}
	if !runLoop(l, func() bool { return closed == 50 }) || l.Open.Load() != 0 {
		t.Error("reported:", closed, "open", l.Open.Load())
	}
}

// TestCloseGracefully checks the stages of a graceful close. Input received
// before the close is delivered and can be answered, and the close waits while a
// response is pending. Input sent after the sending side is shut down is not
// delivered and does not destroy the last response. The descriptor is closed when
// the peer closes, or after a time limit.
func TestCloseGracefully(t *testing.T) {
	l := NewLoop()
	server := serveEcho(t, l, 100)
	peer := connect(t, server.address)
	if !runLoop(l, func() bool { return len(server.conns) == 1 }) {
		t.Fatal("accept failed")
	}
	c := server.conns[0]
	delivered := ""
	pending := true
	c.ResponsePending = func() bool { return pending }
	c.OnData = func(p []byte) error {
		if c.SendClosed() {
			t.Error("input is delivered after the sending side is shut down")
		}
		delivered += string(p)
		c.Write([]byte("answer"))
		return nil
	}
	size := len("answer")
	for c.Unsent() == 0 { // fill the kernel's buffers, so that the peer has unread output at the close
		c.Write(make([]byte, 64<<10))
		size += 64 << 10
		l.Flush(time.Now())
	}
	const received = "read, and not delivered at the close"
	_, _ = peer.Write([]byte(received))
	for l.undelivered.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.CloseGracefully(errors.New("done"))
	got := make(chan int, 1)
	sentLate := make(chan struct{})
	go func() {
		n, _ := io.CopyN(io.Discard, peer, int64(size)-32<<10)
		<-sentLate
		rest, err := io.ReadAll(peer)
		if err != nil {
			t.Error("the response is truncated:", err)
		}
		got <- int(n) + len(rest)
	}()
	if !runLoop(l, func() bool { return delivered == received && c.Unsent() == 0 }) {
		t.Fatalf("delivered %q; %d bytes are unsent", delivered, c.Unsent())
	}
	if l.Flush(time.Now()); l.Lingering() != 0 {
		t.Fatal("the sending side is shut down while a response is pending")
	}
	pending = false
	if !runLoop(l, func() bool { return l.Lingering() == 1 }) {
		t.Fatal("the sending side is not shut down")
	}
	c.Write([]byte("not sent"))
	_, _ = peer.Write(make([]byte, 1000)) // with a closed descriptor the kernel would reset the connection here
	close(sentLate)
	if n := <-got; n != size {
		t.Error(n, "bytes of", size)
	}
	_ = peer.Close()
	if !runLoop(l, func() bool { return len(server.closeErrors) == 1 }) ||
		l.Open.Load() != 0 || server.closeErrors[0].Error() != "done" {
		t.Error("close errors:", server.closeErrors, "open", l.Open.Load())
	}
	silentPeer := connect(t, server.address)
	_ = runLoop(l, func() bool { return len(server.conns) == 2 })
	server.conns[1].CloseGracefully(ErrClosedLocally)
	if !runLoop(l, func() bool { return len(server.closeErrors) == 2 }) || l.Lingering() != 0 {
		t.Error("the loop keeps waiting for a peer that never closes")
	}
	_ = silentPeer.Close()
}
