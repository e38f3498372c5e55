package accounting

import (
	"cmp"
	"slices"
	"time"
)

// Restart gives the book of a box that starts again, with the accounts of its earlier lives. Handlers are the same by
// name; those that are no more keep a row while there is room. What customers and periods no longer have room for goes
// to all others and to what was before. The old book is at rest: its last life is settled first.
func (b *Ledger) Restart(cfg Config, at, boot time.Duration) (*Ledger, error) {
	n, err := New(cfg)
	if err != nil {
		return nil, err
	}
	n.seq, n.mismatches, n.incarnations = b.seq, b.mismatches, b.incarnations
	n.incarnations.list = slices.Clone(b.incarnations.list)
	n.recording = false
	if len(n.incarnations.list) > 0 && n.incarnations.list[len(n.incarnations.list)-1].Ending == Running { // settled in the old rows
		b.StartIncarnation(at, boot)
		n.seq, n.incarnations = b.seq, b.incarnations
		n.incarnations.list = slices.Clone(b.incarnations.list)
	} else {
		n.StartIncarnation(at, boot)
	}
	to := make([]int, len(b.handlers))
	for i, name := range b.handlers {
		k := slices.Index(n.handlers, name)
		used := slices.ContainsFunc(b.rows[i*frontendCount:(i+1)*frontendCount], func(f Counts) bool { return f.Received != 0 })
		switch {
		case k >= 0:
		case !used:
			k = 0
		case len(n.handlers) < maxHandlerRows-1 || name == formerHandlers && len(n.handlers) < maxHandlerRows:
			n.handlers = append(n.handlers, name)
			k = len(n.handlers) - 1
		default:
			if k = slices.Index(n.handlers, formerHandlers); k < 0 {
				n.handlers = append(n.handlers, formerHandlers)
				k = len(n.handlers) - 1
			}
		}
		to[i] = k
	}
	n.allocateRows()
	n.periods.init(n.cfg, len(n.cells))
	move := func(cells, from []int64) {
		for i, v := range from {
			h := i / (frontendCount * reasonCount)
			cells[to[h]*frontendCount*reasonCount+i%(frontendCount*reasonCount)] += v
		}
	}
	move(n.cells, b.cells)
	n.total = b.total
	n.recomputeRows()
	n.adoptCustomers(b)
	n.adoptPeriods(b, move)
	return n, nil
}

func (b *Ledger) adoptCustomers(old *Ledger) {
	c := &b.customers
	c.list[0].Counts = old.customers.list[0].Counts
	heaviest := make([]int, len(old.customers.list)-1)
	for i := range heaviest {
		heaviest[i] = i + 1
	}
	weights := old.customers.weights
	slices.SortStableFunc(heaviest, func(x, y int) int { return cmp.Compare(weights[y], weights[x]) })
	for i, k := range heaviest {
		if i < c.capacity {
			c.add(old.customers.list[k], weights[k])
		} else {
			c.list[0].Counts = c.list[0].Plus(old.customers.list[k].Counts)
		}
	}
}

func (b *Ledger) adoptPeriods(old *Ledger, move func(cells, from []int64)) {
	p := &b.periods
	if p.capacity == 0 {
		return
	}
	if old.periods.capacity == 0 {
		copy(p.expired, b.cells)
		return
	}
	if old.periods.start != 0 {
		old.periods.closeCurrent()
	}
	move(p.expired, old.periods.expired)
	first, next := old.Periods()
	p.first, p.next = first, first
	for ; first < next; first++ {
		start, span, cells, err := decodePeriod(old.PeriodData(first))
		from := make([]int64, len(old.cells))
		if err != nil || addCells(from, cells) != nil {
			continue // proved when it was read: not reached
		}
		clear(p.current)
		move(p.current, from)
		p.start = start
		every := p.length
		p.length = int64(span) // each keeps the span it was lived with
		p.closeCurrent()
		p.length = every
	}
	p.start = 0
}
