package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// retainedCounts contains the sizes of the controller's collections.
type retainedCounts struct{ active, ordered, edgeNodes, neverRan, withEntry int }

func countRetained(c *Controller) retainedCounts {
	return retainedCounts{
		active:    len(c.requests.byID),
		ordered:   len(c.requests.byArrival),
		edgeNodes: len(c.edgeNodes.byNumber),
		neverRan:  len(c.repeats.neverRan),
		withEntry: len(c.repeats.withEntry),
	}
}

// TestRetention checks that the controller does not retain requests, edge nodes and idempotency entries for longer
// than it needs them, while their numbers and IDs are always new.
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
	kept := countRetained(c)
	if kept.active > 10 || kept.ordered > 200 || kept.edgeNodes > 40000 || kept.neverRan > 3000 || kept.withEntry > 2000 {
		t.Errorf("retained under load: %+v", kept)
	}
	for i := range uint64(10) { // the requests that are still running
		c.Handle(100*time.Second, []Event{{Kind: Ended, ID: 99991 + i, Outcome: OK}})
	}
	for i := range 1000 {
		now := 100*time.Second + time.Duration(i)*100*time.Millisecond
		c.Handle(now, []Event{{Kind: Timer, Gauges: []float64{0, 0}}})
	}
	if kept := countRetained(c); kept != (retainedCounts{}) {
		t.Errorf("retained after 100 s without load: %+v", kept)
	}
}

// TestRandomEvents checks that the controller's counts match its requests after any sequence of events, including
// impossible ones.
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

// randomEvent returns an event, most often about one of the latest requests.
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

// checkCounts compares the controller's counts with its requests.
func checkCounts(t *testing.T, c *Controller) {
	t.Helper()
	var counts [numStates]int
	queued := map[*handler]int{}
	usedKB := float64(len(c.repeats.withEntry)) * c.memory.keySizeKB
	for _, r := range c.requests.byArrival {
		if r.state != r.wantedState || r.dirty {
			t.Errorf("request %d remains in state %d, wanted state %d", r.id, r.state, r.wantedState)
		}
		if r.state == stateEnded {
			continue
		}
		counts[r.state]++
		usedKB += c.memory.usageOf(r, r.state)
		if r.state == stateQueued {
			queued[r.handler]++
		}
	}
	for _, r := range c.repeats.withEntry {
		if r.entryExpiresAt == 0 { // removed since the last tick
			usedKB -= c.memory.keySizeKB
		}
	}
	for state, count := range counts {
		if state := requestState(state); state != stateEnded && c.requests.countByState[state] != count {
			t.Errorf("%d requests counted in state %d, actual number %d", c.requests.countByState[state], state, count)
		}
	}
	for _, h := range c.handlers {
		if h.queued != queued[h] {
			t.Errorf("%d requests counted in a queue, actual number %d", h.queued, queued[h])
		}
	}
	if math.Abs(c.memory.usedKB-usedKB) > 1e-6 {
		t.Errorf("%v KB counted, %v KB in use", c.memory.usedKB, usedKB)
	}
}
