package overload

import (
	"testing"
	"time"
)

// BenchmarkHandle measures a batch under steady load: one request arrives, another ends, and every 25th batch
// contains a Timer event.
func BenchmarkHandle(b *testing.B) {
	b.ReportAllocs()
	c := New(1, standardSettings(), 0)
	events := make([]Event, 0, 3)
	gauges := []float64{0.5, 1}
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		id := uint64(i + 1)
		events = append(events[:0],
			Event{Kind: Arrived, ID: id, EdgeNode: i % 8, Handler: i % 3, SizeKB: 1, Hint: time.Millisecond},
			Event{Kind: Ended, ID: id - 5, Outcome: OK},
		)
		if i%25 == 0 {
			events = append(events, Event{Kind: Timer, Gauges: gauges})
		}
		c.Handle(now, events)
	}
}
