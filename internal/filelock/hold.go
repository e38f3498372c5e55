// Package filelock has a lock on a file that ends with the process that holds it, however that ends.
package filelock

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// ErrBusy is the answer where another process holds it.
var ErrBusy = errors.New("another process holds it")

// Acquire takes the lock that stands in a file for as long as what is returned is open.
func Acquire(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	how := unix.Flock_t{Type: unix.F_WRLCK}
	if err := unix.FcntlFlock(lock.Fd(), unix.F_OFD_SETLK, &how); err != nil {
		_ = lock.Close()
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
			err = ErrBusy
		}
		return nil, err
	}
	return lock, nil
}

// IsLocked tells whether a process holds it.
func IsLocked(path string) bool {
	lock, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = lock.Close() }()
	how := unix.Flock_t{Type: unix.F_WRLCK} // asked for and not taken: a box that starts now finds it free
	return unix.FcntlFlock(lock.Fd(), unix.F_OFD_GETLK, &how) == nil && how.Type != unix.F_UNLCK
}
