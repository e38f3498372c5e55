package recovery

// PeerState is how far a node's durable history goes, as the node reported it to a peer.
type PeerState struct {
	Incarnation uint64 `json:"life"`
	Seq         uint64 `json:"seq"` // number of the last durable record
}

// Covers reports whether s is at least as far as other.
func (s PeerState) Covers(other PeerState) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Seq >= other.Seq
}

// furthest returns the one of two states that is further.
func higherState(x, y PeerState) PeerState {
	if x.Covers(y) {
		return x
	}
	return y
}

// Answer is what a peer remembers of the node that asked: the furthest state that processes of the node before the asking one reported.
type Answer struct {
	PeerState
	Mark  uint64 // identifies the process that asked
	Empty bool   // the peer remembers nothing from before its own start, so that its knowing nothing proves nothing
}
