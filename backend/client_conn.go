package backend

import (
	"cmp"
	"fmt"
	"frosthub/accounting"
	"frosthub/internal/conn"
	"frosthub/lifecycle"
	"frosthub/overload"
	"maps"
	"slices"
	"time"
)

// statusText is the word for a status.
var statusText = map[int]string{
	200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
	500: "Internal Server Error", 503: "Service Unavailable",
}

// clientConn is one connection of an edge node.
type clientConn struct {
	conn            *conn.Conn
	number          int // of the connections taken, for log lines
	protocol        protocol
	requests        map[uint16]*request
	checks          map[uint16]check
	acceptedAt      time.Duration // when it was accepted
	lastUsed        time.Duration // when it last carried a whole req or an answer
	badRequests     int           // bad reqs since the last one that was run
	hasSentRequest  bool          // it has sent a whole req
	verified        bool          // one of its reqs was known to the processor
	buffersReleased bool          // it keeps no memory
	broken          bool          // its stream is broken: nothing more is read of it, it ends once what is open is answered
	partialBytes    int           // its bytes among the door's
	undelivered     []answer      // final answers that are not yet handed to the system, in order
}

// answer is a final answer on its way.
type answer struct {
	mark   int // bytes of the connection that have left when its last one has
	ticket accounting.Ticket
	id     uint64
}

// idle tells whether nothing is open and nothing waits to be sent.
func (e *clientConn) idle() bool { return e.protocol.openSlots() == 0 && e.conn.Unsent() == 0 }

// busy tells whether it waits for an answer.
func (e *clientConn) busy() bool { return len(e.requests)+len(e.checks) > 0 }

// lifecycleState is what its end has to wait for; what is unread the connection itself looks at last.
func (e *clientConn) lifecycleState() lifecycle.Connection {
	return lifecycle.Connection{
		OpenRequests: len(e.requests) + len(e.checks), HalfRead: e.protocol.openSlots() > len(e.requests)+len(e.checks) || e.protocol.midMessage(),
		Broken: e.broken,
	}
}

// reservedConns is how many connections there may be in all when one more is accepted: calls always find theirs.
func (f *frontend) connectionLimit() int {
	return f.backend.cfg.Limits.Sockets - spare - f.backend.upstream.reservedConns()
}

// accept takes a connection of those that speak a protocol.
func (f *frontend) accept(speaks func(e *clientConn) protocol) func(c *conn.Conn) {
	return func(c *conn.Conn) { f.addConnection(c, speaks) }
}

func (f *frontend) addConnection(c *conn.Conn, speaks func(e *clientConn) protocol) {
	b := f.backend
	f.accepted++
	e := &clientConn{conn: c, number: f.accepted, requests: map[uint16]*request{}, acceptedAt: b.now, lastUsed: b.now}
	e.protocol = speaks(e)
	f.clients[e] = struct{}{}
	b.stats.Conns++
	c.MaxUnsent = outMost
	c.OnSent = func() { f.confirmDelivered(e) }
	c.ResponsePending = func() bool { return lifecycle.End(e.lifecycleState()) != lifecycle.Allowed }
	c.OnData = func(p []byte) error {
		if e.broken {
			return nil
		}
		e.buffersReleased = false
		if err := e.protocol.feed(p); err != nil {
			f.cut(e, err)
		}
		f.updatePartialBytes(e)
		if float64(f.partialBytes) > b.memoryShare(partShare) {
			f.cutLargestPartial()
		}
		return nil
	}
	c.OnClosed = func(err error) {
		delete(f.clients, e)
		f.logConnectionEnd(e, err)
		e.protocol.discardPartial()
		f.updatePartialBytes(e)
		b.stats.ConnsClosed++
		for _, slot := range slices.Sorted(maps.Keys(e.requests)) { // the same bytes lead to the same decisions
			r := e.requests[slot]
			if r.state != stateUnverified {
				f.unanswered(r.id, err)
			}
			if e.conn.SendClosed() && !e.broken {
				b.recordViolation("end a connection", r, lifecycle.RequestOpen)
			}
			b.clientGone(r, overload.BrokenOff)
		}
		for _, a := range e.undelivered {
			f.unanswered(a.id, err)
			b.ledger.Close(b.wall, a.ticket, accounting.Undelivered)
		}
		e.undelivered = nil
	}
	if len(f.clients) > f.evictionThreshold() {
		f.evict()
	}
}

// logConnectionEnd logs how a connection ended where that may be asked for later: while the process ends, and where something was left.
func (f *frontend) logConnectionEnd(e *clientConn, why error) {
	dropped, half := e.conn.Discarded(), e.protocol.openSlots()-len(e.requests)-len(e.checks)
	if f.backend.process.Phase() == lifecycle.Serving && dropped == 0 && !e.busy() && len(e.undelivered) == 0 {
		return
	}
	f.backend.log.Info("connection ended", "conn", e.number, "why", why, "phase", f.backend.process.Phase(), "open", len(e.requests), "half_read", half,
		"unsent_answers", len(e.undelivered), "dropped_bytes", dropped)
}

// updatePartialBytes takes over what a connection holds of reqs that are not whole.
func (f *frontend) updatePartialBytes(e *clientConn) {
	held := e.protocol.partialBytes()
	f.partialBytes += held - e.partialBytes
	e.partialBytes = held
}

