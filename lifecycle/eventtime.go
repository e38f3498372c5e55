package lifecycle

import "time"

// maxUndetectedSuspension is the duration for which the machine may suspend a thread at any instruction without
// detection.
const maxUndetectedSuspension = 100 * time.Millisecond

// EventTimeBound computes a lower bound for the time of an event, such as a signal, that the node processes only now.
// The bound is a time at which the node last ran, well before now. A node that was suspended may process a
// termination notice long after it was sent, and its deadlines count from the time of sending. The zero value is
// ready to use.
type EventTimeBound struct {
	started      bool
	older, newer time.Duration // times at which the node ran, at least maxUndetectedSuspension apart
}

// Record records that the node is running now.
func (b *EventTimeBound) Record(now time.Duration) {
	switch {
	case !b.started:
		b.started = true
		b.older = now
		b.newer = now
	case now-b.newer >= maxUndetectedSuspension:
		b.older = b.newer
		b.newer = now
	}
}

// Earliest returns the earliest time at which an event that is processed now can have happened.
func (b *EventTimeBound) Earliest() time.Duration { return b.older }
