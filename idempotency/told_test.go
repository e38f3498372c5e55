package idempotency

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTold: what a store that has lost all is told by walking through another, while that one goes on and ages keys, has each key meet there
// what it meets in the first, or that it has aged; nothing that ran is fresh. What it learnt it has after a restart too.
func TestTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Entries: rapid.IntRange(4, 20).Draw(t, "entries"), Bytes: 400, ResultMost: 30, Lifetime: time.Hour, Horizon: 24 * time.Hour,
			Segments: 50, Prints: 5, SegmentBytes: 2000}
		from, to := New(cfg), New(cfg)
		from.Restarted(noon, false, 0)
		to.Restarted(noon, false, 0)
		now, n := noon, uint64(0)
		ran := map[Key]bool{}
		run := func(times int) {
			for range times {
				n++
				now += time.Second
				key := keyOf(n)
				if from.Arrive(now, 0, key, handlerOf(n), n).Verdict != Wait {
					continue
				}
				from.Durable(from.seq)
				ran[key] = true
				switch rapid.IntRange(0, 5).Draw(t, "end") {
				case 0:
					from.Ended(now, key, Failed, nil)
				case 1:
					from.Ended(now, key, Result, make([]byte, cfg.ResultMost+1))
				case 2:
					from.Doubt(now, key)
				default:
					from.Ended(now, key, Result, fmt.Append(nil, "result ", n))
				}
				from.Durable(from.seq)
			}
		}
		run(rapid.IntRange(0, 30).Draw(t, "before"))
		to.Older(now)
		to.Proves(func(Key) bool { return true })
		_, at, end := from.Walk(0, 0, 0, nil)
		before := n // what ran since reaches it as it runs
		for at < end {
			var told []Told
			told, at, _ = from.Walk(at, min(at+3, end), 60, func(Key) bool { return true })
			for _, x := range told {
				if v := to.Meet(now, 0, x.Key).Verdict; (v == Fresh || v == InDoubt) && !to.Learn(now, x) {
					t.Fatal("not taken: ", x)
				}
			}
			run(rapid.IntRange(0, 2).Draw(t, "meanwhile"))
		}
		for place, ok := uint64(0), true; ok; {
			var a Aged
			if a, place, ok = from.Prints(place); ok {
				a.Filter = a.Filter.Copy()
				to.LearnPrints(a)
			}
		}
		for key := range ran {
			a, b := from.Meet(now, 0, key), to.Meet(now, 0, key)
			switch {
			case binary.BigEndian.Uint64(key[8:]) > before:
			case b.Verdict != Fresh && (a.Verdict == TooLate || b.Verdict == TooLate): // it has aged at either
			case a.Verdict != b.Verdict || string(a.Result) != string(b.Result):
				t.Fatalf("key %x: %d %q there, %d %q here", key, a.Verdict, a.Result, b.Verdict, b.Result)
			}
		}
		if to.Whole() {
			t.Fatal("whole before it is said")
		}
		to.Refilled(now)
		if !to.Whole() {
			t.Fatal("not whole after it is said")
		}
		doubts := 0
		for of, n := range from.DoubtsOf() {
			if of != "even" && of != "odd" {
				t.Fatal("a handler that is not known: ", of)
			}
			doubts += n
		}
		if doubts != from.Stats().InDoubt {
			t.Fatal("in doubt by handler: ", from.DoubtsOf(), " of ", from.Stats().InDoubt)
		}
		d := disk{map[uint64][]Write{}, map[uint64]Prints{}}
		for _, w := range to.Writes() {
			d.put(w)
		}
		again := New(cfg)
		d.load(again)
		again.Restarted(now, false, 0)
		if again.Whole() != (len(to.told) == 0) {
			t.Fatal("a later life is whole without the prints, or not whole without any")
		}
		for key := range ran {
			if a, b := to.Meet(now, 0, key), again.Meet(now, 0, key); len(to.told) == 0 && (a.Verdict != b.Verdict || string(a.Result) != string(b.Result)) {
				t.Fatalf("key %x: %d before the restart, %d after it", key, a.Verdict, b.Verdict)
			}
		}
	})
}

func handlerOf(n uint64) string { return [...]string{"even", "odd"}[n%2] }
