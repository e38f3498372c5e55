package idempotency

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// transferTest has a store that has lost everything be supplied by another one.
type transferTest struct {
	t        *rapid.T
	cfg      Config
	now      time.Duration
	from, to *Store
	newest   uint64 // the highest key so far
	ran      map[Key]bool
}

// TestTransfer: a store that has lost all walks through another, while that one goes on and expires
// keys. Each key then meets here what it meets there, or that it has expired; nothing that ran is
// fresh. What was merged is there after a restart too.
func TestTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &transferTest{
			t: t,
			cfg: Config{
				MaxEntries:     rapid.IntRange(4, 20).Draw(t, "entries"),
				MaxBytes:       400,
				MaxResultBytes: 30,
				ResultTTL:      time.Hour,
				RetryHorizon:   24 * time.Hour,
				MaxSegments:    50,
				KeysPerSegment: 5,
				SegmentBytes:   2000,
			},
			now: noon,
			ran: map[Key]bool{},
		}
		x.from = New(x.cfg)
		x.to = New(x.cfg)
		x.from.FinishLoading(noon, false, 0)
		x.to.FinishLoading(noon, false, 0)

		x.run(rapid.IntRange(0, 30).Draw(t, "before"))
		x.to.MarkOutdated(x.now)
		x.to.SetRefillCheck(func(Key) bool { return true })
		before := x.newest // what runs later reaches the other store as it runs
		x.transferRecords()
		x.transferFingerprints()
		x.compare(before)

		if x.to.HistoryComplete() {
			t.Fatal("complete before it is marked so")
		}
		x.to.MarkRefilled(x.now)
		if !x.to.HistoryComplete() {
			t.Fatal("not complete after it is marked so")
		}
		x.checkUnknownByHandler()
		x.checkRestart()
	})
}

// run runs so many requests on the first store, with any ends.
func (x *transferTest) run(requests int) {
	for range requests {
		x.newest++
		x.now += time.Second
		key := keyOf(x.newest)
		if x.from.Reserve(x.now, 0, key, handlerOf(x.newest), x.newest).Decision != Wait {
			continue
		}
		x.from.MarkDurable(x.from.lastSeq)
		x.ran[key] = true
		switch rapid.IntRange(0, 5).Draw(x.t, "end") {
		case 0:
			x.from.Finish(x.now, key, EntryFailed, nil)
		case 1:
			x.from.Finish(x.now, key, EntryResult, make([]byte, x.cfg.MaxResultBytes+1))
		case 2:
			x.from.MarkOutcomeUnknown(x.now, key)
		default:
			x.from.Finish(x.now, key, EntryResult, fmt.Append(nil, "result ", x.newest))
		}
		x.from.MarkDurable(x.from.lastSeq)
	}
}

func handlerOf(n uint64) string { return [...]string{"even", "odd"}[n%2] }

// transferRecords walks through the records that there are at its start.
func (x *transferTest) transferRecords() {
	_, position, end := x.from.Export(0, 0, 0, nil)
	for position < end {
		var records []Record
		records, position, _ = x.from.Export(position, min(position+3, end), 60, func(Key) bool { return true })
		for _, record := range records {
			met := x.to.PeekOutcome(x.now, 0, record.Key).Decision
			if (met == Fresh || met == OutcomeUnknown) && !x.to.Merge(x.now, record) {
				x.t.Fatal("not taken: ", record)
			}
		}
		x.run(rapid.IntRange(0, 2).Draw(x.t, "meanwhile"))
	}
}

func (x *transferTest) transferFingerprints() {
	position := uint64(0)
	for {
		expired, next, ok := x.from.NextExpired(position)
		if !ok {
			return
		}
		expired.Filter = expired.Filter.Copy()
		x.to.MergeExpired(expired)
		position = next
	}
}

// compare checks that keys up to that number meet the same in both stores.
func (x *transferTest) compare(last uint64) {
	for key := range x.ran {
		there := x.from.PeekOutcome(x.now, 0, key)
		here := x.to.PeekOutcome(x.now, 0, key)
		switch {
		case binary.BigEndian.Uint64(key[8:]) > last:
		case here.Decision != Fresh && (there.Decision == ResultExpired || here.Decision == ResultExpired):
			// It has expired at either.
		case there.Decision != here.Decision || string(there.Result) != string(here.Result):
			x.t.Fatalf("key %x: %s %q there, %s %q here", key, there.Decision, there.Result, here.Decision, here.Result)
		}
	}
}

func (x *transferTest) checkUnknownByHandler() {
	unknown := 0
	for handler, n := range x.from.UnknownOutcomesByHandler() {
		if handler != "even" && handler != "odd" {
			x.t.Fatal("a handler that does not exist: ", handler)
		}
		unknown += n
	}
	if unknown != x.from.Stats().OutcomeUnknown {
		x.t.Fatal("unknown by handler: ", x.from.UnknownOutcomesByHandler(), " of ", x.from.Stats().OutcomeUnknown)
	}
}

// checkRestart checks that a later incarnation has what was merged, unless there were fingerprints,
// which are not on the disk.
func (x *transferTest) checkRestart() {
	disk := newFakeDisk()
	disk.writeAll(x.to.TakeEntries())
	restarted := New(x.cfg)
	disk.load(restarted)
	restarted.FinishLoading(x.now, false, 0)
	allOnDisk := len(x.to.peerFingerprints) == 0
	if restarted.HistoryComplete() != allOnDisk {
		x.t.Fatal("a later incarnation is complete without the fingerprints, or not complete without any")
	}
	for key := range x.ran {
		before := x.to.PeekOutcome(x.now, 0, key)
		after := restarted.PeekOutcome(x.now, 0, key)
		if allOnDisk && (before.Decision != after.Decision || string(before.Result) != string(after.Result)) {
			x.t.Fatalf("key %x: %s before the restart, %s after it", key, before.Decision, after.Decision)
		}
	}
}
