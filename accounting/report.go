package accounting

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Report is what a book says, free of it.
type Report struct {
	Total       Figures    `json:"total"`
	Differences int64      `json:"differences"`
	Rows        []Row      `json:"rows"` // those in which anything was taken
	Customers   []Customer `json:"customers,omitempty"`
	Periods     []Period   `json:"periods,omitempty"` // closed ones in order, and the present one
	Lives       []Life     `json:"lives"`
	Earlier     Figures    `json:"earlier"` // of lives that are no longer told one by one
	Before      uint64     `json:"before"`  // how many those are
}

// Row is the figures of a handler over a front, and the reasons behind them. In the row of a period Open is what was
// taken and not closed in it, under zero where more was closed.
type Row struct {
	Handler string           `json:"handler"`
	Front   string           `json:"front"`
	Figures Figures          `json:"figures"`
	Reasons map[string]int64 `json:"reasons"`
}

// Customer is the figures of a customer since there is a place for it.
type Customer struct {
	Name    string  `json:"name"`
	Figures Figures `json:"figures"`
}

// Period is the figures of a span of the day.
type Period struct {
	Start time.Duration `json:"start"` // since the start of 1970
	Span  time.Duration `json:"span"`
	Rows  []Row         `json:"rows"`
}

// Report gives what the book says, with its periods or without.
func (b *Book) Report(periods bool) Report {
	list, earlier, before := b.Lives()
	out := Report{Total: b.total, Differences: b.differs, Rows: b.rowsOf(b.cells), Lives: slices.Clone(list), Earlier: earlier,
		Before: before}
	for _, c := range b.customers.list {
		if c.Taken != 0 {
			out.Customers = append(out.Customers, Customer{c.name.String(), c.Figures})
		}
	}
	slices.SortStableFunc(out.Customers, func(x, y Customer) int { return cmp.Compare(y.Figures.Taken, x.Figures.Taken) })
	if p := &b.periods; periods && p.most > 0 {
		cells := make([]int64, len(b.cells))
		for n := p.first; n < p.next; n++ {
			start, span, data, err := splitPeriod(b.PeriodData(n))
			clear(cells)
			if err != nil || addCells(cells, data) != nil {
				continue // proved when it was read: not reached
			}
			out.Periods = append(out.Periods, Period{start, span, b.rowsOf(cells)})
		}
		if p.start != 0 {
			out.Periods = append(out.Periods, Period{p.start, time.Duration(p.every), b.rowsOf(p.present)})
		}
	}
	return out
}

func (b *Book) rowsOf(cells []int64) []Row {
	var out []Row
	for i := range b.rows {
		row := Row{Handler: b.handlers[i/fronts], Front: Front(i % fronts).String(), Reasons: map[string]int64{}}
		any := false
		for why, n := range cells[i*reasons : (i+1)*reasons] {
			if n == 0 {
				continue
			}
			any = true
			if why != 0 {
				row.Reasons[Reason(why).String()] = n
			}
			row.Figures.Add(Reason(why), n)
		}
		if any {
			row.Figures.Open = row.Figures.Taken - row.Figures.Sum()
			out = append(out, row)
		}
	}
	return out
}

// OpenIDs lists the ids of the open reqs: those whose answer was being handed to the system, and all others.
func (b *Book) OpenIDs() (doubted, others []uint64) {
	for i := range b.entries {
		switch e := &b.entries[i]; {
		case e.state == answering && b.flushing:
			doubted = append(doubted, e.id)
		case e.state != free:
			others = append(others, e.id)
		}
	}
	return doubted, others
}

// Check names the first figures of the report that do not add up, and says nothing if all do.
func (r *Report) Check() string {
	var byRow, byCustomer Figures
	for _, x := range r.Rows {
		byRow = byRow.Plus(x.Figures)
		var n int64
		for _, k := range x.Reasons {
			n += k
		}
		if x.Figures.Taken != x.Figures.Sum() || n+x.Figures.Open != x.Figures.Taken {
			return fmt.Sprintf("%s over %s: taken %d, reasons and open %d", x.Handler, x.Front, x.Figures.Taken, n+x.Figures.Open)
		}
	}
	for _, c := range r.Customers {
		byCustomer = byCustomer.Plus(c.Figures)
	}
	byLife := r.Earlier
	for _, l := range r.Lives {
		byLife = byLife.Plus(l.Figures)
	}
	for _, x := range []struct {
		what        string
		left, right int64
	}{
		{"taken and its parts", r.Total.Taken, r.Total.Sum()},
		{"taken and its handlers", r.Total.Taken, byRow.Taken},
		{"open and its handlers", r.Total.Open, byRow.Open},
		{"taken and its customers", r.Total.Taken, byCustomer.Taken},
		{"taken and its lives", r.Total.Taken, byLife.Taken},
		{"served and its lives", r.Total.Served, byLife.Served},
		{"refused and its lives", r.Total.Refused, byLife.Refused},
		{"failed and its lives", r.Total.Failed, byLife.Failed},
	} {
		if x.left != x.right {
			return fmt.Sprintf("%s: %d and %d", x.what, x.left, x.right)
		}
	}
	if r.Differences > 0 {
		return fmt.Sprintf("the box itself found %d differences, see its log", r.Differences)
	}
	return ""
}

// Moved has one that was counted as failed, being in doubt, counted where it belongs.
func (f Figures) Moved(to Figure) Figures {
	f.Failed--
	switch to {
	case Served:
		f.Served++
	case Refused:
		f.Refused++
	default:
		f.Failed++
	}
	return f
}
