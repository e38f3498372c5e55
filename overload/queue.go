package overload

import (
	"math"
	"time"
)

const (
	// valueExponent is the exponent of a handler's value in the weight of its queue: 0 ignores the value, 1 makes the
	// weight proportional to it.
	valueExponent = 0.5
	// minRunShare is the share of its expected time that a run takes at least.
	minRunShare = 0.9
)

// handlerQueue contains the queued requests of one handler, oldest first. The queues are served by stride scheduling
// in proportion to their weights: the one with the lowest pass is next.
type handlerQueue struct {
	requests []*request // requests that have left the queue are removed when they reach the front
	pass     float64
}

// push appends a request. A queue that was empty starts at the pass of the queue that was served last, so it does not
// catch up on turns that it missed while it was empty.
func (q *handlerQueue) push(r *request, lastPass float64) {
	if r.handler.queued == 1 {
		q.pass = math.Max(q.pass, lastPass)
	}
	q.requests = append(q.requests, r)
}

// front returns the oldest request that is still queued, nil if there is none.
func (q *handlerQueue) front() *request {
	for len(q.requests) > 0 {
		if r := q.requests[0]; r.wantedState == stateQueued && r.needsAnswer() {
			return r
		}
		q.requests = q.requests[1:]
	}
	return nil
}

// weight returns the relative share of the turns that a queue receives: the handler's recent arrivals, scaled by its
// value.
func (h *handler) weight(now time.Duration) float64 {
	_, count := h.arrivals.sum(now)
	return (count + 1) * math.Pow(h.value, valueExponent)
}

// expectedWait returns how many seconds a new request of a handler is expected to be queued.
func (c *Controller) expectedWait(now time.Duration, h *handler) float64 {
	if h.queued == 0 || float64(c.requests.queued()) <= c.concurrency.limit-c.gauges.coreDemand(c.requests.running()) {
		return 0
	}
	work := 0.0
	for _, other := range c.handlers {
		if other.queued > 0 {
			work += other.weight(now) * other.recentRunTime(now)
		}
	}
	return float64(h.queued) * work / (math.Max(c.concurrency.limit, float64(c.requests.running())) * h.weight(now))
}

// startQueued starts queued requests while the concurrency and memory limits allow.
func (c *Controller) startQueued(now time.Duration) {
	collapseLimit := c.concurrency.collapseLimit(now)
	for c.requests.queued() > 0 && !c.stall.stalled && !c.atCapacity(collapseLimit) {
		h := c.nextHandler()
		if h == nil {
			return
		}
		r := h.queue.front()
		tooLarge := c.memory.wouldExceed(r.sizeKB * (c.memory.runFactor - 1))
		if tooLarge && c.requests.inProgress() > 0 {
			return // the end of a running request will free memory
		}
		if tooLarge || c.cannotMeetTarget(now, r) {
			c.reject(r, minRetryAfter)
			continue
		}
		c.lastPass = h.queue.pass
		h.queue.pass += 1 / h.weight(now)
		c.gauges.startedSinceRead++
		c.rejections.recordStart()
		c.start(now, r)
	}
}

// atCapacity reports whether the concurrency or collapse limit forbids starting another request.
func (c *Controller) atCapacity(collapseLimit float64) bool {
	return c.gauges.coreDemand(c.requests.running())+1 > c.concurrency.limit ||
		float64(c.requests.inProgress()) >= collapseLimit ||
		c.gauges.runnable >= collapseLimit
}

// nextHandler returns the handler whose queue is served next, nil if all queues are empty.
func (c *Controller) nextHandler() *handler {
	var next *handler
	for _, h := range c.handlers {
		if h.queue.front() != nil && (next == nil || h.queue.pass < next.queue.pass) {
			next = h
		}
	}
	return next
}

// cannotMeetTarget reports whether even a short run that starts now would end after the response target. A late
// answer has little value.
func (c *Controller) cannotMeetTarget(now time.Duration, r *request) bool {
	return now+fromSeconds(minRunShare*r.handler.expectedTime(now, r.costScale)) > r.target
}
