package harness

import (
	"fmt"
	"time"
)

func (n *Node) addViolation(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.violations = append(n.violations, n.Name+": "+fmt.Sprintf(format, args...))
}

// Violations describes each violation of the rules on processes: a process did not start, could not be signaled, killed or reconfigured,
// did not end in time, or ended with an error.
func (n *Node) Violations() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.violations...)
}

// Drains returns all drains so far.
func (n *Node) Drains() []Drain {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Drain(nil), n.drains...)
}

// KilledSince returns why requests may be lost if the process was killed after the given time, and an empty string otherwise.
func (n *Node) KilledSince(then time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, at := range n.kills {
		if at.After(then) {
			return "the node was killed"
		}
	}
	return ""
}

// Paused returns the total time that the process was paused between two times.
func (n *Node) Paused(from, to time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := time.Duration(0)
	for _, pause := range n.pauses {
		total += pause.overlap(from, to)
	}
	return total
}

// overlap returns the length of the part of the span between two times.
func (s Span) overlap(from, to time.Time) time.Duration {
	start := s.From
	if start.Before(from) {
		start = from
	}
	end := s.To
	if end.IsZero() || end.After(to) {
		end = to
	}
	return max(0, end.Sub(start))
}
