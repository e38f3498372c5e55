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

// Violations describes each violation of the rules on processes: one that did not start, or did not end in time or without an error.
func (n *Node) Violations() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.violations...)
}

// Drains returns the drains so far.
func (n *Node) Drains() []Drain {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Drain(nil), n.drains...)
}

// KilledSince returns an excuse for requests lost since the given time if the process was killed since, and an empty string otherwise.
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

// Paused returns for how long the process was paused between two times.
func (n *Node) Paused(from, to time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := time.Duration(0)
	for _, pause := range n.pauses {
		total += pause.overlap(from, to)
	}
	return total
}

// overlap returns how much of the span lies between two times.
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
