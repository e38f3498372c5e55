package failover

import "frosthub/idempotency"

// tally summarizes the votes on a claim in claimAcquiring or claimQuerying.
type tally struct {
	// finishedReply is a reply with the outcome; one with a result takes precedence.
	finishedReply *Message
	// holderReply is the reply that names the highest holder; a holder that has
	// started the request takes precedence.
	holderReply *Message
	// finishing: some member is writing the outcome to disk.
	finishing bool
	// outcomeUnknown, expired, abstained, full: some member has cast this vote.
	outcomeUnknown bool
	expired        bool
	abstained      bool
	full           bool
	// allVoted: every member has voted. missingVotes: some members have not.
	// Both may be false after a membership change.
	allVoted     bool
	missingVotes bool
	// quorum: a majority has voted, not counting members that abstain.
	quorum bool
}

func (n *Node) tallyVotes(claim *claim) tally {
	var totals tally
	members := n.membersOf(claim.key)
	for _, name := range members {
		if vote, ok := claim.votes[name]; ok {
			totals.add(&vote.Message)
		}
	}
	totals.allVoted = len(claim.votes) == len(members)
	totals.missingVotes = len(claim.votes) < len(members)
	totals.quorum = n.hasMajority(claim.key, func(name string) bool {
		vote, ok := claim.votes[name]
		return ok && vote.Vote != VoteAbstain
	})
	return totals
}

func (t *tally) add(vote *Message) {
	switch vote.Vote {
	case VoteFinished:
		if t.finishedReply == nil || vote.Outcome == idempotency.EntryResult {
			t.finishedReply = vote
		}
	case VoteRunning:
		t.finishing = t.finishing || vote.Outcome != 0
		if !t.holderStarted() || vote.Holder.compare(t.holderReply.Holder) > 0 {
			t.holderReply = vote
		}
	case VoteHeld, VoteSuperseded:
		if t.holderReply == nil || !t.holderStarted() && vote.Holder.compare(t.holderReply.Holder) > 0 {
			t.holderReply = vote
		}
	case VoteOutcomeUnknown:
		t.outcomeUnknown = true
	case VoteExpired:
		t.expired = true
	case VoteAbstain:
		t.abstained = true
	case VoteFull:
		t.full = true
	case VoteNone, VoteGranted: // evaluateVotes counts these with majorityVoted
	}
}

// holderStarted reports whether the holder has started the request.
func (t *tally) holderStarted() bool {
	return t.holderReply != nil && t.holderReply.Vote == VoteRunning
}

// enoughVotes reports whether the votes may decide against the claim: either
// all members have voted, or a majority has. If any vote shows that the request
// may have run, a missing vote may carry its outcome, so the claim waits a
// quarter of Config.SuspectAfter for the missing votes.
func (n *Node) enoughVotes(claim *claim, totals *tally) bool {
	if totals.allVoted {
		return true
	}
	if !totals.quorum {
		return false
	}
	waitForMore := totals.outcomeUnknown || totals.expired || totals.holderStarted()
	return !waitForMore || n.now-claim.enteredAt >= n.cfg.SuspectAfter/4
}

// evaluateVotes decides on a claim as far as the votes received so far allow.
func (n *Node) evaluateVotes(claim *claim) {
	totals := n.tallyVotes(claim)
	switch {
	case totals.finishedReply != nil:
		n.releaseGrants(claim)
		n.adoptOutcome(claim, totals.finishedReply)
	case claim.state == claimAcquiring && n.majorityVoted(claim, VoteGranted):
		// Any other ballot was granted by less than a majority, and can no
		// longer get one.
		n.becomeHolder(claim)
	case !n.enoughVotes(claim, &totals): // wait for more votes
	case totals.expired: // the request has finished, although some members have no record of it
		n.releaseGrants(claim)
		n.settle(claim, idempotency.ResultExpired, nil)
	case !totals.finishing && n.outcomeLost(&totals):
		n.releaseGrants(claim)
		n.settleUnknown(claim, totals.quorum)
	case claim.state == claimQuerying && n.majorityVoted(claim, VoteNone):
		n.settle(claim, idempotency.Fresh, nil)
	default:
		n.evaluateHolder(claim, &totals)
	}
}

// outcomeLost reports whether the request was started and no live holder can
// report its outcome.
func (n *Node) outcomeLost(totals *tally) bool {
	if totals.holderStarted() {
		return n.suspects(totals.holderReply.Holder)
	}
	return totals.outcomeUnknown
}

// settleUnknown ends a claim whose outcome is lost. Without a quorum of members
// that have not lost records, the outcome may have been among the lost records.
func (n *Node) settleUnknown(claim *claim, quorum bool) {
	if claim.lastRequestAt >= claim.enteredAt {
		// Requests that arrived in the current state may get a better answer
		// from a new query.
		n.query(claim)
		return
	}
	decision := idempotency.OutcomeUnknown
	if !quorum {
		decision = idempotency.HistoryLost
	}
	n.settle(claim, decision, nil)
}

// evaluateHolder waits for the holder that the votes name or requests the key
// under a higher ballot. Without a holder it rejects the requests if no further
// votes can change the result.
func (n *Node) evaluateHolder(claim *claim, totals *tally) {
	acquiring := claim.state == claimAcquiring
	switch {
	case totals.holderReply != nil && n.holderActive(totals):
		if !n.keepsContending(claim, totals.holderReply) {
			n.waitFor(claim, totals.holderReply.Holder)
		}
	case totals.holderReply != nil && acquiring && claim.ballotAttempts < maxBallotAttempts:
		// The holder is lost, or is an earlier incarnation of this node.
		n.acquire(claim, true)
	case totals.holderReply != nil && claim.state == claimQuerying:
		n.waitFor(claim, totals.holderReply.Holder)
	case totals.missingVotes && n.now-claim.enteredAt < n.cfg.SuspectAfter: // wait for more votes
	case acquiring:
		n.reject(claim, totals.rejectDecision())
	}
}

// holderActive reports whether the holder is another node that continues the
// request, or its outcome is being recorded.
func (n *Node) holderActive(totals *tally) bool {
	if totals.finishing {
		return true
	}
	holder := totals.holderReply.Holder
	serves := totals.holderStarted() || !n.suspects(holder)
	return serves && holder.Node != n.cfg.Name
}

// rejectDecision returns the decision on a request whose key was not granted.
func (t *tally) rejectDecision() idempotency.Decision {
	switch {
	case t.abstained && t.allVoted:
		return idempotency.HistoryLost
	case t.full:
		return idempotency.StoreFull
	default:
		return NoQuorum
	}
}

// suspects reports whether the process of a ballot is suspected to be lost.
func (n *Node) suspects(ballot Ballot) bool {
	if ballot.Node == n.cfg.Name {
		return ballot.Incarnation != n.cfg.Incarnation
	}
	return !n.detector.Alive(ballot.Node) || n.detector.Incarnation(ballot.Node) > ballot.Incarnation
}
