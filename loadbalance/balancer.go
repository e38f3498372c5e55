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
	jitter         = 0.25 // of the time out, either way: peers that failed together do not return together
	maxRetryTokens = 10.0 // further tries that may be saved up
	ejectionMemory = 2.0  // times its last time out that a peer has served well until its next one is a first one again
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

	consecutiveFaults    int           // in a row
	consecutiveOverloads int           // in a row: it works, and has no room
	consecutiveEjections int           // ejections in a row
	ejectedUntil         time.Duration // Out: when its trial begins
	trialSuccesses       int           // Trial: good calls so far
	lastPick             uint64        // the pick that it had last
	recoveredAt          time.Duration // In: when it came back
	lastEjectionTime     time.Duration // how long it was out last
}

// Balancer picks. Make it with New.
type Balancer struct {
	cfg         Config
	targets     []*Target
	random      *rand.Rand
	picks       uint64
	retryTokens float64
}

func valueOr[T comparable](v, usual T) T {
	var zero T
	if v == zero {
		return usual
	}
	return v
}

// New returns a router.
func New(cfg Config) *Balancer {
	r := &Balancer{random: rand.New(rand.NewPCG(cfg.Seed, 0x726f757465)), retryTokens: maxRetryTokens}
	r.Update(cfg)
	return r
}

// Update has other peers and limits from now on. A peer that stays, by its address, keeps its state and what is out
// there; one that is no more gets nothing new.
func (b *Balancer) Update(cfg Config) {
	cfg.MaxConsecutiveFaults, cfg.EjectionTime, cfg.MaxEjectionTime = valueOr(cfg.MaxConsecutiveFaults, 3), valueOr(cfg.EjectionTime, time.Second), valueOr(cfg.MaxEjectionTime, time.Minute)
	cfg.TrialShare, cfg.TrialSuccesses, cfg.MinHealthyShare, cfg.RetryBudget = valueOr(cfg.TrialShare, 0.1), valueOr(cfg.TrialSuccesses, 5), valueOr(cfg.MinHealthyShare, 0.5), valueOr(cfg.RetryBudget, 0.1)
	before := map[string]*Target{}
	for _, t := range b.targets {
		t.Removed = true
		before[t.Address] = t
	}
	b.cfg, b.targets = cfg, nil
	for _, p := range cfg.Peers {
		p.Weight, p.MaxCalls = valueOr(p.Weight, 1), valueOr(p.MaxCalls, 64)
		t := before[p.Address]
		if t == nil || !t.Removed { // new, or named twice
			if t != nil {
				continue
			}
			t = &Target{}
			before[p.Address] = t
		}
		t.Peer, t.Removed = p, false
		b.targets = append(b.targets, t)
	}
}

// Targets are the peers, in the order in which they were told.
func (b *Balancer) Targets() []*Target { return b.targets }

