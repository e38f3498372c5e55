package wal_test

import (
	"errors"
	"fmt"
	"frosthub/idempotency"
	"frosthub/internal/fake"
	"frosthub/internal/filelock"
	"frosthub/internal/wal"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// filled is a disk with the records of a few dozen claims in several segments, some of which are prints.
func filled(t testing.TB) *fake.Disk {
	d := fake.NewDisk()
	if err := wal.Init(d, "n1", noon, 7); err != nil {
		t.Fatal(err)
	}
	s, w := reopen(t, d, noon)
	for i := range 60 {
		at := noon + time.Duration(i)*time.Second
		s.Reserve(at, at, keyOf(i), "", uint64(i+1))
		commit(t, s, w)
		if i < 20 || i%10 != 9 { // some stay without an end
			s.Finish(at, keyOf(i), idempotency.EntryResult, resultOf(i))
		}
		s.Sweep(at)
		commit(t, s, w)
	}
	return d
}

func reopen(t testing.TB, d wal.Disk, at time.Duration) (*idempotency.Store, *wal.Writer) {
	t.Helper()
	s := idempotency.New(small)
	w, _, err := wal.Open(d, "n1", s, at, nil)
	if err != nil {
		t.Fatal(err)
	}
	commit(t, s, w)
	return s, w
}

func commit(t testing.TB, s *idempotency.Store, w *wal.Writer) {
	t.Helper()
	seq, err := w.Commit(s.TakeEntries())
	if err != nil {
		t.Fatal(err)
	}
	s.MarkDurable(seq)
}

func names(t testing.TB, d wal.Disk, mark string) []string {
	all, err := d.Names()
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(all, func(n string) bool { return !strings.HasSuffix(n, mark) })
}

// TestDamage: what is lost of what the disk had confirmed is found and told, and none of it is run again, also after another start.
func TestDamage(t *testing.T) {
	const at = noon + 61*time.Second
	logs, prints := names(t, filled(t), ".log"), names(t, filled(t), ".prints")
	if len(logs) < 3 || len(prints) < 1 {
		t.Fatal("too few segments: ", logs, prints)
	}
	change := func(name string, f func(b []byte) []byte) func(d *fake.Disk) {
		return func(d *fake.Disk) {
			b, err := d.Read(name)
			if err != nil {
				t.Fatal(err)
			}
			d.Put(name, f(b))
		}
	}
	flip := func(n int) func(b []byte) []byte {
		return func(b []byte) []byte { b[n] ^= 0x10; return b }
	}
	gone := func(name string) func(d *fake.Disk) {
		return func(d *fake.Disk) {
			if err := errors.Join(d.Remove(name), d.Sync()); err != nil {
				t.Fatal(err)
			}
		}
	}
	last := logs[len(logs)-1]
	for _, c := range []struct {
		name string
		do   func(d *fake.Disk)
	}{
		{"a bit of a frame's head", change(logs[0], flip(140))},
		{"a bit of a record", change(logs[1], flip(70))},
		{"a bit of the first frame", change(logs[1], flip(3))},
		{"a bit of the last frame", change(last, func(b []byte) []byte { b[len(b)-9] ^= 1; return b })},
		{"a cut in the middle", change(logs[0], func(b []byte) []byte { return b[:len(b)/2] })},
		{"an empty segment", change(logs[1], func([]byte) []byte { return nil })},
		{"noise", change(logs[1], func(b []byte) []byte {
			for i := range b {
				b[i] = byte(i*i + 7)
			}
			return b
		})},
		{"another's segment", func(d *fake.Disk) {
			b, _ := d.Read(logs[0])
			d.Put(logs[1], b)
		}},
		{"a missing segment", gone(logs[1])},
		{"the oldest one missing", gone(prints[0])},
		{"a bit of prints", change(prints[len(prints)-1], flip(100))},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := filled(t)
			c.do(d)
			s := idempotency.New(small)
			found, err := wal.Read(d, "n1", s, nil)
			if err != nil || found.Complete() {
				t.Fatal("not found: ", found, err)
			}
			t.Log(found.Damage)
			for life := range 3 {
				now := at + time.Duration(life)*time.Second
				s, w := reopen(t, d, now)
				for i := range 60 {
					if v := s.Peek(now, 0, keyOf(i)); v == idempotency.Fresh {
						t.Fatalf("life %d: claim %d is fresh", life, i)
					}
				}
				if made := now + time.Millisecond; s.Peek(made, made, keyOf(1000)) != idempotency.Fresh {
					t.Errorf("life %d: a claim made since is not run", life)
				}
				s.Sweep(now)
				commit(t, s, w)
			}
		})
	}
}

