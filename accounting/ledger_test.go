package accounting

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"frosthub/internal/golden"

	"github.com/google/go-cmp/cmp"
)

func init() { golden.FixSeeds() }

var testConfig = Config{
	Handlers:     []string{"status", "file-claim"},
	MaxCustomers: 3,
	MaxPeriods:   4,
	PeriodLength: time.Second,
}

// newLedger returns a ledger that has begun its first incarnation and records its entries.
func newLedger(t testing.TB, cfg Config) *Ledger {
	t.Helper()
	ledger, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ledger.StartIncarnation(time.Hour, time.Minute)
	ledger.SetRecording(true)
	return ledger
}

// restoreCopy returns a ledger restored from a snapshot of the given one.
func restoreCopy(ledger *Ledger) (*Ledger, error) {
	return Restore(ledger.AppendSnapshot(nil), ledger.PeriodData)
}

// TestMismatches checks that Audit finds corrupted counts, records a mismatch once, with both numbers, and counts it.
func TestMismatches(t *testing.T) {
	for name, corruptCounts := range map[string]func(l *Ledger){
		"total":       func(l *Ledger) { l.total.Received++ },
		"row":         func(l *Ledger) { l.rows[rowIndex(1, FastCGI)].Served++ },
		"cell":        func(l *Ledger) { l.cells[cellIndex(rowIndex(1, FastCGI), Shed)]++ },
		"customer":    func(l *Ledger) { l.customers.rows[1].Failed-- },
		"incarnation": func(l *Ledger) { l.incarnations.list[0].Rejected++ },
		"period":      func(l *Ledger) { l.periods.retained[3]++ },
		"slot":        func(l *Ledger) { l.freeSlots = append(l.freeSlots, 7) },
	} {
		t.Run(name, func(t *testing.T) {
			ledger := newLedger(t, testConfig)
			ticket := ledger.Open(time.Hour, 7, ledger.HandlerIndex("status"), FastCGI, NewCustomerName([]byte("a")))
			ledger.Audit(time.Hour)
			if ledger.MismatchCount() != 0 {
				t.Fatal("mismatches in a correct ledger:", ledger.TakeMismatches())
			}
			corruptCounts(ledger)
			ledger.Audit(time.Hour)
			recorded := ledger.MismatchCount()
			found := ledger.TakeMismatches()
			if recorded == 0 || len(found) == 0 || found[0].Left == found[0].Right || found[0].Trail != "1:open(0,0000000000000007)" {
				t.Error("mismatch not found:", recorded, found)
			}
			ledger.Audit(time.Hour)
			if ledger.MismatchCount() != recorded {
				t.Error("mismatch recorded again")
			}
			ledger.Close(time.Hour, ticket, Aborted)
			ledger.CompareOpenRequests(time.Hour, func(yield func(Ticket, uint64)) { yield(ticket, 7) })
			found = ledger.TakeMismatches()
			if len(found) == 0 || found[len(found)-1].What != "requests open in the ledger and in the node" {
				t.Error("request that is open only in the node not found:", found)
			}
		})
	}
}

// TestPeriods checks that jumps of the clock open periods with earlier or later starts, and that the periods still add
// up to the total.
func TestPeriods(t *testing.T) {
	cfg := testConfig
	cfg.MaxPeriods = 5
	ledger := newLedger(t, cfg)
	at := 5 * time.Hour
	for i, step := range []time.Duration{0, 500, 600, -200, -3600_000, 10, 900, 7200_000, 10, 5000} {
		at += step * time.Millisecond
		ticket := ledger.Open(at, uint64(i), 1, FastCGI, CustomerName{})
		ledger.ResponseWritten(at, ticket, Completed)
		ledger.ResponseSent(at, ticket)
		ledger.Audit(at)
	}
	var got []string
	first, next := ledger.Periods()
	for number := first; number < next; number++ {
		period, err := decodePeriod(ledger.PeriodData(number))
		cells := make([]int64, len(ledger.cells))
		if err != nil || addCells(cells, period.cells) != nil {
			t.Fatal(err)
		}
		received := cells[cellIndex(rowIndex(1, FastCGI), NoReason)]
		got = append(got, fmt.Sprint(number, ": ", period.start, " for ", period.length, ": ", received))
	}
	want := []string{
		"0: 5h0m0s for 1s: 2",
		"1: 5h0m1s for 1s: 2",
		"2: 4h0m0s for 1s: 2",
		"3: 4h0m1s for 1s: 1",
		"4: 6h0m1s for 1s: 2",
	}
	if diff := cmp.Diff(want, got); diff != "" || ledger.Total().Received != 10 {
		t.Error(diff, ledger.Total())
	}
	if len(ledger.TakeMismatches()) > 0 {
		t.Error(ledger.recordedDifferences)
	}
}

