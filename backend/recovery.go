package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/peerproto"
	"frosthub/internal/wal"
	"frosthub/recovery"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	memoryName  = "remembered.json"      // in the folder of the store: what this box remembers of the others
	witnessMost = 4                      // boxes of a list that remember of one: two majorities of them share one
	memoryEvery = 250 * time.Millisecond // between its writes, and between words of this box on how far its disk is: of twice that a loss is not found
)

// peerStateFile is what this box remembers of the others, and the state of its record.
type peerStateFile struct {
	*recovery.PeerStates
	writing      bool
	nextAt       time.Duration
	announcedSeq uint64 // the last record that others were told of
}

// readPeerStates gives what is remembered; nothing where the box is new.
func readPeerStates(dir string) (peerStateFile, error) {
	text, err := os.ReadFile(filepath.Join(dir, memoryName))
	if errors.Is(err, fs.ErrNotExist) {
		return peerStateFile{PeerStates: recovery.NewPeerStates(true)}, nil
	}
	m := recovery.NewPeerStates(false)
	if err == nil {
		err = json.Unmarshal(text, m)
	}
	if err != nil {
		return peerStateFile{}, fmt.Errorf("%s: %w", memoryName, err)
	}
	return peerStateFile{PeerStates: m}, nil
}

// startRecovery begins a box's way back, once its store is read.
func (c *cluster) startRecovery(store *idempotency.Store, o loadedStore) {
	b := c.backend
	c.store, c.roster, c.peerStates = store, o.roster, o.peerStates
	c.incarnation, c.ownDigests, c.mark = store.Stats().Incarnation, c.roster.forFailover().Digests(), rand.Uint64()
	c.connect()
	c.recovery = recovery.New(recovery.Config{
		Mark: c.mark, Others: c.witnesses(), RetryHorizon: c.retryWindow(),
		MajorityAfter: b.cfg.Cluster.MajorityAfter, DegradeAfter: b.cfg.Cluster.DegradeAfter,
	}, c.mark)
	c.recovery.StartLoading()
	c.recovery.DiskLoaded(b.now, recovery.DiskState{Incarnation: c.incarnation, Seq: store.LastSeq(), New: c.incarnation == 1 && !o.setAside})
	c.runRecovery()
}

// witnesses are the boxes that remember how far this one's disk is: some of each list, the same whoever asks, so that what is told and asked
// does not grow with the fleet.
func (c *cluster) witnesses() (names []string) {
	var key idempotency.Key
	copy(key[:], c.backend.cfg.Name)
	for _, list := range [][]ClusterMember{c.roster.Members, c.roster.Previous} {
		n := 0
		for _, name := range failover.Group(failoverMembers(list), key, witnessMost+1) {
			if name == c.backend.cfg.Name || n == witnessMost || c.peerStates.Forgotten(name) {
				continue
			}
			if n++; !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// runRecovery does what the way back wants.
func (c *cluster) runRecovery() {
	if c.recovery == nil {
		return
	}
	b := c.backend
	again, lost := false, false
	for _, a := range c.recovery.Ready() {
		for _, name := range a.Query {
			if l := c.links[name]; l != nil {
				l.queryState = true
			}
		}
		if a.HistoryLost {
			lost = true
			c.store.MarkOutdated(b.guard.now())
			b.log.Error("store older than known", "life", c.incarnation, "why", c.recovery.Reason(), "so", "what it does not have is not taken for fresh until the horizon has passed")
		}
		if a.Incarnation > 0 {
			if !c.store.RaiseIncarnation(a.Incarnation) {
				b.guard.failed = true
				b.log.Error("store older than known", "why", "a life that can't be counted", "known", a.Incarnation, "so", "guarded reqs are refused in this life")
			}
			c.incarnation = c.store.Stats().Incarnation
			again = c.node != nil
		}
		if a.To != a.From {
			b.log.Info("recovery", "phase", a.To.String(), "was", a.From.String(), "why", a.Reason)
		}
	}
	switch {
	case c.recovery.Established() && (c.node == nil || again):
		c.start()
	case c.node != nil && lost:
		c.startRefill()
	}
}

// onHello takes what a box says of itself, and answers what it asks.
func (c *cluster) onHello(h *peerproto.Hello) {
	if c.recovery == nil {
		return // it asks again
	}
	if h.QueryState {
		a := c.peerStates.Answer(h.From, h.Mark)
		c.links[h.From].batch.PeerState = &a
	}
	if c.peerStates.Returned(h.From) {
		c.backend.log.Warn("recovery", "back", h.From, "so", "it is waited for again")
		c.recovery.SetOthers(c.witnesses())
	}
	c.peerStates.Update(h.From, h.Mark, recovery.PeerState{Incarnation: h.Incarnation, Seq: h.Seq})
	c.peerStates.SetFeatures(h.From, h.Features)
}

// recoveryTick does what is due on the way back, tells others how far this box's disk is, and has what it remembers of them recorded.
func (c *cluster) recoveryTick() {
	if c.recovery == nil {
		return
	}
	b := c.backend
	if at := c.recovery.NextDeadline(); b.now >= at {
		c.recovery.Tick(b.now)
	}
	b.wakeBy(c.recovery.NextDeadline())
	if b.now < c.peerStates.nextAt {
		b.wakeBy(c.peerStates.nextAt)
		return
	}
	c.peerStates.nextAt = b.now + memoryEvery
	b.wakeBy(c.peerStates.nextAt)
	if last := c.store.LastSeq(); last != c.peerStates.announcedSeq {
		c.peerStates.announcedSeq = last
		for _, name := range c.witnesses() {
			if l := c.links[name]; l != nil && l.conn != nil {
				l.conn.Write(c.hello(false))
			}
		}
	}
	if c.peerStates.writing || !c.peerStates.Changed() {
		return
	}
	c.peerStates.writing = true
	text, err := json.Marshal(c.peerStates.PeerStates)
	dir, noted := b.cfg.Idempotency.Dir, fences(c.peerStates.Fences)
	go func() { // the disk may be slow
		if err == nil {
			err = wal.WriteFile(wal.DirDisk(dir), memoryName, text)
		}
		b.loop.Post(func() {
			c.peerStates.writing = false
			switch {
			case err != nil:
				b.logLimited("not remembered", "why", err)
			case c.node != nil:
				c.node.AddFences(noted)
			}
		})
	}()
}
