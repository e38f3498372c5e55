package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
)

// voteOn returns this node's vote on a key. If the request is in flight, the
// node registers the sender for a notification of the outcome.
func (n *Node) voteOn(message *Message, from string) Message {
	if reservation := n.reservations.get(message.Key); reservation != nil {
		return n.voteOnReservation(reservation, from)
	}
	if message.Replayable {
		return Message{Vote: VoteNone}
	}
	outcome := n.store.PeekOutcome(n.now, message.Made, message.Key)
	switch outcome.Decision {
	case idempotency.Fresh:
		return Message{Vote: VoteNone}
	case idempotency.Replay:
		return Message{Vote: VoteFinished, Outcome: idempotency.EntryResult, Result: outcome.Result}
	case idempotency.OriginalFailed:
		return Message{Vote: VoteFinished, Outcome: idempotency.EntryFailed}
	case idempotency.OutcomeUnknown:
		return Message{Vote: n.voteOnUnknown(message.Key)}
	case idempotency.ResultExpired:
		return Message{Vote: VoteExpired}
	case idempotency.StoreFailed:
		return Message{Vote: VoteFull}
	}
	return Message{Vote: VoteAbstain}
}

// voteOnUnknown returns the vote on a recorded start without an outcome.
func (n *Node) voteOnUnknown(key idempotency.Key) Vote {
	switch {
	case n.store.MayBeExpired(key): // the request may have finished, and its record have expired
		return VoteExpired
	case !n.store.HasFullHistory(key): // the disk may have lost the outcome
		return VoteAbstain
	default:
		return VoteOutcomeUnknown
	}
}

func (n *Node) voteOnReservation(reservation *reservation, from string) Message {
	if reservation.finished {
		return Message{Vote: VoteFinished, Outcome: idempotency.EntryResult, Result: reservation.result}
	}
	if reservation.waiters == nil {
		reservation.waiters = map[string]bool{}
	}
	if from != reservation.ballot.Node {
		reservation.waiters[from] = true
	}
	if reservation.transferred {
		// This node may have lost the outcome.
		if vote := n.voteOnUnknown(reservation.key); vote != VoteOutcomeUnknown {
			return Message{Vote: vote}
		}
	}
	reply := Message{Vote: VoteHeld, Holder: reservation.ballot}
	if reservation.started {
		reply.Vote = VoteRunning
	}
	if reservation.finishing {
		reply.Outcome = idempotency.EntryResult
	}
	return reply
}

// supersededBy reports whether the reservation may be granted to the higher
// ballot of a message.
func (r *reservation) supersededBy(from string, message *Message) bool {
	if message.Ballot.compare(r.ballot) <= 0 {
		return false
	}
	if !r.started {
		return message.Force || r.ballot.Node == from
	}
	// A holder that requests the key again has not run the request, and gives
	// up the ballot under which it was about to start.
	sameProcess := r.ballot.Node == from && r.ballot.Incarnation == message.Ballot.Incarnation
	return sameProcess && !r.transferred && !r.finishing
}

// handleAcquire replies to a node that requests a key.
func (n *Node) handleAcquire(from string, message *Message) {
	reply := n.voteOn(message, from)
	reservation := n.reservations.get(message.Key)
	granted := false
	switch reply.Vote {
	case VoteHeld, VoteRunning:
		held := reply.Vote == VoteHeld
		switch {
		case disabledRule == ruleNoGrantAfterStart && !held && message.Force:
			granted = true
		case reservation.supersededBy(from, message):
			granted = true
			if reservation.started {
				reservation = n.replaceReservation(reservation)
			}
		case held && message.Ballot == reservation.ballot: // the message is a retransmission
			granted = true
		case held && message.Force:
			reply.Vote = VoteSuperseded
		}
	case VoteNone:
		granted = n.hasRoomFor(message)
		switch {
		case !granted:
			reply.Vote = VoteFull
		case message.Replayable:
			reservation = n.reservations.addReplayable(message.Key)
		default:
			reservation = n.reservations.add(message.Key)
		}
	}
	if granted {
		reply = Message{Vote: VoteGranted}
		n.grant(reservation, message)
	}
	reply.Kind = MsgAcquireReply
	reply.Key = message.Key
	reply.Ballot = message.Ballot
	n.send(from, reply)
}

// hasRoomFor reports whether the node has room to reserve the key of a message.
// Half of the room is only for requests that must not run twice.
func (n *Node) hasRoomFor(message *Message) bool {
	if len(n.reservations.byKey) >= n.cfg.MaxReservations {
		return false
	}
	return !message.Replayable || n.reservations.replayableCount < n.cfg.MaxReservations/2
}

// replaceReservation replaces a reservation whose holder gives up the ballot
// under which it was about to start.
func (n *Node) replaceReservation(old *reservation) *reservation {
	n.applyStoreOutcomes(n.store.Finish(n.now, old.key, idempotency.EntryNeverRan, nil))
	n.reservations.remove(old)
	created := n.reservations.add(old.key)
	created.waiters = old.waiters
	return created
}

func (n *Node) grant(reservation *reservation, message *Message) {
	reservation.ballot = message.Ballot
	reservation.madeAt = message.Made
	reservation.suspectedSince = 0
	if message.Work != nil {
		reservation.work = *message.Work
		reservation.work.Body = slices.Clone(message.Work.Body)
		reservation.deadline = n.now + time.Duration(message.Work.Left)
	}
}