// Pick gives the peer for a call and counts it there, nil if none can take one. A first try fills the budget; a further
// one, which not has had before, takes from it and gets nothing when it is empty or the tier as a whole fails.
func (b *Balancer) Pick(now time.Duration, sticky string, not ...*Target) *Target {
	if len(not) == 0 {
		b.retryTokens = min(maxRetryTokens, b.retryTokens+b.cfg.RetryBudget)
	} else if b.retryTokens < 1 || b.tierFailing() {
		return nil
	}
	var best *Target
	for _, t := range b.targets {
		if !b.eligible(now, t, not) {
			continue
		}
		if sticky != "" && t.Route == sticky && t.State == InService || t.State == Recovering {
			best = t // a trial's share is its own, however little the others have to do
			break
		}
		if best == nil || t.preferredTo(best) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	if len(not) > 0 {
		b.retryTokens--
	}
	b.picks++
	best.lastPick = b.picks
	best.Outstanding++
	return best
}

// preferredTo tells whether t comes before o: fewer outstanding for its weight with this call, then the one that waited
// longer for a pick.
func (t *Target) preferredTo(o *Target) bool {
	x, y := float64(t.Outstanding+1)/t.Weight, float64(o.Outstanding+1)/o.Weight
	if x != y {
		return x < y
	}
	return t.lastPick < o.lastPick
}

// eligible tells whether a peer may get a call now. One whose time out is over is on trial from here on.
func (b *Balancer) eligible(now time.Duration, t *Target, not []*Target) bool {
	for _, o := range not {
		if o == t {
			return false
		}
	}
	if t.State == Ejected && now >= t.ejectedUntil {
		t.State, t.trialSuccesses = Recovering, 0
	}
	switch {
	case t.Outstanding >= t.MaxCalls, t.State == Ejected:
		return false
	case t.State == Recovering:
		return t.Outstanding == 0 && (b.random.Float64() < b.cfg.TrialShare || !b.hasAlternative(t))
	case t.underperforming(b.cfg.MaxConsecutiveFaults): // it stays in service: not what looks least busy as it fails or declines at once
		return b.random.Float64() < b.cfg.TrialShare || !b.hasAlternative(t)
	}
	return true
}

// underperforming tells whether a peer in service does little good now.
func (t *Target) underperforming(most int) bool {
	return t.consecutiveFaults >= most || t.consecutiveOverloads >= most
}

// NeedsHealthCheck tells whether a peer is to be asked whether it is there before it gets a call.
func (t *Target) NeedsHealthCheck() bool { return t.consecutiveFaults > 0 || t.State == Recovering }

// hasAlternative tells whether another peer is in service and works.
func (b *Balancer) hasAlternative(t *Target) bool {
	for _, o := range b.targets {
		if o != t && o.State == InService && !o.underperforming(b.cfg.MaxConsecutiveFaults) && o.Outstanding < o.MaxCalls {
			return true
		}
	}
	return false
}

// tierFailing tells whether the tier as a whole fails: every peer is out, on trial, or has just failed.
func (b *Balancer) tierFailing() bool {
	for _, t := range b.targets {
		if t.State == InService && t.consecutiveFaults == 0 {
			return false
		}
	}
	return true
}

// Done says how a call at a peer ended.
func (b *Balancer) Done(now time.Duration, t *Target, how Outcome) {
	t.Outstanding--
	if t.Removed {
		return
	}
	switch how {
	case Succeeded, Overloaded:
		t.consecutiveFaults = 0
		if t.consecutiveOverloads++; how == Succeeded {
			t.consecutiveOverloads = 0
		}
		if t.State == Recovering {
			if t.trialSuccesses++; t.trialSuccesses >= b.cfg.TrialSuccesses {
				t.State, t.recoveredAt = InService, now
			}
		}
		if t.State == InService && t.consecutiveEjections > 0 && now-t.recoveredAt >= time.Duration(ejectionMemory*float64(t.lastEjectionTime)) {
			t.consecutiveEjections = 0
		}
	case Fault, TimedOut:
		t.consecutiveFaults++
		switch {
		case t.State == Recovering:
			b.eject(now, t)
		case t.State == Ejected || t.consecutiveFaults < b.cfg.MaxConsecutiveFaults:
		case b.canEject():
			b.eject(now, t)
		default:
			b.recoverEarliest(now)
		}
	}
}

// recoverEarliest has the peer that would return first begin its trial now: one more in service has failed, and can't be spared.
func (b *Balancer) recoverEarliest(now time.Duration) {
	var first *Target
	for _, t := range b.targets {
		if t.State == Recovering {
			return
		}
		if t.State == Ejected && (first == nil || t.ejectedUntil < first.ejectedUntil) {
			first = t
		}
	}
	if first != nil {
		first.ejectedUntil = min(first.ejectedUntil, now)
	}
}

// canEject tells whether one more peer may be out.
func (b *Balancer) canEject() bool {
	in := 0
	for _, t := range b.targets {
		if t.State == InService {
			in++
		}
	}
	return in-1 >= max(1, int(math.Ceil(b.cfg.MinHealthyShare*float64(len(b.targets)))))
}

func (b *Balancer) eject(now time.Duration, t *Target) {
	out := min(float64(b.cfg.MaxEjectionTime), float64(b.cfg.EjectionTime)*math.Pow(2, float64(min(t.consecutiveEjections, 30))))
	out *= 1 - jitter + 2*jitter*b.random.Float64()
	t.State, t.lastEjectionTime, t.ejectedUntil, t.consecutiveFaults, t.consecutiveOverloads = Ejected, time.Duration(out), now+time.Duration(out), 0, 0
	t.consecutiveEjections++
}
