package backend

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosthub/account"
	"frosthub/internal/conn"
	"frosthub/internal/fastcgi"
	"frosthub/internal/lines"
	"frosthub/overload"
)

const (
	sizeMost  = 2000.0                  // kilobytes booked for a req, by the protocol
	costMost  = 10                      // client timeouts that a told cost may be: past it nothing could come of the req
	aheadMost = time.Minute             // of this clock that a start may be: the same machine told it
	trialWait = time.Second             // for a deep health check: edge nodes wait no longer
	outMost   = 192 << 10               // bytes of answers that one edge node may leave: 32 of the longest are 140 KB
	partShare = 0.15                    // of the memory limit, for reqs that are not yet whole
	wholeMost = 2500 * time.Millisecond // from the connection, and from its begin, until a req is whole: 3 s are
	// owed to those that never send one
	idleMost = 3 * time.Second        // between reqs: edge nodes close idle connections after some seconds, some never
	restIdle = 300 * time.Millisecond // idle for so long a connection keeps no memory
	badMost  = 8                      // bad reqs of a connection since the last good one that was run
)

var (
	errCrowded = errors.New("idle, and the place is needed")
	errIdle    = errors.New("idle")
	errPart    = errors.New("a req does not come whole")
	errParts   = errors.New("too much of reqs that are not whole")
)

// front is the side of the edge nodes.
type front struct {
	b     *Backend
	edges map[*edge]struct{}
	parts int // bytes of reqs that are not yet whole, of all

	customerField string // the parameter that names the customer; one that can't be, where none does
}

// edge is one connection of an edge node.
type edge struct {
	c      *conn.Conn
	p      fastcgi.Parser
	open   map[uint16]*req
	checks map[uint16]check
	since  time.Duration // when it was accepted
	used   time.Duration // when it last carried a whole req or an answer
	bad    int           // bad reqs since the last one that was run
	sent   bool          // it has sent a whole req
	known  bool          // one of its reqs was known to the processor
	rested bool          // it keeps no memory
	cut    bool          // closed here; its end is still to be told
	out    []answer      // final answers that are not yet handed to the system, in order
}

// answer is a final answer on its way.
type answer struct {
	mark   int // bytes of the connection that have left when its last one has
	ticket account.Ticket
	id     uint64
}

// idle tells whether nothing is open and nothing waits to be sent.
func (e *edge) idle() bool { return e.p.Open() == 0 && e.c.Pending() == 0 }

// check is a deep health check that waits for the processor.
type check struct {
	tag  uint64
	till time.Duration
	keep bool
}

