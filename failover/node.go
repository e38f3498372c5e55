package failover

import (
	"time"

	"frosthub/idempotency"
	"frosthub/internal/prng"
)

// FailureDetector reports the state of other nodes. Its reports may be wrong:
// they affect when a node acts, but not safety.
type FailureDetector interface {
	// Alive reports whether a node responds.
	Alive(name string) bool
	// Dead reports whether a node is considered failed, not merely unresponsive
	// for a moment.
	Dead(name string) bool
	// Incarnation returns the highest known incarnation of a node, 0 if none is
	// known.
	Incarnation(name string) uint64
}

// Node executes one node's part of the protocol, both for the keys of requests
// that it serves (claims) and for those that it records for other nodes
// (reservations). Create it with New. It is not safe for concurrent use.
//
// Every method with a time parameter expects the time since the Unix epoch. A
// time before that of an earlier call is treated as the time of that call.
type Node struct {
	cfg      Config
	store    *idempotency.Store
	detector FailureDetector
	now      time.Duration
	random   prng.Source
	stats    Stats // only the counters; Node.Stats computes the rest
	// draining is set once the node no longer takes over requests.
	draining bool

	// configurationDigest is the digest of the member lists in use.
	configurationDigest uint64
	groupCache          map[idempotency.Key][][]string
	// fences holds the fences of the peers to which this node has transferred
	// records, by name.
	fences map[string]fenceState

	claims map[idempotency.Key]*claim
	// claimOrder has the claims in order of creation. Removed claims stay in it
	// until the next tick.
	claimOrder   []*claim
	reservations reservationTable
	// orphaned collects the reservations that are to be taken over in the
	// current tick.
	orphaned []*reservation

	highestBallot  uint64 // highest ballot number in any message
	lastTakeOverID uint64
	// lastIntentID is the ID of the latest intent in the store. It starts at a
	// value derived from the incarnation, since the store may still have
	// intents of an earlier incarnation.
	lastIntentID uint64

	outbox           []Envelope
	decisions        []RequestDecision
	processorQueries []ProcessorQuery
}

// New returns a node that records reservations in the store. The seed
// determines its random numbers: two nodes with equal seeds and equal events
// behave identically.
func New(cfg Config, store *idempotency.Store, detector FailureDetector, seed uint64, now time.Duration) *Node {
	cfg = cfg.withDefaults()
	return &Node{
		cfg:                 cfg,
		store:               store,
		detector:            detector,
		now:                 now,
		random:              prng.New(seed),
		configurationDigest: cfg.roster().configurationDigest(),
		groupCache:          map[idempotency.Key][][]string{},
		fences:              map[string]fenceState{},
		claims:              map[idempotency.Key]*claim{},
		reservations:        newReservationTable(),
		lastIntentID:        cfg.Incarnation << 32,
	}
}

// Ready returns the messages to send and the decisions on requests since the
// last call, in the order of their creation.
func (n *Node) Ready() ([]Envelope, []RequestDecision) {
	outbox, decisions := n.outbox, n.decisions
	n.outbox = nil
	n.decisions = nil
	return outbox, decisions
}

// Reconfigure replaces the member lists of the node; Roster.Next must have
// allowed the change. The node claims a key that it holds again before the
// request starts if the new group has not granted it.
func (n *Node) Reconfigure(now time.Duration, members, previous []Member) {
	n.advance(now)
	n.cfg.Members = members
	n.cfg.Previous = previous
	n.configurationDigest = n.cfg.roster().configurationDigest()
	clear(n.groupCache)
}

// StartDraining stops the node from taking over requests, because it is about
// to leave the cluster.
func (n *Node) StartDraining() { n.draining = true }

// Tick retransmits messages, ends claims that have timed out, and takes over
// requests whose holders are suspected.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	n.tickClaims()
	n.tickReservations()
	n.takeOverOrphaned()
}

// advance sets the clock, which never moves backwards.
func (n *Node) advance(now time.Duration) { n.now = max(n.now, now) }

// send queues a message. A message to this node itself is processed at once.
func (n *Node) send(to string, message Message) {
	switch message.Kind {
	case MsgAcquireReply, MsgStartReply, MsgFinishReply, MsgQueryReply, MsgCompleted:
		message.Fences = n.fencesOf(message.Key)
	}
	if to == n.cfg.Name {
		n.receive(to, n.cfg.Incarnation, &message)
		return
	}
	n.outbox = append(n.outbox, Envelope{To: to, Message: message})
}

// broadcast sends a message under the claim's ballot to the members that have
// not voted in the claim's current state.
func (n *Node) broadcast(claim *claim, message Message) {
	claim.lastSentAt = n.now
	message.Key = claim.key
	message.Ballot = claim.ballot
	for _, name := range n.membersOf(claim.key) {
		if _, voted := claim.votes[name]; !voted {
			n.send(name, message)
		}
		// This node's own vote may have ended the claim or replaced its ballot.
		if n.claims[claim.key] != claim || claim.ballot != message.Ballot {
			return
		}
	}
}
