package failover

import (
	"cmp"
	"frosthub/idempotency"
	"slices"
	"time"
)

// A box whose disk is older than what others know does not know what it does not have: in the groups of such keys it counts for neither
// side. The others of its groups have all of it: whatever began was noted by a majority, so by one of the two others at least. They tell it
// again, page by page (Page, Fill); once all others of a key's group have, this box knows of that key what it ever knew.
//
// One thing could go wrong: a holder may still have the word of an earlier life of this box, of which nobody told it as the others had not
// noted anything then. So who tells a box anew has a fence from its first page on, on the disk before its last one: its own words on keys
// say that this box is in that life, and whoever counts them does not count words of earlier ones beside them.

// Cursor is how far a box has been told: first keys in hand, then those that have ended, then prints.
type Cursor struct {
	Step     Step
	Position uint64
	End      uint64 // of the second step: past it came what the live messages tell
	Segment  uint64
}

// Step is one of telling.
type Step uint8

// The steps. The numbers go over the wire.
const (
	StepInFlight Step = 0
	StepRecords  Step = 1
	StepExpired  Step = 2
	StepDone     Step = 3
)

// PageRequest asks for a page.
type PageRequest struct {
	Incarnation uint64 // of who asks
	From        Cursor
}

// Page is a part of what a box tells another again.
type Page struct {
	Incarnation     uint64 // of who asked
	Configuration   uint64 // print of the lists that it goes by: who goes by others is told nothing
	From            Cursor
	Next            Cursor
	Complete        bool // it can answer for all that it has ever had
	FencesSupported bool // all other boxes are known to heed fences: an older program does not
	Records         []idempotency.Record
	InFlight        []InFlight
	Expired         []idempotency.ExpiredKeys
}

// InFlight is a key whose run may be going on.
type InFlight struct {
	Key    idempotency.Key
	Ballot Ballot
	Made   time.Duration
	Left   time.Duration
	Run    uint64
	Notice uint64
}

// Fence says of a box that words of its lives before that one are void.
type Fence struct {
	Node        string
	Incarnation uint64
}

const (
	pagePlaces = 2000      // ended keys that are looked at for a page: about a millisecond of hashing
	pageBytes  = 128 << 10 // of results in one
)

// goes is a print of the lists that a box goes by.
func goes(cfg Config) (sum uint64) {
	for _, d := range (Roster{Members: cfg.Members, Previous: cfg.Previous}).Digests() {
		sum = sum*31 + d
	}
	return sum
}

// BuildPage gives a part of what this box has noted of keys that it shares with another, which has lost what it had before that life. A new fence
// is to be recorded: until Fenced says that it is, no page is the last.
func (b *Node) BuildPage(now time.Duration, to string, t PageRequest) Page {
	b.now = max(b.now, now)
	p := Page{Incarnation: t.Incarnation, Configuration: b.goes, From: t.From, Next: t.From, Complete: b.whole()}
	shares := func(key idempotency.Key) bool { return slices.Contains(b.all(key), to) }
	switch t.From.Step {
	case StepInFlight:
		if f := b.fences[to]; f.life < t.Incarnation {
			b.fences[to] = fence{life: t.Incarnation}
		}
		for _, n := range b.noted {
			if b.notes[n.key] == n && n.begun && off != ruleInHand && shares(n.key) {
				p.InFlight = append(p.InFlight, InFlight{n.key, n.ballot, n.made, n.due - b.now, n.run, n.notice})
			}
		}
		_, at, end := b.store.Export(0, 0, 0, shares)
		p.Next = Cursor{Step: StepRecords, Position: at, End: end}
	case StepRecords:
		p.Records, p.Next.Position, _ = b.store.Export(t.From.Position, min(t.From.Position+pagePlaces, t.From.End), pageBytes, shares)
		if p.Next.Position >= t.From.End {
			p.Next = Cursor{Step: StepExpired}
		}
	case StepExpired:
		a, at, ok := b.store.NextExpired(t.From.Segment)
		switch {
		case ok && off != rulePrints:
			p.Expired, p.Next.Segment = []idempotency.ExpiredKeys{a}, at
		case b.fences[to].durable && b.fences[to].life >= t.Incarnation || off == ruleFence:
			p.Next.Step = StepDone
		}
	}
	return p
}

// fence is one, and whether it is on the disk.
type fence struct {
	life    uint64
	durable bool
}

// Fences are those that this box has, for its record.
func (b *Node) Fences() []Fence {
	var out []Fence
	for name, f := range b.fences {
		out = append(out, Fence{name, f.life})
	}
	slices.SortFunc(out, func(x, y Fence) int { return cmp.Compare(x.Node, y.Node) })
	return out
}

// AddFences says that these are on the disk.
func (b *Node) AddFences(all []Fence) {
	for _, f := range all {
		if b.fences[f.Node].life <= f.Incarnation {
			b.fences[f.Node] = fence{f.Incarnation, true}
		}
	}
}

