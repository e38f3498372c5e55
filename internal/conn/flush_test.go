package conn

import (
	"errors"
	"io"
	"testing"
	"time"
)

// TestStalledPeer checks that a peer that stops reading delays no other peer,
// receives everything once it reads again, and is disconnected if its unsent
// bytes exceed the limit.
func TestStalledPeer(t *testing.T) {
	l := NewLoop()
	server := serveEcho(t, l, 100)
	stalledPeer := connect(t, server.address)
	otherPeer := connect(t, server.address)
	if !runLoop(l, func() bool { return len(server.conns) == 2 }) {
		t.Fatal("accept failed")
	}
	stalled := server.conns[0]
	if stalled.netConn.RemoteAddr().String() != stalledPeer.LocalAddr().String() {
		stalled = server.conns[1]
	}
	const size = 16 << 20
	stalled.MaxUnsent = size
	stalled.Write(make([]byte, size))
	start := time.Now()
	if l.Flush(start) == 0 || stalled.Unsent() == 0 {
		t.Fatal("the peer accepted everything, so the test proves nothing")
	}
	if spent := time.Since(start); spent > time.Second {
		t.Error("Flush waited for the peer:", spent)
	}
	_, _ = otherPeer.Write([]byte("hello"))
	echoed := make(chan string, 1)
	go func() {
		got := make([]byte, 5)
		_, _ = io.ReadFull(otherPeer, got)
		echoed <- string(got)
	}()
	if !runLoop(l, func() bool { return len(echoed) == 1 }) || <-echoed != "hello" {
		t.Error("the other peer is delayed")
	}
	read := make(chan int64, 1)
	go func() {
		n, _ := io.CopyN(io.Discard, stalledPeer, size)
		read <- n
	}()
	if !runLoop(l, func() bool { return stalled.Unsent() == 0 }) || <-read != size {
		t.Error("a peer that reads again does not receive everything")
	}
	stalled.MaxUnsent = 1 << 10
	stalled.Write(make([]byte, size))
	if !runLoop(l, func() bool { return len(server.closeErrors) == 1 }) || !errors.Is(server.closeErrors[0], ErrUnsentLimit) {
		t.Error("a stalled peer beyond its limit is not disconnected; close errors:", server.closeErrors)
	}
}

// TestTotalUnsentLimit checks that the total of unsent bytes over all
// connections is limited, and that exceeding it does not close all of them.
func TestTotalUnsentLimit(t *testing.T) {
	l := NewLoop()
	server := serveEcho(t, l, 100)
	for range 3 {
		connect(t, server.address)
	}
	runLoop(l, func() bool { return len(server.conns) == 3 })
	l.MaxUnsent = 24 << 20
	for _, c := range server.conns {
		c.MaxUnsent = 32 << 20
		c.Write(make([]byte, 16<<20))
	}
	if !runLoop(l, func() bool { return len(server.closeErrors) > 0 }) || len(server.closeErrors) == 3 {
		t.Error("closed:", server.closeErrors)
	}
}
