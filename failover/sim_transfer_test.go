package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
	"frosthub/recovery"
)

// startRefill begins the transfer of the records that the node's disk lacks.
func (n *simNode) startRefill() {
	config := recovery.RefillConfig{Incarnation: n.incarnation}
	for _, peer := range n.cluster.nodes {
		if peer != n {
			config.Others = append(config.Others, peer.name)
		}
	}
	n.refill = recovery.NewRefill[Cursor](config, n.cluster.random.Uint64())
	n.store.SetRefillCheck(func(key idempotency.Key) bool {
		peers := n.stateMachine.GroupPeers(key)
		if disabledRule == ruleAllGroupPeers {
			return slices.ContainsFunc(peers, func(name string) bool { return n.refill.Covers([]string{name}) })
		}
		return n.refill.Covers(peers)
	})
}

// requestPages requests pages from peers, over links with the same faults as
// for messages.
func (n *simNode) requestPages() {
	if n.refill == nil || n.refill.Done() {
		return
	}
	for _, request := range n.refill.Tick(n.cluster.Now, n.Alive) {
		n.deliver(request.To, func(peer *simNode) {
			peer.sendPage(n.name, PageRequest{Incarnation: n.incarnation, From: request.From})
		})
	}
}

func (n *simNode) sendPage(to string, request PageRequest) {
	c := n.cluster
	page := n.stateMachine.BuildPage(c.Now, to, request)
	fences := n.stateMachine.Fences()
	n.after(c.randomUpTo(c.maxWriteDelay), func() {
		n.fencesOnDisk = fences
		n.stateMachine.MarkFencesDurable(fences)
	})
	incarnation := n.incarnation
	n.deliver(to, func(receiver *simNode) { receiver.receivePage(n.name, incarnation, &page) })
}

func (n *simNode) receivePage(from string, incarnation uint64, page *Page) {
	c := n.cluster
	info := recovery.PageInfo[Cursor]{
		Incarnation: page.Incarnation,
		From:        page.From,
		Next:        page.Next,
		Last:        page.Next.Step == StepDone,
		Complete:    page.Complete,
	}
	if n.refill == nil || !n.stateMachine.SameConfiguration(page) || !n.refill.Expects(from, incarnation, &info) {
		return
	}
	n.refill.PageReceived(c.Now, from, &info, n.stateMachine.ReceivePage(c.Now, page))
	if n.refill.Done() {
		c.log("%s/%d finishes its refill", n.name, n.incarnation)
		c.finishedRefills++
		n.store.MarkRefilled(c.Now)
	}
}

// deliver runs a call on another node, with the same faults as for messages.
func (n *simNode) deliver(to string, do func(peer *simNode)) {
	c, peer := n.cluster, n.cluster.node(to)
	if c.cut[link{n.index, peer.index}] || c.random.Float64() < c.lossRate {
		return
	}
	c.After(c.randomUpTo(2*time.Millisecond), func() {
		if peer.up {
			peer.after(0, func() { do(peer) })
		}
	})
}
