package failover

import "time"

// injectFault injects one random fault.
func (c *simCluster) injectFault() {
	node := c.nodes[c.random.IntN(len(c.nodes))]
	if c.disksLost && c.random.IntN(3) == 0 {
		c.partitionAround(node)
		return
	}
	switch c.random.IntN(7) {
	case 0, 1:
		node.crash()
	case 2:
		node.pause()
	case 3, 4:
		c.cutLinksBetween(node)
	case 5:
		c.partition()
	case 6:
		c.crashSome()
	}
}

// crash stops a node, which restarts with its confirmed writes and possibly
// some unconfirmed ones.
func (n *simNode) crash() {
	c := n.cluster
	if !n.up {
		return
	}
	c.log("%s/%d crashes", n.name, n.incarnation)
	c.foundAtProcessors += n.stateMachine.Stats().FoundAtProcessor
	n.stateMachine.stats.FoundAtProcessor = 0
	n.up = false
	completed := 0
	if len(n.pendingWrites) > 0 && c.random.IntN(2) == 0 {
		completed = c.random.IntN(len(n.pendingWrites) + 1)
	}
	n.completeWrites(completed)
	if c.disksLost && c.random.IntN(3) == 0 {
		n.loseDisk()
	}
	downtime := 300 * time.Millisecond
	if c.random.IntN(4) == 0 {
		downtime = time.Second
	}
	c.After(c.randomUpTo(downtime), n.start)
}

func (c *simCluster) crashSome() {
	for _, node := range c.nodes {
		if c.random.IntN(2) == 0 {
			node.crash()
		}
	}
}

// loseDisk replaces the disk of a node with an older copy, possibly an empty
// one.
func (n *simNode) loseDisk() {
	c := n.cluster
	kept := c.random.IntN(len(n.disk) + 1)
	if c.random.IntN(2) == 0 {
		kept = max(kept, len(n.disk)-12)
	}
	c.log("%s/%d: the disk has %d of %d entries", n.name, n.incarnation, kept, len(n.disk))
	n.disk = n.disk[:kept]
	n.diskOutdated = true
	n.fencesOnDisk = nil
	c.lostDisks++
}

func (n *simNode) pause() {
	c := n.cluster
	duration := c.randomUpTo(1500 * time.Millisecond)
	c.log("%s/%d pauses for %s", n.name, n.incarnation, duration)
	n.pausedUntil = max(n.pausedUntil, c.Now+duration)
}

// cutFor drops all messages on a link for a while.
func (c *simCluster) cutFor(link link, duration time.Duration) {
	c.cut[link] = true
	c.After(duration, func() { delete(c.cut, link) })
}

// cutLinksBetween cuts the link between a node and a random peer, in one
// direction or both.
func (c *simCluster) cutLinksBetween(node *simNode) {
	peer := c.nodes[c.random.IntN(len(c.nodes))]
	if node == peer {
		return
	}
	links := []link{{node.index, peer.index}}
	if c.random.IntN(2) == 0 {
		links = append(links, link{peer.index, node.index})
	}
	for _, cut := range links {
		c.log("cut %v", cut)
		c.cutFor(cut, c.randomUpTo(600*time.Millisecond))
	}
}

// partition splits the cluster into two sides that receive no messages from
// each other.
func (c *simCluster) partition() {
	side := c.random.Uint64()
	c.log("partition %b", side&(1<<len(c.nodes)-1))
	for from := range c.nodes {
		for to := range c.nodes {
			if side>>from&1 != side>>to&1 {
				c.cutFor(link{from, to}, c.randomUpTo(500*time.Millisecond))
			}
		}
	}
}

// partitionAround cuts all links except those of one node, which crashes, loses
// its disk and soon restarts: it may have confirmed starts that no other node
// received.
func (c *simCluster) partitionAround(center *simNode) {
	c.log("cut all links except those of %s", center.name)
	for from := range c.nodes {
		for to := range c.nodes {
			if from != center.index && to != center.index && from != to {
				c.cutFor(link{from, to}, 500*time.Millisecond+c.randomUpTo(100*time.Millisecond))
			}
		}
	}
	c.After(c.randomUpTo(40*time.Millisecond), func() {
		if !center.up {
			return
		}
		c.log("%s/%d crashes", center.name, center.incarnation)
		center.up = false
		center.loseDisk()
		c.After(c.randomUpTo(10*time.Millisecond), center.start)
	})
}
