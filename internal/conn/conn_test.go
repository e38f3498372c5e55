package conn

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// runLoop runs the loop as its owner until the condition holds, and reports
// whether that happened within 5 s.
func runLoop(l *Loop, until func() bool) bool {
	retry := time.NewTimer(time.Hour)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		select {
		case <-l.Wake:
		case <-retry.C:
		case <-time.After(20 * time.Millisecond):
		}
		l.Dispatch()
		if next := l.Flush(time.Now()); next > 0 {
			retry.Reset(next)
		}
		if until() {
			return true
		}
	}
	return false
}

// echoServer sends its input back, and aborts a connection that sends
// "bad". Only the goroutine that runs the loop uses its fields, except for
// rejected.
type echoServer struct {
	address     string
	conns       []*Conn
	closeErrors []error
	rejected    chan struct{}
}

func serveEcho(t *testing.T, l *Loop, maxOpen int) *echoServer {
	t.Helper()
	server := &echoServer{rejected: make(chan struct{}, 100)}
	ln, err := l.Listen("127.0.0.1:0", maxOpen, server.accept, func(error) { server.rejected <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	server.address = ln.Addr().String()
	return server
}

func (s *echoServer) accept(c *Conn) {
	s.conns = append(s.conns, c)
	c.OnData = func(p []byte) error {
		if bytes.Equal(p, []byte("bad")) {
			return io.ErrUnexpectedEOF
		}
		c.Write(p)
		return nil
	}
	c.OnClosed = func(err error) { s.closeErrors = append(s.closeErrors, err) }
}

// connect dials the address and closes the connection when the test ends.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}
