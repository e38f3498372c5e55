package backend

import (
	"time"

	"frosthub/accounting"
	"frosthub/lifecycle"
)

// statusText has the reason phrase of each status code in use.
var statusText = map[int]string{
	200: "OK",
	400: "Bad Request",
	403: "Forbidden",
	404: "Not Found",
	500: "Internal Server Error",
	503: "Service Unavailable",
}

// response is a response to a client, independent of its protocol.
type response struct {
	status     int
	signal     []byte        // formatted load signal; empty before the first
	retryAfter time.Duration // minimum delay before a retry of a rejected request; 0 if not stated
	dontRetry  bool          // the rejected request must not be retried at another node either
	body       []byte
}

// respondSuccess answers a request with the result of its run.
func (f *frontend) respondSuccess(r *request, reason accounting.Reason, result []byte) {
	r.client.malformedRequests = 0
	f.sendFinalResponse(r, reason, &response{status: 200, body: result})
}

// respondFailure answers a request whose run failed or whose result is not available.
func (f *frontend) respondFailure(r *request, reason accounting.Reason) {
	f.sendFinalResponse(r, reason, &response{status: 500})
}

// respondWithoutResult answers a request that has no result and that the overload controller no longer decides on. The
// category of the reason determines whether the response is a rejection or a failure.
func (f *frontend) respondWithoutResult(r *request, reason accounting.Reason) {
	if reason.Category() == accounting.Rejected {
		f.sendFinalResponse(r, reason, &response{status: 503, retryAfter: f.backend.drain.retryAfter})
		return
	}
	f.respondFailure(r, reason)
}

// respondShed answers a request that the overload controller rejected.
func (f *frontend) respondShed(r *request, retryAfter time.Duration, dontRetry bool) {
	f.sendFinalResponse(r, accounting.Shed, &response{status: 503, retryAfter: retryAfter, dontRetry: dontRetry})
}

// rejectNotReady rejects a request that was not started before the process exits.
func (f *frontend) rejectNotReady(r *request) {
	f.sendFinalResponse(r, accounting.NotReady, f.rejectionResponse())
}

// rejectionResponse returns the response to a request that is rejected without the overload controller. It has a
// retry-after time while the process is shutting down.
func (f *frontend) rejectionResponse() *response {
	rejection := &response{status: 503}
	if f.backend.process.CheckAccept() != lifecycle.Allowed {
		rejection.retryAfter = f.backend.drain.retryAfter
	}
	return rejection
}

// sendFinalResponse sends the only final response to a request.
func (f *frontend) sendFinalResponse(r *request, reason accounting.Reason, resp *response) {
	clientWaits := r.client != nil
	answered := clientWaits && r.client.requests[r.slot] != r
	if decision := lifecycle.CheckAnswer(answered, clientWaits); decision != lifecycle.Allowed {
		f.backend.recordViolation("answer", r, decision)
		return
	}
	delete(r.client.requests, r.slot)
	f.writeResponse(r.exchange(), resp)
	f.trackDelivery(r.client, r.ticket, r.id, reason)
}

// writeResponse writes a response with the current load signal.
func (f *frontend) writeResponse(to exchange, resp *response) {
	resp.signal = f.backend.advice.loadSignal
	f.backend.scratch = to.client.protocol.appendResponse(f.backend.scratch[:0], to.slot, to.keepOpen, resp)
	f.writeScratch(to)
}

// writeScratch sends the contents of the scratch buffer. If the connection is not kept open, it is closed as soon as no
// request is open on it.
func (f *frontend) writeScratch(to exchange) {
	to.client.lastUsed = f.backend.now
	to.client.conn.Write(f.backend.scratch)
	if !to.keepOpen || to.client.readStopped {
		to.client.conn.CloseGracefully(errNotKeptAlive)
	}
}
