package accounting

import "time"

// maxOpenSlots bounds the slots of open requests: far beyond what a node can hold.
const maxOpenSlots = 1 << 20

// Ticket is the right to move one request of a ledger on. The zero Ticket is for no request.
type Ticket struct {
	slot       uint32
	generation uint32 // tells the requests of a slot apart
}

// Valid reports whether the ticket was given for a request, open or not.
func (t Ticket) Valid() bool { return t.generation != 0 }

// requestState is the state of the request in a slot. The numbers are stored.
//
//	state           entry    next state
//	slotFree        open     awaitingAnswer
//	awaitingAnswer  answer   answered
//	awaitingAnswer  close    slotFree
//	answered        sent     slotFree
//	answered        close    slotFree
//
// Every other combination is an error: see EntryKind.allowedIn.
type requestState uint8

const (
	slotFree       requestState = iota // no request
	awaitingAnswer                     // received, its final response is not written
	answered                           // its final response is written, and not yet handed over completely
)

// allowedIn reports whether an entry of the kind may change a request in the given state.
func (k EntryKind) allowedIn(state requestState) bool {
	switch k {
	case EntryOpen:
		return state == slotFree
	case EntryResponseWritten:
		return state == awaitingAnswer
	case EntryResponseSent:
		return state == answered
	case EntryClose:
		return state != slotFree
	}
	return false
}

// openRequest is what the ledger knows of the request in a slot.
type openRequest struct {
	id         uint64
	openedAt   time.Duration
	generation uint32
	comparison uint32 // number of the last comparison that saw it
	handler    uint16
	customer   uint16
	frontend   Frontend
	reason     Reason // of its response; only if answered
	state      requestState
}

// Open records that a request was received at the given time, with its id and the numbers of its handler and customer.
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

// ResponseWritten records that the final response is written, with its reason. The request stays open until Sent or Close. It
// reports whether the transition is allowed; one that isn't changes nothing and is recorded as a mismatch.
func (l *Ledger) ResponseWritten(at time.Duration, ticket Ticket, reason Reason) bool {
	return l.transition(at, ticket, EntryResponseWritten, reason)
}

// ResponseSent records that the last byte of a response was handed to the operating system, and closes the request with the reason
// of the response. It reports whether the transition is allowed, like Answer.
func (l *Ledger) ResponseSent(at time.Duration, ticket Ticket) bool {
	return l.transition(at, ticket, EntryResponseSent, NoReason)
}

// Close closes a request that gets no response, or whose response was not handed over. It reports whether the transition is
// allowed, like Answer.
func (l *Ledger) Close(at time.Duration, ticket Ticket, reason Reason) bool {
	return l.transition(at, ticket, EntryClose, reason)
}

// transition commits an entry that moves an open request on, if it is allowed.
func (l *Ledger) transition(at time.Duration, ticket Ticket, kind EntryKind, reason Reason) bool {
	if !ticket.Valid() || int(ticket.slot) >= len(l.requests) {
		l.recordMismatch(at, "transition of a request that was never opened", int64(kind), 0)
		return false
	}
	request := &l.requests[ticket.slot]
	current := request.generation == ticket.generation
	reasoned := kind == EntryResponseSent || reason.Category() != 0
	if !current || !reasoned || !kind.allowedIn(request.state) {
		what := "transition not allowed: " + kind.String() + " for reason " + reason.String()
		l.recordMismatch(at, what, int64(ticket.slot), int64(request.state))
		return false
	}
	l.commit(Entry{Kind: kind, At: at, Slot: ticket.slot, Reason: reason})
	return true
}

// SetFlushing records that responses are being handed to the operating system from now on, or no longer. It matters only for
// responses that clients left unread: one that has just been written counts as being handed over until Flush ends it, so
// that the common case needs no entry of its own.
func (l *Ledger) SetFlushing(at time.Duration, begins bool) {
	if begins == l.flushing || l.answeredCount == 0 {
		return
	}
	entry := Entry{Kind: EntryFlush, At: at}
	if begins {
		entry.Slot = flushBegins
	}
	l.commit(entry)
}

// beingDelivered reports whether the request's response was being handed over: if the process ends now, nobody knows
// whether the client got it.
func (l *Ledger) beingDelivered(request *openRequest) bool {
	return request.state == answered && l.flushing
}

// OpenIDs returns the ids of the open requests: those whose response was being handed over, so that its delivery is
// uncertain, and all others.
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
