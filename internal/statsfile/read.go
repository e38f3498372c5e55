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

// Retries of ReadFile, for a file that another process changes while it is read.
const (
	readAttempts   = 5
	readRetryDelay = 10 * time.Millisecond
)

// ReadFile reads the ledger in the named file. Another process may be changing the file meanwhile, so that
// Read fails; ReadFile therefore reads the file up to readAttempts times until Read succeeds. Besides the ledger it
// returns the content of the file, for RecentEntries. Any process may call ReadFile at any time. The errors are those of
// os.ReadFile and of Read.
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

// Locked reports whether a process holds the lock of the named file, and so may be recording in it.
func Locked(path string) bool { return filelock.IsLocked(path + lockSuffix) }

// Read returns the ledger in the content of a file: the newest complete snapshot with the entries that follow it. The
// error wraps ErrNotStatsFile, ErrVersion or ErrDamaged. If the damage is that entries are missing before later ones, as
// after a crash of the machine, Read returns the error together with the ledger up to the missing entries.
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
	for index := range l.entries {
		if entry, ok := readEntry(data, l.ringOffset(index)); ok && entry.Seq > ledger.Seq() {
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
			damage = err // the process may have ended while it wrote this snapshot; the other one is used
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
		damage = fmt.Errorf("%w: no snapshot was written", ErrDamaged)
	}
	return nil, damage
}

// readSnapshot returns the ledger of the snapshot in an area, or nil if no snapshot was written there.
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
		return nil, fmt.Errorf("%w: a snapshot is too long or fails its checksum", ErrDamaged)
	}
	ledger, err := accounting.Restore(content[:length], func(number uint64) []byte { return readPeriod(data, l, number) })
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return ledger, nil
}

// replay applies the entries that follow the ledger's last entry without a gap.
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

// readEntry returns the entry at an offset and reports whether it is complete.
func readEntry(data []byte, offset int) (entry accounting.Entry, ok bool) {
	ok = entry.Decode(data[offset : offset+accounting.EntrySize])
	return entry, ok
}

// readPeriod returns the encoded closed period with the given number, or nil if the file does not hold it.
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

// RecentEntries returns the longest sequence of entries without a gap that ends with the last entry in the content of a
// file, oldest first. The error wraps ErrNotStatsFile, ErrVersion or ErrDamaged.
func RecentEntries(data []byte) ([]accounting.Entry, error) {
	var l layout
	if err := l.decode(data); err != nil {
		return nil, err
	}
	last := uint64(0)
	bySeq := map[uint64]accounting.Entry{}
	for index := range l.entries {
		if entry, ok := readEntry(data, l.ringOffset(index)); ok {
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
