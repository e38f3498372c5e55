package backend

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/internal/conn"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// statusText is the word for a status.
var statusText = map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
	500: "Internal Server Error", 503: "Service Unavailable"}

// edge is one connection of an edge node.
type edge struct {
	c      *conn.Conn
	number int // of the connections taken, for log lines
	p      protocol
	open   map[uint16]*req
	checks map[uint16]check
	since  time.Duration // when it was accepted
	used   time.Duration // when it last carried a whole req or an answer
	bad    int           // bad reqs since the last one that was run
	sent   bool          // it has sent a whole req
	known  bool          // one of its reqs was known to the processor
	rested bool          // it keeps no memory
	broken bool          // its stream is broken: nothing more is read of it, it ends once what is open is answered
	parts  int           // its bytes among the door's
	out    []answer      // final answers that are not yet handed to the system, in order
}

// answer is a final answer on its way.
type answer struct {
	mark   int // bytes of the connection that have left when its last one has
	ticket accounting.Ticket
	id     uint64
}

// idle tells whether nothing is open and nothing waits to be sent.
func (e *edge) idle() bool { return e.p.open() == 0 && e.c.Unsent() == 0 }

// busy tells whether it waits for an answer.
func (e *edge) busy() bool { return len(e.open)+len(e.checks) > 0 }

// standing is what its end has to wait for; what is unread the connection itself looks at last.
func (e *edge) standing() lifecycle.Connection {
	return lifecycle.Connection{OpenRequests: len(e.open) + len(e.checks), HalfRead: e.p.open() > len(e.open)+len(e.checks) || e.p.mid(),
		Broken: e.broken}
}

// room is how many connections there may be in all when one more is accepted: calls always find theirs.
func (f *door) room() int { return f.b.cfg.Limits.Sockets - spare - f.b.tier.room() }

// accept takes a connection of those that speak a protocol.
func (f *door) accept(speaks func(e *edge) protocol) func(c *conn.Conn) {
	return func(c *conn.Conn) { f.take(c, speaks) }
}

func (f *door) take(c *conn.Conn, speaks func(e *edge) protocol) {
	b := f.b
	f.conns++
	e := &edge{c: c, number: f.conns, open: map[uint16]*req{}, since: b.now, used: b.now}
	e.p = speaks(e)
	f.edges[e] = struct{}{}
	b.count.Conns++
	c.MaxUnsent = outMost
	c.OnSent = func() { f.left(e) }
	c.ResponsePending = func() bool { return lifecycle.End(e.standing()) != lifecycle.Allowed }
	c.OnData = func(p []byte) error {
		if e.broken {
			return nil
		}
		e.rested = false
		if err := e.p.feed(p); err != nil {
			f.cut(e, err)
		}
		f.weigh(e)
		if float64(f.parts) > b.share(partShare) {
			f.cutWorst()
		}
		return nil
	}
	c.OnClosed = func(err error) {
		delete(f.edges, e)
		f.tellEnd(e, err)
		e.p.drop()
		f.weigh(e)
		b.count.ConnsClosed++
		for _, slot := range slices.Sorted(maps.Keys(e.open)) { // the same bytes lead to the same decisions
			r := e.open[slot]
			if r.at != unverified {
				f.unanswered(r.id, err)
			}
			if e.c.SendClosed() && !e.broken {
				b.violated("end a connection", r, lifecycle.RequestOpen)
			}
			b.gone(r, overload.BrokenOff)
		}
		for _, a := range e.out {
			f.unanswered(a.id, err)
			b.book.Close(b.wall, a.ticket, accounting.Undelivered)
		}
		e.out = nil
	}
	if len(f.edges) > f.most() {
		f.evict()
	}
}

// tellEnd logs how a connection ended where that may be asked for later: while the process ends, and where something was left.
func (f *door) tellEnd(e *edge, why error) {
	dropped, half := e.c.Discarded(), e.p.open()-len(e.open)-len(e.checks)
	if f.b.process.Phase() == lifecycle.Serving && dropped == 0 && !e.busy() && len(e.out) == 0 {
		return
	}
	f.b.log.Info("connection ended", "conn", e.number, "why", why, "phase", f.b.process.Phase(), "open", len(e.open), "half_read", half,
		"unsent_answers", len(e.out), "dropped_bytes", dropped)
}

// weigh takes over what a connection holds of reqs that are not whole.
func (f *door) weigh(e *edge) {
	held := e.p.held()
	f.parts += held - e.parts
	e.parts = held
}

