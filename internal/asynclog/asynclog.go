// Package asynclog decouples logging from the writing of log lines: where the pipe
// or disk behind the log is full, slow or gone, lines wait or are dropped, and
// whoever logs does not wait.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueued is how many lines may wait to be written: some hundred kilobytes.
	maxQueued = 1024
	// flushPollInterval is the time between checks whether everything is written.
	flushPollInterval = 2 * time.Millisecond
)

// Writer queues lines and writes them on a goroutine of its own. A line that finds
// no room or can't be written is dropped and counted; the next line that is written
// reports how many were. Any goroutine may use it.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	start   sync.Once
	pending atomic.Int64 // lines queued or being written
	dropped atomic.Int64 // lines dropped since the last that was written
}

// New returns a Writer in front of another writer, to which it writes from one
// goroutine.
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: make(chan []byte, maxQueued)}
}

// Write queues a copy of a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.start.Do(func() { go w.run() })
	w.pending.Add(1)
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	for line := range w.queue {
		if n := w.dropped.Swap(0); n > 0 {
			report := fmt.Appendf(nil, "log lines left out: %d\n", n)
			line = append(report, line...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
		w.pending.Add(-1)
	}
}

// Flush waits until all lines are written or the timeout has passed.
func (w *Writer) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for w.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(flushPollInterval)
	}
}
