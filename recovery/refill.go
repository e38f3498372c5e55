package recovery

import (
	"cmp"
	"frosthub/internal/prng"
	"slices"
	"time"
)

// Refill is how a box that has lost something of its disk is told it again by the others, while it serves. It decides whom to ask for the next
// page and when, and of which keys all is known again. Places are those that say where to go on; the zero one is the start. Make it with
// NewRefill.
type Refill[P comparable] struct {
	cfg     RefillConfig
	sources map[string]*source[P]
	names   []string        // in the order in which they are asked
	without map[string]bool // boxes that never come back, by an operator's word
	chance  prng.Source
	done    bool
}

// RefillConfig says how much is asked at a time.
type RefillConfig struct {
	Incarnation   uint64        // of this box: what was meant for an earlier one is not heeded
	Others        []string      // all that share keys with it
	PageInterval  time.Duration // between pages of one; 0 as usual
	MaxConcurrent int           // that are asked at a time; 0 as usual
}

const (
	pageEvery  = 20 * time.Millisecond  // fifty pages a second and source: some hundred thousand keys
	pageWait   = 300 * time.Millisecond // for one; doubled each time up to pageMost
	pageMost   = 4 * time.Second
	partEvery  = 5 * time.Second // until a source that has lost something itself is asked whether it is whole now
	atOnceMost = 3               // a source spends a millisecond a page, and this box some writes
)

// source is one that tells.
type source[P comparable] struct {
	life    uint64 // of its process: another one's places mean nothing
	next    P      // where to go on, as it said
	askAt   time.Duration
	wait    time.Duration
	asked   bool // a page is on its way
	started bool
	done    bool
	part    bool // it has told all, and has lost something itself
	pages   int
	keys    int
}

// NewRefill begins one.
func NewRefill[P comparable](cfg RefillConfig, seed uint64) *Refill[P] {
	cfg.PageInterval, cfg.MaxConcurrent = cmp.Or(cfg.PageInterval, pageEvery), cmp.Or(cfg.MaxConcurrent, atOnceMost)
	r := &Refill[P]{cfg: cfg, without: map[string]bool{}, chance: prng.New(seed)}
	r.SetOthers(cfg.Others)
	return r
}

// SetOthers says that others are the ones that share keys with this box now: all begins anew, as what was told was told by other lists.
func (r *Refill[P]) SetOthers(others []string) {
	r.sources, r.names, r.done = map[string]*source[P]{}, nil, false
	for _, name := range others {
		if r.without[name] {
			continue
		}
		r.names = append(r.names, name)
		r.sources[name] = &source[P]{wait: pageWait}
	}
	for i := len(r.names) - 1; i > 0; i-- { // boxes that come back together ask different ones first
		k := r.chance.Intn(i + 1)
		r.names[i], r.names[k] = r.names[k], r.names[i]
	}
}

// Exclude says that a box never comes back: what only that one and this box knew is lost, and taken for never run.
func (r *Refill[P]) Exclude(name string) {
	r.without[name] = true
	delete(r.sources, name)
	r.names = slices.DeleteFunc(r.names, func(x string) bool { return x == name })
	r.look()
}

// look finds out whether all have told.
func (r *Refill[P]) look() {
	r.done = !slices.ContainsFunc(r.names, func(name string) bool { return !r.sources[name].done })
}

// Question asks a box for a page.
type Question[P comparable] struct {
	To   string
	From P // as that box said where to go on
}

// Tick gives the questions that are due. alive tells who seems to be there: others are asked seldom.
func (r *Refill[P]) Tick(now time.Duration, alive func(string) bool) (out []Question[P]) {
	busy := 0
	for _, name := range r.names {
		if s := r.sources[name]; s.started && !s.done && !s.part && s.wait < pageMost {
			busy++
		}
	}
	for _, name := range r.names {
		s := r.sources[name]
		if s.done || now < s.askAt || !s.started && (busy >= r.cfg.MaxConcurrent || !alive(name)) {
			continue
		}
		if s.asked { // no answer: more seldom, each at moments of its own
			s.wait = min(2*s.wait, pageMost)
		}
		if !s.started {
			s.started = true
			busy++
		}
		s.asked, s.part = true, false
		s.askAt = now + s.wait/2 + time.Duration(r.chance.Uint64()%uint64(s.wait))
		out = append(out, Question[P]{name, s.next})
	}
	return out
}

