package statsfile

import (
	"encoding/binary"
	"fmt"
	"os"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/internal/filelock"
)

// Reading a file that is being written is tried again.
const (
	readAttempts   = 5
	readRetryDelay = 10 * time.Millisecond
)

// ReadFile reads the file of that name, which may be in use: if it changes while it is read, it is read again. Beside the
// ledger it returns the content of the file, for RecentEntries. It may be called by any process at any time. For errors see
// Read.
func ReadFile(path string) (ledger *accounting.Ledger, data []byte, err error) {
	for range readAttempts {
		data, err = os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		ledger, err = Read(data)
		if err == nil {
			return ledger, data, nil
		}
		time.Sleep(readRetryDelay)
	}
	return ledger, data, err
}

// Locked reports whether a process records in the file of that name.
func Locked(path string) bool { return filelock.IsLocked(path + lockSuffix) }

// Read returns the ledger in the content of a file: its newest complete snapshot, with the entries that followed it. It
// returns an ErrNotStatsFile, ErrVersion or ErrDamaged; if the damage is that later entries are missing, as after a crash of
// the machine, it also returns the ledger of before.
func Read(data []byte) (*accounting.Ledger, error) {
	var l layout
	if err := l.decode(data); err != nil {
		return nil, err
	}
	ledger, err := newestSnapshot(data, l)
	if err != nil {
		return nil, err
	}
	if err := replay(ledger, data, l); err != nil {
		return nil, err
	}
	for place := range l.entries {
		if entry, ok := readEntry(data, l.ringOffset(place)); ok && entry.Seq > ledger.Seq() {
			return ledger, fmt.Errorf("%w: entries after %d are missing", ErrDamaged, ledger.Seq())
		}
	}
	return ledger, nil
}

// newestSnapshot returns the ledger of the newest complete snapshot.
func newestSnapshot(data []byte, l layout) (*accounting.Ledger, error) {
	var newest *accounting.Ledger
	var damage error
	for area := range snapshotAreas {
		ledger, err := readSnapshot(data, l, area)
		if err != nil {
			damage = err // it may have been half written when the process ended: the other one counts
			continue
		}
		if ledger != nil && (newest == nil || ledger.Seq() > newest.Seq()) {
			newest = ledger
		}
	}
	if newest != nil {
		return newest, nil
	}
	if damage == nil {
		damage = fmt.Errorf("%w: it holds no snapshot", ErrDamaged)
	}
	return nil, damage
}

// readSnapshot returns the ledger of the snapshot in an area, nil if none has been written there.
func readSnapshot(data []byte, l layout, area int) (*accounting.Ledger, error) {
	content := data[l.snapshotOffset(area):][:l.snapshotSize]
	le := binary.LittleEndian
	length := le.Uint64(content[snapshotLength:])
	if length == 0 {
		return nil, nil
	}
	checksum := le.Uint32(content[snapshotChecksum:])
	content = content[snapshotHeaderSize:]
	if length > uint64(len(content)) || checksum != accounting.Checksum(content[:length]) {
		return nil, fmt.Errorf("%w: a snapshot", ErrDamaged)
	}
	ledger, err := accounting.Restore(content[:length], func(number uint64) []byte { return readPeriod(data, l, number) })
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return ledger, nil
}

// replay applies the entries that follow the ledger without a gap.
func replay(ledger *accounting.Ledger, data []byte, l layout) error {
	for {
		next := ledger.Seq() + 1
		entry, ok := readEntry(data, l.entryOffset(next))
		if !ok || entry.Seq != next {
			break
		}
		if err := ledger.Apply(entry); err != nil {
			return fmt.Errorf("%w: entry %d: %w", ErrDamaged, entry.Seq, err)
		}
	}
	ledger.EndReplay()
	return nil
}

// readEntry returns the entry at an offset, and whether there is a complete one.
func readEntry(data []byte, offset int) (entry accounting.Entry, ok bool) {
	ok = entry.Decode(data[offset : offset+accounting.EntrySize])
	return entry, ok
}

// readPeriod returns the encoded closed period of that number, nil if it is not there.
func readPeriod(data []byte, l layout, number uint64) []byte {
	if l.periodSlots == 0 {
		return nil
	}
	le := binary.LittleEndian
	slot := data[l.periodOffset(number):][:l.periodSize]
	length := int(le.Uint32(slot[periodLength:]))
	if le.Uint64(slot[periodNumber:]) != number || length > l.periodSize-periodHeaderSize {
		return nil
	}
	period := slot[periodHeaderSize : periodHeaderSize+length]
	if le.Uint32(slot[periodChecksum:]) != accounting.Checksum(period) {
		return nil
	}
	return period
}

// RecentEntries returns the entries that the content of a file still holds without a gap up to the last one, in order.
func RecentEntries(data []byte) ([]accounting.Entry, error) {
	var l layout
	if err := l.decode(data); err != nil {
		return nil, err
	}
	last := uint64(0)
	bySeq := map[uint64]accounting.Entry{}
	for place := range l.entries {
		if entry, ok := readEntry(data, l.ringOffset(place)); ok {
			bySeq[entry.Seq] = entry
			last = max(last, entry.Seq)
		}
	}
	var entries []accounting.Entry
	for seq := last; ; seq-- {
		entry, ok := bySeq[seq]
		if !ok {
			break
		}
		entries = append(entries, entry)
	}
	slices.Reverse(entries)
	return entries, nil
}
