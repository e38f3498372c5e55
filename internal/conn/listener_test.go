package conn

import (
	"net"
	"testing"
	"time"
)

// TestListenerDrainsQueue checks that a closing listener takes what the system
// had accepted before, and then nothing more.
func TestListenerDrainsQueue(t *testing.T) {
	l := NewLoop()
	ln, err := l.Listen("127.0.0.1:0", 100, func(*Conn) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	ln.mu.Lock() // the poller waits: connections stay in the system's queue
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
		t.Error("it still listens")
	}
	for _, peer := range peers {
		_ = peer.Close()
	}
	idle, _ := l.Listen("127.0.0.1:0", 100, func(*Conn) {}, func(error) {})
	_ = idle.Close()
	if !idle.Closed() {
		t.Error("the listener waits for an empty queue")
	}
}
