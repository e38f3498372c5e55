package statsfile

import (
	"log/slog"
	"os"
	"time"

	"frosthub/accounting"
)

// Intervals of the background tasks of a Recorder, measured by the times that are passed to Append.
const (
	checkInterval = 10 * time.Second // between checks that the path still refers to the file
	retryInterval = 5 * time.Second  // between attempts to create a new file after a failure
)

// Recorder records a ledger in a file. Only the goroutine that owns the ledger may call its methods. Open and Close
// block on disk I/O, the other methods do not. If the file fails, the Recorder logs the failure, the ledger continues in
// memory, and a new file with all counts is created in the background.
//
//	state      event                                   next state
//	-          Open succeeds                           recording
//	-          Open can't create a file                retrying
//	-          Open can't read or rename the old file  retrying
//	-          Open finds it locked, or times out      disabled
//	recording  a write fails, the file was replaced    retrying
//	retrying   a background task created a new file    recording
//	any        Abandon, Close                          disabled
type Recorder struct {
	path    string
	entries int // number of entries in the ring
	periods int // closed periods that are kept
	log     *slog.Logger

	file     *file    // nil unless in state recording
	lock     *os.File // held in the states recording and retrying
	disabled bool     // state disabled, which is final

	taskRunning bool            // a background task is running; there is at most one
	taskDone    chan taskResult // receives the result of the task
	nextTask    time.Duration   // time at which the next task is due
}

// taskResult is the result of a background task.
type taskResult struct {
	created *file // new file, which the goroutine that owns the ledger must initialize
	err     error
}

// NewRecorder returns a recorder for the file at path, whose ring has the given number of entries, or DefaultEntries if
// entries is 0.
func NewRecorder(path string, entries int, log *slog.Logger) *Recorder {
	if entries == 0 {
		entries = DefaultEntries
	}
	return &Recorder{
		path:     path,
		entries:  min(max(entries, MinEntries), maxEntries),
		log:      log,
		taskDone: make(chan taskResult, 1),
	}
}

// Open opens the file and returns the ledger to continue with: the ledger in the file with a new incarnation begun, or
// the ledger fresh. If the disk does not respond within the timeout, the process continues without recording. Open logs
// errors and always returns a ledger.
func (r *Recorder) Open(fresh *accounting.Ledger, cfg accounting.Config, at, timeout time.Duration) *accounting.Ledger {
	r.periods = cfg.MaxPeriods
	done := make(chan openResult, 1)
	go func() { done <- openFile(r.path, r.entries, fresh, cfg, at) }()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-done:
		return r.applyOpenResult(result, fresh, at)
	case <-timer.C:
		return r.openTimedOut(fresh, cfg, at)
	}
}

// applyOpenResult applies the result of openFile to the recorder and returns the ledger to continue with.
func (r *Recorder) applyOpenResult(result openResult, fresh *accounting.Ledger, at time.Duration) *accounting.Ledger {
	for _, err := range result.errs {
		r.log.Error("figures file failed", "file", r.path, "error", err, "quarantined_as", result.keptAs)
	}
	r.file = result.file
	r.lock = result.lock
	r.disabled = result.lock == nil
	ledger := result.ledger
	if ledger == nil {
		fresh.StartIncarnation(at, bootTime())
		ledger = fresh
	}
	ledger.SetRecording(r.Recording())
	if r.Recording() {
		r.log.Info("figures file opened", "file", r.path, "incarnation", lastIncarnation(ledger))
	}
	return ledger
}

// openTimedOut disables recording for the rest of the process. It returns a new ledger, because the goroutine that still
// waits for the disk uses the ledger fresh.
func (r *Recorder) openTimedOut(fresh *accounting.Ledger, cfg accounting.Config, at time.Duration) *accounting.Ledger {
	r.log.Error("figures file failed", "file", r.path, "error", "the disk does not answer: this process is not recorded")
	r.disabled = true
	ledger, err := accounting.New(cfg)
	if err != nil {
		return fresh // not reached: fresh was created with the same configuration
	}
	ledger.StartIncarnation(at, bootTime())
	return ledger
}

// Recording reports whether the ledger is being recorded.
func (r *Recorder) Recording() bool { return r.file != nil }

