package main

import (
	"math/rand/v2"
	"time"

	"frosthub/internal/harness"
)

// randomStream tells the random numbers of this simulation from those of others with the same seed.
const randomStream = 26

// fleet is one run.
type fleet struct {
	config
	harness.EventQueue // the simulated time
	random             *rand.Rand
	nodes              []*node
	served             [][]float64 // requests, by handler and bucket of time
	requests           int
	attempts           int
}

// simulate runs a fleet to the end.
func simulate(cfg config) *fleet {
	f := newFleet(cfg)
	f.After(outageAt, f.loseAll)
	f.arrive()
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

// newFleet returns a fleet whose nodes all run.
func newFleet(cfg config) *fleet {
	f := &fleet{
		config: cfg,
		random: rand.New(rand.NewPCG(cfg.seed, randomStream)),
		served: make([][]float64, len(handlers)),
	}
	for i := range f.served {
		f.served[i] = make([]float64, simEnd/bucket+1)
	}
	for i := range cfg.nodes {
		n := &node{index: i, returnAt: firstReturn + f.randomSpan(returnSpread)}
		if f.random.Float64() < cfg.lost {
			n.returnAt = 0
		}
		f.nodes = append(f.nodes, n)
		f.start(n)
		n.established = true
	}
	return f
}

// loseAll is the outage: all nodes lose power, and most return later.
func (f *fleet) loseAll() {
	for _, n := range f.nodes {
		f.stop(n)
		if n.returnAt > 0 {
			f.After(n.returnAt-f.Now, func() {
				f.start(n)
				f.load(n)
			})
		}
	}
}

// randomSpan returns a random time up to a longest.
func (f *fleet) randomSpan(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest) + 1))
}
