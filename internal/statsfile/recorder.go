package statsfile

import (
	"errors"
	"fmt"
	"frosthub/accounting"
	"frosthub/internal/filelock"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	checkInterval = 10 * time.Second // between looks whether the file is still there
	retryInterval = 5 * time.Second  // between tries to make one anew after trouble
)

// Recorder keeps a book in a file. Its methods belong to the owner of the book; none but Open waits for a disk. When the
// file fails, the book goes on in memory, the trouble is told, and a new file is made in the background.
type Recorder struct {
	path    string
	entries int
	log     *slog.Logger
	periods int

	file        *file
	lock        *os.File
	taskRunning bool     // something runs in the background
	taskDone    chan any // its result: *file, error, or nil for a file that is where it was
	nextTask    time.Duration
	disabled    bool // for the rest of this life
}

// NewRecorder prepares one for a file with a ring of so many ops, OpsUsual if 0.
func NewRecorder(path string, ops int, log *slog.Logger) *Recorder {
	if ops == 0 {
		ops = DefaultEntries
	}
	return &Recorder{path: path, entries: min(max(ops, MinEntries), maxEntries), log: log, taskDone: make(chan any, 1)}
}

// openResult is what opening a file brings.
type openResult struct {
	book *accounting.Ledger
	file *file
	lock *os.File
	errs []error
	kept string // where a file that could not be read was put
}

// Open takes the file and gives the book to go on with: that of earlier lives with a new one begun, or the fresh one. A
// disk that does not answer within the time given costs the record of this life.
func (r *Recorder) Open(fresh *accounting.Ledger, cfg accounting.Config, at, patient time.Duration) *accounting.Ledger {
	r.periods = cfg.MaxPeriods
	done := make(chan openResult, 1)
	go func() { done <- openFile(r.path, r.entries, fresh, cfg, at) }()
	timer := time.NewTimer(patient)
	defer timer.Stop()
	select {
	case o := <-done:
		for _, err := range o.errs {
			r.log.Error("figures file", "file", r.path, "why", err, "kept_as", o.kept)
		}
		r.file, r.lock, r.disabled = o.file, o.lock, o.lock == nil
		if o.book == nil {
			fresh.StartIncarnation(at, bootTime())
			o.book = fresh
		}
		o.book.RecordEntries(r.file != nil)
		if list, _, _ := o.book.Incarnations(); len(list) > 0 && r.file != nil {
			r.log.Info("figures file", "file", r.path, "life", list[len(list)-1].Number)
		}
		return o.book
	case <-timer.C:
		r.log.Error("figures file", "file", r.path, "why", "the disk does not answer: this life is not recorded")
		r.disabled = true
		own, err := accounting.New(cfg) // the other is in the hands of what still waits for the disk
		if err != nil {
			return fresh // not reached: the same made the other
		}
		own.StartIncarnation(at, bootTime())
		return own
	}
}

// openFile takes the lock, reads what is there, and puts a new file in its place.
func openFile(path string, ops int, fresh *accounting.Ledger, cfg accounting.Config, at time.Duration) (o openResult) {
	fail := func(err error) { o.errs = append(o.errs, err) }
	lock, err := filelock.Acquire(path + lockSuffix)
	if err != nil {
		fail(err)
		return o
	}
	o.lock = lock
	data, err := readRegularFile(path)
	if err == nil {
		o.book, err = Read(data)
		if err != nil && o.book != nil && rebooted(o.book) {
			err = nil // a machine that went down keeps what was on its disk
		}
		if err == nil {
			o.book, err = o.book.Restart(cfg, at, bootTime())
		}
		if err != nil {
			o.book = nil
			fail(err)
			if o.kept, err = keepAside(path); err != nil {
				fail(fmt.Errorf("keeping it aside: %w", err))
				return o
			}
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		fail(err)
		return o
	}
	if o.book == nil {
		fresh.StartIncarnation(at, bootTime())
		o.book = fresh
	}
	removeUnpublished(path)
	f, err := create(path, layoutFor(o.book, ops, cfg.MaxPeriods))
	if err == nil {
		if err = catchFaults(func() error { return f.initialize(o.book) }); err == nil {
			err = f.publish()
		}
	}
	if err != nil {
		fail(err)
		return o
	}
	o.file = f
	return o
}

func readRegularFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileSize {
		return nil, ErrNotStatsFile
	}
	return os.ReadFile(path)
}

