package arrival

import "time"

// ageMinimum tracks the least age of a request over a sliding window of two halves: that of a request that was read at
// once, so that its age is the difference of the clocks. The zero value is empty.
type ageMinimum struct {
	current, previous half
	since             time.Duration // when the current half began
}

// half is one half of the window.
type half struct {
	min time.Duration
	any bool // there was a request
}

// add takes in the age of a request that is read now.
func (m *ageMinimum) add(now, age time.Duration) {
	if now-m.since >= ageWindow/2 {
		m.since = now
		m.previous = m.current
		m.current = half{}
	}
	if !m.current.any || age < m.current.min {
		m.current = half{min: age, any: true}
	}
}

// min returns the least age in the window, 0 if it is empty.
func (m *ageMinimum) min() time.Duration {
	switch {
	case m.current.any && m.previous.any:
		return min(m.current.min, m.previous.min)
	case m.current.any:
		return m.current.min
	case m.previous.any:
		return m.previous.min
	}
	return 0
}

// reset empties the window.
func (m *ageMinimum) reset() {
	m.current = half{}
	m.previous = half{}
}
