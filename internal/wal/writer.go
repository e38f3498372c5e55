package wal

import (
	"fmt"
	"time"

	"frosthub/idempotency"
)

const (
	// maxFrameData is a size in bytes: when the record data of a frame has reached it, the next
	// record begins another frame.
	maxFrameData = 4 << 20
	// maxRetainedBuffer is the maximum size in bytes of a buffer that is reused for the next frame.
	maxRetainedBuffer = 1 << 20
)

// Writer writes log entries to a disk, one batch after another. After an error it must only be
// closed, because the state of the disk is not known then. A Writer is not safe for concurrent use.
type Writer struct {
	disk     Disk
	id       ID
	file     File   // log file of the segment, nil if it is not open
	segment  uint64 // segment that was written to last
	size     int64  // size of its log file
	tornTail bool   // the log file ends in bytes that were never durable
	buffer   []byte // frame that is being written
}

// NewWriter returns a writer that continues after the contents that were read from the disk.
func NewWriter(disk Disk, contents *Contents) *Writer {
	return &Writer{
		disk:     disk,
		id:       contents.ID,
		segment:  contents.tail,
		size:     contents.tailSize,
		tornTail: contents.TornBytes > 0,
	}
}

// Open begins an incarnation of a store. It reads the disk into the store as Read does, removes the
// files that earlier incarnations left, finishes loading the store, and returns the writer for the
// entries of the store.
func Open(
	disk Disk,
	node string,
	store *idempotency.Store,
	now time.Duration,
	onRecord func(idempotency.LogEntry) error,
) (*Writer, Contents, error) {
	contents, err := Read(disk, node, store, onRecord)
	if err != nil {
		return nil, contents, err
	}
	for _, name := range contents.Leftover {
		if err := disk.Remove(name); err != nil {
			return nil, contents, fmt.Errorf("remove %s: %w", name, err)
		}
	}
	store.FinishLoading(now, contents.NeedsNewSegment(), contents.LastSegment)
	return NewWriter(disk, &contents), contents, nil
}

// Commit writes entries and returns when they are durable. seq is the highest sequence number among
// them.
func (w *Writer) Commit(entries []idempotency.LogEntry) (seq uint64, err error) {
	for i := range entries {
		seq = max(seq, entries[i].Seq)
	}
	for len(entries) > 0 {
		if entries[0].Kind == idempotency.EntrySegmentRetired {
			if err := w.retire(entries[0].Fingerprints); err != nil {
				return seq, fmt.Errorf("retire segment %d: %w", entries[0].Segment, err)
			}
			entries = entries[1:]
			continue
		}
		n := frameLength(entries)
		if err := w.writeFrame(entries[:n]); err != nil {
			return seq, fmt.Errorf("write segment %d: %w", entries[0].Segment, err)
		}
		if err := w.removeDropped(entries[:n]); err != nil {
			return seq, err
		}
		entries = entries[n:]
	}
	return seq, nil
}

// frameLength returns how many of the entries go into one frame. The first entry must be a log
// record.
func frameLength(entries []idempotency.LogEntry) int {
	n := 1
	dataSize := len(entries[0].Data)
	for n < len(entries) && dataSize < maxFrameData {
		entry := &entries[n]
		if entry.Kind == idempotency.EntrySegmentRetired || entry.Segment != entries[0].Segment {
			break
		}
		dataSize += len(entry.Data)
		n++
	}
	return n
}

// writeFrame writes log records of one segment as one frame and makes it durable.
func (w *Writer) writeFrame(records []idempotency.LogEntry) error {
	created, err := w.openSegment(records[0].Segment)
	if err != nil {
		return err
	}
	w.buffer = w.id.appendFrame(w.buffer[:0], records)
	if _, err := w.file.Write(w.buffer); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	if created {
		if err := w.disk.SyncDir(); err != nil {
			return err
		}
	}
	w.size += int64(len(w.buffer))
	if cap(w.buffer) > maxRetainedBuffer {
		w.buffer = nil
	}
	return nil
}

// openSegment opens the log file of a segment unless it is open already. It reports whether it
// created the file, in which case its name is not durable.
func (w *Writer) openSegment(segment uint64) (created bool, err error) {
	if w.file != nil && segment == w.segment {
		return false, nil
	}
	if err := w.Close(); err != nil {
		return false, err
	}
	if segment != w.segment {
		created = true
		w.segment = segment
		w.size = 0
	}
	w.file, err = w.disk.OpenAppend(logName(segment), w.size)
	if err != nil {
		return false, err
	}
	if w.tornTail { // a power failure could otherwise mix the torn bytes with new ones
		if err := w.file.Sync(); err != nil {
			return false, err
		}
		w.tornTail = false
	}
	return created, nil
}

// removeDropped removes the files of the segments that the log records drop.
func (w *Writer) removeDropped(records []idempotency.LogEntry) error {
	for i := range records {
		if records[i].Kind != idempotency.EntrySegmentDropped {
			continue
		}
		dropped := records[i].Subject
		if err := w.remove(logName(dropped), fingerprintsName(dropped)); err != nil {
			return fmt.Errorf("drop segment %d: %w", dropped, err)
		}
	}
	return nil
}

// retire replaces the log records of a segment by its fingerprints.
func (w *Writer) retire(fingerprints *idempotency.Fingerprints) error {
	data, err := w.id.encodeFingerprints(fingerprints)
	if err != nil {
		return err
	}
	if err := WriteFile(w.disk, fingerprintsName(fingerprints.Segment), data); err != nil {
		return err
	}
	return w.remove(logName(fingerprints.Segment))
}

// remove removes files and makes their removal durable.
func (w *Writer) remove(names ...string) error {
	for _, name := range names {
		if err := w.disk.Remove(name); err != nil {
			return err
		}
	}
	return w.disk.SyncDir()
}

// Close closes the log file. It makes nothing durable.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	file := w.file
	w.file = nil
	return file.Close()
}
