package failover

import (
	"testing"
	"time"

	"frosthub/idempotency"
)

// TestHandOff checks that exactly one other node takes over a request that its
// holder hands off, and that the request runs once.
func TestHandOff(t *testing.T) {
	for seed := range uint64(30) {
		cluster := newSimCluster(faultFreeSeeds+seed, 4, standardFaults)
		key := idempotency.Key{13: 1}
		cluster.keys[key] = &keyRecord{}
		holder := cluster.nodes[0]
		holdKey(cluster, holder, key, func() {
			delete(cluster.answered, 1) // its admission is not an answer
			if holder.stateMachine.HandOff(cluster.Now, key, 2) {
				t.Errorf("seed %d: handed off under the ID of another request", seed)
			}
			if !holder.stateMachine.HandOff(cluster.Now, key, 1) {
				t.Errorf("seed %d: not handed off", seed)
			}
			if state := holder.stateMachine.claims[key].state; state != claimWaiting {
				t.Errorf("seed %d: the claim is %s after the hand-off", seed, state)
			}
			if holder.stateMachine.HandOff(cluster.Now, key, 1) {
				t.Errorf("seed %d: handed off twice", seed)
			}
		})
		for cluster.Next(simStart + 500*time.Millisecond) {
		}
		cluster.requireNoViolation(t)
		if count := cluster.decisions[TakenOver]; count != 1 {
			t.Errorf("seed %d: taken over %d times", seed, count)
		}
		if !cluster.answered[1] {
			t.Errorf("seed %d: the request was not answered", seed)
		}
	}
}

// TestHandOffWithoutPeer checks that a request stays with its holder if no
// other member of the group is alive.
func TestHandOffWithoutPeer(t *testing.T) {
	cluster := newSimCluster(faultFreeSeeds, 4, standardFaults)
	key := idempotency.Key{13: 1}
	cluster.keys[key] = &keyRecord{}
	holder := cluster.nodes[0]
	holdKey(cluster, holder, key, func() {
		for _, peer := range cluster.nodes[1:] {
			peer.up = false
		}
		if holder.stateMachine.HandOff(cluster.Now, key, 1) {
			t.Error("handed off without a live peer")
		}
		if state := holder.stateMachine.claims[key].state; state != claimHeld {
			t.Errorf("the claim is %s, want held", state)
		}
	})
	for cluster.Next(simStart + 100*time.Millisecond) {
	}
}

// holdKey makes a node claim a key for request 1, and calls do when all members
// have granted the key. The request is not started.
func holdKey(cluster *simCluster, holder *simNode, key idempotency.Key, do func()) {
	holder.after(0, func() {
		holder.stateMachine.Claim(cluster.Now, key, 0, 1, Work{Handler: "file-claim", Left: int64(time.Second)})
	})
	holder.after(10*time.Millisecond, do) // longer than the maximum delay of a message and its reply
}
