package fake

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
)

// Upstream is a stand-in for the proxy of the next tier: it runs each call at once, and its replies fail by chance.
type Upstream struct {
	ln net.Listener

	mu     sync.Mutex
	random *rand.Rand
	spoilt float64        // share of the replies that can't be read, never come, or come with a reset
	ran    map[uint64]int // how often a call was run for a request
}

// NewUpstream listens on loopback until Close.
func NewUpstream(seed uint64) (*Upstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Upstream{ln: ln, random: rand.New(rand.NewPCG(seed, 3)), ran: map[uint64]int{}}
	go AcceptAll(ln, t.serve)
	return t, nil
}

// Address is where it listens.
func (t *Upstream) Address() string { return t.ln.Addr().String() }

// Close ends the listening.
func (t *Upstream) Close() { _ = t.ln.Close() }

// SetFailureShare has that share of the replies fail from now on.
func (t *Upstream) SetFailureShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spoilt = share
}

// CallCounts gives how often calls were run, by request.
func (t *Upstream) CallCounts() map[uint64]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint64]int, len(t.ran))
	for id, n := range t.ran {
		out[id] = n
	}
	return out
}

func (t *Upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		if len(w) != 4 || w[0] != "invoke" {
			continue
		}
		n, _ := strconv.Atoi(w[3])
		if _, err := io.CopyN(io.Discard, r, int64(n)+2); err != nil {
			return
		}
		if !t.reply(c, w[1]) {
			ResetConn(c)
			return
		}
	}
}

// reply runs a call and answers it, and tells whether the connection stays.
func (t *Upstream) reply(c net.Conn, id string) bool {
	t.mu.Lock()
	number, _ := strconv.ParseUint(id, 16, 64)
	t.ran[number]++
	kind := -1
	if t.random.Float64() < t.spoilt {
		kind = t.random.IntN(4)
	}
	t.mu.Unlock()
	switch kind {
	case 0:
		return false
	case 1: // never
	case 2:
		_, _ = io.WriteString(c, "what is this\r\n")
	case 3:
		fmt.Fprintf(c, "%s ok 3000000000\r\nand so on", id)
	default:
		fmt.Fprintf(c, "%s ok 2\r\nok\r\n", id)
	}
	return true
}
