package wal

import (
	"fmt"
	"sync"
	"time"

	"frosthub/idempotency"
)

// Log commits entries on its own goroutine. It commits all queued entries together, so that one
// sync of the disk covers many of them (group commit). Its methods are safe for concurrent use.
type Log struct {
	writer         *Writer // used by the goroutine only
	interval       time.Duration
	batchThreshold int
	notify         func(seq uint64, err error)
	wake           chan struct{} // receives a value after entries were queued or the log was closed
	done           chan struct{} // closed when the goroutine has ended

	mu     sync.Mutex
	queue  []idempotency.LogEntry
	closed bool
	stats  LogStats
}

// LogStats counts the commits of a log.
type LogStats struct {
	// Records is the number of entries that were committed.
	Records int64 `json:"records"`
	// Commits is the number of commits.
	Commits int64 `json:"commits"`
	// LongestCommit is the duration of the slowest commit.
	LongestCommit time.Duration `json:"longest"`
}

// NewLog starts a log. Its goroutine calls notify with the sequence number up to which all records
// are durable, or with the error after which no more will become durable. Commits start at least
// interval apart, unless batchThreshold or more entries are queued.
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

// Append queues entries to be committed. It does not wait for the disk.
func (l *Log) Append(entries []idempotency.LogEntry) {
	if len(entries) == 0 {
		return
	}
	l.mu.Lock()
	l.queue = append(l.queue, entries...)
	l.mu.Unlock()
	l.wakeUp()
}

// Stats returns the counts of the commits so far.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Close commits the queued entries and ends the goroutine. If that takes longer than the timeout,
// Close returns an error and the goroutine continues in the background.
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
		return fmt.Errorf("commit the queued entries: not finished within %s", timeout)
	}
}

func (l *Log) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// run commits entries until the log is closed or a commit fails.
func (l *Log) run() {
	defer close(l.done)
	var lastCommit time.Time // start of the last commit
	for l.awaitEntries() {
		l.awaitBatch(l.interval - time.Since(lastCommit))
		lastCommit = time.Now()
		if !l.commit() {
			break
		}
	}
	_ = l.writer.Close() // every entry is durable, or an error was reported
}

// awaitEntries waits until entries are queued. It returns false if none are queued and the log is
// closed.
func (l *Log) awaitEntries() bool {
	for {
		queued, closed := l.queueState()
		if queued > 0 {
			return true
		}
		if closed {
			return false
		}
		<-l.wake
	}
}

// awaitBatch waits for more entries until the timeout has passed, batchThreshold entries are queued
// or the log is closed.
func (l *Log) awaitBatch(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		queued, closed := l.queueState()
		if queued >= l.batchThreshold || closed {
			return
		}
		select {
		case <-l.wake:
		case <-timer.C:
			return
		}
	}
}

// queueState returns the number of queued entries and whether the log is closed.
func (l *Log) queueState() (queued int, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue), l.closed
}

// commit commits all queued entries and reports whether that succeeded.
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
