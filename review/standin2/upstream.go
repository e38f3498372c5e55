//go:build review

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Upstream is a stand-in of the local proxy to the next tier. Each call is answered with a reply that names it.
type Upstream struct {
	Delay func() time.Duration
	Log   func(format string, args ...any)

	mu    sync.Mutex
	calls map[string]int // how often each call body came
}

// Reply returns the reply to a call.
func Reply(callBody string) string { return "reply to " + callBody }

// Listen starts the proxy on a loopback address.
func (u *Upstream) Listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal(err)
	}
	u.calls = map[string]int{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Calls returns how often a call with that body came.
func (u *Upstream) Calls(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.calls[body]
}

func (u *Upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var mu sync.Mutex
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 4 || words[0] != "invoke" {
			continue // a cancel: the call may have run
		}
		length, _ := strconv.Atoi(words[3])
		buf := make([]byte, length+2)
		if _, err := io.ReadFull(reader, buf); err != nil {
			return
		}
		id, body := words[1], string(buf[:length])
		u.mu.Lock()
		u.calls[body]++
		u.mu.Unlock()
		u.Log("upstream  < invoke %s: %s", id, body)
		go func() {
			time.Sleep(u.Delay())
			reply := Reply(body)
			mu.Lock()
			defer mu.Unlock()
			_, _ = fmt.Fprintf(conn, "%s ok %d\r\n%s\r\n", id, len(reply), reply)
		}()
	}
}
