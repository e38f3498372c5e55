package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
)

// claimState is the step that a claim has come to.
//
// The transitions, with the functions that make them (a claim is created in
// claimAcquiring or claimQuerying, or for relayOutcome; settle removes it in any
// state):
//
//	from                           to               by
//	(new), Acquiring, Starting,    claimAcquiring   acquire
//	  Waiting, Querying
//	Acquiring                      claimHeld        acquired
//	Held                           claimStarting    start
//	Held (replayable), Starting    claimRunning     running
//	Acquiring, Held, Starting,     claimFinishing   finish
//	  Running
//	Acquiring, Waiting, Querying   claimFinishing   adoptOutcome
//	Acquiring, Held, Running       claimFinishing   finishReplayable
//	  (replayable)
//	(new), any but Finishing       claimFinishing   relayOutcome
//	Acquiring, Querying            claimWaiting     waitFor
//	Held                           claimWaiting     HandOff
//	(new), Acquiring, Waiting,     claimQuerying    query
//	  Querying
type claimState uint8

const (
	// claimAcquiring: the group is asked for the key.
	claimAcquiring claimState = iota
	// claimHeld: a majority has granted it; the request waits for its turn.
	claimHeld
	// claimStarting: the group is asked to record the start.
	claimStarting
	// claimRunning: the request runs here.
	claimRunning
	// claimFinishing: the group is asked to record the outcome.
	claimFinishing
	// claimWaiting: another node holds the key.
	claimWaiting
	// claimQuerying: the group is asked what it knows; nothing is held.
	claimQuerying
)

// The words appear in reports.
var claimStateNames = [...]string{
	claimAcquiring: "asked for",
	claimHeld:      "held",
	claimStarting:  "about to begin",
	claimRunning:   "begun",
	claimFinishing: "ended",
	claimWaiting:   "waited for",
	claimQuerying:  "looked for",
}

// String returns the state's word in reports.
func (s claimState) String() string { return claimStateNames[s] }

// claim is a key that requests of this node are about.
type claim struct {
	key        idempotency.Key
	made       time.Duration // see Message.Made
	work       Work
	replayable bool
	deadline   time.Duration // of the caller

	state  claimState
	since  time.Duration // when it came to the state
	ballot Ballot
	// votes are those on the present step, by member.
	votes map[string]receivedVote
	// holder (claimWaiting) is the ballot that is waited for.
	holder     Ballot
	attempts   int           // ballots tried to acquire the key
	lastSentAt time.Duration // of the last broadcast
	force      bool          // the key is claimed although another holds it
	// startWhenHeld: the request was about to start when another ballot was
	// needed.
	startWhenHeld bool

	// originalID is the request that runs, 0 if there is none here any more.
	originalID uint64
	// originalNotified: the caller of Claim has heard of the original request.
	originalNotified bool
	// takenOver: originalID stands for a request of another node.
	takenOver bool
	// duplicateIDs are the requests that wait for the outcome.
	duplicateIDs []uint64
	// unnotifiedIDs are those of duplicateIDs whose Claim has no answer yet.
	unnotifiedIDs []uint64
	lastRequestAt time.Duration // when the last duplicate came
	createdAt     time.Duration

	runID      uint64 // see Message.Run
	lastNotice uint64 // see Message.Notice

	// outcome and result (claimFinishing) are what the group is to record.
	outcome idempotency.EntryKind
	result  []byte
	// relayed: the outcome is that of another node's run.
	relayed bool
}

// otherHolds reports whether this node neither has nor asks for the key.
func (c *claim) otherHolds() bool {
	return c.state == claimWaiting || c.state == claimQuerying
}

// hasRequests reports whether any request of this node waits for the claim.
func (c *claim) hasRequests() bool {
	return c.originalID != 0 || len(c.duplicateIDs) > 0
}

// demoteOriginal makes a duplicate of the original request, before all others.
func (c *claim) demoteOriginal() {
	c.duplicateIDs = append([]uint64{c.originalID}, c.duplicateIDs...)
	c.originalID = 0
}

// workNow returns the request with the time that is left now.
func (n *Node) workNow(claim *claim) Work {
	work := claim.work
	work.Left = int64(claim.deadline - n.now)
	return work
}

func (n *Node) newClaim(key idempotency.Key, made time.Duration) *claim {
	created := &claim{key: key, made: made, createdAt: n.now}
	n.claims[key] = created
	n.claimOrder = append(n.claimOrder, created)
	return created
}

// enter has a claim come to a state, in which no member has voted yet. Only the
// transition functions call it.
func (n *Node) enter(claim *claim, state claimState) {
	claim.state = state
	claim.since = n.now
	claim.votes = map[string]receivedVote{}
	claim.holder = Ballot{}
}

// active reports whether a claim still exists and is in that state.
func (n *Node) active(claim *claim, state claimState) bool {
	return n.claims[claim.key] == claim && claim.state == state
}

// notify queues the decision on one request of a claim.
func (n *Node) notify(claim *claim, id uint64, decision idempotency.Decision, result []byte) {
	n.outcomes = append(n.outcomes, RequestDecision{
		Key:     claim.key,
		Made:    claim.made,
		Outcome: idempotency.Outcome{ID: id, Decision: decision, Result: result},
	})
	switch decision {
	case idempotency.Replay:
		n.stats.Joined++
	case idempotency.OutcomeUnknown:
		n.stats.OutcomeUnknown++
	}
}

