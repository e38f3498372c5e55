// Package loadbalance decides which peer of the next tier gets a call: least outstanding among those in service, sticky by
// route name, with ejection on proved faults, a trial on return, a floor, and a budget of further tries. It is a state
// machine without I/O, clock or goroutine: the same calls at the same times lead to the same picks. Whether a call is made
// at all, and whether one that may have run is made again, is not decided here.
package loadbalance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Config is what a router is told. Zero values are the usual ones.
type Config struct {
	Peers  []Peer
	Faults int           // in a row that eject a peer; 3
	Out    time.Duration // how long the first time; 1 s. Each further one lasts twice as long
	OutTop time.Duration // at most; 60 s
	Trial  float64       // share of the picks that a returning peer may have; 0.1
	Passes int           // good calls that end its trial; 5
	Floor  float64       // share of the peers that stay in service whatever their faults; 0.5, one at least
	Budget float64       // further tries as a share of first ones; 0.1
	Seed   uint64
}

// Peer is one server of the next tier.
type Peer struct {
	Address string
	Weight  float64 // its share beside the others; 1 if 0
	Route   string  // its name for sticky calls; empty: none
	Most    int     // calls at a time; 64 if 0
}

// Outcome is how a call at a peer ended, as far as routes go by it.
type Outcome uint8

// The outcomes.
const (
	Good     Outcome = iota + 1 // answered, whatever it said of the call
	Declined                    // answered that it takes no more now
	Fault                       // refused connections, resets, noise, no CPong: it does not work
	Silent                      // no answer in time: it, or what it works on, is slow
	Dropped                     // given up from here: nothing is known
)

const (
	jitter    = 0.25 // of the time out, either way: peers that failed together do not return together
	budgetTop = 10.0 // further tries that may be saved up
	forgetIn  = 2.0  // times its last time out that a peer has served well until its next one is a first one again
)

// State is how a peer stands.
type State uint8

// The states.
const (
	In    State = iota // in service
	Out                // ejected
	Trial              // back, for a share of the picks
)

// String is the state's word.
func (s State) String() string { return [...]string{"in", "out", "trial"}[min(s, Trial)] }

// Target is a peer as the router knows it; calls hold on to it while they are made.
type Target struct {
	Peer
	State       State
	Outstanding int
	Gone        bool // no longer among the peers: it gets no more, what it has may end

	faults   int           // in a row
	declines int           // in a row: it works, and has no room
	outs     int           // ejections in a row
	until    time.Duration // Out: when its trial begins
	passes   int           // Trial: good calls so far
	last     uint64        // the pick that it had last
	since    time.Duration // In: when it came back
	out      time.Duration // how long it was out last
}

// Router picks. Make it with New.
type Router struct {
	cfg     Config
	targets []*Target
	chance  *rand.Rand
	picks   uint64
	tokens  float64
}

func or[T comparable](v, usual T) T {
	var zero T
	if v == zero {
		return usual
	}
	return v
}

// New returns a router.
func New(cfg Config) *Router {
	r := &Router{chance: rand.New(rand.NewPCG(cfg.Seed, 0x726f757465)), tokens: budgetTop}
	r.Update(cfg)
	return r
}

// Update has other peers and limits from now on. A peer that stays, by its address, keeps its state and what is out
// there; one that is no more gets nothing new.
func (r *Router) Update(cfg Config) {
	cfg.Faults, cfg.Out, cfg.OutTop = or(cfg.Faults, 3), or(cfg.Out, time.Second), or(cfg.OutTop, time.Minute)
	cfg.Trial, cfg.Passes, cfg.Floor, cfg.Budget = or(cfg.Trial, 0.1), or(cfg.Passes, 5), or(cfg.Floor, 0.5), or(cfg.Budget, 0.1)
	before := map[string]*Target{}
	for _, t := range r.targets {
		t.Gone = true
		before[t.Address] = t
	}
	r.cfg, r.targets = cfg, nil
	for _, p := range cfg.Peers {
		p.Weight, p.Most = or(p.Weight, 1), or(p.Most, 64)
		t := before[p.Address]
		if t == nil || !t.Gone { // new, or named twice
			if t != nil {
				continue
			}
			t = &Target{}
			before[p.Address] = t
		}
		t.Peer, t.Gone = p, false
		r.targets = append(r.targets, t)
	}
}

// Targets are the peers, in the order in which they were told.
func (r *Router) Targets() []*Target { return r.targets }

