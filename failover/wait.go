package failover

import (
	"time"

	"frosthub/idempotency"
)

// waitFor has the requests of a claim wait for the run of another node.
func (n *Node) waitFor(claim *claim, holder Ballot) {
	n.dropGrants(claim)
	hadHeldKey := claim.state == claimAcquiring && claim.originalNotified
	if claim.startWhenHeld || hadHeldKey {
		n.stats.Lost++
	}
	if claim.takenOver { // it need not run here after all
		if claim.originalNotified {
			n.notify(claim, claim.originalID, idempotency.Fresh, nil)
		}
		claim.takenOver = false
		claim.originalID = 0
	}
	n.enter(claim, claimWaiting)
	if claim.originalID != 0 && !claim.originalNotified {
		n.notify(claim, claim.originalID, idempotency.Duplicate, nil)
	}
	claim.startWhenHeld = false
	claim.originalNotified = true
	claim.holder = holder
	n.letDuplicatesJoin(claim)
	if !claim.hasRequests() {
		delete(n.claims, claim.key)
		return
	}
	if holder.Node != "" {
		n.send(holder.Node, Message{Kind: MsgHolderCheck, Key: claim.key, Ballot: holder})
	}
	// Random, so that not all nodes that wait query the group at once.
	jitter := n.random.Intn(int(n.cfg.RetryInterval))
	claim.lastSentAt = n.now + time.Duration(jitter)
}

// query asks the group what is known of a key that requests wait for.
func (n *Node) query(claim *claim) {
	claim.ballot = n.nextBallot()
	n.enter(claim, claimQuerying)
	n.broadcastQuery(claim)
}

func (n *Node) broadcastQuery(claim *claim) {
	n.broadcast(claim, Message{Kind: MsgQuery, Made: claim.made})
}

// stopWaiting lets replayable requests run here that have waited long enough for
// another node, and reports whether it did.
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

// ResolveUnknown asks the groups of keys how requests of unknown outcome ended,
// though no caller waits for them. A majority records what is found, this node
// among it. Keys in use are left out.
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

// tickClaims does what is due for each claim, in order of creation.
func (n *Node) tickClaims() {
	claims := n.claimOrder
	n.claimOrder = nil // collects the claims that are created meanwhile
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
		case n.now > claim.deadline: // no caller waits any more, and it never ran
			n.reject(claim, NoQuorum)
		case retry:
			n.broadcastStart(claim)
		}
	case claimFinishing:
		switch {
		case n.now-claim.since > finishTimeout:
			claim.originalID = 0 // answered when its time was over
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
	case claimHeld, claimRunning: // the caller has the next word
	}
}

func (n *Node) tickAcquiring(claim *claim, retry bool) {
	if claim.replayable && n.now-claim.since >= replayableClaimTimeout {
		n.reject(claim, idempotency.Fresh)
		return
	}
	timedOut := n.now-claim.since >= n.cfg.SuspectAfter
	n.decide(claim)
	if !n.active(claim, claimAcquiring) {
		return
	}
	switch {
	case timedOut:
		// It may have come to the state anew under a higher ballot.
		if n.now-claim.since >= n.cfg.SuspectAfter {
			n.reject(claim, NoQuorum)
		}
	case retry:
		n.broadcastAcquire(claim)
	}
}

func (n *Node) tickQuerying(claim *claim, retry bool) {
	if n.now > claim.deadline && !claim.hasRequests() { // see ResolveUnknown
		delete(n.claims, claim.key)
		return
	}
	if n.stopWaiting(claim) {
		return
	}
	n.decide(claim)
	if !n.active(claim, claimQuerying) {
		return
	}
	switch {
	case n.now-claim.since >= n.cfg.SuspectAfter:
		n.query(claim)
	case retry:
		n.broadcastQuery(claim)
	}
}
