package overload

import "time"

const (
	// timerInterval is the time between Timer events: shorter than any slack of a deadline, four an observation.
	timerInterval = 25 * time.Millisecond
	// cancelRetryInterval is the time after which a Cancel without effect is repeated.
	cancelRetryInterval = 500 * time.Millisecond
)

// answerMargin is how much earlier than a deadline an answer has to be decided.
func (c *Controller) answerMargin() time.Duration { return timerInterval + 2*c.batchInterval }

// dueBeforeNextTimer reports whether at the next Timer event it may be too late to answer.
func (c *Controller) dueBeforeNextTimer(now time.Duration, r *request) bool {
	return r.deadline-now <= c.answerMargin()
}

// checkDeadline keeps the deadline of a request, and gives up what is worth nothing any more.
func (c *Controller) checkDeadline(now time.Duration, r *request) {
	if r.cancelledAt > 0 && r.state == stateRunning && now-r.cancelledAt >= cancelRetryInterval {
		r.cancelledAt = 0 // the cancellation had no effect, as while the cores stand still
		c.requests.markDirty(r)
	}
	if !r.needsAnswer() {
		return
	}
	// The target may have been cut by the clients' patience, which is only a guess.
	worthless := now > r.arrivedAt+r.handler.responseTarget && r.handler.lateValue == 0
	switch {
	case c.dueBeforeNextTimer(now, r):
		c.abandon(r)
	case r.wanted == stateQueued && (worthless || c.hopeless(now, r)):
		c.reject(r, minRetryAfter)
	case worthless && (r.wanted == stateAwaitingCall || r.wanted == stateRunning && c.holdsUpQueue()):
		c.abandon(r)
	}
}

// holdsUpQueue reports whether running requests take cores that others need.
func (c *Controller) holdsUpQueue() bool {
	return c.backpressure.underDuress() && c.requests.queued() > 0
}

// abandon has a request answered at once; what still runs of it is stopped.
func (c *Controller) abandon(r *request) {
	if !r.needsAnswer() {
		return
	}
	r.abandoned = true
	r.wantedAnswer = Fail
	if r.wanted == stateQueued {
		r.wantedAnswer = Reject
	}
	c.requests.markDirty(r)
}
