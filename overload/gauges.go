package overload

import (
	"math"
	"slices"
)

// gauges are the measurements of the last Timer event.
type gauges struct {
	busyIndex     int // in the event's gauges, -1 if it has none
	runnableIndex int

	busy         float64 // share of the cores that were busy
	runnable     float64 // threads that had a core or waited for one
	startedSince float64 // runs that were started since
}

func newGauges(order []Gauge) gauges {
	return gauges{
		busyIndex:     slices.Index(order, GaugeBusy),
		runnableIndex: slices.Index(order, GaugeRunnable),
	}
}

// read takes over the gauges of a Timer event.
func (g *gauges) read(values []float64) {
	g.busy = gaugeAt(values, g.busyIndex)
	g.runnable = gaugeAt(values, g.runnableIndex)
	g.startedSince = 0
}

// gaugeAt returns one of the values, 0 if it was not measured.
func gaugeAt(values []float64, index int) float64 {
	if index < 0 || index >= len(values) {
		return 0
	}
	return values[index]
}

// onCores returns how many of the running requests want a core. Those that wait for disk don't, which shows in the
// gauge alone. It guards against idle cores while the concurrency limit is reached (incidents i43a6e6, i4d5678). A
// gauge that is far behind lets too many start, up to the collapse limit.
func (g *gauges) onCores(running int) float64 {
	if g.runnableIndex < 0 {
		return float64(running)
	}
	return math.Min(float64(running), g.runnable+g.startedSince)
}
