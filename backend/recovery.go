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
	// maxWitnesses is how many nodes of a list remember the state of one: two majorities of them overlap.
	maxWitnesses = 4
	// peerStateInterval is the time between writes of what this node remembers, and between its announcements of how
	// far its log is. The loss of the last two intervals of a log is not found.
	peerStateInterval = 250 * time.Millisecond
)

// startRecovery starts the recovery of the node, once its store is loaded.
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
		NewStore:    c.incarnation == 1 && !loaded.setAside,
	})
	c.runRecovery()
}

// recoveryPeers returns the nodes that remember how far this node's log is: some of each list, the same whoever computes
// them, so that what is announced and asked doesn't grow with the fleet.
func (c *cluster) recoveryPeers() (names []string) {
	own := c.backend.cfg.Name
	var key idempotency.Key
	copy(key[:], own)
	for _, members := range [][]ClusterMember{c.roster.Members, c.roster.Previous} {
		found := 0
		for _, name := range failover.Group(failoverMembers(members), key, maxWitnesses+1) {
			if name == own || found == maxWitnesses || c.peerStates.Forgotten(name) {
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

// runRecovery carries out what the recovery node wants, and starts the node once the recovery is over.
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
			c.backend.log.Info("recovery", "phase", action.To.String(), "was", action.From.String(), "reason", action.Reason)
		}
	}
	switch {
	case c.recovery.Established() && (c.node == nil || restart):
		c.start()
	case c.node != nil && historyLost:
		c.startRefill()
	}
}

// queryPeerStates asks nodes what they remember of this one.
func (c *cluster) queryPeerStates(names []string) {
	for _, name := range names {
		if link := c.links[name]; link != nil {
			link.queryState = true
		}
	}
}

func (c *cluster) markHistoryLost() {
	b := c.backend
	c.store.MarkOutdated(b.guard.now())
	b.log.Error("store older than peers know", "incarnation", c.incarnation, "reason", c.recovery.Reason(),
		"so", "what it does not have is not taken for fresh until the horizon has passed")
}

func (c *cluster) raiseIncarnation(known uint64) {
	b := c.backend
	if !c.store.RaiseIncarnation(known) {
		b.guard.storeFailed = true
		b.log.Error("store older than peers know", "reason", "an incarnation that can't be counted", "known", known,
			"so", "guarded requests are rejected until a restart")
	}
	c.incarnation = c.store.Stats().Incarnation
}

// recoveryTick does what is due of the recovery, announces how far this node's log is, and has what it remembers of
// others written.
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
	c.announceLog()
	c.writePeerStates()
}

// announceLog tells the witnesses how far this node's log is, if it has grown.
func (c *cluster) announceLog() {
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
