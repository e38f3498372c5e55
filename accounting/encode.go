package accounting

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrCorrupt is a record that can't be read.
var ErrCorrupt = errors.New("a record that can't be read")

func appendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendInt[T ~int64](b []byte, field protowire.Number, v T) []byte {
	return appendUint(b, field, uint64(v))
}

func appendFixed(b []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), v)
}

// appendMessage appends a message whose content is appended by f.
func appendMessage(b []byte, field protowire.Number, f func(b []byte) []byte) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	const room = 4 // bytes of a padded length: parts are under 256 MB
	at := len(b)
	b = f(append(b, make([]byte, room)...))
	n := len(b) - at - room
	for i := range room {
		b[at+i] = byte(n>>(7*i))&0x7f | 0x80
	}
	b[at+room-1] &= 0x7f
	return b
}

func appendCells(b []byte, field protowire.Number, cells []int64) []byte {
	return appendMessage(b, field, func(b []byte) []byte {
		return appendMessage(b, 1, func(b []byte) []byte {
			for i, n := range cells {
				if n != 0 {
					r, why := i/reasonCount, i%reasonCount
					b = protowire.AppendVarint(b, uint64(r/frontendCount)<<12|uint64(r%frontendCount)<<8|uint64(why))
					b = protowire.AppendVarint(b, uint64(n))
				}
			}
			return b
		})
	})
}

func appendCounts(b []byte, field protowire.Number, f Counts) []byte {
	return appendMessage(b, field, func(b []byte) []byte {
		for i, n := range [...]int64{f.Received, f.Served, f.Rejected, f.Failed, f.Open} {
			b = appendInt(b, protowire.Number(i+1), n)
		}
		return b
	})
}

func appendPeriod(b []byte, start, span time.Duration, cells []int64) []byte {
	return appendCells(appendInt(appendInt(b, 1, start), 2, span), 3, cells)
}

// AppendSnapshot adds all of the book but its closed periods.
func (b *Ledger) AppendSnapshot(out []byte) []byte {
	out = appendUint(out, 1, b.seq)
	for _, h := range b.handlers {
		out = protowire.AppendString(protowire.AppendTag(out, 2, protowire.BytesType), h)
	}
	out = appendCounts(appendCells(out, 3, b.cells), 4, b.total)
	out = appendInt(out, 5, b.mismatches)
	out = appendUint(out, 6, protowire.EncodeBool(b.flushing))
	for slot := range b.requests {
		if e := &b.requests[slot]; e.state != slotFree {
			out = appendMessage(out, 7, func(p []byte) []byte {
				p = appendInt(appendFixed(appendUint(p, 1, uint64(slot)), 2, e.id), 3, e.openedAt)
				p = appendUint(appendUint(appendUint(p, 4, uint64(e.handler)), 5, uint64(e.frontend)), 6, uint64(e.customer))
				return appendUint(appendUint(p, 7, uint64(e.state)), 8, uint64(e.reason))
			})
		}
	}
	out = appendUint(out, 8, uint64(b.customers.capacity))
	for i := range b.customers.list {
		c := &b.customers.list[i]
		out = appendMessage(out, 9, func(p []byte) []byte {
			p = protowire.AppendBytes(protowire.AppendTag(p, 1, protowire.BytesType), c.name.bytes[:c.name.length])
			return appendCounts(appendUint(p, 2, b.customers.weights[i]), 3, c.Counts)
		})
	}
	if p := &b.periods; p.capacity > 0 {
		out = appendInt(appendInt(out, 10, p.capacity), 11, p.length)
		out = appendInt(appendUint(appendUint(out, 12, p.first), 13, p.next), 14, p.start)
		out = appendCells(appendCells(out, 15, p.current), 16, p.expired)
	}
	for i := range b.incarnations.list {
		l := &b.incarnations.list[i]
		out = appendMessage(out, 17, func(p []byte) []byte {
			p = appendInt(appendInt(appendInt(appendUint(p, 1, l.Number), 2, l.Boot), 3, l.Started), 4, l.LastEntry)
			p = appendInt(appendUint(p, 5, uint64(l.Ending)), 6, l.Uncertain)
			for _, id := range l.UncertainIDs {
				p = appendFixed(p, 7, id)
			}
			return appendCounts(p, 8, l.Counts)
		})
	}
	return appendUint(appendCounts(out, 18, b.incarnations.earlier), 19, b.incarnations.earlierCount)
}

// SnapshotSize is how long a snapshot of a book like this one can be with so many open reqs, in bytes.
func (b *Ledger) SnapshotSize(open int) int {
	return 4096 + 3*14*len(b.cells) + 64*len(b.handlers) + 128*(b.customers.capacity+1) + 80*open +
		maxIncarnations*(192+9*maxUncertainIDs)
}

