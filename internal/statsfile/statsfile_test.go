package statsfile

import (
	"bytes"
	"errors"
	"frosthub/accounting"
	"frosthub/internal/filelock"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var cfg = accounting.Config{Handlers: []string{"status", "file-claim"}, MaxCustomers: 3, MaxPeriods: 5, PeriodLength: time.Second}

const noon = 500_000 * time.Hour

// openLedger has a book and a recorder on a file.
func openLedger(t testing.TB, path string) (*accounting.Ledger, *Recorder, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	r := NewRecorder(path, MinEntries, slog.New(slog.NewTextHandler(&log, nil)))
	fresh, err := accounting.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r.Open(fresh, cfg, noon, 5*time.Second), r, &log
}

// step makes the i-th of a script of changes: reqs that come, are answered, sent, given up, over seconds.
func step(b *accounting.Ledger, i int, open []accounting.Ticket) []accounting.Ticket {
	at := noon + time.Duration(i)*70*time.Millisecond
	switch i % 5 {
	case 0, 1:
		open = append(open, b.Open(at, uint64(i), uint16(i%3), accounting.Frontend(i%2), accounting.NewCustomerName([]byte{byte(i % 7)})))
	case 2:
		b.Answer(at, open[0], accounting.Completed)
		b.Flush(at, true)
	case 3:
		b.Sent(at, open[0])
		b.Flush(at, false)
		open = open[1:]
	case 4:
		b.Close(at, open[len(open)-1], accounting.Aborted)
		open = open[:len(open)-1]
	}
	return open
}

// TestCuts: wherever the process is ended in the middle of writing, the file holds the book as it was after one of
// its changes, and a new life goes on from it with figures that add up.
func TestCuts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	b, r, _ := openLedger(t, path)
	defer r.Close(b, noon)
	var open []accounting.Ticket
	var wants [][]byte // the snapshots after each op
	plain, _, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	wants = append(wants, plain.AppendSnapshot(nil))
	cuts, rolls := 0, uint64(0)
	for i := range 3 * MinEntries {
		open = step(b, i, open)
		var ops []accounting.Entry
		b.TakeEntries(func(o []accounting.Entry) { ops = append(ops, o...) })
		before := bytes.Clone(r.file.data)
		for _, op := range ops { // the books that there were
			if err := plain.Apply(op); err != nil {
				t.Fatal(err)
			}
			wants = append(wants, plain.AppendSnapshot(nil))
		}
		wants = wants[max(0, len(wants)-4*MinEntries):]
		b.RequeueEntries(ops)
		if err := r.file.append(b); err != nil {
			t.Fatal(err)
		}
		after := r.file.data
		_, next := b.Periods()
		if next == rolls && i%37 > 0 {
			continue // each place of a cut is tried where a period or a snapshot is written, and now and then
		}
		rolls = next
		image := bytes.Clone(before)
		for at := range after { // bytes become new one after the other, in the order of the parts
			if image[at] == after[at] {
				continue
			}
			image[at] = after[at]
			if at%3 > 0 && at > r.file.snapshotOffset(0) {
				continue
			}
			cuts++
			got, err := Read(image)
			if err != nil {
				t.Fatalf("step %d, cut at byte %d: %v", i, at, err)
			}
			text := got.AppendSnapshot(nil)
			if !contains(wants, text) {
				t.Fatalf("step %d, cut at byte %d: a book that there never was", i, at)
			}
		}
		got, err := Read(after)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(wants[len(wants)-1], got.AppendSnapshot(nil)); diff != "" {
			t.Fatal(i, diff)
		}
		life, err := got.Restart(cfg, noon, 0)
		if err != nil {
			t.Fatal(err)
		}
		life.Audit(noon)
		if f := life.Total(); len(life.TakeMismatches()) > 0 || f.Open != 0 || f.Received != b.Total().Received {
			t.Fatal(f, b.Total())
		}
	}
	if cuts < 1000 {
		t.Error("only", cuts, "cuts")
	}
}

func contains(all [][]byte, x []byte) bool {
	for i := len(all) - 1; i >= 0; i-- {
		if bytes.Equal(all[i], x) {
			return true
		}
	}
	return false
}

