package overload

import (
	"cmp"
	"time"
)

// patienceSmoothing is the weight of one abandoned attempt in the estimate of the clients' patience. The estimate
// settles after about ten attempts.
const patienceSmoothing = 0.1

// clientPatience estimates the share of the client timeout for which clients wait for an answer. Clients that retry
// give up an attempt long before the client timeout.
type clientPatience struct {
	lowerTier    bool    // the clients are servers of the tier above
	timeoutShare float64 // 0 while unknown
}

func (p *clientPatience) estimated() bool { return p.timeoutShare > 0 }

// waitTime returns how long clients of a handler are estimated to wait.
func (p *clientPatience) waitTime(h *handler) time.Duration {
	return time.Duration(p.timeoutShare * float64(h.clientTimeout))
}

// recordAttempt updates the estimate with an attempt that was given up or answered. The tier above gives up its calls
// at any time, together with the request that they belong to, so a call given up in a lower tier is no evidence.
func (p *clientPatience) recordAttempt(now time.Duration, r *request, gaveUp bool) {
	waited := (now - r.arrivedAt).Seconds() / r.handler.clientTimeout.Seconds()
	if gaveUp && !p.lowerTier || p.estimated() && waited > p.timeoutShare {
		share := cmp.Or(p.timeoutShare, waited)
		p.timeoutShare = share + patienceSmoothing*(waited-share)
	}
}

// onClientGone ends a request without a run, and abandons any other unless repeats may be answered from it.
func (c *Controller) onClientGone(now time.Duration, r *request, outcome Outcome) {
	r.clientGone = true
	if r.answer == noAnswer && r.handler.replayable() && outcome != ConnectionLost {
		c.patience.recordAttempt(now, r, true)
	}
	switch {
	case r.state == stateQueued, r.state == stateCoalesced:
		c.endRequest(now, r)
	case r.handler.idempotency == Deduplicated: // continues to run: its repeats are answered from it
	default:
		r.abandoned = true
		c.requests.markDirty(r)
	}
}
