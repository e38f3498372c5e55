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
	"frosthub/idempotency"
	"frosthub/internal/prng"
	"maps"
	"slices"
	"time"
)

// Config says who takes part.
type Config struct {
	Name            string
	Incarnation     uint64
	Members         []Member
	Previous        []Member // while the list of members changes: majorities are needed of both lists
	GroupSize       int      // of a group
	SuspectAfter    time.Duration
	RetryInterval   time.Duration // between repeats of what was not answered
	ResumeUnclaimed bool          // what was held goes on although nobody asks for it again
	MaxNotes        int           // held ones that are noted for others at most
	MaxInFlight     int           // taken over and not ended, at most: the rest waits, what is worth most goes first
	MaxResultBytes  int           // of results of replayable reqs that are noted for others, at most
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

// MessageKind is what a Message says.
type MessageKind uint8

// The kinds. The numbers go over the wire.
const (
	MsgAcquire      MessageKind = 1 // grant me the key; Force: although another holds it
	MsgAcquireReply MessageKind = 2
	MsgStart        MessageKind = 3 // I am about to begin
	MsgStartReply   MessageKind = 4 // noted, durably; or refused
	MsgFinish       MessageKind = 5 // it ended so; Never: it never ran, or may run again, and may be held again
	MsgFinishReply  MessageKind = 6 // noted
	MsgQuery        MessageKind = 7 // what is known of it?
	MsgQueryReply   MessageKind = 8
	MsgHolderCheck  MessageKind = 9 // do you still hold it?
	MsgNotHeld      MessageKind = 10
	MsgCompleted    MessageKind = 11 // to who asked meanwhile: it ended so
	MsgHandOff      MessageKind = 12 // I leave: take it over
)

// Vote is a box's word on a key.
type Vote uint8

// The votes.
const (
	VoteNone           Vote = 0 // nothing is known of it here
	VoteGranted        Vote = 1
	VoteSuperseded     Vote = 2 // a higher ballot was granted
	VoteHeld           Vote = 3 // by By
	VoteRunning        Vote = 4 // begun by By, and nothing was heard of its end; with End: that is on its way to the disk
	VoteFinished       Vote = 5 // End and Result say how
	VoteOutcomeUnknown Vote = 6 // begun, and how it ended is not known
	VoteExpired        Vote = 7 // its result has aged out
	VoteAbstain        Vote = 8 // can't tell
	VoteFull           Vote = 9 // no room
)

// Message is one between boxes about a key.
type Message struct {
	Kind       MessageKind
	Key        idempotency.Key
	Ballot     Ballot
	Force      bool
	Made       time.Duration // since 1970, as its caller told it; 0 not told
	Vote       Vote
	Holder     Ballot
	Outcome    idempotency.EntryKind
	Result     []byte
	Work       *Work
	Replayable bool    // the req may run again: nothing of it is durable, and whoever lost its holder may begin
	Run        uint64  // Begin: the id under which the holder's processor will know it
	Notice     uint64  // Begin: the last notice that the holder has read of its processor
	Fences     []Fence // with a vote: of boxes of the group whose words of earlier lives don't count beside it
}

// word is what a box said in that life.
type word struct {
	Message
	life uint64
}

// Envelope is a message on its way.
type Envelope struct {
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

// TakenOver is the verdict that this box has taken a req over, under the id of the outcome.
const TakenOver idempotency.Decision = 100

// NoQuorum is the verdict where the group could not be asked: refused, it never ran.
const NoQuorum idempotency.Decision = 101

// Peers tells what is believed of boxes.
type Peers interface {
	Alive(name string) bool
	Dead(name string) bool          // it is believed dead, not merely silent for a moment
	Incarnation(name string) uint64 // 0 not known
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
	kind    idempotency.EntryKind
	result  []byte
	told    bool // the module knows of the first
	replay  bool
	from    time.Duration // since when somebody waits
	run     uint64        // see Message
	notice  uint64
}

// Node is one box's part. Make it with New.
type Node struct {
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
	sends   []Envelope
	out     []Outcome
	chance  prng.Source
	stats   Stats
	leaving bool
	waits   []*note // of this turn: those to be taken over, as far as there is room
	replays int     // notes of replayable reqs
	bytes   int     // and of their results
	asks    []ProcessorQuery
	fences  map[string]fence
	goes    uint64 // print of the lists that it goes by
}

// run is one at a box's processor.
type run struct {
	of string
	id uint64
}

// Request is what this box has to do with one.
type Request struct {
	Key     string        `json:"key"`
	Handler string        `json:"handler"`
	Part    string        `json:"part"` // holds, waits, notes
	Step    string        `json:"step"`
	Holder  string        `json:"holder"`
	Taken   bool          `json:"taken"` // over from another
	Left    time.Duration `json:"left"`  // that its caller still waits, in nanoseconds
}

// Requests are some of those that this box holds, waits for or has noted, by key.
func (b *Node) Requests(most int) []Request {
	var out []Request
	for _, c := range b.claims {
		r := Request{fmt.Sprintf("%x", c.key), c.work.Handler, "holds", c.stage.String(), b.cfg.Name, c.taken, c.due - b.now}
		if c.stage == waits || c.stage == peeking {
			r.Part, r.Holder = "waits", c.votes["holder"].Holder.Node
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
		out = append(out, Request{fmt.Sprintf("%x", n.key), n.work.Handler, "notes", step, n.ballot.Node, false, n.due - b.now})
	}
	slices.SortFunc(out, func(x, y Request) int { return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(x.Part, y.Part)) })
	return out[:min(most, len(out))]
}

// String is the stage's word.
func (s stage) String() string {
	return [...]string{"asked for", "held", "about to begin", "begun", "ended", "waited for", "looked for"}[s]
}

// ProcessorQuery is a lost box's processor that may know how runs ended that were begun there.
type ProcessorQuery struct {
	Node   string
	Notice uint64 // the last that its box had surely read when it began the first of them
}

// Stats tell what a box has to do with others.
type Stats struct {
	Held             int   `json:"held"`    // reqs that this box holds
	Waiting          int   `json:"waiting"` // and whose holder another is
	Notes            int   `json:"notes"`   // noted for holders
	Running          int   `json:"begun"`   // of them those that are about to run, or do
	TakenOver        int64 `json:"taken"`   // taken over so far
	OutcomeUnknown   int64 `json:"in_doubt"`
	Joined           int64 `json:"joined"` // reqs answered by another's run
	Lost             int64 `json:"lost"`   // held here until another took them
	FoundAtProcessor int64 `json:"found"`  // ends of a lost box's runs that its processor told
}

// New returns a box's part, on its store.
func New(cfg Config, store *idempotency.Store, peers Peers, seed uint64, now time.Duration) *Node {
	cfg.GroupSize, cfg.SuspectAfter, cfg.RetryInterval = cmp.Or(cfg.GroupSize, sizeUsual), cmp.Or(cfg.SuspectAfter, patientUsual), cmp.Or(cfg.RetryInterval, againUsual)
	cfg.MaxNotes, cfg.MaxInFlight, cfg.MaxResultBytes = cmp.Or(cfg.MaxNotes, notesUsual), cmp.Or(cfg.MaxInFlight, inHandUsual), cmp.Or(cfg.MaxResultBytes, bytesUsual)
	return &Node{
		cfg: cfg, store: store, peers: peers, now: now, notes: map[idempotency.Key]*note{}, byNote: map[uint64]idempotency.Key{}, byRun: map[run]*note{},
		claims: map[idempotency.Key]*claim{}, groups: map[idempotency.Key][][]string{}, fences: map[string]fence{}, noteIDs: cfg.Incarnation << 32,
		chance: prng.New(seed), goes: goes(cfg),
	}
}

// Ready hands over what is to be sent, and what becomes of reqs, since the last call.
func (b *Node) Ready() ([]Envelope, []Outcome) {
	s, o := b.sends, b.out
	b.sends, b.out = nil, nil
	return s, o
}

// Stats gives them.
func (b *Node) Stats() Stats {
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
			s.Running++
		}
	}
	return s
}

