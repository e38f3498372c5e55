package wal_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/fake"
	"frosthub/internal/wal"
)

// filledDisk returns a disk with the records of 60 requests in several segments, some of which are
// retired.
func filledDisk(t testing.TB) *fake.Disk {
	t.Helper()
	disk := fake.NewDisk()
	if err := wal.Init(disk, "n1", baseTime, 7); err != nil {
		t.Fatal(err)
	}
	store, writer := reopen(t, disk, baseTime)
	for i := range 60 {
		at := baseTime + time.Duration(i)*time.Second
		store.Reserve(at, at, testKey(i), "", uint64(i+1))
		commit(t, store, writer)
		if i < 20 || i%10 != 9 { // some requests get no completion record
			store.Finish(at, testKey(i), idempotency.EntryResult, testResult(i))
		}
		store.Sweep(at)
		commit(t, store, writer)
	}
	return disk
}

// reopen begins a new incarnation of the store on a disk.
func reopen(t testing.TB, disk wal.Disk, now time.Duration) (*idempotency.Store, *wal.Writer) {
	t.Helper()
	store := idempotency.New(testConfig)
	writer, _, err := wal.Open(disk, "n1", store, now, nil)
	if err != nil {
		t.Fatal(err)
	}
	commit(t, store, writer)
	return store, writer
}

// commit makes all entries of a store durable.
func commit(t testing.TB, store *idempotency.Store, writer *wal.Writer) {
	t.Helper()
	seq, err := writer.Commit(store.TakeEntries())
	if err != nil {
		t.Fatal(err)
	}
	store.MarkDurable(seq)
}

// fileNames returns the sorted names of the files with the given suffix.
func fileNames(t testing.TB, disk wal.Disk, suffix string) []string {
	t.Helper()
	all, err := disk.Names()
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(all, func(name string) bool { return !strings.HasSuffix(name, suffix) })
}
