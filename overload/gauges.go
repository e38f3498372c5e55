package overload

import (
	"math"
	"slices"
)

// gauges contains the measurements of the last Timer event.
type gauges struct {
	busyIndex     int // index in the event's gauges, -1 if missing
	runnableIndex int // index in the event's gauges, -1 if missing

	busy             float64 // share of the cores that were busy
	runnable         float64 // threads that occupied a core or waited for one
	startedSinceRead float64 // runs started since the last Timer event
}

func newGauges(order []Gauge) gauges {
	return gauges{
		busyIndex:     slices.Index(order, GaugeBusy),
		runnableIndex: slices.Index(order, GaugeRunnable),
	}
}

// read stores the gauges of a Timer event.
func (g *gauges) read(values []float64) {
	g.busy = gaugeAt(values, g.busyIndex)
	g.runnable = gaugeAt(values, g.runnableIndex)
	g.startedSinceRead = 0
}

// gaugeAt returns the value at an index, 0 if it is missing.
func gaugeAt(values []float64, index int) float64 {
	if index < 0 || index >= len(values) {
		return 0
	}
	return values[index]
}

// coreDemand returns how many of the running requests need a core. Only the gauge of runnable threads reveals
// requests that wait for disk I/O and don't need one. Counting those would leave cores idle at the concurrency limit
// (incidents i43a6e6, i4d5678). The drawback is that a gauge that lags far behind lets too many requests start, up to
// the collapse limit.
func (g *gauges) coreDemand(running int) float64 {
	if g.runnableIndex < 0 {
		return float64(running)
	}
	return math.Min(float64(running), g.runnable+g.startedSinceRead)
}
