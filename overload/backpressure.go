package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file implements search backpressure as documented by OpenSearch, in enforced mode. An observer samples the node
// at intervals. While the node is under duress, it cancels the running requests (tasks in OpenSearch) that breach the
// most limits of the resource trackers, as far as the cancellation budgets allow.

// Thresholds of node duress. successiveBreaches, cpuThreshold and memoryThreshold are the defaults that OpenSearch
// documents. observationInterval and maxObservedSpan are this project's; the span is capped because, after a
// standstill, the busy share of the cores does not describe the gap.
const (
	observationInterval = 100 * time.Millisecond  // between two observations
	successiveBreaches  = 3                       // consecutive observations with a breach that make up duress
	cpuThreshold        = 0.9                     // busy share of the cores, breached from this value on
	memoryThreshold     = 0.7                     // share of the memory held by requests, breached from this value on
	maxObservedSpan     = 3 * observationInterval // cap on the time credited to one observation
)

// Limits of the resource trackers. The memory limits and movingAverageWindow are the defaults that OpenSearch
// documents. The time limits are this project's, as shares of the client timeout, because OpenSearch's are absolute:
// elapsedTimeShare is past the usual response targets, and a run that reaches cpuTimeShare rarely ends in time.
const (
	elapsedTimeShare    = 0.5   // of the client timeout
	cpuTimeShare        = 0.35  // of the client timeout
	memoryShare         = 0.005 // of the node's memory; a request breaches only with at least this much
	memoryVariance      = 2.0   // multiple of the moving average; a request breaches only with at least this much
	totalMemoryShare    = 0.05  // of the node's memory; the memory tracker is inactive while running requests hold less
	movingAverageWindow = 100   // number of completed requests in the moving average of memory
)

// Cancellation budgets. All values are the defaults that OpenSearch documents.
const (
	cancellationRatio = 0.1   // cancellations per successful completion
	cancellationRate  = 0.003 // cancellations per millisecond
	cancellationBurst = 10.0  // maximum cancellations per observation, and capacity of each budget
)

// backpressure is the state of the observer: node duress, cancellation budgets and the moving average of memory.
type backpressure struct {
	consecutiveBreaches int // observations in a row with a breach
	ratioTokens         float64
	rateTokens          float64

	completedMemoryKB [movingAverageWindow]float64 // ring buffer of the memory of the last completed requests
	completions       int
}

func newBackpressure() backpressure {
	return backpressure{ratioTokens: cancellationBurst, rateTokens: cancellationBurst}
}

// underDuress reports whether the thresholds have been breached in enough consecutive observations.
func (b *backpressure) underDuress() bool { return b.consecutiveBreaches >= successiveBreaches }

// recordObservation counts consecutive breaches. The count restarts when both CPU and memory are below their
// thresholds.
func (b *backpressure) recordObservation(busy float64, memory *memoryAccount) {
	b.consecutiveBreaches++
	if busy < cpuThreshold && memory.underThreshold(0) {
		b.consecutiveBreaches = 0
	}
}

// refillRateBudget refills the rate budget for the elapsed time.
func (b *backpressure) refillRateBudget(span time.Duration) {
	b.rateTokens = math.Min(cancellationBurst, b.rateTokens+cancellationRate*float64(span/time.Millisecond))
}

// recordCompletion refills the ratio budget and updates the moving average with a request that completed
// successfully.
func (b *backpressure) recordCompletion(memoryKB float64) {
	b.ratioTokens = math.Min(cancellationBurst, b.ratioTokens+cancellationRatio)
	b.completedMemoryKB[b.completions%movingAverageWindow] = memoryKB
	b.completions++
}

// movingAverage returns the mean memory of the last completed requests, and whether the window is full.
func (b *backpressure) movingAverage() (averageKB float64, full bool) {
	count := min(b.completions, movingAverageWindow)
	for _, kb := range b.completedMemoryKB[:count] {
		averageKB += kb / float64(count)
	}
	return averageKB, count == movingAverageWindow
}

// budget returns how many requests may be cancelled now.
func (b *backpressure) budget() int {
	return min(int(math.Min(b.ratioTokens, b.rateTokens)), cancellationBurst)
}

// spendCancellation takes one cancellation from both budgets.
func (b *backpressure) spendCancellation() {
	b.ratioTokens--
	b.rateTokens--
}

// creditCPUTime adds to each running request its estimated CPU time since the last observation.
func (c *Controller) creditCPUTime(span time.Duration) {
	credit := time.Duration(float64(span) * c.gauges.busy * c.cores / math.Max(float64(c.requests.running()), c.cores))
	for _, r := range c.requests.byArrival {
		if r.state == stateRunning {
			r.cpuTime += credit
		}
	}
}

// observe performs one observation: it updates the duress state and, under duress, cancels the first candidates
// within the budgets.
func (c *Controller) observe(now, span time.Duration) {
	b := &c.backpressure
	b.recordObservation(c.gauges.busy, &c.memory)
	b.refillRateBudget(span)
	if !b.underDuress() {
		return
	}
	candidates := c.cancellationCandidates(now)
	for _, r := range candidates[:min(b.budget(), len(candidates))] {
		b.spendCancellation()
		c.abandon(r)
	}
}

// cancellationCandidates returns the started requests that breach at least one tracker, in the order of cancellation:
// by number of breached trackers, then by elapsed time, highest first.
func (c *Controller) cancellationCandidates(now time.Duration) []*request {
	limits := c.trackerLimits()
	var candidates []*request
	for _, r := range c.requests.byArrival {
		if !r.wantedState.startedOrEnded() || !r.needsAnswer() {
			continue
		}
		r.trackerBreaches = limits.breaches(now, r, c.memory.usageOf(r, stateRunning))
		if r.trackerBreaches > 0 {
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *request) int {
		return cmp.Or(b.trackerBreaches-a.trackerBreaches, cmp.Compare(a.startedAt, b.startedAt))
	})
	return candidates
}

// trackerLimits contains the limits of the resource trackers for one observation.
type trackerLimits struct {
	memoryTrackerActive bool    // whether the memory tracker is in use
	nodeShareKB         float64 // memory limit as a share of the node's memory
	averageMultipleKB   float64 // memory limit as a multiple of the moving average
}

func (c *Controller) trackerLimits() trackerLimits {
	totalKB := 0.0
	for _, r := range c.requests.byArrival {
		if r.wantedState.startedOrEnded() {
			totalKB += c.memory.usageOf(r, r.wantedState)
		}
	}
	averageKB, full := c.backpressure.movingAverage()
	return trackerLimits{
		memoryTrackerActive: full && totalKB >= totalMemoryShare*c.memory.totalKB,
		nodeShareKB:         memoryShare * c.memory.totalKB,
		averageMultipleKB:   memoryVariance * averageKB,
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
	if l.memoryTrackerActive && memoryKB >= l.nodeShareKB && memoryKB >= l.averageMultipleKB {
		count++
	}
	return count
}
