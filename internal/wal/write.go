package wal

import (
	"fmt"
	"frosthub/idempotency"
	"sync"
	"time"
)

// Writer puts writes on a disk, one batch after the other. After an error it takes no more: what the disk has then is not known.
type Writer struct {
	d      Disk
	id     ID
	file   File
	number uint64 // of the segment that file is
	size   int64
	cut    bool // the first file that is opened ends in what was never confirmed
	buf    []byte
}

// NewWriter goes on after what was found, which was read into the store whose writes follow.
func NewWriter(d Disk, f *Contents) *Writer {
	return &Writer{d: d, id: f.ID, number: f.tail, size: f.size, cut: f.TornBytes > 0}
}

// Open has a life of a store begin: it reads what there is, as Read does, removes what earlier lives left, and gives what puts the
// store's writes on the disk.
func Open(d Disk, box string, s *idempotency.Store, now time.Duration, each func(idempotency.LogEntry) error) (*Writer, Contents, error) {
	found, err := Read(d, box, s, each)
	if err != nil {
		return nil, found, err
	}
	for _, name := range found.Leftover {
		if err := d.Remove(name); err != nil {
			return nil, found, err
		}
	}
	s.FinishLoading(now, found.NeedsNewSegment(), found.LastSegment)
	return NewWriter(d, &found), found, nil
}

// Commit puts all that on the disk and returns when the disk has confirmed it, up to which record.
func (w *Writer) Commit(writes []idempotency.LogEntry) (seq uint64, err error) {
	for i := range writes {
		seq = max(seq, writes[i].Seq)
	}
	return seq, w.commit(writes)
}

func (w *Writer) commit(writes []idempotency.LogEntry) error {
	for from := 0; from < len(writes); {
		if k := writes[from].Kind; k == idempotency.EntrySegmentRetired {
			if err := w.retire(writes[from].Fingerprints); err != nil {
				return err
			}
			from++
			continue
		}
		to, size := from+1, len(writes[from].Data)
		for to < len(writes) && writes[to].Kind != idempotency.EntrySegmentRetired && writes[to].Segment == writes[from].Segment && size < frameMost {
			size += len(writes[to].Data)
			to++
		}
		if err := w.frame(writes[from:to]); err != nil {
			return err
		}
		from = to
	}
	return nil
}

// frame writes records of one segment as one frame, and then removes what they say may go.
func (w *Writer) frame(records []idempotency.LogEntry) error {
	made := false
	if number := records[0].Segment; w.file == nil || number != w.number {
		if w.file != nil {
			if err := w.file.Close(); err != nil {
				return err
			}
			w.file = nil
		}
		made = number != w.number
		if made {
			w.number, w.size = number, 0
		}
		var err error
		if w.file, err = w.d.Append(logName(number), w.size); err != nil {
			return err
		}
		if w.cut { // else what follows could be mixed with it
			if err := w.file.Sync(); err != nil {
				return err
			}
			w.cut = false
		}
	}
	w.buf = w.id.appendFrame(w.buf[:0], records)
	if _, err := w.file.Write(w.buf); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	if made {
		if err := w.d.Sync(); err != nil {
			return err
		}
	}
	w.size += int64(len(w.buf))
	if cap(w.buf) > bufMost {
		w.buf = nil
	}
	for i := range records {
		if records[i].Kind == idempotency.EntrySegmentDropped {
			if err := w.remove(logName(records[i].Subject), printsName(records[i].Subject)); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	bufMost   = 1 << 20 // bytes kept for the next frame
	frameMost = 4 << 20 // bytes of results after which another frame begins
)

// retire puts a segment's prints in the place of its records.
func (w *Writer) retire(p *idempotency.Fingerprints) error {
	data, err := w.id.appendPrints(nil, p)
	if err != nil {
		return err
	}
	if err := WriteFile(w.d, printsName(p.Segment), data); err != nil {
		return err
	}
	return w.remove(logName(p.Segment))
}

func (w *Writer) remove(names ...string) error {
	for _, name := range names {
		if err := w.d.Remove(name); err != nil {
			return err
		}
	}
	return w.d.Sync()
}

// Close lets go of the file.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	f := w.file
	w.file = nil
	return f.Close()
}

// Log has a goroutine commit what is handed over, all that waits at once, so that one confirmation of the disk covers it.
type Log struct {
	w      *Writer
	gather time.Duration
	enough int
	told   func(seq uint64, err error)

	mu     sync.Mutex
	queue  []idempotency.LogEntry
	closed bool
	wake   chan struct{}
	done   chan struct{}
	stats  LogStats
}

// LogStats tell what a log has done.
type LogStats struct {
	Records int64         `json:"records"`
	Commits int64         `json:"commits"`
	Longest time.Duration `json:"longest"` // of a commit
}

// NewLog starts one. told hears, on the goroutine, up to which record all is confirmed, or why nothing more will be. Commits are
// begun no closer than gather to each other, so that one covers more, but at once when enough records wait.
func NewLog(w *Writer, gather time.Duration, enough int, told func(seq uint64, err error)) *Log {
	l := &Log{w: w, gather: gather, enough: enough, told: told, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go l.run()
	return l
}

// Append hands over writes; it never waits for the disk.
func (l *Log) Append(writes []idempotency.LogEntry) {
	if len(writes) == 0 {
		return
	}
	l.mu.Lock()
	l.queue = append(l.queue, writes...)
	l.mu.Unlock()
	l.ring()
}

func (l *Log) ring() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Stats gives them.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Close commits what waits and ends the goroutine; a disk that takes longer than that is left to itself.
func (l *Log) Close(patient time.Duration) error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.ring()
	timer := time.NewTimer(patient)
	defer timer.Stop()
	select {
	case <-l.done:
		return nil
	case <-timer.C:
		return fmt.Errorf("the disk did not confirm all within %s", patient)
	}
}

func (l *Log) waiting() (n int, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue), l.closed
}

func (l *Log) run() {
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	var last time.Time // when the last commit began
	for {
		n, closed := l.waiting()
		if n == 0 {
			if closed {
				_ = l.w.Close() // all of it is confirmed
				return
			}
			<-l.wake
			if n, closed = l.waiting(); n == 0 {
				continue
			}
		}
		if wait := l.gather - time.Since(last); wait > 0 && n < l.enough && !closed {
			timer.Reset(wait)
			for late := false; !late && n < l.enough && !closed; {
				select {
				case <-l.wake:
					n, closed = l.waiting()
				case <-timer.C:
					late = true
				}
			}
		}
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		last = time.Now()
		seq, err := l.w.Commit(batch)
		if err != nil {
			l.told(0, err)
			_ = l.w.Close() // it failed already
			return
		}
		l.mu.Lock()
		l.stats.Records += int64(len(batch))
		l.stats.Commits++
		l.stats.Longest = max(l.stats.Longest, time.Since(last))
		l.mu.Unlock()
		l.told(seq, nil)
	}
}
