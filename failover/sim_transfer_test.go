package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
	"frosthub/recovery"
)

// startRefill has the peers transfer what the node's disk lacks.
func (x *simNode) startRefill() {
	config := recovery.RefillConfig{Incarnation: x.incarnation}
	for _, peer := range x.cluster.nodes {
		if peer != x {
			config.Others = append(config.Others, peer.name)
		}
	}
	x.refill = recovery.NewRefill[Cursor](config, x.cluster.random.Uint64())
	x.store.SetRefillCheck(func(key idempotency.Key) bool {
		peers := x.machine.GroupPeers(key)
		if disabledRule == ruleAllGroupPeers {
			return slices.ContainsFunc(peers, func(name string) bool { return x.refill.Covers([]string{name}) })
		}
		return x.refill.Covers(peers)
	})
}

// requestPages asks peers for pages, over links that fail like all others.
func (x *simNode) requestPages() {
	if x.refill == nil || x.refill.Done() {
		return
	}
	for _, question := range x.refill.Tick(x.cluster.Now, x.Alive) {
		x.carry(question.To, func(peer *simNode) {
			peer.sendPage(x.name, PageRequest{Incarnation: x.incarnation, From: question.From})
		})
	}
}

func (x *simNode) sendPage(to string, request PageRequest) {
	c := x.cluster
	page := x.machine.BuildPage(c.Now, to, request)
	fences := x.machine.Fences()
	x.after(c.drawUpTo(c.maxWriteDelay), func() {
		x.fencesOnDisk = fences
		x.machine.MarkFencesDurable(fences)
	})
	incarnation := x.incarnation
	x.carry(to, func(receiver *simNode) { receiver.receivePage(x.name, incarnation, &page) })
}

func (x *simNode) receivePage(from string, incarnation uint64, page *Page) {
	c := x.cluster
	info := recovery.PageInfo[Cursor]{
		Incarnation: page.Incarnation,
		From:        page.From,
		Next:        page.Next,
		Last:        page.Next.Step == StepDone,
		Complete:    page.Complete,
	}
	if x.refill == nil || !x.machine.SameConfiguration(page) || !x.refill.Expects(from, incarnation, &info) {
		return
	}
	x.refill.PageReceived(c.Now, from, &info, x.machine.ReceivePage(c.Now, page))
	if x.refill.Done() {
		c.log("%s/%d has everything transferred", x.name, x.incarnation)
		c.finishedRefills++
		x.store.MarkRefilled(c.Now)
	}
}

// carry has something reach another node as messages do.
func (x *simNode) carry(to string, do func(peer *simNode)) {
	c, peer := x.cluster, x.cluster.node(to)
	if c.cut[link{x.index, peer.index}] || c.random.Float64() < c.lossRate {
		return
	}
	c.After(c.drawUpTo(2*time.Millisecond), func() {
		if peer.up {
			peer.after(0, func() { do(peer) })
		}
	})
}
