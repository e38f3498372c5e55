package overload

import (
	"math"
	"time"
)

const (
	// limitGrowth is the part of the limit that is added a tick while cores are free: tenfold in a second.
	limitGrowth = 0.25
	// limitSmoothing is the weight of one tick's measurements: a second to follow a change.
	limitSmoothing = 0.1
	// latencyTolerance is recent over baseline latency that is still no reason to shrink.
	latencyTolerance = 1.5
	// contentionTolerance is the number of runs wanting each core that don't slow one another down much.
	contentionTolerance = 1.25
	// collapseMargin is the share of the requests at which the server collapses that may be in progress.
	collapseMargin = 0.85
)

// concurrencyLimit is the companion cap of the design: how many requests may want a core at the same time. It starts
// at the number of cores and is never less. Requests that wait for a call or for disk don't count.
type concurrencyLimit struct {
	cores          float64
	collapseFactor float64 // requests in progress per core at which the server collapses
	warmUp         warmUp

	limit      float64
	contention float64 // runs that wanted a core, averaged
}

func newConcurrencyLimit(cores float64, settings *Settings, now time.Duration) concurrencyLimit {
	return concurrencyLimit{
		cores:          cores,
		collapseFactor: settings.Rules.CollapseFactor.Or(math.Inf(1)),
		warmUp:         newWarmUp(settings, now),
		limit:          cores,
	}
}

// adapt moves the limit, once a tick. Latency hides a crowd where requests mostly wait for disk; what wants a core
// shows it, and whether one is free.
func (l *concurrencyLimit) adapt(now time.Duration, g *gauges, running, queued int, pace float64) {
	l.contention += limitSmoothing * (g.onCores(running) - l.contention)
	if g.busy < cpuThreshold && g.runnable < l.cores {
		if queued > 0 {
			l.limit += math.Max(1, l.limit*limitGrowth)
		}
	} else {
		ratio := math.Min(latencyTolerance*pace, contentionTolerance*l.cores/math.Max(1, l.contention))
		l.limit *= 1 - limitSmoothing*(1-math.Min(1, ratio))
	}
	l.limit = math.Max(l.cores, math.Min(l.limit, l.collapse(now)))
}

// collapse returns how many requests may be in progress so that the cores survive all of them at once, cold or warm.
func (l *concurrencyLimit) collapse(now time.Duration) float64 {
	return math.Max(1, collapseMargin*l.cores*(1+(l.collapseFactor-1)*l.warmUp.capacity(now)))
}

// signalRoom is the number of requests that the server has room for, as an allowance counts it.
func (l *concurrencyLimit) signalRoom() float64 { return l.limit + l.cores }
