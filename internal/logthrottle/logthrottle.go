// Package logthrottle limits the rate of log lines of one kind, so that an event that
// occurs often does not flood the log.
package logthrottle

import "time"

// interval is the minimum time between two lines of one kind.
const interval = time.Second

// Limiter limits the rate of one kind of log line. The zero value is ready to use and
// allows the first line. A Limiter is not safe for concurrent use.
type Limiter struct {
	last       time.Time // time of the last line that was allowed
	suppressed int       // number of lines suppressed since then
}

// Allow reports whether a line may be logged now. If ok, suppressed is the number of
// lines suppressed since the last one that was allowed.
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
