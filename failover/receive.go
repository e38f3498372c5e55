package failover

import (
	"time"

	"frosthub/idempotency"
)

// Receive processes a message from an incarnation of a node. Messages of
// earlier incarnations than the latest known one are ignored.
func (n *Node) Receive(now time.Duration, from string, incarnation uint64, message *Message) {
	n.advance(now)
	if incarnation < n.detector.Incarnation(from) {
		return
	}
	n.receive(from, incarnation, message)
}

func (n *Node) receive(from string, incarnation uint64, message *Message) {
	n.highestBallot = max(n.highestBallot, message.Ballot.Number, message.Holder.Number)
	if message.mustComeFromHolder() && (message.Ballot.Node != from || message.Ballot.Incarnation != incarnation) {
		return
	}
	switch message.Kind {
	case MsgAcquire:
		n.handleAcquire(from, message)
	case MsgStart:
		n.handleStart(from, message)
	case MsgFinish:
		n.handleFinish(from, message)
	case MsgQuery:
		reply := n.voteOn(message, from)
		reply.Kind = MsgQueryReply
		reply.Key = message.Key
		reply.Ballot = message.Ballot
		n.send(from, reply)
	case MsgHolderCheck:
		if !n.holds(message.Key, message.Ballot) {
			n.send(from, Message{Kind: MsgNotHeld, Key: message.Key, Ballot: message.Ballot})
		}
	case MsgHandOff:
		n.handleHandOff(message)
	case MsgAcquireReply, MsgStartReply, MsgFinishReply, MsgQueryReply, MsgNotHeld, MsgCompleted:
		if claim := n.claims[message.Key]; claim != nil {
			n.handleReply(claim, from, incarnation, message)
		}
	}
}

// mustComeFromHolder reports whether only the process of the message's ballot
// may send the message. Other nodes may relay the outcome of a run.
func (m *Message) mustComeFromHolder() bool {
	switch m.Kind {
	case MsgAcquire, MsgStart:
		return true
	case MsgFinish:
		return m.Outcome == idempotency.EntryNeverRan
	default:
		return false
	}
}

// holds reports whether this process holds a key under the given ballot.
func (n *Node) holds(key idempotency.Key, ballot Ballot) bool {
	claim := n.claims[key]
	return ballot.Incarnation == n.cfg.Incarnation && claim != nil && claim.ballot == ballot && !claim.waitsOrQueries()
}

// handleReply applies a reply to a claim. Replies to an earlier ballot or state
// are ignored.
func (n *Node) handleReply(claim *claim, from string, incarnation uint64, reply *Message) {
	switch reply.Kind {
	case MsgCompleted:
		if claim.waitsOrQueries() {
			n.adoptOutcome(claim, reply)
		}
		return
	case MsgNotHeld:
		if claim.state == claimWaiting && claim.holder == reply.Ballot {
			n.query(claim)
		}
		return
	}
	if reply.Ballot != claim.ballot || reply.Kind != claim.state.replyKind() {
		return
	}
	claim.countVote(from, incarnation, reply)
	switch claim.state {
	case claimAcquiring, claimQuerying:
		n.evaluateVotes(claim)
	case claimStarting:
		n.evaluateStartVotes(claim, reply)
	case claimFinishing:
		if n.majorityVoted(claim, VoteGranted) {
			n.finishRecorded(claim)
		}
	}
}

// replyKind returns the kind of reply that a claim in the state expects, 0 if
// none.
func (s claimState) replyKind() MessageKind {
	switch s {
	case claimAcquiring:
		return MsgAcquireReply
	case claimStarting:
		return MsgStartReply
	case claimFinishing:
		return MsgFinishReply
	case claimQuerying:
		return MsgQueryReply
	default:
		return 0
	}
}
