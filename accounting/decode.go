package accounting

import (
	"fmt"
	"math"
	"time"
)

// corrupt returns an ErrCorrupt that says what is wrong.
func corrupt(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, args...))
}

// Restore returns the ledger of a snapshot that was made by AppendSnapshot. period returns a closed period by its number,
// encoded as PeriodData gave it, or nil if it is lost. The entries that followed the snapshot can then be applied, and
// EndReplay ends that. An ErrCorrupt says that the snapshot or a period is not valid, or that its counts do not add up.
func Restore(snapshot []byte, period func(number uint64) []byte) (*Ledger, error) {
	dimensions, err := decodeDimensions(snapshot)
	if err != nil {
		return nil, err
	}
	l, err := New(dimensions.cfg)
	if err != nil {
		return nil, corrupt("%v", err)
	}
	l.handlers = dimensions.handlers
	l.allocateRows()
	if err := l.periods.restore(dimensions.firstPeriod, dimensions.nextPeriod, period); err != nil {
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
		return nil, corrupt("%s: %d and %d", mismatch.What, mismatch.Left, mismatch.Right)
	}
	return l, nil
}

// dimensions are the fields of a snapshot that give the others their size.
type dimensions struct {
	cfg                     Config // without handlers
	handlers                []string
	firstPeriod, nextPeriod uint64
}

// decodeDimensions decodes the fields of a snapshot that give the others their size.
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
			return corrupt("more than %d handlers", maxHandlerRows)
		}
		return nil
	})
	if err != nil {
		return d, err
	}
	if len(d.handlers) == 0 || d.handlers[0] != unknownHandler {
		return d, corrupt("no handlers")
	}
	if d.nextPeriod < d.firstPeriod || d.nextPeriod-d.firstPeriod > uint64(d.cfg.MaxPeriods) {
		return d, corrupt("periods %d to %d of %d", d.firstPeriod, d.nextPeriod, d.cfg.MaxPeriods)
	}
	return d, nil
}

// restore takes the closed periods from first to before next into an empty ring.
func (p *periodRing) restore(first, next uint64, encoded func(number uint64) []byte) error {
	p.first = first
	p.next = next
	for number := first; number < next; number++ {
		data := encoded(number)
		period, err := decodePeriod(data)
		if err != nil || addCells(p.retained, period.cells) != nil {
			return corrupt("period %d", number)
		}
		p.encoded[p.slot(number)] = append([]byte(nil), data...)
	}
	return nil
}

// snapshotDecoder decodes the fields of a snapshot into a ledger that has its dimensions.
type snapshotDecoder struct {
	ledger       *Ledger
	customersRow bool // the row of all other customers, which is the first, was decoded
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
	request := openRequest{generation: 1} // tickets do not outlive a process
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
		return corrupt("an open request")
	}
	l.growSlots(uint32(slot))
	if l.requests[slot].state != slotFree {
		return corrupt("two open requests in one slot")
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
	case awaitingAnswer:
		return known
	case answered:
		return known && request.reason.Category() != 0
	}
	return false
}

// decodeCustomer decodes a message Customer. The first is the row of all others.
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
	if !d.customersRow {
		d.customersRow = true
		table.rows[otherCustomersRow] = row
		return nil
	}
	if _, twice := table.byName[row.name]; twice || table.full() {
		return corrupt("customers")
	}
	table.add(row, weight)
	return nil
}

// decode decodes a message Life and appends it.
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
		case incarnationEnding:
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
		return corrupt("incarnations")
	}
	il.list = append(il.list, incarnation)
	return nil
}

// recomputeRows computes what a snapshot does not hold.
func (l *Ledger) recomputeRows() {
	for row := range l.rows {
		l.rows[row] = sumCells(l.cells, row)
	}
	l.EndReplay()
}

// EndReplay ends a replay of entries: from here on, free slots are given to new requests.
func (l *Ledger) EndReplay() {
	l.freeSlots = l.freeSlots[:0]
	l.answeredCount = 0
	for slot := range l.requests {
		switch l.requests[slot].state {
		case slotFree:
			l.freeSlots = append(l.freeSlots, uint32(slot))
		case answered:
			l.answeredCount++
		}
	}
}
