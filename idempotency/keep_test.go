package idempotency

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"frosthub/internal/golden"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() { golden.SameDraws() }

func keyOf(n uint64) (k Key) {
	binary.BigEndian.PutUint64(k[8:], n)
	return k
}

const noon = 1000 * time.Hour

// disk is what the writes amount to: segments with their records, or their prints.
type disk struct {
	records map[uint64][]LogEntry
	prints  map[uint64]Fingerprints
}

func (d *disk) put(w LogEntry) {
	switch w.Kind {
	case EntrySegmentRetired:
		p := *w.Fingerprints
		if p.Filter != nil {
			p.Filter = p.Filter.Copy()
		}
		d.prints[w.Segment] = p
		delete(d.records, w.Segment)
		return
	case EntrySegmentDropped:
		delete(d.prints, w.Subject)
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
			s.LoadFingerprints(p)
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
		cfg := Config{
			MaxEntries: 6, MaxBytes: 60, MaxResultBytes: 30, ResultTTL: 20 * time.Second, RetryHorizon: 80 * time.Second, MaxSegments: 30, KeysPerSegment: 4,
			SegmentBytes: 1000,
		}
		now := noon
		d := &disk{map[uint64][]LogEntry{}, map[uint64]Fingerprints{}}
		s := New(cfg)
		s.FinishLoading(now, true, 0)
		var written []LogEntry // handed over, not yet durable
		keys, of, running := map[uint64]*model{}, map[uint64]uint64{}, map[uint64]uint64{}
		id, failed := uint64(0), false
		take := func(all []Outcome) {
			for _, o := range all {
				k := of[o.ID]
				m := keys[k]
				switch o.Decision {
				case Start:
					if m.runs++; m.runs > 1 {
						t.Fatalf("key %d is begun twice", k)
					}
					running[k] = o.ID
				case Completed, Replay:
					if m.result == nil || !bytes.Equal(o.Result, m.result) {
						t.Fatalf("key %d: %q, not the first result %q", k, o.Result, m.result)
					}
					m.answered = true
				case OutcomeUnknown:
					if m.answered && !failed {
						t.Fatalf("key %d was answered, and is in doubt", k)
					}
				case Fresh, StoreFull, StoreFailed:
					if m.runs > 0 {
						t.Fatalf("key %d ran, and is refused", k)
					}
				case HistoryLost:
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
				if now-keys[k].made > cfg.RetryHorizon-10*time.Second {
					top++ // so old a one is no longer repeated
					k = top
					keys[k] = &model{made: now}
				}
				id++
				of[id] = k
				o := s.Reserve(now, keys[k].made, keyOf(k), "", id)
				if o.Decision == OutcomeUnknown && lostRun {
					break
				}
				take([]Outcome{o})
			case 4, 5: // a run ends
				for k := range top + 1 {
					if _, ok := running[k]; !ok {
						continue
					}
					kind := rapid.SampledFrom([]EntryKind{EntryResult, EntryResult, EntryFailed, EntryNeverRan}).Draw(t, "end")
					delete(running, k)
					result := bytes.Repeat([]byte{byte('a' + k%20)}, 1+int(k)%28)
					switch kind {
					case EntryResult:
						keys[k].result = result
					case EntryNeverRan:
						keys[k].runs--
					}
					take(s.Finish(now, keyOf(k), kind, result))
					break
				}
			case 6, 7: // a part of what waits becomes durable
				written = append(written, s.TakeEntries()...)
				if n := rapid.IntRange(0, len(written)).Draw(t, "durable"); n > 0 && !failed {
					seq := uint64(0)
					for _, w := range written[:n] {
						d.put(w)
						seq = max(seq, w.Seq)
					}
					written = written[n:]
					take(s.MarkDurable(seq))
				}
			case 8:
				s.Sweep(now)
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
				written = append(written, s.TakeEntries()...)
				if !failed {
					for _, w := range written[:rapid.IntRange(0, len(written)).Draw(t, "kept")] {
						d.put(w)
					}
				}
				written, failed = nil, false
				s = New(cfg)
				d.load(s)
				s.FinishLoading(now, false, 0)
				clear(running) // the processor died with it
				for k, m := range keys {
					if v := s.Peek(now, m.made, keyOf(k)); m.answered && !lostRun && v != Duplicate && v != ResultExpired {
						t.Fatalf("key %d was answered, and is %d after a start", k, v)
					}
					if e := s.entries[keyOf(k)]; e != nil && m.answered && !lostRun && e.state == doubted {
						t.Fatalf("key %d was answered, and is in doubt after a start", k)
					}
				}
			}
			if n := s.Stats(); n.Keys > cfg.MaxEntries+n.OutcomeUnknown || n.Bytes > cfg.MaxBytes || n.Segments > cfg.MaxSegments+1 {
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
	for _, w := range x.s.TakeEntries() {
		x.d.put(w)
		seq = max(seq, w.Seq)
	}
	x.s.MarkDurable(seq)
}

// run takes a req from its arrival to its durable end.
func (x *script) run(now time.Duration, key uint64, result string) Decision {
	x.id++
	if o := x.s.Reserve(now, 0, keyOf(key), "", x.id); o.Decision != Wait {
		return o.Decision
	}
	x.sync()
	x.s.Finish(now, keyOf(key), EntryResult, []byte(result))
	x.sync()
	return Completed
}

func newScript(cfg Config) *script {
	x := &script{s: New(cfg), d: &disk{map[uint64][]LogEntry{}, map[uint64]Fingerprints{}}}
	x.s.FinishLoading(noon, true, 0)
	x.sync()
	return x
}

// TestAging: a result that has aged out leaves a print, also on the disk, and what is past the horizon leaves nothing.
func TestAging(t *testing.T) {
	cfg := Config{MaxEntries: 10, MaxBytes: 100, MaxResultBytes: 50, ResultTTL: time.Minute, RetryHorizon: time.Hour, MaxSegments: 12, KeysPerSegment: 100, SegmentBytes: 1 << 20}
	x := newScript(cfg)
	x.run(noon, 7, "filed")
	for i, c := range []struct {
		after time.Duration
		want  Decision
	}{{time.Second, Replay}, {2 * time.Minute, ResultExpired}, {40 * time.Minute, ResultExpired}, {59 * time.Minute, ResultExpired}, {70 * time.Minute, Completed}} {
		x.s.Sweep(noon + c.after)
		x.run(noon+c.after, uint64(100+i), "another") // segments follow each other
		x.s.Sweep(noon + c.after)
		x.sync()
		if i == 3 { // what is on the disk says the same
			s := New(cfg)
			x.d.load(s)
			s.FinishLoading(noon+c.after, false, 0)
			x.s = s
			x.sync()
		}
		if got := x.run(noon+c.after, 7, "again"); got != c.want {
			t.Errorf("after %s: %v, not %v; %+v", c.after, got, c.want, x.s.Stats())
		}
	}
	if v := x.s.Peek(noon+71*time.Minute, noon, keyOf(9)); v != ResultExpired {
		t.Error("made long before the horizon: ", v)
	}
}

// TestBounds: where keys come faster than they may be forgotten, the newest are refused and none is forgotten early.
func TestBounds(t *testing.T) {
	cfg := Config{MaxEntries: 20, MaxBytes: 1000, MaxResultBytes: 50, ResultTTL: time.Minute, RetryHorizon: time.Hour, MaxSegments: 4, KeysPerSegment: 5, SegmentBytes: 1 << 20}
	x := newScript(cfg)
	ran := uint64(0)
	for x.run(noon, ran+1, "filed") == Completed {
		ran++
	}
	if n := x.s.Stats(); ran != 20 || n.Segments != 4 {
		t.Fatal(ran, n)
	}
	for k := uint64(1); k <= ran; k++ {
		if v := x.s.Peek(noon, 0, keyOf(k)); v != Duplicate && v != ResultExpired {
			t.Errorf("key %d: %v", k, v)
		}
	}
	if v := x.run(noon+59*time.Minute, 99, "filed"); v != StoreFull {
		t.Error("before the horizon: ", v)
	}
	if v := x.run(noon+61*time.Minute, 99, "filed"); v != Completed {
		t.Error("past it: ", v)
	}
}

// TestHoles: what is lost is never taken for fresh, over restarts, until the horizon has passed, the caller tells when it made a req,
// or an operator answers for it.
func TestHoles(t *testing.T) {
	cfg := Config{MaxEntries: 10, MaxBytes: 100, MaxResultBytes: 50, ResultTTL: time.Minute, RetryHorizon: time.Hour, MaxSegments: 12, KeysPerSegment: 2, SegmentBytes: 1 << 20}
	x := newScript(cfg)
	for k := uint64(1); k <= 5; k++ {
		x.run(noon, k, "filed")
	}
	again := func(at time.Duration, change func(s *Store)) {
		s := New(cfg)
		for n := uint64(1); n <= 9; n++ {
			if p, ok := x.d.prints[n]; ok {
				s.LoadFingerprints(p)
			} else if n == 2 {
				s.LoadLostSegment(n)
			} else if len(x.d.records[n]) > 0 {
				if n == 3 {
					s.AddHistoryLoss(x.d.records[n][0].At)
				}
				for _, w := range x.d.records[n] {
					s.Load(w)
				}
			}
		}
		s.FinishLoading(at, false, 0)
		x.s = s
		if change != nil {
			change(s)
		}
		x.sync()
	}
	var got []Decision
	look := func(at, made time.Duration, k uint64) { got = append(got, x.s.Peek(at, made, keyOf(k))) }
	again(noon+time.Minute, nil)
	look(noon+time.Minute, 0, 3)                // its segment is lost
	look(noon+time.Minute, 0, 9)                // a new one that says no time
	look(noon+time.Minute, noon+time.Second, 9) // and one that was made since
	look(noon+time.Minute, 0, 5)
	again(noon+50*time.Minute, func(s *Store) { s.Sweep(noon + 50*time.Minute) }) // the segments around it are prints now
	look(noon+50*time.Minute, 0, 9)
	again(noon+50*time.Minute, func(s *Store) { s.AcceptHistory(noon + 50*time.Minute) })
	look(noon+50*time.Minute, 0, 9)
	again(noon+51*time.Minute, nil)
	look(noon+51*time.Minute, 0, 9)
	if want := []Decision{HistoryLost, HistoryLost, Fresh, Duplicate, HistoryLost, Fresh, Fresh}; !slices.Equal(got, want) {
		t.Error(got, want)
	}
	again(noon+62*time.Minute, func(s *Store) { s.Sweep(noon + 62*time.Minute) })
	if n := x.s.Stats(); n.LostBefore != 0 {
		t.Error(n)
	}
}

// TestWaiting: who repeats what is in hand hears how that ends, and a withdrawn one makes room.
func TestWaiting(t *testing.T) {
	cfg := Config{MaxEntries: 10, MaxBytes: 100, MaxResultBytes: 5, ResultTTL: time.Minute, RetryHorizon: time.Hour, MaxSegments: 12, KeysPerSegment: 9, SegmentBytes: 1 << 20}
	for _, c := range []struct {
		name string
		play func(s *Store) []Outcome
		want string
	}{
		{
			"a result", func(s *Store) []Outcome {
				s.MarkDurable(9)
				s.Finish(noon, keyOf(1), EntryResult, []byte("yes"))
				return s.MarkDurable(99)
			},
			"[{1 5 yes} {2 6 yes}]",
		},
		{"too long a one", func(s *Store) []Outcome {
			s.MarkDurable(9)
			s.Finish(noon, keyOf(1), EntryResult, []byte("longer"))
			return s.MarkDurable(99)
		}, "[{1 5 longer} {2 9 }]"},
		{"a failure", func(s *Store) []Outcome { s.MarkDurable(9); return s.Finish(noon, keyOf(1), EntryFailed, nil) }, "[{2 7 }]"},
		{"never run", func(s *Store) []Outcome { s.MarkDurable(9); return s.Finish(noon, keyOf(1), EntryNeverRan, nil) }, "[{2 1 }]"},
		{"withdrawn before its intent", func(s *Store) []Outcome { s.Withdraw(noon, keyOf(1), 1); return s.MarkDurable(9) }, "[{2 4 }]"},
		{"both withdrawn", func(s *Store) []Outcome {
			s.Withdraw(noon, keyOf(1), 2)
			s.Withdraw(noon, keyOf(1), 1)
			return append(s.MarkDurable(9), s.Reserve(noon, 0, keyOf(1), "", 3))
		}, "[{3 3 }]"},
		{"withdrawn while it runs", func(s *Store) []Outcome {
			s.MarkDurable(9)
			s.Withdraw(noon, keyOf(1), 1)
			s.Finish(noon, keyOf(1), EntryResult, []byte("yes"))
			return s.MarkDurable(99)
		}, "[{2 6 yes}]"},
		{"the disk fails before its intent", func(s *Store) []Outcome { return s.DiskFailed() }, "[{1 12 } {2 12 }]"},
		{"and after its end", func(s *Store) []Outcome {
			s.MarkDurable(9)
			s.Finish(noon, keyOf(1), EntryResult, []byte("yes"))
			return append(s.DiskFailed(), s.Reserve(noon, 0, keyOf(1), "", 3))
		}, "[{1 5 yes} {2 6 yes} {3 6 yes}]"},
	} {
		s := New(cfg)
		s.FinishLoading(noon, true, 0)
		s.Reserve(noon, 0, keyOf(1), "", 1)
		s.Reserve(noon, 0, keyOf(1), "", 2)
		got := "["
		for i, o := range c.play(s) {
			if i > 0 {
				got += " "
			}
			got += fmt.Sprintf("{%d %d %s}", o.ID, o.Decision, o.Result)
		}
		if got += "]"; got != c.want {
			t.Errorf("%s: %s, not %s", c.name, got, c.want)
		}
	}
}

// TestForsaken: what was in hand is in doubt once nobody has it any more; an end on its way to the disk is not, and one that turns up counts.
func TestForsaken(t *testing.T) {
	s := New(Config{MaxEntries: 10, MaxBytes: 1000, MaxResultBytes: 100, ResultTTL: time.Hour, RetryHorizon: 24 * time.Hour, MaxSegments: 5, KeysPerSegment: 10, SegmentBytes: 1000})
	s.FinishLoading(noon, false, 0)
	for n := range uint64(3) {
		s.Reserve(noon, 0, keyOf(n), "status", n+1)
	}
	s.MarkDurable(s.seq)
	s.Finish(noon, keyOf(1), EntryResult, []byte("filed"))
	s.Reserve(noon, 0, keyOf(3), "status", 4)
	s.AbandonInFlight(noon)
	if got := s.UnknownByHandler(); got["status"] != 3 || s.hands != 1 {
		t.Error(got, s.hands)
	}
	s.Finish(noon, keyOf(2), EntryResult, []byte("late"))
	s.MarkDurable(s.seq)
	var got []Decision
	for n := range uint64(4) {
		got = append(got, s.PeekOutcome(noon, 0, keyOf(n)).Decision)
	}
	if diff := cmp.Diff([]Decision{OutcomeUnknown, Replay, Replay, OutcomeUnknown}, got); diff != "" {
		t.Error(diff)
	}
}
