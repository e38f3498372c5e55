package failover

import (
	"cmp"
	"time"
)

// Config holds the identity of a node, the cluster that it belongs to and its
// limits. A zero limit or interval selects the default.
type Config struct {
	// Name is the node's name in the member lists.
	Name string
	// Incarnation is the number of the node's process. Each start of the node
	// has a higher number.
	Incarnation uint64
	// Members is the current member list.
	Members []Member
	// Previous is the member list that Members replaces, during a membership
	// change. Decisions then need a majority of the groups of both lists. It is
	// empty when no change is in progress.
	Previous []Member

	// GroupSize is the number of nodes in the group of a key. Default 3.
	GroupSize int
	// SuspectAfter is how long a claim waits for the votes of members that do
	// not reply before it is decided without them. Default 300 ms.
	SuspectAfter time.Duration
	// RetryInterval is the time between retransmissions of an unanswered
	// message. Default 60 ms.
	RetryInterval time.Duration
	// ResumeUnclaimed makes the node take over requests of lost holders even if
	// no client has retried them.
	ResumeUnclaimed bool

	// MaxReservations is the maximum number of keys that this node reserves for
	// other nodes. Replayable requests may use half of it. Default 4096.
	MaxReservations int
	// MaxInFlight is the maximum number of unfinished requests that this node
	// has taken over. Requests with the highest weight are taken over first.
	// Default 64.
	MaxInFlight int
	// MaxResultBytes bounds the total size of the results of replayable
	// requests that this node keeps for others, in bytes. Default 1 MiB.
	MaxResultBytes int
}

// Defaults of Config.
const (
	defaultGroupSize       = 3
	defaultSuspectAfter    = 300 * time.Millisecond
	defaultRetryInterval   = 60 * time.Millisecond
	defaultMaxReservations = 4096
	// defaultMaxInFlight is a few requests per core of a node. Any more would
	// queue on this node although other members may be able to run them sooner.
	defaultMaxInFlight    = 64
	defaultMaxResultBytes = 1 << 20
)

// Limits of a claim.
const (
	// maxBallotAttempts is the number of ballots that a claim tries in
	// succession.
	maxBallotAttempts = 8
	// finishTimeout is how long an outcome is retransmitted to a group that
	// does not confirm it.
	finishTimeout = 10 * time.Second
	// resolveTimeout is how long a group is queried for an unknown outcome that
	// no client waits for.
	resolveTimeout = time.Second
)

// Limits of replayable requests, which may run twice and therefore need not
// wait for the group.
const (
	// replayableClaimTimeout is how long a replayable request waits for a grant
	// of the group. After that it is served as it would be without a cluster.
	replayableClaimTimeout = 50 * time.Millisecond
	// replayableJoinShare is the share of its remaining time that a replayable
	// request waits for a run on another node before it runs on this node as
	// well.
	replayableJoinShare = 0.25
)

// Timing of the take-over of requests whose holder is lost, and of the queries
// for their outcomes.
const (
	// successorDelay is how long a member of a group delays a take-over for
	// each live member that precedes it in the group, so that the members do
	// not compete for the request.
	successorDelay = 150 * time.Millisecond
	// outcomeUnknownDelay is the time after the deadline of a started request
	// at which its outcome, if none is recorded, becomes unknown for good.
	outcomeUnknownDelay = 30 * time.Second
	// processorQueryDelay is how long a holder must be suspected before its
	// processor is queried for outcomes. It is longer than a short pause of the
	// holder.
	processorQueryDelay = 250 * time.Millisecond
	// processorQueryInterval is the minimum time between queries for the same
	// request.
	processorQueryInterval = 250 * time.Millisecond
)

// maxCachedGroups bounds the cache of groups. The computation of a group takes
// one hash per member.
const maxCachedGroups = 4096

// withDefaults returns the configuration with zero limits replaced by the
// defaults.
func (c Config) withDefaults() Config {
	c.GroupSize = cmp.Or(c.GroupSize, defaultGroupSize)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, defaultSuspectAfter)
	c.RetryInterval = cmp.Or(c.RetryInterval, defaultRetryInterval)
	c.MaxReservations = cmp.Or(c.MaxReservations, defaultMaxReservations)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, defaultMaxInFlight)
	c.MaxResultBytes = cmp.Or(c.MaxResultBytes, defaultMaxResultBytes)
	return c
}

// roster returns the member lists of the configuration.
func (c Config) roster() Roster {
	return Roster{Members: c.Members, Previous: c.Previous}
}
