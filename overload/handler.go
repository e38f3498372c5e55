package overload

import (
	"cmp"
	"math"
	"time"
)

const (
	// baselineGrowth is the factor per tick by which a lowest mean grows: 30% a minute, so that it can be unlearned
	// and yet outlives a disturbance.
	baselineGrowth = 1.0005
	// minHandlerValue is the least value of a handler: each gets some turns.
	minHandlerValue = 0.01
)

// handler is one kind of request: its settings, its queue, and what is known of its latency.
type handler struct {
	clientTimeout  time.Duration
	responseTarget time.Duration // from arrival to the answer, for this tier's part
	window         time.Duration // after arrival in which repeats may come
	value          float64
	lateValue      float64 // share of the value that a late answer has
	skipValue      float64 // share of the value that an answer without the call has
	idempotency    Idempotency

	queue  handlerQueue
	queued int // requests whose wanted state is queued

	runTimes   slidingWindow // in seconds, without calls
	totalTimes slidingWindow // in seconds, with calls
	arrivals   slidingWindow // 1 for each
	costHints  slidingWindow // in seconds, as requests bring them
	baseline   float64       // lowest mean of runTimes in seconds, 0 before the first
}

func newHandler(s *Handler, tier float64) *handler {
	clientTimeout := s.ClientTimeout.Or(DefaultClientTimeout)
	target := min(s.ResponseTarget.Or(clientTimeout), clientTimeout)
	// Whoever calls a lower tier has the target for itself and its calls: an answer in the last moment is late.
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

// newUnknownHandler returns the handler of requests that the settings don't have: such work must not run twice.
func newUnknownHandler() *handler {
	return &handler{
		clientTimeout:  DefaultClientTimeout,
		responseTarget: DefaultClientTimeout,
		value:          1,
		idempotency:    NonReplayable,
	}
}

// replayable reports whether requests may run more than once.
func (h *handler) replayable() bool {
	return h.idempotency != NonReplayable && h.idempotency != Deduplicated
}

// recordRun takes the time of a run into account.
func (h *handler) recordRun(now time.Duration, r *request) {
	h.runTimes.add(now, (now - r.startedAt - r.callTime).Seconds())
	h.totalTimes.add(now, (now - r.startedAt).Seconds())
}

// updateBaseline follows the lowest mean run time, once a tick.
func (h *handler) updateBaseline(now time.Duration) {
	if mean, count := h.runTimes.mean(now); count >= minSamples {
		h.baseline = math.Min(cmp.Or(h.baseline*baselineGrowth, mean), mean)
	}
}

// runTime returns how many seconds a run takes of late, without its calls.
func (h *handler) runTime(now time.Duration) float64 {
	if mean, count := h.runTimes.mean(now); count >= minSamples {
		return mean
	}
	return h.baseline
}

// expectedTime returns how many seconds a run with its calls should take. The scale of a request's cost applies to
// the work of the run alone.
func (h *handler) expectedTime(now time.Duration, costScale float64) float64 {
	run := h.runTime(now)
	if total, count := h.totalTimes.mean(now); count >= minSamples {
		return total + run*(costScale-1)
	}
	return run * costScale
}

// pace returns baseline over recent latency of all handlers, which is 1 at the usual pace and less when slowed down.
func pace(now time.Duration, handlers []*handler) float64 {
	baseline := 0.0
	recent := 0.0
	for _, h := range handlers {
		if sum, count := h.runTimes.sum(now); count >= minSamples {
			baseline += h.baseline * count
			recent += sum
		}
	}
	if recent == 0 {
		return 1
	}
	return baseline / recent
}
