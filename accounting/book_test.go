package accounting

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"frosthub/internal/golden"
)

func init() { golden.SameDraws() }

var testConfig = Config{Handlers: []string{"status", "file-claim"}, Customers: 3, Periods: 4, Every: time.Second}

func newBook(t testing.TB, cfg Config) *Book {
	t.Helper()
	b, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b.Begin(time.Hour, time.Minute)
	b.KeepOps(true)
	return b
}

// again has a book from a snapshot.
func again(b *Book) (*Book, error) {
	return Restore(b.AppendSnapshot(nil), func(n uint64) []byte { return b.PeriodData(n) })
}

// model is the plainest account that there can be: what became of each req.
type model struct {
	ids     map[Ticket]uint64
	answer  map[Ticket]Reason
	cells   map[string]int64
	figures Figures
}

func (m *model) key(h uint16, f Front, why Reason) string { return fmt.Sprintf("%d %d %d", h, f, why) }

// TestAgainstModel: after any calls in any order, also such as are not allowed, the book has the figures of the plain
// model, finds nothing wrong but what was not allowed, and is had again from a snapshot and the ops that followed it.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testConfig)
		if err != nil {
			t.Fatal(err)
		}
		at := 1000 * time.Hour
		b.Begin(at, time.Minute)
		b.KeepOps(true)
		m := model{ids: map[Ticket]uint64{}, answer: map[Ticket]Reason{}, cells: map[string]int64{}}
		of := map[Ticket][2]uint16{}
		var open, ended []Ticket
		snapshot, since := b.AppendSnapshot(nil), []Op(nil)
		periods := map[uint64][]byte{}
		wrong := int64(0)
		closed := func(k Ticket, why Reason) {
			m.figures.closed(why)
			m.cells[m.key(of[k][0], Front(of[k][1]), why)]++
			open = slices.DeleteFunc(open, func(o Ticket) bool { return o == k })
			ended = append(ended, k)
		}
		reason := rapid.SampledFrom([]Reason{Ran, Shed, Aged, BadFields, Aborted, ConnectionLost, RunFailed})
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(-2500, 2600).Draw(t, "ms")) * time.Millisecond / 2
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 4 || len(open) == 0 && step < 8:
				id, h := rapid.Uint64().Draw(t, "id"), uint16(rapid.IntRange(0, 2).Draw(t, "handler"))
				f := Front(rapid.IntRange(0, fronts-1).Draw(t, "front"))
				k := b.Open(at, id, h, f, NameOf([]byte(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", ""}).Draw(t, "who"))))
				m.ids[k], of[k] = id, [2]uint16{h, uint16(f)}
				m.figures.opened()
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
			b.Drain(func(ops []Op) { since = append(since, ops...) })
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
		told := int64(len(b.known))
		if b.Total() != m.figures || b.Differences() > wrong || wrong > 0 && told == 0 {
			t.Fatalf("%+v, not %+v; %d differences, %d not allowed: %v", b.Total(), m.figures, b.Differences(), wrong, b.known)
		}
		for i, n := range b.cells {
			if k := m.key(uint16(i/reasons/fronts), Front(i/reasons%fronts), Reason(i%reasons)); n != m.cells[k] {
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
		c.Rested()
		if diff := cmp.Diff(b.AppendSnapshot(nil), c.AppendSnapshot(nil)); diff != "" {
			t.Fatal("not the same book from its snapshot and ops: ", diff)
		}
		if _, err := again(c); err != nil {
			t.Fatal(err)
		}
		n, err := c.Renew(Config{Handlers: []string{"file-claim", "new"}, Customers: 2, Periods: 3, Every: 2 * time.Second},
			at, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		n.Audit(at)
		if f := n.Total(); f.Open != 0 || f.Taken != m.figures.Taken || f.Served != m.figures.Served || f.Taken != f.Sum() ||
			len(n.Found()) > 0 {
			t.Fatalf("a new life: %+v of %+v, %v", f, m.figures, n.known)
		}
		if _, err := again(n); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDifferences: figures that were spoilt are found, told with both sides, once, and counted.
func TestDifferences(t *testing.T) {
	for name, spoil := range map[string]func(b *Book){
		"total":    func(b *Book) { b.total.Taken++ },
		"row":      func(b *Book) { b.rows[row(1, FastCGI)].Served++ },
		"cell":     func(b *Book) { b.cells[row(1, FastCGI)*reasons+int(Shed)]++ },
		"customer": func(b *Book) { b.customers.list[1].Failed-- },
		"life":     func(b *Book) { b.lives.list[0].Refused++ },
		"period":   func(b *Book) { b.periods.kept[3]++ },
		"place":    func(b *Book) { b.unused = append(b.unused, 7) },
	} {
		b := newBook(t, testConfig)
		k := b.Open(time.Hour, 7, b.Handler("status"), FastCGI, NameOf([]byte("a")))
		b.Audit(time.Hour)
		if b.Differences() != 0 {
			t.Fatal(name, b.Found())
		}
		spoil(b)
		b.Audit(time.Hour)
		n := b.Differences()
		found := b.Found()
		if n == 0 || len(found) == 0 || found[0].Left == found[0].Right || found[0].Trail != "1:open(0,0000000000000007)" {
			t.Error(name, n, found)
		}
		b.Audit(time.Hour)
		if b.Differences() != n {
			t.Error(name, "told again")
		}
		b.Close(time.Hour, k, Aborted)
		b.Compare(time.Hour, func(have func(Ticket, uint64)) { have(k, 7) })
		if found = b.Found(); len(found) == 0 || found[len(found)-1].What != "reqs open in the book and in the box" {
			t.Error(name, found)
		}
	}
}

// TestPeriods: a clock that jumps opens periods with earlier or later labels, and they still add up.
func TestPeriods(t *testing.T) {
	cfg := testConfig
	cfg.Periods = 5
	b := newBook(t, cfg)
	at := 5 * time.Hour
	for i, step := range []time.Duration{0, 500, 600, -200, -3600_000, 10, 900, 7200_000, 10, 5000} {
		at += step * time.Millisecond
		k := b.Open(at, uint64(i), 1, FastCGI, Name{})
		b.Answer(at, k, Ran)
		b.Sent(at, k)
		b.Audit(at)
	}
	var got []string
	first, next := b.Periods()
	for ; first < next; first++ {
		start, span, cells, err := splitPeriod(b.PeriodData(first))
		sums := make([]int64, len(b.cells))
		if err != nil || addCells(sums, cells) != nil {
			t.Fatal(err)
		}
		got = append(got, fmt.Sprint(first, ": ", start, " for ", span, ": ", sums[row(1, FastCGI)*reasons]))
	}
	want := []string{"0: 5h0m0s for 1s: 2", "1: 5h0m1s for 1s: 2", "2: 4h0m0s for 1s: 2", "3: 4h0m1s for 1s: 1", "4: 6h0m1s for 1s: 2"}
	if diff := cmp.Diff(want, got); diff != "" || b.Total().Taken != 10 {
		t.Error(diff, b.Total())
	}
	if len(b.Found()) > 0 {
		t.Error(b.known)
	}
}

// TestCustomers: who comes often keeps a place although ever new ones come, and memory does not grow.
func TestCustomers(t *testing.T) {
	b := newBook(t, testConfig)
	heavy := NameOf([]byte("a co-operative whose name is far too long for an op"))
	for i := range 10_000 {
		name := NameOf(fmt.Appendf(nil, "farmer-%d", i))
		if i%3 == 0 {
			name = heavy
		}
		k := b.Open(time.Hour, uint64(i), 1, FastCGI, name)
		b.Close(time.Hour, k, Shed)
		b.ops = b.ops[:0]
	}
	b.Audit(time.Hour)
	i := b.customers.byName[heavy]
	if i == 0 || b.customers.list[i].Taken < 3000 || len(b.customers.list) != 4 || len(b.customers.byName) != 3 {
		t.Errorf("%v %+v", i, b.customers.list)
	}
	if len(b.Found()) > 0 {
		t.Error(b.known)
	}
}

// TestNoAllocations: a transition costs no memory.
func TestNoAllocations(t *testing.T) {
	b := newBook(t, testConfig)
	i := uint64(0)
	once := func() {
		i++
		k := b.Open(time.Hour, i, 1, FastCGI, NameOf([]byte{byte(i), byte(i >> 8)}))
		b.Answer(time.Hour, k, Ran)
		b.Flush(time.Hour, true)
		b.Sent(time.Hour, k)
		b.Flush(time.Hour, false)
		b.Drain(func([]Op) {})
	}
	once()
	if n := testing.AllocsPerRun(20_000, once); n != 0 {
		t.Error(n, "allocations for five transitions")
	}
}

// FuzzRestore: a snapshot of any bytes is read or refused, and what is read is sound.
func FuzzRestore(f *testing.F) {
	b := newBook(f, testConfig)
	for i := range 12 {
		k := b.Open(time.Hour+time.Duration(i)*time.Second, uint64(i), uint16(i%3), Front(i%2), NameOf([]byte{byte(i)}))
		if i%4 > 0 {
			b.Answer(2*time.Hour, k, Ran)
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
		if _, err := again(b); err != nil {
			t.Error("what was read is not read again: ", err)
		}
		if _, err := b.Renew(testConfig, time.Hour, time.Hour); err != nil {
			t.Error(err)
		}
		b.Audit(0)
		if found := b.Found(); len(found) > 0 {
			t.Error(found)
		}
	})
}

func BenchmarkTransitions(b *testing.B) {
	book := newBook(b, testConfig)
	name := NameOf([]byte("4"))
	b.ReportAllocs()
	for i := range b.N {
		k := book.Open(time.Hour, uint64(i), 1, FastCGI, name)
		book.Answer(time.Hour, k, Ran)
		book.Sent(time.Hour, k)
		book.Drain(func([]Op) {})
	}
}
