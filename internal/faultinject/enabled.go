//go:build faults || powerloss

// Package faultinject makes system calls fail and shifts the clock, for tests. It does
// so only in builds with the tag faults or powerloss, which poll a file that lists the
// current faults. In all other builds the package does nothing and costs nothing.
package faultinject

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The environment variables of a process under test.
const (
	// clockVariable holds the initial offset of the time of day, a duration.
	clockVariable = "FROSTHUB_CLOCK"
	// fileVariable holds the path of the faults file. Each line of the file is a
	// fault, such as "write ENOBUFS" or "clock 2s".
	fileVariable = "FROSTHUB_FAULTS"
)

// pollInterval is the time between reads of the faults file.
const pollInterval = 5 * time.Millisecond

// clockWord begins a line of the faults file that shifts the time of day.
const clockWord = "clock"

var (
	clockOffset atomic.Int64            // a time.Duration, in nanoseconds
	callErrors  [callCount]atomic.Int64 // a syscall.Errno for each call; 0 if the call must not fail
)

// errnos maps the names of errors in the faults file to error numbers.
var errnos = map[string]syscall.Errno{
	"ENOBUFS": syscall.ENOBUFS,
	"ENOMEM":  syscall.ENOMEM,
	"EMFILE":  syscall.EMFILE,
	"EIO":     syscall.EIO,
	"EAGAIN":  syscall.EAGAIN,
	"EINTR":   syscall.EINTR,
}

func init() {
	initialOffset, _ := time.ParseDuration(os.Getenv(clockVariable)) // 0 if the variable is not set
	clockOffset.Store(int64(initialOffset))
	if path := os.Getenv(fileVariable); path != "" {
		go pollFile(path, initialOffset)
	}
}

func pollFile(path string, initialOffset time.Duration) {
	for ; ; time.Sleep(pollInterval) {
		if text, err := os.ReadFile(path); err == nil {
			applyFaults(initialOffset, string(text))
		}
	}
}

// SetFaults replaces all faults by those in a text, which has the format of the faults
// file.
func SetFaults(text string) { applyFaults(0, text) }

func applyFaults(initialOffset time.Duration, text string) {
	offset := initialOffset
	var errnosByCall [callCount]int64
	for line := range strings.Lines(text) {
		word, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word == clockWord {
			shift, _ := time.ParseDuration(value)
			offset += shift
		}
		for c := range callCount {
			if c.String() == word {
				errnosByCall[c] = int64(errnos[value])
			}
		}
	}
	clockOffset.Store(int64(offset))
	for c := range callCount {
		callErrors[c].Store(errnosByCall[c])
	}
}

// ClockOffset returns the offset that is added to the time of day.
func ClockOffset() time.Duration { return time.Duration(clockOffset.Load()) }

// Error returns the error with which a system call must fail now, or nil if the caller
// must make the call.
func Error(c Call) error {
	if errno := callErrors[c].Load(); errno != 0 {
		return syscall.Errno(errno)
	}
	return nil
}
