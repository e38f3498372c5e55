package accounting

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Report is what a book says, free of it.
type Report struct {
	Total               Counts        `json:"total"`
	Mismatches          int64         `json:"differences"`
	Rows                []Row         `json:"rows"` // those in which anything was taken
	Customers           []Customer    `json:"customers,omitempty"`
	Periods             []Period      `json:"periods,omitempty"` // closed ones in order, and the present one
	Incarnations        []Incarnation `json:"lives"`
	Earlier             Counts        `json:"earlier"` // of lives that are no longer told one by one
	EarlierIncarnations uint64        `json:"before"`  // how many those are
}

// Row is the figures of a handler over a front, and the reasons behind them. In the row of a period Open is what was
// taken and not closed in it, under zero where more was closed.
type Row struct {
	Handler string           `json:"handler"`
	Front   string           `json:"front"`
	Figures Counts           `json:"figures"`
	Reasons map[string]int64 `json:"reasons"`
}

// Customer is the figures of a customer since there is a place for it.
type Customer struct {
	Name    string `json:"name"`
	Figures Counts `json:"figures"`
}

// Period is the figures of a span of the day.
type Period struct {
	Start time.Duration `json:"start"` // since the start of 1970
	Span  time.Duration `json:"span"`
	Rows  []Row         `json:"rows"`
}

// Report gives what the book says, with its periods or without.
func (b *Ledger) Report(periods bool) Report {
	list, earlier, before := b.Incarnations()
	out := Report{
		Total: b.total, Mismatches: b.mismatches, Rows: b.reportRows(b.cells), Incarnations: slices.Clone(list), Earlier: earlier,
		EarlierIncarnations: before,
	}
	for _, c := range b.customers.list {
		if c.Received != 0 {
			out.Customers = append(out.Customers, Customer{c.name.String(), c.Counts})
		}
	}
	slices.SortStableFunc(out.Customers, func(x, y Customer) int { return cmp.Compare(y.Figures.Received, x.Figures.Received) })
	if p := &b.periods; periods && p.capacity > 0 {
		cells := make([]int64, len(b.cells))
		for n := p.first; n < p.next; n++ {
			start, span, data, err := decodePeriod(b.PeriodData(n))
			clear(cells)
			if err != nil || addCells(cells, data) != nil {
				continue // proved when it was read: not reached
			}
			out.Periods = append(out.Periods, Period{start, span, b.reportRows(cells)})
		}
		if p.start != 0 {
			out.Periods = append(out.Periods, Period{p.start, time.Duration(p.length), b.reportRows(p.current)})
		}
	}
	return out
}

func (b *Ledger) reportRows(cells []int64) []Row {
	var out []Row
	for i := range b.rows {
		row := Row{Handler: b.handlers[i/frontendCount], Front: Frontend(i % frontendCount).String(), Reasons: map[string]int64{}}
		any := false
		for why, n := range cells[i*reasonCount : (i+1)*reasonCount] {
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
			row.Figures.Open = row.Figures.Received - row.Figures.Sum()
			out = append(out, row)
		}
	}
	return out
}

// OpenIDs lists the ids of the open reqs: those whose answer was being handed to the system, and all others.
func (b *Ledger) OpenIDs() (doubted, others []uint64) {
	for i := range b.requests {
		switch e := &b.requests[i]; {
		case e.state == answered && b.flushing:
			doubted = append(doubted, e.id)
		case e.state != slotFree:
			others = append(others, e.id)
		}
	}
	return doubted, others
}

// Check names the first figures of the report that do not add up, and says nothing if all do.
func (r *Report) Check() string {
	var byRow, byCustomer Counts
	for _, x := range r.Rows {
		byRow = byRow.Plus(x.Figures)
		var n int64
		for _, k := range x.Reasons {
			n += k
		}
		if x.Figures.Received != x.Figures.Sum() || n+x.Figures.Open != x.Figures.Received {
			return fmt.Sprintf("%s over %s: taken %d, reasons and open %d", x.Handler, x.Front, x.Figures.Received, n+x.Figures.Open)
		}
	}
	for _, c := range r.Customers {
		byCustomer = byCustomer.Plus(c.Figures)
	}
	byLife := r.Earlier
	for _, l := range r.Incarnations {
		byLife = byLife.Plus(l.Counts)
	}
	for _, x := range []struct {
		what        string
		left, right int64
	}{
		{"taken and its parts", r.Total.Received, r.Total.Sum()},
		{"taken and its handlers", r.Total.Received, byRow.Received},
		{"open and its handlers", r.Total.Open, byRow.Open},
		{"taken and its customers", r.Total.Received, byCustomer.Received},
		{"taken and its lives", r.Total.Received, byLife.Received},
		{"served and its lives", r.Total.Served, byLife.Served},
		{"refused and its lives", r.Total.Rejected, byLife.Rejected},
		{"failed and its lives", r.Total.Failed, byLife.Failed},
	} {
		if x.left != x.right {
			return fmt.Sprintf("%s: %d and %d", x.what, x.left, x.right)
		}
	}
	if r.Mismatches > 0 {
		return fmt.Sprintf("the box itself found %d differences, see its log", r.Mismatches)
	}
	return ""
}

// Reclassified has one that was counted as failed, being in doubt, counted where it belongs.
func (f Counts) Reclassified(to Category) Counts {
	f.Failed--
	switch to {
	case Served:
		f.Served++
	case Rejected:
		f.Rejected++
	default:
		f.Failed++
	}
	return f
}
