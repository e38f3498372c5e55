//go:build !faults && !powerloss

// Package faultinject is where rigs have the system fail: in builds of their own, tagged faults or powerloss, it reads from a file which calls fail
// now and by how much the time of day is wrong. In all other builds it does nothing and costs nothing.
package faultinject

import "time"

// ClockOffset is by how much the time of day is wrong.
func ClockOffset() time.Duration { return 0 }

// Error is the error with which a call of the system is to fail now; nil: it is to be made.
func Error(Call) error { return nil }
