package accounting

import (
	"bytes"
	"fmt"
	"frosthub/internal/golden"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() { golden.SameDraws() }

var testConfig = Config{Handlers: []string{"status", "file-claim"}, MaxCustomers: 3, MaxPeriods: 4, PeriodLength: time.Second}

func newLedger(t testing.TB, cfg Config) *Ledger {
	t.Helper()
	b, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b.StartIncarnation(time.Hour, time.Minute)
	b.RecordEntries(true)
	return b
}

// restoreCopy has a book from a snapshot.
func restoreCopy(b *Ledger) (*Ledger, error) {
	return Restore(b.AppendSnapshot(nil), func(n uint64) []byte { return b.PeriodData(n) })
}

// model is the plainest account that there can be: what became of each req.
type model struct {
	ids     map[Ticket]uint64
	answer  map[Ticket]Reason
	cells   map[string]int64
	figures Counts
}

func (m *model) key(h uint16, f Frontend, why Reason) string {
	return fmt.Sprintf("%d %d %d", h, f, why)
}

// TestAgainstModel: after any calls in any order, also such as are not allowed, the book has the figures of the plain
// model, finds nothing wrong but what was not allowed, and is had again from a snapshot and the ops that followed it.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testConfig)
		if err != nil {
			t.Fatal(err)
		}
		at := 1000 * time.Hour
		b.StartIncarnation(at, time.Minute)
		b.RecordEntries(true)
		m := model{ids: map[Ticket]uint64{}, answer: map[Ticket]Reason{}, cells: map[string]int64{}}
		of := map[Ticket][2]uint16{}
		var open, ended []Ticket
		snapshot, since := b.AppendSnapshot(nil), []Entry(nil)
		periods := map[uint64][]byte{}
		wrong := int64(0)
		closed := func(k Ticket, why Reason) {
			m.figures.addClosed(why)
			m.cells[m.key(of[k][0], Frontend(of[k][1]), why)]++
			open = slices.DeleteFunc(open, func(o Ticket) bool { return o == k })
			ended = append(ended, k)
		}
		reason := rapid.SampledFrom([]Reason{Completed, Shed, Expired, BadFields, Aborted, ConnectionLost, RunFailed})
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(-2500, 2600).Draw(t, "ms")) * time.Millisecond / 2
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 4 || len(open) == 0 && step < 8:
				id, h := rapid.Uint64().Draw(t, "id"), uint16(rapid.IntRange(0, 2).Draw(t, "handler"))
				f := Frontend(rapid.IntRange(0, frontendCount-1).Draw(t, "front"))
				k := b.Open(at, id, h, f, NewCustomerName([]byte(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", ""}).Draw(t, "who"))))
				m.ids[k], of[k] = id, [2]uint16{h, uint16(f)}
				m.figures.addOpened()
				m.cells[m.key(h, f, None)]++
				open = append(open, k)
			case step < 6:
				k := rapid.SampledFrom(open).Draw(t, "req")
				why := reason.Draw(t, "why")
				if _, twice := m.answer[k]; b.Answer(at, k, why) == twice {
					t.Fatal("an answer is taken once")
				} else if twice {
					wrong++
				} else {
					m.answer[k] = why
				}
			case step < 7:
				k := rapid.SampledFrom(open).Draw(t, "req")
				why, ok := m.answer[k]
				if b.Sent(at, k) != ok {
					t.Fatal("what is sent was answered before")
				} else if ok {
					closed(k, why)
				} else {
					wrong++
				}
			case step < 8:
				k, why := rapid.SampledFrom(open).Draw(t, "req"), reason.Draw(t, "why")
				if !b.Close(at, k, why) {
					t.Fatal("an open req can be closed")
				}
				closed(k, why)
			case step < 9 && len(ended) > 0:
				if b.Close(at, rapid.SampledFrom(ended).Draw(t, "req"), Aborted) {
					t.Fatal("closed twice")
				}
				wrong++
			default:
				b.Flush(at, rapid.Bool().Draw(t, "begins"))
			}
			b.TakeEntries(func(ops []Entry) { since = append(since, ops...) })
			if rapid.IntRange(0, 30).Draw(t, "snapshot") == 0 {
				snapshot, since = b.AppendSnapshot(nil), nil
				first, next := b.Periods()
				for ; first < next; first++ {
					periods[first] = bytes.Clone(b.PeriodData(first))
				}
			}
		}
		b.Audit(at)
		b.Compare(at, func(have func(Ticket, uint64)) {
			for _, k := range open {
				have(k, m.ids[k])
			}
		})
		told := int64(len(b.knownGaps))
		if b.Total() != m.figures || b.Mismatches() > wrong || wrong > 0 && told == 0 {
			t.Fatalf("%+v, not %+v; %d differences, %d not allowed: %v", b.Total(), m.figures, b.Mismatches(), wrong, b.knownGaps)
		}
		for i, n := range b.cells {
			if k := m.key(uint16(i/reasonCount/frontendCount), Frontend(i/reasonCount%frontendCount), Reason(i%reasonCount)); n != m.cells[k] {
				t.Fatalf("cell %s: %d, not %d", k, n, m.cells[k])
			}
		}
		c, err := Restore(snapshot, func(n uint64) []byte { return periods[n] })
		if err != nil {
			t.Fatal(err)
		}
		for _, op := range since {
			if err := c.Apply(op); err != nil {
				t.Fatal(op, err)
			}
		}
		c.EndReplay()
		if diff := cmp.Diff(b.AppendSnapshot(nil), c.AppendSnapshot(nil)); diff != "" {
			t.Fatal("not the same book from its snapshot and ops: ", diff)
		}
		if _, err := restoreCopy(c); err != nil {
			t.Fatal(err)
		}
		n, err := c.Restart(Config{Handlers: []string{"file-claim", "new"}, MaxCustomers: 2, MaxPeriods: 3, PeriodLength: 2 * time.Second},
			at, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		n.Audit(at)
		if f := n.Total(); f.Open != 0 || f.Received != m.figures.Received || f.Served != m.figures.Served || f.Received != f.Sum() ||
			len(n.TakeMismatches()) > 0 {
			t.Fatalf("a new life: %+v of %+v, %v", f, m.figures, n.knownGaps)
		}
		if _, err := restoreCopy(n); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDifferences: figures that were spoilt are found, told with both sides, once, and counted.
func TestDifferences(t *testing.T) {
	for name, spoil := range map[string]func(b *Ledger){
		"total":    func(b *Ledger) { b.total.Received++ },
		"row":      func(b *Ledger) { b.rows[rowIndex(1, FastCGI)].Served++ },
		"cell":     func(b *Ledger) { b.cells[rowIndex(1, FastCGI)*reasonCount+int(Shed)]++ },
		"customer": func(b *Ledger) { b.customers.list[1].Failed-- },
		"life":     func(b *Ledger) { b.incarnations.list[0].Rejected++ },
		"period":   func(b *Ledger) { b.periods.retained[3]++ },
		"place":    func(b *Ledger) { b.freeSlots = append(b.freeSlots, 7) },
	} {
		b := newLedger(t, testConfig)
		k := b.Open(time.Hour, 7, b.Handler("status"), FastCGI, NewCustomerName([]byte("a")))
		b.Audit(time.Hour)
		if b.Mismatches() != 0 {
			t.Fatal(name, b.TakeMismatches())
		}
		spoil(b)
		b.Audit(time.Hour)
		n := b.Mismatches()
		found := b.TakeMismatches()
		if n == 0 || len(found) == 0 || found[0].Left == found[0].Right || found[0].Trail != "1:open(0,0000000000000007)" {
			t.Error(name, n, found)
		}
		b.Audit(time.Hour)
		if b.Mismatches() != n {
			t.Error(name, "told again")
		}
		b.Close(time.Hour, k, Aborted)
		b.Compare(time.Hour, func(have func(Ticket, uint64)) { have(k, 7) })
		if found = b.TakeMismatches(); len(found) == 0 || found[len(found)-1].What != "reqs open in the book and in the box" {
			t.Error(name, found)
		}
	}
}

// TestPeriods: a clock that jumps opens periods with earlier or later labels, and they still add up.
func TestPeriods(t *testing.T) {
	cfg := testConfig
	cfg.MaxPeriods = 5
	b := newLedger(t, cfg)
	at := 5 * time.Hour
	for i, step := range []time.Duration{0, 500, 600, -200, -3600_000, 10, 900, 7200_000, 10, 5000} {
		at += step * time.Millisecond
		k := b.Open(at, uint64(i), 1, FastCGI, CustomerName{})
		b.Answer(at, k, Completed)
		b.Sent(at, k)
		b.Audit(at)
	}
	var got []string
	first, next := b.Periods()
	for ; first < next; first++ {
		start, span, cells, err := decodePeriod(b.PeriodData(first))
		sums := make([]int64, len(b.cells))
		if err != nil || addCells(sums, cells) != nil {
			t.Fatal(err)
		}
		got = append(got, fmt.Sprint(first, ": ", start, " for ", span, ": ", sums[rowIndex(1, FastCGI)*reasonCount]))
	}
	want := []string{"0: 5h0m0s for 1s: 2", "1: 5h0m1s for 1s: 2", "2: 4h0m0s for 1s: 2", "3: 4h0m1s for 1s: 1", "4: 6h0m1s for 1s: 2"}
	if diff := cmp.Diff(want, got); diff != "" || b.Total().Received != 10 {
		t.Error(diff, b.Total())
	}
	if len(b.TakeMismatches()) > 0 {
		t.Error(b.knownGaps)
	}
}

// TestCustomers: who comes often keeps a place although ever new ones come, and memory does not grow.
func TestCustomers(t *testing.T) {
	b := newLedger(t, testConfig)
	heavy := NewCustomerName([]byte("a co-operative whose name is far too long for an op"))
	for i := range 10_000 {
		name := NewCustomerName(fmt.Appendf(nil, "farmer-%d", i))
		if i%3 == 0 {
			name = heavy
		}
		k := b.Open(time.Hour, uint64(i), 1, FastCGI, name)
		b.Close(time.Hour, k, Shed)
		b.pending = b.pending[:0]
	}
	b.Audit(time.Hour)
	i := b.customers.byName[heavy]
	if i == 0 || b.customers.list[i].Received < 3000 || len(b.customers.list) != 4 || len(b.customers.byName) != 3 {
		t.Errorf("%v %+v", i, b.customers.list)
	}
	if len(b.TakeMismatches()) > 0 {
		t.Error(b.knownGaps)
	}
}

// TestNoAllocations: a transition costs no memory.
func TestNoAllocations(t *testing.T) {
	b := newLedger(t, testConfig)
	i := uint64(0)
	once := func() {
		i++
		k := b.Open(time.Hour, i, 1, FastCGI, NewCustomerName([]byte{byte(i), byte(i >> 8)}))
		b.Answer(time.Hour, k, Completed)
		b.Flush(time.Hour, true)
		b.Sent(time.Hour, k)
		b.Flush(time.Hour, false)
		b.TakeEntries(func([]Entry) {})
	}
	once()
	if n := testing.AllocsPerRun(20_000, once); n != 0 {
		t.Error(n, "allocations for five transitions")
	}
}

// FuzzRestore: a snapshot of any bytes is read or refused, and what is read is sound.
func FuzzRestore(f *testing.F) {
	b := newLedger(f, testConfig)
	for i := range 12 {
		k := b.Open(time.Hour+time.Duration(i)*time.Second, uint64(i), uint16(i%3), Frontend(i%2), NewCustomerName([]byte{byte(i)}))
		if i%4 > 0 {
			b.Answer(2*time.Hour, k, Completed)
		}
		if i%4 > 1 {
			b.Sent(2*time.Hour, k)
		}
	}
	first, _ := b.Periods()
	f.Add(b.AppendSnapshot(nil), bytes.Clone(b.PeriodData(first)))
	f.Fuzz(func(t *testing.T, snapshot, period []byte) {
		b, err := Restore(snapshot, func(uint64) []byte { return period })
		if err != nil {
			return
		}
		if _, err := restoreCopy(b); err != nil {
			t.Error("what was read is not read again: ", err)
		}
		if _, err := b.Restart(testConfig, time.Hour, time.Hour); err != nil {
			t.Error(err)
		}
		b.Audit(0)
		if found := b.TakeMismatches(); len(found) > 0 {
			t.Error(found)
		}
	})
}

func BenchmarkTransitions(b *testing.B) {
	book := newLedger(b, testConfig)
	name := NewCustomerName([]byte("4"))
	b.ReportAllocs()
	for i := range b.N {
		k := book.Open(time.Hour, uint64(i), 1, FastCGI, name)
		book.Answer(time.Hour, k, Completed)
		book.Sent(time.Hour, k)
		book.TakeEntries(func([]Entry) {})
	}
}
