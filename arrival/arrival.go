// Package arrival works out how long a request lay unread from the time of day with which it was stamped. Both clocks, the stamping one and
// the node's, may step, and a node that stands still reads late: a stamp is believed as far as the node's own monotonic clock bears it
// out. It is plain state without I/O, clock or goroutine.
package arrival

import "time"

const (
	stepLeast  = 20 * time.Millisecond  // between both clocks of the node from turn to turn: slewing moves them by far less
	stallLeast = 25 * time.Millisecond  // that a turn comes later than it was due: a usual turn takes far less
	catchUp    = 2 * time.Second        // after a stall, in which what lay unread meanwhile is still read
	window     = 2 * time.Second        // in which some request is read at once, by a node whose clocks have disagreed
	promptly   = 250 * time.Millisecond // from a request's coming until it is read, by a node that does not stand still
	doubtFor   = 500 * time.Millisecond // and doubtLeast requests: all stamped too early for that, so it is the clocks
	doubtLeast = 4
)

// Clock judges stamps. The zero value trusts them.
type Clock struct {
	seen       bool
	mono, wall time.Duration // at the last turn
	due        time.Duration // when the next turn is due
	stallFrom  time.Duration // the last stall, with those shortly before it
	stallTo    time.Duration

	suspect   bool          // the clocks have disagreed: a stamp counts only within what the node knows of itself
	oddSince  time.Duration // since when each request was stamped earlier than can be
	oddNumber int

	least     [2]time.Duration // the least age in the present half of the window and in the one before: that of one read at once
	leastFrom time.Duration    // since when the present half is
	leastAny  [2]bool          // whether there was a request in each
}

// Turn notes both clocks at the start of a turn of the node, and when the next is due at the latest. It gives by how much the wall clock
// stepped against the monotonic one, and how much too late the turn came; 0 for little.
func (c *Clock) Turn(mono, wall time.Duration) (step, stall time.Duration) {
	if c.seen {
		if d := (wall - c.wall) - (mono - c.mono); d.Abs() >= stepLeast {
			step, c.suspect = d, true
			c.leastAny = [2]bool{} // ages from before say nothing any more
		}
		if late := mono - c.due; c.due > 0 && late >= stallLeast {
			stall = late
			if c.mono-c.stallTo > catchUp || c.stallTo == 0 {
				c.stallFrom = c.mono
			}
			c.stallTo = mono
		}
	}
	c.seen, c.mono, c.wall = true, mono, wall
	return step, stall
}

// ExpectTurn notes when the next turn is due at the latest.
func (c *Clock) ExpectTurn(mono time.Duration) { c.due = mono }

// Diverged tells whether the clocks have disagreed.
func (c *Clock) Diverged() bool { return c.suspect }

// longest is how long a request that is read now may have lain unread, by what the node knows of itself.
func (c *Clock) longest() time.Duration {
	if c.stallTo > 0 && c.mono-c.stallTo <= catchUp {
		return c.mono - c.stallFrom + promptly
	}
	return promptly
}

// QueueDelay is how long a request that is read in the present turn lay unread, going by its stamp, a time of day. Where the clocks have
// disagreed it is its age beyond that of the youngest of late, and within what can be. Only a trusted one tells anything of the clocks.
func (c *Clock) QueueDelay(stamp time.Duration, trusted bool) time.Duration {
	age := c.wall - stamp
	if trusted {
		c.note(age)
		c.doubt(age)
	}
	if c.suspect {
		age = min(age-c.youngest(), c.longest())
	}
	return max(0, age)
}

// note takes an age into the window.
func (c *Clock) note(age time.Duration) {
	if c.mono-c.leastFrom >= window/2 {
		c.leastFrom = c.mono
		c.least[1], c.leastAny[1], c.leastAny[0] = c.least[0], c.leastAny[0], false
	}
	if !c.leastAny[0] || age < c.least[0] {
		c.least[0], c.leastAny[0] = age, true
	}
}

// youngest is the least age in the window, 0 if it is empty.
func (c *Clock) youngest() time.Duration {
	switch {
	case c.leastAny[0] && c.leastAny[1]:
		return min(c.least[0], c.least[1])
	case c.leastAny[0]:
		return c.least[0]
	case c.leastAny[1]:
		return c.least[1]
	}
	return 0
}

// doubt finds clocks that disagreed from the start: each request seems older than can be, for a while.
func (c *Clock) doubt(age time.Duration) {
	if age <= c.longest() {
		c.oddNumber = 0
		return
	}
	if c.oddNumber++; c.oddNumber == 1 {
		c.oddSince = c.mono
	}
	if c.oddNumber >= doubtLeast && c.mono-c.oddSince >= doubtFor {
		c.suspect = true
	}
}
