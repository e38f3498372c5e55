// Package invariant checks conditions that must always hold. A debug build panics on a
// violation, other builds count the violations.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Violations returns the number of violations since the start of the process. It is safe
// for concurrent use.
func Violations() int64 { return violations.Load() }

// Check records a violation unless the condition holds, and returns holds. The text
// states the invariant. Check is safe for concurrent use.
func Check(holds bool, condition string) bool {
	if !holds {
		violations.Add(1)
		fail(condition)
	}
	return holds
}
