package accounting

import (
	"fmt"
	"math"
	"time"
)

// corruptError returns an error that wraps ErrCorrupt and describes the invalid part.
func corruptError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, args...))
}

// Restore returns the ledger of a snapshot made by AppendSnapshot. periodData must return the closed period with the
// given number as PeriodData encoded it, or nil if the period is lost. The caller can then apply the entries that
// followed the snapshot, and must call EndReplay after the last of them. Restore returns an error that wraps ErrCorrupt
// if the snapshot or a period is not valid, or if the counts do not add up.
func Restore(snapshot []byte, periodData func(number uint64) []byte) (*Ledger, error) {
	dimensions, err := decodeDimensions(snapshot)
	if err != nil {
		return nil, err
	}
	l, err := New(dimensions.cfg)
	if err != nil {
		return nil, corruptError("%v", err)
	}
	l.handlers = dimensions.handlers
	l.allocateRows()
	if err := l.periods.restore(dimensions.firstPeriod, dimensions.nextPeriod, periodData); err != nil {
		return nil, err
	}
	decoder := snapshotDecoder{ledger: l}
	if err := forEachField(snapshot, decoder.decodeField); err != nil {
		return nil, err
	}
	l.recomputeRows()
	l.Audit(0)
	if len(l.unreported) > 0 {
		mismatch := l.unreported[0]
		return nil, corruptError("%s: %d and %d", mismatch.What, mismatch.Left, mismatch.Right)
	}
	return l, nil
}

// dimensions are the fields of a snapshot that determine the sizes of the other fields.
type dimensions struct {
	cfg                     Config // without handlers
	handlers                []string
	firstPeriod, nextPeriod uint64
}

// decodeDimensions decodes the fields of a snapshot that determine the sizes of the other fields.
func decodeDimensions(snapshot []byte) (dimensions, error) {
	var d dimensions
	err := forEachField(snapshot, func(f field) error {
		switch f.number {
		case ledgerHandlers:
			d.handlers = append(d.handlers, string(f.bytes))
		case ledgerMaxCustomers:
			d.cfg.MaxCustomers = int(min(f.value, math.MaxInt32))
		case ledgerMaxPeriods:
			d.cfg.MaxPeriods = int(min(f.value, math.MaxInt32))
		case ledgerPeriodLength:
			d.cfg.PeriodLength = time.Duration(f.value)
		case ledgerFirstPeriod:
			d.firstPeriod = f.value
		case ledgerNextPeriod:
			d.nextPeriod = f.value
		}
		if len(d.handlers) > maxHandlerRows {
			return corruptError("more than %d handlers", maxHandlerRows)
		}
		return nil
	})
	if err != nil {
		return d, err
	}
	if len(d.handlers) == 0 || d.handlers[0] != unknownHandler {
		return d, corruptError("the handlers do not begin with the unknown handler")
	}
	if d.nextPeriod < d.firstPeriod || d.nextPeriod-d.firstPeriod > uint64(d.cfg.MaxPeriods) {
		return d, corruptError("closed periods %d to %d exceed the limit of %d", d.firstPeriod, d.nextPeriod, d.cfg.MaxPeriods)
	}
	return d, nil
}

// restore fills an empty ring with the closed periods from first up to, but not including, next.
func (p *periodRing) restore(first, next uint64, encoded func(number uint64) []byte) error {
	p.first = first
	p.next = next
	for number := first; number < next; number++ {
		data := encoded(number)
		period, err := decodePeriod(data)
		if err != nil || addCells(p.retained, period.cells) != nil {
			return corruptError("period %d is lost or not valid", number)
		}
		p.encoded[p.slot(number)] = append([]byte(nil), data...)
	}
	return nil
}

// snapshotDecoder decodes the fields of a snapshot into a ledger that has the dimensions of the snapshot.
type snapshotDecoder struct {
	ledger        *Ledger
	othersDecoded bool // the first row, which counts the customers without a row of their own, was decoded
}

func (d *snapshotDecoder) decodeField(f field) (err error) {
	l := d.ledger
	switch f.number {
	case ledgerSeq:
		l.seq = f.value
	case ledgerCells:
		return addCells(l.cells, f.bytes)
	case ledgerTotal:
		l.total, err = decodeCounts(f.bytes)
	case ledgerMismatches:
		l.mismatches = int64(f.value)
	case ledgerFlushing:
		l.flushing = f.value == 1
	case ledgerRequests:
		return l.decodeOpenRequest(f.bytes)
	case ledgerCustomers:
		return d.decodeCustomer(f.bytes)
	case ledgerCurrentStart:
		l.periods.start = time.Duration(f.value)
	case ledgerCurrentCells:
		return addCells(l.periods.current, f.bytes)
	case ledgerExpiredCells:
		return addCells(l.periods.expired, f.bytes)
	case ledgerIncarnations:
		return l.incarnations.decode(f.bytes)
	case ledgerEarlier:
		l.incarnations.earlier, err = decodeCounts(f.bytes)
	case ledgerEarlierCount:
		l.incarnations.earlierCount = f.value
	}
	return err
}

