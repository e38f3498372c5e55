package main

import (
	"strconv"
	"time"

	"frosthub/recovery"
)

// State of each node before the outage, which its disk and its peers still have completely afterwards.
const (
	incarnationBefore = 1
	seqBefore         = 100
)

// loadStore makes a node that has returned read its store and start its recovery.
func (f *fleet) loadStore(n *node) {
	loadingTime := f.randomDuration(maxLoadingTime)
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

// recoveryConfig returns the peers that a node queries and the time that it waits for them.
func (f *fleet) recoveryConfig(n *node) recovery.Config {
	cfg := recovery.Config{RetryHorizon: time.Hour}
	peers := f.peersPerNode
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

// nodeByName returns the node with a name from nodeName.
func (f *fleet) nodeByName(name string) *node {
	index, err := strconv.Atoi(name)
	if err != nil {
		panic("outage: invalid node name: " + name)
	}
	return f.nodes[index]
}

// continueRecovery sends the queries of a node's recovery and schedules the next call at its next deadline, until the node is established.
func (f *fleet) continueRecovery(n *node) {
	nodeRecovery := n.recovery
	if nodeRecovery == nil {
		return
	}
	nodeRecovery.Tick(f.Now)
	for _, action := range nodeRecovery.Ready() {
		for _, name := range action.Query {
			f.query(n, name)
		}
	}
	n.established = nodeRecovery.Established()
	if n.established {
		return
	}
	f.After(max(simStep, nodeRecovery.NextDeadline()-f.Now), func() {
		if n.recovery == nodeRecovery && !n.established {
			f.continueRecovery(n)
		}
	})
}

// query sends a query for a node's state to a peer. A peer that is down or has not read its store does not respond.
func (f *fleet) query(n *node, peerName string) {
	nodeRecovery := n.recovery
	peer := f.nodeByName(peerName)
	n.messages++
	f.After(f.randomDuration(maxNetworkDelay), func() {
		if !peer.up || peer.recovery == nil {
			return
		}
		peer.messages++
		f.After(f.randomDuration(maxNetworkDelay), func() {
			if n.recovery != nodeRecovery {
				return
			}
			remembered := recovery.PeerState{Incarnation: incarnationBefore, Seq: seqBefore}
			nodeRecovery.Receive(f.Now, peerName, recovery.Answer{PeerState: remembered})
			f.continueRecovery(n)
		})
	})
}
