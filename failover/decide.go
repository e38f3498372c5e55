package failover

import "frosthub/idempotency"

// tally sums up the votes on a claim in claimAcquiring or claimQuerying.
type tally struct {
	// finished is a reply with the outcome; a result goes before other outcomes.
	finished *Message
	// holder is the reply that names the highest holder; one that has started
	// goes before others.
	holder *Message
	// finishing: the outcome is being written by some member.
	finishing bool
	// outcomeUnknown, expired, abstained, full: some member voted so.
	outcomeUnknown bool
	expired        bool
	abstained      bool
	full           bool
	// allVoted: every member has voted. missingVotes: some haven't. After a
	// change of members neither need be so.
	allVoted     bool
	missingVotes bool
	// quorum: a majority has voted, members that abstain not counted.
	quorum bool
}

func (n *Node) tallyVotes(claim *claim) tally {
	var sum tally
	members := n.membersOf(claim.key)
	for _, name := range members {
		if vote, ok := claim.votes[name]; ok {
			sum.add(&vote.Message)
		}
	}
	sum.allVoted = len(claim.votes) == len(members)
	sum.missingVotes = len(claim.votes) < len(members)
	sum.quorum = n.hasMajority(claim.key, func(name string) bool {
		vote, ok := claim.votes[name]
		return ok && vote.Vote != VoteAbstain
	})
	return sum
}

func (t *tally) add(vote *Message) {
	switch vote.Vote {
	case VoteFinished:
		if t.finished == nil || vote.Outcome == idempotency.EntryResult {
			t.finished = vote
		}
	case VoteRunning:
		t.finishing = t.finishing || vote.Outcome != 0
		if !t.holderStarted() || vote.Holder.compare(t.holder.Holder) > 0 {
			t.holder = vote
		}
	case VoteHeld, VoteSuperseded:
		if t.holder == nil || !t.holderStarted() && vote.Holder.compare(t.holder.Holder) > 0 {
			t.holder = vote
		}
	case VoteOutcomeUnknown:
		t.outcomeUnknown = true
	case VoteExpired:
		t.expired = true
	case VoteAbstain:
		t.abstained = true
	case VoteFull:
		t.full = true
	case VoteNone, VoteGranted: // counted where a majority of them matters
	}
}

// holderStarted reports whether the holder has started the request.
func (t *tally) holderStarted() bool {
	return t.holder != nil && t.holder.Vote == VoteRunning
}

// sufficient reports whether the votes may decide against the claim: all of them
// have come, or a majority and nothing is to be gained by waiting a little.
func (n *Node) sufficient(claim *claim, sum *tally) bool {
	if sum.allVoted {
		return true
	}
	if !sum.quorum {
		return false
	}
	waitForMore := sum.outcomeUnknown || sum.expired || sum.holderStarted()
	return !waitForMore || n.now-claim.since >= n.cfg.SuspectAfter/4
}

// decide draws the conclusion from the votes so far, if they allow one.
func (n *Node) decide(claim *claim) {
	sum := n.tallyVotes(claim)
	switch {
	case sum.finished != nil:
		n.dropGrants(claim)
		n.adoptOutcome(claim, sum.finished)
	case claim.state == claimAcquiring && n.majorityVoted(claim, VoteGranted):
		// Any other ballot was recorded by less than a majority, and can't
		// get one any more.
		n.acquired(claim)
	case !n.sufficient(claim, &sum): // wait for more votes
	case sum.expired: // it has ended, though some members never heard of it
		n.dropGrants(claim)
		n.settle(claim, idempotency.ResultExpired, nil)
	case !sum.finishing && n.outcomeLost(&sum):
		n.dropGrants(claim)
		n.settleUnknown(claim, sum.quorum)
	case claim.state == claimQuerying && n.majorityVoted(claim, VoteNone):
		n.settle(claim, idempotency.Fresh, nil)
	default:
		n.decideByHolder(claim, &sum)
	}
}

// outcomeLost reports whether the request was started and nobody is left who
// could report its outcome.
func (n *Node) outcomeLost(sum *tally) bool {
	if sum.holderStarted() {
		return n.suspects(sum.holder.Holder)
	}
	return sum.outcomeUnknown
}

// settleUnknown ends a claim whose outcome is lost. Without a quorum of members
// that can tell, the outcome may have been among the records that their disks
// have lost.
func (n *Node) settleUnknown(claim *claim, quorum bool) {
	if claim.lastRequestAt >= claim.since {
		// Requests that came since the last step may get a better answer.
		n.query(claim)
		return
	}
	decision := idempotency.OutcomeUnknown
	if !quorum {
		decision = idempotency.HistoryLost
	}
	n.settle(claim, decision, nil)
}

// decideByHolder waits for the holder that the votes name or claims the key
// above it; without one it rejects the requests if no further votes will help.
func (n *Node) decideByHolder(claim *claim, sum *tally) {
	acquiring := claim.state == claimAcquiring
	switch {
	case sum.holder != nil && n.holderServes(sum):
		if !n.contends(claim, sum.holder) {
			n.waitFor(claim, sum.holder.Holder)
		}
	case sum.holder != nil && acquiring && claim.attempts < maxAttempts:
		// The holder is lost, or is an earlier incarnation of this node.
		n.acquire(claim, true)
	case sum.holder != nil && claim.state == claimQuerying:
		n.waitFor(claim, sum.holder.Holder)
	case sum.missingVotes && n.now-claim.since < n.cfg.SuspectAfter: // more votes may help
	case acquiring:
		n.reject(claim, sum.rejection())
	}
}

// holderServes reports whether the holder is another node that goes on with the
// request, or its outcome is on its way.
func (n *Node) holderServes(sum *tally) bool {
	if sum.finishing {
		return true
	}
	holder := sum.holder.Holder
	serves := sum.holderStarted() || !n.suspects(holder)
	return serves && holder.Node != n.cfg.Name
}

// rejection returns why a key wasn't granted.
func (t *tally) rejection() idempotency.Decision {
	switch {
	case t.abstained && t.allVoted:
		return idempotency.HistoryLost
	case t.full:
		return idempotency.StoreFull
	default:
		return NoQuorum
	}
}

// suspects reports whether the process of a ballot seems to be lost.
func (n *Node) suspects(ballot Ballot) bool {
	if ballot.Node == n.cfg.Name {
		return ballot.Incarnation != n.cfg.Incarnation
	}
	return !n.peers.Alive(ballot.Node) || n.peers.Incarnation(ballot.Node) > ballot.Incarnation
}