// field is one of a message: a number, or the bytes of a part.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// forEachField calls f for each field of a message.
func forEachField(b []byte, f func(field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrCorrupt
		}
		b = b[n:]
		x := field{number: number}
		switch kind {
		case protowire.VarintType:
			x.value, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			x.value, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			x.bytes, n = protowire.ConsumeBytes(b)
		default:
			return ErrCorrupt
		}
		if n < 0 {
			return ErrCorrupt
		}
		b = b[n:]
		if err := f(x); err != nil {
			return err
		}
	}
	return nil
}

// forEachCell calls f for each cell that is not zero; there are as many rows as the reader says.
func forEachCell(b []byte, f func(cell int, n int64) error) error {
	return forEachField(b, func(x field) error {
		for p := x.bytes; len(p) > 0; {
			key, k := protowire.ConsumeVarint(p)
			if k < 0 {
				return ErrCorrupt
			}
			n, m := protowire.ConsumeVarint(p[k:])
			front, why := key>>8&0xf, key&0xff
			if m < 0 || n > math.MaxInt64 || key>>12 >= maxHandlerRows || front >= frontendCount || why >= reasonCount ||
				why != 0 && Reason(why).Category() == 0 {
				return ErrCorrupt
			}
			p = p[k+m:]
			if err := f((int(key>>12)*frontendCount+int(front))*reasonCount+int(why), int64(n)); err != nil {
				return err
			}
		}
		return nil
	})
}

// addCells adds what is encoded to cells.
func addCells(cells []int64, b []byte) error {
	return forEachCell(b, func(cell int, n int64) error {
		if cell >= len(cells) {
			return ErrCorrupt
		}
		cells[cell] += n
		return nil
	})
}

// decodePeriod gives the parts of an encoded period.
func decodePeriod(b []byte) (start, span time.Duration, cells []byte, err error) {
	err = forEachField(b, func(x field) error {
		switch x.number {
		case 1:
			start = time.Duration(x.value)
		case 2:
			span = time.Duration(x.value)
		case 3:
			cells = x.bytes
		}
		return nil
	})
	if err == nil && (start <= 0 || span <= 0) {
		err = ErrCorrupt
	}
	return start, span, cells, err
}

func decodeCounts(b []byte) (f Counts, err error) {
	err = forEachField(b, func(x field) error {
		to := [...]*int64{&f.Received, &f.Served, &f.Rejected, &f.Failed, &f.Open}
		if x.number > 5 || x.value > math.MaxInt64 {
			return ErrCorrupt
		}
		*to[x.number-1] = int64(x.value)
		return nil
	})
	return f, err
}

// Restore has a book again from a snapshot. period gives a closed period that was recorded, nil if it is lost.
func Restore(snapshot []byte, period func(number uint64) []byte) (*Ledger, error) {
	var handlers []string
	var cfg Config
	var first, next uint64
	wrong := func(what string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(what, args...))
	}
	if err := forEachField(snapshot, func(x field) error { // what gives the others their size
		switch x.number {
		case 2:
			handlers = append(handlers, string(x.bytes))
		case 8:
			cfg.MaxCustomers = int(min(x.value, math.MaxInt32))
		case 10:
			cfg.MaxPeriods = int(min(x.value, math.MaxInt32))
		case 11:
			cfg.PeriodLength = time.Duration(x.value)
		case 12:
			first = x.value
		case 13:
			next = x.value
		}
		if len(handlers) > maxHandlerRows {
			return wrong("more than %d handlers", maxHandlerRows)
		}
		return nil
	}); err != nil {
		return nil, err
	}
	if len(handlers) == 0 || handlers[0] != unknownHandler {
		return nil, wrong("no handlers")
	}
	b, err := New(cfg)
	if err != nil {
		return nil, wrong("%v", err)
	}
	b.handlers = handlers
	b.allocateRows()
	b.periods.init(b.cfg, len(b.cells))
	if next < first || next-first > uint64(cfg.MaxPeriods) {
		return nil, wrong("periods %d to %d of %d", first, next, cfg.MaxPeriods)
	}
	p := &b.periods
	p.first, p.next = first, next
	for n := first; n < next; n++ {
		data := period(n)
		_, _, cells, err := decodePeriod(data)
		if err != nil || addCells(p.retained, cells) != nil {
			return nil, wrong("period %d", n)
		}
		p.encoded[n%uint64(p.capacity)] = append([]byte(nil), data...)
	}
	listed := 0
	if err := forEachField(snapshot, func(x field) error { return b.decodeField(x, &listed) }); err != nil {
		return nil, err
	}
	b.recomputeRows()
	b.Audit(0)
	if len(b.unreported) > 0 {
		d := b.unreported[0]
		return nil, wrong("%s: %d and %d", d.What, d.Left, d.Right)
	}
	return b, nil
}

