package wal_test

import (
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/wal"
)

// TestQuarantine checks that a store is quarantined after three consecutive starts that died while
// reading it, and not earlier.
func TestQuarantine(t *testing.T) {
	disk := filledDisk(t)
	before := len(fileNames(t, disk, ".log")) + len(fileNames(t, disk, ".prints"))
	for start := range 4 {
		quarantined, err := wal.BeginRead(disk)
		if err != nil {
			t.Fatal(err)
		}
		if want := start == 3; quarantined != want {
			t.Errorf("start %d: got quarantined %t, want %t", start, quarantined, want)
		}
	}
	if got := len(fileNames(t, disk, ".aside")); got != before {
		t.Errorf("%d of %d files are quarantined", got, before)
	}
	store := idempotency.New(testConfig)
	contents, err := wal.Read(disk, "n1", store, nil)
	if err != nil || contents.Records != 0 || contents.Segments != 0 {
		t.Errorf("the store is not empty: %+v, %v", contents, err)
	}
}

// TestQuarantineReset checks that a start that finishes reading resets the count of failed starts.
func TestQuarantineReset(t *testing.T) {
	disk := filledDisk(t)
	for start := range 9 {
		quarantined, err := wal.BeginRead(disk)
		if err != nil {
			t.Fatal(err)
		}
		if quarantined {
			t.Fatalf("start %d: unexpected quarantine", start)
		}
		if start%3 == 2 {
			if err := wal.EndRead(disk); err != nil {
				t.Fatal(err)
			}
		}
	}
	store, _ := reopen(t, disk, baseTime+61*time.Second)
	if keys := store.Stats().Keys; keys == 0 {
		t.Error("no keys are left")
	}
}
