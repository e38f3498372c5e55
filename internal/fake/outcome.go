package fake

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
)

// Outcome is what a client knows of a request that it sent.
type Outcome uint8

// The outcomes.
const (
	Sent     Outcome = iota // written; no response has come
	Served                  // answered with the result that the processor produces for it
	Rejected                // answered: it was never run
	Failed                  // answered in any other way
	Aborted                 // aborted by the client, which the node confirmed without a response
	NotSent                 // not written completely
	Wrong                   // answered in a way that is never right: with another result, or twice
)

var outcomeNames = [...]string{
	Sent:     "none",
	Served:   "served",
	Rejected: "refused",
	Failed:   "failed",
	Aborted:  "taken back",
	NotSent:  "not sent",
	Wrong:    "wrong",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Tally records the outcome of each request by its ID. It is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	outcomes map[uint64]Outcome
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{outcomes: map[uint64]Outcome{}} }

// Set records the outcome of a request. A second outcome after a final one is recorded as Wrong, whatever it is.
func (t *Tally) Set(id uint64, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if previous, ok := t.outcomes[id]; ok && previous != Sent {
		outcome = Wrong
	}
	t.outcomes[id] = outcome
}

// All returns a copy of all outcomes by request ID.
func (t *Tally) All() map[uint64]Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.outcomes)
}

// Count returns the number of requests with the given outcome.
func (t *Tally) Count(outcome Outcome) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, o := range t.outcomes {
		if o == outcome {
			count++
		}
	}
	return count
}

// ProcessorResult returns the result that Processor produces for a request.
func ProcessorResult(id uint64, body string) string {
	return fmt.Sprintf("result of %016x: %s", id, body)
}

// Response is a node's response to a request.
type Response struct {
	Status int
	Fields map[string]string
	Body   string
	Reuse  bool // the connection may carry another request
}

// outcome returns what the response says of a request whose result would be the given one.
func (r *Response) outcome(result string) Outcome {
	switch {
	case r.Status == 200 && r.Body == result:
		return Served
	case r.Status == 200:
		return Wrong
	case r.Status == 429 || r.Status == 503:
		return Rejected
	}
	return Failed
}

// ParseCGIResponse parses a response with CGI header fields.
func ParseCGIResponse(text string) Response {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	response := Response{Fields: map[string]string{}, Body: body, Reuse: true}
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		response.Fields[name] = value
	}
	status, _, _ := strings.Cut(response.Fields["Status"], " ")
	response.Status, _ = strconv.Atoi(status)
	return response
}

// OutcomeOf returns what a response with CGI header fields says of a request whose result would be the given one.
func OutcomeOf(text, result string) Outcome {
	response := ParseCGIResponse(text)
	return response.outcome(result)
}
