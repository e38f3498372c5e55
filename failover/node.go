package failover

import (
	"time"

	"frosthub/idempotency"
	"frosthub/internal/prng"
)

// FailureDetector is a failure detector: what is believed of other nodes. Beliefs may be
// wrong: they decide when a node acts, not what is safe.
type FailureDetector interface {
	// Alive reports whether a node answers.
	Alive(name string) bool
	// Dead reports whether a node is believed to have failed, not merely to be
	// silent for a moment.
	Dead(name string) bool
	// Incarnation returns the highest known incarnation of a node, 0 if none is
	// known.
	Incarnation(name string) uint64
}

// Node is one node's part of the protocol, for the keys of requests that it
// serves (claims) and for those that it records for others (reservations).
// Create it with New. It must not be used concurrently.
//
// Every call that takes the time expects the time since 1970; a time before
// that of an earlier call counts as the earlier one.
type Node struct {
	cfg    Config
	store  *idempotency.Store
	peers  FailureDetector
	now    time.Duration
	random prng.Source
	stats  Stats // only the counters; Node.Stats computes the rest
	// draining nodes take nothing over any more.
	draining bool

	// configuration is the digest of the member lists in use.
	configuration uint64
	groupCache    map[idempotency.Key][][]string
	// fences are those of peers to which this node has transferred records.
	fences map[string]fenceState

	claims map[idempotency.Key]*claim
	// claimOrder has the claims in order of creation. Removed ones stay in it
	// until the next tick.
	claimOrder   []*claim
	reservations reservationTable
	// orphaned collects, during a tick, reservations to be taken over.
	orphaned []*reservation

	highestBallot  uint64 // seen in any message
	lastTakeOverID uint64
	// lastIntentID numbers intents in the store, which may still have some of
	// an earlier incarnation.
	lastIntentID uint64

	outbox           []Envelope
	outcomes         []RequestDecision
	processorQueries []ProcessorQuery
}

// New returns a node that records on the store. The seed determines its random
// draws; two nodes with equal seeds and equal events behave alike.
func New(cfg Config, store *idempotency.Store, peers FailureDetector, seed uint64, now time.Duration) *Node {
	cfg = cfg.withDefaults()
	return &Node{
		cfg:           cfg,
		store:         store,
		peers:         peers,
		now:           now,
		random:        prng.New(seed),
		configuration: cfg.roster().configurationDigest(),
		groupCache:    map[idempotency.Key][][]string{},
		fences:        map[string]fenceState{},
		claims:        map[idempotency.Key]*claim{},
		reservations:  newReservationTable(),
		lastIntentID:  cfg.Incarnation << 32,
	}
}

// Ready returns the messages to send and the decisions on requests since the
// last call, in the order in which they came up.
func (n *Node) Ready() ([]Envelope, []RequestDecision) {
	outbox, outcomes := n.outbox, n.outcomes
	n.outbox = nil
	n.outcomes = nil
	return outbox, outcomes
}

// Reconfigure has the node use other member lists from now on; Roster.Next must
// have allowed them. A key that it holds is claimed again before its request
// starts.
func (n *Node) Reconfigure(now time.Duration, members, previous []Member) {
	n.advance(now)
	n.cfg.Members = members
	n.cfg.Previous = previous
	n.configuration = n.cfg.roster().configurationDigest()
	clear(n.groupCache)
}

// StartDraining has the node take nothing over any more: it is about to leave.
func (n *Node) StartDraining() { n.draining = true }

// Tick does what is due: repeats messages, ends claims that time out, and takes
// over requests whose holders seem lost.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	n.tickClaims()
	n.tickReservations()
	n.takeOverOrphaned()
}

// advance moves the clock, which never goes back.
func (n *Node) advance(now time.Duration) { n.now = max(n.now, now) }

// send queues a message. One to this node itself is processed at once.
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

// broadcast sends a message under the claim's ballot to the members that haven't
// voted on its present step.
func (n *Node) broadcast(claim *claim, message Message) {
	claim.lastSentAt = n.now
	message.Key = claim.key
	message.Ballot = claim.ballot
	for _, name := range n.membersOf(claim.key) {
		if _, voted := claim.votes[name]; !voted {
			n.send(name, message)
		}
		// This node's own vote may have ended the claim or its ballot.
		if n.claims[claim.key] != claim || claim.ballot != message.Ballot {
			return
		}
	}
}
