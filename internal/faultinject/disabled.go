//go:build !faults && !powerloss

// Package faultinject makes system calls fail for tests. Only builds with the tag
// faults or powerloss do so: they read from a file which calls fail now, and by how
// much the time of day is wrong. In all other builds the package does nothing and
// costs nothing.
package faultinject

import "time"

// ClockOffset returns by how much the time of day is wrong.
func ClockOffset() time.Duration { return 0 }

// Error returns the error with which a system call is to fail now, nil if it is to
// be made.
func Error(Call) error { return nil }
