package wal_test

import (
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/wal"
)

// TestQuarantine: a store is set aside after three starts in a row that died over reading it, and
// not sooner.
func TestQuarantine(t *testing.T) {
	disk := filledDisk(t)
	before := len(fileNames(t, disk, ".log")) + len(fileNames(t, disk, ".prints"))
	for start := range 4 {
		quarantined, err := wal.BeginRead(disk)
		if err != nil {
			t.Fatal(err)
		}
		if want := start == 3; quarantined != want {
			t.Errorf("start %d: quarantined %t, not %t", start, quarantined, want)
		}
	}
	if got := len(fileNames(t, disk, ".aside")); got != before {
		t.Errorf("%d files are set aside of %d", got, before)
	}
	store := idempotency.New(testConfig)
	contents, err := wal.Read(disk, "n1", store, nil)
	if err != nil || contents.Records != 0 || contents.Segments != 0 {
		t.Errorf("something is left: %+v, %v", contents, err)
	}
}

// TestQuarantineReset: a start that comes to the end of reading counts as the last of a row.
func TestQuarantineReset(t *testing.T) {
	disk := filledDisk(t)
	for start := range 9 {
		quarantined, err := wal.BeginRead(disk)
		if err != nil {
			t.Fatal(err)
		}
		if quarantined {
			t.Fatalf("start %d: quarantined", start)
		}
		if start%3 == 2 {
			if err := wal.EndRead(disk); err != nil {
				t.Fatal(err)
			}
		}
	}
	store, _ := reopen(t, disk, baseTime+61*time.Second)
	if keys := store.Stats().Keys; keys == 0 {
		t.Error("nothing is left")
	}
}
