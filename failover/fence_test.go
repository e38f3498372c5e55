package failover

import (
	"testing"
	"time"

	"frosthub/idempotency"
)

// TestFencing: a node confirms a start, loses its disk and is restored by peers
// that never heard of the start. The holder may add that confirmation to the one
// of a peer only if no fence voids it. The random schedules hardly ever come to
// this.
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
		t.Error("ran twice in so many of 60, with the rule and without it: ", ranTwice)
	}
	t.Log(ranTwice)
}

// simulateLostConfirmation plays a cluster of a holder and a group of three: one
// member loses its disk, and the links between the other two and to the holder
// are cut before the holder starts.
func simulateLostConfirmation(seed uint64) *simCluster {
	cluster := newSimCluster(seed, 4, disksLost)
	cluster.disableFaults()
	key := idempotency.Key{13: 1}
	cluster.keys[key] = &keyRecord{}
	group := cluster.nodes[0].machine.membersOf(key)
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
		holder.machine.Claim(cluster.Now, key, 0, 1, Work{Handler: "file-claim", Left: int64(2 * time.Second)})
	})
	holder.requests[1] = key
	witness.machine.cfg.ResumeUnclaimed = false // it leaves the request to the successor
	var cutWhenHeld func()
	cutWhenHeld = func() { // all have granted the key, and the request hasn't started
		if claim := holder.machine.claims[key]; claim == nil || claim.state != claimHeld {
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