// unanswered tells of a req that leaves without its answer.
func (f *door) unanswered(id uint64, why error) {
	f.b.count.Unanswered++
	f.b.log.Warn("req without its answer", "id", fmt.Sprintf("%016x", id), "why", why)
}

// left closes the accounts of the answers whose last byte was handed to the system.
func (f *door) left(e *edge) {
	n := 0
	for n < len(e.out) && e.out[n].mark <= e.c.SentTotal() {
		f.b.book.Sent(f.b.wall, e.out[n].ticket)
		n++
	}
	e.out = slices.Delete(e.out, 0, n)
	if len(e.out) == 0 && cap(e.out) > openUsual {
		e.out = nil // a burst is over
	}
}

// owe has the account of a req follow the answer that was just written.
func (f *door) owe(e *edge, t accounting.Ticket, id uint64, why accounting.Reason) {
	if f.b.book.Answer(f.b.wall, t, why) {
		e.out = append(e.out, answer{e.c.QueuedTotal(), t, id})
	}
}

// cutWorst closes the connection that holds most of reqs that are not whole.
func (f *door) cutWorst() {
	var worst *edge
	for e := range f.edges {
		if worst == nil || e.p.held() > worst.p.held() {
			worst = e
		}
	}
	f.cut(worst, errParts)
}

// cut reads no more of one that does not keep to the protocol. What was read whole of it is still owed its answers;
// without any its connection is closed at once.
func (f *door) cut(e *edge, why error) {
	f.b.count.BadConns++
	f.b.note("bad connection", "from", "edge node", "why", why)
	if f.stopReading(e); !e.busy() && e.c.Unsent() == 0 {
		e.c.Abort(why)
		return
	}
	e.c.CloseGracefully(why) // once what is open is answered
}

// stopReading has nothing more be read of a connection.
func (f *door) stopReading(e *edge) {
	e.broken = true
	e.c.DiscardInput()
	e.p.drop()
	f.weigh(e)
}

// most is how many connections there may be before the longest idle ones go.
func (f *door) most() int { return int(crowdedAt * float64(f.room())) }

// tidy ends connections that are idle for too long, or the longest idle ones where places run short, and
// answers deep checks that got no word.
func (f *door) tidy() {
	b := f.b
	keepFor := min(idleMost, cmp.Or(b.keep, idleMost))
	for e := range f.edges {
		f.untried(e, b.now)
		switch slot, keep, late := e.p.late(b.now - wholeMost); {
		case e.broken:
		case !e.sent && b.now-e.since >= wholeMost:
			f.cut(e, errPart)
		case late: // its other reqs may be good
			f.bad(e, slot, keep, f.nameless(e), 0, accounting.Incomplete, errPart.Error())
			f.weigh(e)
		case !e.idle():
		case e.c.Closing() && b.now-e.used >= keepFor+wholeMost: // half a message keeps it from its end
			f.cut(e, errPart)
		case e.c.Closing():
		case b.now-e.used >= keepFor:
			b.count.ConnsTrimmed++
			e.c.CloseGracefully(errIdle)
		case !e.rested && b.now-e.used >= restIdle:
			e.rested = true
			e.c.ReleaseBuffers()
		}
	}
	f.evict()
}

// evict ends the longest idle connections where there are more than there should be. It acts as each connection comes
// and not at the next look: a flood of silent ones takes all places in less time, and an edge node would find none.
func (f *door) evict() {
	var idle []*edge
	over := -f.most()
	for e := range f.edges {
		if !e.c.Closing() {
			if over++; !e.broken && e.idle() {
				idle = append(idle, e)
			}
		}
	}
	if over <= 0 {
		return
	}
	slices.SortFunc(idle, func(x, y *edge) int { return cmp.Compare(x.used, y.used) })
	for _, e := range idle[:min(len(idle), over)] {
		f.b.count.ConnsTrimmed++
		if !e.sent && e.p.mid() { // half a message of who never sent a whole one would keep the place for seconds
			f.stopReading(e)
		}
		e.c.CloseGracefully(errCrowded)
	}
}

// rest has all connections end, each as soon as nothing is owed on it; with all, what is half read is refused, and what only holds part
// of a message is no longer waited for.
func (f *door) rest(all bool) {
	for e := range f.edges {
		if all {
			f.refuseParts(e)
			if !e.busy() && e.p.mid() {
				f.stopReading(e)
			}
		}
		e.c.CloseGracefully(errLeaving)
	}
}

// refuseParts refuses all reqs of a connection that are half read.
func (f *door) refuseParts(e *edge) {
	for slot, keep, any := e.p.late(f.b.now); any; slot, keep, any = e.p.late(f.b.now) {
		f.refusePart(e, slot, keep)
	}
}
