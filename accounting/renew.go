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
	n.seq, n.differs, n.lives = b.seq, b.differs, b.lives
	n.lives.list = slices.Clone(b.lives.list)
	n.keepOps = false
	if len(n.lives.list) > 0 && n.lives.list[len(n.lives.list)-1].Ending == Running { // settled in the old rows
		b.StartIncarnation(at, boot)
		n.seq, n.lives = b.seq, b.lives
		n.lives.list = slices.Clone(b.lives.list)
	} else {
		n.StartIncarnation(at, boot)
	}
	to := make([]int, len(b.handlers))
	for i, name := range b.handlers {
		k := slices.Index(n.handlers, name)
		used := slices.ContainsFunc(b.rows[i*fronts:(i+1)*fronts], func(f Counts) bool { return f.Received != 0 })
		switch {
		case k >= 0:
		case !used:
			k = 0
		case len(n.handlers) < handlersMost-1 || name == former && len(n.handlers) < handlersMost:
			n.handlers = append(n.handlers, name)
			k = len(n.handlers) - 1
		default:
			if k = slices.Index(n.handlers, former); k < 0 {
				n.handlers = append(n.handlers, former)
				k = len(n.handlers) - 1
			}
		}
		to[i] = k
	}
	n.lay()
	n.periods.init(n.cfg, len(n.cells))
	move := func(cells, from []int64) {
		for i, v := range from {
			h := i / (fronts * reasons)
			cells[to[h]*fronts*reasons+i%(fronts*reasons)] += v
		}
	}
	move(n.cells, b.cells)
	n.total = b.total
	n.finish()
	n.takeCustomers(b)
	n.takePeriods(b, move)
	return n, nil
}

func (b *Ledger) takeCustomers(old *Ledger) {
	c := &b.customers
	c.list[0].Counts = old.customers.list[0].Counts
	heaviest := make([]int, len(old.customers.list)-1)
	for i := range heaviest {
		heaviest[i] = i + 1
	}
	weights := old.customers.weights
	slices.SortStableFunc(heaviest, func(x, y int) int { return cmp.Compare(weights[y], weights[x]) })
	for i, k := range heaviest {
		if i < c.most {
			c.add(old.customers.list[k], weights[k])
		} else {
			c.list[0].Counts = c.list[0].Plus(old.customers.list[k].Counts)
		}
	}
}

func (b *Ledger) takePeriods(old *Ledger, move func(cells, from []int64)) {
	p := &b.periods
	if p.most == 0 {
		return
	}
	if old.periods.most == 0 {
		copy(p.before, b.cells)
		return
	}
	if old.periods.start != 0 {
		old.periods.shut()
	}
	move(p.before, old.periods.before)
	first, next := old.Periods()
	p.first, p.next = first, first
	for ; first < next; first++ {
		start, span, cells, err := splitPeriod(old.PeriodData(first))
		from := make([]int64, len(old.cells))
		if err != nil || addCells(from, cells) != nil {
			continue // proved when it was read: not reached
		}
		clear(p.present)
		move(p.present, from)
		p.start = start
		every := p.every
		p.every = int64(span) // each keeps the span it was lived with
		p.shut()
		p.every = every
	}
	p.start = 0
}
