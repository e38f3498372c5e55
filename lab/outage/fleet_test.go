package main

import (
	"fmt"
	"testing"
	"time"
)

// runSmallFleet simulates a small fleet under ten times its normal load.
func runSmallFleet(returnStrategy strategy, lostShare float64) result {
	return simulate(config{
		nodes:            6,
		lostShare:        lostShare,
		loadFactor:       10,
		overloadDuration: 3 * time.Second,
		strategy:         returnStrategy,
		seed:             2,
		peersPerNode:     4,
	}).result()
}

// TestReturn checks that a small fleet under ten times its normal load recovers its service without intervention, even if some nodes
// never return.
func TestReturn(t *testing.T) {
	for _, lostShare := range []float64{0, 0.2} {
		t.Run(fmt.Sprint(lostShare, " lost"), func(t *testing.T) {
			r := runSmallFleet(queryPeers, lostShare)
			for i, recoveryTime := range r.recoveryTimes {
				if recoveryTime == 0 && lostShare == 0 {
					t.Errorf("%s does not recover: %+v", handlers[i].name, r)
				}
			}
			if r.earlyService < 0.5 {
				t.Errorf("lost share %.1f: %.2f of the weight before the outage is served in the first ten seconds", lostShare, r.earlyService)
			}
			if r.maxMessages > 60 {
				t.Errorf("a node needed %d recovery messages, want at most 60", r.maxMessages)
			}
		})
	}
}

// TestOtherStrategies checks that a fleet does not recover if its nodes wait for all others or run without an overload controller.
func TestOtherStrategies(t *testing.T) {
	if r := runSmallFleet(awaitAll, 0.2); r.recoveryTimes[2] > 0 {
		t.Errorf("claims are served although each node waits for nodes that never return: %+v", r)
	}
	if r := runSmallFleet(unlimited, 0); r.earlyService > 0.5*runSmallFleet(queryPeers, 0).earlyService {
		t.Errorf("without limits, %.2f of the weight before the outage is served in the first ten seconds", r.earlyService)
	}
}

// TestDeterminism checks that runs with equal seeds have equal results.
func TestDeterminism(t *testing.T) {
	first, second := runSmallFleet(queryPeers, 0), runSmallFleet(queryPeers, 0)
	if first.earlyService != second.earlyService || first.attempts != second.attempts {
		t.Error("runs with equal seeds have different results:", first, second)
	}
}
