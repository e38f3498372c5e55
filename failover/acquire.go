package failover

import "frosthub/idempotency"

// acquire asks the group for a key under a new ballot. With force, members grant
// it although a lower ballot of another node holds it.
func (n *Node) acquire(claim *claim, force bool) {
	claim.ballot = n.nextBallot()
	claim.force = force
	claim.attempts++
	n.enter(claim, claimAcquiring)
	n.broadcastAcquire(claim)
}

func (n *Node) broadcastAcquire(claim *claim) {
	work := n.workNow(claim)
	n.broadcast(claim, Message{
		Kind:       MsgAcquire,
		Force:      claim.force,
		Made:       claim.made,
		Work:       &work,
		Replayable: claim.replayable,
	})
}

// acquired follows the grant of a majority: this node holds the key.
func (n *Node) acquired(claim *claim) {
	n.enter(claim, claimHeld)
	switch {
	case claim.startWhenHeld:
		claim.startWhenHeld = false
		n.start(claim)
	case claim.takenOver && !claim.originalNotified:
		claim.originalNotified = true
		n.stats.TakenOver++
		work := n.workNow(claim)
		n.outcomes = append(n.outcomes, RequestDecision{
			Key:     claim.key,
			Made:    claim.made,
			Work:    &work,
			Outcome: idempotency.Outcome{ID: claim.originalID, Decision: TakenOver},
		})
	case claim.originalID != 0 && !claim.originalNotified:
		claim.originalNotified = true
		n.notify(claim, claim.originalID, idempotency.Fresh, nil)
	}
	n.letDuplicatesJoin(claim)
}

// dropGrants releases what members have granted to a claim that ends otherwise.
func (n *Node) dropGrants(claim *claim) {
	if claim.state != claimAcquiring {
		return
	}
	for _, name := range n.membersOf(claim.key) {
		if claim.votes[name].Vote == VoteGranted {
			n.send(name, Message{
				Kind:    MsgFinish,
				Key:     claim.key,
				Ballot:  claim.ballot,
				Outcome: idempotency.EntryNeverRan,
			})
		}
	}
}

// contends reports whether a claim stays in competition with another node that
// asks for the same key in the same moment and that no majority names as the
// holder. If both gave way to each other, nobody would run the request. So who
// may still get a majority waits for the remaining votes; after that the higher
// ballot asks again and the lower one gives way.
func (n *Node) contends(claim *claim, rival *Message) bool {
	if claim.state != claimAcquiring || rival.Vote == VoteRunning || n.majorityNames(claim, rival.Holder) {
		return false
	}
	waited := n.now - claim.since
	if waited < n.cfg.RetryInterval && n.majorityPossible(claim, VoteGranted) {
		return true
	}
	if claim.ballot.compare(rival.Holder) < 0 || claim.attempts >= maxAttempts {
		return false
	}
	if waited >= n.cfg.RetryInterval {
		n.acquire(claim, false)
	}
	return true
}

// majorityNames reports whether a majority names that ballot as the holder.
func (n *Node) majorityNames(claim *claim, holder Ballot) bool {
	return n.hasMajority(claim.key, func(name string) bool {
		return claim.votes[name].Holder == holder
	})
}

// reject ends a claim whose request never started: what was granted is released.
// A replayable request is let in instead, as without a cluster.
func (n *Node) reject(claim *claim, decision idempotency.Decision) {
	originalID, duplicateIDs := claim.originalID, claim.duplicateIDs
	claim.originalID = 0
	claim.duplicateIDs = nil
	if claim.replayable {
		decision = idempotency.Fresh
	}
	if claim.state == claimAcquiring || claim.state == claimStarting {
		n.finish(claim, idempotency.EntryNeverRan, nil)
	} else {
		delete(n.claims, claim.key)
	}
	if originalID != 0 {
		n.notify(claim, originalID, decision, nil)
	}
	for _, id := range duplicateIDs {
		n.notify(claim, id, decision, nil)
	}
}
