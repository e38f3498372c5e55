package recovery

import (
	"slices"
	"time"
)

const pastMost = 8 // processes of a box before its last that are told from it

// told is what another box has said of itself.
type told struct {
	Memory
	Mark   uint64   `json:"mark"`   // of its process: drawn anew by each
	Before Memory   `json:"before"` // the highest that processes before that one said
	Past   []uint64 `json:"past"`   // their marks
	Knows  uint64   `json:"knows"`  // what the program there knows of: see Heeds
}

// Memories is what a box remembers of the others. Make it with Remember.
type Memories struct {
	Of      map[string]*told         `json:"of"`
	Fences  map[string]uint64        `json:"fences,omitempty"` // boxes that were told again what they had lost: in that life
	Gone    map[string]time.Duration `json:"gone,omitempty"`   // boxes that never come back, by an operator's word, and when that was given: since 1970
	blank   bool                     // from this process alone
	changed bool
}

// Remember returns an empty one. blank: nothing is there from before this process.
func Remember(blank bool) *Memories { return &Memories{Of: map[string]*told{}, blank: blank} }

// Changed tells whether there is anything new since the last call.
func (m *Memories) Changed() bool {
	c := m.changed
	m.changed = false
	return c
}

// Fences is what a program knows of that leaves out words of lives before a fence.
const Fences = 1

// Knows takes what the program of a box says that it knows of: later ones know of all that earlier ones do.
func (m *Memories) Knows(name string, what uint64) {
	if t := m.Of[name]; t != nil && t.Knows != what {
		t.Knows = what
		m.changed = true
	}
}

// Heed tells whether the programs of all these boxes are known to know of something.
func (m *Memories) Heed(names []string, what uint64) bool {
	return !slices.ContainsFunc(names, func(name string) bool { return !m.Forgotten(name) && (m.Of[name] == nil || m.Of[name].Knows < what) })
}

// Fence remembers that a box was told again, in that life, what it had lost.
func (m *Memories) Fence(name string, life uint64) {
	if m.Fences == nil {
		m.Fences = map[string]uint64{}
	}
	if m.Fences[name] < life {
		m.Fences[name] = life
		m.changed = true
	}
}

// Forget takes an operator's word that a box never comes back: nobody waits for what it may know.
func (m *Memories) Forget(name string, at time.Duration) {
	if m.Gone == nil {
		m.Gone = map[string]time.Duration{}
	}
	m.Gone[name] = at
	m.changed = true
}

// Forgotten tells whether an operator has said that a box never comes back, and it has not been heard since.
func (m *Memories) Forgotten(name string) bool { return m.Gone[name] > 0 }

// Back takes note of a forgotten box that is there after all, and tells whether it was one.
func (m *Memories) Back(name string) bool {
	was := m.Forgotten(name)
	if was {
		delete(m.Gone, name)
		m.changed = true
	}
	return was
}

func highest(x, y Memory) Memory {
	if x.Covers(y) {
		return x
	}
	return y
}

// Hear takes what a box says of itself. Only ever the highest is kept: of its present process, and of those before.
func (m *Memories) Hear(name string, mark uint64, says Memory) {
	t := m.Of[name]
	switch {
	case t == nil:
		m.Of[name] = &told{Memory: says, Mark: mark}
	case t.Mark == mark && t.Covers(says):
		return
	case t.Mark == mark:
		t.Memory = says
	case slices.Contains(t.Past, mark): // late words of a process that is no more
		if t.Before.Covers(says) {
			return
		}
		t.Before = says
	default:
		t.Past = append(t.Past, t.Mark)
		t.Past = t.Past[max(0, len(t.Past)-pastMost):]
		t.Before = highest(t.Before, t.Memory)
		t.Memory, t.Mark = says, mark
	}
	m.changed = true
}

// Answer is what a box's process is told that asks: what those before it said.
func (m *Memories) Answer(name string, mark uint64) Answer {
	a := Answer{For: mark}
	switch t := m.Of[name]; {
	case t == nil:
		a.Blank = m.blank
	case t.Mark == mark:
		a.Memory, a.Blank = t.Before, m.blank && t.Before == Memory{}
	default:
		a.Memory = highest(t.Before, t.Memory)
	}
	return a
}
