package membership

import "cmp"

// State is the state of a node as the local node has recorded it.
type State uint8

// The states of a node. The numbers are part of the wire format, and their order decides which of two updates takes precedence: see Update.
const (
	Unknown State = iota // no message from it and no update on it was ever received
	Alive                // it answers probes
	Suspect              // it did not answer a probe, and can still refute the suspicion
	Dead                 // it did not refute the suspicion in time
	Left                 // it announced that it is leaving the cluster
)

var stateNames = [...]string{
	Unknown: "unknown",
	Alive:   "alive",
	Suspect: "suspected",
	Dead:    "dead",
	Left:    "left",
}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Update is the state of a node as one node reports it to others.
//
// Of two updates on the same node, the one with the higher Incarnation takes precedence, then the one with the higher Refutation, then the
// one with the higher State.
type Update struct {
	Name        string
	Incarnation uint64 // number of the node's process; a restart increases it
	Refutation  uint64 // increased by the node itself to refute a suspicion; SWIM's incarnation number
	State       State
}

// supersedes reports whether u takes precedence over other, an update on the same node.
func (u Update) supersedes(other Update) bool {
	order := cmp.Or(
		cmp.Compare(u.Incarnation, other.Incarnation),
		cmp.Compare(u.Refutation, other.Refutation),
		cmp.Compare(u.State, other.State),
	)
	return order > 0
}

// Change is a change in the recorded state of a node, with the update that it replaces.
type Change struct {
	Update
	Previous Update
}
