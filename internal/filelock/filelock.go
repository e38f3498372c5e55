// Package filelock locks a file for a process. The lock ends with the process, in
// whatever way that ends.
package filelock

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// ErrBusy is the error of Acquire where another process holds the lock.
var ErrBusy = errors.New("another process holds it")

const lockFileMode = 0o640

// Acquire takes the lock of a file, which it creates if it is not there. The lock is
// held until the returned file is closed. It returns ErrBusy, or the error of a
// system call.
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

// IsLocked reports whether a process holds the lock of a file. It does not take the
// lock, not even for a moment: a process that starts meanwhile finds it free.
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