// TestOthers: a folder that is not this store's is not touched.
func TestOthers(t *testing.T) {
	dir := t.TempDir()
	d := wal.DirDisk(dir)
	if _, err := wal.Read(d, "n1", idempotency.New(small), nil); !errors.Is(err, wal.ErrNoStore) {
		t.Error(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "letter"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := wal.Init(d, "n1", noon, 1); err == nil {
		t.Error("made in a folder with other things")
	}
	_ = os.Remove(filepath.Join(dir, "letter"))
	if err := wal.Init(d, "n1", noon, 1); err != nil {
		t.Fatal(err)
	}
	if err := wal.Init(d, "n1", noon, 1); err == nil {
		t.Error("made anew over one that is there")
	}
	if _, err := wal.Read(d, "n2", idempotency.New(small), nil); !errors.Is(err, wal.ErrWrongOwner) {
		t.Error(err)
	}
	lock, err := filelock.Acquire(filepath.Join(dir, wal.LockName))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := filelock.Acquire(filepath.Join(dir, wal.LockName)); !errors.Is(err, filelock.ErrBusy) || !filelock.IsLocked(filepath.Join(dir, wal.LockName)) {
		t.Error("two hold it: ", err)
	}
	_ = lock.Close()
	text, _ := d.Read("store")
	for _, bad := range []string{"", "x", strings.Replace(string(text), "keep 1", "keep 2", 1), strings.Replace(string(text), "n1", "n2", 1)} {
		if err := os.WriteFile(filepath.Join(dir, "store"), []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := wal.Identify(d); err == nil {
			t.Errorf("%q is taken for a store", bad)
		}
	}
}

// TestFailing: an error of each operation ends the writing, and what was not confirmed is not told as durable.
func TestFailing(t *testing.T) {
	for _, what := range []string{"open", "write", "fsync", "rename", "remove", "sync"} {
		d := filled(t)
		s, w := reopen(t, d, noon+61*time.Second)
		full := errors.New("no space left")
		d.Fail = func(op, _ string) error {
			if op == what {
				return full
			}
			return nil
		}
		told := make(chan error, 1000)
		var durable uint64
		l := wal.NewLog(w, 0, 1, func(seq uint64, err error) {
			if err == nil {
				durable = max(durable, seq)
				return
			}
			told <- err
		})
		confirmed := uint64(0)
		for i := 100; i < 160; i++ { // enough to open, retire and drop segments
			at := noon + time.Duration(i)*6*time.Second
			s.Reserve(at, at, keyOf(i), "", uint64(i))
			s.Finish(at, keyOf(i), idempotency.EntryFailed, nil)
			s.Sweep(at)
			l.Append(s.TakeEntries())
		}
		select {
		case err := <-told:
			if !errors.Is(err, full) {
				t.Error(what, err)
			}
		case <-time.After(5 * time.Second):
			t.Error(what, "is not told")
		}
		_ = l.Close(time.Second)
		after := idempotency.New(small)
		d.Fail = nil
		if _, err := wal.Read(d, "n1", after, func(r idempotency.LogEntry) error { confirmed = max(confirmed, r.Seq); return nil }); err != nil {
			t.Error(err)
		}
		if durable > confirmed {
			t.Errorf("%s: %d was told as durable, the disk has %d", what, durable, confirmed)
		}
	}
}

// FuzzRead: whatever stands in the files is read without harm, and never takes what is there for fresh where nothing is told of damage.
func FuzzRead(f *testing.F) {
	base := filled(f)
	logs := names(f, base, ".log")
	for _, name := range append(logs, names(f, base, ".prints")...) {
		b, _ := base.Read(name)
		f.Add(name, b)
		f.Add(name, b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, name string, b []byte) {
		if !strings.HasSuffix(name, ".log") && !strings.HasSuffix(name, ".prints") {
			return
		}
		d := filled(t)
		was, err := d.Read(name)
		d.Put(name, b)
		s := idempotency.New(small)
		found, failed := wal.Read(d, "n1", s, nil)
		if failed != nil || !found.Complete() {
			return
		}
		if found.TornBytes == 0 && err == nil && string(was) != string(b) && name != logs[len(logs)-1] {
			t.Fatalf("%s was changed, and nothing is told of it", name)
		}
		s.FinishLoading(noon+time.Hour, found.NeedsNewSegment(), found.LastSegment)
	})
}

// BenchmarkRead measures how fast a store is read, a key's two records as one.
func BenchmarkRead(b *testing.B) {
	dir := b.TempDir()
	d := wal.DirDisk(dir)
	if err := wal.Init(d, "n1", noon, 7); err != nil {
		b.Fatal(err)
	}
	cfg := idempotency.Config{
		MaxEntries: 1 << 21, MaxBytes: 1 << 30, MaxResultBytes: 1 << 16, ResultTTL: time.Hour, RetryHorizon: 24 * time.Hour, MaxSegments: 64,
		KeysPerSegment: 1 << 17, SegmentBytes: 64 << 20,
	}
	s := idempotency.New(cfg)
	w, _, err := wal.Open(d, "n1", s, noon, nil)
	if err != nil {
		b.Fatal(err)
	}
	const keys = 1_000_000
	result := make([]byte, 100)
	for i := range keys {
		s.Reserve(noon, 0, keyOf(i), "", uint64(i+1))
		s.Finish(noon, keyOf(i), idempotency.EntryResult, result)
		if i%1000 == 999 {
			commit(b, s, w)
		}
	}
	b.ResetTimer()
	for range b.N {
		after := idempotency.New(cfg)
		if _, err := wal.Read(d, "n1", after, nil); err != nil || after.Stats().Keys != keys {
			b.Fatal(err, fmt.Sprintf("%+v", after.Stats()))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/keys, "ns/key")
}