// groupsOf are the groups of which majorities are needed.
func (b *Node) groupsOf(key idempotency.Key) [][]string {
	if g := b.groups[key]; g != nil {
		return g
	}
	g := [][]string{Group(b.cfg.Members, key, b.cfg.GroupSize)}
	if len(b.cfg.Previous) > 0 && off != ruleBefore {
		g = append(g, Group(b.cfg.Previous, key, b.cfg.GroupSize))
	}
	if len(b.groups) >= groupsKept {
		clear(b.groups)
	}
	b.groups[key] = g
	return g
}

// all are the boxes of both groups.
func (b *Node) all(key idempotency.Key) []string {
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
func (b *Node) most(key idempotency.Key, counts func(name string) bool) bool {
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
func (b *Node) voted(c *claim, v Vote) bool {
	return b.most(c.key, func(name string) bool { m, ok := c.votes[name]; return ok && m.Vote == v })
}

// send gives a message to a box; to this one at once.
func (b *Node) send(to string, m Message) {
	switch m.Kind {
	case MsgAcquireReply, MsgStartReply, MsgFinishReply, MsgQueryReply, MsgCompleted:
		m.Fences = b.fencesOf(m.Key)
	}
	if to == b.cfg.Name {
		b.receive(to, b.cfg.Incarnation, &m)
		return
	}
	b.sends = append(b.sends, Envelope{to, m})
}

// toAll sends to the group what some of it have not answered.
func (b *Node) toAll(c *claim, m Message) {
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

func (b *Node) tell(c *claim, id uint64, v idempotency.Decision, result []byte) {
	b.out = append(b.out, Outcome{Key: c.key, Made: c.made, Outcome: idempotency.Outcome{ID: id, Decision: v, Result: result}})
	switch v {
	case idempotency.Replay:
		b.stats.Joined++
	case idempotency.OutcomeUnknown:
		b.stats.OutcomeUnknown++
	}
}

// tellAll ends a claim: all its reqs hear.
func (b *Node) tellAll(c *claim, v idempotency.Decision, result []byte) {
	delete(b.claims, c.key)
	if c.first != 0 {
		b.tell(c, c.first, v, result)
	}
	for _, id := range c.ids {
		b.tell(c, id, v, result)
	}
}

func (b *Node) enter(c *claim, s stage) {
	c.stage, c.since, c.votes = s, b.now, map[string]word{}
}

// Claim takes a req that was read here. The outcome is Fresh (it may go to the module), Known (it may join), or what it meets.
func (b *Node) Claim(now time.Duration, key idempotency.Key, made time.Duration, id uint64, w Work) {
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
	c.work, c.due, c.first, c.replay = w, b.now+time.Duration(w.Left), id, w.Replayable
	b.open(c, false)
}

func (b *Node) newClaim(key idempotency.Key, made time.Duration) *claim {
	c := &claim{key: key, made: made, from: b.now}
	b.claims[key] = c
	b.claimed = append(b.claimed, c)
	return c
}

func (b *Node) newNote(key idempotency.Key) *note {
	n := &note{key: key}
	b.notes[key] = n
	b.noted = append(b.noted, n)
	return n
}

func (b *Node) noteID() uint64 {
	b.noteIDs++
	return b.noteIDs
}

// tellKnown lets those that ask join.
func (b *Node) tellKnown(c *claim) {
	for _, id := range c.untold {
		b.tell(c, id, idempotency.Duplicate, nil)
	}
	c.untold = nil
}

// open asks the group for a key under a new ballot.
func (b *Node) open(c *claim, force bool) {
	b.top++
	c.ballot, c.force = Ballot{b.top, b.cfg.Name, b.cfg.Incarnation}, force
	c.tries++
	b.enter(c, opening)
	b.askOpen(c)
}

func (b *Node) askOpen(c *claim) {
	w := c.work
	w.Left = int64(c.due - b.now)
	b.toAll(c, Message{Kind: MsgAcquire, Force: c.force, Made: c.made, Work: &w, Replayable: c.replay})
}

// Original is the req here that a repeat of a key would join, 0 if there is none.
func (b *Node) Original(key idempotency.Key) uint64 {
	if c := b.claims[key]; c != nil {
		return c.first
	}
	return 0
}

// Start says that the module wants a req to run. The outcome Begin lets it; else it hears how another ran. notice is the last that was read
// of the processor.
func (b *Node) Start(now time.Duration, key idempotency.Key, id, notice uint64) {
	b.now = max(b.now, now)
	c := b.claims[key]
	switch {
	case c == nil || c.stage == peeking:
		b.out = append(b.out, Outcome{Key: key, Outcome: idempotency.Outcome{ID: id, Decision: idempotency.Fresh}})
	case c.stage == holding && c.first == id:
		c.run, c.notice = id, notice
		b.begin(c)
	case c.first != id && !slices.Contains(c.ids, id):
		c.ids = append(c.ids, id)
	}
}

// MarkRunning says that a replayable req runs: nobody is asked for that.
func (b *Node) MarkRunning(now time.Duration, key idempotency.Key, id uint64) {
	b.now = max(b.now, now)
	if c := b.claims[key]; c != nil && c.replay && c.first == id && c.stage == holding {
		b.enter(c, runs)
	}
}

func (b *Node) begin(c *claim) {
	b.enter(c, begins)
	b.askBegin(c)
}

func (b *Node) askBegin(c *claim) {
	b.toAll(c, Message{Kind: MsgStart, Made: c.made, Run: c.run, Notice: c.notice})
}

// Join has a repeat wait for what its forerunner gets.
func (b *Node) Join(now time.Duration, key idempotency.Key, id uint64) {
	b.now = max(b.now, now)
	if b.claims[key] == nil { // it ended since
		b.out = append(b.out, Outcome{Key: key, Outcome: idempotency.Outcome{ID: id, Decision: idempotency.Fresh}})
	}
}

// Release says that a req no longer waits, and never ran: refused, given up, its caller gone.
func (b *Node) Release(now time.Duration, key idempotency.Key, id uint64) {
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
func (b *Node) release(c *claim) {
	c.first = 0
	b.end(c, idempotency.EntryNeverRan, nil)
}

// Finish says how a run that was begun ended. Done is the outcome of a good one, when a majority has noted it.
func (b *Node) Finish(now time.Duration, key idempotency.Key, id uint64, kind idempotency.EntryKind, result []byte) {
	b.now = max(b.now, now)
	c := b.claims[key]
	if c == nil || c.first != id || c.stage != runs {
		return
	}
	b.end(c, kind, result)
}

func (b *Node) end(c *claim, kind idempotency.EntryKind, result []byte) {
	if c.replay {
		b.endReplay(c, kind, result)
		return
	}
	b.enter(c, ends)
	c.kind, c.result = kind, slices.Clone(result)
	v := idempotency.OriginalFailed
	if kind == idempotency.EntryNeverRan {
		v = idempotency.Fresh
	}
	if kind == idempotency.EntryFailed || kind == idempotency.EntryNeverRan {
		c.first = 0 // it was answered
		for _, id := range c.ids {
			b.tell(c, id, v, nil)
		}
		c.ids = nil
	}
	b.toAll(c, Message{Kind: MsgFinish, Outcome: kind, Result: c.result, Made: c.made})
}

// endReplay tells the group once how a run ended that may be run again: nobody waits for its word, and where it is lost, one more run
// is all that follows.
func (b *Node) endReplay(c *claim, kind idempotency.EntryKind, result []byte) {
	b.enter(c, ends)
	if kind != idempotency.EntryResult {
		kind, result = idempotency.EntryNeverRan, nil
	}
	delete(b.claims, c.key)
	for _, name := range b.all(c.key) {
		b.send(name, Message{Kind: MsgFinish, Key: c.key, Ballot: c.ballot, Outcome: kind, Result: result, Replayable: true})
	}
	if kind == idempotency.EntryNeverRan {
		for _, id := range c.ids {
			b.tell(c, id, idempotency.Fresh, nil)
		}
		return
	}
	c.first = 0 // it was answered
	b.tellAll(c, idempotency.Replay, result)
}

// HandOff gives up what this box holds and has not begun, for another to take over; reqs that came here wait for it.
func (b *Node) HandOff(now time.Duration, key idempotency.Key, id uint64) bool {
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
	b.send(to, Message{Kind: MsgHandOff, Key: key, Ballot: c.ballot, Made: c.made, Work: &w, Replayable: c.replay})
	c.ids = append([]uint64{c.first}, c.ids...)
	c.first = 0
	b.enter(c, waits)
	return true
}

// MarkDurable says how far the store's writes are on the disk.
func (b *Node) MarkDurable(now time.Duration, seq uint64) {
	b.now = max(b.now, now)
	b.stored(b.store.MarkDurable(seq))
}

// DiskFailed says that the disk takes nothing more: this box notes nothing any more.
func (b *Node) DiskFailed(now time.Duration) {
	b.now = max(b.now, now)
	b.stored(b.store.DiskFailed())
}

// stored follows what the store says of notes.
func (b *Node) stored(all []idempotency.Outcome) {
	for _, o := range all {
		key, ok := b.byNote[o.ID]
		if !ok {
			continue
		}
		n := b.notes[key]
		switch o.Decision {
		case idempotency.Start:
			n.durable = true
			b.send(n.ballot.Node, Message{Kind: MsgStartReply, Key: key, Ballot: n.ballot, Vote: VoteGranted})
		case idempotency.Completed, idempotency.Replay:
			b.forget(key, n)
			b.send(n.ballot.Node, Message{Kind: MsgFinishReply, Key: key, Ballot: n.ballot, Vote: VoteGranted})
			b.tellWaiting(key, n, idempotency.EntryResult, o.Result)
		case idempotency.StoreFailed:
			b.forget(key, n)
			b.send(n.ballot.Node, Message{Kind: MsgStartReply, Key: key, Ballot: n.ballot, Vote: VoteFull})
		}
	}
}

// tellWaiting lets boxes know that asked while it was in hand.
func (b *Node) tellWaiting(key idempotency.Key, n *note, kind idempotency.EntryKind, result []byte) {
	for _, name := range slices.Sorted(maps.Keys(n.waiting)) {
		b.send(name, Message{Kind: MsgCompleted, Key: key, Ballot: n.ballot, Vote: VoteFinished, Outcome: kind, Result: result})
	}
}

func (b *Node) forget(key idempotency.Key, n *note) {
	if n.replay {
		b.replays--
		b.bytes -= len(n.result)
	}
	delete(b.byNote, n.id)
	if r := (run{n.ballot.Node, n.run}); b.byRun[r] == n {
		delete(b.byRun, r)
	}
	delete(b.notes, key)
}

// Receive takes a message of a box in that life. One of an earlier life than is known does nothing.
func (b *Node) Receive(now time.Duration, from string, life uint64, m *Message) {
	b.now = max(b.now, now)
	if life < b.peers.Incarnation(from) {
		return
	}
	b.receive(from, life, m)
}

func (b *Node) receive(from string, life uint64, m *Message) {
	b.top = max(b.top, m.Ballot.Number, m.Holder.Number)
	switch m.Kind {
	case MsgAcquire, MsgStart, MsgFinish: // of the holder itself, in this life, or it is not heeded; how a run ended others pass on
		if (m.Kind != MsgFinish || m.Outcome == idempotency.EntryNeverRan) && (m.Ballot.Node != from || m.Ballot.Incarnation != life) {
			return
		}
	}
	switch m.Kind {
	case MsgAcquire:
		b.grant(from, m)
	case MsgStart:
		b.noteBegin(from, m)
	case MsgFinish:
		b.noteEnd(from, m)
	case MsgQuery:
		v := b.vote(m, from)
		v.Kind, v.Key, v.Ballot = MsgQueryReply, m.Key, m.Ballot
		b.send(from, v)
	case MsgHolderCheck:
		c := b.claims[m.Key]
		if m.Ballot.Incarnation == b.cfg.Incarnation && c != nil && c.ballot == m.Ballot && c.stage != waits && c.stage != peeking {
			return // yes
		}
		b.send(from, Message{Kind: MsgNotHeld, Key: m.Key, Ballot: m.Ballot})
	case MsgHandOff:
		if n := b.notes[m.Key]; n != nil && !n.begun && n.ballot == m.Ballot && b.claims[m.Key] == nil {
			b.takeOver(m.Key, n)
		}
	case MsgAcquireReply, MsgStartReply, MsgFinishReply, MsgQueryReply, MsgNotHeld, MsgCompleted:
		b.answered(from, life, m)
	}
}

// vote is what this box knows of a key; from is told how it ends if it is in hand.
func (b *Node) vote(m *Message, from string) Message {
	if n := b.notes[m.Key]; n != nil {
		if n.over {
			return Message{Vote: VoteFinished, Outcome: idempotency.EntryResult, Result: n.result}
		}
		if n.waiting == nil {
			n.waiting = map[string]bool{}
		}
		if from != n.ballot.Node {
			n.waiting[from] = true
		}
		v := VoteHeld
		switch {
		case n.filled && b.store.MayBeExpired(m.Key):
			return Message{Vote: VoteExpired}
		case n.filled && !b.store.KnowsHistoryOf(m.Key):
			return Message{Vote: VoteAbstain}
		case n.begun:
			v = VoteRunning
		}
		if n.ending {
			return Message{Vote: v, Holder: n.ballot, Outcome: idempotency.EntryResult}
		}
		return Message{Vote: v, Holder: n.ballot}
	}
	if m.Replayable {
		return Message{Vote: VoteNone}
	}
	o := b.store.PeekOutcome(b.now, m.Made, m.Key)
	switch o.Decision {
	case idempotency.Fresh:
		return Message{Vote: VoteNone}
	case idempotency.Replay:
		return Message{Vote: VoteFinished, Outcome: idempotency.EntryResult, Result: o.Result}
	case idempotency.OriginalFailed:
		return Message{Vote: VoteFinished, Outcome: idempotency.EntryFailed}
	case idempotency.OutcomeUnknown:
		if b.store.MayBeExpired(m.Key) { // it ended where it has aged since
			return Message{Vote: VoteExpired}
		}
		if !b.store.KnowsHistoryOf(m.Key) { // how it ended may be what this disk lacks
			return Message{Vote: VoteAbstain}
		}
		return Message{Vote: VoteOutcomeUnknown}
	case idempotency.ResultExpired:
		return Message{Vote: VoteExpired}
	case idempotency.StoreFailed:
		return Message{Vote: VoteFull}
	}
	return Message{Vote: VoteAbstain}
}

// grant answers who asks for a key.
func (b *Node) grant(from string, m *Message) {
	v := b.vote(m, from)
	n := b.notes[m.Key]
	switch {
	case off == ruleBegun && v.Vote == VoteRunning && m.Force:
		n.ballot = m.Ballot
		v = Message{Vote: VoteGranted}
	case v.Vote == VoteHeld && (m.Force || n.ballot.Node == from) && m.Ballot.compare(n.ballot) > 0,
		v.Vote == VoteRunning && !n.filled && !n.ending && n.ballot.Node == from && n.ballot.Incarnation == m.Ballot.Incarnation && m.Ballot.compare(n.ballot) > 0:
		if v.Vote == VoteRunning { // who was about to begin has not, and gives that ballot up
			b.stored(b.store.Finish(b.now, m.Key, idempotency.EntryNeverRan, nil))
			b.forget(m.Key, n)
			waiting := n.waiting
			n = b.newNote(m.Key)
			n.waiting = waiting
		}
		v = Message{Vote: VoteGranted}
	case v.Vote == VoteHeld && m.Ballot == n.ballot: // again
		v = Message{Vote: VoteGranted}
	case v.Vote == VoteHeld && m.Force:
		v.Vote = VoteSuperseded
	case v.Vote == VoteNone && (len(b.notes) >= b.cfg.MaxNotes || m.Replayable && b.replays >= b.cfg.MaxNotes/2): // half is for what must not run twice
		v.Vote = VoteFull
	case v.Vote == VoteNone:
		if n = b.newNote(m.Key); m.Replayable {
			n.replay = true
			b.replays++
		}
		v = Message{Vote: VoteGranted}
	}
	if v.Vote == VoteGranted {
		n.ballot, n.made, n.lostAt = m.Ballot, m.Made, 0
		if m.Work != nil {
			n.work, n.due = *m.Work, b.now+time.Duration(m.Work.Left)
			n.work.Body = slices.Clone(m.Work.Body)
		}
	}
	v.Kind, v.Key, v.Ballot = MsgAcquireReply, m.Key, m.Ballot
	b.send(from, v)
}

// noteBegin notes that a holder is about to begin, if its ballot is the one that was granted.
func (b *Node) noteBegin(from string, m *Message) {
	n := b.notes[m.Key]
	answer := func(v Vote, by Ballot) {
		b.send(from, Message{Kind: MsgStartReply, Key: m.Key, Ballot: m.Ballot, Vote: v, Holder: by})
	}
	switch {
	case n == nil:
		answer(VoteSuperseded, Ballot{})
	case n.ballot != m.Ballot && off != ruleBallot:
		answer(VoteSuperseded, n.ballot)
	case n.filled: // what others had noted is no word of this box
		answer(VoteSuperseded, n.ballot)
	case n.begun && n.durable:
		answer(VoteGranted, Ballot{})
	case n.begun: // it is being written
	default:
		n.id = b.noteID()
		o := b.store.Reserve(b.now, m.Made, m.Key, n.work.Handler, n.id)
		if o.Decision != idempotency.Wait {
			answer(VoteFull, Ballot{})
			return
		}
		n.begun, n.run, n.notice = true, m.Run, m.Notice
		b.byRun[run{from, m.Run}] = n
		b.byNote[n.id] = m.Key
		if off == ruleDurable {
			answer(VoteGranted, Ballot{})
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
func (b *Node) noteEnd(from string, m *Message) {
	n := b.notes[m.Key]
	answer := func(v Vote) { b.send(from, Message{Kind: MsgFinishReply, Key: m.Key, Ballot: m.Ballot, Vote: v}) }
	if m.Replayable && m.Outcome == idempotency.EntryResult {
		if n != nil && n.replay && !n.over && b.bytes+len(m.Result) <= b.cfg.MaxResultBytes {
			n.over, n.result = true, slices.Clone(m.Result)
			b.bytes += len(n.result)
			b.tellWaiting(m.Key, n, idempotency.EntryResult, n.result)
		}
		return
	}
	if m.Outcome == idempotency.EntryNeverRan {
		switch {
		case n == nil:
		case n.ballot == m.Ballot && len(n.rest) > 0:
			n.ballot, n.rest = n.rest[0], n.rest[1:]
		case n.ballot != m.Ballot:
			n.rest = slices.DeleteFunc(n.rest, func(o Ballot) bool { return o == m.Ballot })
		default:
			if n.begun {
				b.stored(b.store.Finish(b.now, m.Key, idempotency.EntryNeverRan, nil))
			}
			b.forget(m.Key, n)
		}
		answer(VoteGranted)
		return
	}
	if n == nil {
		v := b.store.PeekOutcome(b.now, m.Made, m.Key).Decision
		switch v {
		case idempotency.Replay, idempotency.OriginalFailed, idempotency.ResultExpired: // it is noted already
			answer(VoteGranted)
			return
		case idempotency.Fresh, idempotency.OutcomeUnknown, idempotency.HistoryLost: // others noted its begin, or an earlier life of this box did, or may have
			if v == idempotency.HistoryLost && !b.store.Merge(b.now, idempotency.Record{Key: m.Key}) {
				answer(VoteFull)
				return
			}
			n = b.newNote(m.Key)
			n.begun = v != idempotency.Fresh
		default:
			answer(VoteFull)
			return
		}
	}
	n.ballot = m.Ballot
	if !n.begun || n.id == 0 {
		n.id = b.noteID()
		b.store.Resume(m.Key, n.id)
	}
	if !n.begun {
		if o := b.store.Reserve(b.now, m.Made, m.Key, n.work.Handler, n.id); o.Decision != idempotency.Wait {
			b.forget(m.Key, n)
			answer(VoteFull)
			return
		}
		n.begun = true
	}
	b.byNote[n.id] = m.Key
	if m.Outcome == idempotency.EntryFailed {
		b.store.Finish(b.now, m.Key, idempotency.EntryFailed, nil)
		b.tellWaiting(m.Key, n, idempotency.EntryFailed, nil)
		b.forget(m.Key, n)
		answer(VoteGranted)
		return
	}
	n.ending = true
	b.stored(b.store.Finish(b.now, m.Key, m.Outcome, m.Result)) // acknowledged when it is durable
}

// answered follows the answer of a box of the group.
func (b *Node) answered(from string, life uint64, m *Message) {
	c := b.claims[m.Key]
	if c == nil {
		return
	}
	switch {
	case m.Kind == MsgCompleted:
		if c.stage == waits || c.stage == peeking {
			b.over(c, m)
		}
	case m.Kind == MsgNotHeld:
		if c.stage == waits && c.votes["holder"].Holder == m.Ballot {
			b.look(c)
		}
	case m.Ballot != c.ballot:
	case m.Kind == MsgAcquireReply && c.stage == opening:
		c.count(from, life, m)
		b.decide(c)
	case m.Kind == MsgStartReply && c.stage == begins:
		c.count(from, life, m)
		lost := false
		possible := b.most(c.key, func(name string) bool {
			m, ok := c.votes[name]
			lost = lost || m.Vote == VoteSuperseded
			return !ok || m.Vote == VoteGranted
		})
		switch {
		case b.voted(c, VoteGranted), off == ruleMajority && m.Vote == VoteGranted:
			b.enter(c, runs)
			b.tell(c, c.first, idempotency.Start, nil)
		case possible:
		case lost: // another ballot is needed, or another box has it
			c.rebegin = true
			b.open(c, false)
		default:
			b.refuse(c, idempotency.StoreFailed)
		}
	case m.Kind == MsgFinishReply && c.stage == ends:
		c.count(from, life, m)
		if b.voted(c, VoteGranted) {
			b.ended(c)
		}
	case m.Kind == MsgQueryReply && c.stage == peeking:
		c.count(from, life, m)
		b.decide(c)
	}
}

// ended follows the word of a majority that the end is noted.
func (b *Node) ended(c *claim) {
	delete(b.claims, c.key)
	switch c.kind { // those that came meanwhile hear too
	case idempotency.EntryNeverRan:
		b.tellAll(c, idempotency.Fresh, nil)
		return
	case idempotency.EntryFailed:
		b.tellAll(c, idempotency.OriginalFailed, nil)
		return
	}
	if c.first != 0 && !c.passed {
		b.tell(c, c.first, idempotency.Completed, c.result)
		c.first = 0
	}
	b.tellAll(c, idempotency.Replay, c.result)
}

// over ends a claim by another's run. Its result is an answer once a majority has noted it: who died may have told only one.
func (b *Node) over(c *claim, m *Message) {
	switch m.Outcome {
	case idempotency.EntryResult:
		if c.replay || b.voted(c, VoteFinished) {
			b.tellAll(c, idempotency.Replay, m.Result)
			return
		}
		b.tellKnown(c)
		b.enter(c, ends)
		c.kind, c.result, c.passed, c.told = idempotency.EntryResult, m.Result, true, true
		b.toAll(c, Message{Kind: MsgFinish, Outcome: idempotency.EntryResult, Result: c.result, Made: c.made})
	case idempotency.EntryResultTooLong:
		b.tellAll(c, idempotency.ResultExpired, nil)
	default:
		b.tellAll(c, idempotency.OriginalFailed, nil)
	}
}

// refuse ends a claim that was never begun: what was granted is given back.
func (b *Node) refuse(c *claim, v idempotency.Decision) {
	first, ids := c.first, c.ids
	c.first, c.ids = 0, nil
	if c.replay {
		v = idempotency.Fresh // served as without a cluster
	}
	if c.stage == opening || c.stage == begins {
		b.end(c, idempotency.EntryNeverRan, nil)
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
func (b *Node) decide(c *claim) {
	var over, by *Message
	doubted, ending, gone, silent, full := false, false, false, false, false
	for _, name := range b.all(c.key) {
		m, ok := c.votes[name]
		if !ok {
			continue
		}
		switch m.Vote {
		case VoteFinished:
			if over == nil || m.Outcome == idempotency.EntryResult {
				over = &m.Message
			}
		case VoteRunning:
			ending = ending || m.Outcome != 0
			if by == nil || by.Vote != VoteRunning || m.Holder.compare(by.Holder) > 0 {
				by = &m.Message
			}
		case VoteHeld, VoteSuperseded:
			if by == nil || by.Vote != VoteRunning && m.Holder.compare(by.Holder) > 0 {
				by = &m.Message
			}
		case VoteOutcomeUnknown:
			doubted = true
		case VoteExpired:
			gone = true
		case VoteAbstain:
			silent = true
		case VoteFull:
			full = true
		}
	}
	all := len(c.votes) == len(b.all(c.key))
	told := b.most(c.key, func(name string) bool { m, ok := c.votes[name]; return ok && m.Vote != VoteAbstain }) // who can't tell counts for none
	every := all || told
	if every && b.now-c.since < b.cfg.SuspectAfter/4 { // some may still say more
		every = all || !doubted && !gone && (by == nil || by.Vote != VoteRunning)
	}
	switch {
	case over != nil:
		b.dropGrants(c)
		b.over(c, over)
	case c.stage == opening && b.voted(c, VoteGranted): // whatever else is noted was noted by less than a majority, and can't be any more
		b.granted(c)
	case !every:
	case gone: // it did end, though some never heard of that
		b.dropGrants(c)
		b.tellAll(c, idempotency.ResultExpired, nil)
	case !ending && (by != nil && by.Vote == VoteRunning && b.lost(by.Holder) || doubted && (by == nil || by.Vote != VoteRunning)):
		b.dropGrants(c)
		if c.asked >= c.since { // who came since may have a right to better
			b.look(c)
			return
		}
		v := idempotency.OutcomeUnknown
		if !told { // most of the group's disks have lost something: its end may have been there
			v = idempotency.HistoryLost
		}
		b.tellAll(c, v, nil)
	case c.stage == peeking && b.voted(c, VoteNone):
		b.tellAll(c, idempotency.Fresh, nil)
	case by != nil && (ending || (by.Vote == VoteRunning || !b.lost(by.Holder)) && by.Holder.Node != b.cfg.Name):
		if !b.contests(c, by) {
			b.waitFor(c, by.Holder)
		}
	case by != nil && c.stage == opening && c.tries < triesMost: // its holder is lost, or this box was: ask above it
		b.open(c, true)
	case by != nil && c.stage == peeking:
		b.waitFor(c, by.Holder)
	case len(c.votes) < len(b.all(c.key)) && b.now-c.since < b.cfg.SuspectAfter: // who has not answered may help
	case c.stage == opening:
		v := NoQuorum
		if silent && all {
			v = idempotency.HistoryLost
		} else if full {
			v = idempotency.StoreFull
		}
		b.refuse(c, v)
	}
}

// contests tells whether a claim is not yet given up to another that asks for the same key in the same moment, of which no majority says that it
// holds it. Where both gave way to each other nobody would run it: who may still get a majority waits for the rest of the group, then the
// higher ballot asks again and the lower one gives way.
func (b *Node) contests(c *claim, by *Message) bool {
	if c.stage != opening || by.Vote == VoteRunning || b.most(c.key, func(name string) bool { return c.votes[name].Holder == by.Holder }) {
		return false
	}
	waited := b.now - c.since
	if waited < b.cfg.RetryInterval && b.most(c.key, func(name string) bool { m, ok := c.votes[name]; return !ok || m.Vote == VoteGranted }) {
		return true
	}
	if c.ballot.compare(by.Holder) < 0 || c.tries >= triesMost {
		return false
	}
	if waited >= b.cfg.RetryInterval {
		b.open(c, false)
	}
	return true
}

// lost tells whether a ballot's holder seems to be no more.
func (b *Node) lost(by Ballot) bool {
	if by.Node == b.cfg.Name {
		return by.Incarnation != b.cfg.Incarnation
	}
	return !b.peers.Alive(by.Node) || b.peers.Incarnation(by.Node) > by.Incarnation
}

// granted follows the majority's grant: this box holds the key.
func (b *Node) granted(c *claim) {
	b.enter(c, holding)
	switch {
	case c.rebegin:
		c.rebegin = false
		b.begin(c)
	case c.taken && !c.told:
		c.told = true
		b.stats.TakenOver++
		w := c.work
		w.Left = int64(c.due - b.now)
		b.out = append(b.out, Outcome{Key: c.key, Made: c.made, Work: &w, Outcome: idempotency.Outcome{ID: c.first, Decision: TakenOver}})
	case c.first != 0 && !c.told:
		c.told = true
		b.tell(c, c.first, idempotency.Fresh, nil)
	}
	b.tellKnown(c)
}

// dropGrants gives back what was granted to a claim that ends otherwise.
func (b *Node) dropGrants(c *claim) {
	if c.stage != opening {
		return
	}
	for _, name := range b.all(c.key) {
		if c.votes[name].Vote == VoteGranted {
			b.send(name, Message{Kind: MsgFinish, Key: c.key, Ballot: c.ballot, Outcome: idempotency.EntryNeverRan})
		}
	}
}

// waitFor has a claim's reqs wait for another's run.
func (b *Node) waitFor(c *claim, by Ballot) {
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
		b.tell(c, c.first, idempotency.Duplicate, nil)
	}
	c.rebegin, c.told = false, true
	c.votes["holder"] = word{Message: Message{Holder: by}}
	b.tellKnown(c)
	if c.first == 0 && len(c.ids) == 0 {
		delete(b.claims, c.key)
		return
	}
	if by.Node != "" {
		b.send(by.Node, Message{Kind: MsgHolderCheck, Key: c.key, Ballot: by})
	}
	c.sent = b.now + time.Duration(b.chance.Intn(int(b.cfg.RetryInterval)))
}

// look asks the group what is known, for reqs that wait.
func (b *Node) look(c *claim) {
	b.top++
	c.ballot = Ballot{b.top, b.cfg.Name, b.cfg.Incarnation}
	b.enter(c, peeking)
	b.toAll(c, Message{Kind: MsgQuery, Made: c.made})
}

// takeOver has this box ask for a key whose holder is lost, or leaves.
func (b *Node) takeOver(key idempotency.Key, n *note) {
	c := b.claims[key]
	if c == nil {
		c = b.newClaim(key, n.made)
	} else if c.first != 0 {
		c.ids = append([]uint64{c.first}, c.ids...)
	}
	b.ids++
	c.work, c.due, c.first, c.taken, c.told, c.tries = n.work, n.due, takenID|b.cfg.Incarnation<<40|b.ids, true, false, 0
	c.replay, c.work.Replayable = n.replay, n.replay
	b.open(c, true)
}

// takenID marks ids of reqs that came to another box.
const takenID = 1 << 63

// IsTakenOver tells whether an id is that of a req that was taken over.
func IsTakenOver(id uint64) bool { return id >= takenID }

// Tick does what is due.
func (b *Node) Tick(now time.Duration) {
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
func (b *Node) takeLost() {
	if len(b.waits) == 0 {
		return
	}
	room := b.cfg.MaxInFlight
	for _, c := range b.claims {
		if c.taken {
			room--
		}
	}
	slices.SortStableFunc(b.waits, func(x, y *note) int {
		return cmp.Or(cmp.Compare(y.work.Weight, x.work.Weight), cmp.Compare(x.due, y.due), slices.Compare(x.key[:], y.key[:]))
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

func (b *Node) tick(c *claim) {
	again := b.now-c.sent >= b.cfg.RetryInterval
	switch c.stage {
	case opening:
		if c.replay && b.now-c.since >= replayWait {
			b.refuse(c, idempotency.Fresh)
			return
		}
		if b.now-c.since >= b.cfg.SuspectAfter {
			b.decide(c)
			if b.claims[c.key] == c && c.stage == opening && b.now-c.since >= b.cfg.SuspectAfter {
				b.refuse(c, NoQuorum)
			}
			return
		}
		if b.decide(c); again && b.claims[c.key] == c && c.stage == opening {
			b.askOpen(c)
		}
	case begins:
		if b.now > c.due { // nobody waits any more, and it surely never ran
			b.refuse(c, NoQuorum)
		} else if again {
			b.askBegin(c)
		}
	case ends:
		if b.now-c.since > endFor {
			c.first = 0 // it was answered when its time was over
			b.tellAll(c, NoQuorum, nil)
		} else if again {
			b.toAll(c, Message{Kind: MsgFinish, Outcome: c.kind, Result: c.result, Made: c.made})
		}
	case waits:
		if b.enough(c) {
			return
		}
		if again && b.now-c.sent >= 3*b.cfg.RetryInterval {
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
			if b.now-c.since >= b.cfg.SuspectAfter {
				b.look(c)
			} else if again {
				b.toAll(c, Message{Kind: MsgQuery, Made: c.made})
			}
		}
	}
}

// enough has replayable reqs that have waited long enough for another's run be run here.
func (b *Node) enough(c *claim) bool {
	if !c.replay || !b.leaving && b.now-c.from < time.Duration(joinShare*float64(c.work.Left)) {
		return false
	}
	b.tellAll(c, idempotency.Fresh, nil)
	return true
}

// askProcessor has the processor of a lost box asked for the end of what was begun there, while somebody may wait for it.
func (b *Node) askProcessor(n *note) {
	if b.peers.Alive(n.ballot.Node) || b.peers.Incarnation(n.ballot.Node) > n.ballot.Incarnation || n.run == 0 || b.now > n.due {
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
		if p.Node == n.ballot.Node {
			b.asks[i].Notice = min(p.Notice, n.notice)
			return
		}
	}
	b.asks = append(b.asks, ProcessorQuery{n.ballot.Node, n.notice})
}

// ProcessorQueries hands over the processors to be asked since the last call. Who asks takes their link from their box, if that lives after all; it
// comes again, and nothing is lost by it.
func (b *Node) ProcessorQueries() []ProcessorQuery {
	asks := b.asks
	b.asks = nil
	return asks
}

// FinishFromProcessor says how a run ended at the processor of a lost box.
func (b *Node) FinishFromProcessor(now time.Duration, of string, id uint64, kind idempotency.EntryKind, result []byte) {
	b.now = max(b.now, now)
	n := b.byRun[run{of, id}]
	if n == nil {
		return
	}
	b.stats.FoundAtProcessor++
	c := b.claims[n.key]
	if c == nil {
		c = b.newClaim(n.key, n.made)
	}
	if c.stage != ends {
		b.pass(c, n.ballot, kind, result)
	}
}

// pass has the group note how another's run ended; who waits here hears it then.
func (b *Node) pass(c *claim, by Ballot, kind idempotency.EntryKind, result []byte) {
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
func (b *Node) tickNote(key idempotency.Key, n *note) {
	if n.over {
		if b.now > n.due {
			b.forget(key, n)
		}
		return
	}
	if n.begun {
		b.askProcessor(n)
		if b.now > n.due+doubtAfter && b.lost(n.ballot) {
			b.store.MarkUnknown(b.now, key)
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
	if c != nil && c.stage != waits && c.stage != peeking || b.leaving || !b.cfg.ResumeUnclaimed && c == nil && len(n.waiting) == 0 {
		return
	}
	if n.replay && len(n.waiting) == 0 && c == nil && !b.peers.Dead(n.ballot.Node) {
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

// Reconfigure has the box go by other lists from now on, as Roster.Next allows. What it holds it asks for again before it begins.
func (b *Node) Reconfigure(now time.Duration, members, before []Member) {
	b.now = max(b.now, now)
	b.cfg.Members, b.cfg.Previous = members, before
	b.goes = goes(b.cfg)
	clear(b.groups)
}

// StartDraining says that this box takes nothing over any more.
func (b *Node) StartDraining() { b.leaving = true }
