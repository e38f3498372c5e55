package overload

import (
	"math"
	"time"
)

// The load signal.
const (
	signalPace     = 0.2  // relative change of the wanted load a tick for a unit of pressure
	signalMaxDown  = 0.93 // least factor a tick: halved in a second, as long as it lasts
	signalMaxUp    = 1.05 // greatest factor a tick: slower up than down
	minWantedLoad  = 0.05 // some requests must come, or the recovery isn't seen
	signalStep     = 0.05 // relative change under which the signal stays as it is
	targetPressure = 0.45 // share of the time for waiting that may be used before the load is too much
	delaySmoothing = 0.1  // weight of one arrival in the time unread: some ten count
	minWaitRoom    = 0.01 // seconds; the least time for waiting that pressure is measured against
)

// loadSignal holds how much load the server wants.
type loadSignal struct {
	meaning    SignalMeaning
	wantedLoad float64 // share of the usual load
	unread     float64 // recent time that requests lay unread, in seconds
	sent       float64 // value last sent
}

func newLoadSignal(meaning SignalMeaning) loadSignal {
	return loadSignal{meaning: meaning, wantedLoad: 1}
}

// recordArrival takes into account how long a request lay unread.
func (s *loadSignal) recordArrival(delay time.Duration) {
	s.unread += delaySmoothing * (delay.Seconds() - s.unread)
}

// adapt moves the wanted load, once a tick, by the pressure: how much of the time for waiting is used. It moves
// slowly: clients that leave at once come back at once. A server that warms up wants no more than its capacity.
func (s *loadSignal) adapt(pressure, capacity float64) {
	s.unread *= arrivalFade
	s.wantedLoad *= math.Max(signalMaxDown, math.Min(signalMaxUp, 1+signalPace*(targetPressure-pressure)))
	s.wantedLoad = math.Max(minWantedLoad, math.Min(capacity, s.wantedLoad))
}

// worthSending reports whether a value differs enough from the one last sent. The ends are always sent.
func (s *loadSignal) worthSending(value float64) bool {
	if s.sent == value {
		return false
	}
	return value == 0 || math.Abs(value-s.sent) > signalStep*s.sent || s.wantedLoad == 1
}

// pressure returns the largest share, over the handlers, of the time for waiting that is used by waiting.
func (c *Controller) pressure(now time.Duration) float64 {
	pressure := 0.0
	for _, h := range c.handlers {
		room := finishShare*h.responseTarget.Seconds() - h.expectedTime(now, 1)
		pressure = math.Max(pressure, (c.expectedWait(now, h)+c.signal.unread)/math.Max(minWaitRoom, room))
	}
	return pressure
}

// wantedSignal returns the value that should ride on answers, in the meaning that the settings give it.
func (c *Controller) wantedSignal() float64 {
	load := c.signal.wantedLoad
	if !c.healthy() {
		load = 0
	}
	switch c.signal.meaning {
	case SignalFloor:
		return 1 - load
	case SignalAllowance:
		// This server's room over the edge nodes. Split evenly it starves the busiest while cores are free, and no
		// work is queued that would show it. Edge nodes that all turn busy at once find too much room.
		return load * math.Max(1, c.concurrency.signalRoom()/math.Max(1, c.edgeNodes.equivalent))
	}
	return load
}
