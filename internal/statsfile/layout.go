package statsfile

import (
	"encoding/binary"
	"errors"
	"fmt"

	"frosthub/accounting"
)

// Errors of files. Operators search for the texts: most of them are in docs/operators/figures.md.
var (
	ErrNotStatsFile = errors.New("no figures file")
	ErrVersion      = errors.New("a figures file of another version")
	ErrDamaged      = errors.New("a damaged figures file")
	ErrReplaced     = errors.New("it was removed or replaced")
	ErrTooSmall     = errors.New("the ledger has outgrown it")
	ErrNotWritable  = errors.New("the mapped file can't be written to")
)

// Names of files.
const (
	unpublishedMark = ".new-" // in the name of a file that holds no ledger yet
	lockSuffix      = ".lock" // after the name of a file: its lock
)

// Numbers of entries in the ring.
const (
	DefaultEntries = 8192    // half a megabyte
	MinEntries     = 256     // with fewer the snapshots would cost more than the entries
	maxEntries     = 1 << 20 // 64 MB
)

// Fixed sizes of the format, in bytes.
const (
	magic              = "FROSTFIG"
	formatVersion      = 1
	pageSize           = 4096
	headerSize         = pageSize
	snapshotHeaderSize = 16 // length, checksum, unused
	periodHeaderSize   = 16 // number, length, checksum
)

// Offsets of the fields of the header. Numbers are little endian.
const (
	headerVersion      = 8
	headerEntries      = 12
	headerSnapshotSize = 16
	headerPeriodSize   = 20
	headerPeriodSlots  = 24
	headerChecksum     = 28
)

// Offsets of the fields in the headers of a snapshot and of a period.
const (
	snapshotLength   = 0
	snapshotChecksum = 8

	periodNumber   = 0
	periodLength   = 8
	periodChecksum = 12
)

// Limits of a file.
const (
	maxFileSize     = 1 << 30  // bytes of a file that is read: far beyond any that is written
	maxSnapshotSize = 64 << 20 // bytes of a snapshot or period
	maxPeriodSlots  = 1 << 16
)

// Room for growth.
const (
	sparePeriods      = 8    // slots beyond the periods that are kept: those that an older snapshot needs are not overwritten
	spareOpenRequests = 4096 // open requests that a snapshot has room for beyond the present ones
)

// snapshotAreas is the number of areas for snapshots. They are written in turn, so that one is always complete.
const snapshotAreas = 2

// layout is where the parts of a file are: the header, a ring of entries, two areas for snapshots, and slots for closed
// periods.
type layout struct {
	entries      int // in the ring
	snapshotSize int // of an area, its header included
	periodSize   int // of a slot, its header included
	periodSlots  int
}

// layoutFor returns the layout for a ledger with so many entries in the ring and so many closed periods.
func layoutFor(ledger *accounting.Ledger, entries, periods int) layout {
	open := int(ledger.Total().Open) + spareOpenRequests
	l := layout{
		entries:      entries,
		snapshotSize: wholePages(snapshotHeaderSize + ledger.MaxSnapshotSize(open)),
	}
	if periods > 0 {
		l.periodSize = periodHeaderSize + ledger.MaxPeriodSize()
		l.periodSlots = periods + sparePeriods
	}
	return l
}

// wholePages rounds a size up to whole pages.
func wholePages(size int) int { return (size + pageSize - 1) / pageSize * pageSize }

// entryOffset returns where the entry of that sequence number is.
func (l layout) entryOffset(seq uint64) int { return l.ringOffset(int(seq % uint64(l.entries))) }

// ringOffset returns where a place of the ring is.
func (l layout) ringOffset(place int) int { return headerSize + place*accounting.EntrySize }

// snapshotOffset returns where an area for snapshots is.
func (l layout) snapshotOffset(area int) int { return l.ringOffset(l.entries) + area*l.snapshotSize }

// periodOffset returns where the closed period of that number is.
func (l layout) periodOffset(number uint64) int {
	slot := int(number % uint64(max(1, l.periodSlots)))
	return l.snapshotOffset(snapshotAreas) + slot*l.periodSize
}

// size returns the size of the file.
func (l layout) size() int { return l.snapshotOffset(snapshotAreas) + l.periodSlots*l.periodSize }

// valid reports whether the layout is within the limits of a file.
func (l layout) valid() bool {
	entries := l.entries >= MinEntries && l.entries <= maxEntries
	snapshots := l.snapshotSize > snapshotHeaderSize && l.snapshotSize <= maxSnapshotSize
	periods := l.periodSize >= 0 && l.periodSize <= maxSnapshotSize && l.periodSlots >= 0 && l.periodSlots <= maxPeriodSlots
	return entries && snapshots && periods && l.size() <= maxFileSize
}

// encode writes the header of a file.
func (l layout) encode(file []byte) {
	le := binary.LittleEndian
	copy(file, magic)
	le.PutUint32(file[headerVersion:], formatVersion)
	le.PutUint32(file[headerEntries:], uint32(l.entries))
	le.PutUint32(file[headerSnapshotSize:], uint32(l.snapshotSize))
	le.PutUint32(file[headerPeriodSize:], uint32(l.periodSize))
	le.PutUint32(file[headerPeriodSlots:], uint32(l.periodSlots))
	le.PutUint32(file[headerChecksum:], accounting.Checksum(file[:headerChecksum]))
}

// decode reads the header of a file and checks it against the file's size. It returns an ErrNotStatsFile, ErrVersion or
// ErrDamaged.
func (l *layout) decode(file []byte) error {
	le := binary.LittleEndian
	if len(file) < headerEntries || string(file[:len(magic)]) != magic {
		return ErrNotStatsFile
	}
	if version := le.Uint32(file[headerVersion:]); version != formatVersion {
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, version, formatVersion)
	}
	if len(file) < headerSize || le.Uint32(file[headerChecksum:]) != accounting.Checksum(file[:headerChecksum]) {
		return fmt.Errorf("%w: its header", ErrDamaged)
	}
	l.entries = int(le.Uint32(file[headerEntries:]))
	l.snapshotSize = int(le.Uint32(file[headerSnapshotSize:]))
	l.periodSize = int(le.Uint32(file[headerPeriodSize:]))
	l.periodSlots = int(le.Uint32(file[headerPeriodSlots:]))
	if !l.valid() || len(file) != l.size() {
		return fmt.Errorf("%w: %d bytes, not as its header says", ErrDamaged, len(file))
	}
	return nil
}
