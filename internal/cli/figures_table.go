package cli

import (
	"cmp"
	"encoding/csv"
	"io"
	"slices"
	"strconv"

	"frosthub/accounting"
)

// columns are the headings of the columns that figuresRow.cells returns.
var columns = []string{"taken", "served", "refused", "failed", "open"}

// figuresRow is one row of the printed table: the sum for one key.
type figuresRow struct {
	key string
	accounting.Counts
}

func (r *figuresRow) cells() []string {
	var cells []string
	for _, n := range []int64{r.Received, r.Served, r.Rejected, r.Failed, r.Open} {
		cells = append(cells, strconv.FormatInt(n, 10))
	}
	return cells
}

func sumOf(rows []figuresRow) accounting.Counts {
	var sum accounting.Counts
	for _, row := range rows {
		sum = sum.Plus(row.Counts)
	}
	return sum
}

// figuresTable sums figures by key. The rows are in the order in which their keys
// were first added.
type figuresTable struct{ rows []figuresRow }

func (t *figuresTable) add(key string, counts accounting.Counts) {
	for i := range t.rows {
		if row := &t.rows[i]; row.key == key {
			row.Counts = row.Plus(counts)
			return
		}
	}
	t.rows = append(t.rows, figuresRow{key, counts})
}

// table sums the figures of all nodes by the attribute that --by selects. The rows
// are sorted by key, except for incarnations, which stay in the order of the files.
func (o *figuresOptions) table(nodes []nodeFigures) []figuresRow {
	var table figuresTable
	for i := range nodes {
		node := &nodes[i]
		switch o.by {
		case byCustomer:
			table.addCustomers(node)
		case byIncarnation:
			table.addIncarnations(node)
		case byPeriod:
			table.addPeriods(node)
		default:
			table.addRows(o.by, node.rows(o.cutoff > 0))
		}
	}
	if o.by != byIncarnation {
		slices.SortStableFunc(table.rows, func(a, b figuresRow) int { return cmp.Compare(a.key, b.key) })
	}
	return table.rows
}

// rows returns the rows of the whole report, or those of its periods if ofPeriods
// is set.
func (n *nodeFigures) rows(ofPeriods bool) []accounting.Row {
	if !ofPeriods {
		return n.Report.Rows
	}
	var rows []accounting.Row
	for _, period := range n.Report.Periods {
		rows = append(rows, period.Rows...)
	}
	return rows
}

func (t *figuresTable) addCustomers(node *nodeFigures) {
	for _, customer := range node.Report.Customers {
		t.add(customer.Name, customer.Counts)
	}
}

func (t *figuresTable) addIncarnations(node *nodeFigures) {
	t.add("earlier", node.Report.Earlier)
	for i := range node.Report.Incarnations {
		incarnation := &node.Report.Incarnations[i]
		number := strconv.FormatUint(incarnation.Number, 10)
		key := node.File + " life " + number + ", " + timestampSeconds(incarnation.Started) + ", " + incarnation.State.String()
		t.add(key, incarnation.Counts)
	}
}

func (t *figuresTable) addPeriods(node *nodeFigures) {
	for _, period := range node.Report.Periods {
		var counts accounting.Counts
		for _, row := range period.Rows {
			counts = counts.Plus(row.Counts)
		}
		t.add(timestampSeconds(period.Start), counts)
	}
}

// addRows adds rows, grouped by handler, front end or reason.
func (t *figuresTable) addRows(by string, rows []accounting.Row) {
	for i := range rows {
		row := &rows[i]
		switch by {
		case byFrontEnd:
			t.add(row.Frontend, row.Counts)
		case byReason:
			t.addReasons(row)
		default:
			t.add(row.Handler, row.Counts)
		}
	}
}

func (t *figuresTable) addReasons(row *accounting.Row) {
	for reason, n := range row.Reasons {
		counts := accounting.Counts{Received: n}
		counts.Add(accounting.ParseReason(reason), n)
		t.add(reason, counts)
	}
	if open := row.Counts.Open; open != 0 {
		t.add("(open)", accounting.Counts{Received: open, Open: open})
	}
}

func printCSV(out io.Writer, rows []figuresRow) error {
	w := csv.NewWriter(out)
	_ = w.Write(append([]string{"key"}, columns...)) // an error is kept and returned by w.Error below
	for _, row := range rows {
		_ = w.Write(append([]string{row.key}, row.cells()...))
	}
	w.Flush()
	return w.Error()
}
