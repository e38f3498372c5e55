package main

import (
	"strconv"
	"time"

	"frosthub/recovery"
)

// What the disk of each node has after the outage, and what its peers remember of it: nothing was lost.
const (
	incarnationBefore = 1
	seqBefore         = 100
)

// load has a node that has returned read its store, and begin its recovery.
func (f *fleet) load(n *node) {
	loadingTime := f.randomSpan(maxLoadingTime)
	if f.strategy == serveImmediately || f.strategy == unlimited {
		f.After(loadingTime, func() { n.established = true })
		return
	}
	f.After(loadingTime, func() {
		n.recovery = recovery.New(f.recoveryConfig(n), uint64(n.index)*77+f.seed)
		n.recovery.StartLoading()
		n.recovery.DiskLoaded(f.Now, recovery.DiskState{Incarnation: incarnationBefore + 1, Seq: seqBefore})
		f.continueRecovery(n)
	})
}

// recoveryConfig returns whom a node asks, and how long it waits.
func (f *fleet) recoveryConfig(n *node) recovery.Config {
	cfg := recovery.Config{RetryHorizon: time.Hour}
	peers := f.witnesses
	if f.strategy == awaitAll {
		peers = len(f.nodes) - 1
		cfg.MajorityAfter = time.Hour
		cfg.DegradeAfter = time.Hour
	}
	for i := range peers {
		cfg.Others = append(cfg.Others, nodeName((n.index+1+i)%len(f.nodes)))
	}
	return cfg
}

func nodeName(index int) string { return strconv.Itoa(index) }

// nodeNamed returns the node of a name that nodeName made.
func (f *fleet) nodeNamed(name string) *node {
	index, err := strconv.Atoi(name)
	if err != nil {
		panic("outage: a name of no node: " + name)
	}
	return f.nodes[index]
}

// continueRecovery does what a node's recovery wants, now and at its deadlines.
func (f *fleet) continueRecovery(n *node) {
	process := n.recovery
	if process == nil {
		return
	}
	process.Tick(f.Now)
	for _, action := range process.Ready() {
		for _, name := range action.Query {
			f.query(n, name)
		}
	}
	n.established = process.Established()
	if n.established {
		return
	}
	f.After(max(simStep, process.NextDeadline()-f.Now), func() {
		if n.recovery == process && !n.established {
			f.continueRecovery(n)
		}
	})
}

// query asks a peer what it remembers of a node. A peer answers once it is back and has read its store.
func (f *fleet) query(n *node, peerName string) {
	process := n.recovery
	peer := f.nodeNamed(peerName)
	n.messages++
	f.After(f.randomSpan(maxNetworkDelay), func() {
		if !peer.up || peer.recovery == nil {
			return
		}
		peer.messages++
		f.After(f.randomSpan(maxNetworkDelay), func() {
			if n.recovery != process {
				return
			}
			remembered := recovery.PeerState{Incarnation: incarnationBefore, Seq: seqBefore}
			process.Receive(f.Now, peerName, recovery.Answer{PeerState: remembered})
			f.continueRecovery(n)
		})
	})
}