// notifyDuplicates queues a decision on all duplicates.
func (n *Node) notifyDuplicates(claim *claim, decision idempotency.Decision, result []byte) {
	for _, id := range claim.duplicateIDs {
		n.notify(claim, id, decision, result)
	}
}

// letDuplicatesJoin answers the duplicates whose Claim has no answer yet.
func (n *Node) letDuplicatesJoin(claim *claim) {
	for _, id := range claim.unnotifiedIDs {
		n.notify(claim, id, idempotency.Duplicate, nil)
	}
	claim.unnotifiedIDs = nil
}

// settle ends a claim with one decision on all its requests.
func (n *Node) settle(claim *claim, decision idempotency.Decision, result []byte) {
	delete(n.claims, claim.key)
	if claim.originalID != 0 {
		n.notify(claim, claim.originalID, decision, result)
	}
	n.notifyDuplicates(claim, decision, result)
}

// Claim takes a request that this node has read. made is the time since 1970 at
// which its caller made it, 0 if unknown; id must be unique on this node.
//
// The outcome is idempotency.Fresh (the request may be queued; Start must be
// called before it runs), idempotency.Duplicate (Join may have it wait for the
// original request) or the decision that answers or rejects it.
func (n *Node) Claim(now time.Duration, key idempotency.Key, made time.Duration, id uint64, work Work) {
	n.advance(now)
	if claim := n.claims[key]; claim != nil {
		claim.duplicateIDs = append(claim.duplicateIDs, id)
		claim.unnotifiedIDs = append(claim.unnotifiedIDs, id)
		claim.lastRequestAt = n.now
		if claim.state != claimAcquiring {
			n.letDuplicatesJoin(claim)
		}
		return
	}
	claim := n.newClaim(key, made)
	claim.work = work
	claim.deadline = n.now + time.Duration(work.Left)
	claim.originalID = id
	claim.replayable = work.Replayable
	n.acquire(claim, false)
}

// OriginalID returns the ID of the request that a duplicate of a key would join, 0
// if there is none on this node.
func (n *Node) OriginalID(key idempotency.Key) uint64 {
	if claim := n.claims[key]; claim != nil {
		return claim.originalID
	}
	return 0
}

// Join has a duplicate wait for the outcome of its original request. The outcome
// is idempotency.Fresh if that has ended meanwhile.
func (n *Node) Join(now time.Duration, key idempotency.Key, id uint64) {
	n.advance(now)
	if n.claims[key] == nil {
		n.decideFresh(key, id)
	}
}

// Start reports that a request which was let in is about to run. The outcome
// idempotency.Start lets it; otherwise the request hears how another one ended.
// notice is the last notice that was read of the node's processor.
func (n *Node) Start(now time.Duration, key idempotency.Key, id, notice uint64) {
	n.advance(now)
	claim := n.claims[key]
	switch {
	case claim == nil || claim.state == claimQuerying:
		n.decideFresh(key, id)
	case claim.state == claimHeld && claim.originalID == id:
		claim.runID = id
		claim.lastNotice = notice
		n.start(claim)
	case claim.originalID != id && !slices.Contains(claim.duplicateIDs, id):
		claim.duplicateIDs = append(claim.duplicateIDs, id)
	}
}

// decideFresh decides on a request without a claim that it never ran.
func (n *Node) decideFresh(key idempotency.Key, id uint64) {
	n.outcomes = append(n.outcomes, RequestDecision{
		Key:     key,
		Outcome: idempotency.Outcome{ID: id, Decision: idempotency.Fresh},
	})
}

// MarkRunning reports that a replayable request runs. Unlike Start it needs no
// answer: the group isn't asked.
func (n *Node) MarkRunning(now time.Duration, key idempotency.Key, id uint64) {
	n.advance(now)
	claim := n.claims[key]
	if claim != nil && claim.replayable && claim.originalID == id && claim.state == claimHeld {
		n.running(claim)
	}
}

// start asks the group to record that the request is about to run.
func (n *Node) start(claim *claim) {
	n.enter(claim, claimStarting)
	n.broadcastStart(claim)
}

func (n *Node) broadcastStart(claim *claim) {
	n.broadcast(claim, Message{Kind: MsgStart, Made: claim.made, Run: claim.runID, Notice: claim.lastNotice})
}

// running has a request run here.
func (n *Node) running(claim *claim) {
	n.enter(claim, claimRunning)
}

// decideStart follows a further answer to the announced start.
func (n *Node) decideStart(claim *claim, reply *Message) {
	superseded := false // in the groups up to the first one that can't confirm any more
	possible := n.hasMajority(claim.key, func(name string) bool {
		received, ok := claim.votes[name]
		superseded = superseded || received.Vote == VoteSuperseded
		return !ok || received.Vote == VoteGranted
	})
	confirmed := n.majorityVoted(claim, VoteGranted)
	if disabledRule == ruleStartQuorum && reply.Vote == VoteGranted {
		confirmed = true
	}
	switch {
	case confirmed:
		n.running(claim)
		n.notify(claim, claim.originalID, idempotency.Start, nil)
	case possible: // wait for more votes
	case superseded:
		claim.startWhenHeld = true
		n.acquire(claim, false)
	default:
		n.reject(claim, idempotency.StoreFailed)
	}
}
