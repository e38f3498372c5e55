package backend

import (
	"time"

	"frosthub/accounting"
	"frosthub/lifecycle"
)

// statusText has the reason phrase of each status that is answered.
var statusText = map[int]string{
	200: "OK",
	400: "Bad Request",
	403: "Forbidden",
	404: "Not Found",
	500: "Internal Server Error",
	503: "Service Unavailable",
}

// response is an answer, the same for all protocols.
type response struct {
	status     int
	signal     []byte        // the load signal as it is written; empty before the first
	retryAfter time.Duration // of a rejection: when to come back; 0 if nothing is said
	dontRetry  bool          // of a rejection: not elsewhere either
	body       []byte
}

// respondSuccess answers a request with the result of its run.
func (f *frontend) respondSuccess(r *request, reason accounting.Reason, result []byte) {
	r.client.malformedRequests = 0
	f.sendFinalResponse(r, reason, &response{status: 200, body: result})
}

// respondFailure answers a request whose run failed or whose result can't be given.
func (f *frontend) respondFailure(r *request, reason accounting.Reason) {
	f.sendFinalResponse(r, reason, &response{status: 500})
}

// respondWithoutResult answers a request without a result where the overload controller has nothing, or nothing any more, to
// decide. Whether that is a rejection or a failure follows from the reason.
func (f *frontend) respondWithoutResult(r *request, reason accounting.Reason) {
	if reason.Category() == accounting.Rejected {
		f.sendFinalResponse(r, reason, &response{status: 503, retryAfter: f.backend.drain.retryAfter})
		return
	}
	f.respondFailure(r, reason)
}

// respondShed answers a request that the overload controller rejects.
func (f *frontend) respondShed(r *request, retryAfter time.Duration, dontRetry bool) {
	f.sendFinalResponse(r, accounting.Shed, &response{status: 503, retryAfter: retryAfter, dontRetry: dontRetry})
}

// rejectNotReady answers a request that was not started before the process exits.
func (f *frontend) rejectNotReady(r *request) {
	f.sendFinalResponse(r, accounting.NotReady, f.rejectionResponse())
}

// rejectionResponse returns the response to a request that the overload controller does not hear of. A process that ends says
// how long to stay away from its address.
func (f *frontend) rejectionResponse() *response {
	rejection := &response{status: 503}
	if f.backend.process.CheckAccept() != lifecycle.Allowed {
		rejection.retryAfter = f.backend.drain.retryAfter
	}
	return rejection
}

// sendFinalResponse sends the one final answer of a request.
func (f *frontend) sendFinalResponse(r *request, reason accounting.Reason, answer *response) {
	waits := r.client != nil
	answered := waits && r.client.requests[r.slot] != r
	if verdict := lifecycle.CheckAnswer(answered, waits); verdict != lifecycle.Allowed {
		f.backend.recordViolation("answer", r, verdict)
		return
	}
	delete(r.client.requests, r.slot)
	f.writeResponse(r.exchange(), answer)
	f.trackDelivery(r.client, r.ticket, r.id, reason)
}

// writeResponse writes a response, with the load signal.
func (f *frontend) writeResponse(to exchange, answer *response) {
	answer.signal = f.backend.advice.loadSignal
	f.backend.scratch = to.client.protocol.appendResponse(f.backend.scratch[:0], to.slot, to.keepOpen, answer)
	f.writeScratch(to)
}

// writeScratch sends what is in the scratch buffer, and closes a connection that is not to stay once nothing is open
// there.
func (f *frontend) writeScratch(to exchange) {
	to.client.lastUsed = f.backend.now
	to.client.conn.Write(f.backend.scratch)
	if !to.keepOpen || to.client.readStopped {
		to.client.conn.CloseGracefully(errNotKeptAlive)
	}
}
