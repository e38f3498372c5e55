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
	"slices"
	"time"

	"frosthub/internal/prng"
)

// Phase is how far a box is on its way back.
type Phase uint8

// The phases, in their order.
const (
	Cold    Phase = iota // it runs, and has nothing yet
	Reading              // its store is being read
	Asking               // it knows what its disk has, and asks whether that is all
	Part                 // its disk is older than what others know, or may be: what it does not have it does not know
	Serving              // it trusts its disk
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

// Piece is one piece of state that a box may have from before.
type Piece struct {
	Name  string
	Trust Trust
	Why   string
	Risk  string // if it were trusted without that, or what remains
}

// Pieces are all of them.
var Pieces = []Piece{
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

// Memory is what a box remembers of another: the highest that it was told.
type Memory struct {
	Life uint64 `json:"life"`
	Seq  uint64 `json:"seq"` // its last durable record
}

// Covers tells whether o adds nothing to m.
func (m Memory) Covers(o Memory) bool { return m.Life > o.Life || m.Life == o.Life && m.Seq >= o.Seq }

// Answer is what another box remembers of this one.
type Answer struct {
	Memory
	For   uint64 // the mark of the process that asked
	Blank bool   // it has no memory from before itself: that it knows nothing says nothing
}

// Disk is what was read from this box's own.
type Disk struct {
	Life  uint64 // of the life that begins with the reading
	Seq   uint64 // the last record there was
	Fresh bool   // made anew, and never used
}

// Config says whom to ask, and how long.
type Config struct {
	Mark    uint64 // of this process
	Others  []string
	Patient time.Duration // for all others: then a majority of them is enough
	Alone   time.Duration // for any majority: then its disk is taken for older than what others know
	Horizon time.Duration // how long a req may be asked for again: past that nothing is left that it could not know
}

const (
	patientUsual = 500 * time.Millisecond
	aloneUsual   = 60 * time.Second
	askFirst     = 50 * time.Millisecond // between questions to who has not answered, doubled each time
	askMost      = time.Second
	triesMost    = 3 // starts in a row that died over the reading of the store
)

// Careful tells whether a box that died so often in a row over its store takes it for lost, rather than die once more. It harms where the
// deaths had another cause that strikes within the reading: what ran is in doubt for a horizon then.
func Careful(tries int) bool { return tries >= triesMost }

// Action is what is to be done.
type Action struct {
	Ask  []string // what do you remember of me?
	Lost bool     // what was made before now and is not known here can't be proved fresh
	Life uint64   // not 0: this life is numbered at least so
	Was  Phase    // with Now: the phase changed
	Now  Phase
	Why  string
}

// Box is one box's way back. Make it with New.
type Box struct {
	cfg     Config
	phase   Phase
	disk    Disk
	since   time.Duration // that it asks
	askAt   time.Duration
	every   time.Duration
	answers map[string]Answer
	actions []Action
	chance  prng.Chance
	why     string
}

// New returns a box that is cold.
func New(cfg Config, seed uint64) *Box {
	cfg.Patient, cfg.Alone = cmp.Or(cfg.Patient, patientUsual), cmp.Or(cfg.Alone, aloneUsual)
	return &Box{cfg: cfg, answers: map[string]Answer{}, chance: prng.New(seed)}
}

// Take hands over what is to be done since the last call.
func (b *Box) Take() []Action {
	a := b.actions
	b.actions = nil
	return a
}

// Phase is how far it is.
func (b *Box) Phase() Phase { return b.phase }

// Why says what led there, or what it waits for.
func (b *Box) Why() string { return b.why }

// Sure tells whether it may take part in what its cluster decides: its life is numbered like no other, and what it does not know it
// either has proved not to be, or knows that it can't know.
func (b *Box) Sure() bool { return b.phase >= Part }

func (b *Box) enter(p Phase, why string) {
	b.actions = append(b.actions, Action{Was: b.phase, Now: p, Why: why})
	b.phase, b.why = p, why
}

// Starts says that the store is about to be read.
func (b *Box) Starts() { b.enter(Reading, "its store is read") }

// Read says what the store has.
func (b *Box) Read(now time.Duration, d Disk) {
	b.disk, b.since, b.askAt, b.every = d, now, now, askFirst
	b.enter(Asking, "others are asked whether that is all")
	b.decide(now)
	b.Tick(now)
}

// Missing are those that have not answered yet, while it asks.
func (b *Box) Missing() (names []string) {
	if b.phase != Asking {
		return nil
	}
	for _, name := range b.cfg.Others {
		if _, ok := b.answers[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// Members says that other boxes are the others from now on.
func (b *Box) Members(others []string) { b.cfg.Others = others }

// Heard takes what another box remembers of this one. An answer that comes when it serves already is heeded as well: a box that was away may
// be the only one that knows.
func (b *Box) Heard(now time.Duration, from string, a Answer) {
	if b.phase < Asking || a.For != b.cfg.Mark || !slices.Contains(b.cfg.Others, from) {
		return
	}
	if b.newer(a.Memory) {
		b.older(now, from, a.Memory)
	}
	if b.phase == Asking {
		b.answers[from] = a
		b.decide(now)
	}
}

// newer tells whether others were told more than this box's disk had when this life began.
func (b *Box) newer(m Memory) bool {
	return m.Life >= b.disk.Life || m.Life+1 == b.disk.Life && m.Seq > b.disk.Seq
}

// older follows the proof that the disk is older than what others know.
func (b *Box) older(now time.Duration, from string, m Memory) {
	act := Action{Lost: true}
	if m.Life >= b.disk.Life {
		act.Life = m.Life + 1
		b.disk.Life = act.Life
	}
	b.disk.Seq = max(b.disk.Seq, m.Seq)
	b.actions = append(b.actions, act)
	b.since = now
	if b.phase != Part {
		b.enter(Part, "its disk is older than what "+from+" knows")
	}
}

// decide looks whether enough have answered.
func (b *Box) decide(now time.Duration) {
	if b.phase != Asking {
		return
	}
	good := 0
	for _, name := range b.cfg.Others {
		if a, ok := b.answers[name]; ok && (!a.Blank || b.disk.Fresh) { // an empty box can't reassure one that is not new
			good++
		}
	}
	switch waited := now - b.since; {
	case good == len(b.cfg.Others):
		b.enter(Serving, "all others know of nothing more")
	case len(b.answers) == len(b.cfg.Others) && 2*good >= len(b.cfg.Others),
		waited >= b.cfg.Patient && 2*good >= len(b.cfg.Others): // with itself a majority of all
		b.enter(Serving, "most others know of nothing more")
	case waited >= b.cfg.Alone: // it is as if they had said so: they may know more, and come back when it has run again what ran
		b.actions = append(b.actions, Action{Lost: true})
		b.since = now
		b.enter(Part, "too few of those who could know more have answered in time")
	}
}

// Trusts is an operator's word that its disk is all there is.
func (b *Box) Trusts() {
	if b.phase == Asking || b.phase == Part {
		b.enter(Serving, "an operator answers for its disk")
	}
}

// Refilled says that the others have told again all that its disk lacked.
func (b *Box) Refilled() {
	if b.phase == Part {
		b.enter(Serving, "the others have told it all that its disk lacked")
	}
}

// Next is when Tick wants to be called; far off where nothing is waited for.
func (b *Box) Next() time.Duration {
	switch b.phase {
	case Asking:
		return b.askAt
	case Part:
		return b.since + b.cfg.Horizon
	}
	return 1<<63 - 1
}

// Tick asks whom it has not heard, ever more seldom, each box at moments of its own.
func (b *Box) Tick(now time.Duration) {
	b.decide(now)
	if b.phase == Part && now >= b.since+b.cfg.Horizon {
		b.enter(Serving, "nothing is asked for again that it could not know")
	}
	if b.phase != Asking || now < b.askAt {
		return
	}
	if ask := b.Missing(); len(ask) > 0 {
		b.actions = append(b.actions, Action{Ask: ask})
	}
	b.askAt = now + b.every/2 + time.Duration(b.chance.Next()%uint64(b.every))
	b.every = min(2*b.every, askMost)
}
