package backend

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// testClient is one FastCGI connection of a client whose responses are read one at a time.
type testClient struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

// dialClient opens a connection whose reads and writes fail after eventTimeout.
func (bed *testbed) dialClient() *testClient {
	bed.t.Helper()
	c, err := net.Dial("tcp", bed.listenAddress)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	return &testClient{t: bed.t, conn: c.(*net.TCPConn), reader: bufio.NewReader(c)}
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads a complete response and returns its slot and first line, or "end" if the connection was closed
// gracefully.
func (c *testClient) readResponse() string {
	text := ""
	for {
		head := make([]byte, 8)
		if _, err := io.ReadFull(c.reader, head); errors.Is(err, io.EOF) {
			return "end"
		} else if err != nil {
			return err.Error()
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(c.reader, content); err != nil {
			return err.Error()
		}
		if head[1] == 6 {
			text += string(content)
		} else if head[1] != 3 {
			return fmt.Sprint("record ", head[1])
		}
		if head[1] == 3 {
			line, _, _ := strings.Cut(text, "\r\n")
			return fmt.Sprintf("%d %s", binary.BigEndian.Uint16(head[2:]), line)
		}
	}
}

// expect reads as many responses as there are arguments, and compares each with what readResponse must return for it.
func (c *testClient) expect(all ...string) {
	c.t.Helper()
	for _, want := range all {
		if got := c.readResponse(); got != want {
			c.t.Errorf("got %q, want %q", got, want)
		}
	}
}

const (
	rejectedLine  = " Status: 503 Service Unavailable"
	failedLine    = " Status: 500 Internal Server Error"
	succeededLine = " Status: 200 OK"
)
