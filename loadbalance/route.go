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
	Peers                []Peer
	MaxConsecutiveFaults int           // in a row that eject a peer; 3
	EjectionTime         time.Duration // how long the first time; 1 s. Each further one lasts twice as long
	MaxEjectionTime      time.Duration // at most; 60 s
	TrialShare           float64       // share of the picks that a returning peer may have; 0.1
	TrialSuccesses       int           // good calls that end its trial; 5
	MinHealthyShare      float64       // share of the peers that stay in service whatever their faults; 0.5, one at least
	RetryBudget          float64       // further tries as a share of first ones; 0.1
	Seed                 uint64
}

// Peer is one server of the next tier.
type Peer struct {
	Address  string
	Weight   float64 // its share beside the others; 1 if 0
	Route    string  // its name for sticky calls; empty: none
	MaxCalls int     // calls at a time; 64 if 0
}

// Outcome is how a call at a peer ended, as far as routes go by it.
type Outcome uint8

// The outcomes.
const (
	Succeeded  Outcome = iota + 1 // answered, whatever it said of the call
	Overloaded                    // answered that it takes no more now
	Fault                         // refused connections, resets, noise, no CPong: it does not work
	TimedOut                      // no answer in time: it, or what it works on, is slow
	Abandoned                     // given up from here: nothing is known
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
	InService  State = iota // in service
	Ejected                 // ejected
	Recovering              // back, for a share of the picks
)

// String is the state's word.
func (s State) String() string { return [...]string{"in", "out", "trial"}[min(s, Recovering)] }

// Target is a peer as the router knows it; calls hold on to it while they are made.
type Target struct {
	Peer
	State       State
	Outstanding int
	Removed     bool // no longer among the peers: it gets no more, what it has may end

	faults   int           // in a row
	declines int           // in a row: it works, and has no room
	outs     int           // ejections in a row
	until    time.Duration // Out: when its trial begins
	passes   int           // Trial: good calls so far
	last     uint64        // the pick that it had last
	since    time.Duration // In: when it came back
	out      time.Duration // how long it was out last
}

