//go:build review

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"frosthub/internal/fake"
)

// Request is a request of an edge node.
type Request struct {
	ID     string
	Class  string
	Body   string
	Fields map[string]string // further fields by header name
}

// NewID returns a new request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()|1) }

// Answer is the end of a request as its edge node sees it.
type Answer struct {
	Status int // 0: the connection ended without an answer, or no answer came in time
	Body   string
	Fields map[string]string
}

// EdgeConn is a connection of an edge node. It is safe for concurrent use.
type EdgeConn struct {
	mu     sync.Mutex
	conn   net.Conn
	slot   uint16
	open   map[uint16]chan Answer
	closed bool
}

// DialEdge connects an edge node to a node.
func DialEdge(address string) (*EdgeConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &EdgeConn{conn: conn, open: map[uint16]chan Answer{}}
	go func() {
		_ = fake.ReadFastCGI(bufio.NewReader(conn), func(response fake.FastCGIResponse) {
			parsed := fake.ParseCGIResponse(response.Text)
			c.mu.Lock()
			defer c.mu.Unlock()
			if answers := c.open[response.Slot]; answers != nil {
				delete(c.open, response.Slot)
				answers <- Answer{Status: parsed.Status, Body: parsed.Body, Fields: parsed.Fields}
			}
		})
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		for slot, answers := range c.open {
			delete(c.open, slot)
			answers <- Answer{}
		}
	}()
	return c, nil
}

// Records returns the FastCGI records of a request.
func (r *Request) Records(slot uint16) string {
	fields := map[string]string{
		"X-Request-Id": r.ID, "X-Request-Start": fmt.Sprint(time.Now().UnixMilli()), "X-Caller": "1",
		"X-Cost-Ms": "20.00", "X-Memory-Kb": "24.5", "X-Rank": "0.6250",
	}
	for name, value := range r.Fields {
		fields[name] = value
	}
	params := fake.FastCGIPair("REQUEST_METHOD", "POST") + fake.FastCGIPair("SCRIPT_NAME", "/invoke/"+r.Class)
	for name, value := range fields {
		params += fake.FastCGIPair("HTTP_"+strings.ToUpper(strings.ReplaceAll(name, "-", "_")), value)
	}
	return fake.FastCGIRequest(slot, params, r.Body)
}

// Send writes a request and returns the channel that gets its answer, or nil if the connection can't take it.
func (c *EdgeConn) Send(r *Request) chan Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.open) >= 31 {
		return nil
	}
	for c.slot++; c.slot == 0 || c.open[c.slot] != nil; c.slot++ {
	}
	answers := make(chan Answer, 1)
	c.open[c.slot] = answers
	if _, err := io.WriteString(c.conn, r.Records(c.slot)); err != nil {
		delete(c.open, c.slot)
		return nil
	}
	return answers
}

// Close closes the connection.
func (c *EdgeConn) Close() { _ = c.conn.Close() }

// Edge is an edge node that opens connections as it needs them.
type Edge struct {
	Address string

	mu    sync.Mutex
	conns []*EdgeConn
}

// Do sends a request and waits for its answer, for the given time at most. sent is false if nothing was written.
func (e *Edge) Do(r *Request, timeout time.Duration) (answer Answer, sent bool) {
	answers := e.send(r)
	if answers == nil {
		return Answer{}, false
	}
	select {
	case answer = <-answers:
		return answer, true
	case <-time.After(timeout):
		return Answer{}, true
	}
}

func (e *Edge) send(r *Request) chan Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		if answers := conn.Send(r); answers != nil {
			return answers
		}
	}
	conn, err := DialEdge(e.Address)
	if err != nil {
		return nil
	}
	e.conns = append(e.conns, conn)
	return conn.Send(r)
}
