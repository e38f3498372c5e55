package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
)

// Release reports that a request doesn't wait any more and never ran: it was
// rejected or given up, or its caller has gone.
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
	case claimRunning, claimFinishing: // it runs or has run: Finish reports how it ends
	}
}

func (n *Node) releaseDuplicate(claim *claim, id uint64) {
	claim.duplicateIDs = slices.DeleteFunc(claim.duplicateIDs, func(other uint64) bool { return other == id })
	if !claim.hasRequests() && claim.otherHolds() {
		delete(n.claims, claim.key)
	}
}

// Finish reports how a request that was allowed to run has ended. Once a majority
// has recorded a result, the outcome idempotency.Completed lets it be answered;
// there is no outcome for other kinds.
func (n *Node) Finish(now time.Duration, key idempotency.Key, id uint64, kind idempotency.EntryKind, result []byte) {
	n.advance(now)
	claim := n.claims[key]
	if claim == nil || claim.originalID != id || claim.state != claimRunning {
		return
	}
	n.finish(claim, kind, result)
}

// finish has the group record the outcome of a request. Callers of requests
// without a result are answered at once.
func (n *Node) finish(claim *claim, kind idempotency.EntryKind, result []byte) {
	if claim.replayable {
		n.finishReplayable(claim, kind, result)
		return
	}
	n.enter(claim, claimFinishing)
	claim.outcome = kind
	claim.result = slices.Clone(result)
	switch kind {
	case idempotency.EntryFailed:
		n.answerDuplicates(claim, idempotency.OriginalFailed)
	case idempotency.EntryNeverRan:
		n.answerDuplicates(claim, idempotency.Fresh)
	}
	n.broadcastFinish(claim)
}

// answerDuplicates answers the duplicates of an original request that has been
// answered already.
func (n *Node) answerDuplicates(claim *claim, decision idempotency.Decision) {
	claim.originalID = 0
	n.notifyDuplicates(claim, decision, nil)
	claim.duplicateIDs = nil
}

func (n *Node) broadcastFinish(claim *claim) {
	n.broadcast(claim, Message{Kind: MsgFinish, Outcome: claim.outcome, Result: claim.result, Made: claim.made})
}

// finishReplayable reports to the group, once, how a replayable request ended.
// Nobody waits for a confirmation: where the message is lost, all that follows
// is one more run.
func (n *Node) finishReplayable(claim *claim, kind idempotency.EntryKind, result []byte) {
	n.enter(claim, claimFinishing)
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
		n.notifyDuplicates(claim, idempotency.Fresh, nil)
		return
	}
	claim.originalID = 0 // it has been answered
	n.settle(claim, idempotency.Replay, result)
}

// finishRecorded ends a claim whose outcome a majority has recorded. Duplicates
// that came meanwhile hear it too.
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
		n.notify(claim, claim.originalID, idempotency.Completed, claim.result)
		claim.originalID = 0
	}
	n.settle(claim, idempotency.Replay, claim.result)
}

// adoptOutcome ends a claim by the outcome of another node's run. A result is
// answered only once a majority has recorded it: a holder that has died may have
// reported it to a single member.
func (n *Node) adoptOutcome(claim *claim, reply *Message) {
	switch reply.Outcome {
	case idempotency.EntryResult:
		if claim.replayable || n.majorityVoted(claim, VoteFinished) {
			n.settle(claim, idempotency.Replay, reply.Result)
			return
		}
		n.letDuplicatesJoin(claim)
		n.enter(claim, claimFinishing)
		claim.outcome = idempotency.EntryResult
		claim.result = reply.Result
		claim.relayed = true
		claim.originalNotified = true
		n.broadcastFinish(claim)
	case idempotency.EntryResultTooLong:
		n.settle(claim, idempotency.ResultExpired, nil)
	default:
		n.settle(claim, idempotency.OriginalFailed, nil)
	}
}

// relayOutcome has the group record the outcome of another node's run, under the
// ballot of that run. Requests that wait here are answered afterwards.
func (n *Node) relayOutcome(claim *claim, runBallot Ballot, kind idempotency.EntryKind, result []byte) {
	n.dropGrants(claim)
	if claim.takenOver { // it was never let in here: its holder had started it
		claim.takenOver = false
		claim.originalID = 0
	}
	if original := claim.originalID; original != 0 {
		claim.demoteOriginal()
		if !claim.originalNotified {
			claim.unnotifiedIDs = append(claim.unnotifiedIDs, original)
		}
	}
	n.letDuplicatesJoin(claim)
	claim.ballot = runBallot
	claim.relayed = true
	claim.originalNotified = true
	n.finish(claim, kind, result)
}
