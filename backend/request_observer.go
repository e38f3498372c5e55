package backend

import (
	"frosthub/accounting"
	"frosthub/overload"
)

// requestObserver is a part of the backend that keeps state of its own for requests. The core alone lets go of requests,
// and tells each observer in the order of Backend.observers. Both methods are called once r is no longer in the table
// of requests; exactly one of them is called for each request that the core lets go.
type requestObserver interface {
	// requestWithdrawn follows a request that never ran: it was answered without, or its client has gone.
	requestWithdrawn(r *request)

	// requestEnded follows a request whose run has ended, after its answer.
	requestEnded(r *request, end requestEnd)
}

// requestEnd is how a request ended.
type requestEnd struct {
	outcome overload.Outcome  // of its run
	reason  accounting.Reason // by which it is accounted for
	ran     bool              // it may have run, in whole or in part
	result  []byte            // valid until the observer returns
}

// observe has the parts that keep state for requests hear of their ends. Their order is part of the behaviour: the last
// one answers the repeats that have joined a request.
func (b *Backend) observe() {
	b.observers = [...]requestObserver{&b.guard, &b.cluster, &b.results}
}

// withdraw lets go of a request that never ran.
func (b *Backend) withdraw(r *request) {
	delete(b.requests, r.id)
	for _, observer := range b.observers {
		observer.requestWithdrawn(r)
	}
}

// end lets go of a request whose run has ended and whose answer is given.
func (b *Backend) end(r *request, end requestEnd) {
	delete(b.requests, r.id)
	for _, observer := range b.observers {
		observer.requestEnded(r, end)
	}
}
