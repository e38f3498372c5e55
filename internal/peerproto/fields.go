package peerproto

import "google.golang.org/protobuf/encoding/protowire"

// fieldNumber identifies a field within its message. The numbers are part of the wire format: they never change, and the numbers of removed
// fields are not used again.
type fieldNumber = protowire.Number

// Fields of Batch, the content of one frame.
const (
	batchHello       fieldNumber = 1 // Hello: the sending node; in the first batch of a connection, and when it changes
	batchMember      fieldNumber = 2 // repeated Member: messages of the failure detector
	batchClaim       fieldNumber = 3 // repeated Claim: messages of the claim protocol of package failover
	batchPeerState   fieldNumber = 4 // PeerState: reply to a Hello with helloQueryState
	batchPageRequest fieldNumber = 5 // PageRequest: requests a page of a refill
	batchPage        fieldNumber = 6 // Page: reply to a PageRequest
)

// Fields of Hello, which identifies the sending node and reports its state.
const (
	helloCluster       fieldNumber = 1 // string: name of the cluster
	helloFrom          fieldNumber = 2 // string: name of the node
	helloIncarnation   fieldNumber = 3 // uint64: incarnation of the node
	helloRosterDigests fieldNumber = 4 // repeated fixed64: digests of the rosters that the node has adopted
	helloSeq           fieldNumber = 5 // uint64: sequence number of the node's last durable record
	helloMark          fieldNumber = 6 // fixed64: random number of the node's process
	helloQueryState    fieldNumber = 7 // bool: requests a PeerState
	helloFeatures      fieldNumber = 8 // uint64: feature level of the node's program, see recovery.FeatureFences
)

// Fields of PeerState, the state that the sender keeps of the receiver.
const (
	peerStateIncarnation fieldNumber = 1 // uint64: highest incarnation that the receiver has reported to the sender
	peerStateSeq         fieldNumber = 2 // uint64: last durable record that the receiver has reported to the sender
	peerStateEmpty       fieldNumber = 3 // bool: the sender keeps no state from before its own start
	peerStateMark        fieldNumber = 4 // fixed64: mark of the process that requested the state
)

// Fields of Member, a message of the failure detector.
const (
	memberKind   fieldNumber = 1 // uint32: membership.MessageKind
	memberNumber fieldNumber = 2 // uint64: number of the probe
	memberTarget fieldNumber = 3 // string: name of the node to be probed, or of the node that answered
	memberUpdate fieldNumber = 4 // repeated Update: piggybacked gossip
)

// Fields of Update, the state of a node as seen by a member.
const (
	updateName        fieldNumber = 1 // string: name of the node
	updateIncarnation fieldNumber = 2 // uint64: incarnation of the node
	updateRefutation  fieldNumber = 3 // uint64: number that the node increments to refute a suspicion
	updateState       fieldNumber = 4 // uint32: membership.State
)

// Fields of Claim, a message of the claim protocol of package failover about one key.
const (
	claimKind       fieldNumber = 1  // uint32: failover.MessageKind
	claimKey        fieldNumber = 2  // bytes: the key, of 16 bytes
	claimBallot     fieldNumber = 3  // Ballot: ballot of the claim
	claimForce      fieldNumber = 4  // bool: the claim is to be granted even if another node holds the key
	claimMade       fieldNumber = 5  // int64: time at which the client made the request, in nanoseconds since 1970; 0 if unknown
	claimVote       fieldNumber = 6  // uint32: failover.Vote
	claimHolder     fieldNumber = 7  // Ballot: ballot of the node that holds the key
	claimOutcome    fieldNumber = 8  // uint32: idempotency.EntryKind for the outcome of the run
	claimResult     fieldNumber = 9  // bytes: result of the run
	claimWork       fieldNumber = 10 // Work: the request itself
	claimReplayable fieldNumber = 11 // bool: the request may run again
	claimRun        fieldNumber = 12 // uint64: id of the run at the holder's processor
	claimNotice     fieldNumber = 13 // uint64: number of the last notice of that processor that the holder has read
	claimFence      fieldNumber = 14 // repeated Fence: the nodes whose votes from earlier incarnations are void
)

