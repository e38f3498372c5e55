package backend

import (
	"slices"
	"strings"
	"time"

	"frosthub/accounting"
	"frosthub/lifecycle"
)

// Request paths.
const (
	healthPath   = "/_health"
	invokePrefix = "/invoke/" // followed by the name of a handler
)

// handleRequest validates a parsed request and admits or rejects it. If complete is false, its parameters were truncated.
func (f *frontend) handleRequest(parsed *parsedRequest, complete bool) {
	b, r := f.backend, parsed.request
	client := r.client
	if complete && parsed.path == healthPath {
		f.handleHealthCheck(r.exchange(), parsed.query)
		return
	}
	name, isInvoke := strings.CutPrefix(parsed.path, invokePrefix)
	r.handler = b.handlerIndex(name)
	handlerKnown := isInvoke && r.handler >= 0
	reason, problem := f.validate(parsed, complete, handlerKnown)
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

// validate checks the fields of a request and returns the first problem, which is empty if all are valid. The order of
// the checks determines the reason by which a rejection is accounted for.
func (f *frontend) validate(parsed *parsedRequest, complete, handlerKnown bool) (reason accounting.Reason, problem string) {
	b, r, arrival := f.backend, parsed.request, &parsed.arrival
	reason = accounting.BadFields
	switch {
	case !complete:
		problem = "parameters are truncated"
	case !handlerKnown:
		reason = accounting.UnknownHandler
		problem = "unknown handler"
	case parsed.problem != "":
		problem = parsed.problem
	case r.id == 0:
		problem = "request id is not 16 hex digits"
	case !parsed.hasStart || arrival.SizeKB == 0:
		problem = "request start time or memory size is missing"
	case !b.guard.hasRequiredKeyField(parsed):
		problem = "idempotency key of a guarded request is missing"
	case arrival.ValueRank == 1 || arrival.SizeKB == maxMemoryKB || parsed.start > maxStartMillis ||
		arrival.Hint > maxCostFactor*b.handlers[r.handler].clientTimeout:
		problem = "a field is out of range"
	case b.requests[r.id] != nil:
		problem = "request id is already in use"
	}
	return reason, problem
}

// rejectionReason returns why a valid request is rejected without the overload controller, accounting.NoReason if it is
// not. A request whose client timeout has passed on arrival is rejected here, since its queue delay would indicate a
// stall of this node to the controller.
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

// rejectMalformed rejects a malformed or unknown request. The connection is closed after maxMalformed such requests,
// and no longer read after malformedCutoff.
func (f *frontend) rejectMalformed(from exchange, ticket accounting.Ticket, id uint64, reason accounting.Reason, problem string) {
	f.backend.stats.BadRequests++
	f.backend.logLimited("request rejected as malformed", "reason", problem)
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

// rejectPartial rejects an incomplete request during shutdown. The request will not run.
func (f *frontend) rejectPartial(partial exchange) {
	ticket := f.openAccountWithoutID(partial.client)
	f.writeResponse(partial, f.rejectionResponse())
	f.trackDelivery(partial.client, ticket, 0, accounting.NotReady)
	f.updatePartialBytes(partial.client)
}

// openAccountWithoutID opens the account of a request whose id and handler are unknown.
func (f *frontend) openAccountWithoutID(client *clientConn) accounting.Ticket {
	return f.backend.ledger.Open(f.backend.wallTime, 0, 0, client.protocol.kind(), accounting.CustomerName{})
}

// abortRequest handles a client's abort of the request or health check on a slot.
func (f *frontend) abortRequest(client *clientConn, slot uint16) {
	if r := client.requests[slot]; r != nil {
		delete(client.requests, slot)
		f.backend.clientGone(r, 0)
	}
	delete(client.deepChecks, slot)
}

// rejectUnknown rejects a request that the processor does not recognize, and closes the connection. The processor
// recognizes each request of the deployment's clients, so this client does not belong to the deployment.
func (f *frontend) rejectUnknown(r *request) {
	delete(r.client.requests, r.slot)
	from := r.exchange()
	from.keepOpen = false
	f.rejectMalformed(from, r.ticket, r.id, accounting.UnknownRequest, "processor does not recognize the request")
	f.backend.finishAnswered(r)
}
