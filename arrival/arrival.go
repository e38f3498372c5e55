// Package arrival works out how long a request lay unread from the time of day with which it was stamped. Both clocks, the stamping one and
// the node's, may step, and a node that stands still reads late: a stamp is believed as far as the node's own monotonic clock bears it
// out. It is plain state without I/O, clock or goroutine.
package arrival

import "time"

const (
	minStep           = 20 * time.Millisecond  // between both clocks of the node from turn to turn: slewing moves them by far less
	minStall          = 25 * time.Millisecond  // that a turn comes later than it was due: a usual turn takes far less
	stallCatchUp      = 2 * time.Second        // after a stall, in which what lay unread meanwhile is still read
	ageWindow         = 2 * time.Second        // in which some request is read at once, by a node whose clocks have disagreed
	maxPromptDelay    = 250 * time.Millisecond // from a request's coming until it is read, by a node that does not stand still
	suspicionTime     = 500 * time.Millisecond // and doubtLeast requests: all stamped too early for that, so it is the clocks
	suspicionRequests = 4
)

// Clock judges stamps. The zero value trusts them.
type Clock struct {
	seen       bool
	mono, wall time.Duration // at the last turn
	turnDue    time.Duration // when the next turn is due
	stallFrom  time.Duration // the last stall, with those shortly before it
	stallTo    time.Duration

	diverged         bool          // the clocks have disagreed: a stamp counts only within what the node knows of itself
	implausibleSince time.Duration // since when each request was stamped earlier than can be
	implausibleCount int

	minAge      [2]time.Duration // the least age in the present half of the window and in the one before: that of one read at once
	windowStart time.Duration    // since when the present half is
	hasAge      [2]bool          // whether there was a request in each
}

// Turn notes both clocks at the start of a turn of the node, and when the next is due at the latest. It gives by how much the wall clock
// stepped against the monotonic one, and how much too late the turn came; 0 for little.
func (c *Clock) Turn(mono, wall time.Duration) (step, stall time.Duration) {
	if c.seen {
		if d := (wall - c.wall) - (mono - c.mono); d.Abs() >= minStep {
			step, c.diverged = d, true
			c.hasAge = [2]bool{} // ages from before say nothing any more
		}
		if late := mono - c.turnDue; c.turnDue > 0 && late >= minStall {
			stall = late
			if c.mono-c.stallTo > stallCatchUp || c.stallTo == 0 {
				c.stallFrom = c.mono
			}
			c.stallTo = mono
		}
	}
	c.seen, c.mono, c.wall = true, mono, wall
	return step, stall
}

// ExpectTurn notes when the next turn is due at the latest.
func (c *Clock) ExpectTurn(mono time.Duration) { c.turnDue = mono }

// Diverged tells whether the clocks have disagreed.
func (c *Clock) Diverged() bool { return c.diverged }

// maxPlausibleDelay is how long a request that is read now may have lain unread, by what the node knows of itself.
func (c *Clock) maxPlausibleDelay() time.Duration {
	if c.stallTo > 0 && c.mono-c.stallTo <= stallCatchUp {
		return c.mono - c.stallFrom + maxPromptDelay
	}
	return maxPromptDelay
}

// QueueDelay is how long a request that is read in the present turn lay unread, going by its stamp, a time of day. Where the clocks have
// disagreed it is its age beyond that of the youngest of late, and within what can be. Only a trusted one tells anything of the clocks.
func (c *Clock) QueueDelay(stamp time.Duration, trusted bool) time.Duration {
	age := c.wall - stamp
	if trusted {
		c.recordAge(age)
		c.detectDivergence(age)
	}
	if c.diverged {
		age = min(age-c.youngest(), c.maxPlausibleDelay())
	}
	return max(0, age)
}

// recordAge takes an age into the window.
func (c *Clock) recordAge(age time.Duration) {
	if c.mono-c.windowStart >= ageWindow/2 {
		c.windowStart = c.mono
		c.minAge[1], c.hasAge[1], c.hasAge[0] = c.minAge[0], c.hasAge[0], false
	}
	if !c.hasAge[0] || age < c.minAge[0] {
		c.minAge[0], c.hasAge[0] = age, true
	}
}

// youngest is the least age in the window, 0 if it is empty.
func (c *Clock) youngest() time.Duration {
	switch {
	case c.hasAge[0] && c.hasAge[1]:
		return min(c.minAge[0], c.minAge[1])
	case c.hasAge[0]:
		return c.minAge[0]
	case c.hasAge[1]:
		return c.minAge[1]
	}
	return 0
}

// detectDivergence finds clocks that disagreed from the start: each request seems older than can be, for a while.
func (c *Clock) detectDivergence(age time.Duration) {
	if age <= c.maxPlausibleDelay() {
		c.implausibleCount = 0
		return
	}
	if c.implausibleCount++; c.implausibleCount == 1 {
		c.implausibleSince = c.mono
	}
	if c.implausibleCount >= suspicionRequests && c.mono-c.implausibleSince >= suspicionTime {
		c.diverged = true
	}
}
