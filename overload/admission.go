package overload

import (
	"math"
	"time"
)

const (
	// finishShare is the share of the time to the target by which admitted work should be done.
	finishShare = 0.85
	// overQuotaFinishShare is the same share for a customer over its quota.
	overQuotaFinishShare = 0.4
	// maxUntimedQueue is the number of queued requests per core before any run of a handler has been timed.
	maxUntimedQueue = 4.0
	// hintTrust is the part of a cost hint that is believed: hints are rough.
	hintTrust = 0.5
	// quotaSlack is how much more than its share of a quota a server grants. Quotas are for the fleet, and so much
	// spread between servers is normal.
	quotaSlack = 1.25
	// quotaBurst is the number of seconds of a quota that may come at once.
	quotaBurst = 2.0
)

// customerQuota is a token bucket.
type customerQuota struct {
	rate     float64 // tokens per second, 0 for no quota
	tokens   float64
	filledAt time.Duration
}

func newCustomerQuota(s *Customer, servers float64, now time.Duration) *customerQuota {
	rate := s.QuotaPerSecond / servers * quotaSlack
	return &customerQuota{
		rate:     rate,
		tokens:   rate * quotaBurst,
		filledAt: now,
	}
}

// take takes a token, and reports whether there was one.
func (q *customerQuota) take(now time.Duration) bool {
	q.tokens = math.Min(q.rate*quotaBurst, q.tokens+q.rate*(now-q.filledAt).Seconds())
	q.filledAt = now
	if q.tokens < 1 && q.rate > 0 {
		return false
	}
	q.tokens--
	return true
}

// onArrival decides about a new request: it is coalesced, queued or rejected.
func (c *Controller) onArrival(now time.Duration, e *Event) {
	r := c.newRequest(now, e)
	c.enqueue(r)
	r.handler.arrivals.add(now, 1)
	c.edgeNodes.recordArrival(e.EdgeNode)
	c.signal.recordArrival(e.QueueDelay)
	withinQuota := c.withinQuota(now, e.Customer)
	if c.tryCoalesce(now, r, e.RepeatOf) {
		return
	}
	r.costScale = r.handler.costScale(now, e.Hint)
	c.admit(now, r, e, withinQuota)
}

// newRequest returns the request of an Arrived event.
func (c *Controller) newRequest(now time.Duration, e *Event) *request {
	h := c.handlerAt(e.Handler)
	r := &request{
		id:        e.ID,
		handler:   h,
		arrivedAt: now - e.QueueDelay,
		readAt:    now,
		sizeKB:    e.SizeKB,
		costScale: 1,
	}
	r.deadline = max(now, r.arrivedAt+h.clientTimeout)
	if e.Remaining > 0 {
		r.deadline = now + e.Remaining
	}
	r.target = min(r.arrivedAt+h.responseTarget, r.deadline)
	if e.Remaining == 0 && c.patience.known() && h.replayable() {
		r.target = min(r.target, r.arrivedAt+c.patience.of(h))
	}
	r.deadline = min(r.deadline, c.drain.answerBy)
	return r
}

// handlerAt returns a handler by its index. One that the settings don't have is added.
func (c *Controller) handlerAt(index int) *handler {
	index = max(index, 0)
	for index >= len(c.handlers) {
		c.handlers = append(c.handlers, newUnknownHandler())
	}
	return c.handlers[index]
}

// withinQuota takes a request into account for its customer.
func (c *Controller) withinQuota(now time.Duration, customer int) bool {
	if customer < 0 || customer >= len(c.customers) {
		return true
	}
	return c.customers[customer].take(now)
}

// costScale returns the expected work of a request in relation to the handler's mean, by its hint.
func (h *handler) costScale(now, hint time.Duration) float64 {
	if hint <= 0 {
		return 1
	}
	h.costHints.add(now, hint.Seconds())
	mean, _ := h.costHints.mean(now)
	return 1 + hintTrust*(hint.Seconds()/mean-1)
}

// admit queues a request if it can be expected to end well before its target, else it is rejected at once.
func (c *Controller) admit(now time.Duration, r *request, e *Event, withinQuota bool) {
	h := r.handler
	share := finishShare
	if !withinQuota {
		share = overQuotaFinishShare
	}
	keyKB := 0.0
	if h.idempotency == Deduplicated {
		keyKB = c.memory.keySizeKB
	}
	endsAt := now + fromSeconds(c.expectedWait(now, h)+h.expectedTime(now, r.costScale))
	finishBy := r.arrivedAt + time.Duration(share*float64(r.target-r.arrivedAt))
	switch {
	case c.dueBeforeNextTimer(now, r):
		c.abandon(r)
	case c.drain.pastGrace(r), c.stall.stalled, c.memory.overflows(keyKB):
		c.reject(r, c.retryAdvice.maxDelay)
	case h.baseline == 0 && float64(c.requests.queued()) > maxUntimedQueue*c.cores:
		c.reject(r, endsAt-finishBy)
	case endsAt > finishBy && (c.requests.queued() > 1 || c.requests.running() > 0):
		c.reject(r, endsAt-finishBy)
	default:
		c.rememberArrival(r, e)
		h.queue.push(r, c.turn)
	}
}