// unanswered tells of a req that leaves without its answer.
func (f *frontend) unanswered(id uint64, why error) {
	f.backend.stats.Unanswered++
	f.backend.log.Warn("req without its answer", "id", fmt.Sprintf("%016x", id), "why", why)
}

// confirmDelivered closes the accounts of the answers whose last byte was handed to the system.
func (f *frontend) confirmDelivered(e *clientConn) {
	n := 0
	for n < len(e.undelivered) && e.undelivered[n].mark <= e.conn.SentTotal() {
		f.backend.ledger.Sent(f.backend.wall, e.undelivered[n].ticket)
		n++
	}
	e.undelivered = slices.Delete(e.undelivered, 0, n)
	if len(e.undelivered) == 0 && cap(e.undelivered) > openUsual {
		e.undelivered = nil // a burst is over
	}
}

// trackDelivery has the account of a req follow the answer that was just written.
func (f *frontend) trackDelivery(e *clientConn, t accounting.Ticket, id uint64, why accounting.Reason) {
	if f.backend.ledger.Answer(f.backend.wall, t, why) {
		e.undelivered = append(e.undelivered, answer{e.conn.QueuedTotal(), t, id})
	}
}

// cutLargestPartial closes the connection that holds most of reqs that are not whole.
func (f *frontend) cutLargestPartial() {
	var worst *clientConn
	for e := range f.clients {
		if worst == nil || e.protocol.partialBytes() > worst.protocol.partialBytes() {
			worst = e
		}
	}
	f.cut(worst, errParts)
}

// cut reads no more of one that does not keep to the protocol. What was read whole of it is still owed its answers;
// without any its connection is closed at once.
func (f *frontend) cut(e *clientConn, why error) {
	f.backend.stats.BadConns++
	f.backend.logLimited("bad connection", "from", "edge node", "why", why)
	if f.stopReading(e); !e.busy() && e.conn.Unsent() == 0 {
		e.conn.Abort(why)
		return
	}
	e.conn.CloseGracefully(why) // once what is open is answered
}

// stopReading has nothing more be read of a connection.
func (f *frontend) stopReading(e *clientConn) {
	e.broken = true
	e.conn.DiscardInput()
	e.protocol.discardPartial()
	f.updatePartialBytes(e)
}

// evictionThreshold is how many connections there may be before the longest idle ones go.
func (f *frontend) evictionThreshold() int { return int(crowdedAt * float64(f.connectionLimit())) }

// sweep ends connections that are idle for too long, or the longest idle ones where places run short, and
// answers deep checks that got no word.
func (f *frontend) sweep() {
	b := f.backend
	keepFor := min(idleMost, cmp.Or(b.idleTimeout, idleMost))
	for e := range f.clients {
		f.expireChecks(e, b.now)
		switch slot, keep, late := e.protocol.overdue(b.now - wholeMost); {
		case e.broken:
		case !e.hasSentRequest && b.now-e.acceptedAt >= wholeMost:
			f.cut(e, errPart)
		case late: // its other reqs may be good
			f.rejectMalformed(e, slot, keep, f.nameless(e), 0, accounting.Incomplete, errPart.Error())
			f.updatePartialBytes(e)
		case !e.idle():
		case e.conn.Closing() && b.now-e.lastUsed >= keepFor+wholeMost: // half a message keeps it from its end
			f.cut(e, errPart)
		case e.conn.Closing():
		case b.now-e.lastUsed >= keepFor:
			b.stats.ConnsTrimmed++
			e.conn.CloseGracefully(errIdle)
		case !e.buffersReleased && b.now-e.lastUsed >= restIdle:
			e.buffersReleased = true
			e.conn.ReleaseBuffers()
		}
	}
	f.evict()
}

// evict ends the longest idle connections where there are more than there should be. It acts as each connection comes
// and not at the next look: a flood of silent ones takes all places in less time, and an edge node would find none.
func (f *frontend) evict() {
	var idle []*clientConn
	over := -f.evictionThreshold()
	for e := range f.clients {
		if !e.conn.Closing() {
			if over++; !e.broken && e.idle() {
				idle = append(idle, e)
			}
		}
	}
	if over <= 0 {
		return
	}
	slices.SortFunc(idle, func(x, y *clientConn) int { return cmp.Compare(x.lastUsed, y.lastUsed) })
	for _, e := range idle[:min(len(idle), over)] {
		f.backend.stats.ConnsTrimmed++
		if !e.hasSentRequest && e.protocol.midMessage() { // half a message of who never sent a whole one would keep the place for seconds
			f.stopReading(e)
		}
		e.conn.CloseGracefully(errCrowded)
	}
}

// closeAll has all connections end, each as soon as nothing is owed on it; with all, what is half read is refused, and what only holds part
// of a message is no longer waited for.
func (f *frontend) closeAll(all bool) {
	for e := range f.clients {
		if all {
			f.rejectPartials(e)
			if !e.busy() && e.protocol.midMessage() {
				f.stopReading(e)
			}
		}
		e.conn.CloseGracefully(errLeaving)
	}
}

// rejectPartials refuses all reqs of a connection that are half read.
func (f *frontend) rejectPartials(e *clientConn) {
	for slot, keep, any := e.protocol.overdue(f.backend.now); any; slot, keep, any = e.protocol.overdue(f.backend.now) {
		f.rejectPartial(e, slot, keep)
	}
}
