package overload

import "math"

const (
	arrivalDecay       = 0.98 // factor per tick for arrival counts, so that they cover about 5 s
	decayWindowTicks   = 50.0 // number of ticks that a count with this factor covers, 1/(1-arrivalDecay)
	minTrackedArrivals = 0.01 // decayed count below which an edge node is removed
	edgeNodeSmoothing  = 0.1  // weight of one tick in the effective number of edge nodes
	minRateTicks       = 1    // minimum number of ticks over which a rate is computed
)

// edgeNode contains the arrival statistics of one edge node. A node gets a new number with each restart.
type edgeNode struct {
	arrivals float64 // decayed count
	ticks    float64 // decayed count of the ticks since the first arrival
}

// edgeNodeActivity estimates the effective number of edge nodes: how many nodes as busy as the busiest one would send
// the present load.
type edgeNodeActivity struct {
	configured float64 // number of edge nodes in the settings
	effective  float64
	byNumber   map[int]edgeNode
	total      edgeNode // sum over all edge nodes
}

func newEdgeNodeActivity(configured float64) edgeNodeActivity {
	return edgeNodeActivity{
		configured: configured,
		effective:  configured,
		byNumber:   map[int]edgeNode{},
	}
}

// recordArrival counts a request from an edge node.
func (a *edgeNodeActivity) recordArrival(number int) {
	node := a.byNumber[number]
	node.arrivals++
	a.byNumber[number] = node
	a.total.arrivals++
}

// adapt updates the estimate, once per tick. If there are more numbers than edge nodes, the numbers are short-lived,
// so each rate covers only the lifetime of its number, although a rate from few arrivals is imprecise.
func (a *edgeNodeActivity) adapt() {
	busiest := 0.0
	minTicks := math.Max(minRateTicks, decayWindowTicks*math.Min(1, a.configured/float64(len(a.byNumber))))
	for number, node := range a.byNumber { // computes a maximum and removes nodes: the order doesn't matter
		busiest = math.Max(busiest, node.rate(minTicks))
		a.byNumber[number] = node.decayed()
		if node.arrivals < minTrackedArrivals {
			delete(a.byNumber, number)
		}
	}
	if busiest > 0 {
		a.effective += edgeNodeSmoothing * (math.Min(a.configured, a.total.rate(minTicks)/busiest) - a.effective)
	}
	a.total = a.total.decayed()
}

// rate returns the arrivals per tick, over at least minTicks.
func (n edgeNode) rate(minTicks float64) float64 { return n.arrivals / math.Max(n.ticks, minTicks) }

// decayed returns the statistics after one more tick.
func (n edgeNode) decayed() edgeNode {
	return edgeNode{arrivals: n.arrivals * arrivalDecay, ticks: n.ticks*arrivalDecay + 1}
}
