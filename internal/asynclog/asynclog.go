// Package asynclog decouples logging from the writing of log lines. If the pipe or disk
// behind the log is full, slow or gone, lines are queued or dropped, and the goroutine
// that logs is never blocked.
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
	// maxQueued is the capacity of the queue in lines, a few hundred kilobytes.
	maxQueued = 1024
	// flushPollInterval is the time between two checks of Flush.
	flushPollInterval = 2 * time.Millisecond
)

// Writer queues lines and writes them on its own goroutine. It drops a line if the
// queue is full or the write fails, and reports the number of dropped lines before the
// next line that it writes. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	start   sync.Once
	pending atomic.Int64 // lines queued or being written
	dropped atomic.Int64 // lines dropped since the last report
}

// New returns a Writer that writes to out from a single goroutine.
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: make(chan []byte, maxQueued)}
}

// Write queues a copy of a line. It never blocks and never returns an error.
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
			report := fmt.Appendf(nil, "log lines dropped: %d\n", n)
			line = append(report, line...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
		w.pending.Add(-1)
	}
}

// Flush waits until all lines have been written or dropped, or until the timeout has
// passed.
func (w *Writer) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for w.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(flushPollInterval)
	}
}
