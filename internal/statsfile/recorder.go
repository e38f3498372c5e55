package statsfile

import (
	"log/slog"
	"os"
	"time"

	"frosthub/accounting"
)

// Intervals of what the recorder does in the background, by the ledger's time.
const (
	checkInterval = 10 * time.Second // between checks whether the file is still in place
	retryInterval = 5 * time.Second  // between attempts to make a new file after a failure
)

// Recorder records a ledger in a file. Its methods must be called by the goroutine that owns the ledger; none of them but
// Open and Close waits for the disk. If the file fails, the ledger goes on in memory, the failure is logged, and a new file
// with all counts is made in the background.
//
//	state      what happens                            next
//	-          Open succeeds                           recording
//	-          Open can't make a file                  retrying
//	-          Open finds it locked, or times out      disabled
//	recording  a write fails, the file was replaced    retrying
//	retrying   a new file was made in the background   recording
//	any        Abandon, Close                          disabled
type Recorder struct {
	path    string
	entries int // in the ring
	periods int // closed periods that are kept
	log     *slog.Logger

	file     *file    // nil unless recording
	lock     *os.File // held while the process records or retries
	disabled bool     // for the rest of this process

	taskRunning bool            // at most one runs in the background
	taskDone    chan taskResult // its result
	nextTask    time.Duration   // when the next one is due
}

// taskResult is the result of a background task.
type taskResult struct {
	created *file // a new file, to be initialized by the owner of the ledger
	err     error
}

// NewRecorder returns a recorder for the file of that name, with so many entries in its ring, DefaultEntries if 0.
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

// Open takes the file and returns the ledger to go on with: that of earlier processes with a new incarnation begun, or the
// fresh one. If the disk does not answer within the timeout, this process is not recorded. Errors are logged; there is
// always a ledger.
func (r *Recorder) Open(fresh *accounting.Ledger, cfg accounting.Config, at, timeout time.Duration) *accounting.Ledger {
	r.periods = cfg.MaxPeriods
	done := make(chan openResult, 1)
	go func() { done <- openFile(r.path, r.entries, fresh, cfg, at) }()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-done:
		return r.opened(result, fresh, at)
	case <-timer.C:
		return r.timedOut(fresh, cfg, at)
	}
}

// opened takes over what openFile brought.
func (r *Recorder) opened(result openResult, fresh *accounting.Ledger, at time.Duration) *accounting.Ledger {
	for _, err := range result.errs {
		r.log.Error("figures file failed", "file", r.path, "error", err, "kept_as", result.keptAs)
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

// timedOut gives up the file for this process. The fresh ledger belongs to what still waits for the disk.
func (r *Recorder) timedOut(fresh *accounting.Ledger, cfg accounting.Config, at time.Duration) *accounting.Ledger {
	r.log.Error("figures file failed", "file", r.path, "error", "the disk does not answer: this process is not recorded")
	r.disabled = true
	ledger, err := accounting.New(cfg)
	if err != nil {
		return fresh // not reached: the same configuration made the fresh one
	}
	ledger.StartIncarnation(at, bootTime())
	return ledger
}

// Recording reports whether the ledger is being recorded.
func (r *Recorder) Recording() bool { return r.file != nil }

// Append records the entries of the ledger since the last call, and starts what is due in the background.
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

// taskDue reports whether the next background task is due. It also is if the clock was set back far.
func (r *Recorder) taskDue(now time.Duration) bool {
	return now >= r.nextTask || now <= r.nextTask-2*checkInterval
}

// runTask runs a task in the background.
func (r *Recorder) runTask(next time.Duration, task func() taskResult) {
	r.taskRunning = true
	r.nextTask = next
	go func() { r.taskDone <- task() }()
}

// checkFile looks in the background whether the file is still in place.
func (r *Recorder) checkFile(now time.Duration) {
	f := r.file
	r.runTask(now+checkInterval, func() taskResult {
		if !f.inPlace() {
			return taskResult{err: ErrReplaced}
		}
		return taskResult{}
	})
}

// createFile makes a new file in the background.
func (r *Recorder) createFile(ledger *accounting.Ledger, now time.Duration) {
	path := r.path
	l := layoutFor(ledger, r.entries, r.periods)
	r.runTask(now+retryInterval, func() taskResult {
		removeUnpublished(path)
		created, err := create(path, l)
		return taskResult{created: created, err: err}
	})
}

// publishFile gives a new file its name in the background.
func (r *Recorder) publishFile(f *file, now time.Duration) {
	r.runTask(now+checkInterval, func() taskResult {
		if err := f.publish(); err != nil {
			return taskResult{err: err}
		}
		r.log.Info("figures file recreated", "file", f.path)
		return taskResult{}
	})
}

// finishTask follows the result of the background task, if there is one.
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

// handleResult follows the result of a background task.
func (r *Recorder) handleResult(ledger *accounting.Ledger, result taskResult, now time.Duration) {
	switch {
	case result.created != nil:
		r.adoptFile(ledger, result.created, now)
	case result.err != nil && r.Recording():
		r.abandonFile(ledger, result.err, now)
	case result.err != nil:
		r.log.Error("figures file failed", "file", r.path, "error", result.err, "retry_in", retryInterval)
	}
}

// adoptFile records the ledger in a new file from now on.
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

// abandonFile goes on in memory after a failure of the file.
func (r *Recorder) abandonFile(ledger *accounting.Ledger, err error, now time.Duration) {
	r.log.Error("figures file failed", "file", r.path, "error", err, "retry_in", retryInterval)
	r.file.unmap()
	r.file = nil
	r.nextTask = now + retryInterval
	ledger.SetRecording(false)
}

// Abandon releases the file with nothing more written, as the end of the process would.
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

// Close writes a snapshot of the ledger and releases the file.
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
