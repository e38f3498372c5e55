package wal

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"frosthub/idempotency"
)

// maxMissingSegments is the maximum number of consecutive missing segments that are reported to the
// store. A store never keeps more segments.
const maxMissingSegments = 1024

// Contents describes the data that was found on a disk.
type Contents struct {
	// ID identifies the store.
	ID ID
	// Records is the number of log records that were read.
	Records int
	// Segments is the number of segments with a file that could be read.
	Segments int
	// TornBytes is the size in bytes of a write at the end of the log that was never durable.
	TornBytes int
	// Damage has one line for each part of the store that is missing or cannot be read.
	Damage []string
	// Leftover are the names of files that an earlier incarnation should have removed.
	Leftover []string
	// LastSegment is the number of the last segment with a file. A last log file that the process
	// had only created when it ended does not count.
	LastSegment uint64

	tail     uint64 // the last segment if records may be appended to it, otherwise 0
	tailSize int64  // size of its log file without torn bytes
}

// Complete reports whether all data that was durable could be read.
func (c *Contents) Complete() bool { return len(c.Damage) == 0 }

// NeedsNewSegment reports whether the next log record must be written to a new segment.
func (c *Contents) NeedsNewSegment() bool { return c.tail == 0 }

// Read reads the disk into a store. It does not change the disk.
//
// node is the name of the node that the store must belong to; "" accepts any. onRecord may be nil;
// otherwise it is called for each log record in order, and an error from it ends reading and is
// returned by Read. Damage is not an error: it is reported to the store as lost history. Other
// errors are those of ReadID and of the disk.
func Read(disk Disk, node string, store *idempotency.Store, onRecord func(idempotency.LogEntry) error) (Contents, error) {
	r := reader{disk: disk, store: store, onRecord: onRecord}
	err := r.read(node)
	return r.Contents, err
}

// reader reads a store from a disk.
type reader struct {
	Contents
	disk        Disk
	store       *idempotency.Store
	onRecord    func(idempotency.LogEntry) error
	onRecordErr error // error that onRecord returned

	lastSeq         uint64        // of the last log record that was read, or that fingerprints cover
	lossOpen        bool          // the previous data is damaged or missing; the next record ends the loss
	recordSegment   uint64        // the last segment of which a record was read
	firstSegment    uint64        // the first segment with a file
	requiredSegment uint64        // the oldest segment that must exist according to the records
	firstReadableAt time.Duration // time at which the first readable segment was opened
}

// segmentFiles describes which files of a segment exist.
type segmentFiles struct {
	segment         uint64
	hasLog          bool
	hasFingerprints bool
}

func (r *reader) read(node string) error {
	var err error
	r.ID, err = ReadID(r.disk)
	if err != nil {
		return err
	}
	if node != "" && r.ID.Node != node {
		return fmt.Errorf("%w: it was made for node %s", ErrWrongOwner, r.ID.Node)
	}
	segments, err := r.listSegments()
	if err != nil {
		return err
	}
	for i, files := range segments {
		r.LastSegment = files.segment
		if i == 0 {
			r.firstSegment = files.segment
		} else if expected := segments[i-1].segment + 1; files.segment != expected {
			r.addMissing(expected, files.segment)
		}
		if err := r.readSegment(files, i == len(segments)-1); err != nil {
			return err
		}
	}
	r.reportEdgeLosses()
	return nil
}

// listSegments returns the segments with files in ascending order, and adds temporary files to
// Leftover.
func (r *reader) listSegments() ([]segmentFiles, error) {
	names, err := r.disk.Names()
	if err != nil {
		return nil, fmt.Errorf("list the files: %w", err)
	}
	bySegment := map[uint64]segmentFiles{}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			r.Leftover = append(r.Leftover, name)
		}
		if segment, ok := parseSegmentName(name, logSuffix); ok {
			files := bySegment[segment]
			files.hasLog = true
			bySegment[segment] = files
		}
		if segment, ok := parseSegmentName(name, fingerprintsSuffix); ok {
			files := bySegment[segment]
			files.hasFingerprints = true
			bySegment[segment] = files
		}
	}
	segments := make([]segmentFiles, 0, len(bySegment))
	for segment, files := range bySegment {
		files.segment = segment
		segments = append(segments, files)
	}
	slices.SortFunc(segments, func(a, b segmentFiles) int {
		return cmp.Compare(a.segment, b.segment)
	})
	return segments, nil
}

// readSegment reads a segment: its fingerprints if they can be read, otherwise its log.
func (r *reader) readSegment(files segmentFiles, isLast bool) error {
	if !files.hasFingerprints {
		return r.readLog(files.segment, isLast)
	}
	ok, err := r.readFingerprints(files.segment)
	switch {
	case err != nil:
		return err
	case ok && files.hasLog:
		r.Leftover = append(r.Leftover, logName(files.segment))
		return nil
	case ok:
		return nil
	case files.hasLog:
		return r.readLog(files.segment, isLast)
	default:
		r.addDamage("%s can't be read", fingerprintsName(files.segment))
		r.store.LoadLostSegment(files.segment)
		return nil
	}
}

