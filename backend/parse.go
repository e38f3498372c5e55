package backend

import (
	"frosthub/accounting"
	"frosthub/internal/lineproto"
	"frosthub/lifecycle"
	"frosthub/overload"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// fieldNames are the fields as HTTP names them, what the deployment and the operators of others call theirs.
var fieldNames = []ownField{
	{"X-Request-Id", idField},
	{"X-Request-Start", startField},
	{"X-Caller", callerField},
	{"X-Cost-Ms", costField},
	{"X-Memory-Kb", memoryField},
	{"X-Rank", rankField},
	{"X-Object", objectField},
	{"Idempotency-Key", onceField},
	{"X-Tenant", tenantField},
	{"X-Timeout-Ms", timeoutField},
}

func (f *frontend) init(b *Backend) {
	f.backend, f.clients = b, map[*clientConn]struct{}{}
	f.cgi = map[string][]field{"SCRIPT_NAME": {pathField}, "QUERY_STRING": {queryField}}
	f.http = map[string][]field{}
	for _, x := range append(slices.Clone(fieldNames), ownField{b.cfg.Accounting.CustomerField, customerField},
		ownField{b.cfg.Idempotency.KeyField, keyField}, ownField{b.cfg.Idempotency.CreatedField, madeField}) {
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

// rejectMalformed answers a req that can't be taken. Who goes on with such is closed: it would begin again at once.
func (f *frontend) rejectMalformed(e *clientConn, slot uint16, keep bool, t accounting.Ticket, id uint64, reason accounting.Reason, why string) {
	f.backend.stats.BadRequests++
	f.backend.logLimited("bad req", "why", why)
	e.badRequests++
	status := 400
	switch reason {
	case accounting.UnknownHandler:
		status = 404
	case accounting.BadSecret:
		status = 403
	}
	f.answer(e, slot, keep && e.badRequests < badMost, &reply{status: status})
	f.trackDelivery(e, t, id, reason)
	if e.badRequests >= badCut && !e.broken {
		f.cut(e, errBad)
	}
}

// rejectPartial answers a req that is half read: nothing of it will run.
func (f *frontend) rejectPartial(e *clientConn, slot uint16, keep bool) {
	t := f.nameless(e)
	f.answer(e, slot, keep, f.rejection())
	f.trackDelivery(e, t, 0, accounting.NotReady)
	f.updatePartialBytes(e)
}

// nameless takes a req of which neither id nor handler is known.
func (f *frontend) nameless(e *clientConn) accounting.Ticket {
	return f.backend.ledger.Open(f.backend.wall, 0, 0, e.protocol.kind(), accounting.CustomerName{})
}

// takenBack follows the word that nobody waits any more.
func (f *frontend) takenBack(e *clientConn, slot uint16) {
	if r := e.requests[slot]; r != nil {
		delete(e.requests, slot)
		f.backend.clientGone(r, 0)
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

// parsedRequest is a req whose fields are being read.
type parsedRequest struct {
	b           *Backend
	r           *request
	ev          overload.Event
	path, query string
	started     float64
	hasStart    bool
	customer    accounting.CustomerName
	owner       []byte  // the customer's name whole, and
	key         []byte  // the field that names what must not run twice: both only where something is guarded
	made        float64 // Unix milliseconds; 0 not told
	once        string  // its idempotency key
	tenant      string
	why         string // what is wrong with it
}

// newParsedRequest begins one.
func (f *frontend) newParsedRequest(e *clientConn, slot uint16, keep bool, body []byte) *parsedRequest {
	return &parsedRequest{b: f.backend, r: &request{client: e, slot: slot, keepOpen: keep, body: body}, ev: overload.Event{Kind: overload.Arrived}}
}

func (a *parsedRequest) number(v []byte, most float64) float64 {
	n, err := strconv.ParseFloat(string(v), 64)
	if err != nil || !(n >= 0 && n <= most) {
		a.why = "a field is no number in its range"
	}
	return n
}

// setAll takes a field in each of its meanings.
func (a *parsedRequest) setAll(names []field, v []byte) {
	for _, name := range names {
		a.set(name, v)
	}
}

// set takes a field.
func (a *parsedRequest) set(name field, v []byte) {
	switch name {
	case pathField:
		a.path = string(v)
	case queryField:
		a.query = string(v)
	case idField:
		a.r.wireID = string(v)
		a.r.id, _ = lineproto.ID(v)
	case startField:
		a.started, a.hasStart = a.number(v, math.MaxInt64/2), true
	case callerField:
		n := a.number(v, math.MaxInt32)
		if a.ev.Caller = int(n); float64(a.ev.Caller) != n {
			a.why = "a field is no number in its range"
		}
		if a.b.cfg.Accounting.CustomerField == "" {
			a.owned(v)
		}
	case costField:
		a.ev.Hint = time.Duration(a.number(v, 1e9) * float64(time.Millisecond))
	case memoryField:
		a.ev.Size = a.number(v, sizeMost)
	case rankField:
		a.ev.ValueRank = a.number(v, 1)
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
		a.r.clientTimeout = time.Duration(a.number(v, 1e9) * float64(time.Millisecond))
	}
}

// owned takes its customer.
func (a *parsedRequest) owned(v []byte) {
	a.customer = accounting.NewCustomerName(v)
	if a.b.guard.enabled() {
		a.owner = append(a.owner[:0], v...)
	}
}

// handleRequest takes a req whose fields were all read, and whole if they were.
func (f *frontend) handleRequest(a *parsedRequest, whole bool) {
	b, r, ev := f.backend, a.r, &a.ev
	e := r.client
	if whole && a.path == "/_health" {
		f.check(e, r.slot, r.keepOpen, a.query)
		return
	}
	name, isInvoke := strings.CutPrefix(a.path, "/invoke/")
	r.handler = b.handlerOf(name)
	reason := accounting.BadFields
	why := a.why
	switch {
	case !whole:
		why = "parameters cut short"
	case !isInvoke || r.handler < 0:
		why, reason = "unknown handler", accounting.UnknownHandler
	case why != "":
	case r.id == 0:
		why = "no id of 16 hex digits"
	case !a.hasStart || ev.Size == 0:
		why = "start or memory is missing"
	case !b.guard.hasRequiredKey(a):
		why = "no key, and it must not run twice"
	case ev.ValueRank == 1 || ev.Size == sizeMost || ev.Hint > costMost*b.handlers[r.handler].timeout || a.started > startMost:
		why = "a field is out of its range"
	case b.requests[r.id] != nil:
		why = "an id that is in use"
	}
	r.ticket = b.ledger.Open(b.wall, r.id, b.rowOf(r.handler), e.protocol.kind(), a.customer)
	if why != "" {
		f.rejectMalformed(e, r.slot, r.keepOpen, r.ticket, r.id, reason, why)
		return
	}
	unread := b.arrivals.QueueDelay(time.Duration(a.started*float64(time.Millisecond)), e.verified || !b.canCancel)
	refuses := b.controller == nil || b.process.Accept() != lifecycle.Allowed
	if refuses || unread > b.handlers[r.handler].timeout || r.clientTimeout > 0 && unread > r.clientTimeout { // nobody waits; so old a start would tell of a standstill
		reason = accounting.Expired
		if refuses {
			reason = accounting.NotReady
		}
		f.answer(e, r.slot, r.keepOpen, f.rejection())
		f.trackDelivery(e, r.ticket, r.id, reason)
		return
	}
	ev.ID, ev.Handler, ev.Delay, ev.Customer = r.id, r.handler, unread, slices.Index(b.customers, a.tenant)
	r.subject = b.results.keyOf(r, ev.Subject, a.tenant, a.once)
	r.arrival, r.readAt, r.arrivedAt = *ev, b.now, b.now-unread
	r.guard = b.guard.stateOf(a)
	b.requests[r.id] = r
	b.unanswered++
	e.requests[r.slot] = r
	if e.verified && b.results.find(r) == nil || !b.processor.verify(r) {
		b.admit(r)
	}
}

// unknown follows the processor's word that it knows no such req: nobody sent it one, and whoever sends reqs that
// nobody knows is no edge node.
func (f *frontend) unknown(r *request) {
	delete(r.client.requests, r.slot)
	f.rejectMalformed(r.client, r.slot, false, r.ticket, r.id, accounting.UnknownRequest, "no req of this machine")
	f.backend.finishAnswered(r)
}
