package idempotency

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testStore is a store with a fake disk, on which a test runs single requests.
type testStore struct {
	store     *Store
	disk      *fakeDisk
	requestID uint64
}

func newTestStore(cfg Config) *testStore {
	ts := &testStore{store: New(cfg), disk: newFakeDisk()}
	ts.store.FinishLoading(baseTime, true, 0)
	ts.commit()
	return ts
}

// commit makes all entries durable.
func (ts *testStore) commit() {
	ts.store.MarkDurable(ts.disk.writeAll(ts.store.TakeEntries()))
}

// run runs a request from its arrival to its durable result, and returns the decision on it.
func (ts *testStore) run(now time.Duration, key uint64, result string) Decision {
	ts.requestID++
	outcome := ts.store.Reserve(now, 0, testKey(key), "", ts.requestID)
	if outcome.Decision != Wait {
		return outcome.Decision
	}
	ts.commit()
	ts.store.Finish(now, testKey(key), EntryResult, []byte(result))
	ts.commit()
	return Completed
}

// TestExpiry checks that an expired result leaves a fingerprint, also after a restart, and that
// nothing is left after the retry horizon.
func TestExpiry(t *testing.T) {
	cfg := Config{
		MaxEntries:     10,
		MaxBytes:       100,
		MaxResultBytes: 50,
		ResultTTL:      time.Minute,
		RetryHorizon:   time.Hour,
		MaxSegments:    12,
		KeysPerSegment: 100,
		SegmentBytes:   1 << 20,
	}
	ts := newTestStore(cfg)
	ts.run(baseTime, 7, "filed")
	for i, c := range []struct {
		after   time.Duration
		restart bool
		want    Decision
	}{
		{after: time.Second, want: Replay},
		{after: 2 * time.Minute, want: ResultExpired},
		{after: 40 * time.Minute, want: ResultExpired},
		{after: 59 * time.Minute, restart: true, want: ResultExpired},
		{after: 70 * time.Minute, want: Completed},
	} {
		ts.store.Sweep(baseTime + c.after)
		ts.run(baseTime+c.after, uint64(100+i), "another") // keeps opening new segments
		ts.store.Sweep(baseTime + c.after)
		ts.commit()
		if c.restart {
			ts.store = New(cfg)
			ts.disk.load(ts.store)
			ts.store.FinishLoading(baseTime+c.after, false, 0)
			ts.commit()
		}
		if got := ts.run(baseTime+c.after, 7, "again"); got != c.want {
			t.Errorf("after %s: got %s, want %s; stats %+v", c.after, got, c.want, ts.store.Stats())
		}
	}
	if got := ts.store.Peek(baseTime+71*time.Minute, baseTime, testKey(9)); got != ResultExpired {
		t.Error("request made long before the retry horizon: ", got)
	}
}

// TestBounds checks that requests are rejected when keys arrive faster than they may be dropped,
// and that no key is dropped early.
func TestBounds(t *testing.T) {
	ts := newTestStore(Config{
		MaxEntries:     20,
		MaxBytes:       1000,
		MaxResultBytes: 50,
		ResultTTL:      time.Minute,
		RetryHorizon:   time.Hour,
		MaxSegments:    4,
		KeysPerSegment: 5,
		SegmentBytes:   1 << 20,
	})
	ran := uint64(0)
	for ts.run(baseTime, ran+1, "filed") == Completed {
		ran++
	}
	if stats := ts.store.Stats(); ran != 20 || stats.Segments != 4 {
		t.Fatal(ran, stats)
	}
	for key := uint64(1); key <= ran; key++ {
		if got := ts.store.Peek(baseTime, 0, testKey(key)); got != Duplicate && got != ResultExpired {
			t.Errorf("key %d: got %s, want a duplicate or an expired result", key, got)
		}
	}
	if got := ts.run(baseTime+59*time.Minute, 99, "filed"); got != StoreFull {
		t.Error("before the retry horizon: ", got)
	}
	if got := ts.run(baseTime+61*time.Minute, 99, "filed"); got != Completed {
		t.Error("after the retry horizon: ", got)
	}
}