// TestCustomers checks that a frequent customer keeps its row while new customers keep arriving, and that the table does
// not grow.
func TestCustomers(t *testing.T) {
	ledger := newLedger(t, testConfig)
	frequent := NewCustomerName([]byte("a co-operative whose name is far too long for an op"))
	for i := range 10_000 {
		name := NewCustomerName(fmt.Appendf(nil, "farmer-%d", i))
		if i%3 == 0 {
			name = frequent
		}
		ticket := ledger.Open(time.Hour, uint64(i), 1, FastCGI, name)
		ledger.Close(time.Hour, ticket, Shed)
		ledger.pending = ledger.pending[:0]
	}
	ledger.Audit(time.Hour)
	table := &ledger.customers
	number := table.byName[frequent]
	if number == otherCustomersRow || table.rows[number].Received < 3000 || len(table.rows) != 4 || len(table.byName) != 3 {
		t.Errorf("row %d of %+v", number, table.rows)
	}
	if len(ledger.TakeMismatches()) > 0 {
		t.Error(ledger.recordedDifferences)
	}
}

// TestNoAllocations checks that the transitions of a request do not allocate memory.
func TestNoAllocations(t *testing.T) {
	ledger := newLedger(t, testConfig)
	id := uint64(0)
	request := func() {
		id++
		ticket := ledger.Open(time.Hour, id, 1, FastCGI, NewCustomerName([]byte{byte(id), byte(id >> 8)}))
		ledger.ResponseWritten(time.Hour, ticket, Completed)
		ledger.SetFlushing(time.Hour, true)
		ledger.ResponseSent(time.Hour, ticket)
		ledger.SetFlushing(time.Hour, false)
		ledger.TakeEntries(func([]Entry) {})
	}
	request()
	if n := testing.AllocsPerRun(20_000, request); n != 0 {
		t.Error(n, "allocations for five transitions")
	}
}

// FuzzRestore checks that Restore either rejects arbitrary bytes or returns a ledger whose counts add up, and which can
// be restored again and restarted.
func FuzzRestore(f *testing.F) {
	ledger := newLedger(f, testConfig)
	for i := range 12 {
		at := time.Hour + time.Duration(i)*time.Second
		ticket := ledger.Open(at, uint64(i), uint16(i%3), Frontend(i%2), NewCustomerName([]byte{byte(i)}))
		if i%4 > 0 {
			ledger.ResponseWritten(2*time.Hour, ticket, Completed)
		}
		if i%4 > 1 {
			ledger.ResponseSent(2*time.Hour, ticket)
		}
	}
	first, _ := ledger.Periods()
	f.Add(ledger.AppendSnapshot(nil), slices.Clone(ledger.PeriodData(first)))
	f.Fuzz(func(t *testing.T, snapshot, period []byte) {
		ledger, err := Restore(snapshot, func(uint64) []byte { return period })
		if err != nil {
			return
		}
		if _, err := restoreCopy(ledger); err != nil {
			t.Error("restoring a snapshot of the restored ledger:", err)
		}
		if _, err := ledger.Restart(testConfig, time.Hour, time.Hour); err != nil {
			t.Error(err)
		}
		ledger.Audit(0)
		if found := ledger.TakeMismatches(); len(found) > 0 {
			t.Error(found)
		}
	})
}

func BenchmarkTransitions(b *testing.B) {
	ledger := newLedger(b, testConfig)
	name := NewCustomerName([]byte("4"))
	b.ReportAllocs()
	for i := range b.N {
		ticket := ledger.Open(time.Hour, uint64(i), 1, FastCGI, name)
		ledger.ResponseWritten(time.Hour, ticket, Completed)
		ledger.ResponseSent(time.Hour, ticket)
		ledger.TakeEntries(func([]Entry) {})
	}
}
