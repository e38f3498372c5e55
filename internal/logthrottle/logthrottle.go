// Package logthrottle limits how often log lines of one kind are written, so that a
// flood stays readable.
package logthrottle

import "time"

// interval is the least time between two lines of one kind.
const interval = time.Second

// Limiter limits one kind of log line. The zero value allows the first one. It is
// not safe for concurrent use.
type Limiter struct {
	last       time.Time // when a line was last allowed
	suppressed int       // lines since then
}

// Allow reports whether a line may be logged now, and if so how many were
// suppressed since the last one.
func (l *Limiter) Allow() (suppressed int, ok bool) {
	now := time.Now()
	if now.Sub(l.last) < interval {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.last = now
	l.suppressed = 0
	return suppressed, true
}
