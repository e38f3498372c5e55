// Package failover decides which box goes on with a req that must not run twice when the one that read it is lost. It is a state machine
// without I/O, clock or goroutine: calls take events, Take gives what is to be sent and what becomes of reqs.
//
// Each key has a group of boxes, the same whoever asks. The box that reads a req asks its group for the key under a ballot, and holds it
// when a majority has granted that; it begins the run only when a majority has noted, durably, that this ballot is about to. Two
// majorities share a box, so two ballots never both begin; nothing of this hangs on a clock or on who is believed to be alive. Those
// only tell when to try: a box of the group whose holder seems lost asks under a higher ballot.
package failover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/prng"
)

// Config says who takes part.
type Config struct {
	Name    string
	Life    uint64
	Members []Member
	Before  []Member // while the list of members changes: majorities are needed of both lists
	Size    int      // of a group
	Patient time.Duration
	Again   time.Duration // between repeats of what was not answered
	Promise bool          // what was held goes on although nobody asks for it again
	Notes   int           // held ones that are noted for others at most
	InHand  int           // taken over and not ended, at most: the rest waits, what is worth most goes first
	Bytes   int           // of results of replayable reqs that are noted for others, at most
}

const (
	sizeUsual    = 3
	patientUsual = 300 * time.Millisecond
	againUsual   = 60 * time.Millisecond
	notesUsual   = 4096
	inHandUsual  = 64 // some turns of a box's cores: more would wait in its line instead of with others who may do it sooner
	bytesUsual   = 1 << 20
	replayWait   = 50 * time.Millisecond  // for the group of a replayable req: then it is served as without a cluster
	joinShare    = 0.25                   // of its time that a replayable req waits for another's run before it is run anyway
	rankWait     = 150 * time.Millisecond // that each box of a group gives the one before it
	doubtAfter   = 30 * time.Second       // past its time a begun one without an end is in doubt for good
	triesMost    = 8                      // ballots of a claim in a row
	endFor       = 10 * time.Second       // that an end is repeated for
	groupsKept   = 4096                   // groups remembered: each takes a hash a member

	processorAfter = 250 * time.Millisecond // that a box seems lost before its processor is asked: past a short standstill
	processorAgain = 250 * time.Millisecond // between looks at runs that go on
)

// Kind is what a Message says.
type Kind uint8

// The kinds. The numbers go over the wire.
const (
	Open    Kind = 1 // grant me the key; Force: although another holds it
	Opened  Kind = 2
	Begin   Kind = 3 // I am about to begin
	Begun   Kind = 4 // noted, durably; or refused
	End     Kind = 5 // it ended so; Never: it never ran, or may run again, and may be held again
	Ended   Kind = 6 // noted
	Look    Kind = 7 // what is known of it?
	Seen    Kind = 8
	Holds   Kind = 9 // do you still hold it?
	NotHeld Kind = 10
	Took    Kind = 11 // to who asked meanwhile: it ended so
	Hand    Kind = 12 // I leave: take it over
)

// Vote is a box's word on a key.
type Vote uint8

// The votes.
const (
	None    Vote = 0 // nothing is known of it here
	Granted Vote = 1
	Lost    Vote = 2 // a higher ballot was granted
	Held    Vote = 3 // by By
	Running Vote = 4 // begun by By, and nothing was heard of its end; with End: that is on its way to the disk
	Over    Vote = 5 // End and Result say how
	Doubted Vote = 6 // begun, and how it ended is not known
	Gone    Vote = 7 // its result has aged out
	Silent  Vote = 8 // can't tell
	Full    Vote = 9 // no room
)

// Message is one between boxes about a key.
type Message struct {
	Kind   Kind
	Key    idempotency.Key
	Ballot Ballot
	Force  bool
	Made   time.Duration // since 1970, as its caller told it; 0 not told
	Vote   Vote
	By     Ballot
	End    idempotency.Kind
	Result []byte
	Work   *Work
	Replay bool    // the req may run again: nothing of it is durable, and whoever lost its holder may begin
	Run    uint64  // Begin: the id under which the holder's processor will know it
	Notice uint64  // Begin: the last notice that the holder has read of its processor
	Fences []Fence // with a vote: of boxes of the group whose words of earlier lives don't count beside it
}

// word is what a box said in that life.
type word struct {
	Message
	life uint64
}

// Send is a message on its way.
type Send struct {
	To string
	Message
}

// Outcome is what becomes of a req here. Beside keep's verdicts of reqs: Fresh in answer to Ask has it go to the module; else it is
// refused, as it never ran and its key is free again. Known has it join.
type Outcome struct {
	Key  idempotency.Key
	Made time.Duration
	Work *Work // Taken: this box holds it from now on
	idempotency.Outcome
}

// Taken is the verdict that this box has taken a req over, under the id of the outcome.
const Taken idempotency.Verdict = 100

// Undecided is the verdict where the group could not be asked: refused, it never ran.
const Undecided idempotency.Verdict = 101

// Peers tells what is believed of boxes.
type Peers interface {
	Alive(name string) bool
	Gone(name string) bool   // it is believed dead, not merely silent for a moment
	Life(name string) uint64 // 0 not known
}

// note is what this box keeps for a holder.
type note struct {
	key     idempotency.Key
	ballot  Ballot
	begun   bool
	durable bool
	made    time.Duration
	due     time.Duration // on this box's clock
	work    Work
	id      uint64 // of the intent in the store
	waiting map[string]bool
	lostAt  time.Duration // since when its holder seems lost; 0 it doesn't
	replay  bool
	ending  bool   // its end is on its way to the disk
	over    bool   // replay: it ran, with this result
	result  []byte // replay
	run     uint64 // at its holder's processor
	notice  uint64
	asked   time.Duration // when that processor was last to be asked for its end; 0 never
	filled  bool          // others told it: this box may have known its end, and lost it; it has granted nothing
	rest    []Ballot      // filled: others that were noted as about to begin, lower ones
}

type stage uint8

const (
	opening stage = iota // the group is asked
	holding              // granted; the module has it
	begins               // the group is told that it is about to
	runs                 // begun here
	ends                 // its end is being noted
	waits                // another holds it
	peeking              // nothing may be held: what is known?
)

