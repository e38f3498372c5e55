package overload

import "time"

// Rejections.
const (
	minRetryAfter        = 100 * time.Millisecond // less is no advice
	defaultMaxRetryAfter = time.Second            // where the settings have none
	openLoad             = 0.97                   // wanted load under which a retry elsewhere likely only costs a read
	rejectionSmoothing   = 0.02                   // weight of one request in the share rejected: some fifty count
)

// retryAdvice says when rejected clients should come back.
type retryAdvice struct {
	enabled  bool
	maxDelay time.Duration
	random   randomSource
}

func newRetryAdvice(limits RetryAfterLimits, seed uint64) retryAdvice {
	return retryAdvice{
		enabled:  limits.RetryAfter,
		maxDelay: limits.MaxRetryAfter.Or(defaultMaxRetryAfter),
		random:   newRandomSource(seed),
	}
}

// delay returns the time that a client should stay away, spread so that clients don't come back together.
func (a *retryAdvice) delay(wanted time.Duration) time.Duration {
	if !a.enabled {
		return 0
	}
	spread := fromSeconds(wanted.Seconds() * (0.5 + a.random.float64()))
	return min(max(spread, minRetryAfter), a.maxDelay)
}

// rejectionRate follows which share of the requests is rejected.
type rejectionRate struct{ share float64 }

func (r *rejectionRate) recordStart()     { r.share -= rejectionSmoothing * r.share }
func (r *rejectionRate) recordRejection() { r.share += rejectionSmoothing * (1 - r.share) }

// reject sheds a request that never ran, and tells the client when to come back. While the wanted load is down a
// retry elsewhere likely costs a read for nothing. That guards against retry storms, at the cost of retries that
// would have succeeded where only this server is slow.
func (c *Controller) reject(r *request, retryAfter time.Duration) {
	r.retryAfter = c.retryAdvice.delay(retryAfter)
	c.rejections.recordRejection()
	r.noRetry = c.healthy() && c.signal.wantedLoad < openLoad
	c.abandon(r)
}

// healthy reports whether the server wants newcomers at all.
func (c *Controller) healthy() bool { return !c.drain.unwelcome && !c.stall.stalled }
