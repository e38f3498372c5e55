package fake

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
)

// Outcome is the result of a request as its client observed it.
type Outcome uint8

// The outcomes.
const (
	Sent     Outcome = iota // written; there is no response
	Served                  // the response has the result that the processor produces for the request
	Rejected                // the response states that the request was not run
	Failed                  // any other response
	Aborted                 // the client aborted the request, and the node ended it without a response body
	NotSent                 // the request was not written completely
	Wrong                   // protocol violation: a wrong or malformed result, or a second response
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

// Set records the outcome of a request. Any outcome that follows a final one is recorded as Wrong. All outcomes but Sent are final.
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

// ProcessorResult returns the result that a Processor produces for a request.
func ProcessorResult(id uint64, body string) string {
	return fmt.Sprintf("result of %016x: %s", id, body)
}

// Response is a node's response to a request.
type Response struct {
	Status int
	Fields map[string]string
	Body   string
	Reuse  bool // the connection can be used for another request
}

// outcome classifies the response to a request whose correct result is the given one.
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

// ParseCGIResponse parses a response with CGI header fields. The status is 0 if it is missing or malformed.
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

// OutcomeOf classifies a response with CGI header fields to a request whose correct result is the given one.
func OutcomeOf(text, result string) Outcome {
	response := ParseCGIResponse(text)
	return response.outcome(result)
}