// decodeCounts decodes a message Figures.
func decodeCounts(message []byte) (Counts, error) {
	var counts Counts
	err := forEachField(message, func(f field) error {
		if f.value > math.MaxInt64 {
			return ErrCorrupt
		}
		n := int64(f.value)
		switch f.number {
		case countsReceived:
			counts.Received = n
		case countsServed:
			counts.Served = n
		case countsRejected:
			counts.Rejected = n
		case countsFailed:
			counts.Failed = n
		case countsOpen:
			counts.Open = n
		default:
			return ErrCorrupt
		}
		return nil
	})
	return counts, err
}

// decodeOpenRequest decodes a message Open into its slot.
func (l *Ledger) decodeOpenRequest(message []byte) error {
	var slot uint64
	request := openRequest{generation: 1} // generations start again, because tickets do not outlive the process
	err := forEachField(message, func(f field) error {
		if f.number != requestID && f.number != requestOpenedAt && f.value > math.MaxUint32 {
			return ErrCorrupt
		}
		switch f.number {
		case requestSlot:
			slot = f.value
		case requestID:
			request.id = f.value
		case requestOpenedAt:
			request.openedAt = time.Duration(f.value)
		case requestHandler:
			request.handler = uint16(min(f.value, math.MaxUint16))
		case requestFrontend:
			request.frontend = Frontend(min(f.value, frontendCount))
		case requestCustomer:
			request.customer = uint16(min(f.value, math.MaxUint16))
		case requestStateField:
			request.state = requestState(min(f.value, math.MaxUint8))
		case requestReasonField:
			request.reason = Reason(min(f.value, math.MaxUint8))
		}
		return nil
	})
	if err != nil {
		return err
	}
	if slot >= maxOpenSlots || !l.validRequest(&request) {
		return corruptError("an open request is not valid")
	}
	l.growSlots(uint32(slot))
	if l.requests[slot].state != slotFree {
		return corruptError("two open requests in one slot")
	}
	l.requests[slot] = request
	return nil
}

// validRequest reports whether a decoded open request fits the ledger.
func (l *Ledger) validRequest(request *openRequest) bool {
	known := int(request.handler) < len(l.handlers) &&
		request.frontend < frontendCount &&
		int(request.customer) <= l.customers.capacity
	switch request.state {
	case awaitingResponse:
		return known
	case responseWritten:
		return known && request.reason.Category() != 0
	}
	return false
}

// decodeCustomer decodes a message Customer. The first one is the row of the customers without a row of their own.
func (d *snapshotDecoder) decodeCustomer(message []byte) error {
	var row customerRow
	var weight uint64
	err := forEachField(message, func(f field) (err error) {
		switch f.number {
		case customerNameField:
			row.name = NewCustomerName(f.bytes)
		case customerWeight:
			weight = f.value
		case customerCounts:
			row.Counts, err = decodeCounts(f.bytes)
		}
		return err
	})
	if err != nil {
		return err
	}
	table := &d.ledger.customers
	if !d.othersDecoded {
		d.othersDecoded = true
		table.rows[otherCustomersRow] = row
		return nil
	}
	if _, duplicate := table.byName[row.name]; duplicate || table.full() {
		return corruptError("customers")
	}
	table.add(row, weight)
	return nil
}

// decode decodes a message Life and appends it to the list.
func (il *incarnationList) decode(message []byte) error {
	var incarnation Incarnation
	err := forEachField(message, func(f field) (err error) {
		switch f.number {
		case incarnationNumber:
			incarnation.Number = f.value
		case incarnationBoot:
			incarnation.Boot = time.Duration(f.value)
		case incarnationStarted:
			incarnation.Started = time.Duration(f.value)
		case incarnationLastEntry:
			incarnation.LastEntry = time.Duration(f.value)
		case incarnationStateField:
			incarnation.State = IncarnationState(min(f.value, uint64(Rebooted)))
		case incarnationUncertain:
			incarnation.Uncertain = int64(f.value)
		case incarnationUncertainIDs:
			incarnation.UncertainIDs = append(incarnation.UncertainIDs, f.value)
		case incarnationCounts:
			incarnation.Counts, err = decodeCounts(f.bytes)
		}
		return err
	})
	if err != nil {
		return err
	}
	if len(il.list) >= maxIncarnations || len(incarnation.UncertainIDs) > maxUncertainIDs {
		return corruptError("incarnations")
	}
	il.list = append(il.list, incarnation)
	return nil
}

// recomputeRows computes the state that a snapshot does not contain: the counts by row, the free slots and the number of
// written responses.
func (l *Ledger) recomputeRows() {
	for row := range l.rows {
		l.rows[row] = sumCells(l.cells, row)
	}
	l.EndReplay()
}

// EndReplay must be called after the last entry of a replay. It computes the free slots, which Open assigns to new
// requests.
func (l *Ledger) EndReplay() {
	l.freeSlots = l.freeSlots[:0]
	l.responseWrittenCount = 0
	for slot := range l.requests {
		switch l.requests[slot].state {
		case slotFree:
			l.freeSlots = append(l.freeSlots, uint32(slot))
		case responseWritten:
			l.responseWrittenCount++
		}
	}
}
