package overload

import (
	"testing"
	"time"
)

// TestRenumberedEdgeNodes checks that the allowance hardly depends on whether the edge nodes keep their numbers or
// get new ones every two seconds, where one edge node sends as much as six others together.
func TestRenumberedEdgeNodes(t *testing.T) {
	lasting := finalAllowance(false)
	renumbered := finalAllowance(true)
	if lasting < 14 || renumbered < 0.75*lasting {
		t.Errorf("signal %.1f with permanent numbers, %.1f with changing ones", lasting, renumbered)
	}
}

// finalAllowance plays 30 s of arrivals and returns the value of the last Signal action.
func finalAllowance(renumbered bool) float64 {
	const busiest = 7
	settings := standardSettings()
	settings.Backend.Signal = SignalAllowance
	settings.Backend.EdgeNodes = 8
	settings.Backend.Cores = 16
	c := New(1, settings, 0)
	last := 0.0
	for i := range 3000 {
		now := time.Duration(i) * 10 * time.Millisecond
		id := uint64(i + 1)
		number := (i*7%12 + 1) / 2 // 1 to 6 for odd i
		if i%2 == 0 {
			number = busiest
		}
		if renumbered {
			number += i / 200 * 8
		}
		events := []Event{
			{Kind: Arrived, ID: id, EdgeNode: number, SizeKB: 1},
			{Kind: Ended, ID: id - 3, Outcome: OK},
		}
		if i%10 == 0 {
			events = append(events, Event{Kind: Timer, Gauges: []float64{0.1, 1}})
		}
		for _, action := range c.Handle(now, events) {
			if action.Kind == Signal {
				last = action.Value
			}
		}
	}
	return last
}
