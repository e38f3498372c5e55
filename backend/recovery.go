package backend

import (
	"math/rand/v2"
	"slices"
	"time"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/recovery"
)

const (
	// maxRecoveryPeers is the maximum number of recovery peers in each member list. Any two majorities of them overlap.
	maxRecoveryPeers = 4
	// peerStateInterval is the time between writes of the recorded peer states, and between announcements of this
	// node's log position. The loss of the last two intervals of a log is not detected.
	peerStateInterval = 250 * time.Millisecond
)

// startRecovery starts the recovery of the node once its store is loaded.
func (c *cluster) startRecovery(store *idempotency.Store, loaded *loadedStore) {
	b := c.backend
	c.store = store
	c.roster = loaded.roster
	c.peerStates = loaded.peerStates
	c.incarnation = store.Stats().Incarnation
	members := c.roster.forFailover()
	c.ownDigests = members.Digests()
	c.mark = rand.Uint64()
	c.updateLinks()
	c.recovery = recovery.New(recovery.Config{
		Mark:          c.mark,
		Others:        c.recoveryPeers(),
		RetryHorizon:  c.retryWindow(),
		MajorityAfter: b.cfg.Cluster.MajorityAfter,
		DegradeAfter:  b.cfg.Cluster.DegradeAfter,
	}, c.mark)
	c.recovery.StartLoading()
	c.recovery.DiskLoaded(b.now, recovery.DiskState{
		Incarnation: c.incarnation,
		Seq:         store.DurableSeq(),
		NewStore:    c.incarnation == 1 && !loaded.quarantined,
	})
	c.runRecovery()
}

// recoveryPeers returns the names of the peers that record this node's log position: a fixed number from each member
// list, so that the cost of announcements and queries does not grow with the size of the fleet. Every node computes the
// same ones.
func (c *cluster) recoveryPeers() (names []string) {
	own := c.backend.cfg.Name
	var key idempotency.Key
	copy(key[:], own)
	for _, members := range [][]ClusterMember{c.roster.Members, c.roster.Previous} {
		found := 0
		for _, name := range failover.Group(failoverMembers(members), key, maxRecoveryPeers+1) {
			if name == own || found == maxRecoveryPeers || c.peerStates.Forgotten(name) {
				continue
			}
			found++
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// runRecovery performs the actions of the recovery node, and starts the failover node once the recovery allows it.
func (c *cluster) runRecovery() {
	if c.recovery == nil {
		return
	}
	restart := false
	historyLost := false
	for _, action := range c.recovery.Ready() {
		c.queryPeerStates(action.Query)
		if action.HistoryLost {
			historyLost = true
			c.markHistoryLost()
		}
		if action.Incarnation > 0 {
			c.raiseIncarnation(action.Incarnation)
			restart = c.node != nil
		}
		if action.To != action.From {
			c.backend.log.Info("recovery", "phase", action.To.String(), "previous_phase", action.From.String(), "reason", action.Reason)
		}
	}
	switch {
	case c.recovery.Established() && (c.node == nil || restart):
		c.start()
	case c.node != nil && historyLost:
		c.startRefill()
	}
}

// queryPeerStates queries peers for the states of this node that they have recorded.
func (c *cluster) queryPeerStates(names []string) {
	for _, name := range names {
		if link := c.links[name]; link != nil {
			link.queryState = true
		}
	}
}

// markHistoryLost marks the store as outdated: it lacks entries that peers have recorded.
func (c *cluster) markHistoryLost() {
	b := c.backend
	c.store.MarkOutdated(b.guard.now())
	b.log.Error("store is older than the state that peers recorded", "incarnation", c.incarnation, "reason", c.recovery.Reason(),
		"consequence", "keys that it lacks are not treated as new until the retry horizon has passed")
}

// raiseIncarnation raises this node's incarnation to at least the one that a peer has recorded. If the store rejects
// that, no new request can be guarded until a restart.
func (c *cluster) raiseIncarnation(recorded uint64) {
	b := c.backend
	if !c.store.RaiseIncarnation(recorded) {
		b.guard.storeFailed = true
		b.log.Error("store is older than the state that peers recorded",
			"reason", "the incarnation that a peer recorded is too far ahead", "recorded_incarnation", recorded,
			"consequence", "guarded requests are rejected until a restart")
	}
	c.incarnation = c.store.Stats().Incarnation
}

// recoveryTick performs the due steps of the recovery. At each peerStateInterval it also announces this node's log
// position and writes the recorded peer states.
func (c *cluster) recoveryTick() {
	if c.recovery == nil {
		return
	}
	b := c.backend
	if b.now >= c.recovery.NextDeadline() {
		c.recovery.Tick(b.now)
	}
	b.wakeBy(c.recovery.NextDeadline())
	if b.now < c.peerStates.nextTick {
		b.wakeBy(c.peerStates.nextTick)
		return
	}
	c.peerStates.nextTick = b.now + peerStateInterval
	b.wakeBy(c.peerStates.nextTick)
	c.announceLogPosition()
	c.writePeerStates()
}

// announceLogPosition reports this node's log position to its recovery peers if the log has grown.
func (c *cluster) announceLogPosition() {
	last := c.store.DurableSeq()
	if last == c.peerStates.announcedSeq {
		return
	}
	c.peerStates.announcedSeq = last
	for _, name := range c.recoveryPeers() {
		if link := c.links[name]; link != nil && link.conn != nil {
			link.conn.Write(c.helloMessage(false))
		}
	}
}
