package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"frosthub/internal/fake"
)

// linkBufferSize is the maximum number of bytes that a Link forwards at once.
const linkBufferSize = 4 << 10

// Link is a proxy for the connections from one node to another, which transfer data in one direction only. Its methods are safe for
// concurrent use.
type Link struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	down    bool
	stalled bool
	delay   time.Duration
	conns   map[net.Conn]bool
	changed *sync.Cond // signals changes of down and stalled
}

// NewLink returns a link to the given target address. It listens on a loopback address until Close.
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

// Reset closes all connections, possibly in the middle of a message, and closes new ones immediately until Heal.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	for conn := range l.conns {
		_ = conn.Close()
	}
	clear(l.conns)
	l.changed.Broadcast()
}

// Stall keeps connections open but forwards no data until Heal.
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

// Heal ends all faults. Stalled data is then forwarded.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
	l.stalled = false
	l.delay = 0
	l.changed.Broadcast()
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

// forward forwards one connection until either side or a fault ends it.
func (l *Link) forward(source net.Conn) {
	defer func() { _ = source.Close() }()
	if l.isDown() {
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
		_, _ = io.Copy(io.Discard, target) // the target sends no data; this waits for the end of the connection
		_ = source.Close()
	}()
	buf := make([]byte, linkBufferSize)
	for {
		n, err := source.Read(buf)
		if err != nil {
			return
		}
		delay, down := l.waitWhileStalled()
		if down {
			_, _ = target.Write(buf[:n/2])
			return
		}
		time.Sleep(delay)
		if _, err := target.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *Link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// waitWhileStalled waits for the end of a stall and returns the faults that apply to the data that is forwarded next.
func (l *Link) waitWhileStalled() (delay time.Duration, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.stalled && !l.down {
		l.changed.Wait()
	}
	return l.delay, l.down
}
