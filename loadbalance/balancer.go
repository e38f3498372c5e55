// Package loadbalance decides which peer of the upstream tier gets a call: the one with the least outstanding calls among those
// in service, or the one of a sticky route. Peers that fail are ejected, return by a trial, and are never ejected below a
// floor (outlier ejection). Retries have a budget.
//
// A Balancer is a deterministic state machine without I/O, clock or goroutine: the same calls at the same times lead to the
// same picks. Whether a call is made at all, and whether one that may have run is retried, is not decided here.
package loadbalance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config is the configuration of a Balancer. A zero value stands for the default that is named with the field.
type Config struct {
	Peers                []Peer
	MaxConsecutiveFaults int           // faults in a row that eject a peer; 3
	EjectionTime         time.Duration // of a first ejection, 1 s; each further one lasts twice as long
	MaxEjectionTime      time.Duration // 60 s
	TrialShare           float64       // share of the picks that a recovering peer may have; 0.1
	TrialSuccesses       int           // successful calls that end its trial; 5
	MinHealthyShare      float64       // share of the peers that stay in service whatever their faults, at least one; 0.5
	RetryBudget          float64       // retries as a share of first attempts; 0.1
	Seed                 uint64        // of the random source
}

// Defaults of the configuration.
const (
	defaultMaxConsecutiveFaults = 3
	defaultEjectionTime         = time.Second
	defaultMaxEjectionTime      = time.Minute
	defaultTrialShare           = 0.1
	defaultTrialSuccesses       = 5
	defaultMinHealthyShare      = 0.5
	defaultRetryBudget          = 0.1
	defaultWeight               = 1
	defaultMaxCalls             = 64
)

// maxRetryTokens is how many retries may be saved up.
const maxRetryTokens = 10.0

// randomStream tells the random source of a Balancer from others of the same seed.
const randomStream = 0x726f757465

// setDefaults replaces zero values.
func (c *Config) setDefaults() {
	c.MaxConsecutiveFaults = valueOr(c.MaxConsecutiveFaults, defaultMaxConsecutiveFaults)
	c.EjectionTime = valueOr(c.EjectionTime, defaultEjectionTime)
	c.MaxEjectionTime = valueOr(c.MaxEjectionTime, defaultMaxEjectionTime)
	c.TrialShare = valueOr(c.TrialShare, defaultTrialShare)
	c.TrialSuccesses = valueOr(c.TrialSuccesses, defaultTrialSuccesses)
	c.MinHealthyShare = valueOr(c.MinHealthyShare, defaultMinHealthyShare)
	c.RetryBudget = valueOr(c.RetryBudget, defaultRetryBudget)
}

// valueOr returns the value, or the default if it is zero.
func valueOr[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// Peer is one server of the upstream tier.
type Peer struct {
	Address  string
	Weight   float64 // its share relative to the others'; 1 if 0
	Route    string  // its name for sticky calls; empty if it has none
	MaxCalls int     // outstanding calls; 64 if 0
}

// Balancer picks peers. It is made by New, and not safe for concurrent use.
type Balancer struct {
	cfg         Config
	targets     []*Target // in the order of the configuration
	random      *rand.Rand
	picks       uint64
	retryTokens float64 // retries that the budget allows now
}

// New returns a Balancer with a full retry budget and all peers in service.
func New(cfg Config) *Balancer {
	b := &Balancer{
		random:      rand.New(rand.NewPCG(cfg.Seed, randomStream)),
		retryTokens: maxRetryTokens,
	}
	b.Update(cfg)
	return b
}

// Update adopts a configuration. A peer that stays, by its address, keeps its state and its outstanding calls; one that is
// removed gets no more calls. Addresses that stand twice count once.
func (b *Balancer) Update(cfg Config) {
	cfg.setDefaults()
	former := map[string]*Target{}
	for _, target := range b.targets {
		target.Removed = true
		former[target.Address] = target
	}
	b.cfg = cfg
	b.targets = nil
	added := map[string]bool{}
	for _, peer := range cfg.Peers {
		if added[peer.Address] {
			continue
		}
		added[peer.Address] = true
		target := former[peer.Address]
		if target == nil {
			target = &Target{}
		}
		target.configure(peer)
		b.targets = append(b.targets, target)
	}
}

// Targets returns the peers in the order of the configuration. The slice belongs to the Balancer.
func (b *Balancer) Targets() []*Target { return b.targets }

// Pick picks the peer for a call and counts the call as outstanding there, until Done. It returns nil if no peer can take
// the call. sticky names the route that is preferred, if any. tried lists the peers at which the call was attempted before:
// without any it is a first attempt, which adds to the retry budget; a retry takes from the budget, and gets no peer if the
// budget is spent or the tier as a whole fails.
func (b *Balancer) Pick(now time.Duration, sticky string, tried ...*Target) *Target {
	retry := len(tried) > 0
	if retry && (b.retryTokens < 1 || b.tierFailing()) {
		return nil
	}
	if !retry {
		b.retryTokens = min(maxRetryTokens, b.retryTokens+b.cfg.RetryBudget)
	}
	picked := b.choose(now, sticky, tried)
	if picked == nil {
		return nil
	}
	if retry {
		b.retryTokens--
	}
	b.picks++
	picked.lastPick = b.picks
	picked.Outstanding++
	return picked
}

// choose returns the peer that is to get a call, nil if none can take it.
func (b *Balancer) choose(now time.Duration, sticky string, tried []*Target) *Target {
	var best *Target
	for _, target := range b.targets {
		if slices.Contains(tried, target) || !b.eligible(now, target) {
			continue
		}
		if target.State == Recovering {
			return target // eligible for its share of the picks, however little the others have to do
		}
		if target.servesRoute(sticky) {
			return target
		}
		if best == nil || target.lessLoaded(best) {
			best = target
		}
	}
	return best
}

// eligible reports whether a peer may get a call now. It begins the trial of a peer whose ejection is over.
func (b *Balancer) eligible(now time.Duration, target *Target) bool {
	if target.State == Ejected && now >= target.ejectedUntil {
		target.beginTrial()
	}
	switch {
	case target.Outstanding >= target.MaxCalls:
		return false
	case target.State == Ejected:
		return false
	case target.State == Recovering:
		return target.Outstanding == 0 && b.drawTrial(target)
	case target.unhealthy(b.cfg.MaxConsecutiveFaults):
		// The floor keeps it in service. As it fails or declines at once, it would look least loaded.
		return b.drawTrial(target)
	}
	return true
}

// drawTrial draws whether a peer that is recovering or unhealthy gets a call: for its share of the picks, or always if there
// is no other.
func (b *Balancer) drawTrial(target *Target) bool {
	return b.random.Float64() < b.cfg.TrialShare || !b.hasAlternative(target)
}

// hasAlternative reports whether another peer is in service, healthy, and has room.
func (b *Balancer) hasAlternative(target *Target) bool {
	return slices.ContainsFunc(b.targets, func(other *Target) bool {
		return other != target &&
			other.State == InService &&
			!other.unhealthy(b.cfg.MaxConsecutiveFaults) &&
			other.Outstanding < other.MaxCalls
	})
}

// tierFailing reports whether the tier as a whole fails: every peer is ejected, recovering, or has just failed.
func (b *Balancer) tierFailing() bool {
	return !slices.ContainsFunc(b.targets, func(target *Target) bool {
		return target.State == InService && target.consecutiveFaults == 0
	})
}
