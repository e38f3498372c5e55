package wal_test

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/wal"

	"github.com/google/go-cmp/cmp"
)

// An earlier version of the program wrote the store in testdata/store-v1 on 2 December 2026, before
// its types and functions were renamed. testdata/store-v1.golden has the contents that it read
// back. Neither is ever regenerated, because stores of this format exist on disks.
const (
	v1Store  = "testdata/store-v1"
	v1Golden = "testdata/store-v1.golden"
)

var v1Config = idempotency.Config{
	MaxEntries:     10,
	MaxBytes:       400,
	MaxResultBytes: 40,
	ResultTTL:      40 * time.Second,
	RetryHorizon:   10 * time.Minute,
	MaxSegments:    24,
	KeysPerSegment: 6,
	SegmentBytes:   1500,
}

func v1Key(n int) (key idempotency.Key) {
	copy(key[:], "v1-")
	binary.BigEndian.PutUint64(key[8:], uint64(n))
	return key
}

// TestReadStoreV1 reads a store that an earlier version of the program wrote, and compares the
// complete state after loading with the golden file.
func TestReadStoreV1(t *testing.T) {
	want, err := os.ReadFile(v1Golden)
	if err != nil {
		t.Fatal(err)
	}
	got := describeStore(t, wal.DirDisk(v1Store), baseTime+10*time.Minute+64*time.Second)
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Error(diff)
	}
}

// TestWriteStoreV1 repeats the history of the store in testdata and compares the files byte for
// byte.
func TestWriteStoreV1(t *testing.T) {
	dir := t.TempDir()
	h := &v1History{t: t, disk: wal.DirDisk(dir), now: baseTime}
	if err := wal.Init(h.disk, "n1", baseTime, 0x0123456789abcdef); err != nil {
		t.Fatal(err)
	}
	h.run()

	wantNames, gotNames := fileNames(t, wal.DirDisk(v1Store), ""), fileNames(t, h.disk, "")
	if diff := cmp.Diff(wantNames, gotNames); diff != "" {
		t.Fatal(diff)
	}
	for _, name := range wantNames {
		want, err := os.ReadFile(filepath.Join(v1Store, name))
		if err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(want, got) {
			t.Errorf("%s differs:\nwant %x\ngot  %x", name, want, got)
		}
	}
}

// v1History is the history of the store in testdata: three incarnations whose requests complete in
// each possible way, with history that is lost and accepted, and segments that are retired and
// dropped.
type v1History struct {
	t      *testing.T
	disk   wal.Disk
	store  *idempotency.Store
	writer *wal.Writer
	now    time.Duration
}

func (h *v1History) run() {
	h.open()
	for n := 1; n <= 12; n++ {
		h.request(n)
	}
	h.close()

	h.now += 9 * time.Minute
	h.open()
	for n := 13; n <= 32; n++ {
		h.request(n)
		if n == 15 {
			h.store.MarkOutdated(h.now)
		}
		if n == 17 {
			h.store.AcceptHistory(h.now)
		}
	}
	h.close()

	h.now += time.Second
	h.open()
	for n := 33; n <= 41; n++ {
		h.request(n)
		if n == 34 || n == 40 {
			h.store.MarkOutdated(h.now)
		}
		if n == 39 {
			h.store.AcceptHistory(h.now)
		}
	}
	h.close()
}

