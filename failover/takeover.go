package failover

import (
	"cmp"
	"slices"
	"time"
)

// takenOverFlag marks the IDs of requests that were read by another node.
const takenOverFlag = 1 << 63

// incarnationShift leaves room for the number of take-overs in an incarnation.
const incarnationShift = 40

// IsTakenOver reports whether an ID is that of a request that was taken over
// from another node.
func IsTakenOver(id uint64) bool { return id >= takenOverFlag }

func (n *Node) nextTakeOverID() uint64 {
	n.lastTakeOverID++
	return takenOverFlag | n.cfg.Incarnation<<incarnationShift | n.lastTakeOverID
}

// checkHolder marks the reservation of a request that has not started for
// take-over if its holder is suspected and this node is to be the successor.
func (n *Node) checkHolder(reservation *reservation) {
	if !n.suspects(reservation.ballot) {
		reservation.suspectedSince = 0
		return
	}
	if reservation.suspectedSince == 0 {
		reservation.suspectedSince = n.now
	}
	if !n.mayTakeOver(reservation) {
		return
	}
	delay := time.Duration(n.successorRank(reservation)) * successorDelay
	if n.now-reservation.suspectedSince >= delay {
		n.orphaned = append(n.orphaned, reservation)
	}
}

// mayTakeOver reports whether this node may take over a request whose holder is
// suspected.
func (n *Node) mayTakeOver(reservation *reservation) bool {
	claim := n.claims[reservation.key]
	if claim != nil && !claim.waitsOrQueries() || n.draining {
		return false
	}
	wanted := claim != nil || len(reservation.waiters) > 0
	if !wanted && !n.cfg.ResumeUnclaimed {
		return false
	}
	// A holder of a replayable request that is merely slow runs the request
	// itself: nothing would prevent both nodes from running it.
	return wanted || !reservation.replayable || n.detector.Dead(reservation.ballot.Node)
}

// successorRank returns the number of live members that precede this node in
// the order of take-over of a key.
func (n *Node) successorRank(reservation *reservation) int {
	rank := 0
	for _, name := range n.membersOf(reservation.key) {
		if name == n.cfg.Name {
			break
		}
		if n.detector.Alive(name) {
			rank++
		}
	}
	return rank
}

// takeOverOrphaned takes over the requests collected in the current tick, by
// weight and then by remaining time, as far as Config.MaxInFlight permits.
func (n *Node) takeOverOrphaned() {
	if len(n.orphaned) == 0 {
		return
	}
	room := n.cfg.MaxInFlight
	for _, claim := range n.claims {
		if claim.takenOver {
			room--
		}
	}
	slices.SortStableFunc(n.orphaned, func(x, y *reservation) int {
		return cmp.Or(
			cmp.Compare(y.work.Weight, x.work.Weight),
			cmp.Compare(x.deadline, y.deadline),
			slices.Compare(x.key[:], y.key[:]),
		)
	})
	for i, reservation := range n.orphaned {
		if i >= room {
			break
		}
		reservation.suspectedSince = n.now
		n.takeOver(reservation)
	}
	n.orphaned = n.orphaned[:0]
}

// takeOver requests a key under a higher ballot than that of its holder, which
// is lost or leaves.
func (n *Node) takeOver(reservation *reservation) {
	claim := n.claims[reservation.key]
	if claim == nil {
		claim = n.newClaim(reservation.key, reservation.madeAt)
	} else if claim.originalID != 0 {
		claim.demoteOriginal()
	}
	claim.work = reservation.work
	claim.work.Replayable = reservation.replayable
	claim.replayable = reservation.replayable
	claim.deadline = reservation.deadline
	claim.originalID = n.nextTakeOverID()
	claim.takenOver = true
	claim.originalDecided = false
	claim.ballotAttempts = 0
	n.acquire(claim, true)
}
