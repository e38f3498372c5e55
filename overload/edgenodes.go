package overload

import "math"

const (
	arrivalFade       = 0.98 // factor a tick on what is remembered of arrivals: 5 s count
	fadedTicks        = 50.0 // ticks that count with that factor
	forgottenArrivals = 0.01 // arrivals under which an edge node was seen so long ago that it is let go
	edgeNodeSmoothing = 0.1  // weight of one tick in the equivalent number of edge nodes
	minRateTicks      = 1    // least number of ticks that a rate is taken over
)

// edgeNode is what is remembered of an edge node's arrivals. One that restarts comes with a new number.
type edgeNode struct {
	arrivals float64 // faded
	ticks    float64 // since the first arrival, faded
}

// edgeNodeActivity estimates as how many edge nodes the present ones count if each were as busy as the busiest.
type edgeNodeActivity struct {
	known      float64 // edge nodes by the settings
	equivalent float64
	byNumber   map[int]edgeNode
	total      edgeNode // of all
}

func newEdgeNodeActivity(known float64) edgeNodeActivity {
	return edgeNodeActivity{
		known:      known,
		equivalent: known,
		byNumber:   map[int]edgeNode{},
	}
}

// recordArrival counts a request of an edge node.
func (a *edgeNodeActivity) recordArrival(number int) {
	node := a.byNumber[number]
	node.arrivals++
	a.byNumber[number] = node
	a.total.arrivals++
}

// adapt moves the estimate, once a tick. With more numbers than edge nodes none lasts, so each counts for its own
// time, although few arrivals tell little.
func (a *edgeNodeActivity) adapt() {
	busiest := 0.0
	minTicks := math.Max(minRateTicks, fadedTicks*math.Min(1, a.known/float64(len(a.byNumber))))
	for number, node := range a.byNumber { // a maximum and removals: the order doesn't matter
		busiest = math.Max(busiest, node.rate(minTicks))
		a.byNumber[number] = node.faded()
		if node.arrivals < forgottenArrivals {
			delete(a.byNumber, number)
		}
	}
	if busiest > 0 {
		a.equivalent += edgeNodeSmoothing * (math.Min(a.known, a.total.rate(minTicks)/busiest) - a.equivalent)
	}
	a.total = a.total.faded()
}

// rate returns the arrivals per tick, over at least so many ticks.
func (n edgeNode) rate(minTicks float64) float64 { return n.arrivals / math.Max(n.ticks, minTicks) }

// faded returns what is left after one tick.
func (n edgeNode) faded() edgeNode {
	return edgeNode{arrivals: n.arrivals * arrivalFade, ticks: n.ticks*arrivalFade + 1}
}