func (h *v1History) open() {
	h.t.Helper()
	h.store = idempotency.New(v1Config)
	writer, _, err := wal.Open(h.disk, "n1", h.store, h.now, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	h.writer = writer
	commit(h.t, h.store, h.writer)
}

func (h *v1History) close() {
	h.t.Helper()
	if err := h.writer.Close(); err != nil {
		h.t.Fatal(err)
	}
}

// request runs one request from its intent to its completion, whose kind depends on n.
func (h *v1History) request(n int) {
	h.t.Helper()
	handler := [...]string{"claim", "status", ""}[n%3]
	key := v1Key(n)
	h.now += 3 * time.Second
	h.store.Reserve(h.now, h.now, key, handler, uint64(n))
	commit(h.t, h.store, h.writer)
	switch n % 7 {
	case 0:
		h.store.Finish(h.now, key, idempotency.EntryFailed, nil)
	case 1:
		h.store.Finish(h.now, key, idempotency.EntryResult, []byte(strings.Repeat("x", v1Config.MaxResultBytes+1)))
	case 2:
		h.store.Finish(h.now, key, idempotency.EntryNeverRan, nil)
	case 3: // still in flight when the process ends
	default:
		h.store.Finish(h.now, key, idempotency.EntryResult, fmt.Appendf(nil, "result of %d", n))
	}
	h.store.Sweep(h.now)
	commit(h.t, h.store, h.writer)
}

// describeStore describes the files and log records of a store, and the state of the store after
// loading them.
func describeStore(t *testing.T, disk wal.Disk, now time.Duration) string {
	t.Helper()
	var b strings.Builder
	fmt.Fprintln(&b, "files:")
	for _, name := range fileNames(t, disk, "") {
		data, err := disk.Read(name)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "  %s: %d bytes\n", name, len(data))
	}

	store := idempotency.New(v1Config)
	fmt.Fprintln(&b, "records:")
	contents, err := wal.Read(disk, "n1", store, func(r idempotency.LogEntry) error {
		fmt.Fprintf(&b, "  %d at %s: kind %d in segment %d, subject %d, key %x, data %q\n",
			r.Seq, r.At-baseTime, r.Kind, r.Segment, r.Subject, r.Key, r.Data)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&b, "contents:")
	fmt.Fprintf(&b, "  node %q, created %s, mark %016x\n", contents.ID.Node, contents.ID.Created, contents.ID.Mark)
	fmt.Fprintf(&b, "  %d records, %d segments, last segment %d, torn bytes %d\n",
		contents.Records, contents.Segments, contents.LastSegment, contents.TornBytes)
	fmt.Fprintf(&b, "  damage %q, leftover %q, new segment needed %t\n", contents.Damage, contents.Leftover, contents.NeedsNewSegment())

	store.FinishLoading(now, contents.NeedsNewSegment(), contents.LastSegment)
	fmt.Fprintln(&b, "keys:")
	var keys []string
	store.ForEachKey(func(key idempotency.Key, at time.Duration, state string, bytes int) {
		keys = append(keys, fmt.Sprintf("  %x at %s: %s, %d bytes\n", key, at-baseTime, state, bytes))
	})
	slices.Sort(keys)
	b.WriteString(strings.Join(keys, ""))
	fmt.Fprintln(&b, "decisions, for requests made now and for requests that don't say when:")
	for n := range 45 {
		recent := store.PeekOutcome(now, now, v1Key(n))
		undated := store.PeekOutcome(now, 0, v1Key(n))
		fmt.Fprintf(&b, "  key %d: decision %d, result %q; decision %d, result %q\n",
			n, recent.Decision, recent.Result, undated.Decision, undated.Result)
	}
	fmt.Fprintln(&b, "unknown outcomes:")
	for _, key := range store.KeysWithUnknownOutcome(100) {
		fmt.Fprintf(&b, "  %x\n", key)
	}
	stats := store.Stats()
	fmt.Fprintln(&b, "stats:")
	fmt.Fprintf(&b, "  incarnation %d, %d keys, %d unknown, %d in flight, %d bytes\n",
		stats.Incarnation, stats.Keys, stats.OutcomeUnknown, stats.InFlight, stats.ResultBytes)
	fmt.Fprintf(&b, "  %d fingerprints in %d segments since %s, history lost before %s\n",
		stats.Fingerprints, stats.Segments, stats.Since-baseTime, stats.LostBefore-baseTime)
	return b.String()
}
