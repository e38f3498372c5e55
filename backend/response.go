package backend

import (
	"frosthub/accounting"
	"frosthub/lifecycle"
	"slices"
	"strings"
	"time"
)

// reply is an answer as all protocols give it.
type reply struct {
	status    int
	signal    []byte        // the free value as it is written; empty before the first
	after     time.Duration // a refusal's: when to come back; 0 nothing is said
	dontRetry bool          // a refusal's: not elsewhere either
	body      []byte
}

// check is a deep health check that waits for the processor.
type check struct {
	tag  uint64
	till time.Duration
	keep bool
}

// check answers a health check: a shallow one and one the module calls cheap from what the module said last.
func (f *frontend) check(e *clientConn, slot uint16, keep bool, query string) {
	b := f.backend
	b.stats.Checks++
	deep := slices.Contains(strings.Split(query, "&"), "deep=1")
	if !deep || b.shallowChecks || !b.healthy {
		f.health(e, slot, keep, b.healthy)
		return
	}
	if e.checks == nil {
		e.checks = map[uint16]check{}
	}
	e.checks[slot] = check{tag: b.processor.startCheck(), till: b.now + trialWait, keep: keep}
}

// checkDone follows the end of a deep check's work.
func (f *frontend) checkDone(tag uint64, good bool) {
	for e := range f.clients {
		for slot, k := range e.checks {
			if k.tag == tag {
				delete(e.checks, slot)
				f.health(e, slot, k.keep, good)
			}
		}
	}
}

func (f *frontend) health(e *clientConn, slot uint16, keep, good bool) {
	status := 503
	if good {
		status = 200
	}
	f.answer(e, slot, keep, &reply{status: status})
}

func (f *frontend) succeeded(r *request, why accounting.Reason, result []byte) {
	r.client.badRequests = 0
	f.sendFinal(r, why, &reply{status: 200, body: result})
}

func (f *frontend) failed(r *request, why accounting.Reason) {
	f.sendFinal(r, why, &reply{status: 500})
}

// declined answers a req without a result, as the reason has it: refused, where the module has not, or no longer, to decide, or errored.
func (f *frontend) declined(r *request, why accounting.Reason) {
	if why.Category() == accounting.Rejected {
		f.sendFinal(r, why, &reply{status: 503, after: f.backend.drainRetryAfter})
	} else {
		f.failed(r, why)
	}
}

func (f *frontend) shed(r *request, after time.Duration, dontRetry bool) {
	f.sendFinal(r, accounting.Shed, &reply{status: 503, after: after, dontRetry: dontRetry})
}

func (f *frontend) rejectNotReady(r *request) { f.sendFinal(r, accounting.NotReady, f.rejection()) }

// rejection is that of a req that the overload controller does not hear of. A process that ends tells how long to stay away from its address.
func (f *frontend) rejection() *reply {
	a := &reply{status: 503}
	if f.backend.process.Accept() != lifecycle.Allowed {
		a.after = f.backend.drainRetryAfter
	}
	return a
}

func (f *frontend) sendFinal(r *request, why accounting.Reason, a *reply) {
	if v := lifecycle.Answer(r.client != nil && r.client.requests[r.slot] != r, r.client != nil); v != lifecycle.Allowed {
		f.backend.recordViolation("answer", r, v)
		return
	}
	delete(r.client.requests, r.slot)
	f.answer(r.client, r.slot, r.keepOpen, a)
	f.trackDelivery(r.client, r.ticket, r.id, why)
}

// answer writes a whole answer; the free value rides on each.
func (f *frontend) answer(e *clientConn, slot uint16, keep bool, a *reply) {
	a.signal = f.backend.signal
	f.backend.scratch = e.protocol.answer(f.backend.scratch[:0], slot, keep, a)
	f.write(e, keep)
}

// write sends what is in the scratch, and ends a connection that is not to stay once nothing is open there.
func (f *frontend) write(e *clientConn, keep bool) {
	e.lastUsed = f.backend.now
	e.conn.Write(f.backend.scratch)
	if !keep || e.broken {
		e.conn.CloseGracefully(errLast)
	}
}

// expireChecks answers the deep checks of a connection that got no word by then.
func (f *frontend) expireChecks(e *clientConn, by time.Duration) {
	for slot, k := range e.checks {
		if by >= k.till {
			delete(e.checks, slot)
			f.health(e, slot, k.keep, false)
		}
	}
}
