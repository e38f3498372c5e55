package overload

import "time"

const (
	// timerInterval is the time between Timer events. It is at most answerMargin, so that every deadline is
	// checked in time, and a quarter of observationInterval.
	timerInterval = 25 * time.Millisecond
	// cancelRetryInterval is the time after which a Cancel action without effect is repeated.
	cancelRetryInterval = 500 * time.Millisecond
)

// answerMargin returns how long before the deadline of a request its answer must be decided.
func (c *Controller) answerMargin() time.Duration { return timerInterval + 2*c.batchInterval }

// dueBeforeNextTimer reports whether the answer must be decided now because the next Timer event may come too late.
func (c *Controller) dueBeforeNextTimer(now time.Duration, r *request) bool {
	return r.deadline-now <= c.answerMargin()
}

// checkDeadline answers a request whose deadline is near, and rejects or abandons one whose result would have too
// little value. It also allows a Cancel action without effect to be repeated.
func (c *Controller) checkDeadline(now time.Duration, r *request) {
	if r.cancelledAt > 0 && r.state == stateRunning && now-r.cancelledAt >= cancelRetryInterval {
		r.cancelledAt = 0 // the cancellation had no effect, for example because the cores executed nothing
		c.requests.markDirty(r)
	}
	if !r.needsAnswer() {
		return
	}
	// This check uses the handler's response target, because r.target may have been shortened to the time that
	// clients are estimated to wait.
	worthless := now > r.arrivedAt+r.handler.responseTarget && r.handler.lateValue == 0
	switch {
	case c.dueBeforeNextTimer(now, r):
		c.abandon(r)
	case r.wantedState == stateQueued && (worthless || c.cannotMeetTarget(now, r)):
		c.reject(r, minRetryAfter)
	case worthless && (r.wantedState == stateAwaitingCall || r.wantedState == stateRunning && c.holdsUpQueue()):
		c.abandon(r)
	}
}

// holdsUpQueue reports whether the server is under duress while requests are queued, so that running requests occupy
// cores that queued ones need.
func (c *Controller) holdsUpQueue() bool {
	return c.backpressure.underDuress() && c.requests.queued() > 0
}

// abandon gives up a request without a result. It decides on the final answer, Reject for a queued request and Fail
// for any other, and has the run stopped if there is one. It has no effect if the request needs no answer.
func (c *Controller) abandon(r *request) {
	if !r.needsAnswer() {
		return
	}
	r.stopWanted = true
	r.wantedAnswer = Fail
	if r.wantedState == stateQueued {
		r.wantedAnswer = Reject
	}
	c.requests.markDirty(r)
}
