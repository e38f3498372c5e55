// Package statsfile stores a ledger in a memory-mapped file, so that the ledger survives the end of the process, however
// the process ends: data written to the mapping belongs to the operating system. The mapping does not survive a crash or
// power loss of the machine; in that case the ledger is read from the data that reached the disk.
//
// A file holds a ring of the latest entries and two snapshots, which are written in turn. Fewer entries lie between two
// snapshots than the ring holds. The ledger is the newest complete snapshot plus the entries that follow it. An entry or
// snapshot that was only partly written fails its checksum. The format is described in docs/notes/accounting.md.
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

// fileMode is the mode of a file. The group of the file may read it.
const fileMode = 0o640

// file is a memory-mapped file that the process writes. Only one goroutine may use it at a time. Methods that write to
// the mapping must be called under catchFaults.
type file struct {
	layout
	path string
	data []byte      // the mapping
	info os.FileInfo // identifies the file, to detect that another file has taken its path

	unpublishedPath string // path of the file until publish renames it

	nextSnapshotArea int    // snapshot area that the next snapshot is written to; holds the older snapshot
	lastSnapshotSeq  uint64 // sequence number of the last entry in the last snapshot
	nextPeriod       uint64 // number of the first closed period that is not written
	buffer           []byte // reused to encode snapshots
}

// allocateOverride replaces allocate in tests that simulate a full or slow disk.
var allocateOverride atomic.Pointer[func() error]

// allocate reserves disk space for a file.
func allocate(fd int, size int64) error {
	if override := allocateOverride.Load(); override != nil {
		return (*override)()
	}
	return unix.Fallocate(fd, 0, 0, size)
}

// create creates a file under a temporary name, which publish replaces by path. The file does not hold a ledger yet.
// create reserves the disk space at once, so that a full disk is an error here and not a fault on a later write. It
// returns ErrTooSmall if the layout exceeds the limits of a file.
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
	if err = f.allocateAndMap(unpublished); err != nil {
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

// allocateAndMap reserves the disk space of the file and maps it into memory.
func (f *file) allocateAndMap(osFile *os.File) error {
	size := f.size()
	fd := int(osFile.Fd())
	if err := allocate(fd, int64(size)); err != nil {
		return fmt.Errorf("room of %d bytes: %w", size, err)
	}
	data, err := unix.Mmap(fd, 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED|unix.MAP_POPULATE)
	if err != nil {
		return fmt.Errorf("mapping the file: %w", err)
	}
	f.data = data
	return nil
}

// publish syncs the file to disk and renames it to its path. The file must hold a ledger by then. publish blocks on disk
// I/O.
func (f *file) publish() error {
	if err := unix.Msync(f.data, unix.MS_SYNC); err != nil {
		return err
	}
	return os.Rename(f.unpublishedPath, f.path)
}

// removeUnpublished removes the files that an earlier process created but did not publish. The caller must hold the
// lock.
func removeUnpublished(path string) {
	names, _ := filepath.Glob(path + unpublishedMark + "*") // the only possible error is a malformed pattern
	for _, name := range names {
		_ = os.Remove(name)
	}
}

// unmap releases the mapping. The file must not be written to afterwards.
func (f *file) unmap() {
	if f.data != nil {
		_ = unix.Munmap(f.data)
		f.data = nil
	}
}

// inPlace reports whether the path still refers to this file.
func (f *file) inPlace() bool {
	info, err := os.Stat(f.path)
	return err == nil && os.SameFile(info, f.info)
}

// catchFaults calls write and converts a memory fault in the mapping to an error that wraps ErrNotWritable. A fault
// occurs when the file was truncated or the disk fails.
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

// initialize writes a ledger to a new file: all its closed periods and a snapshot. The snapshot includes the pending
// entries, so they are dropped.
func (f *file) initialize(ledger *accounting.Ledger) error {
	ledger.TakeEntries(func([]accounting.Entry) {})
	f.writePeriods(ledger)
	return f.writeSnapshot(ledger)
}

// append writes the pending entries and the newly closed periods. It also writes a snapshot when a period was closed,
// and when the entries since the last snapshot exceed a quarter of the ring.
func (f *file) append(ledger *accounting.Ledger) error {
	limit := f.entries / 4
	tooMany := false
	ledger.TakeEntries(func(entries []accounting.Entry) {
		if len(entries) > limit {
			tooMany = true // writing them could overwrite entries that follow the last snapshot; the snapshot below includes them all
			return
		}
		f.writeEntries(entries)
	})
	periodClosed := f.writePeriods(ledger)
	if periodClosed || tooMany || ledger.Seq()-f.lastSnapshotSeq > uint64(limit) {
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

// writePeriods writes the closed periods that are not yet written, and reports whether there were any.
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

// writeSnapshot writes a snapshot over the older one. It returns ErrTooSmall if the snapshot does not fit its area.
func (f *file) writeSnapshot(ledger *accounting.Ledger) error {
	f.buffer = ledger.AppendSnapshot(f.buffer[:0])
	if len(f.buffer) > f.snapshotSize-snapshotHeaderSize {
		return ErrTooSmall
	}
	le := binary.LittleEndian
	area := f.data[f.snapshotOffset(f.nextSnapshotArea):][:f.snapshotSize]
	le.PutUint64(area[snapshotLength:], uint64(len(f.buffer)))
	le.PutUint32(area[snapshotChecksum:], accounting.Checksum(f.buffer))
	copy(area[snapshotHeaderSize:], f.buffer)
	f.nextSnapshotArea = 1 - f.nextSnapshotArea
	f.lastSnapshotSeq = ledger.Seq()
	return nil
}
