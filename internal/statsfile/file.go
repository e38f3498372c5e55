// Package statsfile keeps a ledger in a memory-mapped file, so that it outlives the process however that ends: what was
// stored in the mapping belongs to the operating system, not to the process. It does not outlive the machine's power; then
// what was on disk is read.
//
// A file holds a ring of the last entries and two snapshots, written in turn, whose distance is less than the ring. The
// ledger is the newer complete snapshot and the entries that follow it: an entry or a snapshot that was cut while it was
// written fails its checksum. The format is described in docs/notes/figures.md.
package statsfile

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"

	"frosthub/accounting"

	"golang.org/x/sys/unix"
)

// fileMode is the mode of a file: its group may read it.
const fileMode = 0o640

// file is a mapped file that is written to. It belongs to one goroutine at a time. Its methods that write to the mapping
// must be called under catchFaults.
type file struct {
	layout
	path string
	data []byte      // the mapping
	info os.FileInfo // tells whether path is still this file

	unpublishedPath string // its name until publish

	nextArea     int    // the area that the next snapshot is written to: the older one
	lastSnapshot uint64 // the entry of the last snapshot
	nextPeriod   uint64 // the first closed period that is not written
	buffer       []byte // for encoding
}

// allocateOverride replaces allocate in tests, for disks that are full or slow.
var allocateOverride atomic.Pointer[func() error]

// allocate takes room on the disk.
func allocate(fd int, size int64) error {
	if override := allocateOverride.Load(); override != nil {
		return (*override)()
	}
	return unix.Fallocate(fd, 0, 0, size)
}

// create makes a file under a name of its own, which publish replaces by path. It holds no ledger yet. The room is taken on
// the disk at once: a full disk is an error here and not a fault later. It returns ErrTooSmall if the layout is beyond the
// limits of a file.
func create(path string, l layout) (f *file, err error) {
	if !l.valid() {
		return nil, ErrTooSmall
	}
	unpublished, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+unpublishedMark+"*")
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = unpublished.Close()
		if err != nil {
			_ = os.Remove(unpublished.Name())
		}
	}()
	f = &file{layout: l, path: path, unpublishedPath: unpublished.Name()}
	if err = f.mapInto(unpublished); err != nil {
		return nil, err
	}
	l.encode(f.data)
	if f.info, err = unpublished.Stat(); err == nil {
		err = unpublished.Chmod(fileMode)
	}
	if err != nil {
		f.unmap()
		return nil, err
	}
	return f, nil
}

// mapInto takes the room on the disk and maps the file.
func (f *file) mapInto(osFile *os.File) error {
	size := f.size()
	fd := int(osFile.Fd())
	if err := allocate(fd, int64(size)); err != nil {
		return fmt.Errorf("room of %d bytes: %w", size, err)
	}
	data, err := unix.Mmap(fd, 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED|unix.MAP_POPULATE)
	if err != nil {
		return fmt.Errorf("mapping it: %w", err)
	}
	f.data = data
	return nil
}

// publish gives the file its name, once it holds a ledger. It waits for the disk.
func (f *file) publish() error {
	if err := unix.Msync(f.data, unix.MS_SYNC); err != nil {
		return err
	}
	return os.Rename(f.unpublishedPath, f.path)
}

// removeUnpublished removes the files that an earlier process did not get to publish. The caller holds the lock.
func removeUnpublished(path string) {
	names, _ := filepath.Glob(path + unpublishedMark + "*") // only a bad pattern is an error
	for _, name := range names {
		_ = os.Remove(name)
	}
}

// unmap releases the mapping. The file must not be written to any more.
func (f *file) unmap() {
	if f.data != nil {
		_ = unix.Munmap(f.data)
		f.data = nil
	}
}

// inPlace reports whether path is still this file.
func (f *file) inPlace() bool {
	info, err := os.Stat(f.path)
	return err == nil && os.SameFile(info, f.info)
}

// catchFaults calls write and returns faults of the mapping as an ErrNotWritable: the file was truncated, or the disk
// fails.
func catchFaults(write func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			if _, fault := r.(interface{ Addr() uintptr }); !fault {
				panic(r)
			}
			err = fmt.Errorf("%w: %v", ErrNotWritable, r)
		}
	}()
	return write()
}

// initialize writes a ledger into a new file: all its closed periods and a snapshot, which includes the pending entries.
func (f *file) initialize(ledger *accounting.Ledger) error {
	ledger.TakeEntries(func([]accounting.Entry) {})
	f.writePeriods(ledger)
	return f.writeSnapshot(ledger)
}

// append writes the pending entries and the newly closed periods, and a snapshot when it is due: before the entries since
// the last one fill more than a part of the ring, and whenever a period was closed.
func (f *file) append(ledger *accounting.Ledger) error {
	limit := f.entries / 4
	tooMany := false
	ledger.TakeEntries(func(entries []accounting.Entry) {
		if len(entries) > limit {
			tooMany = true // they would overwrite what the last snapshot needs; the next one includes them all
			return
		}
		f.writeEntries(entries)
	})
	periodClosed := f.writePeriods(ledger)
	if periodClosed || tooMany || ledger.Seq()-f.lastSnapshot > uint64(limit) {
		return f.writeSnapshot(ledger)
	}
	return nil
}

func (f *file) writeEntries(entries []accounting.Entry) {
	for i := range entries {
		offset := f.entryOffset(entries[i].Seq)
		entries[i].Encode(f.data[offset : offset+accounting.EntrySize])
	}
}

// writePeriods writes the closed periods that are not written, and reports whether there were any.
func (f *file) writePeriods(ledger *accounting.Ledger) bool {
	first, next := ledger.Periods()
	if f.periodSlots == 0 || next <= f.nextPeriod {
		return false
	}
	for number := max(first, f.nextPeriod); number < next; number++ {
		f.writePeriod(number, ledger.PeriodData(number))
	}
	f.nextPeriod = next
	return true
}

func (f *file) writePeriod(number uint64, period []byte) {
	le := binary.LittleEndian
	slot := f.data[f.periodOffset(number):][:f.periodSize]
	copy(slot[periodHeaderSize:], period)
	le.PutUint64(slot[periodNumber:], number)
	le.PutUint32(slot[periodLength:], uint32(len(period)))
	le.PutUint32(slot[periodChecksum:], accounting.Checksum(period))
}

// writeSnapshot writes a snapshot over the older one. It returns ErrTooSmall if the ledger has outgrown the file.
func (f *file) writeSnapshot(ledger *accounting.Ledger) error {
	f.buffer = ledger.AppendSnapshot(f.buffer[:0])
	if len(f.buffer) > f.snapshotSize-snapshotHeaderSize {
		return ErrTooSmall
	}
	le := binary.LittleEndian
	area := f.data[f.snapshotOffset(f.nextArea):][:f.snapshotSize]
	le.PutUint64(area[snapshotLength:], uint64(len(f.buffer)))
	le.PutUint32(area[snapshotChecksum:], accounting.Checksum(f.buffer))
	copy(area[snapshotHeaderSize:], f.buffer)
	f.nextArea = 1 - f.nextArea
	f.lastSnapshot = ledger.Seq()
	return nil
}
