package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"frosthub/internal/fake"
)

// linkBufferSize is the most that a Link forwards at once, in bytes.
const linkBufferSize = 4 << 10

// Link is a proxy for the connections from one node to another, which carry data in one direction. Its methods are safe for
// concurrent use.
type Link struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	cut     bool
	stalled bool
	delay   time.Duration
	conns   map[net.Conn]bool
	changed *sync.Cond // cut or stalled changed
}

// NewLink returns a link to the given address that listens on a loopback address until Close.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, conns: map[net.Conn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	go fake.AcceptAll(listener, l.forward)
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Reset closes all connections, in the middle of a message if one is on its way, and refuses new ones until Heal.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for conn := range l.conns {
		_ = conn.Close()
	}
	clear(l.conns)
	l.changed.Broadcast()
}

// Stall keeps connections open and forwards nothing until Heal.
func (l *Link) Stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = true
}

// Delay delays all data by the given time until Heal.
func (l *Link) Delay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Heal ends all faults. Data that was stalled is forwarded.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
	l.stalled = false
	l.delay = 0
	l.changed.Broadcast()
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

// forward carries one connection until one side or a fault ends it.
func (l *Link) forward(source net.Conn) {
	defer func() { _ = source.Close() }()
	if l.isCut() {
		return
	}
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	l.mu.Lock()
	l.conns[source] = true
	l.conns[target] = true
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(io.Discard, target) // nothing is sent back: this waits for the end of the connection
		_ = source.Close()
	}()
	buf := make([]byte, linkBufferSize)
	for {
		n, err := source.Read(buf)
		if err != nil {
			return
		}
		delay, cut := l.waitWhileStalled()
		if cut {
			_, _ = target.Write(buf[:n/2])
			return
		}
		time.Sleep(delay)
		if _, err := target.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// waitWhileStalled waits for the end of a stall and returns the faults of what is forwarded next.
func (l *Link) waitWhileStalled() (delay time.Duration, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.stalled && !l.cut {
		l.changed.Wait()
	}
	return l.delay, l.cut
}
