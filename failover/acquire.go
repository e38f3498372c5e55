package failover

import "frosthub/idempotency"

// acquire requests a key from the group under a new ballot. With force, members
// grant the key even if a lower ballot of another node holds it.
func (n *Node) acquire(claim *claim, force bool) {
	claim.ballot = n.nextBallot()
	claim.force = force
	claim.ballotAttempts++
	n.enterState(claim, claimAcquiring)
	n.broadcastAcquire(claim)
}

func (n *Node) broadcastAcquire(claim *claim) {
	work := n.currentWork(claim)
	n.broadcast(claim, Message{
		Kind:       MsgAcquire,
		Force:      claim.force,
		Made:       claim.madeAt,
		Work:       &work,
		Replayable: claim.replayable,
	})
}

// becomeHolder marks the key as held after a majority has granted it.
func (n *Node) becomeHolder(claim *claim) {
	n.enterState(claim, claimHeld)
	switch {
	case claim.startWhenHeld:
		claim.startWhenHeld = false
		n.start(claim)
	case claim.takenOver && !claim.originalDecided:
		claim.originalDecided = true
		n.stats.TakenOver++
		work := n.currentWork(claim)
		n.decisions = append(n.decisions, RequestDecision{
			Key:     claim.key,
			Made:    claim.madeAt,
			Work:    &work,
			Outcome: idempotency.Outcome{ID: claim.originalID, Decision: TakenOver},
		})
	case claim.originalID != 0 && !claim.originalDecided:
		claim.originalDecided = true
		n.queueDecision(claim, claim.originalID, idempotency.Fresh, nil)
	}
	n.letDuplicatesJoin(claim)
}

// releaseGrants releases the grants that members gave to a claim that stops
// requesting the key.
func (n *Node) releaseGrants(claim *claim) {
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

// keepsContending reports whether a claim continues to compete with another
// node that requests the same key at the same time and that no majority names
// as the holder. If both nodes gave way, no node would run the request. A node
// that may still get a majority therefore waits for the missing votes. After
// that the node with the higher ballot requests the key again and the other one
// gives way.
func (n *Node) keepsContending(claim *claim, rival *Message) bool {
	if claim.state != claimAcquiring || rival.Vote == VoteRunning || n.majorityNamesHolder(claim, rival.Holder) {
		return false
	}
	waited := n.now - claim.enteredAt
	if waited < n.cfg.RetryInterval && n.majorityPossible(claim, VoteGranted) {
		return true
	}
	if claim.ballot.compare(rival.Holder) < 0 || claim.ballotAttempts >= maxBallotAttempts {
		return false
	}
	if waited >= n.cfg.RetryInterval {
		n.acquire(claim, false)
	}
	return true
}

// majorityNamesHolder reports whether a majority names the given ballot as the
// holder.
func (n *Node) majorityNamesHolder(claim *claim, holder Ballot) bool {
	return n.hasMajority(claim.key, func(name string) bool {
		return claim.votes[name].Holder == holder
	})
}

// reject ends a claim whose request never started, and releases its grants. A
// replayable request is admitted instead, as it would be without a cluster.
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
		n.queueDecision(claim, originalID, decision, nil)
	}
	for _, id := range duplicateIDs {
		n.queueDecision(claim, id, decision, nil)
	}
}
