package backend

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosthub/account"
	"frosthub/internal/conn"
	"frosthub/internal/lines"
	"frosthub/lifecycle"
	"frosthub/overload"
)

const (
	sizeMost  = 2000.0                  // kilobytes booked for a req, by the protocol
	costMost  = 10                      // client timeouts that a told cost may be: past it nothing could come of the req
	startMost = math.MaxInt64 / 2 / 1e6 // milliseconds of a start that fit a span
	trialWait = time.Second             // for a deep health check: edge nodes wait no longer
	outMost   = 192 << 10               // bytes of answers that one edge node may leave: 32 of the longest are 140 KB
	partShare = 0.15                    // of the memory limit, for reqs that are not yet whole
	wholeMost = 2500 * time.Millisecond // from the connection, and from its begin, until a req is whole: 3 s are
	// owed to those that never send one
	idleMost  = 3 * time.Second        // between reqs: edge nodes close idle connections after some seconds, some never
	restIdle  = 300 * time.Millisecond // idle for so long a connection keeps no memory
	openUsual = 32                     // answers of a connection on their way: more were a burst
	badMost   = 8                      // bad reqs of a connection since the last good one that was run: then it is to end
	badCut    = 2 * badMost            // and then nothing more is read of it: it does not let it come to an end
)

var (
	errCrowded = errors.New("idle, and the place is needed")
	errIdle    = errors.New("idle")
	errLast    = errors.New("it was not to stay")
	errLeaving = errors.New("the process ends")
	errBad     = errors.New("it goes on with bad reqs")
	errPart    = errors.New("a req does not come whole")
	errParts   = errors.New("too much of reqs that are not whole")
)

// door is the side of those that ask, whatever protocol they speak: what becomes of a req that was read, what is owed
// to whom, and who is closed. It answers each req once, by the protocol of its connection.
type door struct {
	b     *Backend
	edges map[*edge]struct{}
	parts int // bytes of reqs that are not yet whole, of all
	conns int // taken so far: they are numbered

	cgi, http map[string][]field // what a name means: as CGI has it, as HTTP has it in lower case
}

// protocol is what one way to ask has of its own: its parser, the slots of a connection, how an answer is cut.
type protocol interface {
	front() account.Front
	feed(p []byte) error // what was read; it calls back the door's request, bad and others
	held() int           // bytes of reqs that are not whole
	mid() bool           // part of a message was read
	open() int           // slots in use: reqs that are read, and those not yet answered
	drop()               // forget what is being read and is not whole

	late(by time.Duration) (slot uint16, keep, any bool) // a req that was begun by then and is not whole
	answer(b []byte, slot uint16, keep bool, a *reply) []byte
}

// reply is an answer as all protocols give it.
type reply struct {
	status    int
	signal    []byte        // the free value as it is written; empty before the first
	after     time.Duration // a refusal's: when to come back; 0 nothing is said
	dontRetry bool          // a refusal's: not elsewhere either
	body      []byte
}

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
	last   bool          // its stream is broken: nothing more is read of it, it ends once what is open is answered
	parts  int           // its bytes among the door's
	out    []answer      // final answers that are not yet handed to the system, in order
}

// answer is a final answer on its way.
type answer struct {
	mark   int // bytes of the connection that have left when its last one has
	ticket account.Ticket
	id     uint64
}

// idle tells whether nothing is open and nothing waits to be sent.
func (e *edge) idle() bool { return e.p.open() == 0 && e.c.Pending() == 0 }

// busy tells whether it waits for an answer.
func (e *edge) busy() bool { return len(e.open)+len(e.checks) > 0 }

// standing is what its end has to wait for; what is unread the connection itself looks at last.
func (e *edge) standing() lifecycle.Connection {
	return lifecycle.Connection{Open: len(e.open) + len(e.checks), HalfRead: e.p.open() > len(e.open)+len(e.checks) || e.p.mid(),
		Broken: e.last}
}

// check is a deep health check that waits for the processor.
type check struct {
	tag  uint64
	till time.Duration
	keep bool
}

// fieldNames are the fields as HTTP names them, what the deployment and the operators of others call theirs.
var fieldNames = []ownField{{"X-Request-Id", idField}, {"X-Request-Start", startField}, {"X-Caller", callerField},
	{"X-Cost-Ms", costField}, {"X-Memory-Kb", memoryField}, {"X-Rank", rankField}, {"X-Object", objectField},
	{"Idempotency-Key", onceField}, {"X-Tenant", tenantField}, {"X-Timeout-Ms", timeoutField}}

