package idempotency

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// transferTest supplies a store that has lost everything from another store.
type transferTest struct {
	t              *rapid.T
	cfg            Config
	now            time.Duration
	source, target *Store
	newestKey      uint64 // highest key so far
	ran            map[Key]bool
}

// TestTransfer transfers the records and fingerprints of a source store to a target store that has
// lost everything, while the source continues to run requests and expires keys. After it, each key
// has the same outcome in both stores or has expired in one, and no key that ran is fresh. The
// merged records survive a restart.
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
		lastTransferred := tt.newestKey // the transfer does not cover later requests
		tt.transferRecords()
		tt.transferFingerprints()
		tt.checkSameOutcomes(lastTransferred)

		if tt.target.HistoryComplete() {
			t.Fatal("the history is complete before MarkRefilled")
		}
		tt.target.MarkRefilled(tt.now)
		if !tt.target.HistoryComplete() {
			t.Fatal("the history is not complete after MarkRefilled")
		}
		tt.checkUnknownByHandler()
		tt.checkRestart()
	})
}

// run runs the given number of requests on the source store, with random completions.
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

// transferRecords transfers the records that exist when it starts.
func (tt *transferTest) transferRecords() {
	_, position, end := tt.source.Export(0, 0, 0, nil)
	for position < end {
		var records []Record
		records, position, _ = tt.source.Export(position, min(position+3, end), 60, func(Key) bool { return true })
		for _, record := range records {
			decision := tt.target.PeekOutcome(tt.now, 0, record.Key).Decision
			if (decision == Fresh || decision == OutcomeUnknown) && !tt.target.Merge(tt.now, record) {
				tt.t.Fatal("record was not merged: ", record)
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

// checkSameOutcomes checks that keys up to the given number have the same outcome in both stores.
func (tt *transferTest) checkSameOutcomes(last uint64) {
	for key := range tt.ran {
		atSource := tt.source.PeekOutcome(tt.now, 0, key)
		atTarget := tt.target.PeekOutcome(tt.now, 0, key)
		switch {
		case binary.BigEndian.Uint64(key[8:]) > last:
		case atTarget.Decision != Fresh && (atSource.Decision == ResultExpired || atTarget.Decision == ResultExpired):
			// The key has expired in one of the stores.
		case atSource.Decision != atTarget.Decision || string(atSource.Result) != string(atTarget.Result):
			tt.t.Fatalf("key %x: %s %q at the source, %s %q at the target", key, atSource.Decision, atSource.Result, atTarget.Decision, atTarget.Result)
		}
	}
}

func (tt *transferTest) checkUnknownByHandler() {
	unknown := 0
	for handler, n := range tt.source.UnknownOutcomesByHandler() {
		if handler != "even" && handler != "odd" {
			tt.t.Fatal("unexpected handler: ", handler)
		}
		unknown += n
	}
	if unknown != tt.source.Stats().OutcomeUnknown {
		tt.t.Fatal("unknown outcomes by handler do not add up: ", tt.source.UnknownOutcomesByHandler(), " of ", tt.source.Stats().OutcomeUnknown)
	}
}

// checkRestart checks that a later incarnation of the target has the merged records. If
// fingerprints were merged, which are not on the disk, its history must not be complete.
func (tt *transferTest) checkRestart() {
	disk := newFakeDisk()
	disk.writeAll(tt.target.TakeEntries())
	restarted := New(tt.cfg)
	disk.load(restarted)
	restarted.FinishLoading(tt.now, false, 0)
	allOnDisk := len(tt.target.peerFingerprints) == 0
	if restarted.HistoryComplete() != allOnDisk {
		tt.t.Fatal("a later incarnation has a complete history although fingerprints were merged, or an incomplete one although none were")
	}
	for key := range tt.ran {
		before := tt.target.PeekOutcome(tt.now, 0, key)
		after := restarted.PeekOutcome(tt.now, 0, key)
		if allOnDisk && (before.Decision != after.Decision || string(before.Result) != string(after.Result)) {
			tt.t.Fatalf("key %x: decision %s before the restart, %s after it", key, before.Decision, after.Decision)
		}
	}
}
