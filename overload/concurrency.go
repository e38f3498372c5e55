package overload

import (
	"math"
	"time"
)

const (
	// limitGrowth is the share of the limit that is added per tick while cores are idle. It allows a tenfold increase
	// in a second.
	limitGrowth = 0.25
	// limitSmoothing is the weight of the measurements of one tick. The limit follows a change within about a second.
	limitSmoothing = 0.1
	// latencyTolerance is the ratio of recent to baseline latency up to which the limit does not shrink.
	latencyTolerance = 1.5
	// contentionTolerance is the number of runs per core that need a core at the same time without slowing each other
	// down much.
	contentionTolerance = 1.25
	// collapseMargin is the share of the collapse point that the number of requests in progress may reach.
	collapseMargin = 0.85
)

// concurrencyLimit limits how many requests may need a core at the same time. It starts at the number of cores, which
// is also its minimum. Requests that wait for a call or for disk I/O don't count.
type concurrencyLimit struct {
	cores          float64
	collapseFactor float64 // requests in progress per core at which the server collapses
	warmUp         warmUp

	limit      float64
	contention float64 // moving mean of the runs that need a core
}

func newConcurrencyLimit(cores float64, settings *Settings, now time.Duration) concurrencyLimit {
	return concurrencyLimit{
		cores:          cores,
		collapseFactor: settings.Rules.CollapseFactor.Or(math.Inf(1)),
		warmUp:         newWarmUp(settings, now),
		limit:          cores,
	}
}

// adapt updates the limit, once per tick. Where requests mostly wait for disk I/O, latency does not reveal
// contention, so the number of runs that need a core is measured too, and whether a core is idle.
func (l *concurrencyLimit) adapt(now time.Duration, g *gauges, running, queued int, latencyRatio float64) {
	l.contention += limitSmoothing * (g.coreDemand(running) - l.contention)
	if g.busy < cpuThreshold && g.runnable < l.cores {
		if queued > 0 {
			l.limit += math.Max(1, l.limit*limitGrowth)
		}
	} else {
		ratio := math.Min(latencyTolerance*latencyRatio, contentionTolerance*l.cores/math.Max(1, l.contention))
		l.limit *= 1 - limitSmoothing*(1-math.Min(1, ratio))
	}
	l.limit = math.Max(l.cores, math.Min(l.limit, l.collapseLimit(now)))
}

// collapseLimit returns how many requests may be in progress such that the server does not collapse if all of them
// need a core at once, given its warm-up state.
func (l *concurrencyLimit) collapseLimit(now time.Duration) float64 {
	return math.Max(1, collapseMargin*l.cores*(1+(l.collapseFactor-1)*l.warmUp.capacity(now)))
}

// advertisedCapacity returns the number of requests that the server has room for, as the basis of an allowance
// signal.
func (l *concurrencyLimit) advertisedCapacity() float64 { return l.limit + l.cores }
