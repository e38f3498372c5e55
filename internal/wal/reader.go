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

// maxMissingSegments bounds how many missing segments are reported to the store. More are never
// kept.
const maxMissingSegments = 1024

// Contents is what was found on a disk.
type Contents struct {
	// ID says whose store it is.
	ID ID
	// Records is the number of records that were read.
	Records int
	// Segments is the number of segments of which there is a file that could be read.
	Segments int
	// TornBytes is the size of a write at the end that was never durable.
	TornBytes int
	// Damage is what is missing or can't be read, a line each.
	Damage []string
	// Leftover are files that an earlier incarnation did not get to remove.
	Leftover []string
	// LastSegment is the last segment of which there is a file.
	LastSegment uint64

	tail     uint64 // the last segment if it can be written to, otherwise 0
	tailSize int64  // of its file, without torn bytes
}

// Complete reports whether nothing is missing that was durable.
func (c *Contents) Complete() bool { return len(c.Damage) == 0 }

// NeedsNewSegment reports whether the next record has to be in a segment of its own.
func (c *Contents) NeedsNewSegment() bool { return c.tail == 0 }

// Read reads what is on the disk into a store. It changes nothing on the disk.
//
// node is the name that the store must have been made for; "" takes any. onRecord, unless it is
// nil, is called for each record in order, and ends the reading by an error, which Read returns.
// Damage is no error: it is reported to the store as lost history. Errors are those of Identify and
// of the disk.
func Read(disk Disk, node string, store *idempotency.Store, onRecord func(idempotency.LogEntry) error) (Contents, error) {
	r := reader{disk: disk, store: store, onRecord: onRecord}
	err := r.read(node)
	return r.Contents, err
}

// reader reads a store.
type reader struct {
	Contents
	disk        Disk
	store       *idempotency.Store
	onRecord    func(idempotency.LogEntry) error
	onRecordErr error // what it returned

	lastSeq         uint64        // of the last record or fingerprints
	lossOpen        bool          // what was read last is damaged: the next record ends the loss
	recordSegment   uint64        // the last segment that a record was read of
	firstSegment    uint64        // the first segment of which there is a file
	requiredSegment uint64        // the oldest segment that must exist according to the records
	firstReadableAt time.Duration // when the first segment of which anything can be read was opened
}

// segmentFiles says which files of a segment exist.
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

// list returns the segments of which there are files, in their order, and notes leftover temporary
// files.
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

// finish reports losses at either end to the store.
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

// addDamage notes damage, and that records are lost until the next one.
func (r *reader) addDamage(format string, args ...any) {
	r.Damage = append(r.Damage, fmt.Sprintf(format, args...))
	r.lossOpen = true
}

// addMissing reports segments that are missing to the store, from one up to before another.
func (r *reader) addMissing(from, before uint64) {
	r.addDamage("segments %d to %d are missing", from, before-1)
	for segment := from; segment < before && segment < from+maxMissingSegments; segment++ {
		r.store.LoadLostSegment(segment)
	}
}

// endLoss reports to the store that what was lost ended by that time.
func (r *reader) endLoss(at time.Duration) {
	if r.lossOpen {
		r.store.AddHistoryLoss(at)
		r.lossOpen = false
	}
}

// noteReadable notes when the first segment of which anything can be read was opened.
func (r *reader) setFirstReadable(at time.Duration) {
	if r.firstReadableAt == 0 {
		r.firstReadableAt = at
	}
}

// readFingerprints reads the fingerprints of a segment, and reports whether they are intact.
func (r *reader) readFingerprints(segment uint64) (bool, error) {
	data, err := r.disk.Read(fingerprintsName(segment))
	if err != nil {
		return false, fmt.Errorf("read the fingerprints of segment %d: %w", segment, err)
	}
	fingerprints, err := r.ID.parseFingerprints(data, segment)
	if err != nil {
		return false, nil // it is damaged
	}
	r.endLoss(fingerprints.From)
	r.store.LoadFingerprints(fingerprints)
	r.setFirstReadable(fingerprints.From)
	r.lastSeq = fingerprints.LastSeq
	r.Segments++
	return true, nil
}

// readLog reads the records of a segment.
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
	case isLast && !r.lossOpen: // it was being created when the process ended
		r.LastSegment = segment - 1
	default:
		if !r.lossOpen {
			r.addDamage("%s has no record", logName(segment))
		}
		r.store.LoadLostSegment(segment)
	}
	return nil
}

// readFrames reads the frames of a log file. It passes over damage to the next intact frame.
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

// findFrame returns the offset of the next intact frame, -1 if there is none.
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

// addRecord gives a record to the store.
func (r *reader) addRecord(record idempotency.LogEntry) {
	if record.Kind != idempotency.EntrySegmentOpened && r.recordSegment != record.Segment {
		r.store.LoadLostSegment(record.Segment) // its first record is lost
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
