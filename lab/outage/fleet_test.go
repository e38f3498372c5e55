package main

import (
	"fmt"
	"testing"
	"time"
)

// runSmallFleet returns the result of a small fleet under ten times its load.
func runSmallFleet(returnStrategy strategy, lost float64) result {
	return simulate(config{
		nodes:      6,
		lost:       lost,
		loadFactor: 10,
		floodFor:   3 * time.Second,
		strategy:   returnStrategy,
		seed:       2,
		witnesses:  4,
	}).result()
}

// TestReturn checks that a small fleet under ten times its load serves again what it did before, by itself, also where some nodes never return.
func TestReturn(t *testing.T) {
	for _, lost := range []float64{0, 0.2} {
		t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
			r := runSmallFleet(queryPeers, lost)
			for i, recoveryTime := range r.recoveryTimes {
				if recoveryTime == 0 && lost == 0 {
					t.Errorf("%s never comes back: %+v", handlers[i].name, r)
				}
			}
			if r.firstSeconds < 0.5 {
				t.Errorf("with %.1f lost: %.2f of the weight in the first ten seconds", lost, r.firstSeconds)
			}
			if r.maxMessages > 60 {
				t.Errorf("%d messages for one node's return", r.maxMessages)
			}
		})
	}
}

// TestOtherStrategies checks that a fleet whose nodes wait for all others, or run all that comes, does not come back.
func TestOtherStrategies(t *testing.T) {
	if r := runSmallFleet(awaitAll, 0.2); r.recoveryTimes[2] > 0 {
		t.Errorf("nodes that wait for those that never return serve claims: %+v", r)
	}
	if r := runSmallFleet(unlimited, 0); r.firstSeconds > 0.5*runSmallFleet(queryPeers, 0).firstSeconds {
		t.Errorf("without limits %.2f is served in the first ten seconds", r.firstSeconds)
	}
}

// TestDeterminism checks that one seed is one run.
func TestDeterminism(t *testing.T) {
	first, second := runSmallFleet(queryPeers, 0), runSmallFleet(queryPeers, 0)
	if first.firstSeconds != second.firstSeconds || first.attempts != second.attempts {
		t.Error("another run of the same seed: ", first, second)
	}
}
