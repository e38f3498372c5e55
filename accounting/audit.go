package accounting

import (
	"fmt"
	"strings"
	"time"
)

// Mismatch is two figures that should be the same and are not.
type Mismatch struct {
	At          time.Duration
	What        string
	Left, Right int64
	Trail       string // the last ops before it was seen
}

// recordMismatch takes note of a difference, counts it and has it recorded. The same one is told again only when it changes.
func (b *Ledger) recordMismatch(at time.Duration, what string, left, right int64) {
	if gap, told := b.knownGaps[what]; told && gap == left-right && left != right {
		return
	}
	if len(b.knownGaps) < 2*maxUnreported {
		b.knownGaps[what] = left - right
	}
	trail := b.trailText()
	b.commit(Entry{Kind: EntryMismatch, At: at})
	if len(b.unreported) < maxUnreported {
		b.unreported = append(b.unreported, Mismatch{at, what, left, right, trail})
	}
}

// TakeMismatches gives the differences since the last call.
func (b *Ledger) TakeMismatches() []Mismatch {
	found := b.unreported
	b.unreported = nil
	return found
}

func (b *Ledger) trailText() string {
	var out strings.Builder
	for k := uint64(trailLength); k > 0; k-- {
		if b.seq < k {
			continue
		}
		if op := &b.trail[(b.seq-k+1)%trailLength]; op.Kind != 0 {
			fmt.Fprintf(&out, "%s ", op)
		}
	}
	return strings.TrimSpace(out.String())
}

// String is the op as it is shown in a trail.
func (o *Entry) String() string {
	switch o.Kind {
	case EntryOpen:
		return fmt.Sprintf("%d:open(%d,%016x)", o.Seq, o.Slot, o.ID)
	case EntryAnswer, EntryClose:
		return fmt.Sprintf("%d:%s(%d,%s)", o.Seq, o.Kind, o.Slot, o.Reason)
	}
	return fmt.Sprintf("%d:%s(%d)", o.Seq, o.Kind, o.Slot)
}

// expectEqual makes a difference of figures that are not the same.
func (b *Ledger) expectEqual(at time.Duration, what string, left, right int64) {
	if left != right {
		b.recordMismatch(at, what, left, right)
	}
}

// auditTotals compares what is kept twice for all: the total with itself and with its rows, customers and lives.
func (b *Ledger) auditTotals(at time.Duration) {
	b.expectEqual(at, "taken and served + refused + failed + open", b.total.Received, b.total.Sum())
	var byRow, byCustomer Counts
	for i := range b.rows {
		if f := &b.rows[i]; f.Received != f.Sum() {
			b.recordMismatch(at, "taken and the sum of its figures, of "+b.rowName(i), f.Received, f.Sum())
		}
		byRow = byRow.Plus(b.rows[i])
	}
	for i := range b.customers.list {
		c := &b.customers.list[i]
		b.expectEqual(at, "taken and the sum of its figures, of a customer", c.Received, c.Sum())
		byCustomer = byCustomer.Plus(c.Counts)
	}
	byLife := b.incarnations.earlier
	for i := range b.incarnations.list {
		byLife = byLife.Plus(b.incarnations.list[i].Counts)
	}
	b.expectEqualCounts(at, "the total and its handlers and fronts", b.total, byRow)
	b.expectEqualCounts(at, "the total and its customers", b.total, byCustomer)
	b.expectEqualCounts(at, "the total and its lives", b.total, byLife)
}

func (b *Ledger) expectEqualCounts(at time.Duration, what string, x, y Counts) {
	if x == y {
		return
	}
	b.expectEqual(at, what+", taken", x.Received, y.Received)
	b.expectEqual(at, what+", served", x.Served, y.Served)
	b.expectEqual(at, what+", refused", x.Rejected, y.Rejected)
	b.expectEqual(at, what+", failed", x.Failed, y.Failed)
	b.expectEqual(at, what+", open", x.Open, y.Open)
}

func (b *Ledger) rowName(i int) string {
	return b.handlers[i/frontendCount] + " over " + Frontend(i%frontendCount).String()
}

// Audit compares all sums that are kept with what they are sums of. Its cost does not grow with the reqs.
func (b *Ledger) Audit(at time.Duration) {
	b.auditTotals(at)
	for i := range b.rows {
		var f Counts
		for why, n := range b.cells[i*reasonCount : (i+1)*reasonCount] {
			f.Add(Reason(why), n)
		}
		f.Open = f.Received - f.Sum()
		if f != b.rows[i] {
			b.expectEqualCounts(at, "the figures and the reasons of "+b.rowName(i), b.rows[i], f)
		}
	}
	b.expectEqual(at, "open and the places in use", b.total.Open, int64(len(b.requests)-len(b.freeSlots)))
	if p := &b.periods; p.capacity > 0 {
		for i, n := range b.cells {
			if sum := p.expired[i] + p.retained[i] + p.current[i]; sum != n {
				b.recordMismatch(at, "the total and its periods, of "+b.rowName(i/reasonCount), n, sum)
			}
		}
	}
}

// Compare looks whether what the box itself takes for open is what the book does: each calls back for every one.
func (b *Ledger) Compare(at time.Duration, each func(have func(t Ticket, id uint64))) {
	b.comparison++
	n := int64(0)
	each(func(t Ticket, id uint64) {
		n++
		if int(t.slot) >= len(b.requests) {
			b.recordMismatch(at, "a req of the box that has no place in the book", int64(id), 0)
			return
		}
		switch e := &b.requests[t.slot]; {
		case e.state == slotFree || e.generation != t.generation || e.id != id:
			b.recordMismatch(at, "a req of the box that is not open in the book", int64(id), int64(e.id))
		case e.comparison == b.comparison:
			b.recordMismatch(at, "one place in the book for two reqs of the box", int64(id), int64(e.id))
		default:
			e.comparison = b.comparison
		}
	})
	b.expectEqual(at, "reqs open in the book and in the box", b.total.Open, n)
}
