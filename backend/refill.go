package backend

import (
	"errors"
	"slices"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/recovery"
)

const settleKeys = 4096 // in doubt at a start that the others are asked about: as many as are in hand at most

// refilling is the core's side of being told again what this box's disk lacks, and of how runs ended whose end it does not know.
type refilling struct {
	from   *recovery.Refill[failover.Cursor] // nil while nothing is lacking
	doubts *recovery.Settling
}

// lacks begins it where the store can't answer for all that it has ever had, and takes up the keys in doubt.
func (c *cluster) lacks() {
	var keys [][16]byte
	for _, key := range c.store.InDoubt(settleKeys) {
		keys = append(keys, key)
	}
	c.refill = refilling{doubts: recovery.NewSettling(keys)}
	if c.store.Whole() {
		return
	}
	r := recovery.NewRefill[failover.Cursor](recovery.RefillConfig{Life: c.life, Others: c.others()}, c.mark)
	for _, name := range c.others() {
		if c.known.Forgotten(name) {
			r.Without(name)
		}
	}
	c.refill.from = r
	c.store.Proves(func(key idempotency.Key) bool { return r.Covers(c.box.Others(key)) })
	c.toldAll() // where an operator has said of all others that they never come back
}

// others are all boxes of the lists but this one.
func (c *cluster) others() (names []string) {
	for _, m := range c.lists.all() {
		if m.Name != c.b.cfg.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// refillTick asks for what is due.
func (c *cluster) refillTick() {
	b, now := c.b, c.b.keeper.now()
	var ask []idempotency.Key
	for _, k := range c.refill.doubts.Tick(now, func(k [16]byte) bool { return c.store.Meet(now, 0, k).Verdict == idempotency.InDoubt }) {
		ask = append(ask, k)
	}
	c.box.Settle(now, ask)
	if r := c.refill.from; r != nil && !r.Done() {
		for _, q := range r.Tick(b.now, c.Alive) {
			if l := c.links[q.To]; l != nil {
				l.batch.Telling = &failover.Telling{Life: c.life, From: q.From}
			}
		}
	}
}

// tells answers a box that has lost something.
func (c *cluster) tells(from string, life uint64, t *failover.Telling) {
	if t.Life != life || life < c.Life(from) {
		return
	}
	p := c.box.Page(c.b.keeper.now(), from, *t)
	p.Heeded = c.known.Heed(slices.DeleteFunc(c.others(), func(name string) bool { return name == from }), recovery.Fences)
	c.links[from].batch.Page = &p
	for _, f := range c.box.Fences() {
		c.known.Fence(f.Box, f.Life)
	}
}

// fences are those on the disk, once what is remembered is.
func fences(known map[string]uint64) (out []failover.Fence) {
	for name, life := range known {
		out = append(out, failover.Fence{Box: name, Life: life})
	}
	return out
}

// toldAgain takes a page.
func (c *cluster) toldAgain(from string, life uint64, p *failover.Page) {
	b, r := c.b, c.refill.from
	info := recovery.PageInfo[failover.Cursor]{Life: p.Life, From: p.From, Next: p.Next, Keys: len(p.Told) + len(p.InHand),
		Last: p.Next.Step == failover.StepDone, Full: p.Whole && p.Heeded}
	if r == nil || r.Done() || !c.box.Goes(p) || !r.Wants(from, life, &info) {
		return
	}
	r.Took(b.now, from, &info, c.box.Fill(b.keeper.now(), p))
	if info.Last {
		b.log.Info("told again", "by", from, "whole", p.Whole, "fences_heeded", p.Heeded)
	}
	c.toldAll()
}

// toldAll follows the end of the telling, if it has come.
func (c *cluster) toldAll() {
	b := c.b
	if c.refill.from == nil || !c.refill.from.Done() {
		return
	}
	kept := c.store.Refilled(b.keeper.now())
	b.log.Info("told again", "by", "all others", "also_for_later_lives", kept)
	c.way.Refilled()
	c.follow()
}

// Errors of what an operator says to a running box.
var (
	ErrNoCluster = errors.New("no cluster here, or its store is still being read")
	ErrNoBox     = errors.New("no box of the cluster but this one has that name")
	ErrAlive     = errors.New("that box seems to be alive")
	ErrNoDoubt   = errors.New("nothing of this box's disk is in doubt")
)

// Trust takes an operator's word that this box's disk is all that there is, and that what it may lack is not asked for any more, or may run twice.
// It is recorded in the store.
func (b *Backend) Trust() (err error) {
	b.ask(func() {
		c := &b.cluster
		switch {
		case c.way == nil:
			err = ErrNoCluster
		case c.store.Whole() && c.way.Phase() != recovery.Asking:
			err = ErrNoDoubt
		default:
			b.log.Warn("recovery", "said", "an operator answers for the disk")
			c.store.Accept(b.keeper.now())
			c.refill.from = nil
			c.way.Trusts()
			c.follow()
			b.keeper.hand()
		}
	})
	return err
}

// Forget takes an operator's word that a box of the cluster never comes back: nobody here waits for what it may know. It is recorded beside the
// store, and ends when that box is heard after all.
func (b *Backend) Forget(name string) (err error) {
	b.ask(func() {
		c := &b.cluster
		switch {
		case c.way == nil:
			err = ErrNoCluster
		case c.links[name] == nil:
			err = ErrNoBox
		case c.box != nil && c.Alive(name):
			err = ErrAlive
		default:
			b.log.Warn("recovery", "said", "a box never comes back", "box", name)
			c.known.Forget(name, b.keeper.now())
			c.way.Members(c.witnesses())
			c.way.Tick(b.now)
			if c.refill.from != nil {
				c.refill.from.Without(name)
				c.toldAll()
			}
			c.follow()
		}
	})
	return err
}

// wants tells whether a link has something to send.
func (l *boxLink) wants() bool {
	x := &l.batch
	return len(x.Members)+len(x.Claims) > 0 || x.Known != nil || x.Telling != nil || x.Page != nil || l.ask
}
