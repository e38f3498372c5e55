package fake

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// Processor is a test double of the processor: a number of cores shared equally by all runs, so that its capacity is known. It counts
// how often each request is run, so that a test can tell duplicates. Its methods are safe for concurrent use; the fields may not change
// once a node has connected.
type Processor struct {
	Cores     float64
	Work      func(id uint64, handler string) time.Duration // time a run takes on one core
	MakesCall func(id uint64, handler string) bool          // whether a run begins with an upstream call; nil: never

	listener net.Listener
	wake     chan struct{} // the runs changed
	done     chan struct{} // closed by Close

	mu       sync.Mutex
	conn     net.Conn // the present connection
	started  time.Time
	notices  []string // all sent, replayed to a node that reconnects
	running  []*run
	advanced time.Time // until when the cores' time has been shared

	runs        map[uint64]int
	handlers    map[uint64]string
	firstStarts map[uint64]time.Time
	effects     map[string]int // runs by body; Reset keeps it
}

// run is one run of a request.
type run struct {
	id      uint64
	body    string
	calling bool    // waits for the reply to its upstream call
	left    float64 // seconds on one core
	started time.Time
}

// NewProcessor returns a processor that listens on a loopback address and runs until Close.
func NewProcessor(cores float64, work func(id uint64, handler string) time.Duration) (*Processor, error) {
	return NewProcessorAt("127.0.0.1:0", cores, work)
}

// NewProcessorAt returns a processor that listens on the given address and runs until Close.
func NewProcessorAt(address string, cores float64, work func(id uint64, handler string) time.Duration) (*Processor, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	p := &Processor{
		Cores:       cores,
		Work:        work,
		listener:    listener,
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		started:     now,
		advanced:    now,
		runs:        map[uint64]int{},
		handlers:    map[uint64]string{},
		firstStarts: map[uint64]time.Time{},
		effects:     map[string]int{},
	}
	go p.accept()
	go p.schedule()
	return p, nil
}

// Address returns the address that the processor listens on.
func (p *Processor) Address() string { return p.listener.Addr().String() }

// Close closes the listener and the connection, and stops all runs.
func (p *Processor) Close() {
	_ = p.listener.Close()
	close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// Runs returns how often each request was started, by request ID.
func (p *Processor) Runs() map[uint64]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.runs)
}

// Effects returns how often each body was started, under whatever request ID.
func (p *Processor) Effects() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.effects)
}

// Handlers returns the handler of each request that was started, by request ID.
func (p *Processor) Handlers() map[uint64]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.handlers)
}

// FirstStarts returns when each request was first started, by request ID.
func (p *Processor) FirstStarts() map[uint64]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.firstStarts)
}

// Reset forgets all runs and counts except those of Effects, as if the machine had been lost with its node.
func (p *Processor) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = nil
	p.notices = nil
	p.runs = map[uint64]int{}
	p.handlers = map[uint64]string{}
	p.firstStarts = map[uint64]time.Time{}
	p.started = time.Now()
}

// start starts a run. The caller holds the mutex.
func (p *Processor) start(id uint64, handler, body string) {
	if slices.ContainsFunc(p.running, func(r *run) bool { return r.id == id }) {
		return
	}
	p.advance()
	p.runs[id]++
	if p.runs[id] == 1 {
		p.firstStarts[id] = time.Now()
	}
	p.handlers[id] = handler
	p.effects[body]++
	r := &run{id: id, body: body, left: p.Work(id, handler).Seconds(), started: time.Now()}
	p.running = append(p.running, r)
	if p.MakesCall != nil && p.MakesCall(id, handler) {
		r.calling = true
		p.notify(fmt.Sprintf("ask %d %016x %d\r\n%s\r\n", len(p.notices)+1, id, len(body), body))
	}
	p.reschedule()
}

// endCall lets a run go on whose upstream call is answered. The caller holds the mutex.
func (p *Processor) endCall(id uint64) {
	p.advance()
	for _, r := range p.running {
		if r.id == id {
			r.calling = false
		}
	}
	p.reschedule()
}

// interrupt ends a run. The caller holds the mutex.
func (p *Processor) interrupt(id uint64) {
	p.advance()
	for i, r := range p.running {
		if r.id == id {
			p.running = slices.Delete(p.running, i, i+1)
			p.complete(r, "halted", "")
			break
		}
	}
	p.reschedule()
}

// advance shares the cores' time since the last call among all runs. The caller holds the mutex.
func (p *Processor) advance() {
	now := time.Now()
	if n := float64(p.runnable()); n > 0 {
		share := now.Sub(p.advanced).Seconds() * min(1, p.Cores/n)
		for _, r := range p.running {
			if !r.calling {
				r.left -= share
			}
		}
	}
	p.advanced = now
}

// runnable returns the number of runs that want a core.
func (p *Processor) runnable() int {
	n := 0
	for _, r := range p.running {
		if !r.calling {
			n++
		}
	}
	return n
}

// reschedule makes schedule look at the runs again.
func (p *Processor) reschedule() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// complete notifies the node of the end of a run.
func (p *Processor) complete(r *run, result, body string) {
	number := len(p.notices) + 1
	ms := time.Since(r.started).Seconds() * 1000
	p.notify(fmt.Sprintf("complete %d %016x %s %.2f %d\r\n%s\r\n", number, r.id, result, ms, len(body), body))
}

// notify sends a notice to the node and keeps it for a later connection.
func (p *Processor) notify(text string) {
	p.notices = append(p.notices, text)
	if p.conn != nil {
		_, _ = io.WriteString(p.conn, text)
	}
}

// schedule completes each run when its work is done, until Close.
func (p *Processor) schedule() {
	timer := time.NewTimer(time.Hour)
	for {
		select {
		case <-p.done:
			return
		case <-p.wake:
		case <-timer.C:
		}
		timer.Reset(p.completeFinished())
	}
}

// completeFinished completes the runs whose work is done and returns the time until the next one may be.
func (p *Processor) completeFinished() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.running = slices.DeleteFunc(p.running, func(r *run) bool {
		if r.left > 0 || r.calling {
			return false
		}
		p.complete(r, "ok", ProcessorResult(r.id, r.body))
		return true
	})
	next := time.Hour
	slowdown := max(1, float64(p.runnable())/p.Cores)
	for _, r := range p.running {
		if !r.calling {
			next = min(next, time.Duration(r.left*slowdown*float64(time.Second))+50*time.Microsecond)
		}
	}
	return next
}
