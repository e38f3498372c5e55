package backend

import (
	"strconv"
	"time"

	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// place is where a req is.
type place uint8

const (
	unverified place = iota // the processor is asked whether it knows it; the module has not heard of it
	held
	joined  // waits for the result of another
	noting  // guarded, to be begun: waits until that is on the disk, or for another with its key
	writing // guarded, and ended: waits until its result is
	running // begun, or to be begun once the link stands
	asking  // its run waits for a call that is not made
	calling // and for one that is
)

// req is one req from reading to the end of its run.
type req struct {
	id    uint64
	name  string // the id as it came
	h     int
	route string // of the worker that its calls stick to; empty: any
	body  []byte
	at    place

	ticket accounting.Ticket
	edge   *edge // who waits for the answer; nil once it is given or nobody does
	slot   uint16
	keep   bool

	sent, seen bool          // begin is written; something of the run was heard
	mark       uint64        // the last question for gauges before the last command: one answered later proves it arrived
	stop       bool          // the run is to end
	probeAt    time.Duration // after an interrupt: nothing heard until then may prove that it never ran
	probe      uint64        // the question for gauges, asked after that, whose answer does; 0 before
	ask        []byte        // what the run asks of the next tier
	reply      []byte        // the reply, until more is heard of the run
	replied    bool
	call       *call
	unserved   bool // its last call failed
	callDoubt  bool // and may have had its effect

	ev      overload.Event // unverified: its arrival
	since   time.Duration  // when it was read whole
	came    time.Duration  // when it came to the machine
	proved  bool           // the processor knows it
	unknown uint64         // the question for gauges whose answer proves that it is known if it is not rejected

	guard   *guarded // nil where it may run twice
	taken   bool     // over from another box: nobody waits for it on a connection
	settled bool     // taken over, and its account is closed

	waits time.Duration // how long its caller waits from when it came, as told; 0 not told
	of    subject
	fore  uint64 // the remembered req that it repeats
	joins []*req // those that wait for its result
}

func (b *Backend) owes(r *req) bool { return r.edge != nil }

// wanted tells whether anybody waits for a req, here or elsewhere.
func (b *Backend) wanted(r *req) bool { return b.owes(r) || r.taken }

// act carries out one action of the module.
func (b *Backend) act(a *overload.Action) {
	switch a.Kind {
	case overload.Health:
		b.good, b.cheap = a.Healthy, a.Shallow
		return
	case overload.Signal:
		b.signal = strconv.AppendFloat(b.signal[:0], a.Value, 'f', 4, 64)
		return
	case overload.Wake:
		b.wake = a.At
		b.at(a.At)
		return
	case overload.CloseIdle:
		b.keep = a.Duration
		return
	case overload.Forget: // also of a req that has ended
		if e := b.keys.byID[a.ID]; e != nil && !e.once { // what must run once goes as it never ran: by its end
			b.keys.drop(e)
		}
		return
	}
	r := b.reqs[a.ID]
	if r == nil {
		return // it ended in the same batch
	}
	switch a.Kind {
	case overload.Start:
		if !invariant.Check(r.at == held && b.wanted(r), "what is run is held") {
			return
		}
		if v := b.process.Start(r.since); v != lifecycle.Allowed && !r.taken {
			b.violated("start", r, v)
			b.ended(r, overload.NeverRan, accounting.NotReady, 0, nil)
			return
		}
		if r.guard != nil {
			b.keeper.note(r)
			return
		}
		b.begin(r)
	case overload.Cancel:
		switch {
		case r.at >= running:
			b.count.Stopped++
			b.link.interrupt(r)
		case r.at == noting:
			b.ended(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		}
	case overload.Reject:
		if r.taken {
			b.cluster.settled(r, accounting.Shed)
			b.unowed(r)
			return
		}
		if b.process.Phase() > lifecycle.Serving && b.cluster.handsOver(r) {
			return
		}
		if invariant.Check(r.at == held, "what is shed never ran") {
			b.door.shed(r, a.RetryAfter, a.NoRetry)
		} else {
			b.door.errored(r, accounting.Cancelled)
		}
		b.answered(r)
	case overload.Fail:
		if b.owes(r) {
			why := accounting.Cancelled
			if r.at == asking && r.unserved {
				why = accounting.CallFailed
			}
			b.door.errored(r, why)
			b.answered(r)
		} else if r.taken && r.at < noting {
			b.cluster.settled(r, accounting.Cancelled)
			b.unowed(r)
		} else if r.at >= asking {
			b.endRun(r) // nobody waits, but the run does
		}
	case overload.Remember:
		b.keys.remember(r, a.Duration)
	case overload.Coalesce:
		switch {
		case !invariant.Check(r.at == held && b.wanted(r) && r.fore != 0, "what joins is a held repeat"):
		case r.guard != nil && !r.guard.replay:
			b.keeper.join(r)
		default:
			b.keys.join(r)
		}
	case overload.Call:
		if r.at == asking {
			b.call(r, a.Duration)
		}
	default:
		invariant.Check(false, "an action that this protocol has no message for")
	}
}

// arrived hands a req to the module.
func (b *Backend) arrived(r *req) {
	r.at = held
	r.ev.Delay += b.now - r.since
	if r.guard != nil {
		r.guard.asked = b.now
		if !b.keeper.admit(r) {
			return
		}
	} else {
		switch why := b.keys.meet(r); why {
		case accounting.None:
		case accounting.UnknownRequest:
			b.door.unknown(r)
			return
		default:
			b.door.declined(r, why)
			b.answered(r)
			return
		}
	}
	b.submit(r)
}

// submit has the module hear of a req.
func (b *Backend) submit(r *req) {
	if r.waits > 0 {
		r.ev.Remaining = max(time.Millisecond, r.waits-r.ev.Delay)
	}
	b.events = append(b.events, r.ev)
}

// begin has the processor run a req.
func (b *Backend) begin(r *req) {
	r.at = running
	b.count.Begun++
	b.link.begin(r)
}

// answered follows the final answer of a req.
func (b *Backend) answered(r *req) {
	b.owed--
	r.edge = nil
	b.unowed(r)
}

// gone follows the edge node's word that it no longer waits, or (BrokenOff) the end of its connection.
func (b *Backend) gone(r *req, how overload.Outcome) {
	b.owed--
	why := accounting.Aborted
	if how == overload.BrokenOff {
		why = accounting.ConnectionLost
	}
	b.book.Close(b.wall, r.ticket, why)
	r.edge = nil
	if r.at != unverified && r.at != writing {
		b.events = append(b.events, overload.Event{Kind: overload.ClientGone, ID: r.id, Outcome: how})
	}
	b.unowed(r)
}

// unowed lets go of a req that never ran, and ends a run that stands at a call: as the simulator does.
func (b *Backend) unowed(r *req) {
	switch r.at {
	case unverified, held, joined:
		delete(b.reqs, r.id)
		b.keeper.leave(r)
		b.keys.ended(r, overload.Failed, false, nil)
	case asking, calling:
		b.endRun(r)
	}
}

func (b *Backend) endRun(r *req) {
	b.tier.cancel(r)
	b.link.interrupt(r)
}

// ended follows the end of a run, why says how it is accounted for; body is the result.
func (b *Backend) ended(r *req, how overload.Outcome, why accounting.Reason, took time.Duration, body []byte) {
	if r.at >= running {
		b.count.Ended++
	}
	waits := r.guard != nil && b.keeper.writes(r, how, why, body) // until its result is on the disk
	b.tier.cancel(r)
	if r.probeAt > 0 {
		b.link.probes--
		r.probe, r.probeAt = 0, 0
	}
	b.events = append(b.events, overload.Event{Kind: overload.Ended, ID: r.id, Outcome: how, Took: took})
	if waits {
		return
	}
	if b.owes(r) {
		if how == overload.OK {
			b.door.done(r, why, body)
		} else {
			b.door.declined(r, why)
		}
		b.owed--
		r.edge = nil
	}
	b.cluster.settled(r, why)
	delete(b.reqs, r.id)
	b.keys.ended(r, how, r.sent && why != accounting.NeverRan, body)
}

// reasonOf says how the end of a run is accounted for.
func reasonOf(how overload.Outcome) accounting.Reason {
	switch how {
	case overload.OK:
		return accounting.Completed
	case overload.Stopped:
		return accounting.RunStopped
	case overload.NeverRan:
		return accounting.NeverRan
	}
	return accounting.RunFailed
}
