package overload

import (
	"math"
	"time"
)

// Constants of the load signal.
const (
	signalGain      = 0.2  // relative change of the wanted load per tick and unit of excess pressure
	minSignalFactor = 0.93 // lower limit of the change per tick: sustained pressure halves the load in a second
	maxSignalFactor = 1.05 // upper limit of the change per tick: the load rises more slowly than it falls
	minWantedLoad   = 0.05 // some requests must arrive, or a recovery can't be detected
	minSignalChange = 0.05 // relative change below which the signal is not updated
	targetPressure  = 0.45 // pressure above which the wanted load falls
	delaySmoothing  = 0.1  // weight of one arrival in the queue delay, which therefore covers about ten arrivals
	minWaitSlack    = 0.01 // seconds; lower limit of the waiting time that pressure is relative to
)

// loadSignal computes how much load the server wants.
type loadSignal struct {
	meaning    SignalMeaning
	wantedLoad float64 // share of the usual load
	queueDelay float64 // moving mean of the time that requests were in the input unread, in seconds
	lastSent   float64 // value of the last Signal action
}

func newLoadSignal(meaning SignalMeaning) loadSignal {
	return loadSignal{meaning: meaning, wantedLoad: 1}
}

// recordArrival updates the mean queue delay with that of a new request.
func (s *loadSignal) recordArrival(delay time.Duration) {
	s.queueDelay += delaySmoothing * (delay.Seconds() - s.queueDelay)
}

// adapt updates the wanted load, once per tick, from the pressure, which is the share of the available waiting time
// in use. The load changes slowly because clients that leave at once also return at once. The wanted load of a server
// that is warming up does not exceed its capacity.
func (s *loadSignal) adapt(pressure, capacity float64) {
	s.queueDelay *= arrivalDecay
	s.wantedLoad *= math.Max(minSignalFactor, math.Min(maxSignalFactor, 1+signalGain*(targetPressure-pressure)))
	s.wantedLoad = math.Max(minWantedLoad, math.Min(capacity, s.wantedLoad))
}

// shouldSend reports whether a value differs enough from the last one sent. The values for no load and for full load
// are always sent.
func (s *loadSignal) shouldSend(value float64) bool {
	if s.lastSent == value {
		return false
	}
	return value == 0 || math.Abs(value-s.lastSent) > minSignalChange*s.lastSent || s.wantedLoad == 1
}

// pressure returns the share of the available waiting time that waiting takes up, as the maximum over the handlers.
func (c *Controller) pressure(now time.Duration) float64 {
	pressure := 0.0
	for _, h := range c.handlers {
		slack := finishShare*h.responseTarget.Seconds() - h.expectedTime(now, 1)
		pressure = math.Max(pressure, (c.expectedWait(now, h)+c.signal.queueDelay)/math.Max(minWaitSlack, slack))
	}
	return pressure
}

// signalValue returns the load signal for responses, in the meaning that the settings define.
func (c *Controller) signalValue() float64 {
	load := c.signal.wantedLoad
	if !c.healthy() {
		load = 0
	}
	switch c.signal.meaning {
	case SignalFloor:
		return 1 - load
	case SignalAllowance:
		// The allowance is this server's capacity divided by the effective number of edge nodes. A division by their
		// total number would starve the busiest edge node while cores are idle, and no queue would reveal it. The
		// drawback is that the allowances are too high if all edge nodes become busy at once.
		return load * math.Max(1, c.concurrency.advertisedCapacity()/math.Max(1, c.edgeNodes.effective))
	}
	return load
}
