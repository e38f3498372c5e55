package idempotency

import (
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"frosthub/internal/golden"

	"pgregory.net/rapid"
)

func init() { golden.FixSeeds() }

// testKey returns the key of the request with the given number.
func testKey(n uint64) (key Key) {
	binary.BigEndian.PutUint64(key[8:], n)
	return key
}

const baseTime = 1000 * time.Hour

// fakeDisk is an in-memory disk of log entries: the log records or the fingerprints of each
// segment.
type fakeDisk struct {
	records      map[uint64][]LogEntry
	fingerprints map[uint64]Fingerprints
}

func newFakeDisk() *fakeDisk {
	return &fakeDisk{records: map[uint64][]LogEntry{}, fingerprints: map[uint64]Fingerprints{}}
}

func (d *fakeDisk) write(entry LogEntry) {
	switch entry.Kind {
	case EntrySegmentRetired:
		fingerprints := *entry.Fingerprints
		if fingerprints.Filter != nil {
			fingerprints.Filter = fingerprints.Filter.Copy()
		}
		d.fingerprints[entry.Segment] = fingerprints
		delete(d.records, entry.Segment)
		return
	case EntrySegmentDropped:
		delete(d.fingerprints, entry.Subject)
	}
	d.records[entry.Segment] = append(d.records[entry.Segment], entry)
}

// writeAll writes entries and returns the highest sequence number among them.
func (d *fakeDisk) writeAll(entries []LogEntry) uint64 {
	seq := uint64(0)
	for _, entry := range entries {
		d.write(entry)
		seq = max(seq, entry.Seq)
	}
	return seq
}

func (d *fakeDisk) load(s *Store) {
	last := uint64(0)
	for number := range d.records {
		last = max(last, number)
	}
	for number := uint64(1); number <= last; number++ {
		if fingerprints, ok := d.fingerprints[number]; ok {
			s.LoadFingerprints(fingerprints)
			continue
		}
		for _, entry := range d.records[number] {
			s.Load(entry)
		}
	}
}

// modelKey is the expected state of a key according to a complete list of its requests.
type modelKey struct {
	madeAt   time.Duration
	runs     int // number of runs, without those proved never to have run
	result   []byte
	answered bool
}

// modelTest drives a store and compares it with a model.
type modelTest struct {
	t         *rapid.T
	cfg       Config
	now       time.Duration
	disk      *fakeDisk
	store     *Store
	unwritten []LogEntry // taken from the store and not yet durable

	keys           map[uint64]*modelKey
	newestKey      uint64 // highest key so far
	requestID      uint64 // last ID that was assigned
	keyByRequestID map[uint64]uint64
	runningIDs     map[uint64]uint64 // request IDs, by key

	diskFailed      bool // in this incarnation
	resultMayBeLost bool // the disk failed at least once, so the result of a run may be missing
}

// TestNeverRunsTwice checks that no key runs twice unless its run was proved never to have
// happened, that a retry receives the first result or none, and that the store stays within its
// bounds. Its random histories have arrivals, completions, withdrawals, losses of entries that were
// not durable, restarts, disk failures and a clock that is set back.
func TestNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &modelTest{
			t: t,
			cfg: Config{
				MaxEntries:     6,
				MaxBytes:       60,
				MaxResultBytes: 30,
				ResultTTL:      20 * time.Second,
				RetryHorizon:   80 * time.Second,
				MaxSegments:    30,
				KeysPerSegment: 4,
				SegmentBytes:   1000,
			},
			now:            baseTime,
			disk:           newFakeDisk(),
			keys:           map[uint64]*modelKey{},
			keyByRequestID: map[uint64]uint64{},
			runningIDs:     map[uint64]uint64{},
		}
		m.store = New(m.cfg)
		m.store.FinishLoading(m.now, true, 0)
		for range rapid.IntRange(80, 150).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(-1000, 3000).Draw(t, "ms")) * time.Millisecond
			m.step()
			m.checkBounds()
		}
	})
}

func (m *modelTest) step() {
	switch step := rapid.IntRange(0, 10).Draw(m.t, "step"); step {
	case 0, 1, 2, 3:
		m.request()
	case 4, 5:
		m.finishOne()
	case 6, 7:
		m.makeDurable()
	case 8:
		m.store.Sweep(m.now)
		if rapid.IntRange(0, 40).Draw(m.t, "disk") == 29 {
			m.diskFailed = true
			m.resultMayBeLost = true
			m.applyOutcomes(m.store.MarkDiskFailed())
		}
	case 9:
		m.withdraw()
	case 10:
		m.restart()
	}
}

