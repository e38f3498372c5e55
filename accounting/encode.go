package accounting

import "google.golang.org/protobuf/encoding/protowire"

// AppendSnapshot appends a message Book with the state of the ledger, except its closed periods, and returns the
// extended buffer.
func (l *Ledger) AppendSnapshot(out []byte) []byte {
	out = appendUint(out, ledgerSeq, l.seq)
	for _, name := range l.handlers {
		out = appendBytes(out, ledgerHandlers, name)
	}
	out = appendCells(out, ledgerCells, l.cells)
	out = appendCounts(out, ledgerTotal, l.total)
	out = appendInt(out, ledgerMismatches, l.mismatches)
	out = appendUint(out, ledgerFlushing, protowire.EncodeBool(l.flushing))
	for slot := range l.requests {
		out = appendRequest(out, slot, &l.requests[slot])
	}
	out = appendUint(out, ledgerMaxCustomers, uint64(l.customers.capacity))
	for index := range l.customers.rows {
		out = appendCustomer(out, &l.customers.rows[index], l.customers.weights[index])
	}
	out = appendPeriods(out, &l.periods)
	for i := range l.incarnations.list {
		out = appendIncarnation(out, &l.incarnations.list[i])
	}
	out = appendCounts(out, ledgerEarlier, l.incarnations.earlier)
	return appendUint(out, ledgerEarlierCount, l.incarnations.earlierCount)
}

// appendCounts appends a message Figures.
func appendCounts(b []byte, number protowire.Number, counts Counts) []byte {
	return appendMessage(b, number, func(b []byte) []byte {
		b = appendInt(b, countsReceived, counts.Received)
		b = appendInt(b, countsServed, counts.Served)
		b = appendInt(b, countsRejected, counts.Rejected)
		b = appendInt(b, countsFailed, counts.Failed)
		return appendInt(b, countsOpen, counts.Open)
	})
}

// appendRequest appends a message Open, unless the slot is free.
func appendRequest(b []byte, slot int, request *openRequest) []byte {
	if request.state == slotFree {
		return b
	}
	return appendMessage(b, ledgerRequests, func(b []byte) []byte {
		b = appendUint(b, requestSlot, uint64(slot))
		b = appendFixed(b, requestID, request.id)
		b = appendInt(b, requestOpenedAt, request.openedAt)
		b = appendUint(b, requestHandler, uint64(request.handler))
		b = appendUint(b, requestFrontend, uint64(request.frontend))
		b = appendUint(b, requestCustomer, uint64(request.customer))
		b = appendUint(b, requestStateField, uint64(request.state))
		return appendUint(b, requestReasonField, uint64(request.reason))
	})
}

// appendCustomer appends a message Customer.
func appendCustomer(b []byte, row *customerRow, weight uint64) []byte {
	return appendMessage(b, ledgerCustomers, func(b []byte) []byte {
		b = appendBytes(b, customerNameField, row.name.bytes[:row.name.length])
		b = appendUint(b, customerWeight, weight)
		return appendCounts(b, customerCounts, row.Counts)
	})
}

// appendPeriods appends the fields of the periods, except those of the closed periods. It appends nothing if counting by
// period is disabled.
func appendPeriods(b []byte, p *periodRing) []byte {
	if !p.enabled() {
		return b
	}
	b = appendUint(b, ledgerMaxPeriods, uint64(p.capacity))
	b = appendInt(b, ledgerPeriodLength, p.length)
	b = appendUint(b, ledgerFirstPeriod, p.first)
	b = appendUint(b, ledgerNextPeriod, p.next)
	b = appendInt(b, ledgerCurrentStart, p.start)
	b = appendCells(b, ledgerCurrentCells, p.current)
	return appendCells(b, ledgerExpiredCells, p.expired)
}

// appendIncarnation appends a message Life.
func appendIncarnation(b []byte, incarnation *Incarnation) []byte {
	return appendMessage(b, ledgerIncarnations, func(b []byte) []byte {
		b = appendUint(b, incarnationNumber, incarnation.Number)
		b = appendInt(b, incarnationBoot, incarnation.Boot)
		b = appendInt(b, incarnationStarted, incarnation.Started)
		b = appendInt(b, incarnationLastEntry, incarnation.LastEntry)
		b = appendUint(b, incarnationStateField, uint64(incarnation.State))
		b = appendInt(b, incarnationUncertain, incarnation.Uncertain)
		for _, id := range incarnation.UncertainIDs {
			b = appendFixed(b, incarnationUncertainIDs, id)
		}
		return appendCounts(b, incarnationCounts, incarnation.Counts)
	})
}

// MaxSnapshotSize returns the largest size in bytes of a snapshot of the ledger with the given number of open requests.
func (l *Ledger) MaxSnapshotSize(open int) int {
	const (
		fixedSize       = 4096
		cellCopies      = 3 // the total, the current period, the expired periods
		handlerSize     = 64
		customerSize    = 128
		requestSize     = 80
		incarnationSize = 192
		uncertainIDSize = 9
	)
	size := fixedSize
	size += cellCopies * maxCellSize * len(l.cells)
	size += handlerSize * len(l.handlers)
	size += customerSize * (l.customers.capacity + 1)
	size += requestSize * open
	size += maxIncarnations * (incarnationSize + uncertainIDSize*maxUncertainIDs)
	return size
}