// reportEdgeLosses reports losses at the start and at the end of the log to the store.
func (r *reader) reportEdgeLosses() {
	if r.lossOpen {
		r.store.AddHistoryLoss(idempotency.UnboundedLoss)
	}
	if r.requiredSegment > 0 && r.firstSegment > r.requiredSegment {
		r.addDamage("segments %d to %d are missing", r.requiredSegment, r.firstSegment-1)
		oldest := r.firstSegment - min(r.firstSegment, maxMissingSegments)
		r.store.LoadLostPrefix(max(r.requiredSegment, oldest), r.firstReadableAt)
	}
}

// addDamage adds a line to Damage and begins a loss that lasts until the next record.
func (r *reader) addDamage(format string, args ...any) {
	r.Damage = append(r.Damage, fmt.Sprintf(format, args...))
	r.lossOpen = true
}

// addMissing reports the missing segments with the numbers from `from` up to before-1 to the store.
func (r *reader) addMissing(from, before uint64) {
	r.addDamage("segments %d to %d are missing", from, before-1)
	for segment := from; segment < before && segment < from+maxMissingSegments; segment++ {
		r.store.LoadLostSegment(segment)
	}
}

// endLoss ends a loss, if there is one, and reports to the store that the lost records were written
// before the given time.
func (r *reader) endLoss(at time.Duration) {
	if r.lossOpen {
		r.store.AddHistoryLoss(at)
		r.lossOpen = false
	}
}

// setFirstReadable sets the time at which the first readable segment was opened, unless it is set
// already.
func (r *reader) setFirstReadable(at time.Duration) {
	if r.firstReadableAt == 0 {
		r.firstReadableAt = at
	}
}

// readFingerprints reads the fingerprints of a segment and reports whether they are intact.
func (r *reader) readFingerprints(segment uint64) (bool, error) {
	data, err := r.disk.Read(fingerprintsName(segment))
	if err != nil {
		return false, fmt.Errorf("read the fingerprints of segment %d: %w", segment, err)
	}
	fingerprints, err := r.ID.parseFingerprints(data, segment)
	if err != nil {
		return false, nil // the file is damaged
	}
	r.endLoss(fingerprints.From)
	r.store.LoadFingerprints(fingerprints)
	r.setFirstReadable(fingerprints.From)
	r.lastSeq = fingerprints.LastSeq
	r.Segments++
	return true, nil
}

// readLog reads the log records of a segment.
func (r *reader) readLog(segment uint64, isLast bool) error {
	data, err := r.disk.Read(logName(segment))
	if err != nil {
		return fmt.Errorf("read the log of segment %d: %w", segment, err)
	}
	r.Segments++
	if err := r.readFrames(segment, data, isLast); err != nil {
		return err
	}
	hasRecords := r.recordSegment == segment
	switch {
	case hasRecords && isLast && !r.lossOpen:
		r.tail = segment
		r.tailSize = int64(len(data) - r.TornBytes)
	case hasRecords:
	case isLast && !r.lossOpen: // the process ended while it created the segment
		r.LastSegment = segment - 1
	default:
		if !r.lossOpen {
			r.addDamage("%s has no record", logName(segment))
		}
		r.store.LoadLostSegment(segment)
	}
	return nil
}

// readFrames reads the frames of a log file. After damage it continues with the next intact frame.
func (r *reader) readFrames(segment uint64, data []byte, isLast bool) error {
	offset := 0
	for offset < len(data) {
		size, err := r.ID.readFrame(data[offset:], segment, r.addRecord)
		if r.onRecordErr != nil {
			return r.onRecordErr
		}
		if err == nil {
			offset += size
			continue
		}
		next := r.findFrame(data, offset+1, segment)
		if next < 0 && isLast && isTorn(data[offset:], offset, err) {
			r.TornBytes = len(data) - offset
			return nil
		}
		if next < 0 {
			next = len(data)
		}
		r.addDamage("%s: %d bytes at %d can't be read", logName(segment), next-offset, offset)
		offset = next
	}
	return nil
}

// findFrame returns the offset of the next intact frame, or -1 if there is none.
func (r *reader) findFrame(data []byte, from int, segment uint64) int {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for from < len(data) {
		i := bytes.Index(data[from:], magic)
		if i < 0 {
			return -1
		}
		from += i
		if _, err := r.ID.readFrame(data[from:], segment, func(idempotency.LogEntry) {}); err == nil {
			return from
		}
		from++
	}
	return -1
}

// addRecord loads a log record into the store.
func (r *reader) addRecord(record idempotency.LogEntry) {
	if record.Kind != idempotency.EntrySegmentOpened && r.recordSegment != record.Segment {
		r.store.LoadLostSegment(record.Segment) // the first record of the segment is lost
	}
	r.recordSegment = record.Segment
	if r.lastSeq > 0 && record.Seq != r.lastSeq+1 && !r.lossOpen {
		r.addDamage("records %d to %d are missing", r.lastSeq+1, record.Seq-1)
	}
	r.endLoss(record.At)
	r.setFirstReadable(record.At)
	r.lastSeq = record.Seq
	r.Records++
	switch record.Kind {
	case idempotency.EntrySegmentOpened:
		r.requiredSegment = max(r.requiredSegment, record.Subject)
	case idempotency.EntrySegmentDropped:
		r.requiredSegment = max(r.requiredSegment, record.Subject+1)
	}
	r.store.Load(record)
	if r.onRecord != nil && r.onRecordErr == nil {
		r.onRecordErr = r.onRecord(record)
	}
}
