// Package invariant holds what must be true: a debug build stops where it is not, others count.
package invariant

import "sync/atomic"

var broken atomic.Int64

// Broken is how often something that must hold did not.
func Broken() int64 { return broken.Load() }

// Check takes note if holds is false, and returns it.
func Check(holds bool, what string) bool {
	if !holds {
		broken.Add(1)
		fail(what)
	}
	return holds
}