// fencesOf are those of a key's group, for a word on it.
func (b *Node) fencesOf(key idempotency.Key) (out []Fence) {
	if len(b.fences) == 0 || off == ruleFence {
		return nil
	}
	for _, name := range b.all(key) {
		if f := b.fences[name]; f.life > 0 && name != b.cfg.Name {
			out = append(out, Fence{name, f.life})
		}
	}
	return out
}

// count takes a word of a box on a claim, and leaves out words of lives that another's fence says are over.
func (c *claim) count(from string, life uint64, m *Message) {
	void := func(fences []Fence, box string, life uint64) bool {
		return slices.ContainsFunc(fences, func(f Fence) bool { return f.Node == box && life < f.Incarnation })
	}
	for _, o := range c.votes {
		if void(o.Fences, from, life) {
			return
		}
	}
	c.votes[from] = word{*m, life}
	if len(m.Fences) == 0 {
		return
	}
	for name, o := range c.votes {
		if void(m.Fences, name, o.life) {
			delete(c.votes, name)
		}
	}
}

// whole tells whether this box can answer for all that it has ever had.
func (b *Node) whole() bool { return off == ruleWhole || b.store.Complete() }

// Configuration tells whether a page comes from a box that goes by the same lists.
func (b *Node) SameConfiguration(p *Page) bool { return p.Configuration == b.goes }

// ReceivePage takes what another box tells again, and tells whether all of it was taken: else the page is asked for once more.
func (b *Node) ReceivePage(now time.Duration, p *Page) bool {
	b.now = max(b.now, now)
	for i := range p.InFlight {
		if !b.fillHand(&p.InFlight[i]) {
			return false
		}
	}
	for _, t := range p.Records {
		if n := b.notes[t.Key]; n != nil && !n.replay && t.Kind != 0 {
			if n.begun { // told as in hand, or noted since; it has ended where that was known
				b.noteEnd(b.cfg.Name, &Message{Kind: MsgFinish, Key: t.Key, Ballot: n.ballot, Outcome: t.Kind, Result: t.Result, Made: n.made})
			}
			continue
		}
		switch v := b.store.PeekOutcome(b.now, 0, t.Key).Decision; v {
		case idempotency.Fresh, idempotency.HistoryLost, idempotency.OutcomeUnknown:
			if !b.store.Merge(b.now, t) && (v != idempotency.OutcomeUnknown || t.Kind != 0) {
				return false
			}
		}
	}
	for _, a := range p.Expired {
		b.store.MergeExpired(a)
	}
	return true
}

// fillHand notes a key that another noted as begun before this box had lost it.
func (b *Node) fillHand(h *InFlight) bool {
	if n := b.notes[h.Key]; n != nil {
		if n.filled && n.ballot != h.Ballot && !slices.Contains(n.rest, h.Ballot) {
			n.rest = append(n.rest, h.Ballot)
			if h.Ballot.compare(n.ballot) > 0 {
				n.ballot, n.rest[len(n.rest)-1] = h.Ballot, n.ballot
			}
		}
		return true // or it was asked for since, and what is noted of it is newer
	}
	switch b.store.PeekOutcome(b.now, h.Made, h.Key).Decision {
	case idempotency.Fresh, idempotency.HistoryLost:
		if !b.store.Merge(b.now, idempotency.Record{Key: h.Key}) {
			return false
		}
	case idempotency.OutcomeUnknown:
	default:
		return true // its end is known here
	}
	n := b.newNote(h.Key)
	n.id, n.begun, n.durable, n.filled = b.noteID(), true, true, true
	n.ballot, n.made, n.due, n.run, n.notice = h.Ballot, h.Made, b.now+h.Left, h.Run, h.Notice
	b.store.Resume(h.Key, n.id)
	b.byNote[n.id] = h.Key
	if h.Run != 0 {
		b.byRun[run{h.Ballot.Node, h.Run}] = n
	}
	return true
}

// GroupPeers are the boxes that share a key's group with this one: who may know of it what this one has lost.
func (b *Node) GroupPeers(key idempotency.Key) []string {
	return slices.DeleteFunc(b.all(key), func(name string) bool { return name == b.cfg.Name })
}

// ResolveUnknown has the group asked how the runs of keys in doubt ended, for nobody in particular; those that are asked about already are left to that.
// What is found is noted by a majority, this box among them.
func (b *Node) ResolveUnknown(now time.Duration, keys []idempotency.Key) {
	b.now = max(b.now, now)
	for _, key := range keys {
		if b.claims[key] == nil && b.notes[key] == nil {
			c := b.newClaim(key, 0)
			c.due = b.now + settleFor
			b.look(c)
		}
	}
}

const settleFor = time.Second // that a group is asked about a key that nobody waits for
