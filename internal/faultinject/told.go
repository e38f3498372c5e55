//go:build faults || powerloss

// Package faultinject is where rigs have the system fail: in builds of their own, tagged faults or powerloss, it reads from a file which calls fail
// now and by how much the time of day is wrong. In all other builds it does nothing and costs nothing.
package faultinject

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The environment: how wrong the time of day is from the start, and the file that tells of faults in service, a line each: "clock 2s",
// "write ENOBUFS".
const (
	clockName = "FROSTHUB_CLOCK"
	fileName  = "FROSTHUB_FAULTS"
	lookEvery = 5 * time.Millisecond // between looks at the file
)

var (
	clock  atomic.Int64
	failed [calls]atomic.Int64 // the error's number, 0 none

	errnos = map[string]syscall.Errno{
		"ENOBUFS": syscall.ENOBUFS, "ENOMEM": syscall.ENOMEM, "EMFILE": syscall.EMFILE, "EIO": syscall.EIO,
		"EAGAIN": syscall.EAGAIN, "EINTR": syscall.EINTR,
	}
)

func init() {
	start, _ := time.ParseDuration(os.Getenv(clockName)) // none: 0
	clock.Store(int64(start))
	if path := os.Getenv(fileName); path != "" {
		go func() {
			for ; ; time.Sleep(lookEvery) {
				if text, err := os.ReadFile(path); err == nil {
					tell(start, string(text))
				}
			}
		}()
	}
}

// Tell has faults be as these lines say, in place of the file.
func Tell(text string) { tell(0, text) }

func tell(start time.Duration, text string) {
	wrong, now := start, [calls]int64{}
	for line := range strings.Lines(text) {
		word, what, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word == "clock" {
			d, _ := time.ParseDuration(what)
			wrong += d
		}
		for c := range calls {
			if c.String() == word {
				now[c] = int64(errnos[what])
			}
		}
	}
	clock.Store(int64(wrong))
	for c := range calls {
		failed[c].Store(now[c])
	}
}

// ClockOffset is by how much the time of day is wrong.
func ClockOffset() time.Duration { return time.Duration(clock.Load()) }

// Error is the error with which a call of the system is to fail now; nil: it is to be made.
func Error(c Call) error {
	if n := failed[c].Load(); n != 0 {
		return syscall.Errno(n)
	}
	return nil
}
