package backend

import (
	"slices"
	"strings"
	"time"

	"frosthub/accounting"
	"frosthub/lifecycle"
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
func (f *door) check(e *edge, slot uint16, keep bool, query string) {
	b := f.b
	b.count.Checks++
	deep := slices.Contains(strings.Split(query, "&"), "deep=1")
	if !deep || b.cheap || !b.good {
		f.health(e, slot, keep, b.good)
		return
	}
	if e.checks == nil {
		e.checks = map[uint16]check{}
	}
	e.checks[slot] = check{tag: b.link.trial(), till: b.now + trialWait, keep: keep}
}

// tried follows the end of a deep check's work.
func (f *door) tried(tag uint64, good bool) {
	for e := range f.edges {
		for slot, k := range e.checks {
			if k.tag == tag {
				delete(e.checks, slot)
				f.health(e, slot, k.keep, good)
			}
		}
	}
}

func (f *door) health(e *edge, slot uint16, keep, good bool) {
	status := 503
	if good {
		status = 200
	}
	f.answer(e, slot, keep, &reply{status: status})
}

func (f *door) done(r *req, why accounting.Reason, result []byte) {
	r.edge.bad = 0
	f.final(r, why, &reply{status: 200, body: result})
}

func (f *door) errored(r *req, why accounting.Reason) { f.final(r, why, &reply{status: 500}) }

// declined answers a req without a result, as the reason has it: refused, where the module has not, or no longer, to decide, or errored.
func (f *door) declined(r *req, why accounting.Reason) {
	if why.Category() == accounting.Rejected {
		f.final(r, why, &reply{status: 503, after: f.b.awayFor})
	} else {
		f.errored(r, why)
	}
}

func (f *door) shed(r *req, after time.Duration, dontRetry bool) {
	f.final(r, accounting.Shed, &reply{status: 503, after: after, dontRetry: dontRetry})
}

func (f *door) refused(r *req) { f.final(r, accounting.NotReady, f.refusal()) }

// refusal is that of a req that the overload controller does not hear of. A process that ends tells how long to stay away from its address.
func (f *door) refusal() *reply {
	a := &reply{status: 503}
	if f.b.process.Accept() != lifecycle.Allowed {
		a.after = f.b.awayFor
	}
	return a
}

func (f *door) final(r *req, why accounting.Reason, a *reply) {
	if v := lifecycle.Answer(r.edge != nil && r.edge.open[r.slot] != r, r.edge != nil); v != lifecycle.Allowed {
		f.b.violated("answer", r, v)
		return
	}
	delete(r.edge.open, r.slot)
	f.answer(r.edge, r.slot, r.keep, a)
	f.owe(r.edge, r.ticket, r.id, why)
}

// answer writes a whole answer; the free value rides on each.
func (f *door) answer(e *edge, slot uint16, keep bool, a *reply) {
	a.signal = f.b.signal
	f.b.scratch = e.p.answer(f.b.scratch[:0], slot, keep, a)
	f.write(e, keep)
}

// write sends what is in the scratch, and ends a connection that is not to stay once nothing is open there.
func (f *door) write(e *edge, keep bool) {
	e.used = f.b.now
	e.c.Write(f.b.scratch)
	if !keep || e.broken {
		e.c.CloseGracefully(errLast)
	}
}

// untried answers the deep checks of a connection that got no word by then.
func (f *door) untried(e *edge, by time.Duration) {
	for slot, k := range e.checks {
		if by >= k.till {
			delete(e.checks, slot)
			f.health(e, slot, k.keep, false)
		}
	}
}
