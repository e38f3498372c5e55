package backend

import (
	"errors"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/recovery"
	"slices"
)

const settleKeys = 4096 // in doubt at a start that the others are asked about: as many as are in hand at most

// refillState is the core's side of being told again what this box's disk lacks, and of how runs ended whose end it does not know.
type refillState struct {
	from    *recovery.Refill[failover.Cursor] // nil while nothing is lacking
	unknown *recovery.UnknownOutcomes
}

// startRefill begins it where the store can't answer for all that it has ever had, and takes up the keys in doubt.
func (c *cluster) startRefill() {
	var keys [][16]byte
	for _, key := range c.store.UnknownKeys(settleKeys) {
		keys = append(keys, key)
	}
	c.refill = refillState{unknown: recovery.NewUnknownOutcomes(keys)}
	if c.store.Complete() {
		return
	}
	r := recovery.NewRefill[failover.Cursor](recovery.RefillConfig{Incarnation: c.incarnation, Others: c.others()}, c.mark)
	for _, name := range c.others() {
		if c.peerStates.Forgotten(name) {
			r.Exclude(name)
		}
	}
	c.refill.from = r
	c.store.SetProver(func(key idempotency.Key) bool { return r.Covers(c.node.GroupPeers(key)) })
	c.finishRefill() // where an operator has said of all others that they never come back
}

// others are all boxes of the lists but this one.
func (c *cluster) others() (names []string) {
	for _, m := range c.roster.all() {
		if m.Name != c.backend.cfg.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// refillTick asks for what is due.
func (c *cluster) refillTick() {
	b, now := c.backend, c.backend.guard.now()
	var ask []idempotency.Key
	for _, k := range c.refill.unknown.Tick(now, func(k [16]byte) bool { return c.store.PeekOutcome(now, 0, k).Decision == idempotency.OutcomeUnknown }) {
		ask = append(ask, k)
	}
	c.node.ResolveUnknown(now, ask)
	if r := c.refill.from; r != nil && !r.Done() {
		for _, q := range r.Tick(b.now, c.Alive) {
			if l := c.links[q.To]; l != nil {
				l.batch.PageRequest = &failover.PageRequest{Incarnation: c.incarnation, From: q.From}
			}
		}
	}
}

// sendPage answers a box that has lost something.
func (c *cluster) sendPage(from string, life uint64, t *failover.PageRequest) {
	if t.Incarnation != life || life < c.Incarnation(from) {
		return
	}
	p := c.node.BuildPage(c.backend.guard.now(), from, *t)
	p.FencesSupported = c.peerStates.AllSupport(slices.DeleteFunc(c.others(), func(name string) bool { return name == from }), recovery.FeatureFences)
	c.links[from].batch.Page = &p
	for _, f := range c.node.Fences() {
		c.peerStates.AddFence(f.Node, f.Incarnation)
	}
}

// fences are those on the disk, once what is remembered is.
func fences(known map[string]uint64) (out []failover.Fence) {
	for name, life := range known {
		out = append(out, failover.Fence{Node: name, Incarnation: life})
	}
	return out
}

// onPage takes a page.
func (c *cluster) onPage(from string, life uint64, p *failover.Page) {
	b, r := c.backend, c.refill.from
	info := recovery.PageInfo[failover.Cursor]{
		Incarnation: p.Incarnation, From: p.From, Next: p.Next, Keys: len(p.Records) + len(p.InFlight),
		Last: p.Next.Step == failover.StepDone, Complete: p.Complete && p.FencesSupported,
	}
	if r == nil || r.Done() || !c.node.SameConfiguration(p) || !r.Wants(from, life, &info) {
		return
	}
	r.PageReceived(b.now, from, &info, c.node.ReceivePage(b.guard.now(), p))
	if info.Last {
		b.log.Info("told again", "by", from, "whole", p.Complete, "fences_heeded", p.FencesSupported)
	}
	c.finishRefill()
}

// finishRefill follows the end of the telling, if it has come.
func (c *cluster) finishRefill() {
	b := c.backend
	if c.refill.from == nil || !c.refill.from.Done() {
		return
	}
	kept := c.store.MarkComplete(b.guard.now())
	b.log.Info("told again", "by", "all others", "also_for_later_lives", kept)
	c.recovery.MarkComplete()
	c.runRecovery()
}

// Errors of what an operator says to a running box.
var (
	ErrNoCluster      = errors.New("no cluster here, or its store is still being read")
	ErrUnknownNode    = errors.New("no box of the cluster but this one has that name")
	ErrNodeAlive      = errors.New("that box seems to be alive")
	ErrNothingUnknown = errors.New("nothing of this box's disk is in doubt")
)

// Trust takes an operator's word that this box's disk is all that there is, and that what it may lack is not asked for any more, or may run twice.
// It is recorded in the store.
func (b *Backend) Trust() (err error) {
	b.onOwner(func() {
		c := &b.cluster
		switch {
		case c.recovery == nil:
			err = ErrNoCluster
		case c.store.Complete() && c.recovery.Phase() != recovery.Querying:
			err = ErrNothingUnknown
		default:
			b.log.Warn("recovery", "said", "an operator answers for the disk")
			c.store.AcceptHistory(b.guard.now())
			c.refill.from = nil
			c.recovery.TrustDisk()
			c.runRecovery()
			b.guard.flushEntries()
		}
	})
	return err
}

// Forget takes an operator's word that a box of the cluster never comes back: nobody here waits for what it may know. It is recorded beside the
// store, and ends when that box is heard after all.
func (b *Backend) Forget(name string) (err error) {
	b.onOwner(func() {
		c := &b.cluster
		switch {
		case c.recovery == nil:
			err = ErrNoCluster
		case c.links[name] == nil:
			err = ErrUnknownNode
		case c.node != nil && c.Alive(name):
			err = ErrNodeAlive
		default:
			b.log.Warn("recovery", "said", "a box never comes back", "box", name)
			c.peerStates.Forget(name, b.guard.now())
			c.recovery.SetOthers(c.witnesses())
			c.recovery.Tick(b.now)
			if c.refill.from != nil {
				c.refill.from.Exclude(name)
				c.finishRefill()
			}
			c.runRecovery()
		}
	})
	return err
}

// hasPending tells whether a link has something to send.
func (l *nodeLink) hasPending() bool {
	x := &l.batch
	return len(x.Members)+len(x.Claims) > 0 || x.PeerState != nil || x.PageRequest != nil || x.Page != nil || l.queryState
}