// Balancer picks. Make it with New.
type Balancer struct {
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
func New(cfg Config) *Balancer {
	r := &Balancer{chance: rand.New(rand.NewPCG(cfg.Seed, 0x726f757465)), tokens: budgetTop}
	r.Update(cfg)
	return r
}

// Update has other peers and limits from now on. A peer that stays, by its address, keeps its state and what is out
// there; one that is no more gets nothing new.
func (r *Balancer) Update(cfg Config) {
	cfg.MaxConsecutiveFaults, cfg.EjectionTime, cfg.MaxEjectionTime = or(cfg.MaxConsecutiveFaults, 3), or(cfg.EjectionTime, time.Second), or(cfg.MaxEjectionTime, time.Minute)
	cfg.TrialShare, cfg.TrialSuccesses, cfg.MinHealthyShare, cfg.RetryBudget = or(cfg.TrialShare, 0.1), or(cfg.TrialSuccesses, 5), or(cfg.MinHealthyShare, 0.5), or(cfg.RetryBudget, 0.1)
	before := map[string]*Target{}
	for _, t := range r.targets {
		t.Removed = true
		before[t.Address] = t
	}
	r.cfg, r.targets = cfg, nil
	for _, p := range cfg.Peers {
		p.Weight, p.MaxCalls = or(p.Weight, 1), or(p.MaxCalls, 64)
		t := before[p.Address]
		if t == nil || !t.Removed { // new, or named twice
			if t != nil {
				continue
			}
			t = &Target{}
			before[p.Address] = t
		}
		t.Peer, t.Removed = p, false
		r.targets = append(r.targets, t)
	}
}

// Targets are the peers, in the order in which they were told.
func (r *Balancer) Targets() []*Target { return r.targets }

// Pick gives the peer for a call and counts it there, nil if none can take one. A first try fills the budget; a further
// one, which not has had before, takes from it and gets nothing when it is empty or the tier as a whole fails.
func (r *Balancer) Pick(now time.Duration, sticky string, not ...*Target) *Target {
	if len(not) == 0 {
		r.tokens = min(budgetTop, r.tokens+r.cfg.RetryBudget)
	} else if r.tokens < 1 || r.failing() {
		return nil
	}
	var best *Target
	for _, t := range r.targets {
		if !r.takes(now, t, not) {
			continue
		}
		if sticky != "" && t.Route == sticky && t.State == InService || t.State == Recovering {
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
func (r *Balancer) takes(now time.Duration, t *Target, not []*Target) bool {
	for _, o := range not {
		if o == t {
			return false
		}
	}
	if t.State == Ejected && now >= t.until {
		t.State, t.passes = Recovering, 0
	}
	switch {
	case t.Outstanding >= t.MaxCalls, t.State == Ejected:
		return false
	case t.State == Recovering:
		return t.Outstanding == 0 && (r.chance.Float64() < r.cfg.TrialShare || !r.others(t))
	case t.weak(r.cfg.MaxConsecutiveFaults): // it stays in service: not what looks least busy as it fails or declines at once
		return r.chance.Float64() < r.cfg.TrialShare || !r.others(t)
	}
	return true
}

// weak tells whether a peer in service does little good now.
func (t *Target) weak(most int) bool { return t.faults >= most || t.declines >= most }

// NeedsHealthCheck tells whether a peer is to be asked whether it is there before it gets a call.
func (t *Target) NeedsHealthCheck() bool { return t.faults > 0 || t.State == Recovering }

// others tells whether another peer is in service and works.
func (r *Balancer) others(t *Target) bool {
	for _, o := range r.targets {
		if o != t && o.State == InService && !o.weak(r.cfg.MaxConsecutiveFaults) && o.Outstanding < o.MaxCalls {
			return true
		}
	}
	return false
}

// failing tells whether the tier as a whole fails: every peer is out, on trial, or has just failed.
func (r *Balancer) failing() bool {
	for _, t := range r.targets {
		if t.State == InService && t.faults == 0 {
			return false
		}
	}
	return true
}

// Done says how a call at a peer ended.
func (r *Balancer) Done(now time.Duration, t *Target, how Outcome) {
	t.Outstanding--
	if t.Removed {
		return
	}
	switch how {
	case Succeeded, Overloaded:
		t.faults = 0
		if t.declines++; how == Succeeded {
			t.declines = 0
		}
		if t.State == Recovering {
			if t.passes++; t.passes >= r.cfg.TrialSuccesses {
				t.State, t.since = InService, now
			}
		}
		if t.State == InService && t.outs > 0 && now-t.since >= time.Duration(forgetIn*float64(t.out)) {
			t.outs = 0
		}
	case Fault, TimedOut:
		t.faults++
		switch {
		case t.State == Recovering:
			r.eject(now, t)
		case t.State == Ejected || t.faults < r.cfg.MaxConsecutiveFaults:
		case r.spare():
			r.eject(now, t)
		default:
			r.recall(now)
		}
	}
}

// recall has the peer that would return first begin its trial now: one more in service has failed, and can't be spared.
func (r *Balancer) recall(now time.Duration) {
	var first *Target
	for _, t := range r.targets {
		if t.State == Recovering {
			return
		}
		if t.State == Ejected && (first == nil || t.until < first.until) {
			first = t
		}
	}
	if first != nil {
		first.until = min(first.until, now)
	}
}

// spare tells whether one more peer may be out.
func (r *Balancer) spare() bool {
	in := 0
	for _, t := range r.targets {
		if t.State == InService {
			in++
		}
	}
	return in-1 >= max(1, int(math.Ceil(r.cfg.MinHealthyShare*float64(len(r.targets)))))
}

func (r *Balancer) eject(now time.Duration, t *Target) {
	out := min(float64(r.cfg.MaxEjectionTime), float64(r.cfg.EjectionTime)*math.Pow(2, float64(min(t.outs, 30))))
	out *= 1 - jitter + 2*jitter*r.chance.Float64()
	t.State, t.out, t.until, t.faults, t.declines = Ejected, time.Duration(out), now+time.Duration(out), 0, 0
	t.outs++
}
