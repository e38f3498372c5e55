package conn

import (
	"net"
	"testing"
	"time"
)

// TestListenerDrainsQueue checks that a closing listener accepts the connections
// in the kernel's accept queue, and none after that.
func TestListenerDrainsQueue(t *testing.T) {
	l := NewLoop()
	ln, err := l.Listen("127.0.0.1:0", 100, func(*Conn) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	ln.mu.Lock() // blocks the poller, so that connections remain in the accept queue
	var peers []net.Conn
	for range 3 {
		peers = append(peers, connect(t, ln.Addr().String()))
	}
	for !readable(ln.fd) {
		time.Sleep(time.Millisecond)
	}
	ln.closing = true // as Close does
	ln.mu.Unlock()
	if !runLoop(l, ln.Closed) || l.Open.Load() != 3 {
		t.Error("closed:", ln.Closed(), "taken:", l.Open.Load())
	}
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener still accepts connections")
	}
	for _, peer := range peers {
		_ = peer.Close()
	}
	idle, _ := l.Listen("127.0.0.1:0", 100, func(*Conn) {}, func(error) {})
	_ = idle.Close()
	if !idle.Closed() {
		t.Error("the listener is not closed although the accept queue is empty")
	}
}
