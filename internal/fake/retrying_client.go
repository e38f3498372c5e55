package fake

import "time"

// RetryingClient tries nodes one after the other, with a new ID for each attempt, as an edge node does that knows several: after a
// rejection, or a connection that is refused or ends, it tries the next. The first response with status 200 serves the request,
// whichever run it is of. It is safe for concurrent use.
type RetryingClient struct {
	Nodes       []Client
	MaxAttempts int
	Pause       time.Duration // between attempts
}

// Send sends a request until it is served, MaxAttempts were made, or the timeout has passed.
func (c *RetryingClient) Send(r *Request, timeout time.Duration) Outcome {
	_, outcome := c.RoundTrip(r, timeout)
	return outcome
}

// RoundTrip sends a request as Send does and returns the last response.
func (c *RetryingClient) RoundTrip(r *Request, timeout time.Duration) (response Response, outcome Outcome) {
	deadline := time.Now().Add(timeout)
	for attempt := range c.MaxAttempts {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		retry := *r
		retry.ID += uint64(attempt) << 1
		node := c.Nodes[(int(r.ID>>33)+attempt)%len(c.Nodes)]
		response, outcome = node.RoundTrip(&retry, left)
		switch {
		case outcome == Served && response.Status == 200:
			return response, Served
		case outcome == Served && response.Status == 503:
			outcome = Rejected
		case outcome == Served, outcome == Failed:
			return response, Failed
		}
		time.Sleep(c.Pause)
	}
	return response, outcome
}

// Close closes the connections to all nodes.
func (c *RetryingClient) Close() {
	for _, node := range c.Nodes {
		node.Close()
	}
}