// keepAside renames a file that can't be read so that nothing of it is lost.
func keepAside(path string) (string, error) {
	for i := 1; ; i++ {
		to := fmt.Sprintf("%s.bad-%d", path, i)
		if _, err := os.Lstat(to); errors.Is(err, fs.ErrNotExist) {
			return to, os.Rename(path, to)
		} else if err != nil {
			return "", err
		}
	}
}

// bootTime is when the machine started, by its clock.
func bootTime() time.Duration {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return time.Duration(time.Now().Unix()-int64(info.Uptime)) * time.Second
}

func rebooted(b *accounting.Ledger) bool {
	list, _, _ := b.Incarnations()
	return len(list) > 0 && list[len(list)-1].Rebooted(bootTime())
}

// Recording tells whether the book is being recorded.
func (r *Recorder) Recording() bool { return r.file != nil }

// Append records what has happened since the last call.
func (r *Recorder) Append(b *accounting.Ledger, now time.Duration) {
	if r.disabled {
		return
	}
	if r.taskRunning {
		select {
		case n := <-r.taskDone:
			r.taskRunning = false
			r.finishTask(b, n, now)
		default:
		}
	}
	if r.file != nil && b.HasPendingEntries() {
		if err := catchFaults(func() error { return r.file.append(b) }); err != nil {
			r.abandonFile(b, err, now)
		}
	}
	if r.taskRunning || now < r.nextTask && now > r.nextTask-2*checkInterval {
		return
	}
	r.taskRunning = true
	if f := r.file; f != nil {
		r.nextTask = now + checkInterval
		go func() {
			if f.inPlace() {
				r.taskDone <- nil
			} else {
				r.taskDone <- ErrReplaced
			}
		}()
		return
	}
	r.nextTask = now + retryInterval
	path, l := r.path, layoutFor(b, r.entries, r.periods)
	go func() {
		removeUnpublished(path)
		f, err := create(path, l)
		if err != nil {
			r.taskDone <- err
			return
		}
		r.taskDone <- f
	}()
}

// finishTask follows what the background has done.
func (r *Recorder) finishTask(b *accounting.Ledger, news any, now time.Duration) {
	switch n := news.(type) {
	case *file:
		err := catchFaults(func() error { return n.initialize(b) })
		if err == nil {
			r.file = n
			b.RecordEntries(true)
			r.taskRunning, r.nextTask = true, now+checkInterval
			go func() { // its name is given off the owner
				if err := n.publish(); err != nil {
					r.taskDone <- err
					return
				}
				r.taskDone <- nil
				r.log.Info("figures file", "file", n.path, "made", "anew")
			}()
			return
		}
		n.unmap()
		r.log.Error("figures file", "file", r.path, "why", err)
	case error:
		if r.file != nil {
			r.abandonFile(b, n, now)
			return
		}
		r.log.Error("figures file", "file", r.path, "why", n, "again_in", retryInterval)
	}
}

// abandonFile goes on in memory.
func (r *Recorder) abandonFile(b *accounting.Ledger, err error, now time.Duration) {
	r.log.Error("figures file", "file", r.path, "why", err, "again_in", retryInterval)
	r.file.unmap()
	r.file = nil
	r.nextTask = now + retryInterval
	b.RecordEntries(false)
}

// Abandon lets go of the file as the end of the process would, with nothing more written.
func (r *Recorder) Abandon() {
	if r.file != nil {
		r.file.unmap()
	}
	if r.lock != nil {
		_ = r.lock.Close()
	}
	r.file, r.lock, r.disabled = nil, nil, true
}

// Close writes the settled book down and lets go of the file.
func (r *Recorder) Close(b *accounting.Ledger, now time.Duration) {
	if r.file != nil {
		if err := catchFaults(func() error {
			if err := r.file.append(b); err != nil {
				return err
			}
			return r.file.writeSnapshot(b)
		}); err != nil {
			r.log.Error("figures file", "file", r.path, "why", err)
		}
	}
	r.Abandon()
}
