package recovery

import (
	"slices"
	"time"
)

const pastMost = 8 // processes of a box before its last that are told from it

// told is what another box has said of itself.
type told struct {
	PeerState
	Mark   uint64    `json:"mark"`   // of its process: drawn anew by each
	Before PeerState `json:"before"` // the highest that processes before that one said
	Past   []uint64  `json:"past"`   // their marks
	Knows  uint64    `json:"knows"`  // what the program there knows of: see Heeds
}

// PeerStates is what a box remembers of the others. Make it with Remember.
type PeerStates struct {
	Of      map[string]*told         `json:"of"`
	Fences  map[string]uint64        `json:"fences,omitempty"` // boxes that were told again what they had lost: in that life
	Gone    map[string]time.Duration `json:"gone,omitempty"`   // boxes that never come back, by an operator's word, and when that was given: since 1970
	blank   bool                     // from this process alone
	changed bool
}

// NewPeerStates returns an empty one. blank: nothing is there from before this process.
func NewPeerStates(blank bool) *PeerStates { return &PeerStates{Of: map[string]*told{}, blank: blank} }

// Changed tells whether there is anything new since the last call.
func (m *PeerStates) Changed() bool {
	c := m.changed
	m.changed = false
	return c
}

// FeatureFences is what a program knows of that leaves out words of lives before a fence.
const FeatureFences = 1

// SetFeatures takes what the program of a box says that it knows of: later ones know of all that earlier ones do.
func (m *PeerStates) SetFeatures(name string, what uint64) {
	if t := m.Of[name]; t != nil && t.Knows != what {
		t.Knows = what
		m.changed = true
	}
}

// AllSupport tells whether the programs of all these boxes are known to know of something.
func (m *PeerStates) AllSupport(names []string, what uint64) bool {
	return !slices.ContainsFunc(names, func(name string) bool { return !m.Forgotten(name) && (m.Of[name] == nil || m.Of[name].Knows < what) })
}

// AddFence remembers that a box was told again, in that life, what it had lost.
func (m *PeerStates) AddFence(name string, life uint64) {
	if m.Fences == nil {
		m.Fences = map[string]uint64{}
	}
	if m.Fences[name] < life {
		m.Fences[name] = life
		m.changed = true
	}
}

// Forget takes an operator's word that a box never comes back: nobody waits for what it may know.
func (m *PeerStates) Forget(name string, at time.Duration) {
	if m.Gone == nil {
		m.Gone = map[string]time.Duration{}
	}
	m.Gone[name] = at
	m.changed = true
}

// Forgotten tells whether an operator has said that a box never comes back, and it has not been heard since.
func (m *PeerStates) Forgotten(name string) bool { return m.Gone[name] > 0 }

// Returned takes note of a forgotten box that is there after all, and tells whether it was one.
func (m *PeerStates) Returned(name string) bool {
	was := m.Forgotten(name)
	if was {
		delete(m.Gone, name)
		m.changed = true
	}
	return was
}

func highest(x, y PeerState) PeerState {
	if x.Covers(y) {
		return x
	}
	return y
}

// Update takes what a box says of itself. Only ever the highest is kept: of its present process, and of those before.
func (m *PeerStates) Update(name string, mark uint64, says PeerState) {
	t := m.Of[name]
	switch {
	case t == nil:
		m.Of[name] = &told{PeerState: says, Mark: mark}
	case t.Mark == mark && t.Covers(says):
		return
	case t.Mark == mark:
		t.PeerState = says
	case slices.Contains(t.Past, mark): // late words of a process that is no more
		if t.Before.Covers(says) {
			return
		}
		t.Before = says
	default:
		t.Past = append(t.Past, t.Mark)
		t.Past = t.Past[max(0, len(t.Past)-pastMost):]
		t.Before = highest(t.Before, t.PeerState)
		t.PeerState, t.Mark = says, mark
	}
	m.changed = true
}

// Answer is what a box's process is told that asks: what those before it said.
func (m *PeerStates) Answer(name string, mark uint64) Answer {
	a := Answer{Mark: mark}
	switch t := m.Of[name]; {
	case t == nil:
		a.Empty = m.blank
	case t.Mark == mark:
		a.PeerState, a.Empty = t.Before, m.blank && t.Before == PeerState{}
	default:
		a.PeerState = highest(t.Before, t.PeerState)
	}
	return a
}
