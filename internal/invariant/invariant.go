// Package invariant checks conditions that must always hold. A debug build panics
// where one does not; other builds count the violations.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Broken returns how often a condition did not hold. Any goroutine may call it.
func Broken() int64 { return violations.Load() }

// Check records a violation unless the condition holds, and returns whether it
// does. The text says what must hold. Any goroutine may call it.
func Check(holds bool, what string) bool {
	if !holds {
		violations.Add(1)
		fail(what)
	}
	return holds
}
