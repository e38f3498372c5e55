package failover

import (
	"maps"
	"slices"
	"time"

	"frosthub/idempotency"
)

// reservation is the record that this node, as a member of a key's group, keeps
// for the holder of the key.
type reservation struct {
	key        idempotency.Key
	ballot     Ballot        // ballot to which the key is granted
	madeAt     time.Duration // when the client created the request, since the Unix epoch; 0 if not specified
	deadline   time.Duration // when the client timeout expires
	work       Work
	replayable bool

	// started: the holder has announced that it is about to run the request.
	started bool
	// startDurable: the record of the start is on disk.
	startDurable bool
	// finishing: the outcome is being written to disk.
	finishing bool
	// finished (replayable): the request has finished with result.
	finished bool
	result   []byte

	intentID   uint64          // ID of the intent in the store; 0 if there is none
	runID      uint64          // ID of the request at the holder's processor; 0 if there is none
	lastNotice uint64          // sequence number of the last notice that the holder has read from its processor
	waiters    map[string]bool // nodes to notify of the outcome

	suspectedSince time.Duration // since when the holder is suspected, 0 if it is not
	queriedAt      time.Duration // when the holder's processor was last queried, 0 if never

	// transferred: a peer has transferred the reservation. This node may have
	// had the outcome and lost it, and has granted the key to no ballot itself.
	transferred bool
	// otherBallots (transferred) are lower ballots whose starts other peers
	// have recorded.
	otherBallots []Ballot
}

// processorRun identifies a run at the processor of a node.
type processorRun struct {
	node string
	id   uint64
}

func (r *reservation) processorRun() processorRun {
	return processorRun{node: r.ballot.Node, id: r.runID}
}

// reservationTable holds the reservations of a node.
type reservationTable struct {
	byKey    map[idempotency.Key]*reservation
	byIntent map[uint64]*reservation
	// byRun has the started reservations, for which the holder's processor may
	// be queried.
	byRun map[processorRun]*reservation
	// order has the reservations in order of creation. Removed reservations
	// stay in it until the next tick.
	order []*reservation

	replayableCount int
	resultBytes     int // total size of the results of replayable reservations
}

func newReservationTable() reservationTable {
	return reservationTable{
		byKey:    map[idempotency.Key]*reservation{},
		byIntent: map[uint64]*reservation{},
		byRun:    map[processorRun]*reservation{},
	}
}

func (t *reservationTable) get(key idempotency.Key) *reservation { return t.byKey[key] }

func (t *reservationTable) contains(reservation *reservation) bool {
	return t.byKey[reservation.key] == reservation
}

func (t *reservationTable) add(key idempotency.Key) *reservation {
	created := &reservation{key: key}
	t.byKey[key] = created
	t.order = append(t.order, created)
	return created
}

func (t *reservationTable) addReplayable(key idempotency.Key) *reservation {
	created := t.add(key)
	created.replayable = true
	t.replayableCount++
	return created
}

func (t *reservationTable) remove(reservation *reservation) {
	if reservation.replayable {
		t.replayableCount--
		t.resultBytes -= len(reservation.result)
	}
	delete(t.byIntent, reservation.intentID)
	if run := reservation.processorRun(); t.byRun[run] == reservation {
		delete(t.byRun, run)
	}
	delete(t.byKey, reservation.key)
}

// nextIntentID returns a new ID for an intent in the store.
func (n *Node) nextIntentID() uint64 {
	n.lastIntentID++
	return n.lastIntentID
}

// MarkDurable reports that the writes of the store are durable up to a sequence
// number.
func (n *Node) MarkDurable(now time.Duration, seq uint64) {
	n.advance(now)
	n.applyStoreOutcomes(n.store.MarkDurable(seq))
}

// DiskFailed reports that the disk accepts no more writes: the node records
// nothing from then on.
func (n *Node) DiskFailed(now time.Duration) {
	n.advance(now)
	n.applyStoreOutcomes(n.store.MarkDiskFailed())
}

// applyStoreOutcomes carries out the decisions of the store on intents.
func (n *Node) applyStoreOutcomes(outcomes []idempotency.Outcome) {
	for _, outcome := range outcomes {
		reservation := n.reservations.byIntent[outcome.ID]
		if reservation == nil {
			continue
		}
		reply := Message{Key: reservation.key, Ballot: reservation.ballot}
		switch outcome.Decision {
		case idempotency.Start:
			reservation.startDurable = true
			reply.Kind = MsgStartReply
			reply.Vote = VoteGranted
			n.send(reservation.ballot.Node, reply)
		case idempotency.Completed, idempotency.Replay:
			n.reservations.remove(reservation)
			reply.Kind = MsgFinishReply
			reply.Vote = VoteGranted
			n.send(reservation.ballot.Node, reply)
			n.notifyWaiters(reservation, idempotency.EntryResult, outcome.Result)
		case idempotency.StoreFailed:
			n.reservations.remove(reservation)
			reply.Kind = MsgStartReply
			reply.Vote = VoteFull
			n.send(reservation.ballot.Node, reply)
		}
	}
}

// notifyWaiters sends the outcome to the nodes that requested or queried the
// key while the request was in flight.
func (n *Node) notifyWaiters(reservation *reservation, kind idempotency.EntryKind, result []byte) {
	for _, name := range slices.Sorted(maps.Keys(reservation.waiters)) {
		n.send(name, Message{
			Kind:    MsgCompleted,
			Key:     reservation.key,
			Ballot:  reservation.ballot,
			Vote:    VoteFinished,
			Outcome: kind,
			Result:  result,
		})
	}
}

// tickReservations runs the timers of each reservation, in order of creation.
func (n *Node) tickReservations() {
	reservations := n.reservations.order
	n.reservations.order = nil // collects reservations that are created meanwhile
	remaining := reservations[:0]
	for _, reservation := range reservations {
		if n.reservations.contains(reservation) {
			n.tickReservation(reservation)
			remaining = append(remaining, reservation)
		}
	}
	n.reservations.order = append(remaining, n.reservations.order...)
}

// tickReservation checks whether the holder is lost, and removes an expired
// reservation.
func (n *Node) tickReservation(reservation *reservation) {
	expired := n.now > reservation.deadline
	switch {
	case reservation.finished:
		if expired {
			n.reservations.remove(reservation)
		}
	case reservation.started:
		n.scheduleProcessorQuery(reservation)
		if n.now > reservation.deadline+outcomeUnknownDelay && n.suspects(reservation.ballot) {
			n.store.MarkOutcomeUnknown(n.now, reservation.key)
			n.reservations.remove(reservation)
		}
	case expired:
		n.reservations.remove(reservation)
	default:
		n.checkHolder(reservation)
	}
}
