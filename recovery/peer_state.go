package recovery

// PeerState is the extent of a node's durable history as the node has reported it to a peer.
type PeerState struct {
	Incarnation uint64 `json:"life"`
	Seq         uint64 `json:"seq"` // sequence number of the last durable record
}

// Covers reports whether s includes all the history that other includes.
func (s PeerState) Covers(other PeerState) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Seq >= other.Seq
}

// higherState returns the state with the longer history.
func higherState(x, y PeerState) PeerState {
	if x.Covers(y) {
		return x
	}
	return y
}

// Answer is a peer's answer to a node's query: the highest state that it has recorded from earlier processes of the node.
type Answer struct {
	PeerState
	Mark  uint64 // identifies the process that sent the query
	Empty bool   // the peer has no records from before its own start, so a missing state proves nothing
}
