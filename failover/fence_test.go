package failover

import (
	"testing"
	"time"

	"frosthub/idempotency"
)

// TestFencing guards against a start that runs on a void confirmation: a node
// confirms a start, loses its disk and is restored by peers that never received
// the start. The holder must not add that confirmation to the one of a peer, so
// a fence voids it. The random schedules rarely produce this case.
func TestFencing(t *testing.T) {
	t.Cleanup(func() { disabledRule = 0 })
	ranTwice := map[safetyRule]int{}
	for _, disabledRule = range []safetyRule{0, ruleFencing} {
		for seed := range uint64(60) {
			if simulateLostConfirmation(seed).violation != "" {
				ranTwice[disabledRule]++
			}
		}
	}
	if ranTwice[0] > 0 || ranTwice[ruleFencing] == 0 {
		t.Error("clusters of 60 with a violation, by disabled rule (0: none): ", ranTwice)
	}
	t.Log(ranTwice)
}

// simulateLostConfirmation simulates a holder and a group of three. One member
// loses its disk; the links between the other two members, and from both to the
// holder, are cut before the holder starts.
func simulateLostConfirmation(seed uint64) *simCluster {
	cluster := newSimCluster(seed, 4, disksLost)
	cluster.disableFaults()
	key := idempotency.Key{13: 1}
	cluster.keys[key] = &keyRecord{}
	group := cluster.nodes[0].stateMachine.membersOf(key)
	outdated, successor, witness := cluster.node(group[0]), cluster.node(group[1]), cluster.node(group[2])
	var holder *simNode
	for _, node := range cluster.nodes {
		if node != outdated && node != successor && node != witness {
			holder = node
		}
	}
	setCut := func(x, y *simNode, cut bool) {
		cluster.cut[link{x.index, y.index}] = cut
		cluster.cut[link{y.index, x.index}] = cut
	}
	holder.after(0, func() {
		holder.stateMachine.Claim(cluster.Now, key, 0, 1, Work{Handler: "file-claim", Left: int64(2 * time.Second)})
	})
	holder.requests[1] = key
	witness.stateMachine.cfg.ResumeUnclaimed = false // only the successor takes over the request
	var cutWhenHeld func()
	cutWhenHeld = func() { // waits until all members have granted the key and the request has not started
		if claim := holder.stateMachine.claims[key]; claim == nil || claim.state != claimHeld {
			cluster.After(50*time.Microsecond, cutWhenHeld)
			return
		}
		setCut(holder, successor, true)
		setCut(holder, witness, true)
		setCut(successor, witness, true)
	}
	cluster.After(0, cutWhenHeld)
	cluster.After(20*time.Millisecond, func() {
		outdated.up = false
		outdated.disk = nil
		outdated.diskOutdated = true
		outdated.fencesOnDisk = nil
		cluster.After(5*time.Millisecond, outdated.start)
	})
	cluster.After(400*time.Millisecond, func() { setCut(holder, witness, false) })
	for cluster.violation == "" && cluster.Next(simStart+1200*time.Millisecond) {
	}
	return cluster
}
