package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// accept serves connections until the listener is closed. A new connection replaces the previous one.
func (p *Processor) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.conn != nil {
			_ = p.conn.Close()
		}
		p.conn = conn
		p.mu.Unlock()
		go p.readCommands(conn)
	}
}

// readCommands executes the commands of a connection until it ends or is replaced.
func (p *Processor) readCommands(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		body := ""
		if len(words) > 1 && (words[0] == "begin" || words[0] == "answer") {
			if body, err = readBody(reader, words[len(words)-1]); err != nil {
				return
			}
		}
		p.mu.Lock()
		if p.conn == conn {
			p.execute(words, body)
		}
		p.mu.Unlock()
	}
}

// readBody reads the body that follows a line, and the end of line after it. The length is the last word of the line.
func readBody(reader io.Reader, length string) (string, error) {
	size, err := strconv.Atoi(length)
	if err != nil {
		return "", err
	}
	buf := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(reader, buf); err != nil {
		return "", err
	}
	return string(buf[:size]), nil
}

// execute executes one command, split into its words. The caller holds the mutex.
func (p *Processor) execute(words []string, body string) {
	id := uint64(0)
	if len(words) > 1 {
		id, _ = strconv.ParseUint(words[1], 16, 64)
	}
	switch words[0] {
	case "hello":
		p.greet(words[1])
	case "begin":
		p.start(id, words[2], body)
	case "answer":
		p.endCall(id, body)
	case "interrupt":
		p.interrupt(id)
	case "usage":
		p.advance()
		n := float64(p.runnable())
		p.reply("used %s %.3f %.0f 0.01 3", words[1], min(1, n/p.Cores), n)
	case "trial":
		p.reply("tried %s ok", words[1])
	}
}

// greet replies to a node's greeting and replays the notices after the last one that the node has received. A node that has received
// none has restarted; the runs and notices of its earlier incarnation are dropped. The caller holds the mutex.
func (p *Processor) greet(lastSeen string) {
	last, _ := strconv.Atoi(lastSeen)
	if last == 0 && len(p.notices) > 0 {
		p.running = nil
		p.notices = nil
	}
	p.reply("hi warm %d", time.Since(p.startedAt).Milliseconds())
	for i := last; i < len(p.notices); i++ {
		_, _ = io.WriteString(p.conn, p.notices[i])
	}
}

// reply writes a line to the node. The caller holds the mutex.
func (p *Processor) reply(format string, args ...any) {
	_, _ = fmt.Fprintf(p.conn, format+"\r\n", args...)
}
