package statsfile

import (
	"bytes"
	"path/filepath"
	"slices"
	"testing"

	"frosthub/accounting"

	"github.com/google/go-cmp/cmp"
)

// snapshotHistory holds the snapshots of a ledger after each of its latest entries.
type snapshotHistory struct {
	ledger *accounting.Ledger // the ledger to which the entries are applied
	list   [][]byte
}

// add applies the entries and appends the snapshot after each of them.
func (s *snapshotHistory) add(t *testing.T, entries []accounting.Entry) {
	t.Helper()
	for _, entry := range entries {
		if err := s.ledger.Apply(entry); err != nil {
			t.Fatal(err)
		}
		s.list = append(s.list, s.ledger.AppendSnapshot(nil))
	}
	s.list = s.list[max(0, len(s.list)-4*MinEntries):]
}

// contains reports whether the history has the snapshot. It searches backwards because the latest snapshots are the most
// likely.
func (s *snapshotHistory) contains(snapshot []byte) bool {
	for _, other := range slices.Backward(s.list) {
		if bytes.Equal(snapshot, other) {
			return true
		}
	}
	return false
}

func (s *snapshotHistory) last() []byte { return s.list[len(s.list)-1] }

// checkPartialWrites simulates a process that ends in the middle of a write. It applies the changed bytes one by one, in
// the order of the file, and checks that the file always holds the ledger as it was after one of its entries. It returns
// the number of cuts, the points in the write at which it checked the file.
func checkPartialWrites(t *testing.T, l layout, before, after []byte, ledgers *snapshotHistory) int {
	t.Helper()
	checked := 0
	image := bytes.Clone(before)
	for at := range after {
		if image[at] == after[at] {
			continue
		}
		image[at] = after[at]
		if at%3 > 0 && at > l.snapshotOffset(0) {
			continue
		}
		checked++
		got, err := Read(image)
		if err != nil {
			t.Fatalf("process ended at byte %d: reading the file: %v", at, err)
		}
		if !ledgers.contains(got.AppendSnapshot(nil)) {
			t.Fatalf("process ended at byte %d: the file holds a ledger that never existed", at)
		}
	}
	return checked
}

// TestCrashWhileWriting checks that wherever the process ends in the middle of a write, the file holds the ledger as it
// was after one of its entries, and that a new incarnation continues from it with counts that add up.
func TestCrashWhileWriting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	ledger, recorder, _ := openLedger(t, path)
	defer recorder.Close(ledger, noon)
	f := recorder.file
	replayed, _, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	ledgers := snapshotHistory{ledger: replayed, list: [][]byte{replayed.AppendSnapshot(nil)}}
	var open []accounting.Ticket
	checked, lastPeriod := 0, uint64(0)
	for i := range 3 * MinEntries {
		open = step(ledger, i, open)
		var entries []accounting.Entry
		ledger.TakeEntries(func(taken []accounting.Entry) { entries = append(entries, taken...) })
		ledgers.add(t, entries)
		ledger.RequeueEntries(entries)
		before := bytes.Clone(f.data)
		if err := f.append(ledger); err != nil {
			t.Fatal(err)
		}
		_, next := ledger.Periods()
		if next == lastPeriod && i%37 > 0 {
			continue // partial writes are checked when a period was written, and otherwise at every 37th step
		}
		lastPeriod = next
		checked += checkPartialWrites(t, f.layout, before, f.data, &ledgers)
		got, err := Read(f.data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(ledgers.last(), got.AppendSnapshot(nil)); diff != "" {
			t.Fatal(i, diff)
		}
		restarted, err := got.Restart(testConfig, noon, 0)
		if err != nil {
			t.Fatal(err)
		}
		restarted.Audit(noon)
		total := restarted.Total()
		if len(restarted.TakeMismatches()) > 0 || total.Open != 0 || total.Received != ledger.Total().Received {
			t.Fatal(total, ledger.Total())
		}
	}
	if checked < 1000 {
		t.Error("only", checked, "cuts")
	}
}
