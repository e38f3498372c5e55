package statsfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"frosthub/accounting"
	"frosthub/internal/filelock"

	"golang.org/x/sys/unix"
)

// openResult is what opening a file brings, as far as it got.
type openResult struct {
	ledger  *accounting.Ledger // nil if there is none to go on with
	file    *file              // nil if nothing is recorded
	lock    *os.File           // nil if another process holds it
	errs    []error
	keptAs  string // where a file that could not be read was put
	aborted bool   // the file must be left as it is
}

func (o *openResult) fail(err error) { o.errs = append(o.errs, err) }

// openFile takes the lock of a file, reads the ledger in it, begins a new incarnation, and puts a new file in its place.
// Without a readable ledger it goes on with fresh. It waits for the disk.
func openFile(path string, entries int, fresh *accounting.Ledger, cfg accounting.Config, at time.Duration) openResult {
	var result openResult
	lock, err := filelock.Acquire(path + lockSuffix)
	if err != nil {
		result.fail(err)
		return result
	}
	result.lock = lock
	result.readLedger(path, cfg, at)
	if result.aborted {
		return result
	}
	if result.ledger == nil {
		fresh.StartIncarnation(at, bootTime())
		result.ledger = fresh
	}
	removeUnpublished(path)
	result.file, err = createWith(path, layoutFor(result.ledger, entries, cfg.MaxPeriods), result.ledger)
	if err != nil {
		result.fail(err)
	}
	return result
}

// readLedger reads the ledger in a file, if there is one, and begins a new incarnation of it. A file that can't be used is
// put aside.
func (o *openResult) readLedger(path string, cfg accounting.Config, at time.Duration) {
	data, err := readRegularFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		o.fail(err)
		o.aborted = true
		return
	}
	o.ledger, err = restart(data, cfg, at)
	if err == nil {
		return
	}
	o.fail(err)
	o.keptAs, err = putAside(path)
	if err != nil {
		o.fail(fmt.Errorf("keeping it aside: %w", err))
		o.aborted = true
	}
}

// restart reads a ledger and begins a new incarnation of it.
func restart(data []byte, cfg accounting.Config, at time.Duration) (*accounting.Ledger, error) {
	ledger, err := Read(data)
	if err != nil && (ledger == nil || !rebootedSince(ledger)) {
		return nil, err // a machine that crashed goes on with what was on its disk
	}
	return ledger.Restart(cfg, at, bootTime())
}

// createWith makes a file that holds a ledger and publishes it.
func createWith(path string, l layout, ledger *accounting.Ledger) (*file, error) {
	f, err := create(path, l)
	if err != nil {
		return nil, err
	}
	if err := catchFaults(func() error { return f.initialize(ledger) }); err != nil {
		return nil, err
	}
	if err := f.publish(); err != nil {
		return nil, err
	}
	return f, nil
}

// readRegularFile reads a file, unless it is too large or no regular file.
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

// putAside renames a file that can't be read, so that nothing of it is lost, and returns its new name.
func putAside(path string) (string, error) {
	for i := 1; ; i++ {
		name := fmt.Sprintf("%s.bad-%d", path, i)
		_, err := os.Lstat(name)
		if errors.Is(err, fs.ErrNotExist) {
			return name, os.Rename(path, name)
		}
		if err != nil {
			return "", err
		}
	}
}

// bootTime returns when the machine started, by its clock; 0 if that is not known.
func bootTime() time.Duration {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return time.Duration(time.Now().Unix()-info.Uptime) * time.Second
}

// rebootedSince reports whether the machine has started since the last incarnation of a ledger.
func rebootedSince(ledger *accounting.Ledger) bool {
	list, _, _ := ledger.Incarnations()
	return len(list) > 0 && list[len(list)-1].Rebooted(bootTime())
}

// lastIncarnation returns the number of the last incarnation of a ledger, 0 if there is none.
func lastIncarnation(ledger *accounting.Ledger) uint64 {
	list, _, _ := ledger.Incarnations()
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Number
}
