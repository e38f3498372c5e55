// Package membership tells which boxes are there: alive, suspected, dead or left, each by its life. It is SWIM with the refinements of
// Lifeguard, as published, as a state machine without I/O, clock or goroutine. What it says is a guess: a suspicion is never a proof,
// and nothing that must not happen twice may hang on it.
package membership

import (
	"cmp"
	"frosthub/internal/prng"
	"maps"
	"slices"
	"time"
)

// State is what is believed of a box.
type State uint8

// The states. In one life and incarnation a later one overrides an earlier one.
const (
	Unknown State = iota // never heard of in this life
	Alive                // it answers
	Suspect              // it did not answer; it may refute that
	Dead                 // nor did it refute in time
	Left                 // it said that it leaves
)

// String is the state's word.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspected", "dead", "left"}[s]
}

// Config says how it probes. Missing spans are the usual ones.
type Config struct {
	Name            string
	Incarnation     uint64        // a box that starts again has a higher one
	Others          []string      // all that may be there
	ProbeInterval   time.Duration // between probes
	ProbeTimeout    time.Duration // for an answer, before others are asked to try
	IndirectProbes  int           // how many of those
	SuspicionFactor float64       // a suspected one is dead after so many probe periods, times the log of the number of boxes
}

const (
	everyUsual   = 200 * time.Millisecond
	withinUsual  = 60 * time.Millisecond
	helpersUsual = 3
	patientUsual = 3
	unwellMost   = 8  // steps of one's own slowness: probes are that many times slower at most
	gossipMost   = 12 // updates on a message
	gossipTimes  = 3  // that an update is passed on, times the log of the number of boxes
)

// Update is what somebody believes of a box.
type Update struct {
	Name        string
	Incarnation uint64
	Refutation  uint64 // the box raises it to refute
	State       State
}

// beats tells whether u overrides o.
func (u Update) beats(o Update) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, o.Incarnation), cmp.Compare(u.Refutation, o.Refutation), cmp.Compare(u.State, o.State)) > 0
}

// MessageKind is what a Message wants.
type MessageKind uint8

// The kinds. The numbers go over the wire.
const (
	Ping        MessageKind = 1 // answer me
	Ack         MessageKind = 2 // I do; For is who was probed
	PingRequest MessageKind = 3 // probe For for me
)

// Message is one between boxes. From, its life and the life of the one it is for are in its envelope.
type Message struct {
	Kind    MessageKind
	Number  uint64
	Target  string // Help: who is to be probed; Ack: who answered
	Updates []Update
}

// Envelope is a message on its way.
type Envelope struct {
	To string
	Message
}

// Change is news of a box.
type Change struct {
	Update
	Previous Update
}

type peer struct {
	Update
	due time.Duration // suspected: dead then
}

type probe struct {
	of      string
	number  uint64
	at      time.Duration
	helped  bool
	forWhom string // who asked for it; empty: we do
	theirs  uint64 // its number there
}

// Detector is what one box believes. Make it with New.
type Detector struct {
	cfg       Config
	self      Update
	peers     map[string]*peer
	order     []string // to be probed, shuffled each round
	suspected []*peer
	next      int
	probeAt   time.Duration
	probes    []probe
	number    uint64
	unwell    int // Lifeguard: how slow this box itself seems
	news      news
	chance    prng.Source
	sends     []Envelope
	changes   []Change
}

// New returns a list in which nobody has been heard of.
func New(cfg Config, seed uint64, now time.Duration) *Detector {
	cfg.ProbeInterval, cfg.ProbeTimeout = cmp.Or(cfg.ProbeInterval, everyUsual), cmp.Or(cfg.ProbeTimeout, withinUsual)
	cfg.IndirectProbes, cfg.SuspicionFactor = cmp.Or(cfg.IndirectProbes, helpersUsual), cmp.Or(cfg.SuspicionFactor, patientUsual)
	l := &Detector{
		cfg: cfg, self: Update{cfg.Name, cfg.Incarnation, 0, Alive}, peers: map[string]*peer{}, chance: prng.New(seed),
		probeAt: now,
	}
	for _, name := range cfg.Others {
		if name != cfg.Name {
			l.peers[name] = &peer{Update: Update{Name: name}}
			l.order = append(l.order, name)
		}
	}
	slices.Sort(l.order)
	l.news.fresh(cfg.Name)
	return l
}

