package overload

import (
	"cmp"
	"time"
)

// patienceSmoothing is the weight of one given-up attempt in the clients' patience: ten settle it.
const patienceSmoothing = 0.1

// clientPatience estimates which share of the client timeout clients wait for an answer: those that retry give up an
// attempt long before the client timeout.
type clientPatience struct {
	lowerTier bool    // the clients are servers of the tier above
	share     float64 // 0 while unknown
}

func (p *clientPatience) known() bool { return p.share > 0 }

// of returns how long clients of a handler wait.
func (p *clientPatience) of(h *handler) time.Duration {
	return time.Duration(p.share * float64(h.clientTimeout))
}

// learn corrects the estimate by an attempt that was given up or answered. A tier above gives its calls up at any
// time, with the request that they are for, so that tells nothing.
func (p *clientPatience) learn(now time.Duration, r *request, gaveUp bool) {
	waited := (now - r.arrivedAt).Seconds() / r.handler.clientTimeout.Seconds()
	if gaveUp && !p.lowerTier || p.known() && waited > p.share {
		share := cmp.Or(p.share, waited)
		p.share = share + patienceSmoothing*(waited-share)
	}
}

// onClientGone follows a client that no longer waits.
func (c *Controller) onClientGone(now time.Duration, r *request, outcome Outcome) {
	r.clientGone = true
	if r.answer == noAnswer && r.handler.replayable() && outcome != ConnectionLost {
		c.patience.learn(now, r, true)
	}
	switch {
	case r.state == stateQueued, r.state == stateCoalesced:
		c.end(now, r)
	case r.handler.idempotency == Deduplicated: // runs on: its repeats are answered from it
	default:
		r.abandoned = true
		c.requests.markDirty(r)
	}
}