// Fields of Ballot, which orders the claims on a key.
const (
	ballotNumber      fieldNumber = 1 // uint64: number of the ballot
	ballotNode        fieldNumber = 2 // string: name of the claiming node
	ballotIncarnation fieldNumber = 3 // uint64: incarnation of the claiming node
)

// Fields of Work, a request that another node may take over.
const (
	workHandler    fieldNumber = 1 // string: name of the handler
	workBody       fieldNumber = 2 // bytes: body of the request
	workLeft       fieldNumber = 3 // int64: nanoseconds until the client timeout
	workCost       fieldNumber = 4 // int64: expected execution time, in nanoseconds of a core
	workSize       fieldNumber = 5 // double: failover.Work.Size
	workRank       fieldNumber = 6 // double: failover.Work.Rank
	workWeight     fieldNumber = 7 // double: weight of the handler
	workReplayable fieldNumber = 8 // bool: the request may run again
)

// Fields of Fence, which voids the votes that a node cast in earlier incarnations.
const (
	fenceNode        fieldNumber = 1 // string: name of the node
	fenceIncarnation fieldNumber = 2 // uint64: first incarnation whose votes count
)

// Fields of PageRequest, which requests a page of a refill.
const (
	pageRequestIncarnation fieldNumber = 1 // uint64: incarnation of the requesting node
	pageRequestFrom        fieldNumber = 2 // Cursor: position at which the page begins
)

// Fields of Cursor, a position in a refill. Only the process that sends the pages can interpret it.
const (
	cursorStep     fieldNumber = 1 // uint32: failover.TransferStep
	cursorPosition fieldNumber = 2 // uint64
	cursorEnd      fieldNumber = 3 // uint64
	cursorSegment  fieldNumber = 4 // uint64
)

// Fields of Page, a part of the sender's records of the keys that it shares with the receiver.
const (
	pageIncarnation     fieldNumber = 1 // uint64: incarnation of the requesting node
	pageConfiguration   fieldNumber = 2 // fixed64: digest of the rosters that the sender has adopted
	pageFrom            fieldNumber = 3 // Cursor: position at which the page begins
	pageNext            fieldNumber = 4 // Cursor: position at which the next page begins
	pageComplete        fieldNumber = 5 // bool: the sender itself has not lost any history
	pageRecord          fieldNumber = 6 // repeated Record: keys whose run has ended
	pageInFlight        fieldNumber = 7 // repeated InFlight: keys whose run may still be in progress
	pageExpired         fieldNumber = 8 // repeated Expired: fingerprints of expired keys
	pageFencesSupported fieldNumber = 9 // bool: the programs of all other nodes support fences
)

// Fields of Record, a key whose run has ended.
const (
	recordKey    fieldNumber = 1 // bytes: the key, of 16 bytes
	recordKind   fieldNumber = 2 // uint32: idempotency.EntryKind for the outcome of the run; 0 for an unknown outcome
	recordResult fieldNumber = 3 // bytes: result of the run
)

// Fields of InFlight, a key whose run may still be in progress.
const (
	inFlightKey    fieldNumber = 1 // bytes: the key, of 16 bytes
	inFlightBallot fieldNumber = 2 // Ballot: ballot of the node that runs the request
	inFlightMade   fieldNumber = 3 // int64: same as claimMade
	inFlightLeft   fieldNumber = 4 // int64: nanoseconds until the client timeout
	inFlightRun    fieldNumber = 5 // uint64: same as claimRun
	inFlightNotice fieldNumber = 6 // uint64: same as claimNotice
)

// Fields of Expired, a Bloom filter with the fingerprints of expired keys.
const (
	expiredSegment fieldNumber = 1 // uint64: number of the segment that the filter replaces
	expiredUntil   fieldNumber = 2 // int64: time of the segment's last record about a key, in nanoseconds since 1970
	expiredBits    fieldNumber = 3 // uint64: number of bits of the filter
	expiredHashes  fieldNumber = 4 // uint32: number of hash functions of the filter
	expiredWords   fieldNumber = 5 // bytes: bits of the filter, in little-endian words of 8 bytes
)
