package fake

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
)

// replyFault is a fault of a reply of an Upstream.
type replyFault int

const (
	replyReset      replyFault = iota // the connection is reset
	replyMissing                      // no reply
	replyMalformed                    // a line that is not a reply
	replyTooLong                      // a length above the limit for replies
	replyFaultCount                   // number of faults

	replyOK replyFault = -1
)

// Call identifies an upstream call: the request that it is made for, and its body.
type Call struct {
	RequestID uint64
	Body      string
}

// Upstream is a test double of the upstream proxy. It runs each call immediately and replies with the body of the call; a random share
// of its replies fails. Its methods are safe for concurrent use.
type Upstream struct {
	listener net.Listener

	mu           sync.Mutex
	random       *rand.Rand
	failureShare float64
	runs         map[Call]int
}

// NewUpstream returns an upstream that listens on a loopback address until Close.
func NewUpstream(seed uint64) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{listener: listener, random: rand.New(rand.NewPCG(seed, 3)), runs: map[Call]int{}}
	go AcceptAll(listener, u.serve)
	return u, nil
}

// Address returns the address that the upstream listens on.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Close closes the listener. Open connections stay open.
func (u *Upstream) Close() { _ = u.listener.Close() }

// SetFailureShare sets the share of subsequent replies that fail.
func (u *Upstream) SetFailureShare(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureShare = share
}

// CallCounts returns the number of runs of each call.
func (u *Upstream) CallCounts() map[Call]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

func (u *Upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) != 4 || words[0] != "invoke" {
			continue
		}
		body, err := readBody(reader, words[3])
		if err != nil {
			return
		}
		if !u.reply(conn, words[1], body) {
			ResetConn(conn)
			return
		}
	}
}

// reply runs a call, replies to it, and reports whether the connection stays open.
func (u *Upstream) reply(conn net.Conn, id, body string) bool {
	switch u.runCall(id, body) {
	case replyReset:
		return false
	case replyMissing:
	case replyMalformed:
		_, _ = io.WriteString(conn, "what is this\r\n")
	case replyTooLong:
		_, _ = fmt.Fprintf(conn, "%s ok 3000000000\r\nand so on", id)
	default:
		_, _ = fmt.Fprintf(conn, "%s ok %d\r\n%s\r\n", id, len(body), body)
	}
	return true
}

// runCall counts a run of a call and draws the fault of its reply.
func (u *Upstream) runCall(id, body string) replyFault {
	u.mu.Lock()
	defer u.mu.Unlock()
	number, _ := strconv.ParseUint(id, 16, 64)
	u.runs[Call{RequestID: number, Body: body}]++
	if u.random.Float64() < u.failureShare {
		return replyFault(u.random.IntN(int(replyFaultCount)))
	}
	return replyOK
}
