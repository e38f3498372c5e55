package idempotency

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"frosthub/internal/golden"
)

func init() { golden.SameDraws() }

func keyOf(n uint64) (k Key) {
	binary.BigEndian.PutUint64(k[8:], n)
	return k
}

const noon = 1000 * time.Hour

// disk is what the writes amount to: segments with their records, or their prints.
type disk struct {
	records map[uint64][]Write
	prints  map[uint64]Prints
}

func (d *disk) put(w Write) {
	switch w.Kind {
	case Retire:
		p := *w.Prints
		if p.Filter != nil {
			p.Filter = p.Filter.Copy()
		}
		d.prints[w.Segment] = p
		delete(d.records, w.Segment)
		return
	case Drop:
		delete(d.prints, w.About)
	}
	d.records[w.Segment] = append(d.records[w.Segment], w)
}

func (d *disk) load(s *Store) {
	most := uint64(0)
	for n := range d.records {
		most = max(most, n)
	}
	for n := uint64(1); n <= most; n++ {
		if p, ok := d.prints[n]; ok {
			s.LoadPrints(p)
			continue
		}
		for _, w := range d.records[n] {
			s.Load(w)
		}
	}
}

// model is what a plain table of everything that ever happened says of a key.
type model struct {
	made     time.Duration
	runs     int // less those proved not to have been
	result   []byte
	answered bool
}

// TestNeverTwice: over any arrivals, ends, withdrawals, losses of what was not yet durable, restarts, failing disks and clocks that go
// back, no key is begun twice unless it was proved never to have run, who repeats gets the first result or none, and bounds hold.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Entries: 6, Bytes: 60, ResultMost: 30, Lifetime: 20 * time.Second, Horizon: 80 * time.Second, Segments: 30, Prints: 4,
			SegmentBytes: 1000}
		now := noon
		d := &disk{map[uint64][]Write{}, map[uint64]Prints{}}
		s := New(cfg)
		s.Restarted(now, true, 0)
		var written []Write // handed over, not yet durable
		keys, of, running := map[uint64]*model{}, map[uint64]uint64{}, map[uint64]uint64{}
		id, failed := uint64(0), false
		take := func(all []Outcome) {
			for _, o := range all {
				k := of[o.ID]
				m := keys[k]
				switch o.Verdict {
				case Begin:
					if m.runs++; m.runs > 1 {
						t.Fatalf("key %d is begun twice", k)
					}
					running[k] = o.ID
				case Done, Repeat:
					if m.result == nil || !bytes.Equal(o.Result, m.result) {
						t.Fatalf("key %d: %q, not the first result %q", k, o.Result, m.result)
					}
					m.answered = true
				case InDoubt:
					if m.answered && !failed {
						t.Fatalf("key %d was answered, and is in doubt", k)
					}
				case Fresh, NoRoom, Unguarded:
					if m.runs > 0 {
						t.Fatalf("key %d ran, and is refused", k)
					}
				case Blind:
					t.Fatalf("key %d: nobody can tell, and nothing is lost", k)
				}
			}
		}
		top := uint64(0)
		lostRun := false // a run whose result the failed disk has not
		for range rapid.IntRange(80, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-1000, 3000).Draw(t, "ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 10).Draw(t, "step"); step {
			case 0, 1, 2, 3:
				k := uint64(rapid.IntRange(1, 12).Draw(t, "key"))
				if k > top || top-k > 12 {
					k = top - min(top, k) + 1
				}
				if keys[k] == nil {
					top = max(top, k)
					keys[k] = &model{made: now}
				}
				if now-keys[k].made > cfg.Horizon-10*time.Second {
					top++ // so old a one is no longer repeated
					k = top
					keys[k] = &model{made: now}
				}
				id++
				of[id] = k
				o := s.Arrive(now, keys[k].made, keyOf(k), "", id)
				if o.Verdict == InDoubt && lostRun {
					break
				}
				take([]Outcome{o})
			case 4, 5: // a run ends
				for k := range top + 1 {
					if _, ok := running[k]; !ok {
						continue
					}
					kind := rapid.SampledFrom([]Kind{Result, Result, Failed, Never}).Draw(t, "end")
					delete(running, k)
					result := bytes.Repeat([]byte{byte('a' + k%20)}, 1+int(k)%28)
					switch kind {
					case Result:
						keys[k].result = result
					case Never:
						keys[k].runs--
					}
					take(s.Ended(now, keyOf(k), kind, result))
					break
				}
			case 6, 7: // a part of what waits becomes durable
				written = append(written, s.Writes()...)
				if n := rapid.IntRange(0, len(written)).Draw(t, "durable"); n > 0 && !failed {
					seq := uint64(0)
					for _, w := range written[:n] {
						d.put(w)
						seq = max(seq, w.Seq)
					}
					written = written[n:]
					take(s.Durable(seq))
				}
			case 8:
				s.Tidy(now)
				if rapid.IntRange(0, 40).Draw(t, "disk") == 29 {
					failed, lostRun = true, true
					take(s.DiskFailed())
				}
			case 9: // a caller goes
				if id > 0 {
					x := uint64(rapid.IntRange(1, int(id)).Draw(t, "who"))
					s.Withdraw(now, keyOf(of[x]), x)
				}
			case 10: // the process dies; some of what was not durable may be on the disk all the same
				written = append(written, s.Writes()...)
				if !failed {
					for _, w := range written[:rapid.IntRange(0, len(written)).Draw(t, "kept")] {
						d.put(w)
					}
				}
				written, failed = nil, false
				s = New(cfg)
				d.load(s)
				s.Restarted(now, false, 0)
				clear(running) // the processor died with it
				for k, m := range keys {
					if v := s.Look(now, m.made, keyOf(k)); m.answered && !lostRun && v != Known && v != TooLate {
						t.Fatalf("key %d was answered, and is %d after a start", k, v)
					}
					if e := s.entries[keyOf(k)]; e != nil && m.answered && !lostRun && e.state == doubted {
						t.Fatalf("key %d was answered, and is in doubt after a start", k)
					}
				}
			}
			if n := s.Stats(); n.Keys > cfg.Entries+n.InDoubt || n.Bytes > cfg.Bytes || n.Segments > cfg.Segments+1 {
				t.Fatalf("over its bounds: %+v", n)
			}
		}
	})
}

