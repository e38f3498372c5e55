// Package statsfile keeps a book of accounts in a mapped file, so that it outlives the process however that ends: what
// was stored in the map is the system's, not the process's. The format is told in docs/notes/figures.md.
package statsfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"frosthub/accounting"
	"frosthub/internal/filelock"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	magic              = "FROSTFIG"
	unpublishedMark    = ".new-" // in the name of a file that holds no book yet
	lockSuffix         = ".lock" // after the name of one: its lock
	formatVersion      = 1
	headerSize         = 4096
	snapshotHeaderSize = 16       // length, checksum and room
	periodHeaderSize   = 16       // number, length, checksum
	sparePeriods       = 8        // places of periods beyond those kept: what an older snapshot needs is not written over
	spareOpenRequests  = 4096     // open reqs that a snapshot has room for beyond those of now
	maxFileSize        = 1 << 30  // bytes of a file that is read: far beyond any that is written
	DefaultEntries     = 8192     // ops in the ring where nothing is said: half a megabyte
	MinEntries         = 256      // below it the book would be written down more often than the ops
	maxEntries         = 1 << 20  // 64 MB
	maxSnapshotSize    = 64 << 20 // bytes of a snapshot
)

// Errors of files.
var (
	ErrNotStatsFile = errors.New("no figures file")
	ErrVersion      = errors.New("a figures file of another version")
	ErrDamaged      = errors.New("a damaged figures file")
	ErrReplaced     = errors.New("it was removed or replaced")
	ErrTooSmall     = errors.New("the book has outgrown it")
	ErrNotWritable  = errors.New("the mapped file can't be written to")
)

// layout is where the parts of a file stand.
type layout struct {
	entries, snapshotSize, periodSize, periodSlots int // how many ops; room of a snapshot, of a period; how many periods
}

func (l layout) entryOffset(seq uint64) int {
	return headerSize + int(seq%uint64(l.entries))*accounting.EntrySize
}
func (l layout) snapshotOffset(i int) int {
	return headerSize + l.entries*accounting.EntrySize + i*l.snapshotSize
}
func (l layout) periodOffset(n uint64) int {
	return l.snapshotOffset(2) + int(n%uint64(max(1, l.periodSlots)))*l.periodSize
}
func (l layout) size() int { return l.snapshotOffset(2) + l.periodSlots*l.periodSize }

func (l layout) valid() bool {
	return l.entries >= MinEntries && l.entries <= maxEntries && l.snapshotSize > snapshotHeaderSize && l.snapshotSize <= maxSnapshotSize && l.periodSize >= 0 &&
		l.periodSize <= maxSnapshotSize && l.periodSlots >= 0 && l.periodSlots <= 1<<16 && l.size() <= maxFileSize
}

// layoutFor is the one for such a book.
func layoutFor(b *accounting.Ledger, ops, periods int) layout {
	const page = 4096
	up := func(n int) int { return (n + page - 1) / page * page }
	l := layout{entries: ops, snapshotSize: up(snapshotHeaderSize + b.SnapshotSize(int(b.Total().Open)+spareOpenRequests))}
	if periods > 0 {
		l.periodSize, l.periodSlots = periodHeaderSize+b.PeriodSize(), periods+sparePeriods
	}
	return l
}

func (l layout) encode(b []byte) {
	le := binary.LittleEndian
	copy(b, magic)
	for i, v := range [...]int{formatVersion, l.entries, l.snapshotSize, l.periodSize, l.periodSlots} {
		le.PutUint32(b[8+4*i:], uint32(v))
	}
	le.PutUint32(b[28:], accounting.Checksum(b[:28]))
}

func (l *layout) decode(b []byte) error {
	le := binary.LittleEndian
	switch {
	case len(b) < 12 || string(b[:8]) != magic:
		return ErrNotStatsFile
	case le.Uint32(b[8:]) != formatVersion:
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, le.Uint32(b[8:]), formatVersion)
	case len(b) < headerSize || le.Uint32(b[28:]) != accounting.Checksum(b[:28]):
		return fmt.Errorf("%w: its header", ErrDamaged)
	}
	for i, v := range [...]*int{&l.entries, &l.snapshotSize, &l.periodSize, &l.periodSlots} {
		*v = int(le.Uint32(b[12+4*i:]))
	}
	if !l.valid() || len(b) != l.size() {
		return fmt.Errorf("%w: %d bytes, not as its header says", ErrDamaged, len(b))
	}
	return nil
}