// claim is a key that reqs here are about.
type claim struct {
	key     idempotency.Key
	made    time.Duration
	work    Work
	due     time.Duration
	stage   stage
	ballot  Ballot
	force   bool
	rebegin bool // it was to begin when another ballot was needed
	first   uint64
	ids     []uint64
	untold  []uint64 // of ids: those whose Ask has no answer yet
	votes   map[string]word
	since   time.Duration // of the stage
	asked   time.Duration // when the last req came
	sent    time.Duration
	tries   int
	taken   bool // first is no req that came here
	passed  bool // its end is another's, passed on
	kind    idempotency.Kind
	result  []byte
	told    bool // the module knows of the first
	replay  bool
	from    time.Duration // since when somebody waits
	run     uint64        // see Message
	notice  uint64
}

// Box is one box's part. Make it with New.
type Box struct {
	cfg     Config
	store   *idempotency.Store
	peers   Peers
	now     time.Duration
	notes   map[idempotency.Key]*note
	byNote  map[uint64]idempotency.Key
	byRun   map[run]*note // begun ones whose holder's processor may be asked
	claims  map[idempotency.Key]*claim
	noted   []*note  // in the order in which they came; some may be gone
	claimed []*claim // so too
	groups  map[idempotency.Key][][]string
	top     uint64 // the highest ballot seen
	ids     uint64
	noteIDs uint64 // of intents in the store, which may still have some of an earlier Box in hand
	sends   []Send
	out     []Outcome
	chance  prng.Chance
	stats   Stats
	leaving bool
	waits   []*note // of this turn: those to be taken over, as far as there is room
	replays int     // notes of replayable reqs
	bytes   int     // and of their results
	asks    []Processor
	fences  map[string]fence
	goes    uint64 // print of the lists that it goes by
}

// run is one at a box's processor.
type run struct {
	of string
	id uint64
}

// Req is what this box has to do with one.
type Req struct {
	Key     string        `json:"key"`
	Handler string        `json:"handler"`
	Part    string        `json:"part"` // holds, waits, notes
	Step    string        `json:"step"`
	Holder  string        `json:"holder"`
	Taken   bool          `json:"taken"` // over from another
	Left    time.Duration `json:"left"`  // that its caller still waits, in nanoseconds
}

// Reqs are some of those that this box holds, waits for or has noted, by key.
func (b *Box) Reqs(most int) []Req {
	var out []Req
	for _, c := range b.claims {
		r := Req{fmt.Sprintf("%x", c.key), c.work.Handler, "holds", c.stage.String(), b.cfg.Name, c.taken, c.due - b.now}
		if c.stage == waits || c.stage == peeking {
			r.Part, r.Holder = "waits", c.votes["holder"].By.Box
		}
		out = append(out, r)
	}
	for _, n := range b.notes {
		step := "held"
		switch {
		case n.over:
			step = "answered"
		case n.begun && n.durable:
			step = "begun"
		case n.begun:
			step = "about to begin"
		}
		out = append(out, Req{fmt.Sprintf("%x", n.key), n.work.Handler, "notes", step, n.ballot.Box, false, n.due - b.now})
	}
	slices.SortFunc(out, func(x, y Req) int { return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(x.Part, y.Part)) })
	return out[:min(most, len(out))]
}

// String is the stage's word.
func (s stage) String() string {
	return [...]string{"asked for", "held", "about to begin", "begun", "ended", "waited for", "looked for"}[s]
}

// Processor is a lost box's processor that may know how runs ended that were begun there.
type Processor struct {
	Of     string
	Notice uint64 // the last that its box had surely read when it began the first of them
}

// Stats tell what a box has to do with others.
type Stats struct {
	Held    int   `json:"held"`    // reqs that this box holds
	Waiting int   `json:"waiting"` // and whose holder another is
	Notes   int   `json:"notes"`   // noted for holders
	Begun   int   `json:"begun"`   // of them those that are about to run, or do
	Taken   int64 `json:"taken"`   // taken over so far
	InDoubt int64 `json:"in_doubt"`
	Joined  int64 `json:"joined"` // reqs answered by another's run
	Lost    int64 `json:"lost"`   // held here until another took them
	Found   int64 `json:"found"`  // ends of a lost box's runs that its processor told
}

// New returns a box's part, on its store.
func New(cfg Config, store *idempotency.Store, peers Peers, seed uint64, now time.Duration) *Box {
	cfg.Size, cfg.Patient, cfg.Again = cmp.Or(cfg.Size, sizeUsual), cmp.Or(cfg.Patient, patientUsual), cmp.Or(cfg.Again, againUsual)
	cfg.Notes, cfg.InHand, cfg.Bytes = cmp.Or(cfg.Notes, notesUsual), cmp.Or(cfg.InHand, inHandUsual), cmp.Or(cfg.Bytes, bytesUsual)
	return &Box{cfg: cfg, store: store, peers: peers, now: now, notes: map[idempotency.Key]*note{}, byNote: map[uint64]idempotency.Key{}, byRun: map[run]*note{},
		claims: map[idempotency.Key]*claim{}, groups: map[idempotency.Key][][]string{}, fences: map[string]fence{}, noteIDs: cfg.Life << 32,
		chance: prng.New(seed), goes: goes(cfg)}
}

// Take hands over what is to be sent, and what becomes of reqs, since the last call.
func (b *Box) Take() ([]Send, []Outcome) {
	s, o := b.sends, b.out
	b.sends, b.out = nil, nil
	return s, o
}

// Stats gives them.
func (b *Box) Stats() Stats {
	s := b.stats
	for _, c := range b.claims {
		if c.stage == waits || c.stage == peeking {
			s.Waiting++
		} else {
			s.Held++
		}
	}
	s.Notes = len(b.notes)
	for _, n := range b.notes {
		if n.begun {
			s.Begun++
		}
	}
	return s
}

// groupsOf are the groups of which majorities are needed.
func (b *Box) groupsOf(key idempotency.Key) [][]string {
	if g := b.groups[key]; g != nil {
		return g
	}
	g := [][]string{Group(b.cfg.Members, key, b.cfg.Size)}
	if len(b.cfg.Before) > 0 && off != ruleBefore {
		g = append(g, Group(b.cfg.Before, key, b.cfg.Size))
	}
	if len(b.groups) >= groupsKept {
		clear(b.groups)
	}
	b.groups[key] = g
	return g
}