// TestLostHistory checks that a key whose log records are lost is never fresh, over several
// restarts, until the retry horizon has passed, the client states when it made the request, or an
// operator accepts the loss.
func TestLostHistory(t *testing.T) {
	cfg := Config{
		MaxEntries:     10,
		MaxBytes:       100,
		MaxResultBytes: 50,
		ResultTTL:      time.Minute,
		RetryHorizon:   time.Hour,
		MaxSegments:    12,
		KeysPerSegment: 2,
		SegmentBytes:   1 << 20,
	}
	ts := newTestStore(cfg)
	for key := uint64(1); key <= 5; key++ {
		ts.run(baseTime, key, "filed")
	}
	// restart loads all segments except the second.
	restart := func(now time.Duration, change func(s *Store)) {
		ts.store = New(cfg)
		for number := uint64(1); number <= 9; number++ {
			if fingerprints, ok := ts.disk.fingerprints[number]; ok {
				ts.store.LoadFingerprints(fingerprints)
				continue
			}
			if number == 2 {
				ts.store.LoadLostSegment(number)
				continue
			}
			records := ts.disk.records[number]
			if number == 3 && len(records) > 0 {
				ts.store.AddHistoryLoss(records[0].At)
			}
			for _, entry := range records {
				ts.store.Load(entry)
			}
		}
		ts.store.FinishLoading(now, false, 0)
		if change != nil {
			change(ts.store)
		}
		ts.commit()
	}
	var got []Decision
	peek := func(now, madeAt time.Duration, key uint64) {
		got = append(got, ts.store.Peek(now, madeAt, testKey(key)))
	}
	restart(baseTime+time.Minute, nil)
	peek(baseTime+time.Minute, 0, 3)                    // the segment of its records is lost
	peek(baseTime+time.Minute, 0, 9)                    // a new key of a request without a time
	peek(baseTime+time.Minute, baseTime+time.Second, 9) // a new key of a request made after the loss
	peek(baseTime+time.Minute, 0, 5)
	restart(baseTime+50*time.Minute, func(s *Store) { s.Sweep(baseTime + 50*time.Minute) }) // retires the segments around the lost one
	peek(baseTime+50*time.Minute, 0, 9)
	restart(baseTime+50*time.Minute, func(s *Store) { s.AcceptHistory(baseTime + 50*time.Minute) })
	peek(baseTime+50*time.Minute, 0, 9)
	restart(baseTime+51*time.Minute, nil)
	peek(baseTime+51*time.Minute, 0, 9)
	if want := []Decision{HistoryLost, HistoryLost, Fresh, Duplicate, HistoryLost, Fresh, Fresh}; !slices.Equal(got, want) {
		t.Error(got, want)
	}
	restart(baseTime+62*time.Minute, func(s *Store) { s.Sweep(baseTime + 62*time.Minute) })
	if stats := ts.store.Stats(); stats.LostBefore != 0 {
		t.Error(stats)
	}
}

