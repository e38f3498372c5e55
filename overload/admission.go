package overload

import (
	"math"
	"time"
)

const (
	// finishShare is the share of the time from arrival to the target within which admitted work should end.
	finishShare = 0.85
	// overQuotaFinishShare replaces finishShare for a customer that exceeds its quota.
	overQuotaFinishShare = 0.4
	// maxUntimedQueuePerCore is the maximum number of queued requests per core at the arrival of a request whose
	// handler has no measured run times.
	maxUntimedQueuePerCore = 4.0
	// hintWeight is the weight of a cost hint against the handler's mean. It is less than 1 because hints are rough.
	hintWeight = 0.5
	// quotaSlack is the factor by which a server exceeds its share of a customer's quota. Quotas apply to the whole
	// fleet, and the load of the servers normally differs by this much.
	quotaSlack = 1.25
	// quotaBurstSeconds is the burst size, as the number of seconds of a quota that may arrive at once.
	quotaBurstSeconds = 2.0
)

// customerQuota is the token bucket that enforces a customer's quota on this server.
type customerQuota struct {
	rate       float64 // tokens per second, 0 for no quota
	tokens     float64
	refilledAt time.Duration
}

func newCustomerQuota(s *Customer, servers float64, now time.Duration) *customerQuota {
	rate := s.QuotaPerSecond / servers * quotaSlack
	return &customerQuota{
		rate:       rate,
		tokens:     rate * quotaBurstSeconds,
		refilledAt: now,
	}
}

// take consumes a token and reports whether one was available, which is always the case without a quota.
func (q *customerQuota) take(now time.Duration) bool {
	q.tokens = math.Min(q.rate*quotaBurstSeconds, q.tokens+q.rate*(now-q.refilledAt).Seconds())
	q.refilledAt = now
	if q.tokens < 1 && q.rate > 0 {
		return false
	}
	q.tokens--
	return true
}

// onArrival coalesces, queues or rejects a new request.
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

// newRequest returns the request that an Arrived event describes.
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
	if e.Remaining == 0 && c.clientWait.estimated() && h.replayable() {
		r.target = min(r.target, r.arrivedAt+c.clientWait.waitTime(h))
	}
	r.deadline = min(r.deadline, c.drain.answerDeadline)
	return r
}

// handlerAt returns a handler by its index, and adds handlers that are missing from the settings.
func (c *Controller) handlerAt(index int) *handler {
	index = max(index, 0)
	for index >= len(c.handlers) {
		c.handlers = append(c.handlers, newUnknownHandler())
	}
	return c.handlers[index]
}

// withinQuota charges a request to the quota of its customer and reports whether the quota allows it.
func (c *Controller) withinQuota(now time.Duration, customer int) bool {
	if customer < 0 || customer >= len(c.customers) {
		return true
	}
	return c.customers[customer].take(now)
}

// costScale returns the expected work of a request relative to the handler's mean, based on its hint.
func (h *handler) costScale(now, hint time.Duration) float64 {
	if hint <= 0 {
		return 1
	}
	h.costHints.add(now, hint.Seconds())
	mean, _ := h.costHints.mean(now)
	return 1 + hintWeight*(hint.Seconds()/mean-1)
}

// admit queues a request that is expected to end by a safety margin before its target (see finishShare), and rejects
// it otherwise.
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
	case c.drain.afterGracePeriod(r), c.stall.stalled, c.memory.wouldExceed(keyKB):
		c.reject(r, c.retryAdvice.maxDelay)
	case h.baselineRunTime == 0 && float64(c.requests.queued()) > maxUntimedQueuePerCore*c.cores:
		c.reject(r, endsAt-finishBy)
	case endsAt > finishBy && (c.requests.queued() > 1 || c.requests.running() > 0):
		c.reject(r, endsAt-finishBy)
	default:
		c.requestEntry(r, e)
		h.queue.push(r, c.lastPass)
	}
}
