package loadbalance

import (
	"math"
	"time"
)

// Outcome is the outcome of a call at a peer, as far as it is evidence of the peer's health.
type Outcome uint8

// The outcomes.
const (
	Succeeded  Outcome = iota + 1 // the peer answered, with a success or an error of the call itself
	Overloaded                    // the peer answered that it accepts no more calls at the moment
	Fault                         // connection refused or reset, protocol violation, or no reply to a health check (an AJP CPong): the peer does not work
	TimedOut                      // no answer within the timeout: the peer or one of its dependencies is slow
	Abandoned                     // cancelled by the caller: no evidence of the peer's health
)

const (
	// ejectionJitter is the fraction by which an ejection time varies in either direction, so that peers that failed together
	// do not return together.
	ejectionJitter = 0.25
	// maxDoublings limits the exponent of the ejection time before MaxEjectionTime limits the result.
	maxDoublings = 30
)

// Done records the end of a call at a peer that Pick returned, with the outcome of the call.
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

// recordResponse records an answer of a peer, which proves that the peer works. It ends the trial of a recovering peer after
// TrialSuccesses answers.
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

// recordFault records a fault of a peer. If the peer is due for ejection but MinHealthyShare does not permit it, the ejection
// that would end first ends now instead, unless a peer is recovering already.
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

// eject ejects a peer, for twice as long as the last time unless its ejections have been reset since.
func (b *Balancer) eject(now time.Duration, target *Target) {
	doublings := min(target.consecutiveEjections, maxDoublings)
	duration := float64(b.cfg.EjectionTime) * math.Pow(2, float64(doublings))
	duration = min(float64(b.cfg.MaxEjectionTime), duration)
	duration *= 1 - ejectionJitter + 2*ejectionJitter*b.random.Float64()
	target.eject(now, time.Duration(duration))
}

// canEject reports whether enough peers stay in service if one more is ejected.
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

// endEarliestEjection ends the ejection that would end first, unless another peer is recovering already.
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