// decodeField takes a field of a snapshot.
func (b *Ledger) decodeField(x field, customersRead *int) (err error) {
	p := &b.periods
	switch x.number {
	case 1:
		b.seq = x.value
	case 3:
		return addCells(b.cells, x.bytes)
	case 4:
		b.total, err = decodeCounts(x.bytes)
	case 5:
		b.mismatches = int64(x.value)
	case 6:
		b.flushing = x.value == 1
	case 7:
		return b.decodeOpenRequest(x.bytes)
	case 9:
		return b.decodeCustomer(x.bytes, customersRead)
	case 14:
		p.start = time.Duration(x.value)
	case 15:
		return addCells(p.current, x.bytes)
	case 16:
		return addCells(p.expired, x.bytes)
	case 17:
		return b.decodeIncarnation(x.bytes)
	case 18:
		b.incarnations.earlier, err = decodeCounts(x.bytes)
	case 19:
		b.incarnations.earlierCount = x.value
	}
	return err
}

func (b *Ledger) decodeOpenRequest(part []byte) error {
	var slot uint64
	var e openRequest
	if err := forEachField(part, func(x field) error {
		if x.number != 2 && x.number != 3 && x.value > math.MaxUint32 {
			return ErrCorrupt
		}
		switch x.number {
		case 1:
			slot = x.value
		case 2:
			e.id = x.value
		case 3:
			e.openedAt = time.Duration(x.value)
		case 4:
			e.handler = uint16(min(x.value, math.MaxUint16))
		case 5:
			e.frontend = Frontend(min(x.value, frontendCount))
		case 6:
			e.customer = uint16(min(x.value, math.MaxUint16))
		case 7:
			e.state = requestState(min(x.value, 255))
		case 8:
			e.reason = Reason(min(x.value, 255))
		}
		return nil
	}); err != nil {
		return err
	}
	e.generation = 1 // tickets do not outlive a process
	if slot >= maxOpenSlots || int(e.handler) >= len(b.handlers) || e.frontend >= frontendCount || e.state != awaitingAnswer && e.state != answered ||
		e.state == answered && e.reason.Category() == 0 || int(e.customer) > b.customers.capacity {
		return fmt.Errorf("%w: an open req", ErrCorrupt)
	}
	for int(slot) >= len(b.requests) {
		b.requests = append(b.requests, openRequest{})
	}
	if b.requests[slot].state != slotFree {
		return fmt.Errorf("%w: two open reqs in one place", ErrCorrupt)
	}
	b.requests[slot] = e
	return nil
}

func (b *Ledger) decodeCustomer(part []byte, read *int) error {
	var c customerRow
	var weight uint64
	if err := forEachField(part, func(x field) (err error) {
		switch x.number {
		case 1:
			c.name = NewCustomerName(x.bytes)
		case 2:
			weight = x.value
		case 3:
			c.Counts, err = decodeCounts(x.bytes)
		}
		return err
	}); err != nil {
		return err
	}
	if *read++; *read == 1 {
		b.customers.list[0] = c
		return nil
	}
	if _, twice := b.customers.byName[c.name]; twice || len(b.customers.list) > b.customers.capacity {
		return fmt.Errorf("%w: customers", ErrCorrupt)
	}
	b.customers.add(c, weight)
	return nil
}

func (b *Ledger) decodeIncarnation(part []byte) error {
	var l Incarnation
	if err := forEachField(part, func(x field) (err error) {
		switch x.number {
		case 1:
			l.Number = x.value
		case 2:
			l.Boot = time.Duration(x.value)
		case 3:
			l.Started = time.Duration(x.value)
		case 4:
			l.LastEntry = time.Duration(x.value)
		case 5:
			l.Ending = Ending(min(x.value, uint64(Rebooted)))
		case 6:
			l.Uncertain = int64(x.value)
		case 7:
			l.UncertainIDs = append(l.UncertainIDs, x.value)
		case 8:
			l.Counts, err = decodeCounts(x.bytes)
		}
		return err
	}); err != nil {
		return err
	}
	if len(b.incarnations.list) >= maxIncarnations || len(l.UncertainIDs) > maxUncertainIDs {
		return fmt.Errorf("%w: lives", ErrCorrupt)
	}
	b.incarnations.list = append(b.incarnations.list, l)
	return nil
}

// recomputeRows works out what a snapshot does not hold.
func (b *Ledger) recomputeRows() {
	for i, n := range b.cells {
		b.rows[i/reasonCount].Add(Reason(i%reasonCount), n)
	}
	for i := range b.rows {
		b.rows[i].Open = b.rows[i].Received - b.rows[i].Sum()
	}
	b.EndReplay()
}

// EndReplay ends a replay: places are given anew from here on.
func (b *Ledger) EndReplay() {
	b.freeSlots, b.answeredCount = b.freeSlots[:0], 0
	for slot := range b.requests {
		switch b.requests[slot].state {
		case slotFree:
			b.freeSlots = append(b.freeSlots, uint32(slot))
		case answered:
			b.answeredCount++
		}
	}
}
