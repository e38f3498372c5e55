package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outcome is what an edge node knows of a req of its own.
type Outcome uint8

// The outcomes.
const (
	Sent     Outcome = iota // written, and nothing has come of it
	Served                  // answered with the result that the processor makes of it
	Rejected                // answered: it never ran
	Failed                  // any other answer
	Aborted                 // taken back, and the box said so without an answer
	NotSent                 // not a whole req was written
	Wrong                   // an answer that nobody may give: another result, a second answer
)

// String is the outcome's word.
func (o Outcome) String() string {
	return [...]string{"none", "served", "refused", "failed", "taken back", "not sent", "wrong"}[o]
}

// Tally is what became of each req, by id.
type Tally struct {
	mu sync.Mutex
	of map[uint64]Outcome
	at map[uint64]time.Duration // until the answer came
}

// NewTally returns an empty one.
func NewTally() *Tally { return &Tally{of: map[uint64]Outcome{}, at: map[uint64]time.Duration{}} }

// Set notes what became of a req. A second answer is wrong, whatever it says.
func (t *Tally) Set(id uint64, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if had, ok := t.of[id]; ok && had != Sent {
		o = Wrong
	}
	t.of[id] = o
}

// All gives a copy.
func (t *Tally) All() map[uint64]Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint64]Outcome, len(t.of))
	for id, o := range t.of {
		out[id] = o
	}
	return out
}

// Count is how many have that outcome.
func (t *Tally) Count(o Outcome) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.of {
		if x == o {
			n++
		}
	}
	return n
}

// ProcessorResult is what the processor makes of a req.
func ProcessorResult(id uint64, body string) string {
	return fmt.Sprintf("result of %016x: %s", id, body)
}

// ParseCGIResponse reads an answer with fields as of CGI.
func ParseCGIResponse(text string) Response {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	a := Response{Fields: map[string]string{}, Body: body, Reuse: true}
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		a.Fields[name] = value
	}
	status, _, _ := strings.Cut(a.Fields["Status"], " ")
	a.Status, _ = strconv.Atoi(status)
	return a
}

// OutcomeOf reads an answer with fields as of CGI.
func OutcomeOf(text, result string) Outcome {
	a := ParseCGIResponse(text)
	return outcomeOf(a.Status, a.Body, result)
}

// outcomeOf is what a status and a body say.
func outcomeOf(status int, body, result string) Outcome {
	switch {
	case status == 200 && body == result:
		return Served
	case status == 200:
		return Wrong
	case status == 429 || status == 503:
		return Rejected
	}
	return Failed
}

// EdgeLoad is how an edge node asks.
type EdgeLoad struct {
	Address  string
	Conns    int           // connections; each is made anew when it ends
	Interval time.Duration // between reqs of a connection, in the mean
	Slots    int           // reqs open on one, at most
	Handlers []string
	Abort    float64 // share of reqs taken back after a moment
	Close    float64 // share of reqs after which the connection is ended in good order, with all that is open on it
	Bad      float64 // share of reqs with a field that can't be
	CostMS   float64
	Body     string
	Callers  int // edge nodes' numbers in use; 1 if 0
}

// Run asks until the context is done, then waits for what is open; reqs and their ends go to the tally. It returns
// when no connection is left.
func (l EdgeLoad) Run(ctx context.Context, tally *Tally, seed uint64) {
	var all sync.WaitGroup
	for i := range l.Conns {
		all.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				if err := l.connection(ctx, tally, r); err != nil {
					select { // the box may be away for a while
					case <-ctx.Done():
					case <-time.After(2 * time.Millisecond):
					}
				}
			}
		})
	}
	all.Wait()
}

// lastAnswers is how long an edge node waits for what is open when it stops asking.
const lastAnswers = 3 * time.Second

func (l EdgeLoad) connection(ctx context.Context, tally *Tally, r *rand.Rand) error {
	c, err := net.Dial("tcp", l.Address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	var mu sync.Mutex
	open := map[uint16]uint64{}
	answered := sync.NewCond(&mu)
	ended := false
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = ReadFastCGI(bufio.NewReader(c), func(a FastCGIResponse) {
			mu.Lock()
			defer mu.Unlock()
			id, ok := open[a.Slot]
			if !ok {
				return
			}
			delete(open, a.Slot)
			answered.Broadcast()
			switch {
			case a.NoBody && a.ProtocolStatus == 2:
				tally.Set(id, Rejected)
			case a.NoBody && a.ProtocolStatus == 0:
				tally.Set(id, Aborted)
			case a.NoBody:
				tally.Set(id, Failed)
			default:
				tally.Set(id, OutcomeOf(a.Text, ProcessorResult(id, l.Body)))
			}
		})
		mu.Lock()
		ended = true
		answered.Broadcast()
		mu.Unlock()
	}()
	for slot := uint16(1); ; slot = slot%1000 + 1 {
		select {
		case <-ctx.Done():
			_ = c.SetReadDeadline(time.Now().Add(lastAnswers))
			mu.Lock()
			for len(open) > 0 && !ended {
				answered.Wait()
			}
			mu.Unlock()
			return l.finish(c, done)
		case <-done:
			return io.EOF
		case <-time.After(time.Duration(r.ExpFloat64() * float64(l.Interval))):
		}
		mu.Lock()
		_, used := open[slot]
		full := len(open) >= l.Slots
		mu.Unlock()
		if used || full {
			continue
		}
		req := Request{
			ID: r.Uint64() | 1, Handler: l.Handlers[r.IntN(len(l.Handlers))], Caller: r.IntN(max(1, l.Callers)),
			Start: time.Now().UnixMilli(), CostMS: l.CostMS, Body: l.Body,
		}
		if r.Float64() < l.Bad {
			req.Handler = "none-such"
		}
		mu.Lock()
		open[slot] = req.ID
		mu.Unlock()
		tally.Set(req.ID, Sent)
		text := req.FastCGI(slot)
		if n, err := io.WriteString(c, text); err != nil {
			if n < len(text) {
				mu.Lock()
				if _, still := open[slot]; still {
					tally.Set(req.ID, NotSent)
				}
				delete(open, slot)
				mu.Unlock()
			}
			<-done
			return err
		}
		switch x := r.Float64(); {
		case x < l.Abort:
			time.Sleep(time.Duration(r.IntN(3)) * time.Millisecond)
			_, _ = io.WriteString(c, FastCGIAbort(slot))
		case x < l.Abort+l.Close:
			return l.finish(c, done)
		}
	}
}

// finish ends a connection in good order: what the box has handed to the system still comes.
func (l EdgeLoad) finish(c net.Conn, done chan struct{}) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lastAnswers))
	<-done
	return nil
}