// TestWaitingRequests checks that a retry of a request in flight receives the outcome of the
// original request, and that the next request takes the place of one that is withdrawn.
func TestWaitingRequests(t *testing.T) {
	const (
		intentDurable     = 9  // after the log record of the intent
		completionDurable = 99 // after the completion record
	)
	finish := func(s *Store, completion EntryKind, result string) []Outcome {
		return s.Finish(baseTime, testKey(1), completion, []byte(result))
	}
	retry := func(s *Store) Outcome {
		return s.Reserve(baseTime, 0, testKey(1), "", 3)
	}
	for _, c := range []struct {
		name string
		run  func(s *Store) []Outcome
		want []string
	}{
		{"completed with a result", func(s *Store) []Outcome {
			s.MarkDurable(intentDurable)
			finish(s, EntryResult, "yes")
			return s.MarkDurable(completionDurable)
		}, []string{"1 completed yes", "2 replay yes"}},
		{"completed with a result that is too long", func(s *Store) []Outcome {
			s.MarkDurable(intentDurable)
			finish(s, EntryResult, "longer")
			return s.MarkDurable(completionDurable)
		}, []string{"1 completed longer", "2 result expired "}},
		{"original failed", func(s *Store) []Outcome {
			s.MarkDurable(intentDurable)
			return finish(s, EntryFailed, "")
		}, []string{"2 original failed "}},
		{"proved never to have run", func(s *Store) []Outcome {
			s.MarkDurable(intentDurable)
			return finish(s, EntryNeverRan, "")
		}, []string{"2 fresh "}},
		{"withdrawn before the intent is durable", func(s *Store) []Outcome {
			s.Withdraw(baseTime, testKey(1), 1)
			return s.MarkDurable(intentDurable)
		}, []string{"2 start "}},
		{"original and retry withdrawn", func(s *Store) []Outcome {
			s.Withdraw(baseTime, testKey(1), 2)
			s.Withdraw(baseTime, testKey(1), 1)
			return append(s.MarkDurable(intentDurable), retry(s))
		}, []string{"3 wait "}},
		{"withdrawn while running", func(s *Store) []Outcome {
			s.MarkDurable(intentDurable)
			s.Withdraw(baseTime, testKey(1), 1)
			finish(s, EntryResult, "yes")
			return s.MarkDurable(completionDurable)
		}, []string{"2 replay yes"}},
		{"the disk fails before the intent is durable", func(s *Store) []Outcome {
			return s.MarkDiskFailed()
		}, []string{"1 store failed ", "2 store failed "}},
		{"the disk fails before the completion is durable", func(s *Store) []Outcome {
			s.MarkDurable(intentDurable)
			finish(s, EntryResult, "yes")
			return append(s.MarkDiskFailed(), retry(s))
		}, []string{"1 completed yes", "2 replay yes", "3 replay yes"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(Config{
				MaxEntries:     10,
				MaxBytes:       100,
				MaxResultBytes: 5,
				ResultTTL:      time.Minute,
				RetryHorizon:   time.Hour,
				MaxSegments:    12,
				KeysPerSegment: 9,
				SegmentBytes:   1 << 20,
			})
			s.FinishLoading(baseTime, true, 0)
			s.Reserve(baseTime, 0, testKey(1), "", 1)
			s.Reserve(baseTime, 0, testKey(1), "", 2)
			var got []string
			for _, outcome := range c.run(s) {
				got = append(got, fmt.Sprintf("%d %s %s", outcome.ID, outcome.Decision, outcome.Result))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got outcomes %q, want %q", got, c.want)
			}
		})
	}
}

// TestAbandonInFlight checks that abandoning the requests in flight makes their outcomes unknown,
// except for a completion that is being written, and that a late completion is still recorded.
func TestAbandonInFlight(t *testing.T) {
	s := New(Config{
		MaxEntries:     10,
		MaxBytes:       1000,
		MaxResultBytes: 100,
		ResultTTL:      time.Hour,
		RetryHorizon:   24 * time.Hour,
		MaxSegments:    5,
		KeysPerSegment: 10,
		SegmentBytes:   1000,
	})
	s.FinishLoading(baseTime, false, 0)
	for n := range uint64(3) {
		s.Reserve(baseTime, 0, testKey(n), "status", n+1)
	}
	s.MarkDurable(s.lastSeq)
	s.Finish(baseTime, testKey(1), EntryResult, []byte("filed"))
	s.Reserve(baseTime, 0, testKey(3), "status", 4)
	s.AbandonInFlight(baseTime)
	if got := s.UnknownOutcomesByHandler(); got["status"] != 3 || s.inFlight != 1 {
		t.Error(got, s.inFlight)
	}
	s.Finish(baseTime, testKey(2), EntryResult, []byte("late"))
	s.MarkDurable(s.lastSeq)
	var got []Decision
	for n := range uint64(4) {
		got = append(got, s.PeekOutcome(baseTime, 0, testKey(n)).Decision)
	}
	if diff := cmp.Diff([]Decision{OutcomeUnknown, Replay, Replay, OutcomeUnknown}, got); diff != "" {
		t.Error(diff)
	}
}

