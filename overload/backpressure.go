package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file is the design's mechanism: search backpressure as in the documentation of OpenSearch, in enforced mode.
// An observer looks at the node at intervals. While the node is under duress, the running requests (tasks) that
// breach most limits of the resource trackers are cancelled, as far as the budgets for cancellations allow.

// Node duress.
const (
	observeInterval    = 100 * time.Millisecond // between observations; the design's
	successiveBreaches = 3                      // observations in a row over a threshold that mean duress; the source's
	cpuThreshold       = 0.9                    // busy share of the cores that is a breach; the source's
	memoryThreshold    = 0.7                    // share of the memory held by requests that is a breach; the source's
	maxObservedSpan    = 3 * observeInterval    // after a standstill the busy share tells nothing about the gap
)

// Resource trackers. The source's absolute times are shares of the client timeout here.
const (
	elapsedTimeShare    = 0.5   // of the client timeout: past where response targets stand
	cpuTimeShare        = 0.35  // of the client timeout: a run that needs this rarely ends in time
	memoryShare         = 0.005 // of the memory, from which one request is heavy; the source's
	memoryVariance      = 2.0   // times the moving average, from which one request is heavy; the source's
	totalMemoryShare    = 0.05  // of the memory, held by all running requests before memory counts; the source's
	movingAverageWindow = 100   // completed requests in the moving average of memory; the source's
)

// Budgets for cancellations.
const (
	cancellationRatio = 0.1   // cancellations per successful completion; the source's
	cancellationRate  = 0.003 // cancellations per millisecond; the source's
	cancellationBurst = 10.0  // cancellations in one observation, and what each budget saves up; the source's
)

// backpressure is the state of the mechanism.
type backpressure struct {
	breaches    int // observations in a row with a breach
	ratioTokens float64
	rateTokens  float64

	completedKB [movingAverageWindow]float64 // memory of the last completed requests, a ring
	completions int
}

func newBackpressure() backpressure {
	return backpressure{ratioTokens: cancellationBurst, rateTokens: cancellationBurst}
}

// underDuress reports whether the node has been over a threshold for long enough.
func (b *backpressure) underDuress() bool { return b.breaches >= successiveBreaches }

// observeNode counts breaches. Duress ends when both resources are under their thresholds.
func (b *backpressure) observeNode(busy float64, memory *memoryAccount) {
	b.breaches++
	if busy < cpuThreshold && memory.underThreshold(0) {
		b.breaches = 0
	}
}

// refillRate lets the budget over time grow.
func (b *backpressure) refillRate(span time.Duration) {
	b.rateTokens = math.Min(cancellationBurst, b.rateTokens+cancellationRate*float64(span/time.Millisecond))
}

// recordCompletion takes a request that has ended well into account.
func (b *backpressure) recordCompletion(memoryKB float64) {
	b.ratioTokens = math.Min(cancellationBurst, b.ratioTokens+cancellationRatio)
	b.completedKB[b.completions%movingAverageWindow] = memoryKB
	b.completions++
}

// movingAverage returns the mean memory of the last completed requests, and whether the window is full.
func (b *backpressure) movingAverage() (averageKB float64, full bool) {
	count := min(b.completions, movingAverageWindow)
	for _, kb := range b.completedKB[:count] {
		averageKB += kb / float64(count)
	}
	return averageKB, count == movingAverageWindow
}

// budget returns how many requests may be cancelled now.
func (b *backpressure) budget() int {
	return min(int(math.Min(b.ratioTokens, b.rateTokens)), cancellationBurst)
}

// spend takes one cancellation out of both budgets.
func (b *backpressure) spend() {
	b.ratioTokens--
	b.rateTokens--
}

// creditCPUTime estimates what each request on the cores has used since the last observation.
func (c *Controller) creditCPUTime(span time.Duration) {
	credit := time.Duration(float64(span) * c.gauges.busy * c.cores / math.Max(float64(c.requests.running()), c.cores))
	for _, r := range c.requests.ordered {
		if r.state == stateRunning {
			r.cpuTime += credit
		}
	}
}

// observe is one iteration of the observer: it looks for duress, and cancels the top requests if there is.
func (c *Controller) observe(now, span time.Duration) {
	b := &c.backpressure
	b.observeNode(c.gauges.busy, &c.memory)
	b.refillRate(span)
	if !b.underDuress() {
		return
	}
	candidates := c.cancellationCandidates(now)
	for _, r := range candidates[:min(b.budget(), len(candidates))] {
		b.spend()
		c.abandon(r)
	}
}

// cancellationCandidates returns the running requests that breach a limit, the one to be cancelled first in front:
// by the number of trackers breached, then by elapsed time.
func (c *Controller) cancellationCandidates(now time.Duration) []*request {
	limits := c.trackerLimits()
	var candidates []*request
	for _, r := range c.requests.ordered {
		if !r.wanted.admitted() || !r.needsAnswer() {
			continue
		}
		r.breaches = limits.breaches(now, r, c.memory.of(r, stateRunning))
		if r.breaches > 0 {
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *request) int {
		return cmp.Or(b.breaches-a.breaches, cmp.Compare(a.startedAt, b.startedAt))
	})
	return candidates
}

// trackerLimits are the limits of the resource trackers in one observation.
type trackerLimits struct {
	memoryCounts bool    // whether the memory tracker is in use
	minMemoryKB  float64 // by the size of the node
	variantKB    float64 // by the moving average
}

func (c *Controller) trackerLimits() trackerLimits {
	totalKB := 0.0
	for _, r := range c.requests.ordered {
		if r.wanted.admitted() {
			totalKB += c.memory.of(r, r.wanted)
		}
	}
	averageKB, full := c.backpressure.movingAverage()
	return trackerLimits{
		memoryCounts: full && totalKB >= totalMemoryShare*c.memory.totalKB,
		minMemoryKB:  memoryShare * c.memory.totalKB,
		variantKB:    memoryVariance * averageKB,
	}
}

// breaches returns how many trackers a running request breaches.
func (l *trackerLimits) breaches(now time.Duration, r *request, memoryKB float64) int {
	timeout := float64(r.handler.clientTimeout)
	count := 0
	if float64(now-r.startedAt) >= elapsedTimeShare*timeout {
		count++
	}
	if float64(r.cpuTime) >= cpuTimeShare*timeout {
		count++
	}
	if l.memoryCounts && memoryKB >= l.minMemoryKB && memoryKB >= l.variantKB {
		count++
	}
	return count
}
