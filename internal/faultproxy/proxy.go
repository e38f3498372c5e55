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
	// proxyBufferSize is the maximum number of bytes that a Proxy forwards at once.
	proxyBufferSize = 16 << 10
	// dialTimeout limits how long a Proxy waits for a connection to its server.
	dialTimeout = time.Second
)

// Reasons why a connection ended without a close by the server.
const (
	reasonReset   = "reset by the proxy"
	reasonDial    = "proxy could not connect to the server"
	reasonUnknown = "connection unknown to the proxy"
)

// Proxy is a proxy for the connections from clients to a server, which transfer data in both directions. It records when data was
// delivered to the server and when the server closed a connection, so that a test can check the server against the data that it received,
// not the data that was sent. Its methods are safe for concurrent use.
type Proxy struct {
	server   string
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond // signals changes of stalled, closed and the reason of a connection
	delay   time.Duration
	stalled bool
	closed  bool
	conns   map[string]*proxyConn // by client address
}

// proxyConn is one connection of a Proxy, guarded by the proxy's mutex.
type proxyConn struct {
	client       net.Conn
	server       net.Conn // nil until the proxy has connected to the server
	deliveries   []delivery
	serverClosed time.Time
	reason       string // why the proxy ended the connection; empty if it did not
}

// delivery records the total number of bytes of a connection that were delivered to the server at a point in time.
type delivery struct {
	bytes int64
	at    time.Time
}

// NewProxy returns a proxy for the given server address. It listens on a loopback address until Close.
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

// Stall starts or ends a stall, during which connections stay open but no data is forwarded.
func (p *Proxy) Stall(stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = stalled
	p.changed.Broadcast()
}

// Reset resets all connections and drops data that was not forwarded yet. New connections are forwarded as usual.
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

// StopAccepting closes the listener. Open connections stay open.
func (p *Proxy) StopAccepting() { _ = p.listener.Close() }

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
}

// DeliveredAt returns the time at which the given number of bytes of the connection from a client address had been delivered to the
// server. ok is false if they were not delivered.
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

// ClosedAt returns the time at which the server closed the connection from a client address, zero if it did not. If the proxy ended the
// connection or never had it, reason is not empty.
func (p *Proxy) ClosedAt(client string) (at time.Time, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[client]
	if conn == nil {
		return time.Time{}, reasonUnknown
	}
	return conn.serverClosed, conn.reason
}

// forward forwards one connection until both directions have ended.
func (p *Proxy) forward(client net.Conn) {
	conn := &proxyConn{client: client}
	p.mu.Lock()
	p.conns[client.RemoteAddr().String()] = conn
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", p.server, dialTimeout)
	if !p.recordServerConn(conn, server, err) {
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

// recordServerConn records the connection to the server, or why there is none. It reports whether the connection is to be forwarded.
func (p *Proxy) recordServerConn(conn *proxyConn, server net.Conn, err error) bool {
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

// applyFaults waits for the end of a stall, then for the delay.
func (p *Proxy) applyFaults(conn *proxyConn) {
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
		p.applyFaults(conn)
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
			p.applyFaults(conn)
			closeWrite(conn.client)
			return
		}
		p.applyFaults(conn)
		if _, err := conn.client.Write(buf[:n]); err != nil {
			return
		}
	}
}

// recordServerClosed records the time at which the server closed a connection, unless the proxy has ended it.
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
