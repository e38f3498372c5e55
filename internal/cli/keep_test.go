package cli

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/wal"
)

// unfinished is passed to runOnce for a request that has no outcome.
const unfinished idempotency.EntryKind = 0

// runOnce runs one incarnation of a node, which reserves a key and records the
// outcome of the request unless that is unfinished.
func runOnce(t *testing.T, dir string, key byte, outcome idempotency.EntryKind) {
	t.Helper()
	store := idempotency.New(idempotency.Config{
		MaxEntries:     10,
		MaxBytes:       100,
		MaxResultBytes: 50,
		ResultTTL:      time.Hour,
		RetryHorizon:   time.Hour,
		MaxSegments:    9,
		KeysPerSegment: 9,
		SegmentBytes:   999,
	})
	now := wallClock()
	writer, _, err := wal.Open(wal.DirDisk(dir), "n1", store, now, nil)
	if err != nil {
		t.Fatal(err)
	}
	store.Reserve(now, 0, idempotency.Key{key}, "", 1)
	if outcome != unfinished {
		store.Finish(now, idempotency.Key{key}, outcome, []byte("yes"))
	}
	_, err = writer.Commit(store.TakeEntries())
	if err := errors.Join(err, writer.Close()); err != nil {
		t.Fatal(err)
	}
}

// TestKeep checks that the keep commands create and print a store, detect the loss of
// records and accept that loss.
func TestKeep(t *testing.T) {
	dir := t.TempDir()
	store := filepath.Join(dir, "store")
	if _, _, err := run(dir, "keep", "init", store); err == nil {
		t.Error("a store is created without the name of a node")
	}
	out, _, err := run(dir, "keep", "init", "--box", "n1", store)
	if out != "store: created an empty store for node n1\n" || err != nil {
		t.Error(out, err)
	}
	for _, args := range [][]string{
		{"keep", "init", "--box", "n1", store},
		{"keep", "check", dir},
		{"keep", "list", dir},
		{"keep", "accept", dir},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			if _, _, err := run(dir, args...); err == nil {
				t.Error("the command succeeds")
			}
		})
	}
	runOnce(t, store, 1, idempotency.EntryResult)
	runOnce(t, store, 2, unfinished)
	runOnce(t, store, 3, idempotency.EntryFailed)
	out, errOut, err := run(dir, "keep", "check", store)
	if !strings.Contains(out, "store: node n1, no process uses it, 3 incarnations, 9 records in 1 segments since ") || errOut != "" || err != nil ||
		!strings.Contains(out, "store: 3 keys, 1 of them with unknown outcome, 3 bytes of results, fingerprints of 0 more\n") {
		t.Error(out, errOut, err)
	}
	out, _, err = run(dir, "keep", "list", "--in-doubt", store)
	if !strings.HasSuffix(out, " 02000000000000000000000000000000 in doubt 0 bytes\n") || strings.Count(out, "\n") != 1 || err != nil {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "keep", "list", "--records", store); strings.Count(out, "\n") != 9 || err != nil {
		t.Error(out, err)
	}
	name := filepath.Join(store, "0000000000000001.log")
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	data[100] ^= 1
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, _, err = run(dir, "keep", "check", store); !strings.Contains(out, "DAMAGED") || !strings.Contains(out, "may be lost") || err == nil {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "keep", "accept", store); strings.Contains(out, "may be lost") || err != nil {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "keep", "compact", store); strings.Contains(out, "may be lost") || err != nil {
		t.Error(out, err)
	}
}
