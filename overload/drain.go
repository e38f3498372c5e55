package overload

import (
	"math"
	"time"
)

const (
	// drainAcceptShare is the share of the grace after the notice in which newcomers are still wanted: other servers
	// may be few, and a successor is cold and unknown to edge nodes for seconds.
	drainAcceptShare = 0.8
	// stallTimeout is the time without progress of running work after which it is taken to hang.
	stallTimeout = 2 * time.Second
)

// drainState is how far the server has come with being taken out of service.
type drainState struct {
	grace     time.Duration // after the notice, in which what is read may start
	noticedAt time.Duration // 0 before the notice
	answerBy  time.Duration // when all has to be answered
	unwelcome bool          // newcomers are not wanted any more
}

func newDrainState(grace time.Duration) drainState {
	return drainState{grace: grace, answerBy: math.MaxInt64}
}

// update finds out whether newcomers are still wanted, once a tick.
func (d *drainState) update(now time.Duration) {
	d.unwelcome = d.noticedAt > 0 && now-d.noticedAt >= fromSeconds(drainAcceptShare*d.grace.Seconds())
}

// pastGrace reports whether a request was read after the grace that follows the notice. Such a request is not run,
// whenever it says that it arrived: that time is of another clock.
func (d *drainState) pastGrace(r *request) bool {
	return d.noticedAt > 0 && r.readAt > d.noticedAt+d.grace
}

// onDrain follows the notice, which came so long ago at most.
func (c *Controller) onDrain(now, ago, remaining time.Duration) {
	c.drain.noticedAt = now - ago
	c.drain.answerBy = now + remaining - c.answerMargin()
	for _, r := range c.requests.ordered {
		r.deadline = min(r.deadline, c.drain.answerBy)
		if r.wanted == stateQueued && r.needsAnswer() && c.drain.pastGrace(r) { // the notice was heard of late
			c.reject(r, c.retryAdvice.maxDelay)
		}
		c.checkDeadline(now, r)
	}
}

// warmUp is the time after a cold start in which the server has less than its full capacity.
type warmUp struct {
	cold      bool
	from      float64 // share of the full capacity at the start
	duration  time.Duration
	startedAt time.Duration
}

func newWarmUp(settings *Settings, now time.Duration) warmUp {
	return warmUp{
		cold:      settings.Backend.Cold,
		from:      settings.Rules.ColdCapacity.Or(1),
		duration:  settings.Rules.WarmUpTime,
		startedAt: now,
	}
}

// capacity returns the least share of its full capacity that the server has, as the platform promises it.
func (w *warmUp) capacity(now time.Duration) float64 {
	if age := now - w.startedAt; w.cold && age < w.duration {
		return w.from + (1-w.from)*age.Seconds()/w.duration.Seconds()
	}
	return 1
}

// stallDetector finds out whether running work hangs. More requests would share its fate, so nothing is started
// meanwhile. Rightful runs longer than the timeout on all cores look the same.
type stallDetector struct {
	progressAt time.Duration // when some run or call last made a step
	stalled    bool
}

// progress takes note of a step of some run.
func (s *stallDetector) progress(now time.Duration) { s.progressAt = now }

// update looks for progress once a tick. While a core is free newcomers could run at least.
func (s *stallDetector) update(now time.Duration, coreFree bool) {
	if coreFree {
		s.progressAt = max(s.progressAt, now-observeInterval)
	}
	s.stalled = now-s.progressAt > stallTimeout
}
