package failover

import (
	"testing"
	"time"

	"frosthub/idempotency"

	"github.com/google/go-cmp/cmp"
)

// TestClustersWithFaults checks that under any faults no key runs twice, and
// that all clients of a key get the same answer.
func TestClustersWithFaults(t *testing.T) {
	decisions := map[idempotency.Decision]int{}
	var runs, requests, joined int
	var found int64
	for seed := range uint64(*schedules) {
		cluster := simulate(seed, 1200*time.Millisecond, standardFaults)
		cluster.requireNoViolation(t)
		runs += cluster.runs
		joined += cluster.joinedReplayables
		found += cluster.foundAtProcessors
		for decision, count := range cluster.decisions {
			decisions[decision] += count
		}
		for _, record := range cluster.keys {
			requests += record.requests
		}
	}
	t.Logf("%d clusters, %d requests, %d runs, %d outcomes reported by processors, %d replayable requests joined, decisions %v",
		*schedules, requests, runs, found, joined, decisions)
	if found == 0 || joined == 0 {
		t.Error("no outcome was reported by a processor, or no replayable request joined")
	}
	for _, decision := range []idempotency.Decision{
		idempotency.Completed,
		idempotency.Replay,
		idempotency.OutcomeUnknown,
		TakenOver,
		NoQuorum,
	} {
		if decisions[decision] == 0 {
			t.Errorf("no request got decision %d", decision)
		}
	}
}

// TestClustersWithoutFaults checks that without faults each request is answered
// soon, even if two nodes claim a key at the same time.
func TestClustersWithoutFaults(t *testing.T) {
	const span = 1200 * time.Millisecond
	for seed := range uint64(*schedules / 10) {
		cluster := simulate(faultFreeSeeds+seed, span, standardFaults)
		for id, at := range cluster.requestedAt {
			if at < simStart+span-500*time.Millisecond && !cluster.answered[id] {
				cluster.recordViolation("request %d, sent at %s, was not answered", id, at-simStart)
				cluster.requireNoViolation(t)
			}
		}
	}
}

// TestMembersChange checks that no key runs twice while nodes adopt another
// member list one by one, under the same faults.
func TestMembersChange(t *testing.T) {
	finished, runs := 0, 0
	for seed := range uint64(*schedules / 8) {
		cluster := simulate(seed, 2*time.Second, membersChange)
		cluster.requireNoViolation(t)
		finished += cluster.finishedTransition
		runs += cluster.runs
	}
	t.Logf("%d clusters, %d runs, %d nodes finished the membership change", *schedules/8, runs, finished)
	if finished == 0 {
		t.Error("no node finished the membership change")
	}
}

// TestDisksLost checks that peers restore nodes whose disks have lost confirmed
// writes. Under the same faults no key runs twice, and all clients of a key get
// the same answer.
func TestDisksLost(t *testing.T) {
	lost, refills, runs := 0, 0, 0
	for seed := range uint64(*schedules / 4) {
		cluster := simulate(seed, 2*time.Second, disksLost)
		cluster.requireNoViolation(t)
		lost += cluster.lostDisks
		refills += cluster.finishedRefills
		runs += cluster.runs
	}
	t.Logf("%d clusters, %d runs, %d disks lost records, %d nodes were restored", *schedules/4, runs, lost, refills)
	if refills < lost/10 {
		t.Error("fewer than a tenth of the nodes that lost records were restored")
	}
}

// TestSimulationIsDeterministic checks that two simulations with the same seed
// have identical traces.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(30) {
		scenario := []scenario{standardFaults, membersChange, disksLost}[seed%3]
		first := simulate(seed, 1200*time.Millisecond, scenario)
		second := simulate(seed, 1200*time.Millisecond, scenario)
		if diff := cmp.Diff(first.trace, second.trace); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}
