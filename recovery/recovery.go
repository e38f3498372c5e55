// Package recovery is a box's way back after a loss: what of its state it trusts, what it asks others, and when what must not run twice
// may begin again. It is a state machine without I/O, clock or goroutine: calls take events, Take gives what is to be done.
//
// A disk proves by its checksums that what it has was written; it can't prove that this is all. An older copy that was put back, a last
// second that a write cache had confirmed and lost, an empty disk under an old name: each is whole. Others remember of a box the highest
// life and record number that it told them, on their own disks. A box that comes back asks them before it says of any key that nothing is
// known of it; who remembers more than it has proves its disk older, and from then on it does not know what it does not have.
package recovery

import (
	"cmp"
	"frosthub/internal/prng"
	"slices"
	"time"
)

// Phase is how far a box is on its way back.
type Phase uint8

// The phases, in their order.
const (
	Cold     Phase = iota // it runs, and has nothing yet
	Loading               // its store is being read
	Querying              // it knows what its disk has, and asks whether that is all
	Degraded              // its disk is older than what others know, or may be: what it does not have it does not know
	Serving               // it trusts its disk
)

// String is the phase's word.
func (p Phase) String() string {
	return [...]string{"cold", "reading", "asking", "serving in part", "serving"}[min(p, Serving)]
}

// Trust is what becomes of a piece of state from before.
type Trust uint8

// The ways.
const (
	Kept    Trust = iota + 1 // as it was
	Checked                  // against what others know
	Dropped                  // thrown away
)

// String is the way's word.
func (t Trust) String() string {
	return [...]string{Kept: "trusted", Checked: "checked", Dropped: "thrown away"}[t]
}

// Component is one piece of state that a box may have from before.
type Component struct {
	Name   string
	Trust  Trust
	Reason string
	Risk   string // if it were trusted without that, or what remains
}

// Components are all of them.
var Components = []Component{
	{"results and failures on the disk", Kept, "checksums, and numbers without a gap", "none: what ran stays so"},
	{"intents without an end", Kept, "they say that a run may have begun", "none: in doubt until somebody knows the end"},
	{"prints of what has aged", Kept, "checksums", "none: a false hit costs an errored answer"},
	{"that there is no more than these", Checked, "an older copy, a lost last second or an empty disk is whole too", "what ran there would run again"},
	{"the number of this life", Checked, "an older disk counts lives anew", "others would take its messages for those of an earlier life"},
	{"the lists of members", Kept, "on the disk before they are acted on; others hear by which lists a box goes", "refusals, where others go by none of them"},
	{"what is remembered of others", Kept, "only ever the highest that they told", "too low a number: a loss of the last second is not found"},
	{"which boxes are there", Dropped, "all may have changed", "wrong guesses, for a moment"},
	{"notes of what others hold and have not begun", Dropped, "grants are not on the disk; who begins under a forgotten one is refused", "none"},
	{"what the module learnt", Dropped, "the processor is cold, the load another", "limits of another day"},
	{"ejected peers of the next tier", Dropped, "they may be well", "one more try"},
	{"figures", Kept, "checksums; the last moment is in doubt, by id", "none"},
	{"the clock", Checked, "the store's time never goes back", "a clock that is behind: results age later, never earlier"},
}

// PeerState is what a box remembers of another: the highest that it was told.
type PeerState struct {
	Incarnation uint64 `json:"life"`
	Seq         uint64 `json:"seq"` // its last durable record
}

// Covers tells whether o adds nothing to m.
func (m PeerState) Covers(o PeerState) bool {
	return m.Incarnation > o.Incarnation || m.Incarnation == o.Incarnation && m.Seq >= o.Seq
}

// Answer is what another box remembers of this one.
type Answer struct {
	PeerState
	Mark  uint64 // the mark of the process that asked
	Empty bool   // it has no memory from before itself: that it knows nothing says nothing
}

// DiskState is what was read from this box's own.
type DiskState struct {
	Incarnation uint64 // of the life that begins with the reading
	Seq         uint64 // the last record there was
	New         bool   // made anew, and never used
}

// Config says whom to ask, and how long.
type Config struct {
	Mark          uint64 // of this process
	Others        []string
	MajorityAfter time.Duration // for all others: then a majority of them is enough
	DegradeAfter  time.Duration // for any majority: then its disk is taken for older than what others know
	RetryHorizon  time.Duration // how long a req may be asked for again: past that nothing is left that it could not know
}

const (
	patientUsual = 500 * time.Millisecond
	aloneUsual   = 60 * time.Second
	askFirst     = 50 * time.Millisecond // between questions to who has not answered, doubled each time
	askMost      = time.Second
	triesMost    = 3 // starts in a row that died over the reading of the store
)

// ShouldQuarantine tells whether a box that died so often in a row over its store takes it for lost, rather than die once more. It harms where the
// deaths had another cause that strikes within the reading: what ran is in doubt for a horizon then.
func ShouldQuarantine(tries int) bool { return tries >= triesMost }

// Action is what is to be done.
type Action struct {
	Query       []string // what do you remember of me?
	HistoryLost bool     // what was made before now and is not known here can't be proved fresh
	Incarnation uint64   // not 0: this life is numbered at least so
	From        Phase    // with Now: the phase changed
	To          Phase
	Reason      string
}

// Node is one box's way back. Make it with New.
type Node struct {
	cfg     Config
	phase   Phase
	disk    DiskState
	since   time.Duration // that it asks
	askAt   time.Duration
	every   time.Duration
	answers map[string]Answer
	actions []Action
	chance  prng.Source
	why     string
}

