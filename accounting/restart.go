package accounting

import (
	"cmp"
	"slices"
	"time"
)

// Restart returns a ledger for a new incarnation of the node, with another configuration and all counts of the earlier
// incarnations. The new incarnation starts at the given time; boot is the boot time of the machine. Restart returns an
// error if the configuration exceeds the limits of a ledger.
//
// Handlers are matched by name; those that are no longer configured keep a row of their own while rows are left.
// Customers that no longer fit are added to the row of all others, and periods that no longer fit are added to the
// expired ones. The old ledger must not be used any more: if its last incarnation has not ended, Restart ends it as
// Killed or Rebooted.
func (l *Ledger) Restart(cfg Config, at, boot time.Duration) (*Ledger, error) {
	next, err := New(cfg)
	if err != nil {
		return nil, err
	}
	next.mismatches = l.mismatches
	if l.incarnations.running() {
		l.StartIncarnation(at, boot) // counts the open requests as closed, before the handlers are mapped to new rows
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

// adoptIncarnations copies the incarnations and the last sequence number of an old ledger.
func (l *Ledger) adoptIncarnations(old *Ledger) {
	l.seq = old.seq
	l.incarnations = old.incarnations
	l.incarnations.list = slices.Clone(old.incarnations.list)
}

// handlerMapping maps the index of each handler of an old ledger to its index in the new one.
type handlerMapping []int

// addCells adds the cells of an old ledger to those of a new one.
func (m handlerMapping) addCells(to, from []int64) {
	const cellsPerHandler = frontendCount * reasonCount
	for cell, n := range from {
		handler, rest := cell/cellsPerHandler, cell%cellsPerHandler
		to[m[handler]*cellsPerHandler+rest] += n
	}
}

// adoptHandlers adds the handlers of an old ledger that are no longer configured and have counts. It returns the mapping
// of all handlers of the old ledger.
func (l *Ledger) adoptHandlers(old *Ledger) handlerMapping {
	mapping := make(handlerMapping, len(old.handlers))
	for index, name := range old.handlers {
		mapping[index] = l.adoptHandler(name, old.handlerUsed(index))
	}
	return mapping
}

// handlerUsed reports whether any request for the handler was received.
func (l *Ledger) handlerUsed(index int) bool {
	rows := l.rows[index*frontendCount : (index+1)*frontendCount]
	return slices.ContainsFunc(rows, func(counts Counts) bool { return counts.Received != 0 })
}

// adoptHandler returns the new index of a handler of an old ledger, and adds the handler if it has counts. The last row
// is shared by all handlers for which no other row is left.
func (l *Ledger) adoptHandler(name string, used bool) int {
	if index := slices.Index(l.handlers, name); index >= 0 {
		return index
	}
	if !used {
		return 0 // the handler has no counts, so any index will do
	}
	limit := maxHandlerRows - 1
	if name == formerHandlers {
		limit = maxHandlerRows
	}
	if len(l.handlers) < limit {
		return l.addHandler(name)
	}
	if index := slices.Index(l.handlers, formerHandlers); index >= 0 {
		return index
	}
	return l.addHandler(formerHandlers)
}

// addHandler appends a handler and returns its index.
func (l *Ledger) addHandler(name string) int {
	l.handlers = append(l.handlers, name)
	return len(l.handlers) - 1
}

// adoptCustomers copies the customers of an old ledger. If there is not enough room, the customers with the highest
// weights keep a row of their own.
func (l *Ledger) adoptCustomers(old *customerTable) {
	l.customers.rows[otherCustomersRow].Counts = old.rows[otherCustomersRow].Counts
	byWeight := make([]int, 0, len(old.rows)-1)
	for index := 1; index < len(old.rows); index++ {
		byWeight = append(byWeight, index)
	}
	slices.SortStableFunc(byWeight, func(x, y int) int { return cmp.Compare(old.weights[y], old.weights[x]) })
	for _, index := range byWeight {
		if l.customers.full() {
			l.customers.addToOthers(old.rows[index].Counts)
		} else {
			l.customers.add(old.rows[index], old.weights[index])
		}
	}
}

// adoptPeriods copies the periods of an old ledger. Each period keeps its length.
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
			continue // not reached: the period was checked when it was restored
		}
		clear(p.current)
		mapping.addCells(p.current, oldCells)
		p.start = period.start
		p.closeCurrent(period.length)
	}
	p.start = 0
}
