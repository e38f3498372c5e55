package backend

import (
	"slices"
	"strings"
	"time"

	"frosthub/accounting"
	"frosthub/lifecycle"
)

// Paths that clients ask for.
const (
	healthPath   = "/_health"
	invokePrefix = "/invoke/" // followed by the name of a handler
)

// handleRequest takes a request whose fields were read: all of them if complete, else its parameters were cut short.
func (f *frontend) handleRequest(parsed *parsedRequest, complete bool) {
	b, r := f.backend, parsed.request
	client := r.client
	if complete && parsed.path == healthPath {
		f.handleHealthCheck(r.exchange(), parsed.query)
		return
	}
	name, isInvoke := strings.CutPrefix(parsed.path, invokePrefix)
	r.handler = b.handlerIndex(name)
	known := isInvoke && r.handler >= 0
	reason, problem := f.validate(parsed, complete, known)
	r.ticket = b.ledger.Open(b.wallTime, r.id, b.ledgerRow(r.handler), client.protocol.kind(), parsed.customer)
	if problem != "" {
		f.rejectMalformed(r.exchange(), r.ticket, r.id, reason, problem)
		return
	}
	start := time.Duration(parsed.start * float64(time.Millisecond))
	queueDelay := b.arrivalDelay.QueueDelay(start, client.verified || !b.canCancel)
	if reason := f.rejectionReason(r, queueDelay); reason != accounting.NoReason {
		f.writeResponse(r.exchange(), f.rejectionResponse())
		f.trackDelivery(client, r.ticket, r.id, reason)
		return
	}
	parsed.arrival.ID = r.id
	parsed.arrival.Handler = r.handler
	parsed.arrival.QueueDelay = queueDelay
	parsed.arrival.Customer = slices.Index(b.customerNames, parsed.tenant)
	r.cacheKey = b.results.keyOf(r, parsed.arrival.Resource, parsed.tenant, parsed.idempotencyKey)
	r.arrival = parsed.arrival
	r.readAt = b.now
	r.arrivedAt = b.now - queueDelay
	r.guard = b.guard.newState(parsed)
	b.requests[r.id] = r
	b.unanswered++
	client.requests[r.slot] = r
	verified := client.verified && b.results.find(r) == nil
	if verified || !b.processor.verify(r) {
		b.admit(r)
	}
}

// validate checks the fields of a request. It returns an empty problem if they are good. The first problem found
// counts; the order of the checks decides how the request is accounted for.
func (f *frontend) validate(parsed *parsedRequest, complete, known bool) (reason accounting.Reason, problem string) {
	b, r, arrival := f.backend, parsed.request, &parsed.arrival
	reason = accounting.BadFields
	switch {
	case !complete:
		problem = "parameters cut short"
	case !known:
		reason = accounting.UnknownHandler
		problem = "unknown handler"
	case parsed.problem != "":
		problem = parsed.problem
	case r.id == 0:
		problem = "no id of 16 hex digits"
	case !parsed.hasStart || arrival.SizeKB == 0:
		problem = "start or memory is missing"
	case !b.guard.hasRequiredKeyField(parsed):
		problem = "no key for a request that must not run twice"
	case arrival.ValueRank == 1 || arrival.SizeKB == maxMemoryKB || parsed.start > maxStartMillis ||
		arrival.Hint > maxCostFactor*b.handlers[r.handler].clientTimeout:
		problem = "a field is out of its range"
	case b.requests[r.id] != nil:
		problem = "the id is in use"
	}
	return reason, problem
}

// rejectionReason returns why a good request is rejected without the overload controller, accounting.None if it is not. One that
// has waited for longer than its client does would tell the controller of a stall that is none.
func (f *frontend) rejectionReason(r *request, queueDelay time.Duration) accounting.Reason {
	b := f.backend
	switch {
	case b.controller == nil || b.process.CheckAccept() != lifecycle.Allowed:
		return accounting.NotReady
	case queueDelay > b.handlers[r.handler].clientTimeout:
		return accounting.Expired
	case r.clientTimeout > 0 && queueDelay > r.clientTimeout:
		return accounting.Expired
	}
	return accounting.NoReason
}

// rejectMalformed answers a request that can't be taken. A client that goes on with such requests has its connection
// closed.
func (f *frontend) rejectMalformed(from exchange, ticket accounting.Ticket, id uint64, reason accounting.Reason, problem string) {
	f.backend.stats.BadRequests++
	f.backend.logLimited("bad request", "reason", problem)
	client := from.client
	client.malformedRequests++
	status := 400
	switch reason {
	case accounting.UnknownHandler:
		status = 404
	case accounting.BadSecret:
		status = 403
	}
	from.keepOpen = from.keepOpen && client.malformedRequests < maxMalformed
	f.writeResponse(from, &response{status: status})
	f.trackDelivery(client, ticket, id, reason)
	if client.malformedRequests >= malformedCutoff && !client.readStopped {
		f.terminateConnection(client, errMalformed)
	}
}

// rejectPartial answers a request that is partly read: nothing of it will run.
func (f *frontend) rejectPartial(partial exchange) {
	ticket := f.openAccountWithoutID(partial.client)
	f.writeResponse(partial, f.rejectionResponse())
	f.trackDelivery(partial.client, ticket, 0, accounting.NotReady)
	f.updatePartialBytes(partial.client)
}

// openAccountWithoutID opens the account of a request of which neither id nor handler is known.
func (f *frontend) openAccountWithoutID(client *clientConn) accounting.Ticket {
	return f.backend.ledger.Open(f.backend.wallTime, 0, 0, client.protocol.kind(), accounting.CustomerName{})
}

// abortRequest follows a client's message that it no longer waits for what it sent on a slot.
func (f *frontend) abortRequest(client *clientConn, slot uint16) {
	if r := client.requests[slot]; r != nil {
		delete(client.requests, slot)
		f.backend.clientGone(r, 0)
	}
	delete(client.deepChecks, slot)
}

// rejectUnknown answers a request that the processor does not know. The processor knows each
// request of the deployment's clients, so this client is none of them.
func (f *frontend) rejectUnknown(r *request) {
	delete(r.client.requests, r.slot)
	from := r.exchange()
	from.keepOpen = false
	f.rejectMalformed(from, r.ticket, r.id, accounting.UnknownRequest, "not a request of this machine")
	f.backend.finishAnswered(r)
}
