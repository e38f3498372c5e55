//go:build !faults && !powerloss

// Package faultinject makes system calls fail and shifts the clock, for tests. It does
// so only in builds with the tag faults or powerloss, which poll a file that lists the
// current faults. In all other builds the package does nothing and costs nothing.
package faultinject

import "time"

// ClockOffset returns the offset that is added to the time of day.
func ClockOffset() time.Duration { return 0 }

// Error returns the error with which a system call must fail now, or nil if the caller
// must make the call.
func Error(Call) error { return nil }
