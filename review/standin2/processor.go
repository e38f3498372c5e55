//go:build review

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Processor is a stand-in of the processor, after PROTOCOL.md. Each run has its own time; a run makes one call between two parts of its
// work. It keeps neither results nor keys.
type Processor struct {
	KnowsAll   bool                                          // it takes ids that did not come to its machine
	Halt       string                                        // "discard", or "off": interrupts are rejected
	Parts      func(id, class, body string) []time.Duration  // the parts of the work of a run
	CallBody   func(id string, number int) string            // body of a call, numbered from 1
	PieceShare float64                                       // share of the notices that arrive in two pieces
	PiecePause time.Duration                                 // pause between them
	OnAnswer   func(id string, number int, body string)      // a run that waits for that call gets a reply
	OnBegin    func(id, class, body string, earlierRuns int) // a run starts
	OnEnd      func(id, end string)                          // a run ends
	Log        func(format string, args ...any)

	listener net.Listener
	mu       sync.Mutex
	started  time.Time
	link     *link
	notices  []string
	came     map[string]bool // ids of the requests that came to the machine
	over     map[string]bool // requests that were answered
	hangs    bool            // runs stand still, and interrupts have no effect
	resumed  *sync.Cond      // the hang has ended
	runs     map[string]int
	running  map[string]*run
}

type run struct {
	id, body string
	parts    []time.Duration
	call     int // number of the call that it waits for, 0 if none
	timer    *time.Timer
	started  time.Time
}

// link is one connection; its output is written by its own goroutine.
type link struct {
	conn   net.Conn
	out    chan string
	closed chan struct{}
	once   sync.Once
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
	})
}

// Listen starts the processor on a loopback address.
func (p *Processor) Listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal(err)
	}
	p.listener = listener
	p.started = time.Now()
	p.resumed = sync.NewCond(&p.mu)
	p.came, p.over = map[string]bool{}, map[string]bool{}
	p.runs, p.running = map[string]int{}, map[string]*run{}
	go p.accept()
	return listener.Addr().String()
}

// Came records that a request came to the machine.
func (p *Processor) Came(id string) {
	p.mu.Lock()
	p.came[id] = true
	p.mu.Unlock()
}

// Over records that a request has its final answer.
func (p *Processor) Over(id string) {
	p.mu.Lock()
	p.over[id] = true
	p.mu.Unlock()
}

// Runs returns how often a request was run.
func (p *Processor) Runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// Break breaks the link.
func (p *Processor) Break() {
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Hang makes all runs stand still, or go on. The link goes on as always.
func (p *Processor) Hang(hangs bool) {
	p.mu.Lock()
	p.hangs = hangs
	p.mu.Unlock()
	p.resumed.Broadcast()
}

func (p *Processor) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		l := &link{conn: conn, out: make(chan string, 65536), closed: make(chan struct{})}
		p.mu.Lock()
		if p.link != nil {
			p.link.close()
		}
		p.link = l
		p.mu.Unlock()
		go p.write(l)
		go p.read(l)
	}
}

// write writes the notices of a link in order, some of them in two pieces.
func (p *Processor) write(l *link) {
	defer l.close()
	for {
		var text string
		select {
		case text = <-l.out:
		case <-l.closed:
			return
		}
		if rand.Float64() < p.PieceShare {
			half := len(text) / 2
			if _, err := io.WriteString(l.conn, text[:half]); err != nil {
				return
			}
			time.Sleep(p.PiecePause)
			text = text[half:]
		}
		if _, err := io.WriteString(l.conn, text); err != nil {
			return
		}
	}
}

func (p *Processor) read(l *link) {
	defer l.close()
	reader := bufio.NewReader(l.conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		body := ""
		if len(words) > 1 && (words[0] == "begin" || words[0] == "answer") {
			length, _ := strconv.Atoi(words[len(words)-1])
			buf := make([]byte, length+2)
			if _, err := io.ReadFull(reader, buf); err != nil {
				return
			}
			body = string(buf[:length])
		}
		if len(words) == 0 {
			return
		}
		p.mu.Lock()
		if p.link == l {
			p.execute(l, words, body)
		}
		p.mu.Unlock()
	}
}