// TestLives: a process that left, one that was killed and one whose handlers have other names stay on their account.
func TestLives(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	var got []string
	say := func(b *accounting.Ledger) {
		list, _, _ := b.Incarnations()
		l := list[len(list)-1]
		got = append(got, strings.Join([]string{l.Ending.String(), countsText(l.Counts), countsText(b.Total())}, ", "))
	}
	b, r, _ := openLedger(t, path)
	k := b.Open(noon, 1, b.Handler("file-claim"), accounting.FastCGI, accounting.CustomerName{})
	b.Answer(noon, k, accounting.Completed)
	b.Sent(noon, k)
	b.Open(noon, 2, b.Handler("status"), accounting.FastCGI, accounting.CustomerName{})
	b.CloseAll(accounting.OpenAtExit, accounting.Exited)
	r.Close(b, noon)
	b, _, _ = ReadFile(path)
	say(b)
	b, r, _ = openLedger(t, path)
	k = b.Open(noon, 3, b.Handler("status"), accounting.FastCGI, accounting.CustomerName{})
	b.Open(noon, 4, b.Handler("status"), accounting.FastCGI, accounting.CustomerName{})
	b.Answer(noon, k, accounting.Shed)
	b.Flush(noon, true)
	r.Append(b, noon)
	r.Abandon()
	b, _, _ = ReadFile(path)
	say(b)
	cfg = accounting.Config{Handlers: []string{"claims", "status"}}
	defer func() {
		cfg = accounting.Config{Handlers: []string{"status", "file-claim"}, MaxCustomers: 3, MaxPeriods: 5, PeriodLength: time.Second}
	}()
	b, r, _ = openLedger(t, path)
	list, _, _ := b.Incarnations()
	killed := list[len(list)-2]
	got = append(got, killed.Ending.String()+", "+countsText(killed.Counts))
	if killed.Uncertain != 1 || killed.UncertainIDs[0] != 3 {
		t.Error("in doubt: ", killed.UncertainIDs)
	}
	b.Open(noon, 5, b.Handler("claims"), accounting.FastCGI, accounting.CustomerName{})
	r.Append(b, noon)
	for _, row := range b.Report(false).Rows {
		got = append(got, row.Handler+" "+countsText(row.Figures))
	}
	r.Close(b, noon)
	want := []string{
		"left, 2=1+0+1+0, 2=1+0+1+0", "runs, 2=0+0+0+2, 4=1+0+1+2", "killed, 2=0+0+2+0",
		"claims 1=0+0+0+1", "status 3=0+0+3+0", "file-claim 1=1+0+0+0",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func countsText(f accounting.Counts) string {
	var b strings.Builder
	for i, n := range []int64{f.Received, f.Served, f.Rejected, f.Failed, f.Open} {
		b.WriteString([]string{"", "=", "+", "+", "+"}[i] + string(rune('0'+n)))
	}
	return b.String()
}

// TestDamage: a file that can't be read is told, kept aside, and the box goes on with a new one.
func TestDamage(t *testing.T) {
	dir := t.TempDir()
	whole := func() []byte {
		path := filepath.Join(dir, "whole")
		b, r, _ := openLedger(t, path)
		for i := range 40 {
			b.Open(noon, uint64(i), 1, accounting.FastCGI, accounting.CustomerName{})
		}
		r.Append(b, noon)
		r.Close(b, noon)
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}()
	var l layout
	if err := l.decode(whole); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		spoil func(b []byte) []byte
		why   error
	}{
		"empty":       {func(b []byte) []byte { return nil }, ErrNotStatsFile},
		"foreign":     {func(b []byte) []byte { return []byte("[Unit]\nDescription=other") }, ErrNotStatsFile},
		"version":     {func(b []byte) []byte { b[8]++; return b }, ErrVersion},
		"header":      {func(b []byte) []byte { b[13]++; return b }, ErrDamaged},
		"truncated":   {func(b []byte) []byte { return b[:len(b)/2] }, ErrDamaged},
		"longer":      {func(b []byte) []byte { return append(b, 0) }, ErrDamaged},
		"an op":       {func(b []byte) []byte { b[l.entryOffset(20)+9]++; return zero(b, l.snapshotOffset(1), l.snapshotSize) }, ErrDamaged},
		"snapshots":   {func(b []byte) []byte { b[l.snapshotOffset(0)+40]++; b[l.snapshotOffset(1)+40]++; return b }, ErrDamaged},
		"no snapshot": {func(b []byte) []byte { return zero(b, l.snapshotOffset(0), 2*l.snapshotSize) }, ErrDamaged},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "figures")
			bad := c.spoil(bytes.Clone(whole))
			if err := os.WriteFile(path, bad, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := Read(bad); !errors.Is(err, c.why) {
				t.Errorf("%v, not %v", err, c.why)
			}
			b, r, log := openLedger(t, path)
			defer r.Close(b, noon)
			kept, err := os.ReadFile(path + ".bad-1")
			if err != nil || !bytes.Equal(kept, bad) || !strings.Contains(log.String(), "level=ERROR") || !r.Recording() {
				t.Error(err, log)
			}
			b.Open(noon, 7, 1, accounting.FastCGI, accounting.CustomerName{})
			r.Append(b, noon)
			if again, _, err := ReadFile(path); err != nil || again.Total().Received != 1 {
				t.Error(err)
			}
		})
	}
}

