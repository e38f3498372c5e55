// Package loadbalance picks the peer of the upstream tier that receives a call: the peer in service with the fewest outstanding
// calls for its weight, or the peer of a sticky route. It implements outlier ejection: failing peers are ejected and return to
// service after a trial, and a minimum share of the peers is never ejected. A budget limits retries.
//
// A Balancer is a deterministic state machine without I/O, clock or goroutines: the same calls at the same times result in the
// same picks. The caller decides whether to make a call at all, and whether to retry a call that may have run.
package loadbalance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config is the configuration of a Balancer. A field that is zero takes the default at the end of its comment.
type Config struct {
	Peers                []Peer
	MaxConsecutiveFaults int           // consecutive faults that eject a peer; 3
	EjectionTime         time.Duration // duration of a first ejection, doubled for each further one; 1 s
	MaxEjectionTime      time.Duration // upper limit of the duration of an ejection, before jitter; 60 s
	TrialShare           float64       // share of the picks that a recovering or unhealthy peer receives; 0.1
	TrialSuccesses       int           // answered calls, overload answers included, that end the trial of a recovering peer; 5
	MinHealthyShare      float64       // share of the peers that are never ejected, at least one peer; 0.5
	RetryBudget          float64       // retries per first attempt; 0.1
	Seed                 uint64        // seed of the random source
}

// Defaults of Config and Peer.
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

// maxRetryTokens is the maximum number of retry tokens that accumulate while no call is retried.
const maxRetryTokens = 10.0

// randomStream separates the random numbers of a Balancer from those of other users of the same seed.
const randomStream = 0x726f757465

// setDefaults replaces fields that are zero by their defaults.
func (c *Config) setDefaults() {
	c.MaxConsecutiveFaults = valueOr(c.MaxConsecutiveFaults, defaultMaxConsecutiveFaults)
	c.EjectionTime = valueOr(c.EjectionTime, defaultEjectionTime)
	c.MaxEjectionTime = valueOr(c.MaxEjectionTime, defaultMaxEjectionTime)
	c.TrialShare = valueOr(c.TrialShare, defaultTrialShare)
	c.TrialSuccesses = valueOr(c.TrialSuccesses, defaultTrialSuccesses)
	c.MinHealthyShare = valueOr(c.MinHealthyShare, defaultMinHealthyShare)
	c.RetryBudget = valueOr(c.RetryBudget, defaultRetryBudget)
}

// valueOr returns value, or defaultValue if value is zero.
func valueOr[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// Peer is the configuration of one server of the upstream tier.
type Peer struct {
	Address  string
	Weight   float64 // share of the load relative to other peers; 1 if 0
	Route    string  // name of the peer's sticky route; empty if it has none
	MaxCalls int     // limit of outstanding calls; 64 if 0
}

// Balancer picks peers. Create one with New. It is not safe for concurrent use.
type Balancer struct {
	cfg         Config
	targets     []*Target // in the order of the configuration
	random      *rand.Rand
	picks       uint64  // number of picks so far
	retryTokens float64 // retries that the budget currently permits
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

// Update replaces the configuration. A peer whose address is in the old and the new configuration keeps its state and its
// outstanding calls; a peer that is no longer configured receives no more calls. Duplicate addresses are ignored.
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

// Targets returns the peers in the order of the configuration. The caller must not modify the slice.
func (b *Balancer) Targets() []*Target { return b.targets }

// Pick picks the peer for a call and counts the call as outstanding at that peer until Done. It returns nil if no peer can take
// the call. sticky is the name of the preferred route, or empty. tried lists the peers of earlier attempts of the call. If it
// is empty, the call is a first attempt, which adds to the retry budget. Otherwise it is a retry, which takes a token from the
// budget; Pick returns nil for a retry if the budget is exhausted or the whole tier fails.
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

// choose returns the peer for a call, or nil if no peer can take it.
func (b *Balancer) choose(now time.Duration, sticky string, tried []*Target) *Target {
	var best *Target
	for _, target := range b.targets {
		if slices.Contains(tried, target) || !b.eligible(now, target) {
			continue
		}
		if target.State == Recovering {
			return target // eligible for its share of the picks, regardless of the load of the other peers
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

// eligible reports whether a peer may receive a call now. It starts the trial of a peer whose ejection time has passed.
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
		// The peer is in service although it fails, because MinHealthyShare does not permit its ejection, or it rejects calls
		// as overloaded, which ejects no peer. Because it fails or rejects calls at once, it would appear to be the least
		// loaded.
		return b.drawTrial(target)
	}
	return true
}

// drawTrial decides at random whether a recovering or unhealthy peer receives a call: with probability TrialShare, or always if
// there is no alternative.
func (b *Balancer) drawTrial(target *Target) bool {
	return b.random.Float64() < b.cfg.TrialShare || !b.hasAlternative(target)
}

// hasAlternative reports whether another peer is in service, is healthy and is below its limit of outstanding calls.
func (b *Balancer) hasAlternative(target *Target) bool {
	return slices.ContainsFunc(b.targets, func(other *Target) bool {
		return other != target &&
			other.State == InService &&
			!other.unhealthy(b.cfg.MaxConsecutiveFaults) &&
			other.Outstanding < other.MaxCalls
	})
}

// tierFailing reports whether the whole tier fails: every peer is ejected, is recovering or has had a fault since its
// last answer.
func (b *Balancer) tierFailing() bool {
	return !slices.ContainsFunc(b.targets, func(target *Target) bool {
		return target.State == InService && target.consecutiveFaults == 0
	})
}
