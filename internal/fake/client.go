package fake

import "time"

// Client sends requests to a node and waits for their responses. Implementations are safe for concurrent use.
type Client interface {
	// Send sends a request and returns its outcome, Sent if no response came within the timeout.
	Send(r *Request, timeout time.Duration) Outcome
	// RoundTrip sends a request and returns its response. The outcome is Served if there is one, whatever it says.
	RoundTrip(r *Request, timeout time.Duration) (Response, Outcome)
	// Close closes the client's connections.
	Close()
}

// send implements Client.Send by RoundTrip.
func send(c Client, r *Request, timeout time.Duration) Outcome {
	response, outcome := c.RoundTrip(r, timeout)
	if outcome != Served {
		return outcome
	}
	return response.outcome(ProcessorResult(r.ID, r.Body))
}