// Pick gives the peer for a call and counts it there, nil if none can take one. A first try fills the budget; a further
// one, which not has had before, takes from it and gets nothing when it is empty or the tier as a whole fails.
func (r *Router) Pick(now time.Duration, sticky string, not ...*Target) *Target {
	if len(not) == 0 {
		r.tokens = min(budgetTop, r.tokens+r.cfg.Budget)
	} else if r.tokens < 1 || r.failing() {
		return nil
	}
	var best *Target
	for _, t := range r.targets {
		if !r.takes(now, t, not) {
			continue
		}
		if sticky != "" && t.Route == sticky && t.State == In || t.State == Trial {
			best = t // a trial's share is its own, however little the others have to do
			break
		}
		if best == nil || t.better(best) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	if len(not) > 0 {
		r.tokens--
	}
	r.picks++
	best.last = r.picks
	best.Outstanding++
	return best
}

// better tells whether t comes before o: fewer outstanding for its weight with this call, then the one that waited
// longer for a pick.
func (t *Target) better(o *Target) bool {
	x, y := float64(t.Outstanding+1)/t.Weight, float64(o.Outstanding+1)/o.Weight
	if x != y {
		return x < y
	}
	return t.last < o.last
}

// takes tells whether a peer may get a call now. One whose time out is over is on trial from here on.
func (r *Router) takes(now time.Duration, t *Target, not []*Target) bool {
	for _, o := range not {
		if o == t {
			return false
		}
	}
	if t.State == Out && now >= t.until {
		t.State, t.passes = Trial, 0
	}
	switch {
	case t.Outstanding >= t.Most, t.State == Out:
		return false
	case t.State == Trial:
		return t.Outstanding == 0 && (r.chance.Float64() < r.cfg.Trial || !r.others(t))
	case t.weak(r.cfg.Faults): // it stays in service: not what looks least busy as it fails or declines at once
		return r.chance.Float64() < r.cfg.Trial || !r.others(t)
	}
	return true
}

// weak tells whether a peer in service does little good now.
func (t *Target) weak(most int) bool { return t.faults >= most || t.declines >= most }

// Doubtful tells whether a peer is to be asked whether it is there before it gets a call.
func (t *Target) Doubtful() bool { return t.faults > 0 || t.State == Trial }

// others tells whether another peer is in service and works.
func (r *Router) others(t *Target) bool {
	for _, o := range r.targets {
		if o != t && o.State == In && !o.weak(r.cfg.Faults) && o.Outstanding < o.Most {
			return true
		}
	}
	return false
}

// failing tells whether the tier as a whole fails: every peer is out, on trial, or has just failed.
func (r *Router) failing() bool {
	for _, t := range r.targets {
		if t.State == In && t.faults == 0 {
			return false
		}
	}
	return true
}

// Done says how a call at a peer ended.
func (r *Router) Done(now time.Duration, t *Target, how Outcome) {
	t.Outstanding--
	if t.Gone {
		return
	}
	switch how {
	case Good, Declined:
		t.faults = 0
		if t.declines++; how == Good {
			t.declines = 0
		}
		if t.State == Trial {
			if t.passes++; t.passes >= r.cfg.Passes {
				t.State, t.since = In, now
			}
		}
		if t.State == In && t.outs > 0 && now-t.since >= time.Duration(forgetIn*float64(t.out)) {
			t.outs = 0
		}
	case Fault, Silent:
		t.faults++
		switch {
		case t.State == Trial:
			r.eject(now, t)
		case t.State == Out || t.faults < r.cfg.Faults:
		case r.spare():
			r.eject(now, t)
		default:
			r.recall(now)
		}
	}
}

// recall has the peer that would return first begin its trial now: one more in service has failed, and can't be spared.
func (r *Router) recall(now time.Duration) {
	var first *Target
	for _, t := range r.targets {
		if t.State == Trial {
			return
		}
		if t.State == Out && (first == nil || t.until < first.until) {
			first = t
		}
	}
	if first != nil {
		first.until = min(first.until, now)
	}
}

// spare tells whether one more peer may be out.
func (r *Router) spare() bool {
	in := 0
	for _, t := range r.targets {
		if t.State == In {
			in++
		}
	}
	return in-1 >= max(1, int(math.Ceil(r.cfg.Floor*float64(len(r.targets)))))
}

func (r *Router) eject(now time.Duration, t *Target) {
	out := min(float64(r.cfg.OutTop), float64(r.cfg.Out)*math.Pow(2, float64(min(t.outs, 30))))
	out *= 1 - jitter + 2*jitter*r.chance.Float64()
	t.State, t.out, t.until, t.faults, t.declines = Out, time.Duration(out), now+time.Duration(out), 0, 0
	t.outs++
}
