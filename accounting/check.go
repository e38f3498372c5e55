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

// differ takes note of a difference, counts it and has it recorded. The same one is told again only when it changes.
func (b *Ledger) differ(at time.Duration, what string, left, right int64) {
	if gap, told := b.known[what]; told && gap == left-right && left != right {
		return
	}
	if len(b.known) < 2*foundMost {
		b.known[what] = left - right
	}
	trail := b.trailText()
	b.do(Entry{Kind: EntryMismatch, At: at})
	if len(b.found) < foundMost {
		b.found = append(b.found, Mismatch{at, what, left, right, trail})
	}
}

// TakeMismatches gives the differences since the last call.
func (b *Ledger) TakeMismatches() []Mismatch {
	found := b.found
	b.found = nil
	return found
}

func (b *Ledger) trailText() string {
	var out strings.Builder
	for k := uint64(trailLen); k > 0; k-- {
		if b.seq < k {
			continue
		}
		if op := &b.trail[(b.seq-k+1)%trailLen]; op.Kind != 0 {
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

// equal makes a difference of figures that are not the same.
func (b *Ledger) equal(at time.Duration, what string, left, right int64) {
	if left != right {
		b.differ(at, what, left, right)
	}
}

// sums compares what is kept twice for all: the total with itself and with its rows, customers and lives.
func (b *Ledger) sums(at time.Duration) {
	b.equal(at, "taken and served + refused + failed + open", b.total.Received, b.total.Sum())
	var byRow, byCustomer Counts
	for i := range b.rows {
		if f := &b.rows[i]; f.Received != f.Sum() {
			b.differ(at, "taken and the sum of its figures, of "+b.rowName(i), f.Received, f.Sum())
		}
		byRow = byRow.Plus(b.rows[i])
	}
	for i := range b.customers.list {
		c := &b.customers.list[i]
		b.equal(at, "taken and the sum of its figures, of a customer", c.Received, c.Sum())
		byCustomer = byCustomer.Plus(c.Counts)
	}
	byLife := b.lives.earlier
	for i := range b.lives.list {
		byLife = byLife.Plus(b.lives.list[i].Counts)
	}
	b.same(at, "the total and its handlers and fronts", b.total, byRow)
	b.same(at, "the total and its customers", b.total, byCustomer)
	b.same(at, "the total and its lives", b.total, byLife)
}

func (b *Ledger) same(at time.Duration, what string, x, y Counts) {
	if x == y {
		return
	}
	b.equal(at, what+", taken", x.Received, y.Received)
	b.equal(at, what+", served", x.Served, y.Served)
	b.equal(at, what+", refused", x.Rejected, y.Rejected)
	b.equal(at, what+", failed", x.Failed, y.Failed)
	b.equal(at, what+", open", x.Open, y.Open)
}

func (b *Ledger) rowName(i int) string {
	return b.handlers[i/fronts] + " over " + Frontend(i%fronts).String()
}

// Audit compares all sums that are kept with what they are sums of. Its cost does not grow with the reqs.
func (b *Ledger) Audit(at time.Duration) {
	b.sums(at)
	for i := range b.rows {
		var f Counts
		for why, n := range b.cells[i*reasons : (i+1)*reasons] {
			f.Add(Reason(why), n)
		}
		f.Open = f.Received - f.Sum()
		if f != b.rows[i] {
			b.same(at, "the figures and the reasons of "+b.rowName(i), b.rows[i], f)
		}
	}
	b.equal(at, "open and the places in use", b.total.Open, int64(len(b.entries)-len(b.unused)))
	if p := &b.periods; p.most > 0 {
		for i, n := range b.cells {
			if sum := p.before[i] + p.kept[i] + p.present[i]; sum != n {
				b.differ(at, "the total and its periods, of "+b.rowName(i/reasons), n, sum)
			}
		}
	}
}

// Compare looks whether what the box itself takes for open is what the book does: each calls back for every one.
func (b *Ledger) Compare(at time.Duration, each func(have func(t Ticket, id uint64))) {
	b.round++
	n := int64(0)
	each(func(t Ticket, id uint64) {
		n++
		if int(t.slot) >= len(b.entries) {
			b.differ(at, "a req of the box that has no place in the book", int64(id), 0)
			return
		}
		switch e := &b.entries[t.slot]; {
		case e.state == free || e.gen != t.gen || e.id != id:
			b.differ(at, "a req of the box that is not open in the book", int64(id), int64(e.id))
		case e.seen == b.round:
			b.differ(at, "one place in the book for two reqs of the box", int64(id), int64(e.id))
		default:
			e.seen = b.round
		}
	})
	b.equal(at, "reqs open in the book and in the box", b.total.Open, n)
}
