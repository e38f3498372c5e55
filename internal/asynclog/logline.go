// Package asynclog keeps the writing of log lines apart from what logs them: where the pipe or disk behind the log is full, slow or gone, a
// line waits or is left out, and nobody waits for it.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	linesMost = 1024                 // that wait to be written: some hundred kilobytes
	flushLook = 2 * time.Millisecond // between looks at whether all is written
)

// Writer takes lines and writes them from a goroutine of its own. A line for which there is no room, or that can't be written, is left
// out and counted; the next one that is written tells of it.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	waiting atomic.Int64
	leftOut atomic.Int64
	start   sync.Once
}

// New returns a writer in front of another.
func New(to io.Writer) *Writer { return &Writer{to: to, lines: make(chan []byte, linesMost)} }

// Write takes a line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.start.Do(func() { go w.run() })
	w.waiting.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.waiting.Add(-1)
		w.leftOut.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	for line := range w.lines {
		if n := w.leftOut.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "log lines left out: %d\n", n), line...)
		}
		if _, err := w.to.Write(line); err != nil {
			w.leftOut.Add(1)
		}
		w.waiting.Add(-1)
	}
}

// Flush waits until all lines are written, or for so long.
func (w *Writer) Flush(longest time.Duration) {
	for end := time.Now().Add(longest); w.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushLook)
	}
}
