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
	t              *rapid.T
	cfg            Config
	now            time.Duration
	source, target *Store
	newestKey      uint64 // the highest key so far
	ran            map[Key]bool
}

// TestTransfer: a store that has lost all walks through another, while that one goes on and expires
// keys. Each key then meets here what it meets there, or that it has expired; nothing that ran is
// fresh. What was merged is there after a restart too.
func TestTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tt := &transferTest{
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
			now: baseTime,
			ran: map[Key]bool{},
		}
		tt.source = New(tt.cfg)
		tt.target = New(tt.cfg)
		tt.source.FinishLoading(baseTime, false, 0)
		tt.target.FinishLoading(baseTime, false, 0)

		tt.run(rapid.IntRange(0, 30).Draw(t, "before"))
		tt.target.MarkOutdated(tt.now)
		tt.target.SetRefillCheck(func(Key) bool { return true })
		before := tt.newestKey // what runs later reaches the other store as it runs
		tt.transferRecords()
		tt.transferFingerprints()
		tt.checkSameOutcomes(before)

		if tt.target.HistoryComplete() {
			t.Fatal("complete before it is marked so")
		}
		tt.target.MarkRefilled(tt.now)
		if !tt.target.HistoryComplete() {
			t.Fatal("not complete after it is marked so")
		}
		tt.checkUnknownByHandler()
		tt.checkRestart()
	})
}

// run runs so many requests on the first store, with any ends.
func (tt *transferTest) run(requests int) {
	for range requests {
		tt.newestKey++
		tt.now += time.Second
		key := testKey(tt.newestKey)
		if tt.source.Reserve(tt.now, 0, key, handlerOf(tt.newestKey), tt.newestKey).Decision != Wait {
			continue
		}
		tt.source.MarkDurable(tt.source.lastSeq)
		tt.ran[key] = true
		switch rapid.IntRange(0, 5).Draw(tt.t, "end") {
		case 0:
			tt.source.Finish(tt.now, key, EntryFailed, nil)
		case 1:
			tt.source.Finish(tt.now, key, EntryResult, make([]byte, tt.cfg.MaxResultBytes+1))
		case 2:
			tt.source.MarkOutcomeUnknown(tt.now, key)
		default:
			tt.source.Finish(tt.now, key, EntryResult, fmt.Append(nil, "result ", tt.newestKey))
		}
		tt.source.MarkDurable(tt.source.lastSeq)
	}
}

func handlerOf(n uint64) string { return [...]string{"even", "odd"}[n%2] }

// transferRecords walks through the records that there are at its start.
func (tt *transferTest) transferRecords() {
	_, position, end := tt.source.Export(0, 0, 0, nil)
	for position < end {
		var records []Record
		records, position, _ = tt.source.Export(position, min(position+3, end), 60, func(Key) bool { return true })
		for _, record := range records {
			decision := tt.target.PeekOutcome(tt.now, 0, record.Key).Decision
			if (decision == Fresh || decision == OutcomeUnknown) && !tt.target.Merge(tt.now, record) {
				tt.t.Fatal("not taken: ", record)
			}
		}
		tt.run(rapid.IntRange(0, 2).Draw(tt.t, "meanwhile"))
	}
}

func (tt *transferTest) transferFingerprints() {
	position := uint64(0)
	for {
		expired, next, ok := tt.source.NextExpired(position)
		if !ok {
			return
		}
		expired.Filter = expired.Filter.Copy()
		tt.target.MergeExpired(expired)
		position = next
	}
}

// compare checks that keys up to that number meet the same in both stores.
func (tt *transferTest) checkSameOutcomes(last uint64) {
	for key := range tt.ran {
		atSource := tt.source.PeekOutcome(tt.now, 0, key)
		atTarget := tt.target.PeekOutcome(tt.now, 0, key)
		switch {
		case binary.BigEndian.Uint64(key[8:]) > last:
		case atTarget.Decision != Fresh && (atSource.Decision == ResultExpired || atTarget.Decision == ResultExpired):
			// It has expired at either.
		case atSource.Decision != atTarget.Decision || string(atSource.Result) != string(atTarget.Result):
			tt.t.Fatalf("key %x: %s %q there, %s %q here", key, atSource.Decision, atSource.Result, atTarget.Decision, atTarget.Result)
		}
	}
}

func (tt *transferTest) checkUnknownByHandler() {
	unknown := 0
	for handler, n := range tt.source.UnknownOutcomesByHandler() {
		if handler != "even" && handler != "odd" {
			tt.t.Fatal("a handler that does not exist: ", handler)
		}
		unknown += n
	}
	if unknown != tt.source.Stats().OutcomeUnknown {
		tt.t.Fatal("unknown by handler: ", tt.source.UnknownOutcomesByHandler(), " of ", tt.source.Stats().OutcomeUnknown)
	}
}

// checkRestart checks that a later incarnation has what was merged, unless there were fingerprints,
// which are not on the disk.
func (tt *transferTest) checkRestart() {
	disk := newFakeDisk()
	disk.writeAll(tt.target.TakeEntries())
	restarted := New(tt.cfg)
	disk.load(restarted)
	restarted.FinishLoading(tt.now, false, 0)
	allOnDisk := len(tt.target.peerFingerprints) == 0
	if restarted.HistoryComplete() != allOnDisk {
		tt.t.Fatal("a later incarnation is complete without the fingerprints, or not complete without any")
	}
	for key := range tt.ran {
		before := tt.target.PeekOutcome(tt.now, 0, key)
		after := restarted.PeekOutcome(tt.now, 0, key)
		if allOnDisk && (before.Decision != after.Decision || string(before.Result) != string(after.Result)) {
			tt.t.Fatalf("key %x: %s before the restart, %s after it", key, before.Decision, after.Decision)
		}
	}
}
