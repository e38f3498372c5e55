package faultproxy

import (
	"frosthub/internal/fake"
	"io"
	"net"
	"sync"
	"time"
)

// Link is the way from one box to another: it carries connections to an address, and fails as it is told.
type Link struct {
	to string
	ln net.Listener

	mu    sync.Mutex
	cut   bool
	stall bool
	delay time.Duration
	conns map[net.Conn]bool
	wake  *sync.Cond
}

// NewLink listens on loopback for connections to that address.
func NewLink(to string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{to: to, ln: ln, conns: map[net.Conn]bool{}}
	l.wake = sync.NewCond(&l.mu)
	go fake.AcceptAll(ln, l.carry)
	return l, nil
}

// Address is where it listens.
func (l *Link) Address() string { return l.ln.Addr().String() }

// Reset ends what is open, in the middle of a message if one is on its way, and lets nothing through until it is mended.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
	l.wake.Broadcast()
}

// Stall keeps connections open and lets nothing through.
func (l *Link) Stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stall = true
}

// Delay has each stretch wait that long.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Heal ends all faults; what was stalled goes on.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.stall, l.delay = false, false, 0
	l.wake.Broadcast()
}

// Close ends it.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.Reset()
}

func (l *Link) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut {
		return
	}
	d, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	l.mu.Lock()
	l.conns[c], l.conns[d] = true, true
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(io.Discard, d) // boxes send one way; its end ends the other side
		_ = c.Close()
	}()
	buf := make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		l.mu.Lock()
		for l.stall && !l.cut {
			l.wake.Wait()
		}
		cut, delay := l.cut, l.delay
		l.mu.Unlock()
		if cut {
			_, _ = d.Write(buf[:n/2])
			return
		}
		time.Sleep(delay)
		if _, err := d.Write(buf[:n]); err != nil {
			return
		}
	}
}
