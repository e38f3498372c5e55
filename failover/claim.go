package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
)

// claimState is the state of a claim.
//
// The transitions, with the functions that make them (a claim is created in
// claimAcquiring or claimQuerying, or for relayOutcome, and may be removed in
// any state):
//
//	from                           to               by
//	(new), Acquiring, Starting,    claimAcquiring   acquire
//	  Waiting, Querying
//	Acquiring                      claimHeld        becomeHolder
//	Held                           claimStarting    start
//	Held (replayable), Starting    claimRunning     enterRunning
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
	// claimAcquiring: this node has requested the key from the group.
	claimAcquiring claimState = iota
	// claimHeld: a majority has granted the key; the request is queued.
	claimHeld
	// claimStarting: this node has sent the start to the group for recording.
	claimStarting
	// claimRunning: the request runs on this node.
	claimRunning
	// claimFinishing: this node has sent the outcome to the group for
	// recording.
	claimFinishing
	// claimWaiting: another node holds the key.
	claimWaiting
	// claimQuerying: this node queries the group and holds nothing.
	claimQuerying
)

// The names appear in reports.
var claimStateNames = [...]string{
	claimAcquiring: "asked for",
	claimHeld:      "held",
	claimStarting:  "about to begin",
	claimRunning:   "begun",
	claimFinishing: "ended",
	claimWaiting:   "waited for",
	claimQuerying:  "looked for",
}

// String returns the name of the state in reports.
func (s claimState) String() string { return claimStateNames[s] }

// claim is a key that this node claims, waits for or queries, with the requests
// that depend on it.
type claim struct {
	key        idempotency.Key
	madeAt     time.Duration // when the client created the request, since the Unix epoch; 0 if not specified
	work       Work
	replayable bool
	deadline   time.Duration // when the client timeout expires

	state     claimState
	enteredAt time.Duration // when the claim entered the state
	ballot    Ballot
	// votes holds the votes received in the current state, by member.
	votes map[string]receivedVote
	// holder (claimWaiting) is the ballot whose run the requests wait for.
	holder         Ballot
	ballotAttempts int           // number of ballots tried to acquire the key
	lastSentAt     time.Duration // when the last broadcast was sent
	force          bool          // the key is requested although another node holds it
	// startWhenHeld: the request was about to start when its ballot was
	// superseded. It starts once the new ballot is granted.
	startWhenHeld bool

	// originalID is the request that runs, or is to run, on this node; 0 if
	// there is none.
	originalID uint64
	// originalDecided: the decision idempotency.Fresh, idempotency.Duplicate or
	// TakenOver on the original request has been queued or is no longer needed.
	// Later decisions answer or reject the request.
	originalDecided bool
	// takenOver: originalID identifies a request of another node.
	takenOver bool
	// duplicateIDs are the requests that wait for the outcome.
	duplicateIDs []uint64
	// undecidedIDs are those of duplicateIDs without a decision in reply to
	// Claim.
	undecidedIDs  []uint64
	lastRequestAt time.Duration // when the last duplicate arrived
	createdAt     time.Duration

	runID      uint64 // ID of the request at this node's processor
	lastNotice uint64 // sequence number of the last notice read from the processor

	// outcome and result (claimFinishing) are sent to the group for recording.
	outcome idempotency.EntryKind
	result  []byte
	// relayed: the outcome is that of a run on another node.
	relayed bool
}

// waitsOrQueries reports whether this node neither holds nor requests the key.
func (c *claim) waitsOrQueries() bool {
	return c.state == claimWaiting || c.state == claimQuerying
}

// hasRequests reports whether any request of this node waits for the claim.
func (c *claim) hasRequests() bool {
	return c.originalID != 0 || len(c.duplicateIDs) > 0
}

// demoteOriginal turns the original request into the first duplicate.
func (c *claim) demoteOriginal() {
	c.duplicateIDs = append([]uint64{c.originalID}, c.duplicateIDs...)
	c.originalID = 0
}

// currentWork returns the work of a claim with its remaining time updated.
func (n *Node) currentWork(claim *claim) Work {
	work := claim.work
	work.Left = int64(claim.deadline - n.now)
	return work
}

func (n *Node) newClaim(key idempotency.Key, madeAt time.Duration) *claim {
	created := &claim{key: key, madeAt: madeAt, createdAt: n.now}
	n.claims[key] = created
	n.claimOrder = append(n.claimOrder, created)
	return created
}

// enterState moves a claim to a state, in which no member has voted yet. Only
// the transition functions call it.
func (n *Node) enterState(claim *claim, state claimState) {
	claim.state = state
	claim.enteredAt = n.now
	claim.votes = map[string]receivedVote{}
	claim.holder = Ballot{}
}

// inState reports whether a claim still exists and is in the given state.
func (n *Node) inState(claim *claim, state claimState) bool {
	return n.claims[claim.key] == claim && claim.state == state
}

// queueDecision queues the decision on one request of a claim.
func (n *Node) queueDecision(claim *claim, id uint64, decision idempotency.Decision, result []byte) {
	n.decisions = append(n.decisions, RequestDecision{
		Key:     claim.key,
		Made:    claim.madeAt,
		Outcome: idempotency.Outcome{ID: id, Decision: decision, Result: result},
	})
	switch decision {
	case idempotency.Replay:
		n.stats.Joined++
	case idempotency.OutcomeUnknown:
		n.stats.OutcomeUnknown++
	}
}

