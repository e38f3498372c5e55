package accounting

import (
	"cmp"
	"slices"
	"time"
)

// Restart returns a ledger for a new incarnation of the node, which starts at the given time on a machine that started at
// boot, with another configuration and all accounts of the earlier incarnations.
//
// Handlers are matched by name; those that are no longer configured keep their row while there is one. Customers and periods
// for which there is no room any more are added to all others and to the expired ones. The old ledger must not be used any
// more: if its last incarnation was not ended, Restart ends it as killed.
func (l *Ledger) Restart(cfg Config, at, boot time.Duration) (*Ledger, error) {
	next, err := New(cfg)
	if err != nil {
		return nil, err
	}
	next.mismatches = l.mismatches
	if l.incarnations.running() {
		l.StartIncarnation(at, boot) // closes what is open, in the rows of the old configuration
		next.adoptIncarnations(l)
	} else {
		next.adoptIncarnations(l)
		next.StartIncarnation(at, boot)
	}
	mapping := next.adoptHandlers(l)
	next.allocateRows()
	mapping.addCells(next.cells, l.cells)
	next.total = l.total
	next.recomputeRows()
	next.adoptCustomers(&l.customers)
	next.adoptPeriods(&l.periods, mapping)
	return next, nil
}

// adoptIncarnations takes over the incarnations of an old ledger and the sequence of its entries.
func (l *Ledger) adoptIncarnations(old *Ledger) {
	l.seq = old.seq
	l.incarnations = old.incarnations
	l.incarnations.list = slices.Clone(old.incarnations.list)
}

// handlerMapping gives the new number of each handler of an old ledger.
type handlerMapping []int

// addCells adds the cells of an old ledger to those of a new one.
func (m handlerMapping) addCells(to, from []int64) {
	const cellsPerHandler = frontendCount * reasonCount
	for cell, n := range from {
		handler, rest := cell/cellsPerHandler, cell%cellsPerHandler
		to[m[handler]*cellsPerHandler+rest] += n
	}
}

// adoptHandlers adds the handlers of an old ledger that are no longer configured and have counts.
func (l *Ledger) adoptHandlers(old *Ledger) handlerMapping {
	mapping := make(handlerMapping, len(old.handlers))
	for number, name := range old.handlers {
		mapping[number] = l.adoptHandler(name, old.handlerUsed(number))
	}
	return mapping
}

// handlerUsed reports whether the handler received any requests.
func (l *Ledger) handlerUsed(number int) bool {
	rows := l.rows[number*frontendCount : (number+1)*frontendCount]
	return slices.ContainsFunc(rows, func(counts Counts) bool { return counts.Received != 0 })
}

// adoptHandler returns the number of a handler of an old ledger, and adds it if it has counts. The last row is for all
// those for which there is no other.
func (l *Ledger) adoptHandler(name string, used bool) int {
	if number := slices.Index(l.handlers, name); number >= 0 {
		return number
	}
	if !used {
		return 0 // there is nothing to count
	}
	limit := maxHandlerRows - 1
	if name == formerHandlers {
		limit = maxHandlerRows
	}
	if len(l.handlers) < limit {
		return l.addHandler(name)
	}
	if number := slices.Index(l.handlers, formerHandlers); number >= 0 {
		return number
	}
	return l.addHandler(formerHandlers)
}

// addHandler appends a handler and returns its number.
func (l *Ledger) addHandler(name string) int {
	l.handlers = append(l.handlers, name)
	return len(l.handlers) - 1
}

// adoptCustomers takes over the customers of an old ledger, those of most weight with a row of their own.
func (l *Ledger) adoptCustomers(old *customerTable) {
	l.customers.rows[otherCustomersRow].Counts = old.rows[otherCustomersRow].Counts
	byWeight := make([]int, 0, len(old.rows)-1)
	for number := 1; number < len(old.rows); number++ {
		byWeight = append(byWeight, number)
	}
	slices.SortStableFunc(byWeight, func(x, y int) int { return cmp.Compare(old.weights[y], old.weights[x]) })
	for _, number := range byWeight {
		if l.customers.full() {
			l.customers.addToOthers(old.rows[number].Counts)
		} else {
			l.customers.add(old.rows[number], old.weights[number])
		}
	}
}

// adoptPeriods takes over the periods of an old ledger, each with the length that it had.
func (l *Ledger) adoptPeriods(old *periodRing, mapping handlerMapping) {
	p := &l.periods
	if !p.enabled() {
		return
	}
	if !old.enabled() {
		copy(p.expired, l.cells)
		return
	}
	if old.start != 0 {
		old.closeCurrent(old.length)
	}
	mapping.addCells(p.expired, old.expired)
	p.first = old.first
	p.next = old.first
	oldCells := make([]int64, len(old.current))
	for number := old.first; number < old.next; number++ {
		period, err := decodePeriod(old.encoded[old.slot(number)])
		clear(oldCells)
		if err != nil || addCells(oldCells, period.cells) != nil {
			continue // it was checked when it was restored: it does not happen
		}
		clear(p.current)
		mapping.addCells(p.current, oldCells)
		p.start = period.start
		p.closeCurrent(period.length)
	}
	p.start = 0
}
