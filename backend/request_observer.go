package backend

import (
	"frosthub/accounting"
	"frosthub/overload"
)

// requestObserver is a component of the backend that keeps per-request state. When a request is removed from the request
// table, exactly one of the two methods is called on each observer, in the order of Backend.observers. Requests whose
// response waited for a durable result are the exception: the idempotency guard removes them without a notification.
type requestObserver interface {
	// requestWithdrawn is called for a request that never ran: it was answered without a run, or its client disconnected.
	requestWithdrawn(r *request)

	// requestEnded is called for a request whose run has ended, after its response.
	requestEnded(r *request, end requestEnd)
}

// requestEnd describes the end of a request.
type requestEnd struct {
	outcome    overload.Outcome  // outcome of the run
	reason     accounting.Reason // accounting reason
	mayHaveRun bool              // the request may have run, in whole or in part
	result     []byte            // result of the run; valid until the observer returns
}

// registerObservers sets the order in which observers are notified. The result cache comes last because it answers the
// repeats that have joined a request.
func (b *Backend) registerObservers() {
	b.observers = [...]requestObserver{&b.guard, &b.cluster, &b.results}
}

// withdrawRequest removes a request that never ran and notifies the observers.
func (b *Backend) withdrawRequest(r *request) {
	delete(b.requests, r.id)
	for _, observer := range b.observers {
		observer.requestWithdrawn(r)
	}
}

// endRequest removes a request that was answered and whose run has ended, and notifies the observers.
func (b *Backend) endRequest(r *request, end requestEnd) {
	delete(b.requests, r.id)
	for _, observer := range b.observers {
		observer.requestEnded(r, end)
	}
}
