package faultproxy

import (
	"errors"
	"frosthub/internal/fake"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy carries connections to an address, both ways, and fails as it is told. It notes when each byte was handed to the far side and when
// the far side ended, so that a judge goes by what the far side had, not by what was sent to it.
type Proxy struct {
	ln net.Listener

	mu    sync.Mutex
	wake  *sync.Cond
	to    string
	delay time.Duration
	stall bool
	over  bool
	conns map[string]*carried // by the address of who connects
}

// carried is one connection.
type carried struct {
	client, far net.Conn
	handed      []handed
	farEnded    time.Time
	broken      string // why it ended, where that is the proxy's doing
}

// handed is that so many bytes were with the far side at a moment.
type handed struct {
	bytes int64
	at    time.Time
}

// Errors of what a proxy did to a connection.
const (
	brokenReset   = "reset on the way"
	brokenNoDial  = "no connection to the far side"
	brokenUnknown = "not carried"
)

// NewProxy listens on loopback for connections to that address.
func NewProxy(to string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, to: to, conns: map[string]*carried{}}
	p.wake = sync.NewCond(&p.mu)
	go fake.AcceptAll(ln, p.carry)
	return p, nil
}

// Address is where it listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Delay has each stretch wait that long, each way.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Stall keeps connections open and lets nothing through, until told otherwise.
func (p *Proxy) Stall(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stall = on
	p.wake.Broadcast()
}

// Reset ends all present connections at once, with what is on its way.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if c.broken == "" && c.farEnded.IsZero() {
			c.broken = brokenReset
		}
		fake.ResetConn(c.client)
		fake.ResetConn(c.far)
	}
	p.wake.Broadcast()
}

// StopAccepting closes the listener; connections that are open go on.
func (p *Proxy) StopAccepting() { _ = p.ln.Close() }

// Close ends it.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	_ = p.ln.Close()
	p.Reset()
}

// DeliveredAt tells when the far side had so many bytes of the connection from that address; false: it never did.
func (p *Proxy) DeliveredAt(client string, bytes int64) (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[client]; c != nil {
		for _, h := range c.handed {
			if h.bytes >= bytes {
				return h.at, true
			}
		}
	}
	return time.Time{}, false
}

// ClosedAt tells when the far side ended the connection from that address, and why it ended where that is not the far side's doing.
func (p *Proxy) ClosedAt(client string) (at time.Time, broken string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[client]
	if c == nil {
		return time.Time{}, brokenUnknown
	}
	return c.farEnded, c.broken
}

func (p *Proxy) carry(client net.Conn) {
	p.mu.Lock()
	to := p.to
	c := &carried{client: client}
	p.conns[client.RemoteAddr().String()] = c
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", to, time.Second)
	p.mu.Lock()
	if err != nil || p.over || c.broken != "" {
		if c.broken == "" {
			c.broken = brokenNoDial
		}
		p.mu.Unlock()
		fake.ResetConn(client)
		fake.ResetConn(far)
		return
	}
	c.far = far
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.toFar(c) })
	both.Go(func() { p.toClient(c) })
	both.Wait()
	_ = client.Close()
	_ = far.Close()
}

// pass waits while nothing is let through, then for the delay.
func (p *Proxy) pass(c *carried) {
	p.mu.Lock()
	for p.stall && !p.over && c.broken == "" {
		p.wake.Wait()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

func (p *Proxy) toFar(c *carried) {
	buf, sum := make([]byte, 16<<10), int64(0)
	for {
		n, err := c.client.Read(buf)
		if err != nil {
			if tcp, ok := c.far.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		p.pass(c)
		if _, err := c.far.Write(buf[:n]); err != nil {
			p.farGone(c, err)
			_, _ = io.Copy(io.Discard, c.client)
			return
		}
		sum += int64(n)
		p.mu.Lock()
		c.handed = append(c.handed, handed{sum, time.Now()})
		p.mu.Unlock()
	}
}

func (p *Proxy) toClient(c *carried) {
	buf := make([]byte, 16<<10)
	for {
		n, err := c.far.Read(buf)
		if err != nil {
			p.farGone(c, err)
			p.pass(c)
			if tcp, ok := c.client.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		p.pass(c)
		if _, err := c.client.Write(buf[:n]); err != nil {
			return
		}
	}
}

// farGone notes that the far side ended a connection.
func (p *Proxy) farGone(c *carried, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.farEnded.IsZero() && c.broken == "" && !errors.Is(err, net.ErrClosed) {
		c.farEnded = time.Now()
	}
}
