package accounting

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Report holds the counts of a ledger at one moment. Later changes of the ledger do not affect it. Scripts read the JSON
// keys of a report and its parts, so the keys must not change.
type Report struct {
	Total               Counts        `json:"total"`
	Mismatches          int64         `json:"differences"`
	Rows                []Row         `json:"rows"` // rows with at least one request
	Customers           []Customer    `json:"customers,omitempty"`
	Periods             []Period      `json:"periods,omitempty"` // closed periods in order, then the current one
	Incarnations        []Incarnation `json:"lives"`
	Earlier             Counts        `json:"earlier"` // sum over the incarnations that are no longer listed
	EarlierIncarnations uint64        `json:"before"`  // number of the incarnations that are no longer listed
}

// Row holds the counts of a handler and front end, and the numbers of closed requests by reason. In a row of a period,
// Open is the number of requests received in the period minus the number closed in it; it is negative if more were
// closed.
type Row struct {
	Handler  string           `json:"handler"`
	Frontend string           `json:"front"`
	Counts   Counts           `json:"figures"`
	Reasons  map[string]int64 `json:"reasons"` // closed requests by the name of their reason
}

// Customer holds the counts of a customer since the customer got a row of its own. The customer named "(others)" stands
// for all requests that are not counted in such a row.
type Customer struct {
	Name   string `json:"name"`
	Counts Counts `json:"figures"`
}

// Period holds the counts of one period.
type Period struct {
	Start  time.Duration `json:"start"` // since the start of 1970
	Length time.Duration `json:"span"`
	Rows   []Row         `json:"rows"`
}

// Report returns a report of the ledger. It includes the periods if withPeriods is true.
func (l *Ledger) Report(withPeriods bool) Report {
	list, earlier, earlierCount := l.Incarnations()
	report := Report{
		Total:               l.total,
		Mismatches:          l.mismatches,
		Rows:                l.reportRows(l.cells),
		Customers:           l.reportCustomers(),
		Incarnations:        slices.Clone(list),
		Earlier:             earlier,
		EarlierIncarnations: earlierCount,
	}
	if withPeriods {
		report.Periods = l.reportPeriods()
	}
	return report
}

// reportRows converts cells to rows and leaves out the rows without requests.
func (l *Ledger) reportRows(cells []int64) []Row {
	var rows []Row
	for row := range l.rows {
		if !slices.ContainsFunc(rowCells(cells, row), func(n int64) bool { return n != 0 }) {
			continue
		}
		rows = append(rows, Row{
			Handler:  l.handlers[row/frontendCount],
			Frontend: Frontend(row % frontendCount).String(),
			Counts:   sumCells(cells, row),
			Reasons:  closedByReason(rowCells(cells, row)),
		})
	}
	return rows
}

// closedByReason returns the numbers of closed requests by the name of their reason.
func closedByReason(cells []int64) map[string]int64 {
	reasons := map[string]int64{}
	for reason, n := range cells {
		if n != 0 && Reason(reason) != NoReason {
			reasons[Reason(reason).String()] = n
		}
	}
	return reasons
}

// reportCustomers returns the customers with at least one request, in descending order of requests received.
func (l *Ledger) reportCustomers() []Customer {
	var customers []Customer
	for _, row := range l.customers.rows {
		if row.Received != 0 {
			customers = append(customers, Customer{Name: row.name.String(), Counts: row.Counts})
		}
	}
	slices.SortStableFunc(customers, func(x, y Customer) int {
		return cmp.Compare(y.Counts.Received, x.Counts.Received)
	})
	return customers
}

// reportPeriods returns the closed periods that are kept, in order, and the current one.
func (l *Ledger) reportPeriods() []Period {
	p := &l.periods
	if !p.enabled() {
		return nil
	}
	var periods []Period
	cells := make([]int64, len(l.cells))
	for number := p.first; number < p.next; number++ {
		period, err := decodePeriod(l.PeriodData(number))
		clear(cells)
		if err != nil || addCells(cells, period.cells) != nil {
			continue // not reached: the period was checked when it was restored
		}
		periods = append(periods, Period{Start: period.start, Length: period.length, Rows: l.reportRows(cells)})
	}
	if p.start != 0 {
		periods = append(periods, Period{Start: p.start, Length: p.length, Rows: l.reportRows(p.current)})
	}
	return periods
}

// Check returns a description of the first counts of the report that do not add up, or an empty string if all do.
func (r *Report) Check() string {
	for i := range r.Rows {
		if mismatch := r.Rows[i].check(); mismatch != "" {
			return mismatch
		}
	}
	if mismatch := r.checkSums(); mismatch != "" {
		return mismatch
	}
	if r.Mismatches > 0 {
		return fmt.Sprintf("the box itself found %d differences, see its log", r.Mismatches)
	}
	return ""
}

// check returns a description of the row if its counts do not add up, or an empty string if they do.
func (r *Row) check() string {
	var closed int64
	for _, n := range r.Reasons {
		closed += n
	}
	if r.Counts.balanced() && closed+r.Counts.Open == r.Counts.Received {
		return ""
	}
	return fmt.Sprintf("%s over %s: taken %d, reasons and open %d",
		r.Handler, r.Frontend, r.Counts.Received, closed+r.Counts.Open)
}

// checkSums returns a description of the first sum that differs from the total, or an empty string if there is none.
func (r *Report) checkSums() string {
	var byRow, byCustomer Counts
	for _, row := range r.Rows {
		byRow = byRow.Plus(row.Counts)
	}
	for _, customer := range r.Customers {
		byCustomer = byCustomer.Plus(customer.Counts)
	}
	byIncarnation := r.Earlier
	for _, incarnation := range r.Incarnations {
		byIncarnation = byIncarnation.Plus(incarnation.Counts)
	}
	for _, pair := range []struct {
		what        string
		left, right int64
	}{
		{"taken and its parts", r.Total.Received, r.Total.Sum()},
		{"taken and its handlers", r.Total.Received, byRow.Received},
		{"open and its handlers", r.Total.Open, byRow.Open},
		{"taken and its customers", r.Total.Received, byCustomer.Received},
		{"taken and its lives", r.Total.Received, byIncarnation.Received},
		{"served and its lives", r.Total.Served, byIncarnation.Served},
		{"refused and its lives", r.Total.Rejected, byIncarnation.Rejected},
		{"failed and its lives", r.Total.Failed, byIncarnation.Failed},
	} {
		if pair.left != pair.right {
			return fmt.Sprintf("%s: %d and %d", pair.what, pair.left, pair.right)
		}
	}
	return ""
}
