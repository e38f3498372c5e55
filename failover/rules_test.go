package failover

import (
	"testing"
	"time"
)

// TestRulesAreNeeded checks that the seeds of CI find a violation if one of the
// rules is disabled. This proves that the simulation can detect such faults.
func TestRulesAreNeeded(t *testing.T) {
	for _, test := range []struct {
		name     string
		disabled safetyRule
		scenario scenario
	}{
		{"start quorum", ruleStartQuorum, standardFaults},
		{"start ballot", ruleStartBallot, standardFaults},
		{"no grant after start", ruleNoGrantAfterStart, standardFaults},
		{"durable start", ruleDurableStart, standardFaults},
		{"previous group", rulePreviousGroup, membersChange},
		{"retry horizon", ruleRetryHorizon, membersChange},
		{"complete source", ruleCompleteSource, disksLost},
		{"transfer in flight", ruleTransferInFlight, disksLost},
		{"transfer expired", ruleTransferExpired, disksLost},
		{"all group peers", ruleAllGroupPeers, disksLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			disabledRule = test.disabled
			t.Cleanup(func() { disabledRule = 0 })
			for seed := range uint64(*schedules) {
				cluster := simulate(seed, 1200*time.Millisecond, test.scenario)
				if cluster.violation != "" {
					t.Logf("seed %d: %s", seed, cluster.violation)
					return
				}
			}
			t.Errorf("no seed finds a violation with rule %q disabled", test.name)
		})
	}
}
