package overload

import (
	"cmp"
	"math"
	"time"
)

const (
	// maxCallsPerCore limits the calls in flight, and thereby the memory that slow calls occupy.
	maxCallsPerCore = 4.0
	// callShareMargin is the share of Backend.CallShare that the server uses.
	callShareMargin = 0.9
	// callTimeSmoothing is the weight of one call in the mean call time, which therefore covers about twenty calls.
	callTimeSmoothing = 0.05
	// slowCallFactor is the ratio of mean to baseline call time above which the limit shrinks.
	slowCallFactor = 4.0
	// slowCallShrink is the factor per tick by which the limit shrinks. It halves the limit in less than a second.
	slowCallShrink = 0.9
	// minCallTimeout is the shortest timeout with which a call to a shared dependency is worthwhile.
	minCallTimeout = 200 * time.Millisecond
	// defaultCallShareWindow is the averaging window of the call share if the settings have none.
	defaultCallShareWindow = 5 * time.Second
	// unlimitedCallTime is the time budget of a call that only the deadline of its request limits.
	unlimitedCallTime = time.Duration(math.MaxInt64)
)

// callLimiter limits the number of calls in flight to the dependency and the time that they spend there.
type callLimiter struct {
	cores       float64
	downstream  Downstream
	share       float64       // concurrent calls from this server that a shared dependency can sustain
	shareWindow time.Duration // time over which these calls are averaged
	linger      time.Duration // how long the dependency continues to work on an unsuccessful call

	waiting      []*request // oldest first; requests that no longer wait are removed by placeCalls
	limit        float64    // maximum number of calls in flight
	meanTime     float64    // moving mean of the call time, in seconds
	baselineTime float64    // lowest mean call time, in seconds; grows slowly

	callSeconds  slidingWindow // time that calls were in flight, plus linger for each unsuccessful one
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

// accrue adds the time that the calls in flight have spent since the previous accrual. It must be called before
// every change of their number.
func (l *callLimiter) accrue(now time.Duration, calling int) {
	l.callSeconds.add(now, float64(calling)*(now-l.accruedUntil).Seconds())
	l.accruedUntil = now
}

// recordUnsuccessfulCall adds the time for which the dependency continues to work on a call that failed or was given
// up.
func (l *callLimiter) recordUnsuccessfulCall(now time.Duration) {
	l.callSeconds.add(now, l.linger.Seconds())
}

// recordTime updates the mean call time with an answered call.
func (l *callLimiter) recordTime(took time.Duration) {
	l.meanTime = cmp.Or(l.meanTime, took.Seconds())
	l.meanTime += callTimeSmoothing * (took.Seconds() - l.meanTime)
}

// adapt updates the limit, once per tick. A dependency slows down long before it fails, so the limit shrinks while
// calls take much longer than their baseline.
func (l *callLimiter) adapt() {
	l.baselineTime = math.Min(cmp.Or(l.baselineTime*baselineGrowth, l.meanTime), l.meanTime)
	if l.meanTime > slowCallFactor*l.baselineTime {
		l.limit = math.Max(1, l.limit*slowCallShrink)
	} else {
		l.limit = math.Min(l.limit+1, l.cores*maxCallsPerCore)
	}
}

// timeBudget returns the maximum duration of one more call, 0 if none may start now. For a shared dependency the
// budget is limited to the unused rest of this server's share of call-seconds, which includes unsuccessful calls. This
// protects a dependency that becomes slow while the maximum number of calls is in flight (incident i502e29). The
// drawback is that, after many failed calls, further calls are delayed although the dependency has recovered.
func (l *callLimiter) timeBudget(now time.Duration, calling int, collapseLimit float64) time.Duration {
	inFlight := float64(calling + 1)
	if inFlight > math.Min(maxCallsPerCore*l.cores, collapseLimit) {
		return 0
	}
	if l.downstream != DownstreamShared || l.share <= 0 {
		return unlimitedCallTime
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

// onNeedsCall queues a request that has reached its call.
func (c *Controller) onNeedsCall(now time.Duration, r *request) {
	c.stall.recordProgress(now)
	c.awaitCall(now, r)
	c.calls.waiting = append(c.calls.waiting, r)
}

// onCallEnded resumes a request after a successful call. After a failed one it retries the call, skips it or abandons
// the request.
func (c *Controller) onCallEnded(now time.Duration, r *request, e *Event) {
	c.stall.recordProgress(now)
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

// mayRetryCall reports whether a call whose connection was lost is retried: only once, and only if the request is
// replayable and an answer without the call has no value. The retry compensates for corrupt responses. It is no
// remedy for a failing tier, which loses the connections of all calls. Rejected calls are not retried: the edge node
// in front of the tier has already tried other servers, and each attempt makes the tier read the request again
// (incident i715a4f).
func (c *Controller) mayRetryCall(r *request) bool {
	return r.handler.replayable() && r.handler.skipValue == 0 && !r.callRetried && r.needsAnswer()
}

// skipOrAbandon continues a request without its call if the answer still has value, and abandons it otherwise.
func (c *Controller) skipOrAbandon(now time.Duration, r *request) {
	if r.handler.skipValue > 0 && r.answer == noAnswer && !r.clientGone {
		c.skipCall(now, r)
		return
	}
	c.abandon(r)
}

// placeCalls lets waiting requests make their calls, oldest first, within the limits.
func (c *Controller) placeCalls(now time.Duration) {
	undecided := c.calls.waiting[:0]
	for _, r := range c.calls.waiting {
		if r.state != stateAwaitingCall || !r.needsAnswer() {
			continue
		}
		if !c.tryCall(now, r) {
			undecided = append(undecided, r)
		}
	}
	clear(c.calls.waiting[len(undecided):])
	c.calls.waiting = undecided
}

// tryCall lets a waiting request make its call, or skips the call or abandons the request if the call is no longer
// worthwhile. It reports false if the request must continue to wait.
func (c *Controller) tryCall(now time.Duration, r *request) bool {
	timeBudget := c.calls.timeBudget(now, c.requests.calling(), c.concurrency.collapseLimit(now))
	switch {
	case timeBudget == 0 && r.handler.skipValue > 0 && c.cannotMeetTarget(now, r):
		c.skipOrAbandon(now, r)
	case timeBudget == 0:
		return false
	case now+fromSeconds(minRunShare*c.calls.meanTime) > r.deadline:
		c.skipOrAbandon(now, r) // the answer would come too late, and the dependency would read the call in vain
	default:
		c.placeCall(now, r, max(min(r.deadline-now, timeBudget), time.Millisecond))
	}
	return true
}
