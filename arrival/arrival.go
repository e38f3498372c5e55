// Package arrival works out how long a request lay unread, from the time of day with which its front end stamped it.
//
// Both clocks, the front end's and the node's, may step, and a node that was suspended reads late. A stamp is therefore
// believed as far as the node's own monotonic clock bears it out. The package is plain state without I/O, clock or
// goroutine.
package arrival

import "time"

// Thresholds that tell steps and suspensions from ordinary jitter.
const (
	minStep  = 20 * time.Millisecond // between the node's clocks from turn to turn: slewing moves them by far less
	minStall = 25 * time.Millisecond // that a turn comes later than it was due: an ordinary turn takes far less
)

// Limits of what is plausible.
const (
	stallCatchUp   = 2 * time.Second        // after a stall, in which what lay unread meanwhile is still read
	ageWindow      = 2 * time.Second        // in which at least one request is read at once, once the clocks have diverged
	maxPromptDelay = 250 * time.Millisecond // from a request's arrival until it is read, by a node that was not suspended
)

// If all requests are stamped too early to be plausible, for this long and this many, it is the clocks that are wrong.
const (
	suspicionTime     = 500 * time.Millisecond
	suspicionRequests = 4
)

// DelayEstimator judges the stamps of requests. The zero value trusts them. It is not safe for concurrent use.
//
//	state     what happens                                    next
//	trusting  the wall clock steps against the monotonic one  diverged
//	trusting  all stamps are too early for suspicionTime      diverged
//
// It stays diverged: a clock that was wrong once may be set again at any time.
type DelayEstimator struct {
	started bool          // there was a turn
	mono    time.Duration // both clocks at the last turn
	wall    time.Duration
	turnDue time.Duration // when the next turn is due; 0 if that is not known
	stall   stall         // the last one

	diverged         bool          // a stamp counts only within what the node knows of itself
	implausibleSince time.Duration // since when each request was stamped earlier than is plausible
	implausibleCount int           // requests since then

	ages ageMinimum
}

// stall is a time in which the node was suspended, or several that follow each other closely.
type stall struct {
	from, to time.Duration
}

// BeginTurn records both clocks at the start of a turn of the node's event loop. It returns by how much the wall clock stepped
// against the monotonic one, and by how much the turn came too late; 0 if by little.
func (c *DelayEstimator) BeginTurn(mono, wall time.Duration) (step, delay time.Duration) {
	if c.started {
		step = c.detectStep(mono, wall)
		delay = c.detectStall(mono)
	}
	c.started = true
	c.mono = mono
	c.wall = wall
	return step, delay
}

// detectStep returns by how much the wall clock stepped since the last turn.
func (c *DelayEstimator) detectStep(mono, wall time.Duration) time.Duration {
	step := (wall - c.wall) - (mono - c.mono)
	if step.Abs() < minStep {
		return 0
	}
	c.diverged = true
	c.ages.reset() // ages by the clock of before say nothing any more
	return step
}

// detectStall returns by how much the turn comes later than it was due.
func (c *DelayEstimator) detectStall(mono time.Duration) time.Duration {
	delay := mono - c.turnDue
	if c.turnDue <= 0 || delay < minStall {
		return 0
	}
	if !c.stalledLately() {
		c.stall.from = c.mono
	}
	c.stall.to = mono
	return delay
}

// ExpectTurn records when the next turn is due at the latest.
func (c *DelayEstimator) ExpectTurn(mono time.Duration) { c.turnDue = mono }

// Diverged reports whether the clocks have disagreed.
func (c *DelayEstimator) Diverged() bool { return c.diverged }

// stalledLately reports whether what lay unread during the last stall is still being read.
func (c *DelayEstimator) stalledLately() bool {
	return c.stall.to > 0 && c.mono-c.stall.to <= stallCatchUp
}

// maxPlausibleDelay returns how long a request that is read now may have lain unread, by what the node knows of itself.
func (c *DelayEstimator) maxPlausibleDelay() time.Duration {
	if c.stalledLately() {
		return c.mono - c.stall.from + maxPromptDelay
	}
	return maxPromptDelay
}

// QueueDelay returns how long a request that is read in the present turn lay unread, by its stamp, a time of day. Once the
// clocks have diverged, that is its age beyond the age of the youngest request of late, within what is plausible. Only
// stamps of trusted front ends tell anything of the clocks.
func (c *DelayEstimator) QueueDelay(stamp time.Duration, trusted bool) time.Duration {
	age := c.wall - stamp
	if trusted {
		c.ages.add(c.mono, age)
		c.detectDivergence(age)
	}
	if c.diverged {
		age = min(age-c.ages.min(), c.maxPlausibleDelay())
	}
	return max(0, age)
}

// detectDivergence finds clocks that disagreed from the start: each request seems older than is plausible, for a while.
func (c *DelayEstimator) detectDivergence(age time.Duration) {
	if age <= c.maxPlausibleDelay() {
		c.implausibleCount = 0
		return
	}
	c.implausibleCount++
	if c.implausibleCount == 1 {
		c.implausibleSince = c.mono
	}
	if c.implausibleCount >= suspicionRequests && c.mono-c.implausibleSince >= suspicionTime {
		c.diverged = true
	}
}
