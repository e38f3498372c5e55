package overload

import (
	"math"
	"time"
)

const (
	// drainAcceptShare is the share of the grace period during which the server still reports itself as healthy.
	// There may be few other servers, and the server that replaces this one is cold and unknown to the edge nodes for
	// its first seconds.
	drainAcceptShare = 0.8
	// stallTimeout is the time without progress after which running work counts as stalled.
	stallTimeout = 2 * time.Second
)

// drainState is the progress of taking the server out of service.
type drainState struct {
	gracePeriod    time.Duration // after the notice; requests that are read within it may start
	noticeAt       time.Duration // time of the notice, 0 before it
	answerDeadline time.Duration // time by which every request must be answered
	notReady       bool          // new requests should go to other servers
}

func newDrainState(gracePeriod time.Duration) drainState {
	return drainState{gracePeriod: gracePeriod, answerDeadline: math.MaxInt64}
}

// update determines whether new requests should go to other servers, once per tick.
func (d *drainState) update(now time.Duration) {
	d.notReady = d.noticeAt > 0 && now-d.noticeAt >= fromSeconds(drainAcceptShare*d.gracePeriod.Seconds())
}

// afterGracePeriod reports whether a request was read after the grace period. Such a request is not run, whatever its
// arrival time, because that time is by a different clock.
func (d *drainState) afterGracePeriod(r *request) bool {
	return d.noticeAt > 0 && r.readAt > d.noticeAt+d.gracePeriod
}

// onDrain processes the drain notice, whose maximum age is noticeAge.
func (c *Controller) onDrain(now, noticeAge, remaining time.Duration) {
	c.drain.noticeAt = now - noticeAge
	c.drain.answerDeadline = now + remaining - c.answerMargin()
	for _, r := range c.requests.byArrival {
		r.deadline = min(r.deadline, c.drain.answerDeadline)
		if r.wantedState == stateQueued && r.needsAnswer() && c.drain.afterGracePeriod(r) { // the notice was delayed
			c.reject(r, c.retryAdvice.maxDelay)
		}
		c.checkDeadline(now, r)
	}
}

// warmUp is the period after a cold start during which the server has less than its full capacity.
type warmUp struct {
	cold            bool
	initialCapacity float64 // share of the full capacity at the start
	duration        time.Duration
	startedAt       time.Duration
}

func newWarmUp(settings *Settings, now time.Duration) warmUp {
	return warmUp{
		cold:            settings.Backend.Cold,
		initialCapacity: settings.Rules.ColdCapacity.Or(1),
		duration:        settings.Rules.WarmUpTime,
		startedAt:       now,
	}
}

// capacity returns the minimum share of its full capacity that the platform guarantees for the server.
func (w *warmUp) capacity(now time.Duration) float64 {
	if age := now - w.startedAt; w.cold && age < w.duration {
		return w.initialCapacity + (1-w.initialCapacity)*age.Seconds()/w.duration.Seconds()
	}
	return 1
}

// stallDetector detects that running work has stalled. Nothing is started during a stall, because further requests
// would stall as well. Normal runs that occupy all cores for longer than stallTimeout are mistaken for a stall.
type stallDetector struct {
	lastProgressAt time.Duration // when a run or call last made progress
	stalled        bool
}

// recordProgress records that a run or call has made progress.
func (s *stallDetector) recordProgress(now time.Duration) { s.lastProgressAt = now }

// update checks for a stall, once per tick. An idle core counts as progress, because new requests could run on it.
func (s *stallDetector) update(now time.Duration, coreFree bool) {
	if coreFree {
		s.lastProgressAt = max(s.lastProgressAt, now-observationInterval)
	}
	s.stalled = now-s.lastProgressAt > stallTimeout
}
