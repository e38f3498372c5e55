package failover

import (
	"time"

	"frosthub/idempotency"
)

// HandOff has another member take over a request that this node holds and hasn't
// started; its requests wait for that. It reports whether it did: the request
// must be held and let in here, and another member must be alive.
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
	work := n.workNow(claim)
	n.send(successor, Message{
		Kind:       MsgHandOff,
		Key:        key,
		Ballot:     claim.ballot,
		Made:       claim.made,
		Work:       &work,
		Replayable: claim.replayable,
	})
	claim.demoteOriginal()
	n.enter(claim, claimWaiting)
	return true
}

// firstLivePeer returns the first other member of a key's group that is alive, ""
// if none is.
func (n *Node) firstLivePeer(key idempotency.Key) string {
	for _, name := range n.membersOf(key) {
		if name != n.cfg.Name && n.peers.Alive(name) {
			return name
		}
	}
	return ""
}

// handleHandOff takes over a request that its holder gives up.
func (n *Node) handleHandOff(message *Message) {
	reservation := n.reservations.get(message.Key)
	if reservation == nil || reservation.started || reservation.ballot != message.Ballot {
		return
	}
	if n.claims[message.Key] == nil {
		n.takeOver(reservation)
	}
}