// all are the boxes of both groups.
func (b *Box) all(key idempotency.Key) []string {
	var out []string
	for _, g := range b.groupsOf(key) {
		for _, name := range g {
			if !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	return out
}

// most tells whether those that count are a majority of each group.
func (b *Box) most(key idempotency.Key, counts func(name string) bool) bool {
	for _, g := range b.groupsOf(key) {
		n := 0
		for _, name := range g {
			if counts(name) {
				n++
			}
		}
		if 2*n <= len(g) {
			return false
		}
	}
	return true
}

// voted tells whether a majority has that vote for the claim's ballot.
func (b *Box) voted(c *claim, v Vote) bool {
	return b.most(c.key, func(name string) bool { m, ok := c.votes[name]; return ok && m.Vote == v })
}

// send gives a message to a box; to this one at once.
func (b *Box) send(to string, m Message) {
	switch m.Kind {
	case Opened, Begun, Ended, Seen, Took:
		m.Fences = b.fencesOf(m.Key)
	}
	if to == b.cfg.Name {
		b.receive(to, b.cfg.Life, &m)
		return
	}
	b.sends = append(b.sends, Send{to, m})
}

// toAll sends to the group what some of it have not answered.
func (b *Box) toAll(c *claim, m Message) {
	c.sent = b.now
	m.Key, m.Ballot = c.key, c.ballot
	for _, name := range b.all(c.key) {
		if _, answered := c.votes[name]; !answered {
			b.send(name, m)
		}
		if b.claims[c.key] != c || c.ballot != m.Ballot { // the answer of this box ended it
			return
		}
	}
}

func (b *Box) tell(c *claim, id uint64, v idempotency.Verdict, result []byte) {
	b.out = append(b.out, Outcome{Key: c.key, Made: c.made, Outcome: idempotency.Outcome{ID: id, Verdict: v, Result: result}})
	switch v {
	case idempotency.Repeat:
		b.stats.Joined++
	case idempotency.InDoubt:
		b.stats.InDoubt++
	}
}

// tellAll ends a claim: all its reqs hear.
func (b *Box) tellAll(c *claim, v idempotency.Verdict, result []byte) {
	delete(b.claims, c.key)
	if c.first != 0 {
		b.tell(c, c.first, v, result)
	}
	for _, id := range c.ids {
		b.tell(c, id, v, result)
	}
}

func (b *Box) enter(c *claim, s stage) {
	c.stage, c.since, c.votes = s, b.now, map[string]word{}
}

// Ask takes a req that was read here. The outcome is Fresh (it may go to the module), Known (it may join), or what it meets.
func (b *Box) Ask(now time.Duration, key idempotency.Key, made time.Duration, id uint64, w Work) {
	b.now = max(b.now, now)
	if c := b.claims[key]; c != nil {
		c.ids = append(c.ids, id)
		c.asked = b.now
		if c.untold = append(c.untold, id); c.stage != opening {
			b.tellKnown(c)
		}
		return
	}
	c := b.newClaim(key, made)
	c.work, c.due, c.first, c.replay = w, b.now+time.Duration(w.Left), id, w.Replay
	b.open(c, false)
}

func (b *Box) newClaim(key idempotency.Key, made time.Duration) *claim {
	c := &claim{key: key, made: made, from: b.now}
	b.claims[key] = c
	b.claimed = append(b.claimed, c)
	return c
}

func (b *Box) newNote(key idempotency.Key) *note {
	n := &note{key: key}
	b.notes[key] = n
	b.noted = append(b.noted, n)
	return n
}

func (b *Box) noteID() uint64 {
	b.noteIDs++
	return b.noteIDs
}

// tellKnown lets those that ask join.
func (b *Box) tellKnown(c *claim) {
	for _, id := range c.untold {
		b.tell(c, id, idempotency.Known, nil)
	}
	c.untold = nil
}

// open asks the group for a key under a new ballot.
func (b *Box) open(c *claim, force bool) {
	b.top++
	c.ballot, c.force = Ballot{b.top, b.cfg.Name, b.cfg.Life}, force
	c.tries++
	b.enter(c, opening)
	b.askOpen(c)
}

func (b *Box) askOpen(c *claim) {
	w := c.work
	w.Left = int64(c.due - b.now)
	b.toAll(c, Message{Kind: Open, Force: c.force, Made: c.made, Work: &w, Replay: c.replay})
}

// Forerunner is the req here that a repeat of a key would join, 0 if there is none.
func (b *Box) Forerunner(key idempotency.Key) uint64 {
	if c := b.claims[key]; c != nil {
		return c.first
	}
	return 0
}

// Begin says that the module wants a req to run. The outcome Begin lets it; else it hears how another ran. notice is the last that was read
// of the processor.
func (b *Box) Begin(now time.Duration, key idempotency.Key, id, notice uint64) {
	b.now = max(b.now, now)
	c := b.claims[key]
	switch {
	case c == nil || c.stage == peeking:
		b.out = append(b.out, Outcome{Key: key, Outcome: idempotency.Outcome{ID: id, Verdict: idempotency.Fresh}})
	case c.stage == holding && c.first == id:
		c.run, c.notice = id, notice
		b.begin(c)
	case c.first != id && !slices.Contains(c.ids, id):
		c.ids = append(c.ids, id)
	}
}

// Runs says that a replayable req runs: nobody is asked for that.
func (b *Box) Runs(now time.Duration, key idempotency.Key, id uint64) {
	b.now = max(b.now, now)
	if c := b.claims[key]; c != nil && c.replay && c.first == id && c.stage == holding {
		b.enter(c, runs)
	}
}

func (b *Box) begin(c *claim) {
	b.enter(c, begins)
	b.askBegin(c)
}

func (b *Box) askBegin(c *claim) {
	b.toAll(c, Message{Kind: Begin, Made: c.made, Run: c.run, Notice: c.notice})
}

// Join has a repeat wait for what its forerunner gets.
func (b *Box) Join(now time.Duration, key idempotency.Key, id uint64) {
	b.now = max(b.now, now)
	if b.claims[key] == nil { // it ended since
		b.out = append(b.out, Outcome{Key: key, Outcome: idempotency.Outcome{ID: id, Verdict: idempotency.Fresh}})
	}
}

// Leave says that a req no longer waits, and never ran: refused, given up, its caller gone.
func (b *Box) Leave(now time.Duration, key idempotency.Key, id uint64) {
	b.now = max(b.now, now)
	c := b.claims[key]
	if c == nil {
		return
	}
	if c.first != id {
		c.ids = slices.DeleteFunc(c.ids, func(x uint64) bool { return x == id })
		if c.first == 0 && len(c.ids) == 0 && (c.stage == waits || c.stage == peeking) {
			delete(b.claims, key)
		}
		return
	}
	switch c.stage {
	case waits, peeking:
		if c.first = 0; len(c.ids) == 0 {
			delete(b.claims, key)
		}
	case opening, holding, begins:
		b.release(c)
	case runs, ends:
	}
}

// release gives a key back that surely never ran under the claim's ballot.
func (b *Box) release(c *claim) {
	c.first = 0
	b.end(c, idempotency.Never, nil)
}

// End says how a run that was begun ended. Done is the outcome of a good one, when a majority has noted it.
func (b *Box) End(now time.Duration, key idempotency.Key, id uint64, kind idempotency.Kind, result []byte) {
	b.now = max(b.now, now)
	c := b.claims[key]
	if c == nil || c.first != id || c.stage != runs {
		return
	}
	b.end(c, kind, result)
}

func (b *Box) end(c *claim, kind idempotency.Kind, result []byte) {
	if c.replay {
		b.endReplay(c, kind, result)
		return
	}
	b.enter(c, ends)
	c.kind, c.result = kind, slices.Clone(result)
	v := idempotency.Broken
	if kind == idempotency.Never {
		v = idempotency.Fresh
	}
	if kind == idempotency.Failed || kind == idempotency.Never {
		c.first = 0 // it was answered
		for _, id := range c.ids {
			b.tell(c, id, v, nil)
		}
		c.ids = nil
	}
	b.toAll(c, Message{Kind: End, End: kind, Result: c.result, Made: c.made})
}

// endReplay tells the group once how a run ended that may be run again: nobody waits for its word, and where it is lost, one more run
// is all that follows.
func (b *Box) endReplay(c *claim, kind idempotency.Kind, result []byte) {
	b.enter(c, ends)
	if kind != idempotency.Result {
		kind, result = idempotency.Never, nil
	}
	delete(b.claims, c.key)
	for _, name := range b.all(c.key) {
		b.send(name, Message{Kind: End, Key: c.key, Ballot: c.ballot, End: kind, Result: result, Replay: true})
	}
	if kind == idempotency.Never {
		for _, id := range c.ids {
			b.tell(c, id, idempotency.Fresh, nil)
		}
		return
	}
	c.first = 0 // it was answered
	b.tellAll(c, idempotency.Repeat, result)
}

// Hands gives up what this box holds and has not begun, for another to take over; reqs that came here wait for it.
func (b *Box) Hands(now time.Duration, key idempotency.Key, id uint64) bool {
	b.now = max(b.now, now)
	c := b.claims[key]
	if c == nil || c.first != id || c.stage != holding || c.taken {
		return false
	}
	to := ""
	for _, name := range b.all(key) {
		if name != b.cfg.Name && b.peers.Alive(name) {
			to = name
			break
		}
	}
	if to == "" {
		return false
	}
	w := c.work
	w.Left = int64(c.due - b.now)
	b.send(to, Message{Kind: Hand, Key: key, Ballot: c.ballot, Made: c.made, Work: &w, Replay: c.replay})
	c.ids = append([]uint64{c.first}, c.ids...)
	c.first = 0
	b.enter(c, waits)
	return true
}

// Durable says how far the store's writes are on the disk.
func (b *Box) Durable(now time.Duration, seq uint64) {
	b.now = max(b.now, now)
	b.stored(b.store.Durable(seq))
}

// Failed says that the disk takes nothing more: this box notes nothing any more.
func (b *Box) Failed(now time.Duration) {
	b.now = max(b.now, now)
	b.stored(b.store.DiskFailed())
}

// stored follows what the store says of notes.
func (b *Box) stored(all []idempotency.Outcome) {
	for _, o := range all {
		key, ok := b.byNote[o.ID]
		if !ok {
			continue
		}
		n := b.notes[key]
		switch o.Verdict {
		case idempotency.Begin:
			n.durable = true
			b.send(n.ballot.Box, Message{Kind: Begun, Key: key, Ballot: n.ballot, Vote: Granted})
		case idempotency.Done, idempotency.Repeat:
			b.forget(key, n)
			b.send(n.ballot.Box, Message{Kind: Ended, Key: key, Ballot: n.ballot, Vote: Granted})
			b.tellWaiting(key, n, idempotency.Result, o.Result)
		case idempotency.Unguarded:
			b.forget(key, n)
			b.send(n.ballot.Box, Message{Kind: Begun, Key: key, Ballot: n.ballot, Vote: Full})
		}
	}
}

// tellWaiting lets boxes know that asked while it was in hand.
func (b *Box) tellWaiting(key idempotency.Key, n *note, kind idempotency.Kind, result []byte) {
	for _, name := range slices.Sorted(maps.Keys(n.waiting)) {
		b.send(name, Message{Kind: Took, Key: key, Ballot: n.ballot, Vote: Over, End: kind, Result: result})
	}
}

func (b *Box) forget(key idempotency.Key, n *note) {
	if n.replay {
		b.replays--
		b.bytes -= len(n.result)
	}
	delete(b.byNote, n.id)
	if r := (run{n.ballot.Box, n.run}); b.byRun[r] == n {
		delete(b.byRun, r)
	}
	delete(b.notes, key)
}

// Receive takes a message of a box in that life. One of an earlier life than is known does nothing.
func (b *Box) Receive(now time.Duration, from string, life uint64, m *Message) {
	b.now = max(b.now, now)
	if life < b.peers.Life(from) {
		return
	}
	b.receive(from, life, m)
}

func (b *Box) receive(from string, life uint64, m *Message) {
	b.top = max(b.top, m.Ballot.N, m.By.N)
	switch m.Kind {
	case Open, Begin, End: // of the holder itself, in this life, or it is not heeded; how a run ended others pass on
		if (m.Kind != End || m.End == idempotency.Never) && (m.Ballot.Box != from || m.Ballot.Life != life) {
			return
		}
	}
	switch m.Kind {
	case Open:
		b.grant(from, m)
	case Begin:
		b.noteBegin(from, m)
	case End:
		b.noteEnd(from, m)
	case Look:
		v := b.vote(m, from)
		v.Kind, v.Key, v.Ballot = Seen, m.Key, m.Ballot
		b.send(from, v)
	case Holds:
		c := b.claims[m.Key]
		if m.Ballot.Life == b.cfg.Life && c != nil && c.ballot == m.Ballot && c.stage != waits && c.stage != peeking {
			return // yes
		}
		b.send(from, Message{Kind: NotHeld, Key: m.Key, Ballot: m.Ballot})
	case Hand:
		if n := b.notes[m.Key]; n != nil && !n.begun && n.ballot == m.Ballot && b.claims[m.Key] == nil {
			b.takeOver(m.Key, n)
		}
	case Opened, Begun, Ended, Seen, NotHeld, Took:
		b.answered(from, life, m)
	}
}

// vote is what this box knows of a key; from is told how it ends if it is in hand.
func (b *Box) vote(m *Message, from string) Message {
	if n := b.notes[m.Key]; n != nil {
		if n.over {
			return Message{Vote: Over, End: idempotency.Result, Result: n.result}
		}
		if n.waiting == nil {
			n.waiting = map[string]bool{}
		}
		if from != n.ballot.Box {
			n.waiting[from] = true
		}
		v := Held
		switch {
		case n.filled && b.store.Printed(m.Key):
			return Message{Vote: Gone}
		case n.filled && !b.store.Tells(m.Key):
			return Message{Vote: Silent}
		case n.begun:
			v = Running
		}
		if n.ending {
			return Message{Vote: v, By: n.ballot, End: idempotency.Result}
		}
		return Message{Vote: v, By: n.ballot}
	}
	if m.Replay {
		return Message{Vote: None}
	}
	o := b.store.Meet(b.now, m.Made, m.Key)
	switch o.Verdict {
	case idempotency.Fresh:
		return Message{Vote: None}
	case idempotency.Repeat:
		return Message{Vote: Over, End: idempotency.Result, Result: o.Result}
	case idempotency.Broken:
		return Message{Vote: Over, End: idempotency.Failed}
	case idempotency.InDoubt:
		if b.store.Printed(m.Key) { // it ended where it has aged since
			return Message{Vote: Gone}
		}
		if !b.store.Tells(m.Key) { // how it ended may be what this disk lacks
			return Message{Vote: Silent}
		}
		return Message{Vote: Doubted}
	case idempotency.TooLate:
		return Message{Vote: Gone}
	case idempotency.Unguarded:
		return Message{Vote: Full}
	}
	return Message{Vote: Silent}
}

// grant answers who asks for a key.
func (b *Box) grant(from string, m *Message) {
	v := b.vote(m, from)
	n := b.notes[m.Key]
	switch {
	case off == ruleBegun && v.Vote == Running && m.Force:
		n.ballot = m.Ballot
		v = Message{Vote: Granted}
	case v.Vote == Held && (m.Force || n.ballot.Box == from) && m.Ballot.compare(n.ballot) > 0,
		v.Vote == Running && !n.filled && !n.ending && n.ballot.Box == from && n.ballot.Life == m.Ballot.Life && m.Ballot.compare(n.ballot) > 0:
		if v.Vote == Running { // who was about to begin has not, and gives that ballot up
			b.stored(b.store.Ended(b.now, m.Key, idempotency.Never, nil))
			b.forget(m.Key, n)
			waiting := n.waiting
			n = b.newNote(m.Key)
			n.waiting = waiting
		}
		v = Message{Vote: Granted}
	case v.Vote == Held && m.Ballot == n.ballot: // again
		v = Message{Vote: Granted}
	case v.Vote == Held && m.Force:
		v.Vote = Lost
	case v.Vote == None && (len(b.notes) >= b.cfg.Notes || m.Replay && b.replays >= b.cfg.Notes/2): // half is for what must not run twice
		v.Vote = Full
	case v.Vote == None:
		if n = b.newNote(m.Key); m.Replay {
			n.replay = true
			b.replays++
		}
		v = Message{Vote: Granted}
	}
	if v.Vote == Granted {
		n.ballot, n.made, n.lostAt = m.Ballot, m.Made, 0
		if m.Work != nil {
			n.work, n.due = *m.Work, b.now+time.Duration(m.Work.Left)
			n.work.Body = slices.Clone(m.Work.Body)
		}
	}
	v.Kind, v.Key, v.Ballot = Opened, m.Key, m.Ballot
	b.send(from, v)
}

// noteBegin notes that a holder is about to begin, if its ballot is the one that was granted.
func (b *Box) noteBegin(from string, m *Message) {
	n := b.notes[m.Key]
	answer := func(v Vote, by Ballot) {
		b.send(from, Message{Kind: Begun, Key: m.Key, Ballot: m.Ballot, Vote: v, By: by})
	}
	switch {
	case n == nil:
		answer(Lost, Ballot{})
	case n.ballot != m.Ballot && off != ruleBallot:
		answer(Lost, n.ballot)
	case n.filled: // what others had noted is no word of this box
		answer(Lost, n.ballot)
	case n.begun && n.durable:
		answer(Granted, Ballot{})
	case n.begun: // it is being written
	default:
		n.id = b.noteID()
		o := b.store.Arrive(b.now, m.Made, m.Key, n.work.Handler, n.id)
		if o.Verdict != idempotency.Wait {
			answer(Full, Ballot{})
			return
		}
		n.begun, n.run, n.notice = true, m.Run, m.Notice
		b.byRun[run{from, m.Run}] = n
		b.byNote[n.id] = m.Key
		if off == ruleDurable {
			answer(Granted, Ballot{})
		}
	}
}

// rule is one that a test of the tests switches off.
type rule uint8

const (
	ruleMajority rule = iota + 1 // begin only when a majority has noted that
	ruleBallot                   // note a begin only under the ballot that was granted last
	ruleBegun                    // grant no key that is noted as begun
	ruleDurable                  // note it durably before saying so
	ruleBefore                   // while the members change, ask the group of the list before as well
	ruleWait                     // end a change only when all went by both lists for as long as anything is asked for again
	ruleFence                    // words of a box's lives before it was told anew don't count beside those of who told it
	ruleWhole                    // who has lost something itself tells nobody all
	ruleInHand                   // what may be running is told as well
	rulePrints                   // and what has aged
	ruleEvery                    // all others of a key's group must have told
)

var off rule

// noteEnd notes how a run ended, or that a key is given back. Who says how it ended ran it, under whatever ballot this box knows of.
func (b *Box) noteEnd(from string, m *Message) {
	n := b.notes[m.Key]
	answer := func(v Vote) { b.send(from, Message{Kind: Ended, Key: m.Key, Ballot: m.Ballot, Vote: v}) }
	if m.Replay && m.End == idempotency.Result {
		if n != nil && n.replay && !n.over && b.bytes+len(m.Result) <= b.cfg.Bytes {
			n.over, n.result = true, slices.Clone(m.Result)
			b.bytes += len(n.result)
			b.tellWaiting(m.Key, n, idempotency.Result, n.result)
		}
		return
	}
	if m.End == idempotency.Never {
		switch {
		case n == nil:
		case n.ballot == m.Ballot && len(n.rest) > 0:
			n.ballot, n.rest = n.rest[0], n.rest[1:]
		case n.ballot != m.Ballot:
			n.rest = slices.DeleteFunc(n.rest, func(o Ballot) bool { return o == m.Ballot })
		default:
			if n.begun {
				b.stored(b.store.Ended(b.now, m.Key, idempotency.Never, nil))
			}
			b.forget(m.Key, n)
		}
		answer(Granted)
		return
	}
	if n == nil {
		v := b.store.Meet(b.now, m.Made, m.Key).Verdict
		switch v {
		case idempotency.Repeat, idempotency.Broken, idempotency.TooLate: // it is noted already
			answer(Granted)
			return
		case idempotency.Fresh, idempotency.InDoubt, idempotency.Blind: // others noted its begin, or an earlier life of this box did, or may have
			if v == idempotency.Blind && !b.store.Learn(b.now, idempotency.Told{Key: m.Key}) {
				answer(Full)
				return
			}
			n = b.newNote(m.Key)
			n.begun = v != idempotency.Fresh
		default:
			answer(Full)
			return
		}
	}
	n.ballot = m.Ballot
	if !n.begun || n.id == 0 {
		n.id = b.noteID()
		b.store.Resume(m.Key, n.id)
	}
	if !n.begun {
		if o := b.store.Arrive(b.now, m.Made, m.Key, n.work.Handler, n.id); o.Verdict != idempotency.Wait {
			b.forget(m.Key, n)
			answer(Full)
			return
		}
		n.begun = true
	}
	b.byNote[n.id] = m.Key
	if m.End == idempotency.Failed {
		b.store.Ended(b.now, m.Key, idempotency.Failed, nil)
		b.tellWaiting(m.Key, n, idempotency.Failed, nil)
		b.forget(m.Key, n)
		answer(Granted)
		return
	}
	n.ending = true
	b.stored(b.store.Ended(b.now, m.Key, m.End, m.Result)) // acknowledged when it is durable
}

// answered follows the answer of a box of the group.
func (b *Box) answered(from string, life uint64, m *Message) {
	c := b.claims[m.Key]
	if c == nil {
		return
	}
	switch {
	case m.Kind == Took:
		if c.stage == waits || c.stage == peeking {
			b.over(c, m)
		}
	case m.Kind == NotHeld:
		if c.stage == waits && c.votes["holder"].By == m.Ballot {
			b.look(c)
		}
	case m.Ballot != c.ballot:
	case m.Kind == Opened && c.stage == opening:
		c.count(from, life, m)
		b.decide(c)
	case m.Kind == Begun && c.stage == begins:
		c.count(from, life, m)
		lost := false
		possible := b.most(c.key, func(name string) bool {
			m, ok := c.votes[name]
			lost = lost || m.Vote == Lost
			return !ok || m.Vote == Granted
		})
		switch {
		case b.voted(c, Granted), off == ruleMajority && m.Vote == Granted:
			b.enter(c, runs)
			b.tell(c, c.first, idempotency.Begin, nil)
		case possible:
		case lost: // another ballot is needed, or another box has it
			c.rebegin = true
			b.open(c, false)
		default:
			b.refuse(c, idempotency.Unguarded)
		}
	case m.Kind == Ended && c.stage == ends:
		c.count(from, life, m)
		if b.voted(c, Granted) {
			b.ended(c)
		}
	case m.Kind == Seen && c.stage == peeking:
		c.count(from, life, m)
		b.decide(c)
	}
}

// ended follows the word of a majority that the end is noted.
func (b *Box) ended(c *claim) {
	delete(b.claims, c.key)
	switch c.kind { // those that came meanwhile hear too
	case idempotency.Never:
		b.tellAll(c, idempotency.Fresh, nil)
		return
	case idempotency.Failed:
		b.tellAll(c, idempotency.Broken, nil)
		return
	}
	if c.first != 0 && !c.passed {
		b.tell(c, c.first, idempotency.Done, c.result)
		c.first = 0
	}
	b.tellAll(c, idempotency.Repeat, c.result)
}

// over ends a claim by another's run. Its result is an answer once a majority has noted it: who died may have told only one.
func (b *Box) over(c *claim, m *Message) {
	switch m.End {
	case idempotency.Result:
		if c.replay || b.voted(c, Over) {
			b.tellAll(c, idempotency.Repeat, m.Result)
			return
		}
		b.tellKnown(c)
		b.enter(c, ends)
		c.kind, c.result, c.passed, c.told = idempotency.Result, m.Result, true, true
		b.toAll(c, Message{Kind: End, End: idempotency.Result, Result: c.result, Made: c.made})
	case idempotency.Long:
		b.tellAll(c, idempotency.TooLate, nil)
	default:
		b.tellAll(c, idempotency.Broken, nil)
	}
}

// refuse ends a claim that was never begun: what was granted is given back.
func (b *Box) refuse(c *claim, v idempotency.Verdict) {
	first, ids := c.first, c.ids
	c.first, c.ids = 0, nil
	if c.replay {
		v = idempotency.Fresh // served as without a cluster
	}
	if c.stage == opening || c.stage == begins {
		b.end(c, idempotency.Never, nil)
	} else {
		delete(b.claims, c.key)
	}
	if first != 0 {
		b.tell(c, first, v, nil)
	}
	for _, id := range ids {
		b.tell(c, id, v, nil)
	}
}

// decide looks at what the group has said so far.
func (b *Box) decide(c *claim) {
	var over, by *Message
	doubted, ending, gone, silent, full := false, false, false, false, false
	for _, name := range b.all(c.key) {
		m, ok := c.votes[name]
		if !ok {
			continue
		}
		switch m.Vote {
		case Over:
			if over == nil || m.End == idempotency.Result {
				over = &m.Message
			}
		case Running:
			ending = ending || m.End != 0
			if by == nil || by.Vote != Running || m.By.compare(by.By) > 0 {
				by = &m.Message
			}
		case Held, Lost:
			if by == nil || by.Vote != Running && m.By.compare(by.By) > 0 {
				by = &m.Message
			}
		case Doubted:
			doubted = true
		case Gone:
			gone = true
		case Silent:
			silent = true
		case Full:
			full = true
		}
	}
	all := len(c.votes) == len(b.all(c.key))
	told := b.most(c.key, func(name string) bool { m, ok := c.votes[name]; return ok && m.Vote != Silent }) // who can't tell counts for none
	every := all || told
	if every && b.now-c.since < b.cfg.Patient/4 { // some may still say more
		every = all || !doubted && !gone && (by == nil || by.Vote != Running)
	}
	switch {
	case over != nil:
		b.dropGrants(c)
		b.over(c, over)
	case c.stage == opening && b.voted(c, Granted): // whatever else is noted was noted by less than a majority, and can't be any more
		b.granted(c)
	case !every:
	case gone: // it did end, though some never heard of that
		b.dropGrants(c)
		b.tellAll(c, idempotency.TooLate, nil)
	case !ending && (by != nil && by.Vote == Running && b.lost(by.By) || doubted && (by == nil || by.Vote != Running)):
		b.dropGrants(c)
		if c.asked >= c.since { // who came since may have a right to better
			b.look(c)
			return
		}
		v := idempotency.InDoubt
		if !told { // most of the group's disks have lost something: its end may have been there
			v = idempotency.Blind
		}
		b.tellAll(c, v, nil)
	case c.stage == peeking && b.voted(c, None):
		b.tellAll(c, idempotency.Fresh, nil)
	case by != nil && (ending || (by.Vote == Running || !b.lost(by.By)) && by.By.Box != b.cfg.Name):
		if !b.contests(c, by) {
			b.waitFor(c, by.By)
		}
	case by != nil && c.stage == opening && c.tries < triesMost: // its holder is lost, or this box was: ask above it
		b.open(c, true)
	case by != nil && c.stage == peeking:
		b.waitFor(c, by.By)
	case len(c.votes) < len(b.all(c.key)) && b.now-c.since < b.cfg.Patient: // who has not answered may help
	case c.stage == opening:
		v := Undecided
		if silent && all {
			v = idempotency.Blind
		} else if full {
			v = idempotency.NoRoom
		}
		b.refuse(c, v)
	}
}

// contests tells whether a claim is not yet given up to another that asks for the same key in the same moment, of which no majority says that it
// holds it. Where both gave way to each other nobody would run it: who may still get a majority waits for the rest of the group, then the
// higher ballot asks again and the lower one gives way.
func (b *Box) contests(c *claim, by *Message) bool {
	if c.stage != opening || by.Vote == Running || b.most(c.key, func(name string) bool { return c.votes[name].By == by.By }) {
		return false
	}
	waited := b.now - c.since
	if waited < b.cfg.Again && b.most(c.key, func(name string) bool { m, ok := c.votes[name]; return !ok || m.Vote == Granted }) {
		return true
	}
	if c.ballot.compare(by.By) < 0 || c.tries >= triesMost {
		return false
	}
	if waited >= b.cfg.Again {
		b.open(c, false)
	}
	return true
}

// lost tells whether a ballot's holder seems to be no more.
func (b *Box) lost(by Ballot) bool {
	if by.Box == b.cfg.Name {
		return by.Life != b.cfg.Life
	}
	return !b.peers.Alive(by.Box) || b.peers.Life(by.Box) > by.Life
}

// granted follows the majority's grant: this box holds the key.
func (b *Box) granted(c *claim) {
	b.enter(c, holding)
	switch {
	case c.rebegin:
		c.rebegin = false
		b.begin(c)
	case c.taken && !c.told:
		c.told = true
		b.stats.Taken++
		w := c.work
		w.Left = int64(c.due - b.now)
		b.out = append(b.out, Outcome{Key: c.key, Made: c.made, Work: &w, Outcome: idempotency.Outcome{ID: c.first, Verdict: Taken}})
	case c.first != 0 && !c.told:
		c.told = true
		b.tell(c, c.first, idempotency.Fresh, nil)
	}
	b.tellKnown(c)
}

// dropGrants gives back what was granted to a claim that ends otherwise.
func (b *Box) dropGrants(c *claim) {
	if c.stage != opening {
		return
	}
	for _, name := range b.all(c.key) {
		if c.votes[name].Vote == Granted {
			b.send(name, Message{Kind: End, Key: c.key, Ballot: c.ballot, End: idempotency.Never})
		}
	}
}

// waitFor has a claim's reqs wait for another's run.
func (b *Box) waitFor(c *claim, by Ballot) {
	b.dropGrants(c)
	if c.rebegin || c.stage == opening && c.told {
		b.stats.Lost++
	}
	if c.taken { // the module need not run it after all
		if c.told {
			b.tell(c, c.first, idempotency.Fresh, nil)
		}
		c.taken, c.first = false, 0
	}
	b.enter(c, waits)
	if c.first != 0 && !c.told {
		b.tell(c, c.first, idempotency.Known, nil)
	}
	c.rebegin, c.told = false, true
	c.votes["holder"] = word{Message: Message{By: by}}
	b.tellKnown(c)
	if c.first == 0 && len(c.ids) == 0 {
		delete(b.claims, c.key)
		return
	}
	if by.Box != "" {
		b.send(by.Box, Message{Kind: Holds, Key: c.key, Ballot: by})
	}
	c.sent = b.now + time.Duration(b.chance.Below(int(b.cfg.Again)))
}

// look asks the group what is known, for reqs that wait.
func (b *Box) look(c *claim) {
	b.top++
	c.ballot = Ballot{b.top, b.cfg.Name, b.cfg.Life}
	b.enter(c, peeking)
	b.toAll(c, Message{Kind: Look, Made: c.made})
}

// takeOver has this box ask for a key whose holder is lost, or leaves.
func (b *Box) takeOver(key idempotency.Key, n *note) {
	c := b.claims[key]
	if c == nil {
		c = b.newClaim(key, n.made)
	} else if c.first != 0 {
		c.ids = append([]uint64{c.first}, c.ids...)
	}
	b.ids++
	c.work, c.due, c.first, c.taken, c.told, c.tries = n.work, n.due, takenID|b.cfg.Life<<40|b.ids, true, false, 0
	c.replay, c.work.Replay = n.replay, n.replay
	b.open(c, true)
}

// takenID marks ids of reqs that came to another box.
const takenID = 1 << 63

// IsTaken tells whether an id is that of a req that was taken over.
func IsTaken(id uint64) bool { return id >= takenID }

// Tick does what is due.
func (b *Box) Tick(now time.Duration) {
	b.now = max(b.now, now)
	claimed := b.claimed
	b.claimed = nil
	kept := claimed[:0]
	for _, c := range claimed {
		if b.claims[c.key] == c {
			b.tick(c)
			kept = append(kept, c)
		}
	}
	b.claimed = append(kept, b.claimed...)
	noted := b.noted
	b.noted = nil
	left := noted[:0]
	for _, n := range noted {
		if b.notes[n.key] == n {
			b.tickNote(n.key, n)
			left = append(left, n)
		}
	}
	b.noted = append(left, b.noted...)
	b.takeLost()
}

// takeLost takes over what this turn found, by worth, then by the time left, as far as there is room.
func (b *Box) takeLost() {
	if len(b.waits) == 0 {
		return
	}
	room := b.cfg.InHand
	for _, c := range b.claims {
		if c.taken {
			room--
		}
	}
	slices.SortStableFunc(b.waits, func(x, y *note) int {
		return cmp.Or(cmp.Compare(y.work.Worth, x.work.Worth), cmp.Compare(x.due, y.due), slices.Compare(x.key[:], y.key[:]))
	})
	for i, n := range b.waits {
		if i >= room {
			break
		}
		n.lostAt = b.now
		b.takeOver(n.key, n)
	}
	b.waits = b.waits[:0]
}

func (b *Box) tick(c *claim) {
	again := b.now-c.sent >= b.cfg.Again
	switch c.stage {
	case opening:
		if c.replay && b.now-c.since >= replayWait {
			b.refuse(c, idempotency.Fresh)
			return
		}
		if b.now-c.since >= b.cfg.Patient {
			b.decide(c)
			if b.claims[c.key] == c && c.stage == opening && b.now-c.since >= b.cfg.Patient {
				b.refuse(c, Undecided)
			}
			return
		}
		if b.decide(c); again && b.claims[c.key] == c && c.stage == opening {
			b.askOpen(c)
		}
	case begins:
		if b.now > c.due { // nobody waits any more, and it surely never ran
			b.refuse(c, Undecided)
		} else if again {
			b.askBegin(c)
		}
	case ends:
		if b.now-c.since > endFor {
			c.first = 0 // it was answered when its time was over
			b.tellAll(c, Undecided, nil)
		} else if again {
			b.toAll(c, Message{Kind: End, End: c.kind, Result: c.result, Made: c.made})
		}
	case waits:
		if b.enough(c) {
			return
		}
		if again && b.now-c.sent >= 3*b.cfg.Again {
			b.look(c)
		}
	case peeking:
		if b.now > c.due && c.first == 0 && len(c.ids) == 0 { // nobody waits for it: see Settle
			delete(b.claims, c.key)
			return
		}
		if b.enough(c) {
			return
		}
		if b.decide(c); b.claims[c.key] == c && c.stage == peeking {
			if b.now-c.since >= b.cfg.Patient {
				b.look(c)
			} else if again {
				b.toAll(c, Message{Kind: Look, Made: c.made})
			}
		}
	}
}

// enough has replayable reqs that have waited long enough for another's run be run here.
func (b *Box) enough(c *claim) bool {
	if !c.replay || !b.leaving && b.now-c.from < time.Duration(joinShare*float64(c.work.Left)) {
		return false
	}
	b.tellAll(c, idempotency.Fresh, nil)
	return true
}

// askProcessor has the processor of a lost box asked for the end of what was begun there, while somebody may wait for it.
func (b *Box) askProcessor(n *note) {
	if b.peers.Alive(n.ballot.Box) || b.peers.Life(n.ballot.Box) > n.ballot.Life || n.run == 0 || b.now > n.due {
		n.lostAt = 0
		return
	}
	if n.lostAt == 0 {
		n.lostAt = b.now
	}
	if b.now-n.lostAt < processorAfter || b.now-n.asked < processorAgain {
		return
	}
	n.asked = b.now
	for i, p := range b.asks {
		if p.Of == n.ballot.Box {
			b.asks[i].Notice = min(p.Notice, n.notice)
			return
		}
	}
	b.asks = append(b.asks, Processor{n.ballot.Box, n.notice})
}

// Asks hands over the processors to be asked since the last call. Who asks takes their link from their box, if that lives after all; it
// comes again, and nothing is lost by it.
func (b *Box) Asks() []Processor {
	asks := b.asks
	b.asks = nil
	return asks
}

// Found says how a run ended at the processor of a lost box.
func (b *Box) Found(now time.Duration, of string, id uint64, kind idempotency.Kind, result []byte) {
	b.now = max(b.now, now)
	n := b.byRun[run{of, id}]
	if n == nil {
		return
	}
	b.stats.Found++
	c := b.claims[n.key]
	if c == nil {
		c = b.newClaim(n.key, n.made)
	}
	if c.stage != ends {
		b.pass(c, n.ballot, kind, result)
	}
}

// pass has the group note how another's run ended; who waits here hears it then.
func (b *Box) pass(c *claim, by Ballot, kind idempotency.Kind, result []byte) {
	b.dropGrants(c)
	if c.taken { // it was never told to the module: its holder had begun
		c.taken, c.first = false, 0
	}
	if c.first != 0 {
		c.ids = append([]uint64{c.first}, c.ids...)
		if !c.told {
			c.untold = append(c.untold, c.first)
		}
		c.first = 0
	}
	b.tellKnown(c)
	c.ballot, c.passed, c.told = by, true, true
	b.end(c, kind, result)
}

// tickNote looks whether a holder is lost, and lets go of what is past its time.
func (b *Box) tickNote(key idempotency.Key, n *note) {
	if n.over {
		if b.now > n.due {
			b.forget(key, n)
		}
		return
	}
	if n.begun {
		b.askProcessor(n)
		if b.now > n.due+doubtAfter && b.lost(n.ballot) {
			b.store.Doubt(b.now, key)
			b.forget(key, n)
		}
		return
	}
	if b.now > n.due {
		b.forget(key, n)
		return
	}
	if !b.lost(n.ballot) {
		n.lostAt = 0
		return
	}
	if n.lostAt == 0 {
		n.lostAt = b.now
	}
	c := b.claims[key]
	if c != nil && c.stage != waits && c.stage != peeking || b.leaving || !b.cfg.Promise && c == nil && len(n.waiting) == 0 {
		return
	}
	if n.replay && len(n.waiting) == 0 && c == nil && !b.peers.Gone(n.ballot.Box) {
		return // one that is only slow runs it itself: nothing would stop both
	}
	rank := 0
	for _, name := range b.all(key) {
		if name == b.cfg.Name {
			break
		}
		if b.peers.Alive(name) {
			rank++
		}
	}
	if b.now-n.lostAt >= time.Duration(rank)*rankWait {
		b.waits = append(b.waits, n)
	}
}

// Move has the box go by other lists from now on, as Roster.Next allows. What it holds it asks for again before it begins.
func (b *Box) Move(now time.Duration, members, before []Member) {
	b.now = max(b.now, now)
	b.cfg.Members, b.cfg.Before = members, before
	b.goes = goes(b.cfg)
	clear(b.groups)
}

// Leaving says that this box takes nothing over any more.
func (b *Box) Leaving() { b.leaving = true }
