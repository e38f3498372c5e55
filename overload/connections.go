package overload

import "time"

const (
	crowdedConnectionsPerCore = 16.0                   // above this number, idle connections cost noticeable CPU time
	infrequentInterval        = 5 * time.Second        // an edge node that sends less often may as well reconnect
	shortIdleTimeout          = 200 * time.Millisecond // long enough for retries and bursts to reuse the connection
	floodRejectedShare        = 0.8                    // from this share on, new connections cost more than served requests
	normalRejectedShare       = 0.5                    // rejected share below which such a flood is over
)

// idleConnections sets the idle timeout of connections. A short timeout prevents idle connections from filling the
// connection table, which costs CPU time and leaves no room for new connections. During a flood the table may fill
// up, and connections without room are refused unread (incident h7a8613). The mechanism is a loss if a new connection
// costs far more than on this platform.
type idleConnections struct {
	timeout       time.Duration // from the last CloseIdle action, 0 for the adapter's default
	wantedTimeout time.Duration
}

// adapt chooses the timeout, once per tick, by the number of edge nodes, the arrivals in the window and the share of
// requests rejected.
func (i *idleConnections) adapt(cores, edgeNodes, arrivals, rejectedShare float64) {
	maxRejected := normalRejectedShare
	if i.wantedTimeout > 0 {
		maxRejected = floodRejectedShare
	}
	i.wantedTimeout = 0
	crowded := edgeNodes > crowdedConnectionsPerCore*cores
	infrequent := arrivals*infrequentInterval.Seconds() <= edgeNodes*windowBuckets*bucketWidth.Seconds()
	if crowded && rejectedShare < maxRejected && infrequent {
		i.wantedTimeout = shortIdleTimeout
	}
}
