package harness

import (
	"fmt"
	"frosthub/internal/fake"
	"sync"
	"time"
)

// CrossingWindow is how long before the end of a connection a request may be written and still count as one that crossed it: the
// protocol has its edge node send it again, once, on a new connection.
const CrossingWindow = 50 * time.Millisecond

// Exchange is one request as its edge node saw it, all times of one monotonic clock.
type Exchange struct {
	ID          uint64
	Handler     string
	Node        string
	SentAt      time.Time // the last byte; zero: not written whole
	RespondedAt time.Time // the final answer was read whole; zero: none
	ClosedAt    time.Time // its connection ended without one; zero: it did not
	Outcome     fake.Outcome
	Excuse      string // why no answer is owed: a fault on the way, the edge node's own end, a node that was killed
}

// ExchangeLog is what edge nodes saw of all their requests. It is the judge of the rule on lost requests: unlike a node's own book it
// knows of requests that the node never entered anywhere.
type ExchangeLog struct {
	mu  sync.Mutex
	all map[uint64]*Exchange
	bad []string // answers that nobody may give
}

// NewExchangeLog returns an empty ledger.
func NewExchangeLog() *ExchangeLog { return &ExchangeLog{all: map[uint64]*Exchange{}} }

// RecordSent enters a request whose last byte was written.
func (l *ExchangeLog) RecordSent(node string, id uint64, handler string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[id] = &Exchange{ID: id, Handler: handler, Node: node, SentAt: at, Outcome: fake.Sent}
}

// RecordDelivered enters when the node had a request that something carried to it.
func (l *ExchangeLog) RecordDelivered(id uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.all[id]; x != nil {
		x.SentAt = at
	}
}

// RecordResponse enters a final answer; a second one breaks the rule on duplicates.
func (l *ExchangeLog) RecordResponse(id uint64, o fake.Outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.all[id]
	switch {
	case x == nil:
		l.bad = append(l.bad, fmt.Sprintf("%016x: an answer to what was not asked", id))
	case !x.RespondedAt.IsZero():
		l.bad = append(l.bad, fmt.Sprintf("%016x: a second answer, %s after %s", id, o, x.Outcome))
	default:
		x.RespondedAt, x.Outcome = at, o
	}
}

// RecordClosed enters that a request's connection ended without its answer; excuse is empty where the node ended it.
func (l *ExchangeLog) RecordClosed(id uint64, at time.Time, excuse string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.all[id]; x != nil && x.RespondedAt.IsZero() {
		x.ClosedAt, x.Excuse = at, excuse
	}
}

// All gives a copy of each exchange.
func (l *ExchangeLog) All() []Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Exchange, 0, len(l.all))
	for _, x := range l.all {
		out = append(out, *x)
	}
	return out
}

// Violations tells, a line each, which requests broke the rules on lost requests and on duplicates: those whose connection the node ended
// without an answer and not within the window of a crossing, and answers that nobody may give. What was answered wrongly counts as well.
func (l *ExchangeLog) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := append([]string(nil), l.bad...)
	for _, x := range l.all {
		switch {
		case x.Outcome == fake.Wrong:
			out = append(out, fmt.Sprintf("%s %016x: a result that no run made", x.Node, x.ID))
		case !x.RespondedAt.IsZero() || x.Excuse != "":
		case x.ClosedAt.IsZero():
			out = append(out, fmt.Sprintf("%s %016x: still open", x.Node, x.ID))
		case x.ClosedAt.Sub(x.SentAt) > CrossingWindow:
			out = append(out, fmt.Sprintf("%s %016x: unanswered, its connection ended %v after it was written", x.Node, x.ID,
				x.ClosedAt.Sub(x.SentAt).Round(time.Millisecond)))
		}
	}
	return out
}

// CrossedClose is how many requests crossed the orderly end of their connection.
func (l *ExchangeLog) CrossedClose() (n int) {
	for _, x := range l.All() {
		if x.RespondedAt.IsZero() && x.Excuse == "" && !x.ClosedAt.IsZero() && x.ClosedAt.Sub(x.SentAt) <= CrossingWindow {
			n++
		}
	}
	return n
}
