package fake

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Processor is a stand-in for the processor: some cores shared alike by all runs, so that its capacity is a known
// figure. It judges too: it counts how often each id was run.
type Processor struct {
	Cores     float64
	Work      func(id uint64, handler string) time.Duration // on one core
	Knows     func(id uint64) bool                          // nil: all
	MakesCall func(id uint64, handler string) bool          // whose runs begin with a call; nil: none

	ln net.Listener

	mu      sync.Mutex
	c       net.Conn // the present link
	started time.Time
	notices []string
	running []*job
	last    time.Time
	busy    float64 // seconds of cores
	runs    map[uint64]int
	ids     map[uint64]string    // begun ones and their handlers
	first   map[uint64]time.Time // when each was first begun
	effects map[string]int       // how often a body was begun, under whatever id; over all Resets
	wake    chan struct{}
	done    chan struct{}
}

type job struct {
	id    uint64
	calls bool // waits for the reply to its call
	body  string
	left  float64 // seconds on one core
	took  time.Time
}

// NewProcessor listens on loopback and runs until Close.
func NewProcessor(cores float64, work func(id uint64, handler string) time.Duration) (*Processor, error) {
	return NewProcessorAt("127.0.0.1:0", cores, work)
}

// NewProcessorAt listens at an address.
func NewProcessorAt(address string, cores float64, work func(id uint64, handler string) time.Duration) (*Processor, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	p := &Processor{
		Cores: cores, Work: work, ln: ln, started: now, last: now, runs: map[uint64]int{},
		ids: map[uint64]string{}, first: map[uint64]time.Time{}, effects: map[string]int{}, wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go p.accept()
	go p.run()
	return p, nil
}

// Address is where it listens.
func (p *Processor) Address() string { return p.ln.Addr().String() }

// Close ends it.
func (p *Processor) Close() {
	_ = p.ln.Close()
	close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.c != nil {
		_ = p.c.Close()
	}
}

// Break ends the link; runs go on.
func (p *Processor) Break() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.c != nil {
		_ = p.c.Close()
	}
}

// Runs gives how often each id was begun.
func (p *Processor) Runs() map[uint64]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[uint64]int, len(p.runs))
	for id, n := range p.runs {
		out[id] = n
	}
	return out
}

// Effects gives how often each body was begun, under whatever id.
func (p *Processor) Effects() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.effects)
}

// Handlers gives the handler of each id that was begun.
func (p *Processor) Handlers() map[uint64]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[uint64]string, len(p.ids))
	for id, h := range p.ids {
		out[id] = h
	}
	return out
}

// FirstStarts gives when each id was first begun.
func (p *Processor) FirstStarts() map[uint64]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.first)
}

// Reset forgets what was run: the machine died with its box, or the counts are read.
func (p *Processor) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running, p.notices, p.runs, p.ids, p.first = nil, nil, map[uint64]int{}, map[uint64]string{}, map[uint64]time.Time{}
	p.started = time.Now()
}

func (p *Processor) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.c != nil {
			_ = p.c.Close()
		}
		p.c = c
		p.mu.Unlock()
		go p.read(c)
	}
}

func (p *Processor) read(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		body := ""
		if len(w) > 1 && (w[0] == "begin" || w[0] == "answer") {
			n, _ := strconv.Atoi(w[len(w)-1])
			b := make([]byte, n+2)
			if _, err := io.ReadFull(r, b); err != nil {
				return
			}
			body = string(b[:n])
		}
		p.mu.Lock()
		if p.c == c {
			p.command(w, body)
		}
		p.mu.Unlock()
	}
}

func (p *Processor) command(w []string, body string) {
	id := uint64(0)
	if len(w) > 1 {
		id, _ = strconv.ParseUint(w[1], 16, 64)
	}
	say := func(format string, args ...any) { fmt.Fprintf(p.c, format+"\r\n", args...) }
	switch w[0] {
	case "hello":
		last, _ := strconv.Atoi(w[1])
		if last == 0 && len(p.notices) > 0 { // a box that started anew: what it began is nobody's
			p.running, p.notices = nil, nil
		}
		say("hi warm %d", time.Since(p.started).Milliseconds())
		for i := last; i < len(p.notices); i++ {
			_, _ = io.WriteString(p.c, p.notices[i])
		}
	case "begin":
		if p.Knows != nil && !p.Knows(id) {
			say("reject begin %s", w[1])
			return
		}
		if slices.ContainsFunc(p.running, func(j *job) bool { return j.id == id }) {
			return
		}
		p.advance()
		if p.runs[id]++; p.runs[id] == 1 {
			p.first[id] = time.Now()
		}
		p.ids[id] = w[2]
		p.effects[body]++
		j := &job{id: id, body: body, left: p.Work(id, w[2]).Seconds(), took: time.Now()}
		p.running = append(p.running, j)
		if p.MakesCall != nil && p.MakesCall(id, w[2]) {
			j.calls = true
			p.notice(fmt.Sprintf("ask %d %016x %d\r\n%s\r\n", len(p.notices)+1, id, len(body), body))
		}
		p.kick()
	case "answer":
		p.advance()
		for _, j := range p.running {
			if j.id == id {
				j.calls = false
			}
		}
		p.kick()
	case "interrupt":
		if p.Knows != nil && !p.Knows(id) {
			say("reject interrupt %s", w[1])
			return
		}
		p.advance()
		for i, j := range p.running {
			if j.id == id {
				p.running = slices.Delete(p.running, i, i+1)
				p.complete(j, "halted", "")
				break
			}
		}
		p.kick()
	case "usage":
		p.advance()
		n := float64(p.working())
		say("used %s %.3f %.0f 0.01 3", w[1], min(1, n/p.Cores), n)
	case "trial":
		say("tried %s ok", w[1])
	}
}

// advance shares the cores among all runs since the last time.
func (p *Processor) advance() {
	now := time.Now()
	if n := float64(p.working()); n > 0 {
		each := now.Sub(p.last).Seconds() * min(1, p.Cores/n)
		for _, j := range p.running {
			if !j.calls {
				j.left -= each
			}
		}
		p.busy += each * n
	}
	p.last = now
}

// working is how many runs want a core.
func (p *Processor) working() (n int) {
	for _, j := range p.running {
		if !j.calls {
			n++
		}
	}
	return n
}

func (p *Processor) kick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Processor) complete(j *job, end, body string) {
	n := len(p.notices) + 1
	p.notice(fmt.Sprintf("complete %d %016x %s %.2f %d\r\n%s\r\n", n, j.id, end, time.Since(j.took).Seconds()*1000, len(body), body))
}

func (p *Processor) notice(text string) {
	p.notices = append(p.notices, text)
	if p.c != nil {
		_, _ = io.WriteString(p.c, text)
	}
}

// run ends what is done.
func (p *Processor) run() {
	timer := time.NewTimer(time.Hour)
	for {
		select {
		case <-p.done:
			return
		case <-p.wake:
		case <-timer.C:
		}
		p.mu.Lock()
		p.advance()
		next := time.Hour
		p.running = slices.DeleteFunc(p.running, func(j *job) bool {
			if j.left > 0 || j.calls {
				return false
			}
			p.complete(j, "ok", ProcessorResult(j.id, j.body))
			return true
		})
		n := float64(p.working())
		for _, j := range p.running {
			if j.calls {
				continue
			}
			next = min(next, time.Duration(j.left*max(1, n/p.Cores)*float64(time.Second))+50*time.Microsecond)
		}
		p.mu.Unlock()
		timer.Reset(next)
	}
}
