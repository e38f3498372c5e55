package wal_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/fake"
	"frosthub/internal/wal"
)

// TestDamage: what is lost of what was durable is found and reported, and none of it runs again,
// also after another start.
func TestDamage(t *testing.T) {
	logs := fileNames(t, filledDisk(t), ".log")
	fingerprints := fileNames(t, filledDisk(t), ".prints")
	if len(logs) < 3 || len(fingerprints) < 1 {
		t.Fatal("too few segments: ", logs, fingerprints)
	}
	change := func(name string, f func(data []byte) []byte) func(disk *fake.Disk) {
		return func(disk *fake.Disk) {
			data, err := disk.Read(name)
			if err != nil {
				t.Fatal(err)
			}
			disk.Put(name, f(data))
		}
	}
	flipBit := func(offset int) func(data []byte) []byte {
		return func(data []byte) []byte {
			data[offset] ^= 0x10
			return data
		}
	}
	remove := func(name string) func(disk *fake.Disk) {
		return func(disk *fake.Disk) {
			if err := errors.Join(disk.Remove(name), disk.SyncDir()); err != nil {
				t.Fatal(err)
			}
		}
	}
	last := logs[len(logs)-1]
	for _, c := range []struct {
		name   string
		damage func(disk *fake.Disk)
	}{
		{"a bit of a frame's header", change(logs[0], flipBit(140))},
		{"a bit of a record", change(logs[1], flipBit(70))},
		{"a bit of the first frame", change(logs[1], flipBit(3))},
		{"a bit of the last frame", change(last, func(data []byte) []byte {
			data[len(data)-9] ^= 1
			return data
		})},
		{"half a file", change(logs[0], func(data []byte) []byte { return data[:len(data)/2] })},
		{"an empty segment", change(logs[1], func([]byte) []byte { return nil })},
		{"noise", change(logs[1], func(data []byte) []byte {
			for i := range data {
				data[i] = byte(i*i + 7)
			}
			return data
		})},
		{"another segment's file", func(disk *fake.Disk) {
			data, _ := disk.Read(logs[0]) // it is there: names gave it
			disk.Put(logs[1], data)
		}},
		{"a missing segment", remove(logs[1])},
		{"the oldest segment missing", remove(fingerprints[0])},
		{"a bit of fingerprints", change(fingerprints[len(fingerprints)-1], flipBit(100))},
	} {
		t.Run(c.name, func(t *testing.T) {
			disk := filledDisk(t)
			c.damage(disk)
			checkDamaged(t, disk)
		})
	}
}

// checkDamaged checks that damage of a filled disk is found, and that over three incarnations
// nothing is fresh but what was made since.
func checkDamaged(t *testing.T, disk *fake.Disk) {
	t.Helper()
	contents, err := wal.Read(disk, "n1", idempotency.New(testConfig), nil)
	if err != nil || contents.Complete() {
		t.Fatal("not found: ", contents, err)
	}
	t.Log(contents.Damage)
	for incarnation := range 3 {
		now := baseTime + time.Duration(61+incarnation)*time.Second
		store, writer := reopen(t, disk, now)
		for i := range 60 {
			if store.Peek(now, 0, testKey(i)) == idempotency.Fresh {
				t.Fatalf("incarnation %d: request %d is fresh", incarnation, i)
			}
		}
		made := now + time.Millisecond
		if store.Peek(made, made, testKey(1000)) != idempotency.Fresh {
			t.Errorf("incarnation %d: a request made since does not run", incarnation)
		}
		store.Sweep(now)
		commit(t, store, writer)
	}
}

// TestDiskFailure: an error of each operation ends the writing, and what is not durable is not
// reported as such.
func TestDiskFailure(t *testing.T) {
	for _, operation := range []string{"open", "write", "fsync", "rename", "remove", "sync"} {
		t.Run(operation, func(t *testing.T) { testDiskFailure(t, operation) })
	}
}

func testDiskFailure(t *testing.T, failing string) {
	disk := filledDisk(t)
	store, writer := reopen(t, disk, baseTime+61*time.Second)
	errFull := errors.New("no space left")
	disk.Fail = func(operation, _ string) error {
		if operation == failing {
			return errFull
		}
		return nil
	}
	reported := make(chan error, 1000)
	durable := uint64(0)
	log := wal.NewLog(writer, 0, 1, func(seq uint64, err error) {
		if err != nil {
			reported <- err
			return
		}
		durable = max(durable, seq)
	})
	for i := 100; i < 160; i++ { // enough to open, retire and drop segments
		at := baseTime + time.Duration(i)*6*time.Second
		store.Reserve(at, at, testKey(i), "", uint64(i))
		store.Finish(at, testKey(i), idempotency.EntryFailed, nil)
		store.Sweep(at)
		log.Append(store.TakeEntries())
	}
	select {
	case err := <-reported:
		if !errors.Is(err, errFull) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the error is not reported")
	}
	_ = log.Close(time.Second) // it has ended already

	disk.Fail = nil
	onDisk := uint64(0)
	_, err := wal.Read(disk, "n1", idempotency.New(testConfig), func(record idempotency.LogEntry) error {
		onDisk = max(onDisk, record.Seq)
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	if durable > onDisk {
		t.Errorf("%d was reported as durable, the disk has %d", durable, onDisk)
	}
}

// FuzzRead: whatever the files contain is read without harm, and changes of what is durable don't
// go unnoticed.
func FuzzRead(f *testing.F) {
	base := filledDisk(f)
	logs := fileNames(f, base, ".log")
	for _, name := range append(logs, fileNames(f, base, ".prints")...) {
		data, _ := base.Read(name) // it is there: names gave it
		f.Add(name, data)
		f.Add(name, data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		if !strings.HasSuffix(name, ".log") && !strings.HasSuffix(name, ".prints") {
			return
		}
		disk := filledDisk(t)
		original, originalErr := disk.Read(name)
		disk.Put(name, data)
		store := idempotency.New(testConfig)
		contents, err := wal.Read(disk, "n1", store, nil)
		if err != nil || !contents.Complete() {
			return
		}
		changed := originalErr == nil && string(original) != string(data)
		if changed && contents.TornBytes == 0 && name != logs[len(logs)-1] {
			t.Fatalf("%s was changed, and no damage is reported", name)
		}
		store.FinishLoading(baseTime+time.Hour, contents.NeedsNewSegment(), contents.LastSegment)
	})
}
