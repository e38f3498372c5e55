package fake

import "time"

// RetryingClient sends a request to several nodes in turn, with a new request ID for each attempt, like an edge node that is configured
// with several nodes. It tries the next node after a rejection, a refused connection or the end of a connection. The first response with
// status 200 serves the request, whichever attempt it belongs to. It is safe for concurrent use.
type RetryingClient struct {
	Nodes       []Client
	MaxAttempts int
	Pause       time.Duration // between attempts
}

// Send implements Client. It retries the request until it is served or has failed, MaxAttempts is reached, or the timeout has expired.
func (c *RetryingClient) Send(r *Request, timeout time.Duration) Outcome {
	_, outcome := c.RoundTrip(r, timeout)
	return outcome
}

// RoundTrip implements Client. It retries like Send and returns the last response and its outcome.
func (c *RetryingClient) RoundTrip(r *Request, timeout time.Duration) (response Response, outcome Outcome) {
	deadline := time.Now().Add(timeout)
	for attempt := range c.MaxAttempts {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			break
		}
		attemptRequest := *r
		attemptRequest.ID += uint64(attempt) << 1
		node := c.Nodes[(int(r.ID>>33)+attempt)%len(c.Nodes)]
		response, outcome = node.RoundTrip(&attemptRequest, remaining)
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
