// Package filelock locks files between processes. The kernel releases a lock when the
// process that holds it ends, even if it is killed.
package filelock

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// ErrBusy is the error of Acquire if another process holds the lock.
var ErrBusy = errors.New("another process holds the lock")

const lockFileMode = 0o640

// Acquire acquires the lock of a file, without waiting. It creates the file if it does
// not exist. The lock is held until the returned file is closed. Acquire returns
// ErrBusy if another process holds the lock, or the error of a system call.
func Acquire(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, lockFileMode)
	if err != nil {
		return nil, err
	}
	lock := unix.Flock_t{Type: unix.F_WRLCK}
	err = unix.FcntlFlock(file.Fd(), unix.F_OFD_SETLK, &lock)
	if err == nil {
		return file, nil
	}
	_ = file.Close()
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		err = ErrBusy
	}
	return nil, err
}

// IsLocked reports whether a process holds the lock of a file. It never acquires the
// lock itself, so a process that calls Acquire at the same time does not fail because
// of it. IsLocked returns false if the file can't be opened.
func IsLocked(path string) bool {
	file, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }()
	lock := unix.Flock_t{Type: unix.F_WRLCK}
	err = unix.FcntlFlock(file.Fd(), unix.F_OFD_GETLK, &lock)
	return err == nil && lock.Type != unix.F_UNLCK
}
