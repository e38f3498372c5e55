package failover

import (
	"time"

	"frosthub/idempotency"
)

// waitFor makes the requests of a claim wait for the run on another node.
func (n *Node) waitFor(claim *claim, holder Ballot) {
	n.releaseGrants(claim)
	hadHeldKey := claim.state == claimAcquiring && claim.originalDecided
	if claim.startWhenHeld || hadHeldKey {
		n.stats.Lost++
	}
	if claim.takenOver { // another node continues the request
		if claim.originalDecided {
			n.queueDecision(claim, claim.originalID, idempotency.Fresh, nil)
		}
		claim.takenOver = false
		claim.originalID = 0
	}
	n.enterState(claim, claimWaiting)
	if claim.originalID != 0 && !claim.originalDecided {
		n.queueDecision(claim, claim.originalID, idempotency.Duplicate, nil)
	}
	claim.startWhenHeld = false
	claim.originalDecided = true
	claim.holder = holder
	n.letDuplicatesJoin(claim)
	if !claim.hasRequests() {
		delete(n.claims, claim.key)
		return
	}
	if holder.Node != "" {
		n.send(holder.Node, Message{Kind: MsgHolderCheck, Key: claim.key, Ballot: holder})
	}
	// The jitter keeps the waiting nodes from querying the group at the same
	// time.
	jitter := n.random.Intn(int(n.cfg.RetryInterval))
	claim.lastSentAt = n.now + time.Duration(jitter)
}

// query requests the recorded state of a key from the group, for requests that
// wait for its outcome.
func (n *Node) query(claim *claim) {
	claim.ballot = n.nextBallot()
	n.enterState(claim, claimQuerying)
	n.broadcastQuery(claim)
}

func (n *Node) broadcastQuery(claim *claim) {
	n.broadcast(claim, Message{Kind: MsgQuery, Made: claim.madeAt})
}

// stopWaiting admits replayable requests that have waited long enough for
// another node, and reports whether it did. While this node is draining, it
// admits them at once.
func (n *Node) stopWaiting(claim *claim) bool {
	if !claim.replayable {
		return false
	}
	limit := time.Duration(replayableJoinShare * float64(claim.work.Left))
	if !n.draining && n.now-claim.createdAt < limit {
		return false
	}
	n.settle(claim, idempotency.Fresh, nil)
	return true
}

// ResolveUnknown queries the groups of keys for unknown outcomes that no client
// waits for. A majority of the group, including this node, records the outcomes
// found. Keys that are in use are skipped.
func (n *Node) ResolveUnknown(now time.Duration, keys []idempotency.Key) {
	n.advance(now)
	for _, key := range keys {
		if n.claims[key] == nil && n.reservations.get(key) == nil {
			claim := n.newClaim(key, 0)
			claim.deadline = n.now + resolveTimeout
			n.query(claim)
		}
	}
}

// tickClaims runs the timers of each claim, in order of creation.
func (n *Node) tickClaims() {
	claims := n.claimOrder
	n.claimOrder = nil // collects claims that are created meanwhile
	remaining := claims[:0]
	for _, claim := range claims {
		if n.claims[claim.key] == claim {
			n.tickClaim(claim)
			remaining = append(remaining, claim)
		}
	}
	n.claimOrder = append(remaining, n.claimOrder...)
}

func (n *Node) tickClaim(claim *claim) {
	retry := n.now-claim.lastSentAt >= n.cfg.RetryInterval
	switch claim.state {
	case claimAcquiring:
		n.tickAcquiring(claim, retry)
	case claimStarting:
		switch {
		case n.now > claim.deadline: // the client has timed out, and the request never ran
			n.reject(claim, NoQuorum)
		case retry:
			n.broadcastStart(claim)
		}
	case claimFinishing:
		switch {
		case n.now-claim.enteredAt > finishTimeout:
			claim.originalID = 0 // the request was answered when its client timeout expired
			n.settle(claim, NoQuorum, nil)
		case retry:
			n.broadcastFinish(claim)
		}
	case claimWaiting:
		if n.stopWaiting(claim) {
			return
		}
		if n.now-claim.lastSentAt >= 3*n.cfg.RetryInterval {
			n.query(claim)
		}
	case claimQuerying:
		n.tickQuerying(claim, retry)
	case claimHeld, claimRunning: // the caller of the Node makes the next transition
	}
}

func (n *Node) tickAcquiring(claim *claim, retry bool) {
	if claim.replayable && n.now-claim.enteredAt >= replayableClaimTimeout {
		n.reject(claim, idempotency.Fresh)
		return
	}
	timedOut := n.now-claim.enteredAt >= n.cfg.SuspectAfter
	n.evaluateVotes(claim)
	if !n.inState(claim, claimAcquiring) {
		return
	}
	switch {
	case timedOut:
		// The claim may have entered the state again under a higher ballot.
		if n.now-claim.enteredAt >= n.cfg.SuspectAfter {
			n.reject(claim, NoQuorum)
		}
	case retry:
		n.broadcastAcquire(claim)
	}
}

func (n *Node) tickQuerying(claim *claim, retry bool) {
	if n.now > claim.deadline && !claim.hasRequests() { // no request waits for the outcome, as with ResolveUnknown
		delete(n.claims, claim.key)
		return
	}
	if n.stopWaiting(claim) {
		return
	}
	n.evaluateVotes(claim)
	if !n.inState(claim, claimQuerying) {
		return
	}
	switch {
	case n.now-claim.enteredAt >= n.cfg.SuspectAfter:
		n.query(claim)
	case retry:
		n.broadcastQuery(claim)
	}
}
