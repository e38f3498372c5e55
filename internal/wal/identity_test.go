package wal_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frosthub/idempotency"
	"frosthub/internal/filelock"
	"frosthub/internal/wal"
)

// TestWrongOwner checks that a node does not use a directory without a store, a store of another
// node, or a store that another process has locked.
func TestWrongOwner(t *testing.T) {
	dir := t.TempDir()
	disk := wal.DirDisk(dir)
	if _, err := wal.Read(disk, "n1", idempotency.New(testConfig), nil); !errors.Is(err, wal.ErrNoStore) {
		t.Error(err)
	}

	otherFile := filepath.Join(dir, "letter")
	if err := os.WriteFile(otherFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := wal.Init(disk, "n1", baseTime, 1); err == nil {
		t.Error("created a store in a directory with other files")
	}
	if err := os.Remove(otherFile); err != nil {
		t.Fatal(err)
	}
	if err := wal.Init(disk, "n1", baseTime, 1); err != nil {
		t.Fatal(err)
	}
	if err := wal.Init(disk, "n1", baseTime, 1); err == nil {
		t.Error("created a store over an existing one")
	}
	if _, err := wal.Read(disk, "n2", idempotency.New(testConfig), nil); !errors.Is(err, wal.ErrWrongOwner) {
		t.Error(err)
	}

	lockPath := filepath.Join(dir, wal.LockName)
	lock, err := filelock.Acquire(lockPath)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := filelock.Acquire(lockPath); !errors.Is(err, filelock.ErrBusy) || !filelock.IsLocked(lockPath) {
		t.Error("second lock of a locked store: ", err)
	}
	_ = lock.Close()
}

// TestDamagedIdentity checks that a damaged identity file is rejected, and one of another format
// version.
func TestDamagedIdentity(t *testing.T) {
	dir := t.TempDir()
	disk := wal.DirDisk(dir)
	if err := wal.Init(disk, "n1", baseTime, 1); err != nil {
		t.Fatal(err)
	}
	text, err := disk.Read("store")
	if err != nil {
		t.Fatal(err)
	}
	intact := string(text)
	for _, c := range []struct {
		name string
		text string
		want error
	}{
		{"empty", "", wal.ErrWrongOwner},
		{"another text", "x", wal.ErrWrongOwner},
		{"another version", strings.Replace(intact, "keep 1", "keep 2", 1), wal.ErrVersion},
		{"another node", strings.Replace(intact, "n1", "n2", 1), wal.ErrWrongOwner},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(filepath.Join(dir, "store"), []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := wal.ReadID(disk); !errors.Is(err, c.want) {
				t.Errorf("%q: got error %v, want %v", c.text, err, c.want)
			}
		})
	}
}
