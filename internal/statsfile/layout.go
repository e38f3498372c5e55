package statsfile

import (
	"encoding/binary"
	"errors"
	"fmt"

	"frosthub/accounting"
)

// Errors of files. Operators search for the texts; docs/operators/figures.md lists most of them.
var (
	ErrNotStatsFile = errors.New("no figures file")
	ErrVersion      = errors.New("a figures file of another version")
	ErrDamaged      = errors.New("a damaged figures file")
	ErrReplaced     = errors.New("it was removed or replaced")
	ErrTooSmall     = errors.New("the ledger is too large for the figures file")
	ErrNotWritable  = errors.New("the mapped file can't be written to")
)

// Parts of file names.
const (
	unpublishedMark = ".new-" // in the name of a file that is not published yet
	lockSuffix      = ".lock" // appended to the name of a file, gives the name of its lock file
)

// Numbers of entries in the ring.
const (
	DefaultEntries = 8192    // half a megabyte
	MinEntries     = 256     // with fewer entries, writing snapshots would cost more than writing entries
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

// Offsets of the fields of the header. Numbers are little-endian.
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
	maxFileSize     = 1 << 30  // maximum size in bytes of a file that is read; far more than is ever written
	maxSnapshotSize = 64 << 20 // maximum size in bytes of a snapshot area or period slot
	maxPeriodSlots  = 1 << 16
)

// Spare room for growth.
const (
	sparePeriods      = 8    // slots in addition to the periods that are kept, so that periods an older snapshot needs are not overwritten
	spareOpenRequests = 4096 // open requests that a snapshot has room for in addition to the current ones
)

// snapshotAreas is the number of snapshot areas. They are written in turn, so that one snapshot is always complete.
const snapshotAreas = 2

// layout describes the arrangement of a file: the header, the ring of entries, two snapshot areas, and slots for closed
// periods.
type layout struct {
	entries      int // number of entries in the ring
	snapshotSize int // size in bytes of a snapshot area, including its header
	periodSize   int // size in bytes of a period slot, including its header
	periodSlots  int
}

// layoutFor returns the layout for a ledger with the given numbers of entries in the ring and of closed periods that are
// kept.
func layoutFor(ledger *accounting.Ledger, entries, periods int) layout {
	open := int(ledger.Total().Open) + spareOpenRequests
	l := layout{
		entries:      entries,
		snapshotSize: roundToPages(snapshotHeaderSize + ledger.MaxSnapshotSize(open)),
	}
	if periods > 0 {
		l.periodSize = periodHeaderSize + ledger.MaxPeriodSize()
		l.periodSlots = periods + sparePeriods
	}
	return l
}

// roundToPages rounds a size up to a multiple of the page size.
func roundToPages(size int) int { return (size + pageSize - 1) / pageSize * pageSize }

// entryOffset returns the offset of the entry with the given sequence number.
func (l layout) entryOffset(seq uint64) int { return l.ringOffset(int(seq % uint64(l.entries))) }

// ringOffset returns the offset of the entry at an index of the ring.
func (l layout) ringOffset(index int) int { return headerSize + index*accounting.EntrySize }

// snapshotOffset returns the offset of a snapshot area.
func (l layout) snapshotOffset(area int) int { return l.ringOffset(l.entries) + area*l.snapshotSize }

// periodOffset returns the offset of the slot for the closed period with the given number.
func (l layout) periodOffset(number uint64) int {
	slot := int(number % uint64(max(1, l.periodSlots)))
	return l.snapshotOffset(snapshotAreas) + slot*l.periodSize
}

// size returns the size of the file in bytes.
func (l layout) size() int { return l.snapshotOffset(snapshotAreas) + l.periodSlots*l.periodSize }

// valid reports whether the layout is within the limits of a file.
func (l layout) valid() bool {
	entries := l.entries >= MinEntries && l.entries <= maxEntries
	snapshots := l.snapshotSize > snapshotHeaderSize && l.snapshotSize <= maxSnapshotSize
	periods := l.periodSize >= 0 && l.periodSize <= maxSnapshotSize && l.periodSlots >= 0 && l.periodSlots <= maxPeriodSlots
	return entries && snapshots && periods && l.size() <= maxFileSize
}

// encode writes the layout into the header of a file.
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

// decode reads the layout from the header of a file and checks it against the size of the file. The error wraps
// ErrNotStatsFile, ErrVersion or ErrDamaged.
func (l *layout) decode(file []byte) error {
	le := binary.LittleEndian
	if len(file) < headerEntries || string(file[:len(magic)]) != magic {
		return ErrNotStatsFile
	}
	if version := le.Uint32(file[headerVersion:]); version != formatVersion {
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, version, formatVersion)
	}
	if len(file) < headerSize || le.Uint32(file[headerChecksum:]) != accounting.Checksum(file[:headerChecksum]) {
		return fmt.Errorf("%w: its header is truncated or fails its checksum", ErrDamaged)
	}
	l.entries = int(le.Uint32(file[headerEntries:]))
	l.snapshotSize = int(le.Uint32(file[headerSnapshotSize:]))
	l.periodSize = int(le.Uint32(file[headerPeriodSize:]))
	l.periodSlots = int(le.Uint32(file[headerPeriodSlots:]))
	if !l.valid() || len(file) != l.size() {
		return fmt.Errorf("%w: its size of %d bytes does not match its header", ErrDamaged, len(file))
	}
	return nil
}
