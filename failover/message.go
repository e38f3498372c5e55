package failover

import (
	"fmt"
	"time"

	"frosthub/idempotency"
)

// MessageKind is the type of a Message.
type MessageKind uint8

// The message kinds. Their numbers stand on the wire.
const (
	// MsgAcquire asks for a key; with Force although another node holds it.
	MsgAcquire MessageKind = 1
	// MsgAcquireReply answers with a vote.
	MsgAcquireReply MessageKind = 2
	// MsgStart announces that the holder is about to run the request.
	MsgStart MessageKind = 3
	// MsgStartReply confirms that the start is durable, or refuses it.
	MsgStartReply MessageKind = 4
	// MsgFinish reports the outcome. EntryNeverRan releases the key: the
	// request never ran, or may run again.
	MsgFinish MessageKind = 5
	// MsgFinishReply confirms that the outcome is recorded.
	MsgFinishReply MessageKind = 6
	// MsgQuery asks what is known of a key, without claiming it.
	MsgQuery MessageKind = 7
	// MsgQueryReply answers with a vote.
	MsgQueryReply MessageKind = 8
	// MsgHolderCheck asks the presumed holder whether it still holds the key.
	MsgHolderCheck MessageKind = 9
	// MsgNotHeld answers that it doesn't; a holder stays silent.
	MsgNotHeld MessageKind = 10
	// MsgCompleted reports the outcome to a node that asked while the request
	// was in flight.
	MsgCompleted MessageKind = 11
	// MsgHandOff asks a member to take the request over: the holder leaves.
	MsgHandOff MessageKind = 12
)

var messageKindNames = [...]string{
	MsgAcquire:      "acquire",
	MsgAcquireReply: "acquire reply",
	MsgStart:        "start",
	MsgStartReply:   "start reply",
	MsgFinish:       "finish",
	MsgFinishReply:  "finish reply",
	MsgQuery:        "query",
	MsgQueryReply:   "query reply",
	MsgHolderCheck:  "holder check",
	MsgNotHeld:      "not held",
	MsgCompleted:    "completed",
	MsgHandOff:      "hand off",
}

// String returns the kind's name.
func (k MessageKind) String() string {
	if k == 0 || int(k) >= len(messageKindNames) {
		return fmt.Sprintf("MessageKind(%d)", uint8(k))
	}
	return messageKindNames[k]
}

// Vote is what a member of a group answers about a key.
type Vote uint8

// The votes. Their numbers stand on the wire.
const (
	// VoteNone: the member knows nothing of the key.
	VoteNone Vote = 0
	// VoteGranted: the member agrees.
	VoteGranted Vote = 1
	// VoteSuperseded: the member has granted a higher ballot.
	VoteSuperseded Vote = 2
	// VoteHeld: Holder has the key and hasn't started.
	VoteHeld Vote = 3
	// VoteRunning: Holder has started, and the outcome isn't known. With an
	// Outcome it is, and is being written to the disk.
	VoteRunning Vote = 4
	// VoteFinished: Outcome and Result are how the request ended.
	VoteFinished Vote = 5
	// VoteOutcomeUnknown: the request was started, and its outcome is lost.
	VoteOutcomeUnknown Vote = 6
	// VoteExpired: the request ended, and its result is no longer kept.
	VoteExpired Vote = 7
	// VoteAbstain: the member has lost records and doesn't know.
	VoteAbstain Vote = 8
	// VoteFull: the member has no room, or its disk has failed.
	VoteFull Vote = 9
)

var voteNames = [...]string{
	VoteNone:           "none",
	VoteGranted:        "granted",
	VoteSuperseded:     "superseded",
	VoteHeld:           "held",
	VoteRunning:        "running",
	VoteFinished:       "finished",
	VoteOutcomeUnknown: "outcome unknown",
	VoteExpired:        "expired",
	VoteAbstain:        "abstain",
	VoteFull:           "full",
}

// String returns the vote's name.
func (v Vote) String() string {
	if int(v) >= len(voteNames) {
		return fmt.Sprintf("Vote(%d)", uint8(v))
	}
	return voteNames[v]
}

// Message is a message between two nodes about one key. Kind determines which of
// the other fields are set.
type Message struct {
	Kind MessageKind
	Key  idempotency.Key
	// Ballot is that of the sender's claim, or the one that is answered.
	Ballot Ballot
	// Force (MsgAcquire) claims the key although another ballot holds it.
	Force bool
	// Made is when the request was made, as its caller says: the time since
	// 1970, 0 if the caller didn't say.
	Made time.Duration
	// Vote (replies) is the sender's vote.
	Vote Vote
	// Holder (replies) is the ballot that the sender has granted the key to.
	Holder Ballot
	// Outcome (MsgFinish, VoteFinished, VoteRunning) is how the request
	// ended; 0 if that isn't known.
	Outcome idempotency.EntryKind
	// Result is the response, where Outcome is idempotency.EntryResult.
	Result []byte
	// Work (MsgAcquire, MsgHandOff) is what another node needs to run the
	// request.
	Work *Work
	// Replayable marks a request that may run more than once: nothing of it is
	// durable, and whoever lost its holder may run it.
	Replayable bool
	// Run (MsgStart) is the request's ID at the holder's processor.
	Run uint64
	// Notice (MsgStart) is the last notice of its processor that the holder
	// has read.
	Notice uint64
	// Fences (replies) name members of the group whose votes of earlier
	// incarnations don't count beside this one.
	Fences []Fence
}

// Envelope is a message with its destination.
type Envelope struct {
	// To names the receiving node.
	To string
	Message
}

// Work is what another node needs to go on with a request.
type Work struct {
	Handler string
	Body    []byte
	// Left is for how long the caller still waits, in nanoseconds from the
	// moment of sending.
	Left int64
	// Cost is the expected execution time in nanoseconds.
	Cost int64
	Size float64
	Rank float64
	// Weight is that of the handler: the highest is taken over first.
	Weight float64
	// Replayable requests may run more than once.
	Replayable bool
}

// RequestDecision is a decision on a request of this node.
//
// Beside the decisions of package idempotency: idempotency.Fresh in answer to
// [Node.Claim] lets the request go on; at any other time it rejects the request,
// which never ran, and the key is free again. idempotency.Duplicate lets the
// request join the original one.
type RequestDecision struct {
	Key idempotency.Key
	// Made is when the request was made; see Message.
	Made time.Duration
	// Work (TakenOver) is the request, which this node holds from now on.
	Work *Work
	idempotency.Outcome
}

// TakenOver is the decision that this node has taken over a request of another
// node, under the ID of the outcome.
const TakenOver idempotency.Decision = 100

// NoQuorum is the decision that a request is rejected since its group couldn't
// be asked. It never ran.
const NoQuorum idempotency.Decision = 101
