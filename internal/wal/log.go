package wal

import (
	"fmt"
	"sync"
	"time"

	"frosthub/idempotency"
)

// Log commits entries on a goroutine of its own, all that wait at once, so that one sync of the
// disk covers many (group commit). Its methods may be called concurrently.
type Log struct {
	writer         *Writer // of the goroutine
	interval       time.Duration
	batchThreshold int
	notify         func(seq uint64, err error)
	wake           chan struct{} // has a value when there is more to do
	done           chan struct{} // is closed when the goroutine has ended

	mu     sync.Mutex
	queue  []idempotency.LogEntry
	closed bool
	stats  LogStats
}

// LogStats count what a log has done.
type LogStats struct {
	// Records is the number of entries that were committed.
	Records int64 `json:"records"`
	// Commits is how often that was done.
	Commits int64 `json:"commits"`
	// LongestCommit is how long the slowest commit took.
	LongestCommit time.Duration `json:"longest"`
}

// NewLog starts a log. notify is called on its goroutine, with the sequence number up to which all
// is durable, or with the error after which nothing more will be. Commits begin no closer to each
// other than interval, unless at least `enough` entries wait.
func NewLog(writer *Writer, interval time.Duration, batchThreshold int, notify func(seq uint64, err error)) *Log {
	l := &Log{
		writer:         writer,
		interval:       interval,
		batchThreshold: batchThreshold,
		notify:         notify,
		wake:           make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	go l.run()
	return l
}

// Append hands over entries to be committed. It never waits for the disk.
func (l *Log) Append(entries []idempotency.LogEntry) {
	if len(entries) == 0 {
		return
	}
	l.mu.Lock()
	l.queue = append(l.queue, entries...)
	l.mu.Unlock()
	l.wakeUp()
}

// Stats returns what the log has done.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Close commits what waits and ends the goroutine. If the disk takes longer than the timeout it
// returns an error and leaves it to itself.
func (l *Log) Close(timeout time.Duration) error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.wakeUp()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-l.done:
		return nil
	case <-timer.C:
		return fmt.Errorf("the disk did not confirm all within %s", timeout)
	}
}

func (l *Log) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // it will look again anyway
	}
}

// run is the goroutine.
func (l *Log) run() {
	defer close(l.done)
	var lastCommit time.Time // of a commit
	for l.awaitEntries() {
		l.awaitBatch(l.interval - time.Since(lastCommit))
		lastCommit = time.Now()
		if !l.commit() {
			break
		}
	}
	_ = l.writer.Close() // all of it is durable, or an error was reported
}

// awaitEntries waits until there is something to commit. It returns false when there is nothing and
// the log is closed.
func (l *Log) awaitEntries() bool {
	for {
		waiting, closed := l.queueState()
		if waiting > 0 {
			return true
		}
		if closed {
			return false
		}
		<-l.wake
	}
}

// awaitMore waits for so long for more entries, but not when enough of them wait or the log is
// closed.
func (l *Log) awaitBatch(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		waiting, closed := l.queueState()
		if waiting >= l.batchThreshold || closed {
			return
		}
		select {
		case <-l.wake:
		case <-timer.C:
			return
		}
	}
}

// state returns how many entries wait, and whether the log is closed.
func (l *Log) queueState() (waiting int, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue), l.closed
}

// commit commits all entries that wait, and reports whether that succeeded.
func (l *Log) commit() bool {
	l.mu.Lock()
	batch := l.queue
	l.queue = nil
	l.mu.Unlock()

	start := time.Now()
	seq, err := l.writer.Commit(batch)
	if err != nil {
		l.notify(0, err)
		return false
	}
	l.mu.Lock()
	l.stats.Records += int64(len(batch))
	l.stats.Commits++
	l.stats.LongestCommit = max(l.stats.LongestCommit, time.Since(start))
	l.mu.Unlock()
	l.notify(seq, nil)
	return true
}
