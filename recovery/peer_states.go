package recovery

import (
	"slices"
	"time"
)

// maxEarlierMarks is the number of earlier processes of a node whose marks are kept. Messages of even earlier processes are not recognized.
const maxEarlierMarks = 8

// FeatureFences is the feature level of programs that ignore messages from incarnations before a fence.
const FeatureFences = 1

// PeerStates holds the states that other nodes have reported to this node, across restarts of this node. Its JSON form is a stored format,
// so the keys must not change. Create one with NewPeerStates and decode stored content into the result. It is not safe for concurrent use.
type PeerStates struct {
	// Peers maps the name of each node to the states that it has reported.
	Peers map[string]*peerRecord `json:"of"`
	// Fences maps the name of each node that had lost history and has received it again to the incarnation in which it did.
	Fences map[string]uint64 `json:"fences,omitempty"`
	// ForgottenAt maps the name of each node that an operator has declared gone for good to the time of that, since 1970.
	ForgottenAt map[string]time.Duration `json:"gone,omitempty"`

	empty   bool // there are no records from before this process
	changed bool // the records have changed since the last call of Changed
}

// peerRecord holds the states that one other node has reported.
type peerRecord struct {
	PeerState              // the highest state from its latest process
	Mark         uint64    `json:"mark"`   // identifies the latest process
	Earlier      PeerState `json:"before"` // the highest state from all earlier processes
	EarlierMarks []uint64  `json:"past"`   // marks of the earlier processes, the latest last
	Features     uint64    `json:"knows"`  // feature level of its program, which includes all lower levels
}

// NewPeerStates returns a PeerStates without records. empty is true if there are no stored records, and false if the caller is about to
// decode stored records into the result.
func NewPeerStates(empty bool) *PeerStates {
	return &PeerStates{Peers: map[string]*peerRecord{}, empty: empty}
}

// Changed reports whether the records have changed since the last call and must be saved.
func (s *PeerStates) Changed() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// Update records the state that a process of a node, identified by its mark, has reported. It keeps only the highest state of the latest
// process and the highest state of all earlier processes.
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
	case slices.Contains(record.EarlierMarks, mark): // a delayed message from a process that has exited
		if record.Earlier.Covers(state) {
			return
		}
		record.Earlier = state
	default:
		record.startProcess(mark, state)
	}
	s.changed = true
}

// startProcess makes the process with the given mark the latest one.
func (r *peerRecord) startProcess(mark uint64, state PeerState) {
	r.EarlierMarks = append(r.EarlierMarks, r.Mark)
	r.EarlierMarks = r.EarlierMarks[max(0, len(r.EarlierMarks)-maxEarlierMarks):]
	r.Earlier = higherState(r.Earlier, r.PeerState)
	r.PeerState = state
	r.Mark = mark
}

// Answer returns the answer to a query from a process of a node: the highest state that earlier processes of the node have reported.
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

// SetFeatures records the feature level of a node's program. A higher level includes all features of the lower levels.
func (s *PeerStates) SetFeatures(name string, level uint64) {
	if record := s.Peers[name]; record != nil && record.Features != level {
		record.Features = level
		s.changed = true
	}
}

// AllSupport reports whether all named nodes have reported at least the given feature level. It ignores nodes that were forgotten.
func (s *PeerStates) AllSupport(names []string, level uint64) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
		if s.Forgotten(name) {
			return false
		}
		record := s.Peers[name]
		return record == nil || record.Features < level
	})
}

// AddFence records that a node has received its lost history again in the given incarnation. Messages from its earlier incarnations are
// invalid from then on.
func (s *PeerStates) AddFence(name string, incarnation uint64) {
	if s.Fences == nil {
		s.Fences = map[string]uint64{}
	}
	if s.Fences[name] < incarnation {
		s.Fences[name] = incarnation
		s.changed = true
	}
}

// Forget records an operator's decision, made at the given time since 1970, that a node is gone for good: no node waits any longer for
// records that only that node may have.
func (s *PeerStates) Forget(name string, at time.Duration) {
	if s.ForgottenAt == nil {
		s.ForgottenAt = map[string]time.Duration{}
	}
	s.ForgottenAt[name] = at
	s.changed = true
}

// Forgotten reports whether Forget was called for a node and MarkReturned was not called since.
func (s *PeerStates) Forgotten(name string) bool { return s.ForgottenAt[name] > 0 }

// MarkReturned records that a message from a node has arrived, and reports whether the node had been forgotten.
func (s *PeerStates) MarkReturned(name string) bool {
	forgotten := s.Forgotten(name)
	if forgotten {
		delete(s.ForgottenAt, name)
		s.changed = true
	}
	return forgotten
}