// request makes a request, which is fresh or a retry within the retry horizon.
func (m *modelTest) request() {
	key := uint64(rapid.IntRange(1, 12).Draw(m.t, "key"))
	if key > m.newestKey || m.newestKey-key > 12 {
		key = m.newestKey - min(m.newestKey, key) + 1
	}
	if m.keys[key] == nil {
		m.newestKey = max(m.newestKey, key)
		m.keys[key] = &modelKey{madeAt: m.now}
	}
	if m.now-m.keys[key].madeAt > m.cfg.RetryHorizon-10*time.Second {
		m.newestKey++ // a request this old is no longer retried
		key = m.newestKey
		m.keys[key] = &modelKey{madeAt: m.now}
	}
	m.requestID++
	m.keyByRequestID[m.requestID] = key
	outcome := m.store.Reserve(m.now, m.keys[key].madeAt, testKey(key), "", m.requestID)
	if outcome.Decision == OutcomeUnknown && m.resultMayBeLost {
		return
	}
	m.applyOutcomes([]Outcome{outcome})
}

// finishOne completes the running request with the lowest key.
func (m *modelTest) finishOne() {
	for key := range m.newestKey + 1 {
		if _, ok := m.runningIDs[key]; !ok {
			continue
		}
		completion := rapid.SampledFrom([]EntryKind{EntryResult, EntryResult, EntryFailed, EntryNeverRan}).Draw(m.t, "end")
		delete(m.runningIDs, key)
		result := bytes.Repeat([]byte{byte('a' + key%20)}, 1+int(key)%28)
		switch completion {
		case EntryResult:
			m.keys[key].result = result
		case EntryNeverRan:
			m.keys[key].runs--
		}
		m.applyOutcomes(m.store.Finish(m.now, testKey(key), completion, result))
		return
	}
}

// makeDurable makes some of the unwritten entries durable.
func (m *modelTest) makeDurable() {
	m.unwritten = append(m.unwritten, m.store.TakeEntries()...)
	n := rapid.IntRange(0, len(m.unwritten)).Draw(m.t, "durable")
	if n == 0 || m.diskFailed {
		return
	}
	seq := m.disk.writeAll(m.unwritten[:n])
	m.unwritten = m.unwritten[n:]
	m.applyOutcomes(m.store.MarkDurable(seq))
}

// withdraw withdraws a random request.
func (m *modelTest) withdraw() {
	if m.requestID == 0 {
		return
	}
	id := uint64(rapid.IntRange(1, int(m.requestID)).Draw(m.t, "who"))
	m.store.Withdraw(m.now, testKey(m.keyByRequestID[id]), id)
}

// restart simulates the death of the process. Some entries that were not durable may be on the disk
// nevertheless.
func (m *modelTest) restart() {
	m.unwritten = append(m.unwritten, m.store.TakeEntries()...)
	if !m.diskFailed {
		m.disk.writeAll(m.unwritten[:rapid.IntRange(0, len(m.unwritten)).Draw(m.t, "kept")])
	}
	m.unwritten = nil
	m.diskFailed = false
	m.store = New(m.cfg)
	m.disk.load(m.store)
	m.store.FinishLoading(m.now, false, 0)
	clear(m.runningIDs) // the runs ended with the process
	for key, model := range m.keys {
		decision := m.store.Peek(m.now, model.madeAt, testKey(key))
		if model.answered && !m.resultMayBeLost && decision != Duplicate && decision != ResultExpired {
			m.t.Fatalf("key %d was answered before the restart; decision after it: %s", key, decision)
		}
		if rec := m.store.records[testKey(key)]; rec != nil && model.answered && !m.resultMayBeLost && rec.state == stateUnknown {
			m.t.Fatalf("key %d was answered before the restart; its outcome is unknown after it", key)
		}
	}
}

// applyOutcomes compares outcomes with the model and starts the requests that may run.
func (m *modelTest) applyOutcomes(outcomes []Outcome) {
	for _, outcome := range outcomes {
		key := m.keyByRequestID[outcome.ID]
		model := m.keys[key]
		switch outcome.Decision {
		case Start:
			model.runs++
			if model.runs > 1 {
				m.t.Fatalf("key %d ran twice", key)
			}
			m.runningIDs[key] = outcome.ID
		case Completed, Replay:
			if model.result == nil || !bytes.Equal(outcome.Result, model.result) {
				m.t.Fatalf("key %d: got result %q, want the first result %q", key, outcome.Result, model.result)
			}
			model.answered = true
		case OutcomeUnknown:
			if model.answered && !m.diskFailed {
				m.t.Fatalf("key %d was answered, but its outcome is unknown", key)
			}
		case Fresh, StoreFull, StoreFailed:
			if model.runs > 0 {
				m.t.Fatalf("key %d ran, but a retry is rejected as if it had not run", key)
			}
		case HistoryLost:
			m.t.Fatalf("key %d: history is reported as lost, but none is", key)
		}
	}
}

func (m *modelTest) checkBounds() {
	stats := m.store.Stats()
	if stats.Keys > m.cfg.MaxEntries+stats.OutcomeUnknown ||
		stats.ResultBytes > m.cfg.MaxBytes ||
		stats.Segments > m.cfg.MaxSegments+1 {
		m.t.Fatalf("the store exceeds its bounds: %+v", stats)
	}
}