func zero(b []byte, at, n int) []byte {
	clear(b[at : at+n])
	return b
}

// TestTwoOnOne: a second process is refused a file that is in use, and serves on without.
func TestTwoOnOne(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	b, r, _ := openLedger(t, path)
	if !Locked(path) {
		t.Error("it is held")
	}
	other, second, log := openLedger(t, path)
	if second.Recording() || !strings.Contains(log.String(), filelock.ErrBusy.Error()) {
		t.Error(log)
	}
	other.Open(noon, 9, 1, accounting.FastCGI, accounting.CustomerName{})
	second.Append(other, noon)
	second.Close(other, noon)
	b.Open(noon, 8, 1, accounting.FastCGI, accounting.CustomerName{})
	r.Append(b, noon)
	if book, _, err := ReadFile(path); err != nil || book.Total().Received != 1 {
		t.Error(err)
	}
	r.Close(b, noon)
	if Locked(path) {
		t.Error("it is free")
	}
}

// TestFailures: a file that is cut short under the map, one that is removed and a full disk cost the record alone, are
// told, and recording begins again with all figures.
func TestFailures(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "figures")
	b, r, log := openLedger(t, path)
	at, id := noon, uint64(0)
	until := func(up bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); r.Recording() != up || up && r.taskRunning; {
			if time.Now().After(end) {
				t.Fatal("never ", up, log)
			}
			id++
			at += time.Second
			b.Open(at, id, 1, accounting.FastCGI, accounting.CustomerName{})
			r.Append(b, at)
			time.Sleep(time.Millisecond) // what runs in the background has no other sign
		}
	}
	until(true)
	if err := os.Truncate(path, headerSize); err != nil {
		t.Fatal(err)
	}
	until(false)
	if !strings.Contains(log.String(), ErrNotWritable.Error()) {
		t.Error(log)
	}
	until(true)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	until(false)
	for end := time.Now().Add(10 * time.Second); !strings.Contains(log.String(), "no such file"); {
		if time.Now().After(end) {
			t.Fatal(log)
		}
		at += time.Second
		r.Append(b, at)
	}
	full := errors.New("no space left on device")
	replaceAllocate(t, func() error { return full }) // before the folder is there: a try in the background may come at any moment
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !strings.Contains(log.String(), full.Error()); {
		if time.Now().After(end) {
			t.Fatal(log)
		}
		at += time.Second
		r.Append(b, at)
	}
	for r.taskRunning { // the try on the full disk is over
		at += time.Millisecond
		r.Append(b, at)
	}
	allocateOverride.Store(nil)
	until(true)
	b.Open(at, id+1, 1, accounting.FastCGI, accounting.CustomerName{})
	r.Append(b, at)
	book, _, err := ReadFile(path)
	if err != nil || book.Total() != b.Total() {
		t.Error(err, book.Total(), b.Total())
	}
	if names, _ := filepath.Glob(path + unpublishedMark + "*"); len(names) > 0 {
		t.Error("left behind: ", names)
	}
	r.Close(b, at)
}

// TestOutgrown: a book that no longer fits its file gets a larger one.
func TestOutgrown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	b, r, log := openLedger(t, path)
	at := noon
	size := len(r.file.data)
	for i := range 16 * spareOpenRequests {
		b.Open(noon, uint64(i), 1, accounting.FastCGI, accounting.CustomerName{})
		if i%100 == 0 {
			at += time.Second
			r.Append(b, at)
		}
	}
	for end := time.Now().Add(10 * time.Second); !r.Recording() || r.taskRunning || len(r.file.data) == size; at += time.Second {
		if time.Now().After(end) {
			t.Fatal(log)
		}
		r.Append(b, at)
		time.Sleep(time.Millisecond)
	}
	r.Append(b, at)
	if book, _, err := ReadFile(path); err != nil || book.Total() != b.Total() || !strings.Contains(log.String(), ErrTooSmall.Error()) {
		t.Error(err, log, book.Total(), b.Total())
	}
	r.Close(b, at)
}