// Read has the book that the bytes of a file hold: its newest whole snapshot, and the ops that followed it.
func Read(data []byte) (*accounting.Ledger, error) {
	var l layout
	if err := l.decode(data); err != nil {
		return nil, err
	}
	le := binary.LittleEndian
	var book *accounting.Ledger
	var why error
	for i := range 2 {
		at := l.snapshotOffset(i)
		n := le.Uint64(data[at:])
		if n == 0 {
			continue // not written yet
		}
		if n > uint64(l.snapshotSize-snapshotHeaderSize) || le.Uint32(data[at+8:]) != accounting.Checksum(data[at+snapshotHeaderSize:at+snapshotHeaderSize+int(n)]) {
			why = fmt.Errorf("%w: a snapshot", ErrDamaged)
			continue // being written when the process ended
		}
		b, err := accounting.Restore(data[at+snapshotHeaderSize:at+snapshotHeaderSize+int(n)], func(n uint64) []byte { return readPeriod(data, l, n) })
		if err != nil {
			why = fmt.Errorf("%w: %w", ErrDamaged, err)
			continue
		}
		if book == nil || b.Seq() > book.Seq() {
			book = b
		}
	}
	if book == nil {
		if why == nil {
			why = fmt.Errorf("%w: it holds no snapshot", ErrDamaged)
		}
		return nil, why
	}
	for {
		var op accounting.Entry
		at := l.entryOffset(book.Seq() + 1)
		if !op.Get(data[at:at+accounting.EntrySize]) || op.Seq != book.Seq()+1 {
			break
		}
		if err := book.Apply(op); err != nil {
			return nil, fmt.Errorf("%w: op %d: %w", ErrDamaged, op.Seq, err)
		}
	}
	book.EndReplay()
	for k := range l.entries {
		var op accounting.Entry
		at := headerSize + k*accounting.EntrySize
		if op.Get(data[at:at+accounting.EntrySize]) && op.Seq > book.Seq() {
			return book, fmt.Errorf("%w: ops after %d are missing", ErrDamaged, book.Seq())
		}
	}
	return book, nil
}

func readPeriod(data []byte, l layout, number uint64) []byte {
	if l.periodSlots == 0 {
		return nil
	}
	le := binary.LittleEndian
	p := data[l.periodOffset(number):][:l.periodSize]
	n := int(le.Uint32(p[8:]))
	if le.Uint64(p) != number || n > l.periodSize-periodHeaderSize || le.Uint32(p[12:]) != accounting.Checksum(p[periodHeaderSize:periodHeaderSize+n]) {
		return nil
	}
	return p[periodHeaderSize : periodHeaderSize+n]
}

// RecentEntries gives the ops that a file still holds, in order.
func RecentEntries(data []byte) ([]accounting.Entry, error) {
	var l layout
	if err := l.decode(data); err != nil {
		return nil, err
	}
	last := uint64(0)
	bySeq := map[uint64]accounting.Entry{}
	for k := range l.entries {
		var op accounting.Entry
		at := headerSize + k*accounting.EntrySize
		if op.Get(data[at : at+accounting.EntrySize]) {
			bySeq[op.Seq] = op
			last = max(last, op.Seq)
		}
	}
	var out []accounting.Entry
	for seq := last; ; seq-- {
		op, ok := bySeq[seq]
		if !ok {
			break
		}
		out = append(out, op)
	}
	slices.Reverse(out)
	return out, nil
}