// New returns a box that is cold.
func New(cfg Config, seed uint64) *Node {
	cfg.MajorityAfter, cfg.DegradeAfter = cmp.Or(cfg.MajorityAfter, patientUsual), cmp.Or(cfg.DegradeAfter, aloneUsual)
	return &Node{cfg: cfg, answers: map[string]Answer{}, chance: prng.New(seed)}
}

// Ready hands over what is to be done since the last call.
func (b *Node) Ready() []Action {
	a := b.actions
	b.actions = nil
	return a
}

// Phase is how far it is.
func (b *Node) Phase() Phase { return b.phase }

// Reason says what led there, or what it waits for.
func (b *Node) Reason() string { return b.why }

// Established tells whether it may take part in what its cluster decides: its life is numbered like no other, and what it does not know it
// either has proved not to be, or knows that it can't know.
func (b *Node) Established() bool { return b.phase >= Degraded }

func (b *Node) enter(p Phase, why string) {
	b.actions = append(b.actions, Action{From: b.phase, To: p, Reason: why})
	b.phase, b.why = p, why
}

// StartLoading says that the store is about to be read.
func (b *Node) StartLoading() { b.enter(Loading, "its store is read") }

// DiskLoaded says what the store has.
func (b *Node) DiskLoaded(now time.Duration, d DiskState) {
	b.disk, b.since, b.askAt, b.every = d, now, now, askFirst
	b.enter(Querying, "others are asked whether that is all")
	b.decide(now)
	b.Tick(now)
}

// Unanswered are those that have not answered yet, while it asks.
func (b *Node) Unanswered() (names []string) {
	if b.phase != Querying {
		return nil
	}
	for _, name := range b.cfg.Others {
		if _, ok := b.answers[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// SetOthers says that other boxes are the others from now on.
func (b *Node) SetOthers(others []string) { b.cfg.Others = others }

// Receive takes what another box remembers of this one. An answer that comes when it serves already is heeded as well: a box that was away may
// be the only one that knows.
func (b *Node) Receive(now time.Duration, from string, a Answer) {
	if b.phase < Querying || a.Mark != b.cfg.Mark || !slices.Contains(b.cfg.Others, from) {
		return
	}
	if b.newer(a.PeerState) {
		b.older(now, from, a.PeerState)
	}
	if b.phase == Querying {
		b.answers[from] = a
		b.decide(now)
	}
}

// newer tells whether others were told more than this box's disk had when this life began.
func (b *Node) newer(m PeerState) bool {
	return m.Incarnation >= b.disk.Incarnation || m.Incarnation+1 == b.disk.Incarnation && m.Seq > b.disk.Seq
}

// older follows the proof that the disk is older than what others know.
func (b *Node) older(now time.Duration, from string, m PeerState) {
	act := Action{HistoryLost: true}
	if m.Incarnation >= b.disk.Incarnation {
		act.Incarnation = m.Incarnation + 1
		b.disk.Incarnation = act.Incarnation
	}
	b.disk.Seq = max(b.disk.Seq, m.Seq)
	b.actions = append(b.actions, act)
	b.since = now
	if b.phase != Degraded {
		b.enter(Degraded, "its disk is older than what "+from+" knows")
	}
}

// decide looks whether enough have answered.
func (b *Node) decide(now time.Duration) {
	if b.phase != Querying {
		return
	}
	good := 0
	for _, name := range b.cfg.Others {
		if a, ok := b.answers[name]; ok && (!a.Empty || b.disk.New) { // an empty box can't reassure one that is not new
			good++
		}
	}
	switch waited := now - b.since; {
	case good == len(b.cfg.Others):
		b.enter(Serving, "all others know of nothing more")
	case len(b.answers) == len(b.cfg.Others) && 2*good >= len(b.cfg.Others),
		waited >= b.cfg.MajorityAfter && 2*good >= len(b.cfg.Others): // with itself a majority of all
		b.enter(Serving, "most others know of nothing more")
	case waited >= b.cfg.DegradeAfter: // it is as if they had said so: they may know more, and come back when it has run again what ran
		b.actions = append(b.actions, Action{HistoryLost: true})
		b.since = now
		b.enter(Degraded, "too few of those who could know more have answered in time")
	}
}

// TrustDisk is an operator's word that its disk is all there is.
func (b *Node) TrustDisk() {
	if b.phase == Querying || b.phase == Degraded {
		b.enter(Serving, "an operator answers for its disk")
	}
}

// MarkComplete says that the others have told again all that its disk lacked.
func (b *Node) MarkComplete() {
	if b.phase == Degraded {
		b.enter(Serving, "the others have told it all that its disk lacked")
	}
}

// NextDeadline is when Tick wants to be called; far off where nothing is waited for.
func (b *Node) NextDeadline() time.Duration {
	switch b.phase {
	case Querying:
		return b.askAt
	case Degraded:
		return b.since + b.cfg.RetryHorizon
	}
	return 1<<63 - 1
}

// Tick asks whom it has not heard, ever more seldom, each box at moments of its own.
func (b *Node) Tick(now time.Duration) {
	b.decide(now)
	if b.phase == Degraded && now >= b.since+b.cfg.RetryHorizon {
		b.enter(Serving, "nothing is asked for again that it could not know")
	}
	if b.phase != Querying || now < b.askAt {
		return
	}
	if ask := b.Unanswered(); len(ask) > 0 {
		b.actions = append(b.actions, Action{Query: ask})
	}
	b.askAt = now + b.every/2 + time.Duration(b.chance.Uint64()%uint64(b.every))
	b.every = min(2*b.every, askMost)
}
