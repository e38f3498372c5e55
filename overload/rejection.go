package overload

import "time"

// Constants of rejections.
const (
	minRetryAfter        = 100 * time.Millisecond // shortest advice
	defaultMaxRetryAfter = time.Second            // longest advice if the settings have none
	noRetryLoadThreshold = 0.97                   // wanted load below which other servers probably reject retries too
	rejectionSmoothing   = 0.02                   // weight of one request; the rejected share covers about fifty
)

// retryAdvice computes the delays after which rejected clients should retry.
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

// delay returns the delay that a client is advised to wait, or 0 if advice is disabled. It spreads the delays
// randomly so that clients don't retry at the same time.
func (a *retryAdvice) delay(wanted time.Duration) time.Duration {
	if !a.enabled {
		return 0
	}
	spread := fromSeconds(wanted.Seconds() * (0.5 + a.random.float64()))
	return min(max(spread, minRetryAfter), a.maxDelay)
}

// rejectionRate tracks the share of requests that are rejected.
type rejectionRate struct{ share float64 }

func (r *rejectionRate) recordStart()     { r.share -= rejectionSmoothing * r.share }
func (r *rejectionRate) recordRejection() { r.share += rejectionSmoothing * (1 - r.share) }

// reject sheds a request that never ran, and advises the client when to retry. While the wanted load is reduced,
// another server would probably have to read a retry only to reject it too, so the advice is not to try one. This
// prevents retry storms; the drawback is that, if only this server is slow, retries that would succeed are not made.
func (c *Controller) reject(r *request, retryAfter time.Duration) {
	r.retryAfter = c.retryAdvice.delay(retryAfter)
	c.rejections.recordRejection()
	r.noRetry = c.healthy() && c.signal.wantedLoad < noRetryLoadThreshold
	c.abandon(r)
}

// healthy reports whether the server should receive new requests.
func (c *Controller) healthy() bool { return !c.drain.notReady && !c.stall.stalled }