// script plays a few reqs on a store and prints what becomes of them.
type script struct {
	s   *Store
	d   *disk
	id  uint64
	out []string
}

func (x *script) sync() {
	seq := uint64(0)
	for _, w := range x.s.Writes() {
		x.d.put(w)
		seq = max(seq, w.Seq)
	}
	x.s.Durable(seq)
}

// run takes a req from its arrival to its durable end.
func (x *script) run(now time.Duration, key uint64, result string) Verdict {
	x.id++
	if o := x.s.Arrive(now, 0, keyOf(key), "", x.id); o.Verdict != Wait {
		return o.Verdict
	}
	x.sync()
	x.s.Ended(now, keyOf(key), Result, []byte(result))
	x.sync()
	return Done
}

func newScript(cfg Config) *script {
	x := &script{s: New(cfg), d: &disk{map[uint64][]Write{}, map[uint64]Prints{}}}
	x.s.Restarted(noon, true, 0)
	x.sync()
	return x
}

// TestAging: a result that has aged out leaves a print, also on the disk, and what is past the horizon leaves nothing.
func TestAging(t *testing.T) {
	cfg := Config{Entries: 10, Bytes: 100, ResultMost: 50, Lifetime: time.Minute, Horizon: time.Hour, Segments: 12, Prints: 100, SegmentBytes: 1 << 20}
	x := newScript(cfg)
	x.run(noon, 7, "filed")
	for i, c := range []struct {
		after time.Duration
		want  Verdict
	}{{time.Second, Repeat}, {2 * time.Minute, TooLate}, {40 * time.Minute, TooLate}, {59 * time.Minute, TooLate}, {70 * time.Minute, Done}} {
		x.s.Tidy(noon + c.after)
		x.run(noon+c.after, uint64(100+i), "another") // segments follow each other
		x.s.Tidy(noon + c.after)
		x.sync()
		if i == 3 { // what is on the disk says the same
			s := New(cfg)
			x.d.load(s)
			s.Restarted(noon+c.after, false, 0)
			x.s = s
			x.sync()
		}
		if got := x.run(noon+c.after, 7, "again"); got != c.want {
			t.Errorf("after %s: %v, not %v; %+v", c.after, got, c.want, x.s.Stats())
		}
	}
	if v := x.s.Look(noon+71*time.Minute, noon, keyOf(9)); v != TooLate {
		t.Error("made long before the horizon: ", v)
	}
}

