package fake

import "time"

// Client sends requests to a node and waits for their responses. Implementations are safe for concurrent use.
type Client interface {
	// Send sends a request and returns its outcome, which is Sent if there is no response within the timeout.
	Send(r *Request, timeout time.Duration) Outcome
	// RoundTrip sends a request and returns its response. The outcome is Served for each response, whatever its status.
	RoundTrip(r *Request, timeout time.Duration) (Response, Outcome)
	// Close closes the client's connections.
	Close()
}

// send implements Client.Send with RoundTrip and checks the result.
func send(c Client, r *Request, timeout time.Duration) Outcome {
	response, outcome := c.RoundTrip(r, timeout)
	if outcome != Served {
		return outcome
	}
	return response.outcome(ProcessorResult(r.ID, r.Body))
}
