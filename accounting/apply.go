package accounting

import (
	"errors"
	"time"
)

// Errors of Apply.
var (
	// ErrEntryOrder says that the sequence number of an entry does not follow the last one.
	ErrEntryOrder = errors.New("entry out of order")
	// ErrInvalidEntry says that an entry does not fit the state of the ledger.
	ErrInvalidEntry = errors.New("entry does not fit the ledger")
)

// commit numbers an entry, applies it, and retains it if entries are recorded.
func (l *Ledger) commit(entry Entry) {
	entry.Seq = l.seq + 1
	if err := l.Apply(entry); err != nil { // the callers check first: it does not happen
		l.recordMismatch(entry.At, err.Error(), int64(entry.Kind), int64(entry.Slot))
		return
	}
	if l.recording {
		l.pending = append(l.pending, entry)
	}
}

// Apply changes the ledger by one entry. Every change is made here, so that replaying the entries that were recorded after
// a snapshot gives the same ledger. It returns ErrEntryOrder or ErrInvalidEntry, and changes nothing, if the entry can't
// follow.
func (l *Ledger) Apply(entry Entry) error {
	if entry.Seq != l.seq+1 {
		return ErrEntryOrder
	}
	if !l.fits(&entry) {
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
		l.applyAnswer(&entry)
	case EntryResponseSent:
		l.closeSlot(entry.Slot, l.requests[entry.Slot].reason, entry.At)
	case EntryClose:
		l.closeSlot(entry.Slot, entry.Reason, entry.At)
	case EntryFlush:
		l.flushing = entry.Slot == flushBegins
	case EntryMismatch:
		l.mismatches++
	}
	return nil
}

// fits reports whether the ledger can apply the entry, its sequence number aside.
func (l *Ledger) fits(entry *Entry) bool {
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

// stateOf returns the state of the request in a slot. Slots that were never used are free.
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
		generation: max(1, request.generation+1), // 0 is for tickets of no request
		handler:    entry.Handler,
		frontend:   entry.Frontend,
		customer:   l.customers.assign(entry.Customer),
		state:      awaitingAnswer,
	}
	l.countOpened(request)
}

// growSlots makes room for a slot.
func (l *Ledger) growSlots(slot uint32) {
	for int(slot) >= len(l.requests) {
		l.requests = append(l.requests, openRequest{})
	}
}

func (l *Ledger) applyAnswer(entry *Entry) {
	request := &l.requests[entry.Slot]
	request.state = answered
	request.reason = entry.Reason
	l.answeredCount++
	l.flushing = true // see Flush
}

// countOpened counts a request that was received.
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

// closeSlot counts the request in a slot as closed and frees the slot.
func (l *Ledger) closeSlot(slot uint32, reason Reason, at time.Duration) {
	request := &l.requests[slot]
	if request.state == answered {
		l.answeredCount--
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
