package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
)

// Release reports that a request no longer waits and never ran: it was rejected
// or cancelled, or its client has disconnected.
func (n *Node) Release(now time.Duration, key idempotency.Key, id uint64) {
	n.advance(now)
	claim := n.claims[key]
	if claim == nil {
		return
	}
	if claim.originalID != id {
		n.releaseDuplicate(claim, id)
		return
	}
	switch claim.state {
	case claimWaiting, claimQuerying:
		claim.originalID = 0
		if !claim.hasRequests() {
			delete(n.claims, key)
		}
	case claimAcquiring, claimHeld, claimStarting:
		claim.originalID = 0
		n.finish(claim, idempotency.EntryNeverRan, nil)
	case claimRunning, claimFinishing: // the request runs or has run: Finish reports its outcome
	}
}

func (n *Node) releaseDuplicate(claim *claim, id uint64) {
	claim.duplicateIDs = slices.DeleteFunc(claim.duplicateIDs, func(other uint64) bool { return other == id })
	if !claim.hasRequests() && claim.waitsOrQueries() {
		delete(n.claims, claim.key)
	}
}

// Finish reports the outcome of a started request. After a majority has
// recorded a result, the decision idempotency.Completed permits the response;
// other kinds of outcome cause no decision.
func (n *Node) Finish(now time.Duration, key idempotency.Key, id uint64, kind idempotency.EntryKind, result []byte) {
	n.advance(now)
	claim := n.claims[key]
	if claim == nil || claim.originalID != id || claim.state != claimRunning {
		return
	}
	n.finish(claim, kind, result)
}

// finish sends the outcome of a request to the group for recording. Duplicates
// of a request without a result are answered at once.
func (n *Node) finish(claim *claim, kind idempotency.EntryKind, result []byte) {
	if claim.replayable {
		n.finishReplayable(claim, kind, result)
		return
	}
	n.enterState(claim, claimFinishing)
	claim.outcome = kind
	claim.result = slices.Clone(result)
	switch kind {
	case idempotency.EntryFailed:
		n.settleDuplicates(claim, idempotency.OriginalFailed)
	case idempotency.EntryNeverRan:
		n.settleDuplicates(claim, idempotency.Fresh)
	}
	n.broadcastFinish(claim)
}

// settleDuplicates queues a decision on the duplicates of an original request
// that has already been answered.
func (n *Node) settleDuplicates(claim *claim, decision idempotency.Decision) {
	claim.originalID = 0
	n.queueDuplicateDecisions(claim, decision, nil)
	claim.duplicateIDs = nil
}

func (n *Node) broadcastFinish(claim *claim) {
	n.broadcast(claim, Message{Kind: MsgFinish, Outcome: claim.outcome, Result: claim.result, Made: claim.madeAt})
}

// finishReplayable sends the outcome of a replayable request to the group,
// once. No confirmation is required: the only consequence of a lost message is
// one more run.
func (n *Node) finishReplayable(claim *claim, kind idempotency.EntryKind, result []byte) {
	n.enterState(claim, claimFinishing)
	if kind != idempotency.EntryResult {
		kind = idempotency.EntryNeverRan
		result = nil
	}
	delete(n.claims, claim.key)
	for _, name := range n.membersOf(claim.key) {
		n.send(name, Message{
			Kind:       MsgFinish,
			Key:        claim.key,
			Ballot:     claim.ballot,
			Outcome:    kind,
			Result:     result,
			Replayable: true,
		})
	}
	if kind == idempotency.EntryNeverRan {
		n.queueDuplicateDecisions(claim, idempotency.Fresh, nil)
		return
	}
	claim.originalID = 0 // the original request is already answered
	n.settle(claim, idempotency.Replay, result)
}

// finishRecorded ends a claim whose outcome a majority has recorded. Duplicates
// that have arrived meanwhile get the same outcome.
func (n *Node) finishRecorded(claim *claim) {
	delete(n.claims, claim.key)
	switch claim.outcome {
	case idempotency.EntryNeverRan:
		n.settle(claim, idempotency.Fresh, nil)
		return
	case idempotency.EntryFailed:
		n.settle(claim, idempotency.OriginalFailed, nil)
		return
	}
	if claim.originalID != 0 && !claim.relayed {
		n.queueDecision(claim, claim.originalID, idempotency.Completed, claim.result)
		claim.originalID = 0
	}
	n.settle(claim, idempotency.Replay, claim.result)
}

// adoptOutcome ends a claim with the outcome of a run on another node. A result
// is used as an answer only after a majority has recorded it, because a holder
// that has died may have reported it to a single member.
func (n *Node) adoptOutcome(claim *claim, reply *Message) {
	switch reply.Outcome {
	case idempotency.EntryResult:
		if claim.replayable || n.majorityVoted(claim, VoteFinished) {
			n.settle(claim, idempotency.Replay, reply.Result)
			return
		}
		n.letDuplicatesJoin(claim)
		n.enterState(claim, claimFinishing)
		claim.outcome = idempotency.EntryResult
		claim.result = reply.Result
		claim.relayed = true
		claim.originalDecided = true
		n.broadcastFinish(claim)
	case idempotency.EntryResultTooLong:
		n.settle(claim, idempotency.ResultExpired, nil)
	default:
		n.settle(claim, idempotency.OriginalFailed, nil)
	}
}

// relayOutcome sends the outcome of a run on another node to the group for
// recording, under the ballot of that run. Requests that wait on this node are
// answered afterwards.
func (n *Node) relayOutcome(claim *claim, runBallot Ballot, kind idempotency.EntryKind, result []byte) {
	n.releaseGrants(claim)
	if claim.takenOver { // the request was never admitted on this node, because its holder had started it
		claim.takenOver = false
		claim.originalID = 0
	}
	if original := claim.originalID; original != 0 {
		claim.demoteOriginal()
		if !claim.originalDecided {
			claim.undecidedIDs = append(claim.undecidedIDs, original)
		}
	}
	n.letDuplicatesJoin(claim)
	claim.ballot = runBallot
	claim.relayed = true
	claim.originalDecided = true
	n.finish(claim, kind, result)
}
