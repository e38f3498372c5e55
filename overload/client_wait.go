package overload

import (
	"cmp"
	"time"
)

// clientWaitSmoothing is the weight of one attempt in the estimate of how long clients wait. The estimate settles
// after about ten attempts.
const clientWaitSmoothing = 0.1

// clientWaitEstimate is the estimate of how long clients wait for an answer before they give up an attempt. Clients
// that retry give up an attempt long before the client timeout.
type clientWaitEstimate struct {
	lowerTier    bool    // the clients are servers of the tier above
	timeoutShare float64 // estimated wait as a share of the client timeout, 0 while unknown
}

func (w *clientWaitEstimate) estimated() bool { return w.timeoutShare > 0 }

// waitTime returns the estimated time that the clients of a handler wait before they give up an attempt.
func (w *clientWaitEstimate) waitTime(h *handler) time.Duration {
	return time.Duration(w.timeoutShare * float64(h.clientTimeout))
}

// recordAttempt updates the estimate with an attempt that the client gave up, or that was answered after a longer wait
// than estimated. In a lower tier, attempts that were given up don't count: the tier above gives up a call together
// with the request that it belongs to, however long the call has waited.
func (w *clientWaitEstimate) recordAttempt(now time.Duration, r *request, gaveUp bool) {
	waited := (now - r.arrivedAt).Seconds() / r.handler.clientTimeout.Seconds()
	if gaveUp && !w.lowerTier || w.estimated() && waited > w.timeoutShare {
		share := cmp.Or(w.timeoutShare, waited)
		w.timeoutShare = share + clientWaitSmoothing*(waited-share)
	}
}

// onClientGone ends a request that has no run. It has the run of any other request stopped, unless repeats may be
// answered with its result.
func (c *Controller) onClientGone(now time.Duration, r *request, outcome Outcome) {
	r.clientGone = true
	if r.answer == noAnswer && r.handler.replayable() && outcome != ConnectionLost {
		c.clientWait.recordAttempt(now, r, true)
	}
	switch {
	case r.state == stateQueued, r.state == stateCoalesced:
		c.endRequest(now, r)
	case r.handler.idempotency == Deduplicated: // continues to run, because its repeats are answered with its result
	default:
		r.stopWanted = true
		c.requests.markDirty(r)
	}
}
