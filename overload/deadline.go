package overload

import "time"

const (
	// timerInterval is the time between Timer events. It is shorter than the slack of any deadline; four intervals
	// make up an observation interval.
	timerInterval = 25 * time.Millisecond
	// cancelRetryInterval is the time after which a Cancel action without effect is repeated.
	cancelRetryInterval = 500 * time.Millisecond
)

// answerMargin returns how long before its deadline a request must have its answer decided.
func (c *Controller) answerMargin() time.Duration { return timerInterval + 2*c.batchInterval }

// dueBeforeNextTimer reports whether the answer must be decided now because the next Timer event may come too late.
func (c *Controller) dueBeforeNextTimer(now time.Duration, r *request) bool {
	return r.deadline-now <= c.answerMargin()
}

// checkDeadline answers a request that is due, and rejects or abandons one whose answer has no value left.
func (c *Controller) checkDeadline(now time.Duration, r *request) {
	if r.cancelledAt > 0 && r.state == stateRunning && now-r.cancelledAt >= cancelRetryInterval {
		r.cancelledAt = 0 // the cancellation had no effect, for example during a standstill of the cores
		c.requests.markDirty(r)
	}
	if !r.needsAnswer() {
		return
	}
	// Uses the handler's response target: r.target may have been shortened to the clients' patience, which is only an
	// estimate.
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

// abandon decides on an immediate answer, Reject for a queued request and Fail for any other, and has the rest of a
// run stopped.
func (c *Controller) abandon(r *request) {
	if !r.needsAnswer() {
		return
	}
	r.abandoned = true
	r.wantedAnswer = Fail
	if r.wantedState == stateQueued {
		r.wantedAnswer = Reject
	}
	c.requests.markDirty(r)
}
