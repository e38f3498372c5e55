package failover

import (
	"cmp"
	"slices"
	"time"
)

// takenOverFlag marks IDs of requests that another node has read.
const takenOverFlag = 1 << 63

// incarnationShift leaves room for the count of an incarnation's take-overs.
const incarnationShift = 40

// IsTakenOver reports whether an ID is that of a request which was taken over
// from another node.
func IsTakenOver(id uint64) bool { return id >= takenOverFlag }

func (n *Node) nextTakeOverID() uint64 {
	n.lastTakeOverID++
	return takenOverFlag | n.cfg.Incarnation<<incarnationShift | n.lastTakeOverID
}

// checkHolder has a request that isn't started taken over if its holder seems
// lost and this node is the one to do so.
func (n *Node) checkHolder(reservation *reservation) {
	if !n.suspects(reservation.ballot) {
		reservation.suspectedAt = 0
		return
	}
	if reservation.suspectedAt == 0 {
		reservation.suspectedAt = n.now
	}
	if !n.mayTakeOver(reservation) {
		return
	}
	delay := time.Duration(n.successorRank(reservation)) * successorDelay
	if n.now-reservation.suspectedAt >= delay {
		n.orphaned = append(n.orphaned, reservation)
	}
}

// mayTakeOver reports whether this node may take over a request whose holder
// seems lost.
func (n *Node) mayTakeOver(reservation *reservation) bool {
	claim := n.claims[reservation.key]
	if claim != nil && !claim.otherHolds() || n.draining {
		return false
	}
	wanted := claim != nil || len(reservation.waiters) > 0
	if !wanted && !n.cfg.ResumeUnclaimed {
		return false
	}
	// A holder of a replayable request that is merely slow runs it itself:
	// nothing would keep both from running it.
	return wanted || !reservation.replayable || n.peers.Dead(reservation.ballot.Node)
}

// successorRank returns the number of live members that come before this node in
// the order in which they take over a key.
func (n *Node) successorRank(reservation *reservation) int {
	rank := 0
	for _, name := range n.membersOf(reservation.key) {
		if name == n.cfg.Name {
			break
		}
		if n.peers.Alive(name) {
			rank++
		}
	}
	return rank
}

// takeOverOrphaned takes over the requests that this tick has found, by weight
// and then by the time left, as far as there is room.
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
		reservation.suspectedAt = n.now
		n.takeOver(reservation)
	}
	n.orphaned = n.orphaned[:0]
}

// takeOver claims a key above its holder, which is lost or leaves.
func (n *Node) takeOver(reservation *reservation) {
	claim := n.claims[reservation.key]
	if claim == nil {
		claim = n.newClaim(reservation.key, reservation.made)
	} else if claim.originalID != 0 {
		claim.demoteOriginal()
	}
	claim.work = reservation.work
	claim.work.Replayable = reservation.replayable
	claim.replayable = reservation.replayable
	claim.deadline = reservation.deadline
	claim.originalID = n.nextTakeOverID()
	claim.takenOver = true
	claim.originalNotified = false
	claim.attempts = 0
	n.acquire(claim, true)
}
