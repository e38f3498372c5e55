package failover

import (
	"fmt"
	"time"

	"frosthub/idempotency"
)

// MessageKind identifies the type of a Message.
type MessageKind uint8

// The message kinds. The values are part of the wire format.
const (
	// MsgAcquire requests a key. With Force, members grant the key even if
	// another node holds it.
	MsgAcquire MessageKind = 1
	// MsgAcquireReply carries a member's vote on a MsgAcquire.
	MsgAcquireReply MessageKind = 2
	// MsgStart announces that the holder is about to run the request.
	MsgStart MessageKind = 3
	// MsgStartReply confirms that the start is durable, or rejects it.
	MsgStartReply MessageKind = 4
	// MsgFinish reports the outcome of a request. The outcome EntryNeverRan
	// releases the key: the request never ran, or may run again.
	MsgFinish MessageKind = 5
	// MsgFinishReply carries VoteGranted if the outcome is recorded.
	MsgFinishReply MessageKind = 6
	// MsgQuery requests the recorded state of a key without claiming the key.
	MsgQuery MessageKind = 7
	// MsgQueryReply carries a member's vote on a MsgQuery.
	MsgQueryReply MessageKind = 8
	// MsgHolderCheck checks whether the presumed holder still holds the key.
	MsgHolderCheck MessageKind = 9
	// MsgNotHeld replies to a MsgHolderCheck that the sender does not hold the
	// key. A node that holds the key sends no reply.
	MsgNotHeld MessageKind = 10
	// MsgCompleted reports the outcome to a node that requested or queried the
	// key while the request was in flight.
	MsgCompleted MessageKind = 11
	// MsgHandOff requests that a member take over the request because its
	// holder is leaving the cluster.
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

// Vote is a group member's reply about a key.
type Vote uint8

// The votes. The values are part of the wire format.
const (
	// VoteNone means that the member has no record of the key.
	VoteNone Vote = 0
	// VoteGranted means that the member has granted the key, or has recorded
	// the start or the outcome.
	VoteGranted Vote = 1
	// VoteSuperseded means that the member has granted the key to another
	// ballot, or no longer has a reservation under the ballot of the message.
	VoteSuperseded Vote = 2
	// VoteHeld means that Holder has the key and has not started the request.
	VoteHeld Vote = 3
	// VoteRunning means that Holder has started the request and its outcome is
	// not recorded. If Outcome is set, the member is writing the outcome to
	// disk.
	VoteRunning Vote = 4
	// VoteFinished means that the request has finished with Outcome and Result.
	VoteFinished Vote = 5
	// VoteOutcomeUnknown means that the request was started and its outcome is
	// lost.
	VoteOutcomeUnknown Vote = 6
	// VoteExpired means that the request has finished and its result is no
	// longer kept.
	VoteExpired Vote = 7
	// VoteAbstain means that the member has lost records, which may include
	// those of the key.
	VoteAbstain Vote = 8
	// VoteFull means that the member cannot record the key: it has no room, or
	// its disk has failed.
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

// Message is a message between two nodes about one key. Kind determines which
// of the other fields are set.
type Message struct {
	Kind MessageKind
	Key  idempotency.Key
	// Ballot is the ballot of the claim that the message is about.
	Ballot Ballot
	// Force (MsgAcquire) requests the key even if another ballot holds it.
	Force bool
	// Made is the time since the Unix epoch at which the client created the
	// request; 0 if the client did not specify it.
	Made time.Duration
	// Vote (replies) is the sender's vote.
	Vote Vote
	// Holder (replies) is the ballot to which the sender has granted the key.
	Holder Ballot
	// Outcome (MsgFinish, MsgCompleted, VoteFinished, VoteRunning) is the kind
	// of the request's outcome; 0 if the sender has no outcome.
	Outcome idempotency.EntryKind
	// Result is the response if Outcome is idempotency.EntryResult.
	Result []byte
	// Work (MsgAcquire, MsgHandOff) is what another node needs to run the
	// request.
	Work *Work
	// Replayable marks a request that may run more than once because it has no
	// durable effect. Another node may therefore run it when its holder is
	// lost.
	Replayable bool
	// Run (MsgStart) is the ID of the request at the holder's processor, which
	// is the component that executes requests.
	Run uint64
	// Notice (MsgStart) is the sequence number of the last notice (message of
	// the processor) that the holder has read from its processor.
	Notice uint64
	// Fences (replies) lists members of the group whose votes from earlier
	// incarnations must not be counted together with this vote.
	Fences []Fence
}

// Envelope is a message and its destination.
type Envelope struct {
	// To is the name of the receiving node.
	To string
	Message
}

// Work is what another node needs to continue a request.
type Work struct {
	Handler string
	Body    []byte
	// Left is the time that remains until the client's timeout, in nanoseconds
	// from the moment of sending.
	Left int64
	// Cost is the expected execution time in nanoseconds.
	Cost int64
	// Size is the memory of the request while it is queued, in kilobytes.
	Size float64
	// Rank is the rank of the request by value among all requests, 0 to 1.
	Rank float64
	// Weight is the weight of the handler. Requests with the highest weight are
	// taken over first.
	Weight float64
	// Replayable marks a request that may run more than once.
	Replayable bool
}

// RequestDecision is a decision on a request of this node.
//
// The decisions are those of package idempotency, with two exceptions. In reply
// to [Node.Claim], idempotency.Fresh admits the request; at any other time it
// rejects the request, which never ran, and the key is free again.
// idempotency.Duplicate allows the request to join the original one.
type RequestDecision struct {
	Key idempotency.Key
	// Made is the time at which the client created the request; see
	// Message.Made.
	Made time.Duration
	// Work (TakenOver) is the work of the request, which this node now holds.
	Work *Work
	idempotency.Outcome
}

// TakenOver is the decision that this node has taken over a request of another
// node. The ID of the decision is the ID of the request on this node.
const TakenOver idempotency.Decision = 100

// NoQuorum is the decision to reject a request because its group did not reach
// a quorum. The request never ran.
const NoQuorum idempotency.Decision = 101
