package backend

import (
	"time"

	"frosthub/arrival"
	"frosthub/internal/faultinject"
	"frosthub/lifecycle"
)

const (
	// maxProcessorAge is the longest time that the processor may have been running when this process starts. The owner's
	// clock starts this long before the process, so that the start time of the processor is never negative.
	maxProcessorAge = time.Hour

	// minStall is how late a turn must begin to count as a stall. Scheduling delays of a busy machine are shorter.
	minStall = 100 * time.Millisecond

	// maxTurnInterval is the longest time between two turns.
	maxTurnInterval = time.Second
)

// ownerClock holds the time of the owner's current turn. The monotonic and the wall clock are read together once a
// turn, so that all events of a turn have the same time. It is not safe for concurrent use.
type ownerClock struct {
	origin       time.Time     // the zero of now
	now          time.Duration // monotonic time since origin
	wallTime     time.Duration // the same moment as time since the Unix epoch; used for timestamps only
	wakeAt       time.Duration // when the owner begins its next turn if nothing arrives
	heartbeat    lifecycle.EventTimeBound
	arrivalDelay arrival.DelayEstimator
}

// clockReading is the result of reading both clocks.
type clockReading struct {
	at    time.Time
	step  time.Duration // by how much the wall clock has stepped; 0 if it has not
	stall time.Duration // how much later than due the turn began
}

// readTime reads both clocks for this turn.
func (c *ownerClock) readTime() clockReading {
	at := time.Now()
	c.now = at.Sub(c.origin)
	c.wallTime = time.Duration(at.UnixNano()) + faultinject.ClockOffset()
	c.heartbeat.Record(c.now)
	step, stall := c.arrivalDelay.BeginTurn(c.now, c.wallTime)
	return clockReading{at: at, step: step, stall: stall}
}

// wakeBy makes the owner begin its next turn at t at the latest.
func (c *ownerClock) wakeBy(t time.Duration) { c.wakeAt = min(c.wakeAt, t) }

// untilWake returns how long the owner may sleep from now on.
func (c *ownerClock) untilWake() time.Duration { return max(0, c.wakeAt-time.Since(c.origin)) }

// readClocks reads both clocks for this turn, and counts and logs steps of the wall clock and stalls of the process. It
// returns the time at which the turn began.
func (b *Backend) readClocks() time.Time {
	reading := b.readTime()
	if reading.step != 0 {
		b.stats.ClockSteps++
		b.logLimited("wall clock stepped", "step", reading.step)
	}
	if reading.stall >= minStall {
		b.stats.Stalls++
		b.logLimited("process stalled", "delay", reading.stall)
	}
	return reading.at
}
