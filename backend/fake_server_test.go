package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// fakeServer is a fake of the processor or of the upstream tier. It listens for connections of the backend.
type fakeServer struct {
	bed      *testbed
	name     string
	listener net.Listener

	mu                   sync.Mutex
	lastConn             net.Conn            // connection that sent a command last
	connByID             map[string]net.Conn // connection that named a request id last
	conns                []net.Conn
	ignoresGaugeRequests bool // the processor does not reply to gauge requests
	completesAll         bool // the processor completes each request at once, without printing it
	resetsReused         bool // the upstream tier resets a connection at its second call, without reading it
}

func newFakeServer(bed *testbed, name string) *fakeServer {
	p := &fakeServer{bed: bed, name: name, connByID: map[string]net.Conn{}}
	p.open("127.0.0.1:0")
	return p
}

// open listens on an address and reads from each connection that it accepts.
func (p *fakeServer) open(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		p.bed.t.Error(err)
		return
	}
	p.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn)
			p.mu.Unlock()
			go p.read(conn)
		}
	}()
}

// commandsWithBody contains the commands that carry a body.
var commandsWithBody = map[string]bool{"begin": true, "answer": true, "invoke": true}

// read reads the commands of a connection, and prints those that handleCommand does not carry out.
func (p *fakeServer) read(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for commands := 0; ; commands++ {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if p.shouldReset(commands) {
			_ = conn.Close()
			return
		}
		words := strings.Fields(line)
		if words[0] == "usage" {
			p.sendGauges(conn, words[1])
			continue
		}
		p.recordConn(conn, words)
		if commandsWithBody[words[0]] {
			size, _ := strconv.Atoi(words[len(words)-1])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(reader, body); err != nil {
				return
			}
			words[len(words)-1] = quoteBody(string(body[:size]))
		}
		if p.handleCommand(conn, words) {
			continue
		}
		if words[0] == "invoke" {
			words = slices.Delete(words, 2, 3) // the timeout, which changes from run to run
		}
		p.bed.print(p.name, "%s", strings.Join(words, " "))
	}
}

// shouldReset reports whether to reset a connection that has carried the given number of commands.
func (p *fakeServer) shouldReset(commands int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resetsReused && commands > 0
}

// sendGauges replies to a gauge request, unless the fake ignores these.
func (p *fakeServer) sendGauges(conn net.Conn, tag string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ignoresGaugeRequests {
		_, _ = fmt.Fprintf(conn, "used %s 0.1 0 0.01 3\r\n", tag)
	}
}

// recordConn records the connection as the last one, and as the last one that named the request.
func (p *fakeServer) recordConn(conn net.Conn, words []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastConn = conn
	if len(words) > 1 {
		p.connByID[words[1]] = conn
	}
}

// handleCommand performs what the processor does by itself, and reports whether the command needs no further handling.
func (p *fakeServer) handleCommand(conn net.Conn, words []string) bool {
	switch words[0] {
	case "begin":
		p.bed.lookUpID(words[1], true)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.completesAll {
			return false
		}
		p.bed.noticeCount++
		_, _ = fmt.Fprintf(conn, "complete %d %s ok 1 2\r\nok\r\n", p.bed.noticeCount, words[1])
		return true
	case "interrupt":
		begun, rejected := p.bed.lookUpID(words[1], false)
		if rejected {
			_, _ = fmt.Fprintf(conn, "reject interrupt %s\r\n", words[1])
		}
		return rejected || !begun // no reply means that the processor recognizes the request
	}
	return false
}

// quoteBody returns a quoted body; of a long one only the first bytes and the length.
func quoteBody(body string) string {
	if len(body) > 80 {
		return fmt.Sprintf("%q... of %d bytes", body[:8], len(body))
	}
	return strconv.Quote(body)
}

// write sends text on the connection that last named the first word of the text, or else on the one that sent a command
// last.
func (p *fakeServer) write(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.lastConn
	if word, _, _ := strings.Cut(text, " "); p.connByID[word] != nil {
		conn = p.connByID[word]
	}
	if conn == nil {
		p.bed.print(p.name, "nobody has connected")
		return
	}
	_, _ = io.WriteString(conn, text)
}

// close closes all connections.
func (p *fakeServer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

// stop closes the listener and all connections.
func (p *fakeServer) stop() {
	_ = p.listener.Close()
	p.close()
}
