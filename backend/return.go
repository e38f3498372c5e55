package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/peerproto"
	"frosthub/internal/wal"
	"frosthub/recovery"
)

const (
	memoryName  = "remembered.json"      // in the folder of the store: what this box remembers of the others
	witnessMost = 4                      // boxes of a list that remember of one: two majorities of them share one
	memoryEvery = 250 * time.Millisecond // between its writes, and between words of this box on how far its disk is: of twice that a loss is not found
)

// memory is what this box remembers of the others, and the state of its record.
type memory struct {
	*recovery.PeerStates
	writing bool
	nextAt  time.Duration
	said    uint64 // the last record that others were told of
}

// readMemory gives what is remembered; nothing where the box is new.
func readMemory(dir string) (memory, error) {
	text, err := os.ReadFile(filepath.Join(dir, memoryName))
	if errors.Is(err, fs.ErrNotExist) {
		return memory{PeerStates: recovery.NewPeerStates(true)}, nil
	}
	m := recovery.NewPeerStates(false)
	if err == nil {
		err = json.Unmarshal(text, m)
	}
	if err != nil {
		return memory{}, fmt.Errorf("%s: %w", memoryName, err)
	}
	return memory{PeerStates: m}, nil
}

// returns begins a box's way back, once its store is read.
func (c *cluster) returns(store *idempotency.Store, o openedStore) {
	b := c.b
	c.store, c.lists, c.known = store, o.lists, o.known
	c.life, c.goes, c.mark = store.Stats().Incarnation, c.lists.roster().Digests(), rand.Uint64()
	c.connect()
	c.way = recovery.New(recovery.Config{Mark: c.mark, Others: c.witnesses(), RetryHorizon: c.wait(),
		MajorityAfter: b.cfg.Cluster.MajorityAfter, DegradeAfter: b.cfg.Cluster.DegradeAfter}, c.mark)
	c.way.StartLoading()
	c.way.DiskLoaded(b.now, recovery.DiskState{Incarnation: c.life, Seq: store.LastSeq(), New: c.life == 1 && !o.aside})
	c.follow()
}

// witnesses are the boxes that remember how far this one's disk is: some of each list, the same whoever asks, so that what is told and asked
// does not grow with the fleet.
func (c *cluster) witnesses() (names []string) {
	var key idempotency.Key
	copy(key[:], c.b.cfg.Name)
	for _, list := range [][]ClusterMember{c.lists.Members, c.lists.Before} {
		n := 0
		for _, name := range failover.Group(plain(list), key, witnessMost+1) {
			if name == c.b.cfg.Name || n == witnessMost || c.known.Forgotten(name) {
				continue
			}
			if n++; !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// follow does what the way back wants.
func (c *cluster) follow() {
	if c.way == nil {
		return
	}
	b := c.b
	again, lost := false, false
	for _, a := range c.way.Ready() {
		for _, name := range a.Query {
			if l := c.links[name]; l != nil {
				l.ask = true
			}
		}
		if a.HistoryLost {
			lost = true
			c.store.MarkOutdated(b.keeper.now())
			b.log.Error("store older than known", "life", c.life, "why", c.way.Reason(), "so", "what it does not have is not taken for fresh until the horizon has passed")
		}
		if a.Incarnation > 0 {
			if !c.store.RaiseIncarnation(a.Incarnation) {
				b.keeper.broken = true
				b.log.Error("store older than known", "why", "a life that can't be counted", "known", a.Incarnation, "so", "guarded reqs are refused in this life")
			}
			c.life = c.store.Stats().Incarnation
			again = c.box != nil
		}
		if a.To != a.From {
			b.log.Info("recovery", "phase", a.To.String(), "was", a.From.String(), "why", a.Reason)
		}
	}
	switch {
	case c.way.Established() && (c.box == nil || again):
		c.begin()
	case c.box != nil && lost:
		c.lacks()
	}
}

// heard takes what a box says of itself, and answers what it asks.
func (c *cluster) heard(h *peerproto.Hello) {
	if c.way == nil {
		return // it asks again
	}
	if h.QueryState {
		a := c.known.Answer(h.From, h.Mark)
		c.links[h.From].batch.PeerState = &a
	}
	if c.known.Returned(h.From) {
		c.b.log.Warn("recovery", "back", h.From, "so", "it is waited for again")
		c.way.SetOthers(c.witnesses())
	}
	c.known.Update(h.From, h.Mark, recovery.PeerState{Incarnation: h.Incarnation, Seq: h.Seq})
	c.known.SetFeatures(h.From, h.Features)
}

// lookBack does what is due on the way back, tells others how far this box's disk is, and has what it remembers of them recorded.
func (c *cluster) lookBack() {
	if c.way == nil {
		return
	}
	b := c.b
	if at := c.way.NextDeadline(); b.now >= at {
		c.way.Tick(b.now)
	}
	b.at(c.way.NextDeadline())
	if b.now < c.known.nextAt {
		b.at(c.known.nextAt)
		return
	}
	c.known.nextAt = b.now + memoryEvery
	b.at(c.known.nextAt)
	if last := c.store.LastSeq(); last != c.known.said {
		c.known.said = last
		for _, name := range c.witnesses() {
			if l := c.links[name]; l != nil && l.c != nil {
				l.c.Write(c.hello(false))
			}
		}
	}
	if c.known.writing || !c.known.Changed() {
		return
	}
	c.known.writing = true
	text, err := json.Marshal(c.known.PeerStates)
	dir, noted := b.cfg.Idempotency.Dir, fences(c.known.Fences)
	go func() { // the disk may be slow
		if err == nil {
			err = wal.WriteFile(wal.DirDisk(dir), memoryName, text)
		}
		b.box.Post(func() {
			c.known.writing = false
			switch {
			case err != nil:
				b.note("not remembered", "why", err)
			case c.box != nil:
				c.box.AddFences(noted)
			}
		})
	}()
}