func (f *door) init(b *Backend) {
	f.b, f.edges = b, map[*edge]struct{}{}
	f.cgi = map[string][]field{"SCRIPT_NAME": {pathField}, "QUERY_STRING": {queryField}}
	f.http = map[string][]field{}
	for _, x := range append(slices.Clone(fieldNames), ownField{b.cfg.Figures.CustomerField, customerField},
		ownField{b.cfg.Keep.KeyField, keyField}, ownField{b.cfg.Keep.MadeField, madeField}) {
		if x.header != "" {
			param, lower := "HTTP_"+strings.ToUpper(strings.ReplaceAll(x.header, "-", "_")), strings.ToLower(x.header)
			f.cgi[param] = append(f.cgi[param], x.means)
			f.http[lower] = append(f.http[lower], x.means)
		}
	}
}

// ownField is a header and its meaning.
type ownField struct {
	header string
	means  field
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
	c.Most = outMost
	c.Left = func() { f.left(e) }
	c.Owes = func() bool { return lifecycle.End(e.standing()) != lifecycle.Allowed }
	c.Data = func(p []byte) error {
		if e.last {
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
	c.Closed = func(err error) {
		delete(f.edges, e)
		f.tellEnd(e, err)
		e.p.drop()
		f.weigh(e)
		b.count.ConnsClosed++
		for _, slot := range slices.Sorted(maps.Keys(e.open)) { // the same bytes lead to the same decisions
			r := e.open[slot]
			if r.at != strange {
				f.unanswered(r.id, err)
			}
			if e.c.Finished() && !e.last {
				b.violated("end a connection", r, lifecycle.RequestOpen)
			}
			b.gone(r, overload.BrokenOff)
		}
		for _, a := range e.out {
			f.unanswered(a.id, err)
			b.book.Close(b.wall, a.ticket, account.Undelivered)
		}
		e.out = nil
	}
	if len(f.edges) > f.most() {
		f.evict()
	}
}

// tellEnd logs how a connection ended where that may be asked for later: while the process ends, and where something was left.
func (f *door) tellEnd(e *edge, why error) {
	dropped, half := e.c.Dropped(), e.p.open()-len(e.open)-len(e.checks)
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
	for n < len(e.out) && e.out[n].mark <= e.c.Sent() {
		f.b.book.Sent(f.b.wall, e.out[n].ticket)
		n++
	}
	e.out = slices.Delete(e.out, 0, n)
	if len(e.out) == 0 && cap(e.out) > openUsual {
		e.out = nil // a burst is over
	}
}

// owe has the account of a req follow the answer that was just written.
func (f *door) owe(e *edge, t account.Ticket, id uint64, why account.Reason) {
	if f.b.book.Answer(f.b.wall, t, why) {
		e.out = append(e.out, answer{e.c.Mark(), t, id})
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
	if f.lastOf(e); !e.busy() && e.c.Pending() == 0 {
		e.c.Abort(why)
		return
	}
	e.c.End(why) // once what is open is answered
}

// lastOf has nothing more be read of a connection.
func (f *door) lastOf(e *edge) {
	e.last = true
	e.c.Deafen()
	e.p.drop()
	f.weigh(e)
}

// bad answers a req that can't be taken. Who goes on with such is closed: it would begin again at once.
func (f *door) bad(e *edge, slot uint16, keep bool, t account.Ticket, id uint64, reason account.Reason, why string) {
	f.b.count.BadReqs++
	f.b.note("bad req", "why", why)
	e.bad++
	status := 400
	switch reason {
	case account.NoHandler:
		status = 404
	case account.BadSecret:
		status = 403
	}
	f.answer(e, slot, keep && e.bad < badMost, &reply{status: status})
	f.owe(e, t, id, reason)
	if e.bad >= badCut && !e.last {
		f.cut(e, errBad)
	}
}

// refusePart answers a req that is half read: nothing of it will run.
func (f *door) refusePart(e *edge, slot uint16, keep bool) {
	t := f.nameless(e)
	f.answer(e, slot, keep, f.refusal())
	f.owe(e, t, 0, account.NotReady)
	f.weigh(e)
}

// nameless takes a req of which neither id nor handler is known.
func (f *door) nameless(e *edge) account.Ticket {
	return f.b.book.Open(f.b.wall, 0, 0, e.p.front(), account.Name{})
}

// takenBack follows the word that nobody waits any more.
func (f *door) takenBack(e *edge, slot uint16) {
	if r := e.open[slot]; r != nil {
		delete(e.open, slot)
		f.b.gone(r, 0)
	}
	delete(e.checks, slot)
}

// field is one that a req may have, whatever a protocol calls it.
type field uint8

const (
	pathField field = iota
	queryField
	idField
	startField
	callerField
	costField
	memoryField
	rankField
	objectField
	customerField
	keyField
	madeField
	onceField
	tenantField
	timeoutField
)

// asked is a req whose fields are being read.
type asked struct {
	b           *Backend
	r           *req
	ev          overload.Event
	path, query string
	started     float64
	hasStart    bool
	customer    account.Name
	owner       []byte  // the customer's name whole, and
	key         []byte  // the field that names what must not run twice: both only where something is guarded
	made        float64 // Unix milliseconds; 0 not told
	once        string  // its idempotency key
	tenant      string
	why         string // what is wrong with it
}

// newAsked begins one.
func (f *door) newAsked(e *edge, slot uint16, keep bool, body []byte) *asked {
	return &asked{b: f.b, r: &req{edge: e, slot: slot, keep: keep, body: body}, ev: overload.Event{Kind: overload.Arrived}}
}

func (a *asked) number(v []byte, most float64) float64 {
	n, err := strconv.ParseFloat(string(v), 64)
	if err != nil || !(n >= 0 && n <= most) {
		a.why = "a field is no number in its range"
	}
	return n
}

// setAll takes a field in each of its meanings.
func (a *asked) setAll(names []field, v []byte) {
	for _, name := range names {
		a.set(name, v)
	}
}

// set takes a field.
func (a *asked) set(name field, v []byte) {
	switch name {
	case pathField:
		a.path = string(v)
	case queryField:
		a.query = string(v)
	case idField:
		a.r.name = string(v)
		a.r.id, _ = lines.ID(v)
	case startField:
		a.started, a.hasStart = a.number(v, math.MaxInt64/2), true
	case callerField:
		n := a.number(v, math.MaxInt32)
		if a.ev.Caller = int(n); float64(a.ev.Caller) != n {
			a.why = "a field is no number in its range"
		}
		if a.b.cfg.Figures.CustomerField == "" {
			a.owned(v)
		}
	case costField:
		a.ev.Hint = time.Duration(a.number(v, 1e9) * float64(time.Millisecond))
	case memoryField:
		a.ev.Size = a.number(v, sizeMost)
	case rankField:
		a.ev.Rank = a.number(v, 1)
	case objectField:
		a.ev.Subject = string(v)
	case customerField:
		a.owned(v)
	case keyField:
		a.key = append(a.key[:0], v...)
	case madeField:
		a.made = a.number(v, math.MaxInt64/2)
	case onceField:
		a.once = string(v)
	case tenantField:
		a.tenant = string(v)
	case timeoutField:
		a.r.waits = time.Duration(a.number(v, 1e9) * float64(time.Millisecond))
	}
}

// owned takes its customer.
func (a *asked) owned(v []byte) {
	a.customer = account.NameOf(v)
	if a.b.keeper.on() {
		a.owner = append(a.owner[:0], v...)
	}
}

// request takes a req whose fields were all read, and whole if they were.
func (f *door) request(a *asked, whole bool) {
	b, r, ev := f.b, a.r, &a.ev
	e := r.edge
	if whole && a.path == "/_health" {
		f.check(e, r.slot, r.keep, a.query)
		return
	}
	name, isInvoke := strings.CutPrefix(a.path, "/invoke/")
	r.h = b.handlerOf(name)
	reason := account.BadFields
	why := a.why
	switch {
	case !whole:
		why = "parameters cut short"
	case !isInvoke || r.h < 0:
		why, reason = "unknown handler", account.NoHandler
	case why != "":
	case r.id == 0:
		why = "no id of 16 hex digits"
	case !a.hasStart || ev.Size == 0:
		why = "start or memory is missing"
	case !b.keeper.named(a):
		why = "no key, and it must not run twice"
	case ev.Rank == 1 || ev.Size == sizeMost || ev.Hint > costMost*b.handlers[r.h].timeout || a.started > startMost:
		why = "a field is out of its range"
	case b.reqs[r.id] != nil:
		why = "an id that is in use"
	}
	r.ticket = b.book.Open(b.wall, r.id, b.rowOf(r.h), e.p.front(), a.customer)
	if why != "" {
		f.bad(e, r.slot, r.keep, r.ticket, r.id, reason, why)
		return
	}
	unread := b.stamps.Unread(time.Duration(a.started*float64(time.Millisecond)), e.known || !b.canStop)
	refuses := b.ctl == nil || b.process.Take() != lifecycle.Allowed
	if refuses || unread > b.handlers[r.h].timeout || r.waits > 0 && unread > r.waits { // nobody waits; so old a start would tell of a standstill
		reason = account.Aged
		if refuses {
			reason = account.NotReady
		}
		f.answer(e, r.slot, r.keep, f.refusal())
		f.owe(e, r.ticket, r.id, reason)
		return
	}
	ev.ID, ev.Handler, ev.Unread, ev.Customer = r.id, r.h, unread, slices.Index(b.customers, a.tenant)
	r.of = b.keys.subjectOf(r, ev.Subject, a.tenant, a.once)
	r.ev, r.since, r.came = *ev, b.now, b.now-unread
	r.guard = b.keeper.guards(a)
	b.reqs[r.id] = r
	b.owed++
	e.open[r.slot] = r
	if e.known && b.keys.repeats(r) == nil || !b.link.identify(r) {
		b.arrived(r)
	}
}

// unknown follows the processor's word that it knows no such req: nobody sent it one, and whoever sends reqs that
// nobody knows is no edge node.
func (f *door) unknown(r *req) {
	delete(r.edge.open, r.slot)
	f.bad(r.edge, r.slot, false, r.ticket, r.id, account.Stranger, "no req of this machine")
	f.b.answered(r)
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

func (f *door) done(r *req, why account.Reason, result []byte) {
	r.edge.bad = 0
	f.final(r, why, &reply{status: 200, body: result})
}

func (f *door) errored(r *req, why account.Reason) { f.final(r, why, &reply{status: 500}) }

// declined answers a req without a result, as the reason has it: refused, where the module has not, or no longer, to decide, or errored.
func (f *door) declined(r *req, why account.Reason) {
	if why.Figure() == account.Refused {
		f.final(r, why, &reply{status: 503, after: f.b.awayFor})
	} else {
		f.errored(r, why)
	}
}

func (f *door) shed(r *req, after time.Duration, dontRetry bool) {
	f.final(r, account.Shed, &reply{status: 503, after: after, dontRetry: dontRetry})
}

func (f *door) refused(r *req) { f.final(r, account.NotReady, f.refusal()) }

// refusal is that of a req that the overload controller does not hear of. A process that ends tells how long to stay away from its address.
func (f *door) refusal() *reply {
	a := &reply{status: 503}
	if f.b.process.Take() != lifecycle.Allowed {
		a.after = f.b.awayFor
	}
	return a
}

func (f *door) final(r *req, why account.Reason, a *reply) {
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
	if !keep || e.last {
		e.c.End(errLast)
	}
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
		case e.last:
		case !e.sent && b.now-e.since >= wholeMost:
			f.cut(e, errPart)
		case late: // its other reqs may be good
			f.bad(e, slot, keep, f.nameless(e), 0, account.NotWhole, errPart.Error())
			f.weigh(e)
		case !e.idle():
		case e.c.Ending() && b.now-e.used >= keepFor+wholeMost: // half a message keeps it from its end
			f.cut(e, errPart)
		case e.c.Ending():
		case b.now-e.used >= keepFor:
			b.count.ConnsTrimmed++
			e.c.End(errIdle)
		case !e.rested && b.now-e.used >= restIdle:
			e.rested = true
			e.c.Rest()
		}
	}
	f.evict()
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

// evict ends the longest idle connections where there are more than there should be. It acts as each connection comes
// and not at the next look: a flood of silent ones takes all places in less time, and an edge node would find none.
func (f *door) evict() {
	var idle []*edge
	over := -f.most()
	for e := range f.edges {
		if !e.c.Ending() {
			if over++; !e.last && e.idle() {
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
		e.c.End(errCrowded)
	}
}

// rest has all connections end, each as soon as nothing is owed on it; with all, what is half read is refused, and what only holds part
// of a message is no longer waited for.
func (f *door) rest(all bool) {
	for e := range f.edges {
		if all {
			f.refuseParts(e)
			if !e.busy() && e.p.mid() {
				f.lastOf(e)
			}
		}
		e.c.End(errLeaving)
	}
}

// refuseParts refuses all reqs of a connection that are half read.
func (f *door) refuseParts(e *edge) {
	for slot, keep, any := e.p.late(f.b.now); any; slot, keep, any = e.p.late(f.b.now) {
		f.refusePart(e, slot, keep)
	}
}