// PageInfo is what a page says beside what it tells.
type PageInfo[P comparable] struct {
	Incarnation uint64 // of who asked
	From        P      // as it was asked for
	Next        P
	Keys        int
	Last        bool
	Complete    bool // who tells has lost nothing itself
}

// Wants tells whether a page of a box, in that life of its own, is the one that is waited for.
func (r *Refill[P]) Wants(from string, life uint64, p *PageInfo[P]) bool {
	s := r.sources[from]
	if s == nil || s.done || !s.asked || p.Incarnation != r.cfg.Incarnation {
		return false
	}
	var start P
	if s.next != start && s.life != life { // its places are another process's
		s.next, s.life, s.asked, s.askAt = start, life, false, 0
		return false
	}
	s.life = life
	return s.next == p.From
}

// PageReceived says that such a page was taken, or not all of it: then it is asked for once more, later.
func (r *Refill[P]) PageReceived(now time.Duration, from string, p *PageInfo[P], all bool) {
	s := r.sources[from]
	s.asked = false
	if !all {
		s.askAt = now + pageMost
		return
	}
	again := s.next == p.Next && !p.Last // it waits for its own disk
	s.next, s.wait = p.Next, pageWait
	s.pages++
	s.keys += p.Keys
	switch {
	case p.Last && p.Complete:
		s.done = true
	case p.Last:
		var start P
		s.part, s.next, s.askAt = true, start, now+partEvery
	case again:
		s.askAt = now + pageWait
	default:
		s.askAt = now + r.cfg.PageInterval
	}
	r.look()
}

// Covers tells whether all of these have told all that they know.
func (r *Refill[P]) Covers(others []string) bool {
	return !slices.ContainsFunc(others, func(name string) bool {
		s := r.sources[name]
		return !r.without[name] && (s == nil || !s.done)
	})
}

// Done tells whether all have.
func (r *Refill[P]) Done() bool { return r.done }

// Progress is how far one of the others has told.
type Progress struct {
	Name  string `json:"name"`
	State string `json:"state"` // not asked, tells, told, not whole, silent
	Keys  int    `json:"keys"`
	Pages int    `json:"pages"`
}

// Progress gives it of each, in the order in which they are asked.
func (r *Refill[P]) Progress() (out []Progress) {
	for _, name := range r.names {
		s := r.sources[name]
		word := "tells"
		switch {
		case s.done:
			word = "told"
		case s.part:
			word = "not whole"
		case !s.started:
			word = "not asked"
		case s.wait > pageWait:
			word = "silent"
		}
		out = append(out, Progress{name, word, s.keys, s.pages})
	}
	return out
}

// UnknownOutcomes is in which order, and how fast, the others are asked how runs ended whose end a box does not know: it paces, and gives up on keys
// that nobody can tell of, so that they are in doubt for good.
type UnknownOutcomes struct {
	tries map[[16]byte]*trying
	order [][16]byte
	next  time.Duration
}

type trying struct {
	n  int
	at time.Duration
}

const (
	settleEvery = 50 * time.Millisecond
	settleBatch = 16 // keys that are asked about at a time: some hundred a second, beside the work
	settleTries = 8  // of one key, ever more seldom: some minutes
	settleFirst = 2 * time.Second
	settleMost  = time.Minute
)

// NewUnknownOutcomes takes the keys in doubt at the start, in the order in which they are asked about.
func NewUnknownOutcomes(keys [][16]byte) *UnknownOutcomes {
	s := &UnknownOutcomes{tries: map[[16]byte]*trying{}, order: keys}
	for _, k := range keys {
		s.tries[k] = &trying{}
	}
	return s
}

// Remaining is how many are still asked about.
func (s *UnknownOutcomes) Remaining() int { return len(s.tries) }

// Tick gives keys to be asked about; doubted tells which are in doubt still.
func (s *UnknownOutcomes) Tick(now time.Duration, doubted func([16]byte) bool) (ask [][16]byte) {
	if now < s.next {
		return nil
	}
	s.next = now + settleEvery
	left := s.order[:0]
	for _, k := range s.order {
		t := s.tries[k]
		if t.n > 0 && !doubted(k) || t.n >= settleTries && now >= t.at {
			delete(s.tries, k)
			continue
		}
		left = append(left, k)
		if now >= t.at && len(ask) < settleBatch {
			t.at = now + min(settleFirst<<t.n, settleMost)
			t.n++
			ask = append(ask, k)
		}
	}
	s.order = left
	return ask
}