// handleStart records that a holder is about to run the request, if its ballot
// is the one that was granted last.
func (n *Node) handleStart(from string, message *Message) {
	reservation := n.reservations.get(message.Key)
	reply := Message{Kind: MsgStartReply, Key: message.Key, Ballot: message.Ballot}
	switch {
	case reservation == nil:
		reply.Vote = VoteSuperseded
	case reservation.ballot != message.Ballot && disabledRule != ruleStartBallot,
		reservation.transferred: // this node itself has granted the key to no ballot
		reply.Vote = VoteSuperseded
		reply.Holder = reservation.ballot
	case reservation.startDurable:
		reply.Vote = VoteGranted
	case reservation.started: // the reply follows once the intent is on disk
		return
	case !n.recordStart(reservation, from, message):
		reply.Vote = VoteFull
	case disabledRule == ruleDurableStart:
		reply.Vote = VoteGranted
	default: // the reply follows once the intent is on disk
		return
	}
	n.send(from, reply)
}

// recordStart writes an intent to the store and reports whether the store
// accepted it.
func (n *Node) recordStart(reservation *reservation, from string, message *Message) bool {
	reservation.intentID = n.nextIntentID()
	if !n.writeIntent(reservation, message.Made) {
		return false
	}
	reservation.started = true
	reservation.runID = message.Run
	reservation.lastNotice = message.Notice
	n.reservations.byRun[processorRun{node: from, id: message.Run}] = reservation
	n.reservations.byIntent[reservation.intentID] = reservation
	return true
}

func (n *Node) writeIntent(reservation *reservation, madeAt time.Duration) bool {
	outcome := n.store.Reserve(n.now, madeAt, reservation.key, reservation.work.Handler, reservation.intentID)
	return outcome.Decision == idempotency.Wait
}

// handleFinish records the outcome of a request, or releases its key. An
// outcome is recorded whichever ballot this node has granted, since it proves
// that the request ran.
func (n *Node) handleFinish(from string, message *Message) {
	reservation := n.reservations.get(message.Key)
	if message.Replayable && message.Outcome == idempotency.EntryResult {
		if reservation != nil {
			n.keepReplayableResult(reservation, message.Result)
		}
		return
	}
	var vote Vote
	if message.Outcome == idempotency.EntryNeverRan {
		if reservation != nil {
			n.releaseBallot(reservation, message.Ballot)
		}
		vote = VoteGranted
	} else {
		vote = n.recordOutcome(reservation, message)
	}
	if vote != VoteNone {
		n.send(from, Message{Kind: MsgFinishReply, Key: message.Key, Ballot: message.Ballot, Vote: vote})
	}
}

func (n *Node) keepReplayableResult(reservation *reservation, result []byte) {
	if !reservation.replayable || reservation.finished {
		return
	}
	if n.reservations.resultBytes+len(result) > n.cfg.MaxResultBytes {
		return
	}
	reservation.finished = true
	reservation.result = slices.Clone(result)
	n.reservations.resultBytes += len(reservation.result)
	n.notifyWaiters(reservation, idempotency.EntryResult, reservation.result)
}

// releaseBallot releases the grant of a ballot. The reservation then passes to
// another ballot whose start is recorded, or is removed if there is none.
func (n *Node) releaseBallot(reservation *reservation, ballot Ballot) {
	switch {
	case reservation.ballot != ballot:
		reservation.otherBallots = slices.DeleteFunc(reservation.otherBallots, func(other Ballot) bool { return other == ballot })
	case len(reservation.otherBallots) > 0:
		reservation.ballot = reservation.otherBallots[0]
		reservation.otherBallots = reservation.otherBallots[1:]
	default:
		if reservation.started {
			n.applyStoreOutcomes(n.store.Finish(n.now, reservation.key, idempotency.EntryNeverRan, nil))
		}
		n.reservations.remove(reservation)
	}
}

// recordOutcome writes an outcome to the store and returns the vote for the
// reply, or VoteNone if the reply follows once the outcome is durable.
func (n *Node) recordOutcome(reservation *reservation, message *Message) Vote {
	if reservation == nil {
		var vote Vote
		reservation, vote = n.reserveForOutcome(message)
		if reservation == nil {
			return vote
		}
	}
	reservation.ballot = message.Ballot
	if !reservation.started || reservation.intentID == 0 {
		reservation.intentID = n.nextIntentID()
		n.store.Resume(message.Key, reservation.intentID)
	}
	if !reservation.started {
		if !n.writeIntent(reservation, message.Made) {
			n.reservations.remove(reservation)
			return VoteFull
		}
		reservation.started = true
	}
	n.reservations.byIntent[reservation.intentID] = reservation
	if message.Outcome == idempotency.EntryFailed {
		n.store.Finish(n.now, message.Key, idempotency.EntryFailed, nil)
		n.notifyWaiters(reservation, idempotency.EntryFailed, nil)
		n.reservations.remove(reservation)
		return VoteGranted
	}
	reservation.finishing = true
	n.applyStoreOutcomes(n.store.Finish(n.now, message.Key, message.Outcome, message.Result))
	return VoteNone
}

// reserveForOutcome reserves a key whose outcome is reported although this node
// has no reservation of it: other members have recorded the start, or an
// earlier incarnation of this node has. If there is nothing to record it
// returns nil and the vote for the reply.
func (n *Node) reserveForOutcome(message *Message) (*reservation, Vote) {
	decision := n.store.PeekOutcome(n.now, message.Made, message.Key).Decision
	switch decision {
	case idempotency.Replay, idempotency.OriginalFailed, idempotency.ResultExpired:
		return nil, VoteGranted // the outcome is already recorded
	case idempotency.Fresh, idempotency.OutcomeUnknown:
	case idempotency.HistoryLost:
		if !n.store.Merge(n.now, idempotency.Record{Key: message.Key}) {
			return nil, VoteFull
		}
	default:
		return nil, VoteFull
	}
	created := n.reservations.add(message.Key)
	created.started = decision != idempotency.Fresh
	return created, VoteNone
}
