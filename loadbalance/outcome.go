package loadbalance

import (
	"math"
	"time"
)

// Outcome is how a call at a peer ended, as far as it says something of the peer.
type Outcome uint8

// The outcomes.
const (
	Succeeded  Outcome = iota + 1 // answered, whatever it said of the call
	Overloaded                    // answered that it takes nothing more now
	Fault                         // connection refused or reset, protocol violated, no CPong: it does not work
	TimedOut                      // no answer in time: the peer, or what it depends on, is slow
	Abandoned                     // cancelled by the caller: nothing is known
)

const (
	// ejectionJitter is the share by which an ejection time varies either way, so that peers that failed together do not
	// return together.
	ejectionJitter = 0.25
	// maxDoublings bounds the doubling of the ejection time, before MaxEjectionTime does.
	maxDoublings = 30
)

// Done ends a call at a peer, which Pick began, with its outcome.
func (b *Balancer) Done(now time.Duration, target *Target, outcome Outcome) {
	target.Outstanding--
	if target.Removed {
		return
	}
	switch outcome {
	case Succeeded:
		target.consecutiveOverloads = 0
		b.recordResponse(now, target)
	case Overloaded:
		target.consecutiveOverloads++
		b.recordResponse(now, target)
	case Fault, TimedOut:
		b.recordFault(now, target)
	}
}

// countWorking follows an answer, which shows that the peer works.
func (b *Balancer) recordResponse(now time.Duration, target *Target) {
	target.consecutiveFaults = 0
	if target.State == Recovering {
		target.trialSuccesses++
		if target.trialSuccesses >= b.cfg.TrialSuccesses {
			target.recover(now)
		}
	}
	target.resetEjections(now)
}

// countFault follows a fault. If the peer ought to be ejected and can't be spared, the one that was ejected first returns
// early instead.
func (b *Balancer) recordFault(now time.Duration, target *Target) {
	target.consecutiveFaults++
	switch target.State {
	case Recovering:
		b.eject(now, target)
	case InService:
		if target.consecutiveFaults < b.cfg.MaxConsecutiveFaults {
			return
		}
		if b.canEject() {
			b.eject(now, target)
		} else {
			b.endEarliestEjection(now)
		}
	}
}

// eject ejects a peer, for twice as long as the last time if it has not served well since.
func (b *Balancer) eject(now time.Duration, target *Target) {
	doublings := min(target.consecutiveEjections, maxDoublings)
	duration := float64(b.cfg.EjectionTime) * math.Pow(2, float64(doublings))
	duration = min(float64(b.cfg.MaxEjectionTime), duration)
	duration *= 1 - ejectionJitter + 2*ejectionJitter*b.random.Float64()
	target.eject(now, time.Duration(duration))
}

// canEject reports whether one more peer may be ejected.
func (b *Balancer) canEject() bool {
	inService := 0
	for _, target := range b.targets {
		if target.State == InService {
			inService++
		}
	}
	floor := int(math.Ceil(b.cfg.MinHealthyShare * float64(len(b.targets))))
	return inService-1 >= max(1, floor)
}

// recallEarliest ends the ejection that would end first, unless a peer is recovering already.
func (b *Balancer) endEarliestEjection(now time.Duration) {
	var earliest *Target
	for _, target := range b.targets {
		if target.State == Recovering {
			return
		}
		if target.State == Ejected && (earliest == nil || target.ejectedUntil < earliest.ejectedUntil) {
			earliest = target
		}
	}
	if earliest != nil {
		earliest.ejectedUntil = min(earliest.ejectedUntil, now)
	}
}
