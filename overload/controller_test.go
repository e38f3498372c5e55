package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// retained says how much a controller keeps.
type retained struct{ active, ordered, edgeNodes, neverRan, remembered int }

func retainedBy(c *Controller) retained {
	return retained{
		active:     len(c.requests.byID),
		ordered:    len(c.requests.ordered),
		edgeNodes:  len(c.edgeNodes.byNumber),
		neverRan:   len(c.repeats.neverRan),
		remembered: len(c.repeats.remembered),
	}
}

// TestRetention: of requests, edge nodes and idempotency entries that are always new nothing stays longer than it counts.
func TestRetention(t *testing.T) {
	c := New(1, standardSettings(), 0)
	for i := range 100000 {
		now := time.Duration(i) * time.Millisecond
		id := uint64(i + 1)
		events := []Event{
			{Kind: Arrived, ID: id, EdgeNode: i, Handler: i % 3, SizeKB: 1, Hint: time.Millisecond},
			{Kind: Ended, ID: id - 5, Outcome: OK},
			{Kind: ClientGone, ID: id - 7},
		}
		if i%100 == 0 {
			events = append(events, Event{Kind: Timer, Gauges: []float64{0.5, 1}})
		}
		c.Handle(now, events)
	}
	kept := retainedBy(c)
	if kept.active > 10 || kept.ordered > 200 || kept.edgeNodes > 40000 || kept.neverRan > 3000 || kept.remembered > 2000 {
		t.Errorf("kept under load: %+v", kept)
	}
	for i := range uint64(10) { // what still runs
		c.Handle(100*time.Second, []Event{{Kind: Ended, ID: 99991 + i, Outcome: OK}})
	}
	for i := range 1000 {
		now := 100*time.Second + time.Duration(i)*100*time.Millisecond
		c.Handle(now, []Event{{Kind: Timer, Gauges: []float64{0, 0}}})
	}
	if kept := retainedBy(c); kept != (retained{}) {
		t.Errorf("kept after a while: %+v", kept)
	}
}

// TestRandomEvents: whatever happens, also what can't, the counts of the controller are those of its requests.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			settings := standardSettings()
			settings.Backend.Downstream = Downstream(random.IntN(3))
			settings.Backend.CallShare = 4
			settings.Backend.ReuseFor = time.Duration(random.IntN(2)) * time.Second
			settings.Handlers[0].SkipValue = float64(random.IntN(2))
			c := New(seed, settings, 0)
			now := time.Duration(0)
			for i := range 20000 {
				now += time.Duration(random.IntN(5)) * time.Millisecond
				c.Handle(now, []Event{randomEvent(random, uint64(i+1))})
				checkCounts(t, c)
				if t.Failed() {
					return
				}
			}
		})
	}
}

// randomEvent returns an event about one of the latest requests, mostly.
func randomEvent(random *rand.Rand, id uint64) Event {
	kind := EventKind(random.IntN(int(Drain))) + Arrived
	if kind == Drain && random.IntN(1000) > 0 {
		kind = Timer
	}
	if kind != Arrived {
		id -= uint64(random.IntN(40))
	}
	event := Event{Kind: kind, ID: id, Outcome: Outcome(random.IntN(int(NeverRan))) + OK}
	switch kind {
	case Arrived:
		event.Handler = random.IntN(4)
		event.SizeKB = float64(random.IntN(100)) / 4
		event.QueueDelay = time.Duration(random.IntN(300)) * time.Millisecond
		event.RepeatOf = max(id, 50) - 50 + uint64(random.IntN(100))
		event.Resource = "subject"
	case Timer:
		event.Gauges = []float64{random.Float64() * 1.2, float64(random.IntN(10))}
	case Drain:
		event.Remaining = 10 * time.Second
	}
	return event
}

// checkCounts compares what the controller counts with its requests.
func checkCounts(t *testing.T, c *Controller) {
	t.Helper()
	var counts [numStates]int
	queued := map[*handler]int{}
	usedKB := float64(len(c.repeats.remembered)) * c.memory.keySizeKB
	for _, r := range c.requests.ordered {
		if r.state != r.wanted || r.dirty {
			t.Errorf("request %d is left in state %d, wanted %d", r.id, r.state, r.wanted)
		}
		if r.state == stateEnded {
			continue
		}
		counts[r.state]++
		usedKB += c.memory.of(r, r.state)
		if r.state == stateQueued {
			queued[r.handler]++
		}
	}
	for _, r := range c.repeats.remembered {
		if r.rememberedTo == 0 { // forgotten since the last tick
			usedKB -= c.memory.keySizeKB
		}
	}
	for state, count := range counts {
		if state := requestState(state); state != stateEnded && c.requests.count[state] != count {
			t.Errorf("%d requests are counted in state %d, %d are", c.requests.count[state], state, count)
		}
	}
	for _, h := range c.handlers {
		if h.queued != queued[h] {
			t.Errorf("%d requests are counted in a queue, %d are", h.queued, queued[h])
		}
	}
	if math.Abs(c.memory.usedKB-usedKB) > 1e-6 {
		t.Errorf("%v KB are counted, %v are used", c.memory.usedKB, usedKB)
	}
}