// Append records the entries of the ledger since the last call and starts the next background task if it is due.
func (r *Recorder) Append(ledger *accounting.Ledger, now time.Duration) {
	if r.disabled {
		return
	}
	r.finishTask(ledger, now)
	if r.Recording() && ledger.HasPendingEntries() {
		if err := catchFaults(func() error { return r.file.append(ledger) }); err != nil {
			r.abandonFile(ledger, err, now)
		}
	}
	if r.taskRunning || !r.taskDue(now) {
		return
	}
	if r.Recording() {
		r.checkFile(now)
	} else {
		r.createFile(ledger, now)
	}
}

// taskDue reports whether the next background task is due. A task is also due if the clock was set back by a large
// amount.
func (r *Recorder) taskDue(now time.Duration) bool {
	return now >= r.nextTask || now <= r.nextTask-2*checkInterval
}

// runTask starts a task in the background. next is the time at which the following task is due.
func (r *Recorder) runTask(next time.Duration, task func() taskResult) {
	r.taskRunning = true
	r.nextTask = next
	go func() { r.taskDone <- task() }()
}

// checkFile checks in the background that the path still refers to the file.
func (r *Recorder) checkFile(now time.Duration) {
	f := r.file
	r.runTask(now+checkInterval, func() taskResult {
		if !f.inPlace() {
			return taskResult{err: ErrReplaced}
		}
		return taskResult{}
	})
}

// createFile creates a new file in the background.
func (r *Recorder) createFile(ledger *accounting.Ledger, now time.Duration) {
	path := r.path
	l := layoutFor(ledger, r.entries, r.periods)
	r.runTask(now+retryInterval, func() taskResult {
		removeUnpublished(path)
		created, err := create(path, l)
		return taskResult{created: created, err: err}
	})
}

// publishFile publishes a new file in the background.
func (r *Recorder) publishFile(f *file, now time.Duration) {
	r.runTask(now+checkInterval, func() taskResult {
		if err := f.publish(); err != nil {
			return taskResult{err: err}
		}
		r.log.Info("figures file recreated", "file", f.path)
		return taskResult{}
	})
}

// finishTask handles the result of the background task if the task has finished.
func (r *Recorder) finishTask(ledger *accounting.Ledger, now time.Duration) {
	if !r.taskRunning {
		return
	}
	select {
	case result := <-r.taskDone:
		r.taskRunning = false
		r.handleResult(ledger, result, now)
	default:
	}
}

// handleResult handles the result of a background task.
func (r *Recorder) handleResult(ledger *accounting.Ledger, result taskResult, now time.Duration) {
	switch {
	case result.created != nil:
		r.adoptFile(ledger, result.created, now)
	case result.err != nil && r.Recording():
		r.abandonFile(ledger, result.err, now)
	case result.err != nil:
		r.log.Error("figures file failed", "file", r.path, "error", result.err, "retry_after", retryInterval)
	}
}

// adoptFile initializes a new file with the ledger and records the ledger in it from then on.
func (r *Recorder) adoptFile(ledger *accounting.Ledger, created *file, now time.Duration) {
	if err := catchFaults(func() error { return created.initialize(ledger) }); err != nil {
		created.unmap()
		r.log.Error("figures file failed", "file", r.path, "error", err)
		return
	}
	r.file = created
	ledger.SetRecording(true)
	r.publishFile(created, now)
}

// abandonFile releases a file that failed. The ledger continues in memory.
func (r *Recorder) abandonFile(ledger *accounting.Ledger, err error, now time.Duration) {
	r.log.Error("figures file failed", "file", r.path, "error", err, "retry_after", retryInterval)
	r.file.unmap()
	r.file = nil
	r.nextTask = now + retryInterval
	ledger.SetRecording(false)
}

// Abandon releases the file and the lock without writing anything more, as the end of the process would.
func (r *Recorder) Abandon() {
	if r.file != nil {
		r.file.unmap()
	}
	if r.lock != nil {
		_ = r.lock.Close()
	}
	r.file = nil
	r.lock = nil
	r.disabled = true
}

// Close writes a snapshot of the ledger and releases the file and the lock.
func (r *Recorder) Close(ledger *accounting.Ledger, _ time.Duration) {
	if r.Recording() {
		err := catchFaults(func() error {
			if err := r.file.append(ledger); err != nil {
				return err
			}
			return r.file.writeSnapshot(ledger)
		})
		if err != nil {
			r.log.Error("figures file failed", "file", r.path, "error", err)
		}
	}
	r.Abandon()
}
