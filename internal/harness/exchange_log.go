package harness

import (
	"fmt"
	"sync"
	"time"

	"frosthub/internal/fake"
)

// CrossingWindow is the longest time between sending a request and the end of its connection for which the two count as having crossed
// on the network. According to the protocol the edge node then sends the request again, once, on a new connection.
const CrossingWindow = 50 * time.Millisecond

// Exchange is one request and its result, as its edge node observed them. All times are of the same monotonic clock.
type Exchange struct {
	ID          uint64
	Handler     string
	Node        string
	SentAt      time.Time // when its last byte was written, or delivered to the node by a proxy
	RespondedAt time.Time // when its response was read completely; zero if there is none
	ClosedAt    time.Time // when its connection ended without a response; zero if it did not
	Outcome     fake.Outcome
	Excuse      string // why no response is required: a network fault, a close by the edge node, a killed node; empty if one is required
}

// crossedClose reports whether the request crossed with the node's close of its connection.
func (x *Exchange) crossedClose() bool {
	return x.RespondedAt.IsZero() && x.Excuse == "" && !x.ClosedAt.IsZero() && x.ClosedAt.Sub(x.SentAt) <= CrossingWindow
}

// violation describes the rule that the exchange violates. It is empty if there is none.
func (x *Exchange) violation() string {
	if x.Outcome == fake.Wrong {
		return fmt.Sprintf("%s %016x: response has a wrong result", x.Node, x.ID)
	}
	if !x.RespondedAt.IsZero() || x.Excuse != "" {
		return ""
	}
	if x.ClosedAt.IsZero() {
		return fmt.Sprintf("%s %016x: no response, and its connection is still open", x.Node, x.ID)
	}
	if age := x.ClosedAt.Sub(x.SentAt); age > CrossingWindow {
		return fmt.Sprintf("%s %016x: no response, and its connection ended %v after it was sent", x.Node, x.ID, age.Round(time.Millisecond))
	}
	return ""
}

// ExchangeLog records the exchanges of edge nodes. Unlike a node's own accounting it includes requests that the node never recorded, so
// that a test can detect lost requests. It is safe for concurrent use.
type ExchangeLog struct {
	mu         sync.Mutex
	exchanges  map[uint64]*Exchange // by request ID
	violations []string             // responses to requests that were not sent or were answered before
}

// NewExchangeLog returns an empty log.
func NewExchangeLog() *ExchangeLog { return &ExchangeLog{exchanges: map[uint64]*Exchange{}} }

// RecordSent records a request whose last byte was written at the given time.
func (l *ExchangeLog) RecordSent(node string, id uint64, handler string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges[id] = &Exchange{ID: id, Handler: handler, Node: node, SentAt: at, Outcome: fake.Sent}
}

// RecordDelivered records when a proxy had delivered a request to the node. This time replaces the time at which it was sent.
func (l *ExchangeLog) RecordDelivered(id uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if exchange := l.exchanges[id]; exchange != nil {
		exchange.SentAt = at
	}
}

// RecordResponse records the response to a request. A second response, or one to a request that was not sent, is a violation.
func (l *ExchangeLog) RecordResponse(id uint64, outcome fake.Outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	exchange := l.exchanges[id]
	switch {
	case exchange == nil:
		l.violations = append(l.violations, fmt.Sprintf("%016x: response to a request that was not sent", id))
	case !exchange.RespondedAt.IsZero():
		l.violations = append(l.violations, fmt.Sprintf("%016x: second response, %s after %s", id, outcome, exchange.Outcome))
	default:
		exchange.RespondedAt = at
		exchange.Outcome = outcome
	}
}

// RecordClosed records that a request's connection ended before its response. The excuse is empty if the node closed the connection.
func (l *ExchangeLog) RecordClosed(id uint64, at time.Time, excuse string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if exchange := l.exchanges[id]; exchange != nil && exchange.RespondedAt.IsZero() {
		exchange.ClosedAt = at
		exchange.Excuse = excuse
	}
}

// All returns a copy of each exchange, in no particular order.
func (l *ExchangeLog) All() []Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Exchange, 0, len(l.exchanges))
	for _, exchange := range l.exchanges {
		all = append(all, *exchange)
	}
	return all
}

// Violations describes each violation of the rules on lost and duplicate responses: requests that did not get a response although the
// node closed their connection after the crossing window, requests that are still open, second responses, and wrong results.
func (l *ExchangeLog) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := append([]string(nil), l.violations...)
	for _, exchange := range l.exchanges {
		if violation := exchange.violation(); violation != "" {
			violations = append(violations, violation)
		}
	}
	return violations
}

// CrossedClose returns the number of requests that crossed with the node's orderly close of their connection.
func (l *ExchangeLog) CrossedClose() int {
	count := 0
	for _, exchange := range l.All() {
		if exchange.crossedClose() {
			count++
		}
	}
	return count
}
