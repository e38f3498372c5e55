package failover

import "time"

// injectFault has one fault happen.
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
		c.cutLinks(node)
	case 5:
		c.partition()
	case 6:
		c.crashSome()
	}
}

// crash has a node come back with what was confirmed to it, and perhaps some
// more.
func (n *simNode) crash() {
	c := n.cluster
	if !n.up {
		return
	}
	c.log("%s/%d crashes", n.name, n.incarnation)
	c.foundAtProcessors += n.machine.Stats().FoundAtProcessor
	n.machine.stats.FoundAtProcessor = 0
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

// loseDisk has a node come back with an older copy of its disk, or an empty one.
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

// cutFor has a link carry nothing for a while.
func (c *simCluster) cutFor(link link, duration time.Duration) {
	c.cut[link] = true
	c.After(duration, func() { delete(c.cut, link) })
}

// cutLinks cuts the link to another node, in one direction or both.
func (c *simCluster) cutLinks(node *simNode) {
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

// partition splits the cluster in two sides that don't hear each other.
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

// isolateAround has all nodes hear only one, which crashes, loses its disk and
// soon comes back: it may have confirmed what no other node has heard of.
func (c *simCluster) partitionAround(center *simNode) {
	c.log("isolated around %s", center.name)
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