// TestBounds: where keys come faster than they may be forgotten, the newest are refused and none is forgotten early.
func TestBounds(t *testing.T) {
	cfg := Config{Entries: 20, Bytes: 1000, ResultMost: 50, Lifetime: time.Minute, Horizon: time.Hour, Segments: 4, Prints: 5, SegmentBytes: 1 << 20}
	x := newScript(cfg)
	ran := uint64(0)
	for x.run(noon, ran+1, "filed") == Done {
		ran++
	}
	if n := x.s.Stats(); ran != 20 || n.Segments != 4 {
		t.Fatal(ran, n)
	}
	for k := uint64(1); k <= ran; k++ {
		if v := x.s.Look(noon, 0, keyOf(k)); v != Known && v != TooLate {
			t.Errorf("key %d: %v", k, v)
		}
	}
	if v := x.run(noon+59*time.Minute, 99, "filed"); v != NoRoom {
		t.Error("before the horizon: ", v)
	}
	if v := x.run(noon+61*time.Minute, 99, "filed"); v != Done {
		t.Error("past it: ", v)
	}
}

// TestHoles: what is lost is never taken for fresh, over restarts, until the horizon has passed, the caller tells when it made a req,
// or an operator answers for it.
func TestHoles(t *testing.T) {
	cfg := Config{Entries: 10, Bytes: 100, ResultMost: 50, Lifetime: time.Minute, Horizon: time.Hour, Segments: 12, Prints: 2, SegmentBytes: 1 << 20}
	x := newScript(cfg)
	for k := uint64(1); k <= 5; k++ {
		x.run(noon, k, "filed")
	}
	again := func(at time.Duration, change func(s *Store)) {
		s := New(cfg)
		for n := uint64(1); n <= 9; n++ {
			if p, ok := x.d.prints[n]; ok {
				s.LoadPrints(p)
			} else if n == 2 {
				s.LoadLost(n)
			} else if len(x.d.records[n]) > 0 {
				if n == 3 {
					s.Hole(x.d.records[n][0].At)
				}
				for _, w := range x.d.records[n] {
					s.Load(w)
				}
			}
		}
		s.Restarted(at, false, 0)
		x.s = s
		if change != nil {
			change(s)
		}
		x.sync()
	}
	var got []Verdict
	look := func(at, made time.Duration, k uint64) { got = append(got, x.s.Look(at, made, keyOf(k))) }
	again(noon+time.Minute, nil)
	look(noon+time.Minute, 0, 3)                // its segment is lost
	look(noon+time.Minute, 0, 9)                // a new one that says no time
	look(noon+time.Minute, noon+time.Second, 9) // and one that was made since
	look(noon+time.Minute, 0, 5)
	again(noon+50*time.Minute, func(s *Store) { s.Tidy(noon + 50*time.Minute) }) // the segments around it are prints now
	look(noon+50*time.Minute, 0, 9)
	again(noon+50*time.Minute, func(s *Store) { s.Accept(noon + 50*time.Minute) })
	look(noon+50*time.Minute, 0, 9)
	again(noon+51*time.Minute, nil)
	look(noon+51*time.Minute, 0, 9)
	if want := []Verdict{Blind, Blind, Fresh, Known, Blind, Fresh, Fresh}; !slices.Equal(got, want) {
		t.Error(got, want)
	}
	again(noon+62*time.Minute, func(s *Store) { s.Tidy(noon + 62*time.Minute) })
	if n := x.s.Stats(); n.Blind != 0 {
		t.Error(n)
	}
}

