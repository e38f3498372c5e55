// Package arrival estimates how long a request waited to be read, from the time of day with which its front end
// stamped it.
//
// The wall clocks of the front end and of the node may both step, and a node that was suspended reads requests late.
// A time stamp therefore counts only as far as the node's own monotonic clock makes it plausible. The package is
// plain state without I/O, clocks or goroutines.
package arrival

import "time"

// Thresholds that distinguish clock steps and suspensions from ordinary jitter.
const (
	minClockStep = 20 * time.Millisecond // change of the clocks' difference between turns; slewing causes far less
	minTurnDelay = 25 * time.Millisecond // delay of a turn past its due time; an ordinary turn takes far less
)

// Limits of plausible delays.
const (
	stallRecoveryTime = 2 * time.Second        // time after a stall until the requests that arrived during it are read
	ageWindow         = 2 * time.Second        // has a promptly read request; used once the clocks have diverged
	maxPromptDelay    = 250 * time.Millisecond // time from arrival to reading on a node that was not suspended
)

// If all time stamps are implausibly early for at least this long and this many requests, the clocks have diverged.
const (
	divergenceTime     = 500 * time.Millisecond
	divergenceRequests = 4
)

// DelayEstimator estimates the queue delay of requests from their time stamps. The zero value trusts the time stamps.
// It is not safe for concurrent use.
//
//	state     event                                                     next
//	trusting  the wall clock steps relative to the monotonic clock      diverged
//	trusting  all time stamps are implausibly early for divergenceTime  diverged
//
// The diverged state is final: a clock that was wrong once may be set again at any time.
type DelayEstimator struct {
	started  bool          // BeginTurn has been called
	lastMono time.Duration // monotonic and wall clock at the start of the latest turn
	lastWall time.Duration
	turnDue  time.Duration // when the next turn is due; 0 if unknown
	stall    stall         // the latest stall

	diverged         bool          // time stamps count only within plausible limits
	implausibleSince time.Duration // time of the first request in the current run of implausibly early time stamps
	implausibleCount int           // number of requests in that run

	ages ageMinimum
}

// stall is a period in which the node was suspended, or several such periods in short succession.
type stall struct {
	start, end time.Duration
}

// BeginTurn records both clocks at the start of a turn of the owner goroutine. It returns the step of the wall clock
// relative to the monotonic clock and the delay of the turn, each 0 if it is below its threshold.
func (e *DelayEstimator) BeginTurn(mono, wall time.Duration) (step, delay time.Duration) {
	if e.started {
		step = e.detectStep(mono, wall)
		delay = e.detectStall(mono)
	}
	e.started = true
	e.lastMono = mono
	e.lastWall = wall
	return step, delay
}

// detectStep returns the step of the wall clock since the last turn.
func (e *DelayEstimator) detectStep(mono, wall time.Duration) time.Duration {
	step := (wall - e.lastWall) - (mono - e.lastMono)
	if step.Abs() < minClockStep {
		return 0
	}
	e.diverged = true
	e.ages.reset() // ages measured with the previous clock setting are meaningless
	return step
}

// detectStall returns the delay of the turn past its due time.
func (e *DelayEstimator) detectStall(mono time.Duration) time.Duration {
	delay := mono - e.turnDue
	if e.turnDue <= 0 || delay < minTurnDelay {
		return 0
	}
	if !e.recoveringFromStall() {
		e.stall.start = e.lastMono
	}
	e.stall.end = mono
	return delay
}

// ExpectTurn records the latest time at which the next turn is due, by the monotonic clock.
func (e *DelayEstimator) ExpectTurn(mono time.Duration) { e.turnDue = mono }

// Diverged reports whether the clocks have diverged.
func (e *DelayEstimator) Diverged() bool { return e.diverged }

// recoveringFromStall reports whether requests that arrived during the latest stall are still being read.
func (e *DelayEstimator) recoveringFromStall() bool {
	return e.stall.end > 0 && e.lastMono-e.stall.end <= stallRecoveryTime
}

// maxPlausibleDelay returns the longest plausible queue delay of a request that is read now, given the node's latest
// stall.
func (e *DelayEstimator) maxPlausibleDelay() time.Duration {
	if e.recoveringFromStall() {
		return e.lastMono - e.stall.start + maxPromptDelay
	}
	return maxPromptDelay
}

// QueueDelay returns how long a request that is read in the current turn waited to be read, according to its time
// stamp, which is a time of day. Once the clocks have diverged, the delay is the excess of the request's age over the
// lowest recent age, up to the plausible limit. Only time stamps of trusted front ends are evidence about the clocks.
func (e *DelayEstimator) QueueDelay(stamp time.Duration, trusted bool) time.Duration {
	age := e.lastWall - stamp
	if trusted {
		e.ages.add(e.lastMono, age)
		e.detectDivergence(age)
	}
	if e.diverged {
		age = min(age-e.ages.minimum(), e.maxPlausibleDelay())
	}
	return max(0, age)
}

// detectDivergence detects clocks that differed from the start: for some time, every request seems older than is
// plausible.
func (e *DelayEstimator) detectDivergence(age time.Duration) {
	if age <= e.maxPlausibleDelay() {
		e.implausibleCount = 0
		return
	}
	e.implausibleCount++
	if e.implausibleCount == 1 {
		e.implausibleSince = e.lastMono
	}
	if e.implausibleCount >= divergenceRequests && e.lastMono-e.implausibleSince >= divergenceTime {
		e.diverged = true
	}
}
