package overload

import "time"

const (
	crowdedConnections  = 16.0                   // connections per core: with more they cost noticeable time
	rareInterval        = 5 * time.Second        // an edge node that sends less often may as well connect anew
	shortIdleTimeout    = 200 * time.Millisecond // a retry or a burst still finds the connection open
	floodRejectedShare  = 0.8                    // rejected share from which new connections cost more than what is served
	normalRejectedShare = 0.5                    // rejected share under which such a flood is over
)

// idleConnections decides how long connections may be idle. It guards against a table full of idle connections,
// which taxes the cores and has no room for newcomers. In a flood it may fill: newcomers without room are refused
// unread (incident h7a8613). It is a loss where a new connection costs far more than here.
type idleConnections struct {
	timeout       time.Duration // as last ordered, 0 for the adapter's own
	wantedTimeout time.Duration
}

// adapt decides once a tick, by the number of edge nodes, the requests that came in the window, and the share rejected.
func (i *idleConnections) adapt(cores, edgeNodes, arrivals, rejectedShare float64) {
	maxRejected := normalRejectedShare
	if i.wantedTimeout > 0 {
		maxRejected = floodRejectedShare
	}
	i.wantedTimeout = 0
	crowded := edgeNodes > crowdedConnections*cores
	rare := arrivals*rareInterval.Seconds() <= edgeNodes*windowBuckets*bucketWidth.Seconds()
	if crowded && rejectedShare < maxRejected && rare {
		i.wantedTimeout = shortIdleTimeout
	}
}
