package arrival

import "time"

// ageMinimum tracks the lowest age of a request in a sliding window that consists of two halves. The lowest age is
// that of a request that was read promptly, so it is the difference between the clocks. The zero value is empty.
type ageMinimum struct {
	current, previous windowHalf
	since             time.Duration // start of the current half
}

// windowHalf is one half of the window.
type windowHalf struct {
	minAge   time.Duration
	nonEmpty bool // at least one age was added
}

// add adds the age of a request that is read now.
func (m *ageMinimum) add(now, age time.Duration) {
	if now-m.since >= ageWindow/2 {
		m.since = now
		m.previous = m.current
		m.current = windowHalf{}
	}
	if !m.current.nonEmpty || age < m.current.minAge {
		m.current = windowHalf{minAge: age, nonEmpty: true}
	}
}

// minimum returns the lowest age in the window, 0 if the window is empty.
func (m *ageMinimum) minimum() time.Duration {
	switch {
	case m.current.nonEmpty && m.previous.nonEmpty:
		return min(m.current.minAge, m.previous.minAge)
	case m.current.nonEmpty:
		return m.current.minAge
	case m.previous.nonEmpty:
		return m.previous.minAge
	}
	return 0
}

// reset empties the window.
func (m *ageMinimum) reset() {
	m.current = windowHalf{}
	m.previous = windowHalf{}
}
