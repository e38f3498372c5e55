package peerproto

import "google.golang.org/protobuf/encoding/protowire"

// fieldNumber identifies a field within its message. The numbers are the wire format: they never change, and those of fields that went are not
// used again.
type fieldNumber = protowire.Number

// Batch: what one frame carries.
const (
	batchHello       fieldNumber = 1 // Hello: who sends; in the first batch, and when it changes
	batchMember      fieldNumber = 2 // repeated Member: message of the failure detector
	batchClaim       fieldNumber = 3 // repeated Claim: message of the claim protocol of package failover
	batchPeerState   fieldNumber = 4 // PeerState: answer to a Hello with helloQueryState
	batchPageRequest fieldNumber = 5 // PageRequest: asks for a page of a refill
	batchPage        fieldNumber = 6 // Page: answer to a PageRequest
)

// Hello: who sends.
const (
	helloCluster     fieldNumber = 1 // string: name of the cluster
	helloFrom        fieldNumber = 2 // string: name of the node
	helloIncarnation fieldNumber = 3 // uint64: of its process
	helloList        fieldNumber = 4 // repeated fixed64: digests of the member lists that it has adopted
	helloSeq         fieldNumber = 5 // uint64: its last durable record
	helloMark        fieldNumber = 6 // fixed64: random number of its process
	helloQueryState  fieldNumber = 7 // bool: asks for a PeerState
	helloFeatures    fieldNumber = 8 // uint64: feature level of its program; see recovery.FeatureFences
)

// PeerState: what the sender remembers of the receiver.
const (
	peerStateIncarnation fieldNumber = 1 // uint64: highest that was reported to it
	peerStateSeq         fieldNumber = 2 // uint64: last durable record that was reported to it
	peerStateEmpty       fieldNumber = 3 // bool: it remembers nothing from before its own start
	peerStateMark        fieldNumber = 4 // fixed64: of the process that asked
)

// Member: a message of the failure detector.
const (
	memberKind   fieldNumber = 1 // uint32: membership.MessageKind
	memberNumber fieldNumber = 2 // uint64: number of the probe
	memberTarget fieldNumber = 3 // string: node to be probed, or that answered
	memberUpdate fieldNumber = 4 // repeated Update: piggybacked gossip
)

// Update: what a member believes of a node.
const (
	updateName        fieldNumber = 1 // string
	updateIncarnation fieldNumber = 2 // uint64: of the node's process
	updateRefutation  fieldNumber = 3 // uint64: raised by the node to refute a suspicion
	updateState       fieldNumber = 4 // uint32: membership.State
)

// Claim: a message of the claim protocol of package failover, on one key.
const (
	claimKind       fieldNumber = 1  // uint32: failover.MessageKind
	claimKey        fieldNumber = 2  // bytes: 16 of them
	claimBallot     fieldNumber = 3  // Ballot
	claimForce      fieldNumber = 4  // bool: grant it although another node holds the key
	claimMade       fieldNumber = 5  // int64: nanoseconds since 1970 when the client made the request; 0 if not known
	claimVote       fieldNumber = 6  // uint32: failover.Vote
	claimHolder     fieldNumber = 7  // Ballot: of the node that holds the key
	claimOutcome    fieldNumber = 8  // uint32: idempotency.EntryKind of how the run ended
	claimResult     fieldNumber = 9  // bytes: of the run
	claimWork       fieldNumber = 10 // Work: the request itself
	claimReplayable fieldNumber = 11 // bool: the request may run again
	claimRun        fieldNumber = 12 // uint64: id of the run at the holder's processor
	claimNotice     fieldNumber = 13 // uint64: last notice that the holder has read of that processor
	claimFence      fieldNumber = 14 // repeated Fence: what earlier incarnations of these nodes said does not count
)

// Ballot: of the claim protocol.
const (
	ballotNumber      fieldNumber = 1 // uint64
	ballotNode        fieldNumber = 2 // string
	ballotIncarnation fieldNumber = 3 // uint64
)

// Work: a request that another node may take over.
const (
	workHandler    fieldNumber = 1 // string: name of the handler
	workBody       fieldNumber = 2 // bytes: of the request
	workLeft       fieldNumber = 3 // int64: nanoseconds that the client still waits
	workCost       fieldNumber = 4 // int64: expected nanoseconds of a core
	workSize       fieldNumber = 5 // double
	workRank       fieldNumber = 6 // double
	workWeight     fieldNumber = 7 // double: of the handler
	workReplayable fieldNumber = 8 // bool: it may run again
)

// Fence: what a node said in earlier incarnations does not count.
const (
	fenceNode        fieldNumber = 1 // string
	fenceIncarnation fieldNumber = 2 // uint64
)

// PageRequest: asks for a page of a refill.
const (
	pageRequestIncarnation fieldNumber = 1 // uint64: of the process that asks
	pageRequestFrom        fieldNumber = 2 // Cursor: where the page begins
)

// Cursor: a position in a refill, which means something only to the process that sends the pages.
const (
	cursorStep     fieldNumber = 1 // uint32: failover.Step
	cursorPosition fieldNumber = 2 // uint64
	cursorEnd      fieldNumber = 3 // uint64
	cursorSegment  fieldNumber = 4 // uint64
)

// Page: a part of what the sender knows of the keys that it shares with the receiver.
const (
	pageIncarnation     fieldNumber = 1 // uint64: of the process that asked
	pageConfiguration   fieldNumber = 2 // fixed64: digest of the member lists that the sender has adopted
	pageFrom            fieldNumber = 3 // Cursor: where it begins
	pageNext            fieldNumber = 4 // Cursor: where the next page begins
	pageComplete        fieldNumber = 5 // bool: the sender has not lost any history itself
	pageRecord          fieldNumber = 6 // repeated Record
	pageInFlight        fieldNumber = 7 // repeated InFlight
	pageExpired         fieldNumber = 8 // repeated Expired
	pageFencesSupported fieldNumber = 9 // bool: the programs of all other nodes heed fences
)

// Record: a key whose run has ended.
const (
	recordKey    fieldNumber = 1 // bytes: 16 of them
	recordKind   fieldNumber = 2 // uint32: idempotency.EntryKind of how it ended; 0 if that is not known
	recordResult fieldNumber = 3 // bytes
)

// InFlight: a key whose run may be going on.
const (
	inFlightKey    fieldNumber = 1 // bytes: 16 of them
	inFlightBallot fieldNumber = 2 // Ballot: of the node that runs it
	inFlightMade   fieldNumber = 3 // int64: as claimMade
	inFlightLeft   fieldNumber = 4 // int64: nanoseconds that the client still waits
	inFlightRun    fieldNumber = 5 // uint64: as claimRun
	inFlightNotice fieldNumber = 6 // uint64: as claimNotice
)

// Expired: the fingerprints of expired keys, as a Bloom filter.
const (
	expiredSegment fieldNumber = 1 // uint64: number of the segment that they replace
	expiredUntil   fieldNumber = 2 // int64: nanoseconds since 1970
	expiredBits    fieldNumber = 3 // uint64: size of the filter
	expiredHashes  fieldNumber = 4 // uint32: functions of the filter
	expiredWords   fieldNumber = 5 // bytes: the bits in words of 8 bytes, little-endian
)