// FuzzRead: any bytes are read as a sound book or refused.
func FuzzRead(f *testing.F) {
	path := filepath.Join(f.TempDir(), "figures")
	small := cfg
	small.MaxPeriods = 0
	b, _ := accounting.New(small)
	b.StartIncarnation(noon, 0)
	l := layout{entries: MinEntries, snapshotSize: 4096}
	x := &file{layout: l, path: path, data: make([]byte, l.size())}
	l.encode(x.data)
	b.RecordEntries(true)
	if err := x.initialize(b); err != nil {
		f.Fatal(err)
	}
	var open []accounting.Ticket
	for i := range 90 {
		open = step(b, i, open)
		if err := x.append(b); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(x.data, uint32(9000), byte(1))
	f.Fuzz(func(t *testing.T, data []byte, at uint32, to byte) {
		if len(data) > 0 {
			data[int(at)%len(data)] ^= to
		}
		b, err := Read(data)
		if err == nil {
			b.Audit(noon)
			if found := b.TakeMismatches(); len(found) > 0 {
				t.Error(found)
			}
			if _, err := b.Restart(cfg, noon, 0); err != nil {
				t.Error(err)
			}
		}
		_, _ = RecentEntries(data)
	})
}

// BenchmarkAppend: what a batch of a hundred reqs costs the owner.
func BenchmarkAppend(b *testing.B) {
	book, _ := accounting.New(cfg)
	r := NewRecorder(filepath.Join(b.TempDir(), "figures"), 0, slog.New(slog.NewTextHandler(io.Discard, nil)))
	book = r.Open(book, cfg, noon, 5*time.Second)
	defer r.Close(book, noon)
	at := noon
	b.ReportAllocs()
	for i := range b.N {
		at += 10 * time.Millisecond
		for k := range 100 {
			t := book.Open(at, uint64(i*100+k), 1, accounting.FastCGI, accounting.CustomerName{})
			book.Answer(at, t, accounting.Completed)
			book.Sent(at, t)
		}
		r.Append(book, at)
	}
}

// BenchmarkTurns: what a req alone in its batches costs the owner, with ever new customers.
func BenchmarkTurns(b *testing.B) {
	many := cfg
	many.MaxCustomers = 64
	book, _ := accounting.New(many)
	r := NewRecorder(filepath.Join(b.TempDir(), "figures"), 0, slog.New(slog.NewTextHandler(io.Discard, nil)))
	book = r.Open(book, many, noon, 5*time.Second)
	defer r.Close(book, noon)
	at := noon
	b.ReportAllocs()
	for i := range b.N {
		at += 500 * time.Microsecond
		t := book.Open(at, uint64(i), 1, accounting.FastCGI, accounting.NewCustomerName([]byte{byte(i), byte(i >> 8), byte(i >> 16)}))
		r.Append(book, at)
		book.Answer(at, t, accounting.Completed)
		book.Flush(at, true)
		r.Append(book, at)
		book.Sent(at, t)
		book.Flush(at, false)
		r.Append(book, at)
	}
}

// TestFlat: a million reqs of ever new customers leave memory and disk as they were.
func TestFlat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	b, r, _ := openLedger(t, path)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	at := noon
	run := func(n int) {
		for i := range n {
			if i%1000 == 0 {
				at += time.Second
			}
			k := b.Open(at, uint64(i), uint16(i%3), accounting.FastCGI, accounting.NewCustomerName([]byte{byte(i), byte(i >> 8), byte(i >> 16)}))
			b.Answer(at, k, accounting.Shed)
			b.Sent(at, k)
			if i%10 == 0 {
				r.Append(b, at)
			}
		}
		r.Append(b, at)
	}
	run(20_000)
	before, size := heap(), len(r.file.data)
	run(1_000_000)
	if after := heap(); after > before+before/10+100<<10 || len(r.file.data) != size {
		t.Errorf("%d bytes of heap, %d before; a file of %d, %d before", after, before, len(r.file.data), size)
	}
	b.Audit(at)
	if book, _, err := ReadFile(path); err != nil || book.Total().Received != 1_020_000 || b.Mismatches() > 0 {
		t.Error(err, book.Total())
	}
	r.Close(b, at)
}

// TestSlowDisk: a disk that does not answer in time costs the record of this life, and the book is nobody else's.
func TestSlowDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	slow := make(chan struct{})
	replaceAllocate(t, func() error {
		<-slow
		return errors.New("the disk is back, too late")
	})
	var log bytes.Buffer
	r := NewRecorder(path, MinEntries, slog.New(slog.NewTextHandler(&log, nil)))
	fresh, err := accounting.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := r.Open(fresh, cfg, noon, 50*time.Millisecond)
	if b == fresh || r.Recording() || !strings.Contains(log.String(), "does not answer") {
		t.Error("it waits, or shares its book: ", log.String())
	}
	b.Open(noon, 1, 1, accounting.FastCGI, accounting.CustomerName{})
	r.Append(b, noon)
	r.Close(b, noon)
	close(slow)
	for end := time.Now().Add(5 * time.Second); Locked(path) && len(glob(t, path+unpublishedMark+"*")) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what waited never ends")
		}
	}
}

// replaceAllocate has another disk for the rest of the test.
func replaceAllocate(t *testing.T, takes func() error) {
	allocateOverride.Store(&takes)
	t.Cleanup(func() { allocateOverride.Store(nil) })
}

func glob(t *testing.T, pattern string) []string {
	names, err := filepath.Glob(pattern)
	if err != nil {
		t.Fatal(err)
	}
	return names
}
