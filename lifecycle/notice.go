package lifecycle

import "time"

// maxUnnoticedHold is how long a machine may hold a thread at any line without anybody noticing.
const maxUnnoticedHold = 100 * time.Millisecond

// Heartbeat bounds when an event can have happened that is only now heard of, as a signal is: not before the node last ran well before now. A
// node that stood still hears of a notice long after it was given, and all that is owed counts from then.
type Heartbeat struct {
	begun        bool
	older, newer time.Duration // moments at which the node ran, at least heldMost apart
}

// Beat notes that the node runs now.
func (h *Heartbeat) Beat(now time.Duration) {
	switch {
	case !h.begun:
		h.begun, h.older, h.newer = true, now, now
	case now-h.newer >= maxUnnoticedHold:
		h.older, h.newer = h.newer, now
	}
}

// Earliest is the earliest moment at which what is heard of now can have happened.
func (h *Heartbeat) Earliest() time.Duration { return h.older }
