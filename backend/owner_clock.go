package backend

import (
	"time"

	"frosthub/arrival"
	"frosthub/internal/faultinject"
	"frosthub/lifecycle"
)

const (
	// processorAgeMax is how long before this process the processor may have started. The owner's clock begins so long
	// before the process does, which keeps every span positive.
	maxProcessorAge = time.Hour

	// stallMin is how late a turn must be to count as a stall. A busy machine keeps a thread waiting for less.
	minStall = 100 * time.Millisecond

	// maxTurnInterval is the longest sleep of the owner.
	maxTurnInterval = time.Second
)

// ownerClock is the time as the owner goroutine sees it. Both clocks are read once a turn, at the same moment, so that
// everything which happens in a turn happens at one time. It is not safe for concurrent use.
type ownerClock struct {
	origin       time.Time     // the origin of now
	now          time.Duration // monotonic time since start
	wallTime     time.Duration // the same moment as a span since the start of 1970, for stamps alone
	wakeAt       time.Duration // when the owner wakes next without news
	heartbeat    lifecycle.EventTimeBound
	arrivalDelay arrival.DelayEstimator
}

// clockReading is what reading the clocks has shown.
type clockReading struct {
	at    time.Time
	step  time.Duration // by how much the time of day has stepped; 0 if it has not
	stall time.Duration // how much later than due the turn came
}

// read takes the time of this turn from both clocks.
func (c *ownerClock) readTime() clockReading {
	at := time.Now()
	c.now = at.Sub(c.origin)
	c.wallTime = time.Duration(at.UnixNano()) + faultinject.ClockOffset()
	c.heartbeat.Record(c.now)
	step, stall := c.arrivalDelay.BeginTurn(c.now, c.wallTime)
	return clockReading{at: at, step: step, stall: stall}
}

// wakeBy makes the owner wake at t at the latest.
func (c *ownerClock) wakeBy(t time.Duration) { c.wakeAt = min(c.wakeAt, t) }

// untilWake is how long the owner may sleep from now on.
func (c *ownerClock) untilWake() time.Duration { return max(0, c.wakeAt-time.Since(c.origin)) }

// readClocks takes the time of this turn, and counts and logs steps of the time of day and stalls of the process.
func (b *Backend) readClocks() time.Time {
	reading := b.readTime()
	if reading.step != 0 {
		b.stats.ClockSteps++
		b.logLimited("wall clock stepped", "by", reading.step)
	}
	if reading.stall >= minStall {
		b.stats.Stalls++
		b.logLimited("process stalled", "for", reading.stall)
	}
	return reading.at
}
