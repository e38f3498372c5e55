package statsfile

import (
	"bytes"
	"path/filepath"
	"slices"
	"testing"

	"frosthub/accounting"

	"github.com/google/go-cmp/cmp"
)

// snapshots are those of a ledger after each of its latest entries.
type snapshots struct {
	ledger *accounting.Ledger // follows the entries
	list   [][]byte
}

// add appends the snapshots after each of the entries.
func (s *snapshots) add(t *testing.T, entries []accounting.Entry) {
	t.Helper()
	for _, entry := range entries {
		if err := s.ledger.Apply(entry); err != nil {
			t.Fatal(err)
		}
		s.list = append(s.list, s.ledger.AppendSnapshot(nil))
	}
	s.list = s.list[max(0, len(s.list)-4*MinEntries):]
}

// contain reports whether the snapshot is one of them: most likely one of the last.
func (s *snapshots) contain(snapshot []byte) bool {
	for _, other := range slices.Backward(s.list) {
		if bytes.Equal(snapshot, other) {
			return true
		}
	}
	return false
}

func (s *snapshots) last() []byte { return s.list[len(s.list)-1] }

// tryCuts ends the process at the bytes that a write changes, one after the other in the order of the file's parts, and
// checks that each time the file holds the ledger as it was after one of its entries. It returns the number of cuts.
func tryCuts(t *testing.T, l layout, before, after []byte, ledgers *snapshots) int {
	t.Helper()
	cuts := 0
	image := bytes.Clone(before)
	for at := range after {
		if image[at] == after[at] {
			continue
		}
		image[at] = after[at]
		if at%3 > 0 && at > l.snapshotOffset(0) {
			continue
		}
		cuts++
		got, err := Read(image)
		if err != nil {
			t.Fatalf("cut at byte %d: %v", at, err)
		}
		if !ledgers.contain(got.AppendSnapshot(nil)) {
			t.Fatalf("cut at byte %d: a ledger that there never was", at)
		}
	}
	return cuts
}

// TestCrashWhileWriting checks that wherever the process is ended in the middle of writing, the file holds the ledger as it
// was after one of its entries, and that a new incarnation goes on from it with counts that add up.
func TestCrashWhileWriting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	ledger, recorder, _ := openLedger(t, path)
	defer recorder.Close(ledger, noon)
	f := recorder.file
	replayed, _, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	ledgers := snapshots{ledger: replayed, list: [][]byte{replayed.AppendSnapshot(nil)}}
	var open []accounting.Ticket
	cuts, lastPeriod := 0, uint64(0)
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
			continue // all cuts are tried where a period or a snapshot is written, and now and then
		}
		lastPeriod = next
		cuts += tryCuts(t, f.layout, before, f.data, &ledgers)
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
	if cuts < 1000 {
		t.Error("only", cuts, "cuts")
	}
}
