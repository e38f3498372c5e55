package loadbalance

import "time"

// State is the state of a peer.
//
//	state       what happens                                           next
//	InService   MaxConsecutiveFaults in a row, and it can be spared    Ejected
//	Ejected     a pick after its ejection time                         Recovering
//	Recovering  a fault                                                Ejected, for twice as long
//	Recovering  TrialSuccesses                                         InService
//
// A peer can be spared while MinHealthyShare of the peers, and at least one, stay in service.
type State uint8

// The states.
const (
	InService  State = iota
	Ejected          // it gets no calls
	Recovering       // it is on trial: it gets a share of the calls, one at a time
)

// stateNames are the words of the states in counters.
var stateNames = [...]string{
	InService:  "in",
	Ejected:    "out",
	Recovering: "trial",
}

// String returns the state's word.
func (s State) String() string { return stateNames[min(s, Recovering)] }

// ejectionMemory is after how many times its last ejection time a peer that serves well counts as never ejected.
const ejectionResetFactor = 2.0

// Target is a peer as a Balancer knows it. Calls hold on to it until they end.
type Target struct {
	Peer
	State       State
	Outstanding int  // calls
	Removed     bool // no longer configured: it gets no more calls

	lastPick             uint64 // number of its last pick
	consecutiveFaults    int
	consecutiveOverloads int // it works, and takes nothing more

	consecutiveEjections int           // without good service between them
	lastEjectionTime     time.Duration // how long the last one was
	ejectedUntil         time.Duration // Ejected: when its trial may begin
	trialSuccesses       int           // Recovering: successful calls so far
	recoveredAt          time.Duration // InService: when its last trial ended
}

// adopt takes over the configuration of the peer.
func (t *Target) configure(peer Peer) {
	peer.Weight = valueOr(peer.Weight, defaultWeight)
	peer.MaxCalls = valueOr(peer.MaxCalls, defaultMaxCalls)
	t.Peer = peer
	t.Removed = false
}

// NeedsHealthCheck reports whether the peer is to be asked whether it works before it gets a call.
func (t *Target) NeedsHealthCheck() bool { return t.consecutiveFaults > 0 || t.State == Recovering }

// unhealthy reports whether the peer failed or declined so often in a row that it is of little use while it is in service.
func (t *Target) unhealthy(limit int) bool {
	return t.consecutiveFaults >= limit || t.consecutiveOverloads >= limit
}

// servesRoute reports whether sticky calls of the route go to the peer.
func (t *Target) servesRoute(sticky string) bool {
	return sticky != "" && t.Route == sticky && t.State == InService
}

// lessLoaded reports whether the peer comes before the other: with this call it would have fewer outstanding calls for its
// weight, or as many and its last pick is longer ago.
func (t *Target) lessLoaded(other *Target) bool {
	load, otherLoad := t.loadWithCall(), other.loadWithCall()
	if load != otherLoad {
		return load < otherLoad
	}
	return t.lastPick < other.lastPick
}

// loadWithCall returns the outstanding calls for the peer's weight, with one more.
func (t *Target) loadWithCall() float64 { return float64(t.Outstanding+1) / t.Weight }

// eject takes the peer out of service for a time.
func (t *Target) eject(now, duration time.Duration) {
	t.State = Ejected
	t.ejectedUntil = now + duration
	t.lastEjectionTime = duration
	t.consecutiveEjections++
	t.consecutiveFaults = 0
	t.consecutiveOverloads = 0
}

// beginTrial gives an ejected peer a share of the calls.
func (t *Target) beginTrial() {
	t.State = Recovering
	t.trialSuccesses = 0
}

// recover puts a peer back into service after its trial.
func (t *Target) recover(now time.Duration) {
	t.State = InService
	t.recoveredAt = now
}

// forgetEjections has the next ejection be a first one, if the peer has served well for long enough.
func (t *Target) resetEjections(now time.Duration) {
	memory := time.Duration(ejectionResetFactor * float64(t.lastEjectionTime))
	if t.State == InService && t.consecutiveEjections > 0 && now-t.recoveredAt >= memory {
		t.consecutiveEjections = 0
	}
}