// TestUnknownOutcomeExpires checks that a request without a completion record is rejected after a
// restart, first with an unknown outcome and, after its record has expired, with an expired result.
func TestUnknownOutcomeExpires(t *testing.T) {
	cfg := Config{
		MaxEntries:     10,
		MaxBytes:       100,
		MaxResultBytes: 50,
		ResultTTL:      time.Minute,
		RetryHorizon:   time.Hour,
		MaxSegments:    12,
		KeysPerSegment: 9,
		SegmentBytes:   1 << 20,
	}
	ts := newTestStore(cfg)
	ts.store.Reserve(baseTime, 0, testKey(1), "status", 1)
	ts.commit()
	for incarnation := range 2 {
		ts.store = New(cfg)
		ts.disk.load(ts.store)
		ts.store.FinishLoading(baseTime+time.Second, false, 0)
		ts.commit()
		if keys := ts.store.KeysWithUnknownOutcome(5); !slices.Equal(keys, []Key{testKey(1)}) {
			t.Errorf("after %d restarts: keys with an unknown outcome: %x", incarnation+1, keys)
		}
	}
	for _, c := range []struct {
		after time.Duration
		want  Decision
	}{
		{59 * time.Second, OutcomeUnknown},
		{61 * time.Second, ResultExpired},
	} {
		ts.store.Sweep(baseTime + c.after)
		if got := ts.store.Reserve(baseTime+c.after, 0, testKey(1), "status", 2); got.Decision != c.want {
			t.Errorf("after %s: got %s, want %s", c.after, got.Decision, c.want)
		}
	}
	if stats := ts.store.Stats(); stats.Keys != 0 || stats.OutcomeUnknown != 0 {
		t.Errorf("%+v", stats)
	}
}

// TestNames checks that the names in the output of the operators' commands, and the numbers that
// are on disks, do not change.
func TestNames(t *testing.T) {
	var kinds []string
	for kind := range EntryKind(13) {
		kinds = append(kinds, kind.String())
	}
	want := "unknown,intent,result,failed,never,too long,open,life,accepted,drop,retire,gap,unknown"
	if got := strings.Join(kinds, ","); got != want {
		t.Errorf("got names %s, want %s", got, want)
	}
	if got := (StoreFailed + 1).String(); got != "decision 13" {
		t.Error(got)
	}
}

// TestExpiryWhileLoading guards against a failure of loading when a key expires during it. A key
// that was reserved again after a proof that it never ran may do so, because its earlier entry is
// still in the expiry queue.
func TestExpiryWhileLoading(t *testing.T) {
	cfg := Config{
		MaxEntries:     3,
		MaxBytes:       1000,
		MaxResultBytes: 100,
		ResultTTL:      time.Hour,
		RetryHorizon:   24 * time.Hour,
		MaxSegments:    10,
		KeysPerSegment: 100,
		SegmentBytes:   1 << 20,
	}
	ts := newTestStore(cfg)
	restart := func() {
		ts.store = New(cfg)
		ts.disk.load(ts.store)
		ts.store.FinishLoading(baseTime, false, 0)
		ts.commit()
	}
	ts.store.Reserve(baseTime, 0, testKey(1), "", 1)
	ts.commit()
	restart() // makes its outcome unknown
	ts.store.Finish(baseTime, testKey(1), EntryNeverRan, nil)
	ts.store.Reserve(baseTime, 0, testKey(1), "", 2)
	ts.commit()
	for key := uint64(2); key <= 4; key++ {
		if got := ts.run(baseTime, key, "filed"); got != Completed {
			t.Fatal(key, got)
		}
	}
	ts.store.Reserve(baseTime, 0, testKey(5), "", 3)
	ts.commit()
	restart()
	for _, key := range []uint64{1, 5} { // both were in flight at the restart
		if got := ts.store.Peek(baseTime, 0, testKey(key)); got == Fresh {
			t.Errorf("key %d is fresh", key)
		}
	}
}