func (f *front) init(b *Backend) {
	f.b, f.edges, f.customerField = b, map[*edge]struct{}{}, "\x00"
	if name := b.cfg.Figures.CustomerField; name != "" { // as CGI names a header
		f.customerField = "HTTP_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	}
}

// room is how many connections there may be in all when one more is accepted: calls always find theirs.
func (f *front) room() int { return f.b.cfg.Limits.Sockets - spare - f.b.tier.room() }

func (f *front) accept(c *conn.Conn) {
	b := f.b
	e := &edge{c: c, open: map[uint16]*req{}, since: b.now, used: b.now}
	f.edges[e] = struct{}{}
	b.count.Conns++
	c.Most = outMost
	c.Left = func() { f.left(e) }
	c.Data = func(p []byte) error {
		if e.cut {
			return nil
		}
		e.rested = false
		e.p.Now = b.now
		before := e.p.Held()
		err := e.p.Feed(p, func(m fastcgi.Message) { f.message(e, m) })
		f.parts += e.p.Held() - before
		if err == nil && float64(f.parts) > b.share(partShare) {
			f.cutWorst()
		}
		if err != nil {
			b.count.BadConns++
			b.note("bad connection", "from", "edge node", "why", err)
		}
		return err
	}
	c.Closed = func(err error) {
		delete(f.edges, e)
		f.parts -= e.p.Held()
		b.count.ConnsClosed++
		for _, slot := range slices.Sorted(maps.Keys(e.open)) { // the same bytes lead to the same decisions
			b.gone(e.open[slot], overload.BrokenOff)
		}
		for _, a := range e.out {
			b.book.Close(b.wall, a.ticket, account.Undelivered)
		}
		e.out = nil
	}
}

// left closes the accounts of the answers whose last byte was handed to the system.
func (f *front) left(e *edge) {
	n := 0
	for n < len(e.out) && e.out[n].mark <= e.c.Sent() {
		f.b.book.Sent(f.b.wall, e.out[n].ticket)
		n++
	}
	e.out = slices.Delete(e.out, 0, n)
	if len(e.out) == 0 && cap(e.out) > fastcgi.OpenMost {
		e.out = nil // a burst is over
	}
}

// owe has the account of a req follow the answer that was just written.
func (f *front) owe(e *edge, t account.Ticket, id uint64, why account.Reason) {
	if f.b.book.Answer(f.b.wall, t, why) {
		e.out = append(e.out, answer{e.c.Mark(), t, id})
	}
}

// cutWorst closes the connection that holds most of reqs that are not whole.
func (f *front) cutWorst() {
	var worst *edge
	for e := range f.edges {
		if worst == nil || e.p.Held() > worst.p.Held() {
			worst = e
		}
	}
	f.cut(worst, errParts)
}

// cut closes the connection of one that does not keep to the protocol.
func (f *front) cut(e *edge, why error) {
	f.b.count.BadConns++
	f.b.note("bad connection", "from", "edge node", "why", why)
	f.parts -= e.p.Held()
	e.p, e.cut = fastcgi.Parser{}, true
	e.c.Close(why)
}

// bad answers a req that can't be taken. Who goes on with such is closed: it would begin again at once.
func (f *front) bad(e *edge, slot uint16, keep bool, t account.Ticket, id uint64, reason account.Reason, why string) {
	f.b.count.BadReqs++
	f.b.note("bad req", "why", why)
	e.bad++
	status := "400 Bad Request"
	if reason == account.NoHandler {
		status = "404 Not Found"
	}
	f.answer(e, slot, keep && e.bad < badMost, status, nil, nil)
	f.owe(e, t, id, reason)
}

// nameless takes a req of which neither id nor handler is known.
func (f *front) nameless() account.Ticket {
	return f.b.book.Open(f.b.wall, 0, 0, account.FastCGI, account.Name{})
}

func (f *front) message(e *edge, m fastcgi.Message) {
	b := f.b
	e.used, e.sent = b.now, true
	switch m.Kind {
	case fastcgi.Request:
		f.request(e, m)
	case fastcgi.Bad:
		f.bad(e, m.Slot, false, f.nameless(), 0, account.BadFields, "too large, or without its parameters")
	case fastcgi.Abort:
		if r := e.open[m.Slot]; r != nil {
			delete(e.open, m.Slot)
			b.gone(r, 0)
		}
		delete(e.checks, m.Slot)
		f.end(e, m.Slot, m.Keep, fastcgi.Complete)
	case fastcgi.Refuse:
		b.count.BadReqs++
		b.note("bad req", "why", "role or number of open reqs", "status", m.Status)
		t, why := f.nameless(), account.Role
		if m.Status == fastcgi.Overloaded {
			why = account.Slots
		}
		f.end(e, m.Slot, m.Keep, m.Status)
		f.owe(e, t, 0, why)
	case fastcgi.Reply:
		e.c.Write(m.Body)
	}
}

func (f *front) request(e *edge, m fastcgi.Message) {
	b := f.b
	var path, query, why string
	r := &req{edge: e, slot: m.Slot, keep: m.Keep, body: m.Body}
	ev := overload.Event{Kind: overload.Arrived}
	number := func(v []byte, most float64) float64 {
		n, err := strconv.ParseFloat(string(v), 64)
		if err != nil || !(n >= 0 && n <= most) {
			why = "a field is no number in its range"
		}
		return n
	}
	started, hasStart := 0.0, false
	var customer account.Name
	whole := fastcgi.Each(m.Params, func(name, v []byte) {
		switch string(name) {
		case "SCRIPT_NAME":
			path = string(v)
		case "QUERY_STRING":
			query = string(v)
		case "HTTP_X_REQUEST_ID":
			r.name = string(v)
			r.id, _ = lines.ID(v)
		case "HTTP_X_REQUEST_START":
			started, hasStart = number(v, math.MaxInt64/2), true
		case "HTTP_X_CALLER":
			n := number(v, math.MaxInt32)
			if ev.Caller = int(n); float64(ev.Caller) != n {
				why = "a field is no number in its range"
			}
			if b.cfg.Figures.CustomerField == "" {
				customer = account.NameOf(v)
			}
		case "HTTP_X_COST_MS":
			ev.Hint = time.Duration(number(v, 1e9) * float64(time.Millisecond))
		case "HTTP_X_MEMORY_KB":
			ev.Size = number(v, sizeMost)
		case "HTTP_X_RANK":
			ev.Rank = number(v, 1)
		case "HTTP_X_OBJECT":
			ev.Subject = string(v)
		case f.customerField:
			customer = account.NameOf(v)
		}
	})
	if whole && path == "/_health" {
		f.check(e, m, query)
		return
	}
	name, isInvoke := strings.CutPrefix(path, "/invoke/")
	r.h = slices.IndexFunc(b.handlers, func(h handler) bool { return h.name == name })
	reason := account.BadFields
	switch {
	case !whole:
		why = "parameters cut short"
	case !isInvoke || r.h < 0:
		why, reason = "unknown handler", account.NoHandler
	case why != "":
	case r.id == 0:
		why = "no id of 16 hex digits"
	case !hasStart || ev.Size == 0:
		why = "start or memory is missing"
	case ev.Rank == 1 || ev.Size == sizeMost || ev.Hint > costMost*b.handlers[r.h].timeout ||
		started > float64(b.unix+aheadMost.Milliseconds()):
		why = "a field is out of its range"
	case b.reqs[r.id] != nil:
		why = "an id that is in use"
	}
	r.ticket = b.book.Open(b.wall, r.id, b.rowOf(r.h), account.FastCGI, customer)
	if why != "" {
		f.bad(e, m.Slot, m.Keep, r.ticket, r.id, reason, why)
		return
	}
	unread := max(0, time.Duration(b.unix-int64(started))*time.Millisecond)
	if b.ctl == nil || unread > b.handlers[r.h].timeout { // nobody waits; so old a start would tell of a standstill
		reason = account.Aged
		if b.ctl == nil {
			reason = account.NotReady
		}
		f.answer(e, m.Slot, m.Keep, "503 Service Unavailable", nil, nil)
		f.owe(e, r.ticket, r.id, reason)
		return
	}
	ev.ID, ev.Handler, ev.Unread = r.id, r.h, unread
	r.of, r.ev, r.since = subject{r.h, ev.Subject}, ev, b.now
	b.reqs[r.id] = r
	b.owed++
	e.open[m.Slot] = r
	if e.known || !b.link.identify(r) {
		b.arrived(r)
	}
}

// unknown follows the processor's word that it knows no such req: nobody sent it one, and whoever sends reqs that
// nobody knows is no edge node.
func (f *front) unknown(r *req) {
	delete(r.edge.open, r.slot)
	f.bad(r.edge, r.slot, false, r.ticket, r.id, account.Stranger, "no req of this machine")
	f.b.answered(r)
}

// check answers a health check: a shallow one and one the module calls cheap from what the module said last.
func (f *front) check(e *edge, m fastcgi.Message, query string) {
	b := f.b
	b.count.Checks++
	deep := slices.Contains(strings.Split(query, "&"), "deep=1")
	if !deep || b.cheap || !b.good {
		f.health(e, m.Slot, m.Keep, b.good)
		return
	}
	if e.checks == nil {
		e.checks = map[uint16]check{}
	}
	e.checks[m.Slot] = check{tag: b.link.trial(), till: b.now + trialWait, keep: m.Keep}
}

// tried follows the end of a deep check's work.
func (f *front) tried(tag uint64, good bool) {
	for e := range f.edges {
		for slot, k := range e.checks {
			if k.tag == tag {
				delete(e.checks, slot)
				f.health(e, slot, k.keep, good)
			}
		}
	}
}

func (f *front) health(e *edge, slot uint16, keep, good bool) {
	if good {
		f.answer(e, slot, keep, "200 OK", nil, nil)
		return
	}
	f.answer(e, slot, keep, "503 Service Unavailable", nil, nil)
}

func (f *front) done(r *req, why account.Reason, result []byte) {
	r.edge.bad = 0
	f.final(r, why, "200 OK", nil, result)
}

func (f *front) errored(r *req, why account.Reason) {
	f.final(r, why, "500 Internal Server Error", nil, nil)
}

func (f *front) shed(r *req, after time.Duration, dontRetry bool) {
	var fields []byte
	if after > 0 {
		fields = strconv.AppendInt(append(fields, "Retry-After-Ms: "...), max(1, after.Milliseconds()), 10)
		fields = append(fields, "\r\n"...)
	}
	if dontRetry {
		fields = append(fields, "X-Dont-Retry: 1\r\n"...)
	}
	f.final(r, account.Shed, "503 Service Unavailable", fields, nil)
}

func (f *front) final(r *req, why account.Reason, status string, fields, body []byte) {
	delete(r.edge.open, r.slot)
	f.answer(r.edge, r.slot, r.keep, status, fields, body)
	f.owe(r.edge, r.ticket, r.id, why)
}

// answer writes a whole answer; the free value rides on each.
func (f *front) answer(e *edge, slot uint16, keep bool, status string, fields, body []byte) {
	b := f.b
	var room [256]byte
	head := append(append(append(room[:0], "Status: "...), status...), "\r\n"...)
	if len(b.signal) > 0 {
		head = append(append(append(head, "X-Load-Signal: "...), b.signal...), "\r\n"...)
	}
	head = append(append(head, fields...), "\r\n"...)
	b.scratch = fastcgi.AppendStdout(b.scratch[:0], slot, append(head, body...))
	b.scratch = fastcgi.AppendEnd(b.scratch, slot, fastcgi.Complete)
	e.p.Done(slot)
	f.write(e, keep)
}

// end closes a slot without an answer.
func (f *front) end(e *edge, slot uint16, keep bool, status byte) {
	f.b.scratch = fastcgi.AppendEnd(f.b.scratch[:0], slot, status)
	e.p.Done(slot)
	f.write(e, keep)
}

func (f *front) write(e *edge, keep bool) {
	e.used = f.b.now
	e.c.Write(f.b.scratch)
	if !keep && e.p.Open() == 0 {
		e.c.End()
	}
}

// tidy closes connections that are idle for too long, or the longest idle ones where places run short, and
// answers deep checks that got no word.
func (f *front) tidy() {
	b := f.b
	most := int(crowdedAt * float64(f.room()))
	keepFor := min(idleMost, cmp.Or(b.keep, idleMost))
	var idle []*edge
	for e := range f.edges {
		for slot, k := range e.checks {
			if b.now >= k.till {
				delete(e.checks, slot)
				f.health(e, slot, k.keep, false)
			}
		}
		switch slot, keep := e.p.Late(b.now - wholeMost); {
		case e.cut:
		case !e.sent && b.now-e.since >= wholeMost:
			f.cut(e, errPart)
		case slot > 0: // its other reqs may be good
			f.bad(e, slot, keep, f.nameless(), 0, account.NotWhole, errPart.Error())
		case !e.idle():
		case b.now-e.used >= keepFor:
			b.count.ConnsTrimmed++
			e.c.Close(errIdle)
		case len(f.edges) > most:
			idle = append(idle, e)
		case !e.rested && b.now-e.used >= restIdle:
			e.rested = true
			e.c.Rest()
		}
	}
	if len(idle) > 0 {
		slices.SortFunc(idle, func(x, y *edge) int { return cmp.Compare(x.used, y.used) })
		for _, e := range idle[:min(len(idle), len(f.edges)-most)] {
			b.count.ConnsTrimmed++
			e.c.Close(errCrowded)
		}
	}
}

// closeIdle closes all connections on which nothing is open.
func (f *front) closeIdle() {
	for e := range f.edges {
		if e.idle() {
			e.c.Close(errIdle)
		}
	}
}