// SetOthers has others be those that may be there: new ones are not known yet, and what was believed of those who are no more is forgotten.
func (l *Detector) SetOthers(others []string) {
	for _, name := range others {
		if name != l.cfg.Name && l.peers[name] == nil {
			l.peers[name] = &peer{Update: Update{Name: name}}
		}
	}
	for name, p := range l.peers {
		if !slices.Contains(others, name) {
			delete(l.peers, name)
			delete(l.news.last, name) // nobody is told of it any more
			l.suspected = slices.DeleteFunc(l.suspected, func(q *peer) bool { return q == p })
			l.probes = slices.DeleteFunc(l.probes, func(q probe) bool { return q.of == name })
		}
	}
	l.order, l.next = slices.Sorted(maps.Keys(l.peers)), 0
	l.news.fresh(l.cfg.Name)
}

// Lookup is what is believed of a box.
func (l *Detector) Lookup(name string) Update {
	if name == l.cfg.Name {
		return l.self
	}
	if p := l.peers[name]; p != nil {
		return p.Update
	}
	return Update{Name: name}
}

// Alive tells whether a box answers, as far as is known. One that is only suspected still counts.
func (l *Detector) Alive(name string) bool {
	s := l.Lookup(name).State
	return s == Alive || s == Suspect
}

