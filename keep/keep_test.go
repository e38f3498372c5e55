package keep

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frosthub/internal/golden"
)

func init() { golden.SameDraws() }

func keyOf(n uint64) (k Key) {
	binary.BigEndian.PutUint64(k[8:], n)
	return k
}

// TestNeverTwice: over any arrivals, ends, losses of what was not yet durable, restarts, failing disks and clocks that go back, no key
// is begun twice unless it was proved never to have run, who repeats gets the first result or none, and bounds hold.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Entries: 6, Bytes: 60, Lifetime: 20 * time.Second, Epoch: 10 * time.Second, Epochs: 100, Prints: 100}
		now := 1000 * time.Hour
		s := New(cfg, now)
		var disk, written []Record // durable, and handed over but not yet
		runs, never := map[uint64]int{}, map[uint64]int{}
		results := map[uint64][]byte{}
		keys, running := map[uint64]uint64{}, map[uint64]bool{} // req to key, keys that run now
		id, failed := uint64(0), false
		take := func(all []Outcome) {
			for _, o := range all {
				k := keys[o.ID]
				switch o.Verdict {
				case Begin:
					if runs[k]++; runs[k]-never[k] > 1 {
						t.Fatalf("key %d is begun %d times", k, runs[k])
					}
					running[k] = true
				case Repeat:
					if !bytes.Equal(o.Result, results[k]) {
						t.Fatalf("key %d: %q, not the first result %q", k, o.Result, results[k])
					}
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-1000, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				id++
				k := uint64(rapid.IntRange(1, 12).Draw(t, "key"))
				keys[id] = k
				take([]Outcome{s.Arrive(now, now, keyOf(k), id)})
			case 4, 5: // a run ends
				for k := range uint64(13) {
					if !running[k] {
						continue
					}
					kind := rapid.SampledFrom([]Kind{Result, Result, Failed, Never}).Draw(t, "end")
					delete(running, k)
					result := fmt.Appendf(nil, "result %d of %d", id, k)
					switch kind {
					case Result:
						if results[k] == nil {
							results[k] = result
						}
					case Never:
						never[k]++
					}
					take(s.Ended(now, keyOf(k), kind, result))
					break
				}
			case 6, 7: // a part of what waits becomes durable
				written = append(written, s.Records()...)
				if n := rapid.IntRange(0, len(written)).Draw(t, "durable"); n > 0 && !failed {
					disk = append(disk, written[:n]...)
					written = written[n:]
					take(s.Durable(disk[len(disk)-1].Seq))
				}
			case 8:
				s.Tidy(now)
				if rapid.IntRange(0, 20).Draw(t, "disk") == 0 {
					failed = true
					take(s.DiskFailed())
				}
			case 9: // the process dies; some of what was not durable may be on the disk all the same
				written = append(written, s.Records()...)
				if !failed {
					disk = append(disk, written[:rapid.IntRange(0, len(written)).Draw(t, "kept")]...)
				}
				written, failed = nil, false
				s = New(cfg, now)
				for _, r := range disk {
					s.Load(r)
				}
				s.Restarted(now)
				running = map[uint64]bool{}
				for k := range never { // it is proved only where it is written
					never[k] = 0
					for _, r := range disk {
						if r.Kind == Never && r.Key == keyOf(k) {
							never[k]++
						}
					}
				}
			}
			if s.Len() > cfg.Entries || s.Bytes() > cfg.Bytes+40 {
				t.Fatal("over its bounds: ", s.Len(), s.Bytes())
			}
		}
	})
}

// TestAging: a result that has aged out leaves a print, and one whose print is gone can't be proved fresh.
func TestAging(t *testing.T) {
	cfg := Config{Entries: 10, Bytes: 100, Lifetime: time.Minute, Epoch: time.Hour, Epochs: 2, Prints: 1000}
	start := 1000 * time.Hour
	s := New(cfg, start)
	claim := keyOf(7)
	if o := s.Arrive(start, start, claim, 1); o.Verdict != Wait {
		t.Fatal(o)
	}
	if out := s.Durable(1); len(out) != 1 || out[0].Verdict != Begin {
		t.Fatal(out)
	}
	s.Ended(start, claim, Result, []byte("filed"))
	s.Durable(2)
	for _, c := range []struct {
		after time.Duration
		want  Verdict
	}{{time.Second, Repeat}, {2 * time.Minute, TooLate}, {90 * time.Minute, TooLate}, {3 * time.Hour, TooLate}} {
		s.Tidy(start + c.after)
		if o := s.Arrive(start+c.after, start, claim, 2); o.Verdict != c.want {
			t.Errorf("after %s: %v, not %v", c.after, o.Verdict, c.want)
		}
	}
	if o := s.Arrive(start+3*time.Hour, start+3*time.Hour, keyOf(8), 3); o.Verdict != Wait {
		t.Error("a fresh one is run: ", o.Verdict)
	}
}
