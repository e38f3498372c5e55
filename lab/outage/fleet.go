package main

import (
	"math/rand/v2"
	"time"

	"frosthub/internal/harness"
)

// randomStream separates the random numbers of this simulation from those of other simulations with the same seed.
const randomStream = 26

// fleet is the state of one simulation run.
type fleet struct {
	config
	harness.EventQueue // simulated time and scheduled events
	random             *rand.Rand
	nodes              []*node
	served             [][]float64 // number of served requests, by handler and time bucket
	requests           int
	attempts           int
}

// simulate runs the simulation of a fleet until simEnd.
func simulate(cfg config) *fleet {
	f := newFleet(cfg)
	f.After(outageAt, f.cutPower)
	f.generateRequests()
	for now := time.Duration(0); now < simEnd; now += simStep {
		for f.Next(now) {
		}
		f.Now = now
		for _, n := range f.nodes {
			if n.up {
				f.step(n)
			}
		}
	}
	return f
}

// newFleet returns a fleet in which all nodes are up and established.
func newFleet(cfg config) *fleet {
	f := &fleet{
		config: cfg,
		random: rand.New(rand.NewPCG(cfg.seed, randomStream)),
		served: make([][]float64, len(handlers)),
	}
	for i := range f.served {
		f.served[i] = make([]float64, simEnd/bucketWidth+1)
	}
	for i := range cfg.nodes {
		n := &node{index: i, returnAt: firstReturn + f.randomDuration(returnSpread)}
		if f.random.Float64() < cfg.lostShare {
			n.returnAt = 0
		}
		f.nodes = append(f.nodes, n)
		f.start(n)
		n.established = true
	}
	return f
}

// cutPower starts the outage: all nodes lose power. It schedules the return of those that do return.
func (f *fleet) cutPower() {
	for _, n := range f.nodes {
		f.stop(n)
		if n.returnAt > 0 {
			f.After(n.returnAt-f.Now, func() {
				f.start(n)
				f.loadStore(n)
			})
		}
	}
}

// randomDuration returns a random duration between 0 and longest.
func (f *fleet) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest) + 1))
}
