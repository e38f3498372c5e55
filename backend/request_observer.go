package backend

import (
	"frosthub/accounting"
	"frosthub/overload"
)

// requestObserver is a part of the backend that keeps state of its own for requests. The core notifies each observer when
// it lets go of a request, in the order of Backend.observers: one of the two methods is called once, when r is no longer
// in the table of requests. Requests whose answer waited for the disk are the exception: the guard lets go of them.
type requestObserver interface {
	// requestWithdrawn follows a request that never ran: it was answered without, or its client has gone.
	requestWithdrawn(r *request)

	// requestEnded follows a request whose run has ended, after its answer.
	requestEnded(r *request, end requestEnd)
}

// requestEnd is how a request ended.
type requestEnd struct {
	outcome    overload.Outcome  // of its run
	reason     accounting.Reason // by which it is accounted for
	mayHaveRun bool              // it may have run, in whole or in part
	result     []byte            // valid until the observer returns
}

// registerObservers lists the parts that are notified of the ends of requests. Their order is part of the behaviour: the
// last one answers the repeats that have joined a request.
func (b *Backend) registerObservers() {
	b.observers = [...]requestObserver{&b.guard, &b.cluster, &b.results}
}

// withdrawRequest lets go of a request that never ran.
func (b *Backend) withdrawRequest(r *request) {
	delete(b.requests, r.id)
	for _, observer := range b.observers {
		observer.requestWithdrawn(r)
	}
}

// endRequest lets go of a request whose run has ended and whose answer is given.
func (b *Backend) endRequest(r *request, end requestEnd) {
	delete(b.requests, r.id)
	for _, observer := range b.observers {
		observer.requestEnded(r, end)
	}
}
