package failover

import (
	"time"

	"frosthub/idempotency"
)

// HandOff requests that another member take over a request that this node holds
// and has not started; this node's requests for the key then wait for the run
// on that member. It reports whether the request was handed off: this node must
// hold the key and have admitted the request, and another member must be alive.
func (n *Node) HandOff(now time.Duration, key idempotency.Key, id uint64) bool {
	n.advance(now)
	claim := n.claims[key]
	if claim == nil || claim.originalID != id || claim.state != claimHeld || claim.takenOver {
		return false
	}
	successor := n.firstLivePeer(key)
	if successor == "" {
		return false
	}
	work := n.currentWork(claim)
	n.send(successor, Message{
		Kind:       MsgHandOff,
		Key:        key,
		Ballot:     claim.ballot,
		Made:       claim.madeAt,
		Work:       &work,
		Replayable: claim.replayable,
	})
	claim.demoteOriginal()
	n.enterState(claim, claimWaiting)
	return true
}

// firstLivePeer returns the first other member of a key's group that is alive,
// or "" if none is.
func (n *Node) firstLivePeer(key idempotency.Key) string {
	for _, name := range n.membersOf(key) {
		if name != n.cfg.Name && n.detector.Alive(name) {
			return name
		}
	}
	return ""
}

// handleHandOff takes over a request that its holder hands off.
func (n *Node) handleHandOff(message *Message) {
	reservation := n.reservations.get(message.Key)
	if reservation == nil || reservation.started || reservation.ballot != message.Ballot {
		return
	}
	if n.claims[message.Key] == nil {
		n.takeOver(reservation)
	}
}