// Snapshot gives what is believed of all, by name.
func (l *Detector) Snapshot() []Update {
	out := []Update{l.self}
	for _, p := range l.peers {
		out = append(out, p.Update)
	}
	slices.SortFunc(out, func(x, y Update) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// LocalHealth is how slow this box itself seems to be, 0 to 8: its suspicions take that much longer.
func (l *Detector) LocalHealth() int { return l.unwell }

// Ready hands over what is to be sent, and the news, since the last call.
func (l *Detector) Ready() ([]Envelope, []Change) {
	s, c := l.sends, l.changes
	l.sends, l.changes = nil, nil
	return s, c
}

func (l *Detector) times(n float64) float64 {
	size := 1.0
	for boxes := len(l.peers) + 1; boxes > 1; boxes /= 2 {
		size++
	}
	return n * size
}

func (l *Detector) slow(d time.Duration) time.Duration { return d * time.Duration(1+l.unwell) }

func (l *Detector) feel(by int) { l.unwell = min(max(l.unwell+by, 0), unwellMost) }

// send queues a message with what is new.
func (l *Detector) send(to string, m Message) {
	m.Updates = l.gossip(to)
	l.sends = append(l.sends, Envelope{to, m})
}

// gossip picks what was passed on least so far. Who is suspected hears that first, so that it can refute.
func (l *Detector) gossip(to string) []Update {
	var out []Update
	if p := l.peers[to]; p != nil && p.State >= Suspect {
		out = append(out, p.Update)
	}
	l.news.pick(int(l.times(gossipTimes)), func(name string) bool {
		if u := l.Lookup(name); u.Incarnation > 0 && (name != to || len(out) == 0) {
			out = append(out, u)
		}
		return len(out) < gossipMost
	})
	return out
}

// NextDeadline is when Tick wants to be called.
func (l *Detector) NextDeadline() time.Duration {
	at := l.probeAt
	for _, p := range l.probes {
		at = min(at, p.at+l.limit(p))
	}
	for _, p := range l.suspected {
		at = min(at, p.due)
	}
	return at
}

// limit is how long a probe waits in its present step.
func (l *Detector) limit(p probe) time.Duration {
	if p.helped || p.forWhom != "" {
		return l.slow(l.cfg.ProbeInterval)
	}
	return l.slow(l.cfg.ProbeTimeout)
}

// Tick does what is due.
func (l *Detector) Tick(now time.Duration) {
	for i := 0; i < len(l.probes); i++ {
		p := &l.probes[i]
		if now < p.at+l.limit(*p) {
			continue
		}
		if p.helped || p.forWhom != "" {
			if p.forWhom == "" {
				l.feel(1) // an answer that never came may be our own fault
				l.suspect(now, p.of)
			}
			l.probes = slices.Delete(l.probes, i, i+1)
			i--
			continue
		}
		p.helped = true
		for _, helper := range l.helpers(p.of) {
			l.send(helper, Message{Kind: PingRequest, Number: p.number, Target: p.of})
		}
	}
	for _, p := range slices.Clone(l.suspected) {
		if now >= p.due {
			u := p.Update
			u.State = Dead
			l.believe(now, u)
		}
	}
	if now >= l.probeAt && len(l.order) > 0 {
		l.probeAt = now + l.slow(l.cfg.ProbeInterval)
		l.probe(now)
	}
}

// probe pings the next one of a round.
func (l *Detector) probe(now time.Duration) {
	if l.next == 0 {
		for i := len(l.order) - 1; i > 0; i-- {
			k := l.chance.Intn(i + 1)
			l.order[i], l.order[k] = l.order[k], l.order[i]
		}
	}
	of := l.order[l.next]
	l.next = (l.next + 1) % len(l.order)
	l.number++
	l.send(of, Message{Kind: Ping, Number: l.number})
	if s := l.peers[of].State; s == Alive || s == Suspect {
		l.probes = append(l.probes, probe{of: of, number: l.number, at: now})
	}
}

func (l *Detector) helpers(not string) []string {
	var all []string
	for _, name := range l.order {
		if name != not && l.peers[name].State == Alive {
			all = append(all, name)
		}
	}
	for i := range min(l.cfg.IndirectProbes, len(all)) {
		k := i + l.chance.Intn(len(all)-i)
		all[i], all[k] = all[k], all[i]
	}
	return all[:min(l.cfg.IndirectProbes, len(all))]
}

func (l *Detector) suspect(now time.Duration, name string) {
	u := l.peers[name].Update
	if u.State == Alive {
		u.State = Suspect
		l.believe(now, u)
	}
}

// Observe follows a message of any kind from a box in that life, also of other packages: it is there.
func (l *Detector) Observe(now time.Duration, from string, life uint64) {
	p := l.peers[from]
	if p == nil || life < p.Incarnation {
		return
	}
	if life > p.Incarnation || p.State == Unknown {
		l.believe(now, Update{from, life, 0, Alive})
	}
}

// Receive takes a message of a box in that life. One of an earlier life than is known does nothing.
func (l *Detector) Receive(now time.Duration, from string, life uint64, m *Message) {
	p := l.peers[from]
	if p == nil || life < p.Incarnation {
		return
	}
	l.Observe(now, from, life)
	for _, u := range m.Updates {
		l.believe(now, u)
	}
	switch m.Kind {
	case Ping:
		l.send(from, Message{Kind: Ack, Number: m.Number, Target: l.cfg.Name})
	case Ack:
		l.acked(now, m.Target, m.Number)
	case PingRequest:
		if l.peers[m.Target] == nil {
			return
		}
		l.number++
		l.send(m.Target, Message{Kind: Ping, Number: l.number})
		l.probes = append(l.probes, probe{of: m.Target, number: l.number, at: now, forWhom: from, theirs: m.Number})
	}
}

func (l *Detector) acked(now time.Duration, of string, number uint64) {
	for i, p := range l.probes {
		if p.number != number || p.of != of {
			continue
		}
		l.probes = slices.Delete(l.probes, i, i+1)
		if p.forWhom != "" {
			l.send(p.forWhom, Message{Kind: Ack, Number: p.theirs, Target: of})
			return
		}
		l.feel(-1)
		if q := l.peers[of]; q.State == Suspect { // it answers: it will refute, and others are told so by its word alone
			q.due = max(q.due, now+l.slow(l.cfg.ProbeInterval))
		}
		return
	}
}

// believe takes an update if it is newer than what is known. One about this box that is not true is refuted.
func (l *Detector) believe(now time.Duration, u Update) {
	if u.Name == l.cfg.Name {
		if u.Incarnation == l.self.Incarnation && u.State > Alive && u.Refutation >= l.self.Refutation && l.self.State != Left {
			l.self.Refutation = u.Refutation + 1
			l.feel(1)
			l.news.fresh(l.cfg.Name)
		}
		return
	}
	p := l.peers[u.Name]
	if p == nil || !u.beats(p.Update) {
		return
	}
	before := p.Update
	p.Update = u
	l.news.fresh(u.Name)
	l.suspected = slices.DeleteFunc(l.suspected, func(q *peer) bool { return q == p })
	if u.State == Suspect {
		l.suspected = append(l.suspected, p)
		p.due = now + l.slow(time.Duration(l.times(l.cfg.SuspicionFactor)*float64(l.cfg.ProbeInterval)))
	}
	l.changes = append(l.changes, Change{u, before})
}

// Leave tells all that this box leaves.
func (l *Detector) Leave() {
	l.self.State = Left
	l.news.fresh(l.cfg.Name)
	for _, name := range l.order {
		if l.Alive(name) {
			l.number++
			l.send(name, Message{Kind: Ping, Number: l.number})
		}
	}
}
