package overload

import (
	"cmp"
	"math"
	"time"
)

const (
	// maxCallsPerCore bounds the calls in flight: slow ones bind no more memory than this.
	maxCallsPerCore = 4.0
	// callShareMargin is the share of this server's part of what the dependency survives that is used.
	callShareMargin = 0.9
	// callTimeSmoothing is the weight of one call in the usual time of calls: some twenty count.
	callTimeSmoothing = 0.05
	// slowCallFactor is the usual over the least time of calls from which fewer are made.
	slowCallFactor = 4.0
	// slowCallShrink is the factor a tick on the limit then: halved in less than a second.
	slowCallShrink = 0.9
	// minCallTimeout is the least timeout worth a call to a shared dependency.
	minCallTimeout = 200 * time.Millisecond
	// defaultCallShareWindow is the window of the call share where the settings have none.
	defaultCallShareWindow = 5 * time.Second
	// noTimeLimit is a call allowance that ends with the deadline of the request alone.
	noTimeLimit = time.Duration(math.MaxInt64)
)

// callLimiter bounds the calls in flight to the dependency, and the time that they spend there.
type callLimiter struct {
	cores       float64
	downstream  Downstream
	share       float64       // concurrent calls that a shared dependency survives from this server
	shareWindow time.Duration // over which they are averaged
	linger      time.Duration // that the dependency still works on a call which was given up

	waiting   []*request // oldest first; those that don't wait any more are removed when they are met
	limit     float64    // calls in flight
	usualTime float64    // of calls, in seconds
	leastTime float64

	callSeconds  slidingWindow // spent by calls in flight, given-up ones included
	accruedUntil time.Duration
}

func newCallLimiter(b *Backend, cores float64, now time.Duration) callLimiter {
	return callLimiter{
		cores:        cores,
		downstream:   b.Downstream,
		share:        b.CallShare,
		shareWindow:  b.CallShareWindow.Or(defaultCallShareWindow),
		linger:       b.CallLinger,
		limit:        cores * maxCallsPerCore,
		accruedUntil: now,
	}
}

// accrue adds up the call-seconds of the calls in flight. It must be called before each change of their number.
func (l *callLimiter) accrue(now time.Duration, calling int) {
	l.callSeconds.add(now, float64(calling)*(now-l.accruedUntil).Seconds())
	l.accruedUntil = now
}

// giveUp takes into account that the dependency still works for a while on a call that nobody waits for.
func (l *callLimiter) giveUp(now time.Duration) { l.callSeconds.add(now, l.linger.Seconds()) }

// recordTime takes the time of an answered call into account.
func (l *callLimiter) recordTime(took time.Duration) {
	l.usualTime = cmp.Or(l.usualTime, took.Seconds())
	l.usualTime += callTimeSmoothing * (took.Seconds() - l.usualTime)
}

// adapt moves the limit, once a tick. A dependency slows down long before it fails, so fewer calls are in flight
// while they take far too long.
func (l *callLimiter) adapt() {
	l.leastTime = math.Min(cmp.Or(l.leastTime*baselineGrowth, l.usualTime), l.usualTime)
	if l.usualTime > slowCallFactor*l.leastTime {
		l.limit = math.Max(1, l.limit*slowCallShrink)
	} else {
		l.limit = math.Min(l.limit+1, l.cores*maxCallsPerCore)
	}
}

// allowance returns how long one more call may last, 0 if none may be made now. For a shared dependency the time is
// cut to what is left of this server's share of call-seconds, given-up calls included. That guards against one
// that turns slow with all calls in flight (incident i502e29). After many failed calls the next ones have to wait
// though all is well again.
func (l *callLimiter) allowance(now time.Duration, calling int, collapse float64) time.Duration {
	inFlight := float64(calling + 1)
	if inFlight > math.Min(maxCallsPerCore*l.cores, collapse) {
		return 0
	}
	if l.downstream != DownstreamShared || l.share <= 0 {
		return noTimeLimit
	}
	l.accrue(now, calling)
	used, _ := l.callSeconds.sum(now)
	window := math.Min(l.shareWindow.Seconds(), (windowBuckets-1)*bucketWidth.Seconds())
	left := fromSeconds((callShareMargin*l.share*window - used) / inFlight)
	if inFlight > math.Max(1, math.Min(l.limit, callShareMargin*l.share)) || left < minCallTimeout+l.linger {
		return 0
	}
	return left - l.linger
}

// onNeedsCall takes up a request that has come to its call.
func (c *Controller) onNeedsCall(now time.Duration, r *request) {
	c.stall.progress(now)
	c.awaitCall(now, r)
	c.calls.waiting = append(c.calls.waiting, r)
}

// onCallEnded follows the end of a call.
func (c *Controller) onCallEnded(now time.Duration, r *request, e *Event) {
	c.stall.progress(now)
	if r.state != stateCalling {
		return
	}
	if e.Outcome == OK {
		c.calls.recordTime(e.Took)
		c.finishCall(now, r)
		return
	}
	c.failCall(now, r)
	if e.Outcome == ConnectionLost && c.mayRetryCall(r) {
		r.callRetried = true
		c.calls.waiting = append(c.calls.waiting, r)
		return
	}
	c.skipOrAbandon(now, r)
}

// mayRetryCall reports whether a call that broke off is made once more: where that is harmless and going on without
// it is worth nothing. It guards against spoilt replies; a failing tier breaks off all calls. Calls that were
// rejected are not retried: the edge node in front of the tier has tried other servers, and each try costs a read
// there (incident i715a4f).
func (c *Controller) mayRetryCall(r *request) bool {
	return r.handler.replayable() && r.handler.skipValue == 0 && !r.callRetried && r.needsAnswer()
}

// skipOrAbandon goes on without the call where that is worth something, else the request is given up.
func (c *Controller) skipOrAbandon(now time.Duration, r *request) {
	if r.handler.skipValue > 0 && r.answer == noAnswer && !r.clientGone {
		c.skipCall(now, r)
		return
	}
	c.abandon(r)
}

// placeCalls lets waiting requests call, oldest first, within the limits.
func (c *Controller) placeCalls(now time.Duration) {
	still := c.calls.waiting[:0]
	for _, r := range c.calls.waiting {
		if r.state != stateAwaitingCall || !r.needsAnswer() {
			continue
		}
		if !c.tryCall(now, r) {
			still = append(still, r)
		}
	}
	clear(c.calls.waiting[len(still):])
	c.calls.waiting = still
}

// tryCall decides about the call of one waiting request, and reports whether it was decided.
func (c *Controller) tryCall(now time.Duration, r *request) bool {
	allowance := c.calls.allowance(now, c.requests.calling(), c.concurrency.collapse(now))
	switch {
	case allowance == 0 && r.handler.skipValue > 0 && c.hopeless(now, r):
		c.skipOrAbandon(now, r)
	case allowance == 0:
		return false
	case now+fromSeconds(minRunShare*c.calls.usualTime) > r.deadline:
		c.skipOrAbandon(now, r) // the answer would come too late, and cost a read below
	default:
		c.placeCall(now, r, max(min(r.deadline-now, allowance), time.Millisecond))
	}
	return true
}
