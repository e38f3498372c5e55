package accounting

import "time"

// maxOpenSlots is the maximum number of slots for open requests. It is far more than a node can hold.
const maxOpenSlots = 1 << 20

// Ticket identifies a request of a ledger in the calls that change its state. The zero Ticket identifies no request.
type Ticket struct {
	slot       uint32
	generation uint32 // distinguishes the requests that have used the slot
}

// Valid reports whether the ticket identifies a request, open or closed.
func (t Ticket) Valid() bool { return t.generation != 0 }

// requestState is the state of the request in a slot. The numbers are stored.
//
//	state             entry    next state
//	slotFree          open     awaitingResponse
//	awaitingResponse  answer   responseWritten
//	awaitingResponse  close    slotFree
//	responseWritten   sent     slotFree
//	responseWritten   close    slotFree
//
// The entries are given by the names of their kinds. EntryKind.allowedIn rejects all other combinations.
type requestState uint8

const (
	slotFree         requestState = iota // no request
	awaitingResponse                     // the request was received, and its final response is not written
	responseWritten                      // the final response is written, but not yet handed to the operating system completely
)

// allowedIn reports whether an entry of the kind may change a request in the given state.
func (k EntryKind) allowedIn(state requestState) bool {
	switch k {
	case EntryOpen:
		return state == slotFree
	case EntryResponseWritten:
		return state == awaitingResponse
	case EntryResponseSent:
		return state == responseWritten
	case EntryClose:
		return state != slotFree
	}
	return false
}

// openRequest is the ledger's record of the request in a slot.
type openRequest struct {
	id             uint64
	openedAt       time.Duration
	generation     uint32
	lastComparison uint32 // number of the last call of CompareOpenRequests that included the request
	handler        uint16
	customer       uint16
	frontend       Frontend
	reason         Reason // reason of the response; only in state responseWritten
	state          requestState
}

// Open records that a request with the given id was received at the given time, and returns its ticket. handler is the
// index of its handler.
func (l *Ledger) Open(at time.Duration, id uint64, handler uint16, frontend Frontend, customer CustomerName) Ticket {
	slot := uint32(len(l.requests))
	if n := len(l.freeSlots); n > 0 {
		slot = l.freeSlots[n-1]
		l.freeSlots = l.freeSlots[:n-1]
	}
	l.commit(Entry{
		Kind:     EntryOpen,
		At:       at,
		ID:       id,
		Slot:     slot,
		Handler:  handler,
		Frontend: frontend,
		Customer: customer,
	})
	return Ticket{slot: slot, generation: l.requests[slot].generation}
}

// ResponseWritten records that the final response to a request was written, with its reason. The request stays open
// until ResponseSent or Close. ResponseWritten reports whether the transition is allowed; a transition that is not
// allowed changes nothing and is recorded as a mismatch.
func (l *Ledger) ResponseWritten(at time.Duration, ticket Ticket, reason Reason) bool {
	return l.transition(at, ticket, EntryResponseWritten, reason)
}

// ResponseSent records that the last byte of a response was handed to the operating system, and closes the request for
// the reason of the response. Like ResponseWritten, it reports whether the transition is allowed.
func (l *Ledger) ResponseSent(at time.Duration, ticket Ticket) bool {
	return l.transition(at, ticket, EntryResponseSent, NoReason)
}

// Close closes a request that gets no response, or whose response was not handed to the operating system completely.
// Like ResponseWritten, it reports whether the transition is allowed.
func (l *Ledger) Close(at time.Duration, ticket Ticket, reason Reason) bool {
	return l.transition(at, ticket, EntryClose, reason)
}

// transition commits an entry that changes the state of an open request, and reports whether the transition is allowed.
// It records a mismatch if the transition is not allowed.
func (l *Ledger) transition(at time.Duration, ticket Ticket, kind EntryKind, reason Reason) bool {
	if !ticket.Valid() || int(ticket.slot) >= len(l.requests) {
		l.recordMismatch(at, "transition of a request that was never opened", int64(kind), 0)
		return false
	}
	request := &l.requests[ticket.slot]
	current := request.generation == ticket.generation
	reasonValid := kind == EntryResponseSent || reason.Category() != 0
	if !current || !reasonValid || !kind.allowedIn(request.state) {
		what := "transition not allowed: " + kind.String() + " for reason " + reason.String()
		l.recordMismatch(at, what, int64(ticket.slot), int64(request.state))
		return false
	}
	l.commit(Entry{Kind: kind, At: at, Slot: ticket.slot, Reason: reason})
	return true
}

// SetFlushing records that the node begins or ends handing responses to the operating system. A response that was just
// written counts as being handed over until SetFlushing ends the flush, so that the common case needs no entry of its
// own. SetFlushing adds an entry only while there are written responses that are not handed over completely.
func (l *Ledger) SetFlushing(at time.Duration, flushing bool) {
	if flushing == l.flushing || l.responseWrittenCount == 0 {
		return
	}
	entry := Entry{Kind: EntryFlush, At: at}
	if flushing {
		entry.Slot = flushStart
	}
	l.commit(entry)
}

// beingDelivered reports whether the response of the request is being handed to the operating system. If the process
// ends now, it is unknown whether the client receives the response.
func (l *Ledger) beingDelivered(request *openRequest) bool {
	return request.state == responseWritten && l.flushing
}

// OpenIDs returns the ids of the open requests. uncertain are those whose response is being handed to the operating
// system, so that its delivery is uncertain; others are all others.
func (l *Ledger) OpenIDs() (uncertain, others []uint64) {
	for slot := range l.requests {
		request := &l.requests[slot]
		switch {
		case l.beingDelivered(request):
			uncertain = append(uncertain, request.id)
		case request.state != slotFree:
			others = append(others, request.id)
		}
	}
	return uncertain, others
}
