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
		cfg := Config{
			MaxEntries: rapid.IntRange(4, 20).Draw(t, "entries"), MaxBytes: 400, MaxResultBytes: 30, ResultTTL: time.Hour, RetryHorizon: 24 * time.Hour,
			MaxSegments: 50, KeysPerSegment: 5, SegmentBytes: 2000,
		}
		from, to := New(cfg), New(cfg)
		from.FinishLoading(noon, false, 0)
		to.FinishLoading(noon, false, 0)
		now, n := noon, uint64(0)
		ran := map[Key]bool{}
		run := func(times int) {
			for range times {
				n++
				now += time.Second
				key := keyOf(n)
				if from.Reserve(now, 0, key, handlerOf(n), n).Decision != Wait {
					continue
				}
				from.MarkDurable(from.seq)
				ran[key] = true
				switch rapid.IntRange(0, 5).Draw(t, "end") {
				case 0:
					from.Finish(now, key, EntryFailed, nil)
				case 1:
					from.Finish(now, key, EntryResult, make([]byte, cfg.MaxResultBytes+1))
				case 2:
					from.MarkUnknown(now, key)
				default:
					from.Finish(now, key, EntryResult, fmt.Append(nil, "result ", n))
				}
				from.MarkDurable(from.seq)
			}
		}
		run(rapid.IntRange(0, 30).Draw(t, "before"))
		to.MarkOutdated(now)
		to.SetProver(func(Key) bool { return true })
		_, at, end := from.Export(0, 0, 0, nil)
		before := n // what ran since reaches it as it runs
		for at < end {
			var told []Record
			told, at, _ = from.Export(at, min(at+3, end), 60, func(Key) bool { return true })
			for _, x := range told {
				if v := to.PeekOutcome(now, 0, x.Key).Decision; (v == Fresh || v == OutcomeUnknown) && !to.Merge(now, x) {
					t.Fatal("not taken: ", x)
				}
			}
			run(rapid.IntRange(0, 2).Draw(t, "meanwhile"))
		}
		for place, ok := uint64(0), true; ok; {
			var a ExpiredKeys
			if a, place, ok = from.NextExpired(place); ok {
				a.Filter = a.Filter.Copy()
				to.MergeExpired(a)
			}
		}
		for key := range ran {
			a, b := from.PeekOutcome(now, 0, key), to.PeekOutcome(now, 0, key)
			switch {
			case binary.BigEndian.Uint64(key[8:]) > before:
			case b.Decision != Fresh && (a.Decision == ResultExpired || b.Decision == ResultExpired): // it has aged at either
			case a.Decision != b.Decision || string(a.Result) != string(b.Result):
				t.Fatalf("key %x: %d %q there, %d %q here", key, a.Decision, a.Result, b.Decision, b.Result)
			}
		}
		if to.Complete() {
			t.Fatal("whole before it is said")
		}
		to.MarkComplete(now)
		if !to.Complete() {
			t.Fatal("not whole after it is said")
		}
		doubts := 0
		for of, n := range from.UnknownByHandler() {
			if of != "even" && of != "odd" {
				t.Fatal("a handler that is not known: ", of)
			}
			doubts += n
		}
		if doubts != from.Stats().OutcomeUnknown {
			t.Fatal("in doubt by handler: ", from.UnknownByHandler(), " of ", from.Stats().OutcomeUnknown)
		}
		d := disk{map[uint64][]LogEntry{}, map[uint64]Fingerprints{}}
		for _, w := range to.TakeEntries() {
			d.put(w)
		}
		again := New(cfg)
		d.load(again)
		again.FinishLoading(now, false, 0)
		if again.Complete() != (len(to.told) == 0) {
			t.Fatal("a later life is whole without the prints, or not whole without any")
		}
		for key := range ran {
			if a, b := to.PeekOutcome(now, 0, key), again.PeekOutcome(now, 0, key); len(to.told) == 0 && (a.Decision != b.Decision || string(a.Result) != string(b.Result)) {
				t.Fatalf("key %x: %d before the restart, %d after it", key, a.Decision, b.Decision)
			}
		}
	})
}

func handlerOf(n uint64) string { return [...]string{"even", "odd"}[n%2] }