// execute carries out one command. The caller holds the mutex.
func (p *Processor) execute(l *link, words []string, body string) {
	id := ""
	if len(words) > 1 {
		id = words[1]
	}
	if words[0] != "usage" {
		p.Log("processor < %s", strings.Join(words, " "))
	}
	switch words[0] {
	case "hello":
		last, _ := strconv.Atoi(id)
		l.out <- fmt.Sprintf("hi warm %d\r\n", time.Since(p.started).Milliseconds())
		for i := last; i < len(p.notices); i++ {
			l.out <- p.notices[i]
		}
	case "begin":
		p.begin(l, id, words[2], body)
	case "interrupt":
		p.interrupt(l, id)
	case "answer":
		p.answer(id, body)
	case "usage":
		active := 0
		for _, r := range p.running {
			if r.call == 0 {
				active++
			}
		}
		l.out <- fmt.Sprintf("used %s %.3f %d\r\n", id, min(1, float64(active)/6), active)
	case "trial":
		l.out <- fmt.Sprintf("tried %s ok\r\n", id)
	}
}

func (p *Processor) begin(l *link, id, class, body string) {
	switch {
	case !p.KnowsAll && !p.came[id]:
		l.out <- fmt.Sprintf("reject begin %s\r\n", id)
	case p.running[id] != nil: // it runs already
	case p.over[id]:
		p.notify(func(n int) string { return fmt.Sprintf("complete %d %s void 0 0\r\n\r\n", n, id) })
	default:
		p.runs[id]++
		if p.OnBegin != nil {
			p.OnBegin(id, class, body, p.runs[id]-1)
		}
		r := &run{id: id, body: body, parts: p.Parts(id, class, body), started: time.Now()}
		p.running[id] = r
		p.next(r, 0)
	}
}

// next lets a run work on its part with the given index.
func (p *Processor) next(r *run, part int) {
	r.call = 0
	r.timer = time.AfterFunc(r.parts[part], func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for p.hangs {
			p.resumed.Wait()
		}
		if p.running[r.id] != r {
			return
		}
		if part == len(r.parts)-1 {
			p.end(r, "ok", Result(r.id, r.body))
			return
		}
		r.call = part + 1
		call := p.CallBody(r.id, r.call)
		p.notify(func(n int) string { return fmt.Sprintf("ask %d %s %d\r\n%s\r\n", n, r.id, len(call), call) })
	})
}

// answer gives a run the reply to the call that it waits for.
func (p *Processor) answer(id, body string) {
	r := p.running[id]
	if r == nil || r.call == 0 {
		return
	}
	if p.OnAnswer != nil {
		p.OnAnswer(id, r.call, body)
	}
	p.next(r, r.call)
}

func (p *Processor) interrupt(l *link, id string) {
	r := p.running[id]
	switch {
	case !p.KnowsAll && !p.came[id], p.Halt == "off":
		l.out <- fmt.Sprintf("reject interrupt %s\r\n", id)
	case r != nil && !p.hangs:
		r.timer.Stop()
		p.end(r, "halted", "")
	}
}

func (p *Processor) end(r *run, end, result string) {
	delete(p.running, r.id)
	if p.OnEnd != nil {
		p.OnEnd(r.id, end)
	}
	ms := time.Since(r.started).Seconds() * 1000
	p.notify(func(n int) string {
		return fmt.Sprintf("complete %d %s %s %.2f %d\r\n%s\r\n", n, r.id, end, ms, len(result), result)
	})
}

// notify sends a numbered notice and keeps it.
func (p *Processor) notify(text func(number int) string) {
	notice := text(len(p.notices) + 1)
	p.notices = append(p.notices, notice)
	line, _, _ := strings.Cut(notice, "\r\n")
	p.Log("processor > %s", line)
	if p.link != nil {
		select {
		case p.link.out <- notice:
		default:
		}
	}
}

// Result returns the result of a run.
func Result(id, body string) string { return "result of " + id + ": " + body }
