//go:build faults || powerloss

// Package faultinject makes system calls fail for tests. Only builds with the tag
// faults or powerloss do so: they read from a file which calls fail now, and by how
// much the time of day is wrong. In all other builds the package does nothing and
// costs nothing.
package faultinject

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The environment of a process under test.
const (
	// clockVariable holds by how much the time of day is wrong from the start.
	clockVariable = "FROSTHUB_CLOCK"
	// fileVariable names the faults file: a fault a line, as "write ENOBUFS" or
	// "clock 2s".
	fileVariable = "FROSTHUB_FAULTS"
)

// pollInterval is the time between reads of the faults file.
const pollInterval = 5 * time.Millisecond

// clockWord begins a line of the faults file that shifts the time of day.
const clockWord = "clock"

var (
	clockOffset atomic.Int64            // a time.Duration
	callErrors  [callCount]atomic.Int64 // a syscall.Errno for each call, 0 for none
)

// errnos are the errors that a faults file may name.
var errnos = map[string]syscall.Errno{
	"ENOBUFS": syscall.ENOBUFS,
	"ENOMEM":  syscall.ENOMEM,
	"EMFILE":  syscall.EMFILE,
	"EIO":     syscall.EIO,
	"EAGAIN":  syscall.EAGAIN,
	"EINTR":   syscall.EINTR,
}

func init() {
	initialOffset, _ := time.ParseDuration(os.Getenv(clockVariable)) // 0 if it is not set
	clockOffset.Store(int64(initialOffset))
	if path := os.Getenv(fileVariable); path != "" {
		go pollFile(path, initialOffset)
	}
}

func pollFile(path string, initialOffset time.Duration) {
	for ; ; time.Sleep(pollInterval) {
		if text, err := os.ReadFile(path); err == nil {
			set(initialOffset, string(text))
		}
	}
}

// SetFaults makes the faults those of a text like that of the faults file, in place of
// all others.
func SetFaults(text string) { set(0, text) }

func set(initialOffset time.Duration, text string) {
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

// ClockOffset returns by how much the time of day is wrong.
func ClockOffset() time.Duration { return time.Duration(clockOffset.Load()) }

// Error returns the error with which a system call is to fail now, nil if it is to
// be made.
func Error(c Call) error {
	if errno := callErrors[c].Load(); errno != 0 {
		return syscall.Errno(errno)
	}
	return nil
}
