package accounting

import (
	"errors"
	"time"
)

// Errors returned by Apply.
var (
	// ErrEntryOrder is returned for an entry whose sequence number does not follow that of the last entry.
	ErrEntryOrder = errors.New("entry out of order")
	// ErrInvalidEntry is returned for an entry that the state of the ledger does not allow.
	ErrInvalidEntry = errors.New("entry not allowed in the state of the ledger")
)

// commit assigns the next sequence number to an entry and applies it. If entries are recorded, it also adds the entry to
// the pending ones.
func (l *Ledger) commit(entry Entry) {
	entry.Seq = l.seq + 1
	if err := l.Apply(entry); err != nil { // not reached: the callers check that the entry is allowed
		l.recordMismatch(entry.At, err.Error(), int64(entry.Kind), int64(entry.Slot))
		return
	}
	if l.recording {
		l.pending = append(l.pending, entry)
	}
}

// Apply changes the ledger by one entry. Apply makes all changes of the ledger, so that replaying the entries recorded
// after a snapshot restores the same ledger. If the entry is not allowed, Apply changes nothing and returns
// ErrEntryOrder or ErrInvalidEntry.
func (l *Ledger) Apply(entry Entry) error {
	if entry.Seq != l.seq+1 {
		return ErrEntryOrder
	}
	if !l.canApply(&entry) {
		return ErrInvalidEntry
	}
	l.seq = entry.Seq
	l.trail[entry.Seq%trailLength] = entry
	l.periods.advance(entry.At)
	l.incarnations.current().LastEntry = entry.At
	switch entry.Kind {
	case EntryOpen:
		l.applyOpen(&entry)
	case EntryResponseWritten:
		l.applyResponseWritten(&entry)
	case EntryResponseSent:
		l.closeSlot(entry.Slot, l.requests[entry.Slot].reason, entry.At)
	case EntryClose:
		l.closeSlot(entry.Slot, entry.Reason, entry.At)
	case EntryFlush:
		l.flushing = entry.Slot == flushStart
	case EntryMismatch:
		l.mismatches++
	}
	return nil
}

// canApply reports whether the state of the ledger allows the entry. It does not check the sequence number.
func (l *Ledger) canApply(entry *Entry) bool {
	switch entry.Kind {
	case EntryOpen:
		known := int(entry.Handler) < len(l.handlers) && entry.Frontend < frontendCount
		return known && entry.Slot < maxOpenSlots && entry.Kind.allowedIn(l.stateOf(entry.Slot))
	case EntryResponseWritten, EntryClose:
		return entry.Reason.Category() != 0 && entry.Kind.allowedIn(l.stateOf(entry.Slot))
	case EntryResponseSent:
		return entry.Kind.allowedIn(l.stateOf(entry.Slot))
	case EntryFlush, EntryMismatch:
		return true
	}
	return false
}

// stateOf returns the state of the request in a slot. A slot that was never used is free.
func (l *Ledger) stateOf(slot uint32) requestState {
	if int(slot) >= len(l.requests) {
		return slotFree
	}
	return l.requests[slot].state
}

func (l *Ledger) applyOpen(entry *Entry) {
	l.growSlots(entry.Slot)
	request := &l.requests[entry.Slot]
	*request = openRequest{
		id:         entry.ID,
		openedAt:   entry.At,
		generation: max(1, request.generation+1), // generation 0 is reserved for the zero Ticket
		handler:    entry.Handler,
		frontend:   entry.Frontend,
		customer:   l.customers.assign(entry.Customer),
		state:      awaitingResponse,
	}
	l.countOpened(request)
}

// growSlots extends the slots up to and including the given one.
func (l *Ledger) growSlots(slot uint32) {
	for int(slot) >= len(l.requests) {
		l.requests = append(l.requests, openRequest{})
	}
}

func (l *Ledger) applyResponseWritten(entry *Entry) {
	request := &l.requests[entry.Slot]
	request.state = responseWritten
	request.reason = entry.Reason
	l.responseWrittenCount++
	l.flushing = true // the response counts as being handed over until SetFlushing ends the flush
}

// countOpened adds a request that was received to all counts.
func (l *Ledger) countOpened(request *openRequest) {
	row := rowIndex(request.handler, request.frontend)
	cell := cellIndex(row, NoReason)
	l.cells[cell]++
	l.periods.add(cell, 1)
	l.total.addOpened()
	l.rows[row].addOpened()
	l.customers.rows[request.customer].addOpened()
	l.incarnations.current().addOpened()
}

// closeSlot adds the closing of the request in a slot to all counts and frees the slot.
func (l *Ledger) closeSlot(slot uint32, reason Reason, at time.Duration) {
	request := &l.requests[slot]
	if request.state == responseWritten {
		l.responseWrittenCount--
	}
	request.state = slotFree
	l.freeSlots = append(l.freeSlots, slot)

	row := rowIndex(request.handler, request.frontend)
	cell := cellIndex(row, reason)
	l.cells[cell]++
	l.periods.add(cell, 1)
	l.total.addClosed(reason)
	l.rows[row].addClosed(reason)
	customer := &l.customers.rows[request.customer]
	customer.addClosed(reason)
	l.incarnations.current().addClosed(reason)
	if !l.total.balanced() || !l.rows[row].balanced() || !customer.balanced() {
		l.auditTotals(at)
	}
}