// ReadFile reads a file that may be in use: one that was changed meanwhile is read again.
func ReadFile(path string) (b *accounting.Ledger, data []byte, err error) {
	for range 5 {
		if data, err = os.ReadFile(path); err != nil {
			return nil, nil, err
		}
		if b, err = Read(data); err == nil {
			return b, data, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return b, data, err
}

// file is one that is written to.
type file struct {
	layout
	path         string
	tempPath     string // its name before it holds a book
	data         []byte
	info         os.FileInfo
	nextSnapshot int    // the area that the next snapshot goes to
	snapshotSeq  uint64 // the op of the last snapshot
	nextPeriod   uint64 // the first period that is not written
	snapshot     []byte
}

// allocateOverride takes room in place of the system's: tests have disks that are full or slow.
var allocateOverride atomic.Pointer[func() error]

// allocate takes room on the disk.
func allocate(fd int, size int64) error {
	if other := allocateOverride.Load(); other != nil {
		return (*other)()
	}
	return unix.Fallocate(fd, 0, 0, size)
}

// create makes a file with room for such a book, under a name of its own until publish; nothing is in it yet.
// The room is taken on the disk at once: a full one is an error here and not a fault later.
func create(path string, l layout) (f *file, err error) {
	if !l.valid() {
		return nil, ErrTooSmall
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+unpublishedMark+"*")
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = tmp.Close()
		if err != nil {
			_ = os.Remove(tmp.Name())
		}
	}()
	if err = allocate(int(tmp.Fd()), int64(l.size())); err != nil {
		return nil, fmt.Errorf("room of %d bytes: %w", l.size(), err)
	}
	data, err := unix.Mmap(int(tmp.Fd()), 0, l.size(), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED|unix.MAP_POPULATE)
	if err != nil {
		return nil, fmt.Errorf("mapping it: %w", err)
	}
	f = &file{layout: l, path: path, tempPath: tmp.Name(), data: data}
	l.encode(data)
	if f.info, err = tmp.Stat(); err == nil {
		err = tmp.Chmod(0o640)
	}
	if err != nil {
		f.unmap()
		return nil, err
	}
	return f, nil
}

// publish gives the file its name, once it holds a book.
func (f *file) publish() error {
	if err := unix.Msync(f.data, unix.MS_SYNC); err != nil {
		return err
	}
	return os.Rename(f.tempPath, f.path)
}

// removeUnpublished removes what an earlier life did not get to publish. The lock is held.
func removeUnpublished(path string) {
	names, _ := filepath.Glob(path + unpublishedMark + "*") // only a bad pattern is an error
	for _, name := range names {
		_ = os.Remove(name)
	}
}

func (f *file) unmap() {
	if f.data != nil {
		_ = unix.Munmap(f.data)
		f.data = nil
	}
}

// catchFaults calls do with faults of the map as errors: a file that was cut short, a disk that fails.
func catchFaults(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			if _, fault := r.(interface{ Addr() uintptr }); !fault {
				panic(r)
			}
			err = fmt.Errorf("%w: %v", ErrNotWritable, r)
		}
	}()
	return do()
}

// append writes ops, closed periods, and a snapshot when it is time.
func (f *file) append(b *accounting.Ledger) error {
	many := false
	b.TakeEntries(func(ops []accounting.Entry) {
		if many = len(ops) > f.entries/4; many {
			return // they would write over what the last snapshot needs; the next one holds them all at once
		}
		for i := range ops {
			ops[i].Put(f.data[f.entryOffset(ops[i].Seq):][:accounting.EntrySize])
		}
	})
	if f.writePeriods(b) || many || b.Seq()-f.snapshotSeq > uint64(f.entries/4) {
		return f.writeSnapshot(b)
	}
	return nil
}

// writePeriods writes the closed periods that are not written, and tells whether there were any.
func (f *file) writePeriods(b *accounting.Ledger) bool {
	first, next := b.Periods()
	if f.periodSlots == 0 || next <= f.nextPeriod {
		return false
	}
	for n := max(first, f.nextPeriod); n < next; n++ {
		f.writePeriod(n, b.PeriodData(n))
	}
	f.nextPeriod = next
	return true
}

func (f *file) writePeriod(number uint64, data []byte) {
	le := binary.LittleEndian
	p := f.data[f.periodOffset(number):][:f.periodSize]
	copy(p[periodHeaderSize:], data)
	le.PutUint64(p, number)
	le.PutUint32(p[8:], uint32(len(data)))
	le.PutUint32(p[12:], accounting.Checksum(data))
}

// writeSnapshot writes the book down in the older of the two areas.
func (f *file) writeSnapshot(b *accounting.Ledger) error {
	f.snapshot = b.AppendSnapshot(f.snapshot[:0])
	if len(f.snapshot) > f.layout.snapshotSize-snapshotHeaderSize {
		return ErrTooSmall
	}
	le := binary.LittleEndian
	p := f.data[f.snapshotOffset(f.nextSnapshot):][:f.layout.snapshotSize]
	le.PutUint64(p, uint64(len(f.snapshot)))
	le.PutUint32(p[8:], accounting.Checksum(f.snapshot))
	copy(p[snapshotHeaderSize:], f.snapshot)
	f.nextSnapshot, f.snapshotSeq = 1-f.nextSnapshot, b.Seq()
	return nil
}

// initialize writes a book into a new file: all its closed periods and a snapshot. Ops since the last drain are in it.
func (f *file) initialize(b *accounting.Ledger) error {
	b.TakeEntries(func([]accounting.Entry) {})
	f.writePeriods(b)
	return f.writeSnapshot(b)
}

// inPlace tells whether the file still stands under its name.
func (f *file) inPlace() bool {
	info, err := os.Stat(f.path)
	return err == nil && os.SameFile(info, f.info)
}

// Locked tells whether a process records in that file.
func Locked(path string) bool { return filelock.IsLocked(path + lockSuffix) }
