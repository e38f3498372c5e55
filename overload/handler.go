package overload

import (
	"cmp"
	"math"
	"time"
)

const (
	// baselineGrowth is the growth factor of a baseline per tick, 30% per minute. The growth corrects a baseline that
	// has become too low, and is slow enough that a temporary slowdown hardly changes the baseline.
	baselineGrowth = 1.0005
	// minHandlerValue is the lower bound of a handler's value, so that each queue gets some turns.
	minHandlerValue = 0.01
)

// handler contains the settings, the queue and the latency statistics of one kind of request.
type handler struct {
	clientTimeout  time.Duration
	responseTarget time.Duration // from arrival to the answer; in a lower tier, the part that is left for this tier
	window         time.Duration // time after arrival during which repeats may arrive
	value          float64
	lateValue      float64 // share of the value that an answer after the target has
	skipValue      float64 // share of the value that an answer without the call has
	idempotency    Idempotency

	queue  handlerQueue
	queued int // number of requests in the wanted state queued

	runTimes        slidingWindow // in seconds, without calls
	totalTimes      slidingWindow // in seconds, with calls
	arrivals        slidingWindow // the value 1 for each request
	costHints       slidingWindow // in seconds, the hints that requests carry
	baselineRunTime float64       // lowest mean of runTimes in seconds, 0 while unknown; grows slowly
}

func newHandler(s *Handler, tier float64) *handler {
	clientTimeout, target := s.TimeLimits()
	// A server of the tier above needs part of the time for its own work and its other calls, so an answer that a
	// lower tier sends just before the target is late for the client.
	target = time.Duration(float64(target) / (1 + math.Max(0, tier)))
	return &handler{
		clientTimeout:  clientTimeout,
		responseTarget: target,
		window:         s.Window,
		value:          math.Max(minHandlerValue, s.Value.Or(1)),
		lateValue:      s.LateValue,
		skipValue:      s.SkipValue,
		idempotency:    s.Idempotency,
	}
}

// newUnknownHandler returns a handler for requests whose handler is missing from the settings. It assumes that they
// must not run twice.
func newUnknownHandler() *handler {
	return &handler{
		clientTimeout:  DefaultClientTimeout,
		responseTarget: DefaultClientTimeout,
		value:          1,
		idempotency:    NonReplayable,
	}
}

// replayable reports whether the handler's requests may run more than once.
func (h *handler) replayable() bool {
	return h.idempotency != NonReplayable && h.idempotency != Deduplicated
}

// recordRun updates the statistics with the duration of a run.
func (h *handler) recordRun(now time.Duration, r *request) {
	h.runTimes.add(now, (now - r.startedAt - r.callTime).Seconds())
	h.totalTimes.add(now, (now - r.startedAt).Seconds())
}

// updateBaseline updates the baseline from the mean run time, once per tick.
func (h *handler) updateBaseline(now time.Duration) {
	if mean, count := h.runTimes.mean(now); count >= minSamples {
		h.baselineRunTime = math.Min(cmp.Or(h.baselineRunTime*baselineGrowth, mean), mean)
	}
}

// recentRunTime returns the recent mean duration of a run in seconds, without its calls, or the baseline if there are
// too few samples.
func (h *handler) recentRunTime(now time.Duration) float64 {
	if mean, count := h.runTimes.mean(now); count >= minSamples {
		return mean
	}
	return h.baselineRunTime
}

// expectedTime returns the expected duration of a run in seconds, including its calls. costScale applies only to the
// work of the run itself.
func (h *handler) expectedTime(now time.Duration, costScale float64) float64 {
	run := h.recentRunTime(now)
	if total, count := h.totalTimes.mean(now); count >= minSamples {
		return total + run*(costScale-1)
	}
	return run * costScale
}

// baselineLatencyRatio returns the ratio of baseline to recent latency over all handlers: 1 at normal speed, less
// when runs are slower.
func baselineLatencyRatio(now time.Duration, handlers []*handler) float64 {
	baseline := 0.0
	recent := 0.0
	for _, h := range handlers {
		if sum, count := h.runTimes.sum(now); count >= minSamples {
			baseline += h.baselineRunTime * count
			recent += sum
		}
	}
	if recent == 0 {
		return 1
	}
	return baseline / recent
}
