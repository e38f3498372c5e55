package recovery

import (
	"slices"
	"time"
)

// maxEarlierMarks is how many processes of a node before its latest are told apart.
const maxEarlierMarks = 8

// FeatureFences is the feature level of programs that leave out what an incarnation before a fence has said.
const FeatureFences = 1

// PeerStates is what a node remembers of the others across its own restarts. Its JSON form is a stored format: the keys stay as they are. Make
// it with NewPeerStates, and decode into what that returns. It is not safe for concurrent use.
type PeerStates struct {
	// Peers has what each node has reported, by its name.
	Peers map[string]*peerRecord `json:"of"`
	// Fences has the nodes that were sent again what they had lost, with the incarnation in which that was.
	Fences map[string]uint64 `json:"fences,omitempty"`
	// ForgottenAt has the nodes of which an operator said that they never come back, with the time of that since 1970.
	ForgottenAt map[string]time.Duration `json:"gone,omitempty"`

	empty   bool // nothing is remembered from before this process
	changed bool // since the last call of Changed
}

// peerRecord is what one other node has reported of itself.
type peerRecord struct {
	PeerState              // the furthest of its latest process
	Mark         uint64    `json:"mark"`   // identifies that process
	Earlier      PeerState `json:"before"` // the furthest of the processes before
	EarlierMarks []uint64  `json:"past"`   // identify those, the latest last
	Features     uint64    `json:"knows"`  // feature level of its program: see SetFeatures
}

// NewPeerStates returns a PeerStates without content. empty tells that this is all there is; it is false where the content from before is about
// to be decoded.
func NewPeerStates(empty bool) *PeerStates {
	return &PeerStates{Peers: map[string]*peerRecord{}, empty: empty}
}

// Changed reports whether there is anything to be saved since the last call.
func (s *PeerStates) Changed() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// Update takes what a process of a node, identified by its mark, says of itself. Only the furthest state is kept: one of the latest process,
// and one of all processes before.
func (s *PeerStates) Update(name string, mark uint64, state PeerState) {
	record := s.Peers[name]
	switch {
	case record == nil:
		s.Peers[name] = &peerRecord{PeerState: state, Mark: mark}
	case record.Mark == mark:
		if record.Covers(state) {
			return
		}
		record.PeerState = state
	case slices.Contains(record.EarlierMarks, mark): // a delayed message of a process that has ended
		if record.Earlier.Covers(state) {
			return
		}
		record.Earlier = state
	default:
		record.startProcess(mark, state)
	}
	s.changed = true
}

// startProcess makes the process of that mark the latest.
func (r *peerRecord) startProcess(mark uint64, state PeerState) {
	r.EarlierMarks = append(r.EarlierMarks, r.Mark)
	r.EarlierMarks = r.EarlierMarks[max(0, len(r.EarlierMarks)-maxEarlierMarks):]
	r.Earlier = higherState(r.Earlier, r.PeerState)
	r.PeerState = state
	r.Mark = mark
}

// Answer returns the answer to a process of a node that asks what is remembered of the processes before it.
func (s *PeerStates) Answer(name string, mark uint64) Answer {
	answer := Answer{Mark: mark}
	switch record := s.Peers[name]; {
	case record == nil:
		answer.Empty = s.empty
	case record.Mark == mark:
		answer.PeerState = record.Earlier
		answer.Empty = s.empty && record.Earlier == PeerState{}
	default:
		answer.PeerState = higherState(record.Earlier, record.PeerState)
	}
	return answer
}

// SetFeatures records the feature level of a node's program. A program of a higher level has all features of the lower ones.
func (s *PeerStates) SetFeatures(name string, level uint64) {
	if record := s.Peers[name]; record != nil && record.Features != level {
		record.Features = level
		s.changed = true
	}
}

// AllSupport reports whether the programs of all these nodes are known to have that feature level. Nodes that never come back don't count.
func (s *PeerStates) AllSupport(names []string, level uint64) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
		if s.Forgotten(name) {
			return false
		}
		record := s.Peers[name]
		return record == nil || record.Features < level
	})
}

// AddFence records that a node was sent again what it had lost, in that incarnation: what its earlier incarnations said does not count any more.
func (s *PeerStates) AddFence(name string, incarnation uint64) {
	if s.Fences == nil {
		s.Fences = map[string]uint64{}
	}
	if s.Fences[name] < incarnation {
		s.Fences[name] = incarnation
		s.changed = true
	}
}

// Forget records an operator's statement, made at that time since 1970, that a node never comes back: nobody waits any longer for what it may
// know.
func (s *PeerStates) Forget(name string, at time.Duration) {
	if s.ForgottenAt == nil {
		s.ForgottenAt = map[string]time.Duration{}
	}
	s.ForgottenAt[name] = at
	s.changed = true
}

// Forgotten reports whether Forget was called for a node and Returned was not since.
func (s *PeerStates) Forgotten(name string) bool { return s.ForgottenAt[name] > 0 }

// MarkReturned records that a node was heard, and reports whether it had been forgotten.
func (s *PeerStates) MarkReturned(name string) bool {
	forgotten := s.Forgotten(name)
	if forgotten {
		delete(s.ForgottenAt, name)
		s.changed = true
	}
	return forgotten
}
