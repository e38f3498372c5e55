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

// TestDamage checks that each loss of durable data is detected and reported, and that no request
// whose records are lost runs again, also after further restarts.
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
		{"bit flipped in a frame header", change(logs[0], flipBit(140))},
		{"bit flipped in a record", change(logs[1], flipBit(70))},
		{"bit flipped in the first frame", change(logs[1], flipBit(3))},
		{"bit flipped in the last frame", change(last, func(data []byte) []byte {
			data[len(data)-9] ^= 1
			return data
		})},
		{"file cut in half", change(logs[0], func(data []byte) []byte { return data[:len(data)/2] })},
		{"empty log file", change(logs[1], func([]byte) []byte { return nil })},
		{"noise", change(logs[1], func(data []byte) []byte {
			for i := range data {
				data[i] = byte(i*i + 7)
			}
			return data
		})},
		{"log file of another segment", func(disk *fake.Disk) {
			data, _ := disk.Read(logs[0]) // it was listed, so it exists
			disk.Put(logs[1], data)
		}},
		{"missing segment", remove(logs[1])},
		{"missing oldest segment", remove(fingerprints[0])},
		{"bit flipped in fingerprints", change(fingerprints[len(fingerprints)-1], flipBit(100))},
	} {
		t.Run(c.name, func(t *testing.T) {
			disk := filledDisk(t)
			c.damage(disk)
			checkDamaged(t, disk)
		})
	}
}

// checkDamaged checks that the damage to a filled disk is detected, and that over three
// incarnations only requests made after the damage are fresh.
func checkDamaged(t *testing.T, disk *fake.Disk) {
	t.Helper()
	contents, err := wal.Read(disk, "n1", idempotency.New(testConfig), nil)
	if err != nil || contents.Complete() {
		t.Fatal("the damage was not detected: ", contents, err)
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
		madeAt := now + time.Millisecond
		if store.Peek(madeAt, madeAt, testKey(1000)) != idempotency.Fresh {
			t.Errorf("incarnation %d: a request made after the damage is not fresh", incarnation)
		}
		store.Sweep(now)
		commit(t, store, writer)
	}
}

// TestDiskFailure checks that an error of any disk operation ends the writing, and that no entry is
// reported as durable that is not.
func TestDiskFailure(t *testing.T) {
	for _, operation := range []string{"open", "write", "fsync", "rename", "remove", "sync"} {
		t.Run(operation, func(t *testing.T) { testDiskFailure(t, operation) })
	}
}

func testDiskFailure(t *testing.T, failing string) {
	disk := filledDisk(t)
	store, writer := reopen(t, disk, baseTime+61*time.Second)
	errInjected := errors.New("no space left")
	disk.OperationError = func(operation, _ string) error {
		if operation == failing {
			return errInjected
		}
		return nil
	}
	writeErrors := make(chan error, 1000)
	durableSeq := uint64(0)
	log := wal.NewLog(writer, 0, 1, func(seq uint64, err error) {
		if err != nil {
			writeErrors <- err
			return
		}
		durableSeq = max(durableSeq, seq)
	})
	for i := 100; i < 160; i++ { // enough requests to open, retire and drop segments
		at := baseTime + time.Duration(i)*6*time.Second
		store.Reserve(at, at, testKey(i), "", uint64(i))
		store.Finish(at, testKey(i), idempotency.EntryFailed, nil)
		store.Sweep(at)
		log.Append(store.TakeEntries())
	}
	select {
	case err := <-writeErrors:
		if !errors.Is(err, errInjected) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the disk error was not reported")
	}
	_ = log.Close(time.Second) // the log has already ended

	disk.OperationError = nil
	lastSeqOnDisk := uint64(0)
	_, err := wal.Read(disk, "n1", idempotency.New(testConfig), func(record idempotency.LogEntry) error {
		lastSeqOnDisk = max(lastSeqOnDisk, record.Seq)
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	if durableSeq > lastSeqOnDisk {
		t.Errorf("sequence number %d was reported as durable, but the last one on the disk is %d", durableSeq, lastSeqOnDisk)
	}
}

// FuzzRead checks that files with any content can be read, and that a change of durable data is
// detected.
func FuzzRead(f *testing.F) {
	base := filledDisk(f)
	logs := fileNames(f, base, ".log")
	for _, name := range append(logs, fileNames(f, base, ".prints")...) {
		data, _ := base.Read(name) // it was listed, so it exists
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
			t.Fatalf("%s was changed, but no damage was reported", name)
		}
		store.FinishLoading(baseTime+time.Hour, contents.NeedsNewSegment(), contents.LastSegment)
	})
}
