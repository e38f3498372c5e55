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

// Processor is a test double of the processor. All runs share its cores equally, so that its capacity is known. It counts the runs of
// each request, so that a test can detect duplicates. Its methods are safe for concurrent use; the fields must not change once a node
// has connected.
type Processor struct {
	Cores       float64
	Work        func(id uint64, handler string) time.Duration // duration of a run on one core
	MakesCall   func(id uint64, handler string) bool          // reports whether a run begins with an upstream call; nil: no run does
	SecondCalls bool                                          // a run that begins with an upstream call also ends with one

	listener net.Listener
	wake     chan struct{} // signals schedule that the runs have changed
	done     chan struct{} // closed by Close

	mu         sync.Mutex
	conn       net.Conn // current connection, nil before the first
	startedAt  time.Time
	notices    []string // all notices so far, which a node that reconnects receives again
	running    []*run
	advancedAt time.Time // time up to which core time has been distributed to the runs

	runs        map[uint64]int
	handlers    map[uint64]string
	firstStarts map[uint64]time.Time
	effects     map[string]int // number of runs by request body; Reset keeps it

	wrongReplies []string
}

// run is one run of a request.
type run struct {
	id            uint64
	body          string
	awaitingCall  bool    // it waits for the reply to its upstream call
	callsMade     int     // number of its upstream calls so far
	callBody      string  // body of its last upstream call
	remainingWork float64 // in seconds on one core
	startedAt     time.Time
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
		startedAt:   now,
		advancedAt:  now,
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

// Runs returns the number of runs of each request, by request ID.
func (p *Processor) Runs() map[uint64]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.runs)
}

// Effects returns the number of runs of each request body, under any request ID.
func (p *Processor) Effects() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.effects)
}

// WrongReplies describes each reply that reached a run that waited for the reply to another call. Replies must repeat the body of their
// call, as those of Upstream do.
func (p *Processor) WrongReplies() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.wrongReplies)
}

// Handlers returns the handler of each request that was started, by request ID.
func (p *Processor) Handlers() map[uint64]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.handlers)
}

// FirstStarts returns the time of the first start of each request, by request ID.
func (p *Processor) FirstStarts() map[uint64]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.firstStarts)
}

// Reset drops all runs and counts except those of Effects, as after the loss of the machine with its node.
func (p *Processor) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = nil
	p.notices = nil
	p.runs = map[uint64]int{}
	p.handlers = map[uint64]string{}
	p.firstStarts = map[uint64]time.Time{}
	p.startedAt = time.Now()
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
	r := &run{id: id, body: body, remainingWork: p.Work(id, handler).Seconds(), startedAt: time.Now()}
	p.running = append(p.running, r)
	if p.MakesCall != nil && p.MakesCall(id, handler) {
		p.startCall(r)
	}
	p.reschedule()
}

// startCall makes the next upstream call of a run. The caller holds the mutex.
func (p *Processor) startCall(r *run) {
	r.awaitingCall = true
	r.callsMade++
	r.callBody = fmt.Sprintf("%s, call %d of %016x", r.body, r.callsMade, r.id)
	p.notify(fmt.Sprintf("ask %d %016x %d\r\n%s\r\n", len(p.notices)+1, r.id, len(r.callBody), r.callBody))
}

// endCall resumes a run whose upstream call has ended. The caller holds the mutex.
func (p *Processor) endCall(id uint64, reply string) {
	p.advance()
	for _, r := range p.running {
		if r.id != id || !r.awaitingCall {
			continue
		}
		r.awaitingCall = false
		if reply != r.callBody {
			p.wrongReplies = append(p.wrongReplies, fmt.Sprintf("%q reached a run that waited for %q", reply, r.callBody))
		}
	}
	p.reschedule()
}

// interrupt stops a run and notifies the node. The caller holds the mutex.
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

// advance distributes the core time since the last call equally among the runnable runs. The caller holds the mutex.
func (p *Processor) advance() {
	now := time.Now()
	if n := float64(p.runnable()); n > 0 {
		share := now.Sub(p.advancedAt).Seconds() * min(1, p.Cores/n)
		for _, r := range p.running {
			if !r.awaitingCall {
				r.remainingWork -= share
			}
		}
	}
	p.advancedAt = now
}

// runnable returns the number of runs that do not wait for an upstream call. The caller holds the mutex.
func (p *Processor) runnable() int {
	n := 0
	for _, r := range p.running {
		if !r.awaitingCall {
			n++
		}
	}
	return n
}

// reschedule signals schedule to recompute when the next run ends.
func (p *Processor) reschedule() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// complete notifies the node of the end of a run. The caller holds the mutex.
func (p *Processor) complete(r *run, result, body string) {
	number := len(p.notices) + 1
	ms := time.Since(r.startedAt).Seconds() * 1000
	p.notify(fmt.Sprintf("complete %d %016x %s %.2f %d\r\n%s\r\n", number, r.id, result, ms, len(body), body))
}

// notify sends a notice to the node and stores it for replay on a later connection. The caller holds the mutex.
func (p *Processor) notify(text string) {
	p.notices = append(p.notices, text)
	if p.conn != nil {
		_, _ = io.WriteString(p.conn, text)
	}
}

// schedule completes each run at the end of its work, until Close.
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

// completeFinished completes the runs whose work is done and returns the time until the next run can end.
func (p *Processor) completeFinished() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.running = slices.DeleteFunc(p.running, func(r *run) bool {
		if r.remainingWork > 0 || r.awaitingCall {
			return false
		}
		if p.SecondCalls && r.callsMade == 1 {
			p.startCall(r)
			return false
		}
		p.complete(r, "ok", ProcessorResult(r.id, r.body))
		return true
	})
	next := time.Hour
	slowdown := max(1, float64(p.runnable())/p.Cores)
	for _, r := range p.running {
		if !r.awaitingCall {
			next = min(next, time.Duration(r.remainingWork*slowdown*float64(time.Second))+50*time.Microsecond)
		}
	}
	return next
}
