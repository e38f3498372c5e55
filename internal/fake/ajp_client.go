package fake

import (
	"cmp"
	"net"
	"sync"
	"time"

	"frosthub/internal/ajp"
)

// AJPClient is an AJP client. Each connection carries one request at a time; idle connections are reused. It is safe for concurrent use.
type AJPClient struct {
	Secret    string
	MaxPacket int // in bytes; ajp.DefaultPacketSize if 0

	address string
	mu      sync.Mutex
	idle    []net.Conn
}

// NewAJPClient returns a client for the node at the given address.
func NewAJPClient(address string) *AJPClient { return &AJPClient{address: address} }

// Send implements Client.
func (c *AJPClient) Send(r *Request, timeout time.Duration) Outcome { return send(c, r, timeout) }

// RoundTrip implements Client. It uses an idle connection if there is one.
func (c *AJPClient) RoundTrip(r *Request, timeout time.Duration) (Response, Outcome) {
	conn, err := c.acquire()
	if err != nil {
		return Response{}, NotSent
	}
	maxPacket := cmp.Or(c.MaxPacket, ajp.DefaultPacketSize)
	forward := ajp.ForwardRequest{Path: "/invoke/" + r.Handler, Secret: c.Secret, Body: []byte(r.Body)}
	r.eachField(func(name, value string) {
		forward.Headers = append(forward.Headers, ajp.Header{Name: name, Value: value})
	})
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(ajp.AppendForward(nil, &forward, maxPacket)); err != nil {
		_ = conn.Close()
		return Response{}, NotSent
	}
	response, outcome := readAJPResponse(conn, maxPacket)
	if outcome != Served || !response.Reuse {
		_ = conn.Close()
		return response, outcome
	}
	c.release(conn)
	return response, Served
}

// acquire returns an idle connection if there is one, otherwise a new one.
func (c *AJPClient) acquire() (net.Conn, error) {
	c.mu.Lock()
	if last := len(c.idle) - 1; last >= 0 {
		conn := c.idle[last]
		c.idle = c.idle[:last]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return net.Dial("tcp", c.address)
}

func (c *AJPClient) release(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// readAJPResponse reads one response. The outcome is Wrong if it is malformed, and Sent if the connection ends or times out before its
// end.
func readAJPResponse(conn net.Conn, maxPacket int) (response Response, outcome Outcome) {
	parser := ajp.NewClient(maxPacket)
	parser.AwaitingResponse = true
	done := false
	handle := func(reply ajp.Reply) {
		if reply.Kind != ajp.Response {
			return
		}
		done = true
		response = Response{Status: reply.Status, Fields: map[string]string{}, Body: string(reply.Body), Reuse: reply.Reuse}
		reply.Headers.Each(func(name, value []byte) { response.Fields[string(name)] = string(value) })
	}
	buf := make([]byte, 4<<10)
	for !done {
		n, err := conn.Read(buf)
		if n > 0 && parser.Feed(buf[:n], handle) != nil {
			return Response{}, Wrong
		}
		if err != nil && !done {
			return Response{}, Sent
		}
	}
	return response, Served
}

// Close closes the idle connections.
func (c *AJPClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}
