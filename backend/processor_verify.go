package backend

import (
	"math"
	"time"
)

// verifyTimeout is how long the processor's answer whether it knows a request is waited for: far past any pause of it.
const verifyTimeout = 500 * time.Millisecond

// verify asks whether the processor knows r, and reports whether there is anybody to ask. It is called for the first
// request of a client connection, and for each that would be answered from the cache, since the processor is not asked
// to run that one. An interrupt finds no run and does nothing, but is rejected where no such request came to this
// machine. This keeps clients that are no edge nodes from distorting what the overload controller measures. It costs
// the first request of a connection one round trip to the processor.
func (l *processorLink) verify(r *request) bool {
	if !l.ready() || !l.backend.canCancel {
		return false // nobody to ask, or all interrupts are rejected
	}
	l.sendInterrupt(r)
	r.verifyTag = l.lastTag + 1 // of the query that askUnverified sends at the end of the turn
	l.unverified = append(l.unverified, r)
	return true
}

// queryUnverified sends the query whose answer ends the wait of the requests that became unverified in this turn.
func (l *processorLink) queryUnverified() {
	if n := len(l.unverified); n > 0 && l.unverified[n-1].verifyTag > l.lastTag {
		l.requestGauges()
	}
}

// expireUnverified ends the wait where the processor doesn't answer: the overload controller decides, and knows when an
// answer is due.
func (l *processorLink) expireUnverified() {
	if len(l.unverified) == 0 {
		return
	}
	deadline := l.unverified[0].readAt + verifyTimeout
	if l.backend.now >= deadline {
		l.admitAllUnverified()
	} else {
		l.backend.wakeBy(deadline)
	}
}

// admitUnverified takes the unverified requests up to a query's tag as known: they were not rejected before that query was
// answered.
func (l *processorLink) admitUnverified(tag uint64) {
	for len(l.unverified) > 0 && l.unverified[0].verifyTag <= tag {
		r := l.unverified[0]
		l.unverified = l.unverified[1:]
		if r.state == stateUnverified && l.backend.requests[r.id] == r {
			r.verified = tag < math.MaxUint64
			r.client.verified = r.client.verified || r.verified
			l.backend.admit(r)
		}
	}
}

// admitAllUnverified admits all unverified requests without a proof: nobody can tell, or there is no time to wait for it.
func (l *processorLink) admitAllUnverified() { l.admitUnverified(math.MaxUint64) }
