package overload

import (
	"math"
	"time"
)

const (
	// valueExponent is the exponent of value in a queue's weight: with 0 values don't count, with 1 they count fully.
	valueExponent = 0.5
	// minRunShare is the part of the expected time that a run takes at least.
	minRunShare = 0.9
)

// handlerQueue holds the queued requests of one handler, oldest first. Queues take turns in proportion to their
// weights (stride scheduling): the one with the least pass is next.
type handlerQueue struct {
	requests []*request // those that aren't queued any more are removed when they come to the front
	pass     float64
}

// push appends a request. A queue that was empty doesn't catch up with turns that it had no use for.
func (q *handlerQueue) push(r *request, turn float64) {
	if r.handler.queued == 1 {
		q.pass = math.Max(q.pass, turn)
	}
	q.requests = append(q.requests, r)
}

// front returns the oldest request that still waits, nil if there is none.
func (q *handlerQueue) front() *request {
	for len(q.requests) > 0 {
		if r := q.requests[0]; r.wanted == stateQueued && r.needsAnswer() {
			return r
		}
		q.requests = q.requests[1:]
	}
	return nil
}

// weight returns a queue's share of the turns: as much as is asked of the handler, tilted towards what is worth more.
func (h *handler) weight(now time.Duration) float64 {
	_, count := h.arrivals.sum(now)
	return (count + 1) * math.Pow(h.value, valueExponent)
}

// expectedWait returns how many seconds a newcomer to a handler's queue is expected to be queued.
func (c *Controller) expectedWait(now time.Duration, h *handler) float64 {
	if h.queued == 0 || float64(c.requests.queued()) <= c.concurrency.limit-c.gauges.onCores(c.requests.running()) {
		return 0
	}
	work := 0.0
	for _, other := range c.handlers {
		if other.queued > 0 {
			work += other.weight(now) * other.runTime(now)
		}
	}
	return float64(h.queued) * work / (math.Max(c.concurrency.limit, float64(c.requests.running())) * h.weight(now))
}

// startQueued starts queued requests while the limits on concurrency and memory allow.
func (c *Controller) startQueued(now time.Duration) {
	collapse := c.concurrency.collapse(now)
	for c.requests.queued() > 0 && !c.stall.stalled && !c.atCapacity(collapse) {
		h := c.nextHandler()
		if h == nil {
			return
		}
		r := h.queue.front()
		tooLarge := c.memory.overflows(r.sizeKB * (c.memory.runFactor - 1))
		if tooLarge && c.requests.inProgress() > 0 {
			return // what runs will free some memory
		}
		if tooLarge || c.hopeless(now, r) {
			c.reject(r, minRetryAfter)
			continue
		}
		c.turn = h.queue.pass
		h.queue.pass += 1 / h.weight(now)
		c.gauges.startedSince++
		c.rejections.recordStart()
		c.start(now, r)
	}
}

// atCapacity reports whether no more requests may be started.
func (c *Controller) atCapacity(collapse float64) bool {
	return c.gauges.onCores(c.requests.running())+1 > c.concurrency.limit ||
		float64(c.requests.inProgress()) >= collapse ||
		c.gauges.runnable >= collapse
}

// nextHandler returns the handler whose turn it is, nil if no request waits.
func (c *Controller) nextHandler() *handler {
	var next *handler
	for _, h := range c.handlers {
		if h.queue.front() != nil && (next == nil || h.queue.pass < next.queue.pass) {
			next = h
		}
	}
	return next
}

// hopeless reports whether even a short run would end after the target. A late answer is worth little.
func (c *Controller) hopeless(now time.Duration, r *request) bool {
	return now+fromSeconds(minRunShare*r.handler.expectedTime(now, r.costScale)) > r.target
}
