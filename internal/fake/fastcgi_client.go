package fake

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"
)

// maxOpenRequests is the maximum number of open requests of a FastCGIClient on one connection.
const maxOpenRequests = 31

// FastCGIClient is a client that sends requests over multiplexed FastCGI connections. It is safe for concurrent use.
type FastCGIClient struct {
	address string
	mu      sync.Mutex
	conns   []*fastcgiConn
}

// fastcgiConn is one connection of a FastCGIClient, guarded by the client's mutex.
type fastcgiConn struct {
	conn     net.Conn
	open     map[uint16]chan FastCGIResponse // by slot; closed when the connection ends
	lastSlot uint16
	closed   bool
}

// NewFastCGIClient returns a client for the node at the given address.
func NewFastCGIClient(address string) *FastCGIClient { return &FastCGIClient{address: address} }

// Send implements Client.
func (c *FastCGIClient) Send(r *Request, timeout time.Duration) Outcome { return send(c, r, timeout) }

// RoundTrip implements Client. It uses a connection with a free slot, and aborts a request that times out.
func (c *FastCGIClient) RoundTrip(r *Request, timeout time.Duration) (Response, Outcome) {
	c.mu.Lock()
	conn, err := c.freeConn()
	if err != nil {
		c.mu.Unlock()
		return Response{}, NotSent
	}
	slot := conn.freeSlot()
	responses := make(chan FastCGIResponse, 1)
	conn.open[slot] = responses
	_, err = io.WriteString(conn.conn, r.FastCGI(slot))
	c.mu.Unlock()
	if err != nil {
		return Response{}, NotSent
	}
	select {
	case response, ok := <-responses:
		switch {
		case !ok:
			return Response{}, Sent
		case response.NoBody && response.ProtocolStatus == fcgiOverloaded:
			return Response{}, Rejected
		case response.NoBody:
			return Response{}, Failed
		}
		return ParseCGIResponse(response.Text), Served
	case <-time.After(timeout):
		c.mu.Lock()
		_, _ = io.WriteString(conn.conn, FastCGIAbort(slot))
		c.mu.Unlock()
		return Response{}, Sent
	}
}

// freeConn returns a connection with a free slot, or a new one if there is none. The caller holds the mutex.
func (c *FastCGIClient) freeConn() (*fastcgiConn, error) {
	var free *fastcgiConn
	for _, conn := range c.conns {
		if !conn.closed && len(conn.open) < maxOpenRequests {
			free = conn
		}
	}
	if free != nil {
		return free, nil
	}
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return nil, err
	}
	free = &fastcgiConn{conn: conn, open: map[uint16]chan FastCGIResponse{}}
	c.conns = append(c.conns, free)
	go c.readResponses(free)
	return free, nil
}

// freeSlot returns the next slot that is not in use. The caller holds the client's mutex.
func (f *fastcgiConn) freeSlot() uint16 {
	for f.lastSlot++; f.lastSlot == 0 || f.open[f.lastSlot] != nil; f.lastSlot++ {
	}
	return f.lastSlot
}

// readResponses delivers each response to the RoundTrip that waits for it, until the connection ends.
func (c *FastCGIClient) readResponses(conn *fastcgiConn) {
	_ = ReadFastCGI(bufio.NewReader(conn.conn), func(response FastCGIResponse) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if responses := conn.open[response.Slot]; responses != nil {
			delete(conn.open, response.Slot)
			responses <- response
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.closed = true
	for _, responses := range conn.open {
		close(responses)
	}
	conn.open = nil
}

// Close closes all connections.
func (c *FastCGIClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.conn.Close()
	}
}
