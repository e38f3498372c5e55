package membership

import "cmp"

// State is what is believed of a node.
type State uint8

// The states of a node. The numbers go over the wire, and their order decides between updates: see Update.
const (
	Unknown State = iota // nothing was ever heard of it
	Alive                // it answers
	Suspect              // it did not answer a probe, and may still refute that
	Dead                 // it did not refute the suspicion in time
	Left                 // it announced that it leaves
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

// Update is what somebody believes of a node.
//
// Of two updates on the same node the one with the higher Incarnation stands, then the one with the higher Refutation, then the one with the
// later State.
type Update struct {
	Name        string
	Incarnation uint64 // of the node's process: a restart raises it
	Refutation  uint64 // raised by the node itself to refute a suspicion; SWIM's incarnation number
	State       State
}

// supersedes reports whether u stands against other, an update on the same node.
func (u Update) supersedes(other Update) bool {
	order := cmp.Or(
		cmp.Compare(u.Incarnation, other.Incarnation),
		cmp.Compare(u.Refutation, other.Refutation),
		cmp.Compare(u.State, other.State),
	)
	return order > 0
}

// Change tells that the belief about a node has changed.
type Change struct {
	Update
	Previous Update
}
