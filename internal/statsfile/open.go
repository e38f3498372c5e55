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

// openResult is the result of openFile. If openFile fails, it holds the results of the steps that succeeded.
type openResult struct {
	ledger  *accounting.Ledger // nil if no ledger could be read or started
	file    *file              // nil if the ledger is not recorded
	lock    *os.File           // nil if the lock could not be acquired, for example because another process holds it
	errs    []error
	keptAs  string // new name of a file that could not be read
	aborted bool   // the existing file could not be read or renamed, so openFile did not replace it
}

func (o *openResult) addError(err error) { o.errs = append(o.errs, err) }

// openFile acquires the lock of a file, reads the ledger in the file, begins a new incarnation, and replaces the file by
// a new one. If there is no readable ledger, it uses the ledger fresh. openFile blocks on disk I/O.
func openFile(path string, entries int, fresh *accounting.Ledger, cfg accounting.Config, at time.Duration) openResult {
	var result openResult
	lock, err := filelock.Acquire(path + lockSuffix)
	if err != nil {
		result.addError(err)
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
		result.addError(err)
	}
	return result
}

// readLedger reads the ledger in the file, if the file exists, and begins a new incarnation of it. A file that is not
// valid is renamed and kept.
func (o *openResult) readLedger(path string, cfg accounting.Config, at time.Duration) {
	data, err := readRegularFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		o.addError(err)
		o.aborted = true
		return
	}
	o.ledger, err = restart(data, cfg, at)
	if err == nil {
		return
	}
	o.addError(err)
	o.keptAs, err = quarantine(path)
	if err != nil {
		o.addError(fmt.Errorf("renaming the unreadable file: %w", err))
		o.aborted = true
	}
}

// restart reads the ledger in the content of a file and begins a new incarnation of it.
func restart(data []byte, cfg accounting.Config, at time.Duration) (*accounting.Ledger, error) {
	ledger, err := Read(data)
	if err != nil && (ledger == nil || !rebootedSince(ledger)) {
		return nil, err // a ledger with missing entries is used only if the machine has rebooted
	}
	return ledger.Restart(cfg, at, bootTime())
}

// createWith creates and publishes a file that holds a ledger.
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

// readRegularFile reads a file. It returns ErrNotStatsFile if the file is too large or not a regular file.
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

// quarantine renames a file that can't be read, so that its data is not lost, and returns the new name.
func quarantine(path string) (string, error) {
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

// bootTime returns the boot time of the machine, by the machine's clock, or 0 if it can't be determined.
func bootTime() time.Duration {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return time.Duration(time.Now().Unix()-info.Uptime) * time.Second
}

// rebootedSince reports whether the machine has rebooted since the last incarnation of a ledger ran.
func rebootedSince(ledger *accounting.Ledger) bool {
	list, _, _ := ledger.Incarnations()
	return len(list) > 0 && list[len(list)-1].Rebooted(bootTime())
}

// lastIncarnation returns the number of the last incarnation of a ledger, or 0 if there is none.
func lastIncarnation(ledger *accounting.Ledger) uint64 {
	list, _, _ := ledger.Incarnations()
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Number
}
