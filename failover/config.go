package failover

import (
	"cmp"
	"time"
)

// Config holds the identity of a node, the cluster that it belongs to and its
// limits. A zero limit or interval stands for the default.
type Config struct {
	// Name is the node's name in the member lists.
	Name string
	// Incarnation numbers the node's processes: each start has a higher one.
	Incarnation uint64
	// Members is the member list in force.
	Members []Member
	// Previous is the member list before it, while the members change. A
	// majority of both groups is then needed. Empty when nothing changes.
	Previous []Member

	// GroupSize is the number of nodes in the group of a key. Default 3.
	GroupSize int
	// SuspectAfter is how long a vote waits for members that don't answer
	// before it is decided without them. Default 300 ms.
	SuspectAfter time.Duration
	// RetryInterval is the time between repetitions of an unanswered message.
	// Default 60 ms.
	RetryInterval time.Duration
	// ResumeUnclaimed has requests of lost holders taken over even though no
	// caller has asked for them again.
	ResumeUnclaimed bool

	// MaxNotes is the number of keys that this node reserves for other nodes
	// at most. Replayable requests may use half of it. Default 4096.
	MaxNotes int
	// MaxInFlight is the number of requests that this node has taken over and
	// not finished, at most; the highest weight goes first. Default 64.
	MaxInFlight int
	// MaxResultBytes bounds the results of replayable requests that this node
	// keeps for others, in bytes. Default 1 MiB.
	MaxResultBytes int
}

// Defaults of Config.
const (
	defaultGroupSize     = 3
	defaultSuspectAfter  = 300 * time.Millisecond
	defaultRetryInterval = 60 * time.Millisecond
	defaultMaxNotes      = 4096
	// A few rounds of a node's cores: more would queue here instead of at
	// peers that may run them sooner.
	defaultMaxInFlight    = 64
	defaultMaxResultBytes = 1 << 20
)

// Limits of a claim.
const (
	// maxAttempts is the number of ballots that a claim tries in a row.
	maxAttempts = 8
	// finishTimeout is how long an outcome is repeated to a group that doesn't
	// confirm it.
	finishTimeout = 10 * time.Second
	// resolveTimeout is how long a group is asked for an unknown outcome that
	// no caller waits for.
	resolveTimeout = time.Second
)

// Replayable requests, which may run twice and therefore needn't wait for the
// group.
const (
	// replayableClaimTimeout is how long the group may take to grant one. Then
	// the request is served as without a cluster.
	replayableClaimTimeout = 50 * time.Millisecond
	// replayableJoinShare is the share of its remaining time for which one
	// waits for the run of another node before it runs here as well.
	replayableJoinShare = 0.25
)

// Reservations that a lost holder leaves behind.
const (
	// successorDelay is the head start that each live member of a group gives
	// the one before it, so that they don't compete to take a request over.
	successorDelay = 150 * time.Millisecond
	// unknownAfter is how long after its deadline a started request without an
	// outcome counts as unknown for good.
	unknownAfter = 30 * time.Second
	// processorQueryDelay is how long a holder must seem lost before its
	// processor is asked for outcomes: longer than a short pause.
	processorQueryDelay = 250 * time.Millisecond
	// processorQueryInterval is the time between queries for the same request.
	processorQueryInterval = 250 * time.Millisecond
)

// maxCachedGroups bounds the cache of groups: computing one takes a hash per
// member.
const maxCachedGroups = 4096

// withDefaults returns the configuration with defaults in place of zero limits.
func (c Config) withDefaults() Config {
	c.GroupSize = cmp.Or(c.GroupSize, defaultGroupSize)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, defaultSuspectAfter)
	c.RetryInterval = cmp.Or(c.RetryInterval, defaultRetryInterval)
	c.MaxNotes = cmp.Or(c.MaxNotes, defaultMaxNotes)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, defaultMaxInFlight)
	c.MaxResultBytes = cmp.Or(c.MaxResultBytes, defaultMaxResultBytes)
	return c
}

// roster returns the member lists of the configuration.
func (c Config) roster() Roster {
	return Roster{Members: c.Members, Previous: c.Previous}
}
