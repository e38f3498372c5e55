package lifecycle

import "time"

// maxUnnoticedHold is how long a machine may suspend a thread at any instruction without anybody noticing.
const maxUnnoticedHold = 100 * time.Millisecond

// EventTimeBound bounds when an event can have happened that is heard of only now, as a signal is: not before the node last ran
// well before now. A node that was suspended hears of a termination notice long after it was sent, and its deadlines count
// from then. The zero value is ready to use.
type EventTimeBound struct {
	started      bool
	older, newer time.Duration // moments at which the node ran, at least maxUnnoticedHold apart
}

// Record records that the node runs now.
func (h *EventTimeBound) Record(now time.Duration) {
	switch {
	case !h.started:
		h.started = true
		h.older = now
		h.newer = now
	case now-h.newer >= maxUnnoticedHold:
		h.older = h.newer
		h.newer = now
	}
}

// Earliest returns the earliest moment at which an event that is heard of now can have happened.
func (h *EventTimeBound) Earliest() time.Duration { return h.older }
