// Package logthrottle keeps a kind of log line from flooding.
package logthrottle

import "time"

const every = time.Second // between lines of one kind: a flood stays readable

// Limiter is one kind of log line. The zero value lets the first through.
type Limiter struct {
	last    time.Time
	leftOut int
}

// Allow tells whether a line may be logged now, and how many were left out since the last that was.
func (l *Limiter) Allow() (leftOut int, ok bool) {
	t := time.Now()
	if t.Sub(l.last) < every {
		l.leftOut++
		return 0, false
	}
	leftOut, l.last, l.leftOut = l.leftOut, t, 0
	return leftOut, true
}
