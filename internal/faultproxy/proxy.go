package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"frosthub/internal/fake"
)

const (
	// proxyBufferSize is the most that a Proxy forwards at once, in bytes.
	proxyBufferSize = 16 << 10
	// dialTimeout is how long a Proxy waits for a connection to its server.
	dialTimeout = time.Second
)

// Reasons why a proxy, not the server, ended a connection.
const (
	reasonReset    = "reset on the way"
	reasonDial     = "no connection to the far side"
	reasonNotFound = "not carried"
)

// Proxy is a proxy for the connections from clients to a server, which carry data in both directions. It records when each byte was
// delivered to the server and when the server closed a connection, so that a test can judge the server by what it received, not by what
// was sent to it. Its methods are safe for concurrent use.
type Proxy struct {
	server   string
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond // stalled, closed or the reason of a connection changed
	delay   time.Duration
	stalled bool
	closed  bool
	conns   map[string]*proxyConn // by the client's address
}

// proxyConn is one connection of a Proxy, guarded by the proxy's mutex.
type proxyConn struct {
	client       net.Conn
	server       net.Conn // nil until it is connected
	deliveries   []delivery
	serverClosed time.Time
	reason       string // why the proxy ended it; empty: it did not
}

// delivery records how many bytes of a connection the server had been handed at a time.
type delivery struct {
	bytes int64
	at    time.Time
}

// NewProxy returns a proxy of the given address that listens on a loopback address until Close.
func NewProxy(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{server: server, listener: listener, conns: map[string]*proxyConn{}}
	p.changed = sync.NewCond(&p.mu)
	go fake.AcceptAll(listener, p.forward)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Delay delays all data by the given time in each direction.
func (p *Proxy) Delay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Stall keeps connections open and forwards nothing while it is on.
func (p *Proxy) Stall(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = on
	p.changed.Broadcast()
}

// Reset resets all connections, with the data on its way. New connections are carried as before.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if conn.reason == "" && conn.serverClosed.IsZero() {
			conn.reason = reasonReset
		}
		fake.ResetConn(conn.client)
		fake.ResetConn(conn.server)
	}
	p.changed.Broadcast()
}

// StopAccepting closes the listener. Open connections are carried on.
func (p *Proxy) StopAccepting() { _ = p.listener.Close() }

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
}

// DeliveredAt returns when the server had been handed that many bytes of the connection from the given client address, and whether it
// ever was.
func (p *Proxy) DeliveredAt(client string, bytes int64) (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[client]
	if conn == nil {
		return time.Time{}, false
	}
	for _, delivered := range conn.deliveries {
		if delivered.bytes >= bytes {
			return delivered.at, true
		}
	}
	return time.Time{}, false
}

// ClosedAt returns when the server closed the connection from the given client address, zero if it did not, and the reason if the proxy
// ended the connection instead.
func (p *Proxy) ClosedAt(client string) (at time.Time, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[client]
	if conn == nil {
		return time.Time{}, reasonNotFound
	}
	return conn.serverClosed, conn.reason
}

// forward carries one connection until both directions have ended.
func (p *Proxy) forward(client net.Conn) {
	conn := &proxyConn{client: client}
	p.mu.Lock()
	p.conns[client.RemoteAddr().String()] = conn
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", p.server, dialTimeout)
	if !p.connected(conn, server, err) {
		fake.ResetConn(client)
		fake.ResetConn(server)
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forwardToServer(conn) })
	directions.Go(func() { p.forwardToClient(conn) })
	directions.Wait()
	_ = client.Close()
	_ = server.Close()
}

// connected records the connection to the server, and reports whether the client's is to be carried.
func (p *Proxy) connected(conn *proxyConn, server net.Conn, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || p.closed || conn.reason != "" {
		if conn.reason == "" {
			conn.reason = reasonDial
		}
		return false
	}
	conn.server = server
	return true
}

// injectFaults waits for the end of a stall, then for the delay.
func (p *Proxy) injectFaults(conn *proxyConn) {
	p.mu.Lock()
	for p.stalled && !p.closed && conn.reason == "" {
		p.changed.Wait()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

func (p *Proxy) forwardToServer(conn *proxyConn) {
	buf := make([]byte, proxyBufferSize)
	total := int64(0)
	for {
		n, err := conn.client.Read(buf)
		if err != nil {
			closeWrite(conn.server)
			return
		}
		p.injectFaults(conn)
		if _, err := conn.server.Write(buf[:n]); err != nil {
			p.recordServerClosed(conn, err)
			_, _ = io.Copy(io.Discard, conn.client)
			return
		}
		total += int64(n)
		p.mu.Lock()
		conn.deliveries = append(conn.deliveries, delivery{bytes: total, at: time.Now()})
		p.mu.Unlock()
	}
}

func (p *Proxy) forwardToClient(conn *proxyConn) {
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := conn.server.Read(buf)
		if err != nil {
			p.recordServerClosed(conn, err)
			p.injectFaults(conn)
			closeWrite(conn.client)
			return
		}
		p.injectFaults(conn)
		if _, err := conn.client.Write(buf[:n]); err != nil {
			return
		}
	}
}

// recordServerClosed records that the server closed a connection, unless the proxy has ended it.
func (p *Proxy) recordServerClosed(conn *proxyConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.serverClosed.IsZero() && conn.reason == "" && !errors.Is(err, net.ErrClosed) {
		conn.serverClosed = time.Now()
	}
}

// closeWrite half-closes a TCP connection.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
