package loadbalance

import "time"

// State is the state of a peer.
//
//	state       event                                                     next
//	InService   MaxConsecutiveFaults faults in a row, ejection permitted  Ejected
//	Ejected     a pick after the end of the ejection time                 Recovering
//	Recovering  a fault                                                   Ejected, for twice as long, up to MaxEjectionTime
//	Recovering  TrialSuccesses answered calls                             InService
//
// An ejection is permitted if MinHealthyShare of the peers, and at least one, stay in service.
type State uint8

// The states.
const (
	InService  State = iota
	Ejected          // the peer receives no calls
	Recovering       // on trial: the peer receives a share of the calls, one at a time
)

// stateNames are the names of the states in reports and counters.
var stateNames = [...]string{
	InService:  "in",
	Ejected:    "out",
	Recovering: "trial",
}

// String returns the name of the state.
func (s State) String() string { return stateNames[min(s, Recovering)] }

// ejectionResetFactor times the last ejection time is how long a peer must be in service before it counts as never ejected.
const ejectionResetFactor = 2.0

// Target is a peer with its state in a Balancer. Calls keep a reference to it until they end.
type Target struct {
	Peer
	State       State
	Outstanding int  // calls for which Done was not called yet
	Removed     bool // no longer configured: the peer receives no more calls

	lastPick             uint64 // number of the last pick of this peer among all picks; 0 if never picked
	consecutiveFaults    int
	consecutiveOverloads int // consecutive answers that the peer accepts no more calls

	consecutiveEjections int           // ejections since the peer was last in service for long enough
	lastEjectionTime     time.Duration // duration of the last ejection
	ejectedUntil         time.Duration // Ejected: when the trial may start
	trialSuccesses       int           // Recovering: calls of the trial that the peer has answered
	recoveredAt          time.Duration // InService: when the last trial ended
}

// configure sets the configuration of the peer, with defaults for fields that are zero.
func (t *Target) configure(peer Peer) {
	peer.Weight = valueOr(peer.Weight, defaultWeight)
	peer.MaxCalls = valueOr(peer.MaxCalls, defaultMaxCalls)
	t.Peer = peer
	t.Removed = false
}

// NeedsHealthCheck reports whether the caller must send the peer a health check before a call.
func (t *Target) NeedsHealthCheck() bool { return t.consecutiveFaults > 0 || t.State == Recovering }

// unhealthy reports whether the peer has had limit or more consecutive faults, or as many consecutive rejections.
func (t *Target) unhealthy(limit int) bool {
	return t.consecutiveFaults >= limit || t.consecutiveOverloads >= limit
}

// servesRoute reports whether the peer is in service and is the one for sticky calls of the route.
func (t *Target) servesRoute(sticky string) bool {
	return sticky != "" && t.Route == sticky && t.State == InService
}

// lessLoaded reports whether the peer is preferred over other: with one more call it has fewer outstanding calls relative to
// its weight, or as many and an earlier last pick.
func (t *Target) lessLoaded(other *Target) bool {
	load, otherLoad := t.loadWithCall(), other.loadWithCall()
	if load != otherLoad {
		return load < otherLoad
	}
	return t.lastPick < other.lastPick
}

// loadWithCall returns the load of the peer with one more call: outstanding calls divided by weight.
func (t *Target) loadWithCall() float64 { return float64(t.Outstanding+1) / t.Weight }

// eject takes the peer out of service for a duration.
func (t *Target) eject(now, duration time.Duration) {
	t.State = Ejected
	t.ejectedUntil = now + duration
	t.lastEjectionTime = duration
	t.consecutiveEjections++
	t.consecutiveFaults = 0
	t.consecutiveOverloads = 0
}

// beginTrial starts the trial of an ejected peer.
func (t *Target) beginTrial() {
	t.State = Recovering
	t.trialSuccesses = 0
}

// recover returns a peer to service after its trial.
func (t *Target) recover(now time.Duration) {
	t.State = InService
	t.recoveredAt = now
}

// resetEjections makes the next ejection count as a first one if the peer has been in service for long enough.
func (t *Target) resetEjections(now time.Duration) {
	resetAfter := time.Duration(ejectionResetFactor * float64(t.lastEjectionTime))
	if t.State == InService && t.consecutiveEjections > 0 && now-t.recoveredAt >= resetAfter {
		t.consecutiveEjections = 0
	}
}
