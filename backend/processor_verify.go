package backend

import (
	"math"
	"time"
)

// verifyTimeout limits the wait for the verification of a request. It is far longer than any pause of the processor.
const verifyTimeout = 500 * time.Millisecond

// verify sends a query whose answer shows whether the processor recognizes r, and reports whether the query could be
// sent. It is called for the first request of a client connection, and for each request that would be answered from the
// cache and therefore never reaches the processor. The query is an interrupt: it has no effect since no such run exists,
// but the processor rejects it if no such request came to this machine. Verification keeps clients that are no edge nodes
// from distorting the measurements of the overload controller. It costs the first request of a connection one round trip
// to the processor.
func (l *processorLink) verify(r *request) bool {
	if !l.ready() || !l.backend.canCancel {
		return false // the link is not ready, or the processor rejects all interrupts
	}
	l.sendInterrupt(r)
	r.verifyTag = l.lastTag + 1 // tag of the query that queryUnverified sends at the end of the turn
	l.unverified = append(l.unverified, r)
	return true
}

// queryUnverified sends the query whose answer admits the requests that became unverified in this turn.
func (l *processorLink) queryUnverified() {
	if n := len(l.unverified); n > 0 && l.unverified[n-1].verifyTag > l.lastTag {
		l.requestGauges()
	}
}

// expireUnverified admits the unverified requests if the processor doesn't answer in time. The overload controller then
// decides on them, and takes into account when their response is due.
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

// admitUnverified admits the unverified requests up to the tag of an answered query. The processor recognizes them, since
// it did not reject them before it answered the query.
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

// admitAllUnverified admits all unverified requests without a verification, because the processor can't be queried or
// there is no time to wait for its answer.
func (l *processorLink) admitAllUnverified() { l.admitUnverified(math.MaxUint64) }