// TestWaiting: who repeats what is in hand hears how that ends, and a withdrawn one makes room.
func TestWaiting(t *testing.T) {
	cfg := Config{Entries: 10, Bytes: 100, ResultMost: 5, Lifetime: time.Minute, Horizon: time.Hour, Segments: 12, Prints: 9, SegmentBytes: 1 << 20}
	for _, c := range []struct {
		name string
		play func(s *Store) []Outcome
		want string
	}{
		{"a result", func(s *Store) []Outcome {
			s.Durable(9)
			s.Ended(noon, keyOf(1), Result, []byte("yes"))
			return s.Durable(99)
		},
			"[{1 5 yes} {2 6 yes}]"},
		{"too long a one", func(s *Store) []Outcome {
			s.Durable(9)
			s.Ended(noon, keyOf(1), Result, []byte("longer"))
			return s.Durable(99)
		}, "[{1 5 longer} {2 9 }]"},
		{"a failure", func(s *Store) []Outcome { s.Durable(9); return s.Ended(noon, keyOf(1), Failed, nil) }, "[{2 7 }]"},
		{"never run", func(s *Store) []Outcome { s.Durable(9); return s.Ended(noon, keyOf(1), Never, nil) }, "[{2 1 }]"},
		{"withdrawn before its intent", func(s *Store) []Outcome { s.Withdraw(noon, keyOf(1), 1); return s.Durable(9) }, "[{2 4 }]"},
		{"both withdrawn", func(s *Store) []Outcome {
			s.Withdraw(noon, keyOf(1), 2)
			s.Withdraw(noon, keyOf(1), 1)
			return append(s.Durable(9), s.Arrive(noon, 0, keyOf(1), "", 3))
		}, "[{3 3 }]"},
		{"withdrawn while it runs", func(s *Store) []Outcome {
			s.Durable(9)
			s.Withdraw(noon, keyOf(1), 1)
			s.Ended(noon, keyOf(1), Result, []byte("yes"))
			return s.Durable(99)
		}, "[{2 6 yes}]"},
		{"the disk fails before its intent", func(s *Store) []Outcome { return s.DiskFailed() }, "[{1 12 } {2 12 }]"},
		{"and after its end", func(s *Store) []Outcome {
			s.Durable(9)
			s.Ended(noon, keyOf(1), Result, []byte("yes"))
			return append(s.DiskFailed(), s.Arrive(noon, 0, keyOf(1), "", 3))
		}, "[{1 5 yes} {2 6 yes} {3 6 yes}]"},
	} {
		s := New(cfg)
		s.Restarted(noon, true, 0)
		s.Arrive(noon, 0, keyOf(1), "", 1)
		s.Arrive(noon, 0, keyOf(1), "", 2)
		got := "["
		for i, o := range c.play(s) {
			if i > 0 {
				got += " "
			}
			got += fmt.Sprintf("{%d %d %s}", o.ID, o.Verdict, o.Result)
		}
		if got += "]"; got != c.want {
			t.Errorf("%s: %s, not %s", c.name, got, c.want)
		}
	}
}

// TestForsaken: what was in hand is in doubt once nobody has it any more; an end on its way to the disk is not, and one that turns up counts.
func TestForsaken(t *testing.T) {
	s := New(Config{Entries: 10, Bytes: 1000, ResultMost: 100, Lifetime: time.Hour, Horizon: 24 * time.Hour, Segments: 5, Prints: 10, SegmentBytes: 1000})
	s.Restarted(noon, false, 0)
	for n := range uint64(3) {
		s.Arrive(noon, 0, keyOf(n), "status", n+1)
	}
	s.Durable(s.seq)
	s.Ended(noon, keyOf(1), Result, []byte("filed"))
	s.Arrive(noon, 0, keyOf(3), "status", 4)
	s.Forsake(noon)
	if got := s.DoubtsOf(); got["status"] != 3 || s.hands != 1 {
		t.Error(got, s.hands)
	}
	s.Ended(noon, keyOf(2), Result, []byte("late"))
	s.Durable(s.seq)
	var got []Verdict
	for n := range uint64(4) {
		got = append(got, s.Meet(noon, 0, keyOf(n)).Verdict)
	}
	if diff := cmp.Diff([]Verdict{InDoubt, Repeat, Repeat, InDoubt}, got); diff != "" {
		t.Error(diff)
	}
}