// queueDuplicateDecisions queues a decision on each duplicate.
func (n *Node) queueDuplicateDecisions(claim *claim, decision idempotency.Decision, result []byte) {
	for _, id := range claim.duplicateIDs {
		n.queueDecision(claim, id, decision, result)
	}
}

// letDuplicatesJoin queues idempotency.Duplicate for the duplicates without a
// decision in reply to Claim.
func (n *Node) letDuplicatesJoin(claim *claim) {
	for _, id := range claim.undecidedIDs {
		n.queueDecision(claim, id, idempotency.Duplicate, nil)
	}
	claim.undecidedIDs = nil
}

// settle ends a claim with the same decision on all its requests.
func (n *Node) settle(claim *claim, decision idempotency.Decision, result []byte) {
	delete(n.claims, claim.key)
	if claim.originalID != 0 {
		n.queueDecision(claim, claim.originalID, decision, result)
	}
	n.queueDuplicateDecisions(claim, decision, result)
}

// Claim claims the key of a request that this node has read. madeAt is the time
// since the Unix epoch at which the client created the request, 0 if unknown;
// id must be unique on this node.
//
// The decision is idempotency.Fresh (the request may be queued; Start must be
// called before it runs), idempotency.Duplicate (the request may wait for the
// original one through Join) or one that answers or rejects the request.
func (n *Node) Claim(now time.Duration, key idempotency.Key, madeAt time.Duration, id uint64, work Work) {
	n.advance(now)
	if claim := n.claims[key]; claim != nil {
		claim.duplicateIDs = append(claim.duplicateIDs, id)
		claim.undecidedIDs = append(claim.undecidedIDs, id)
		claim.lastRequestAt = n.now
		if claim.state != claimAcquiring {
			n.letDuplicatesJoin(claim)
		}
		return
	}
	claim := n.newClaim(key, madeAt)
	claim.work = work
	claim.deadline = n.now + time.Duration(work.Left)
	claim.originalID = id
	claim.replayable = work.Replayable
	n.acquire(claim, false)
}

// OriginalID returns the ID of the request that a duplicate of a key would
// join, 0 if there is none on this node.
func (n *Node) OriginalID(key idempotency.Key) uint64 {
	if claim := n.claims[key]; claim != nil {
		return claim.originalID
	}
	return 0
}

// Join reports that a duplicate, which Claim has already recorded, waits for
// the outcome of its original request. The decision is idempotency.Fresh if
// this node no longer has a claim for the key.
func (n *Node) Join(now time.Duration, key idempotency.Key, id uint64) {
	n.advance(now)
	if n.claims[key] == nil {
		n.queueFresh(key, id)
	}
}

// Start reports that an admitted request is about to run. The request may run
// after the decision idempotency.Start; any other decision answers it with the
// outcome of another run or rejects it. notice is the number of the last notice
// read from the node's processor.
func (n *Node) Start(now time.Duration, key idempotency.Key, id, notice uint64) {
	n.advance(now)
	claim := n.claims[key]
	switch {
	case claim == nil || claim.state == claimQuerying:
		n.queueFresh(key, id)
	case claim.state == claimHeld && claim.originalID == id:
		claim.runID = id
		claim.lastNotice = notice
		n.start(claim)
	case claim.originalID != id && !slices.Contains(claim.duplicateIDs, id):
		claim.duplicateIDs = append(claim.duplicateIDs, id)
	}
}

// queueFresh queues idempotency.Fresh for a request without a claim: it never
// ran.
func (n *Node) queueFresh(key idempotency.Key, id uint64) {
	n.decisions = append(n.decisions, RequestDecision{
		Key:     key,
		Outcome: idempotency.Outcome{ID: id, Decision: idempotency.Fresh},
	})
}

// MarkRunning reports that a replayable request runs. Unlike Start it causes no
// decision, since a replayable request needs no recorded start.
func (n *Node) MarkRunning(now time.Duration, key idempotency.Key, id uint64) {
	n.advance(now)
	claim := n.claims[key]
	if claim != nil && claim.replayable && claim.originalID == id && claim.state == claimHeld {
		n.enterRunning(claim)
	}
}

// start sends the start of the request to the group for recording.
func (n *Node) start(claim *claim) {
	n.enterState(claim, claimStarting)
	n.broadcastStart(claim)
}

func (n *Node) broadcastStart(claim *claim) {
	n.broadcast(claim, Message{Kind: MsgStart, Made: claim.madeAt, Run: claim.runID, Notice: claim.lastNotice})
}

// enterRunning moves a claim to claimRunning.
func (n *Node) enterRunning(claim *claim) {
	n.enterState(claim, claimRunning)
}

// evaluateStartVotes decides on the announced start after a further vote.
func (n *Node) evaluateStartVotes(claim *claim, reply *Message) {
	superseded := false // whether some vote is VoteSuperseded, up to the first group that can no longer confirm
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
		n.enterRunning(claim)
		n.queueDecision(claim, claim.originalID, idempotency.Start, nil)
	case possible: // wait for more votes
	case superseded:
		claim.startWhenHeld = true
		n.acquire(claim, false)
	default:
		n.reject(claim, idempotency.StoreFailed)
	}
}
