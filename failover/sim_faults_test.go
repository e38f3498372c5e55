package failover

import "time"

// injectFault has one fault happen.
func (c *simCluster) injectFault() {
	node := c.nodes[c.random.IntN(len(c.nodes))]
	if c.disksLost && c.random.IntN(3) == 0 {
		c.isolateAround(node)
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
func (x *simNode) crash() {
	c := x.cluster
	if !x.up {
		return
	}
	c.log("%s/%d crashes", x.name, x.incarnation)
	c.foundAtProcessors += x.machine.Stats().FoundAtProcessor
	x.machine.stats.FoundAtProcessor = 0
	x.up = false
	completed := 0
	if len(x.pendingWrites) > 0 && c.random.IntN(2) == 0 {
		completed = c.random.IntN(len(x.pendingWrites) + 1)
	}
	x.completeWrites(completed)
	if c.disksLost && c.random.IntN(3) == 0 {
		x.loseDisk()
	}
	downtime := 300 * time.Millisecond
	if c.random.IntN(4) == 0 {
		downtime = time.Second
	}
	c.After(c.drawUpTo(downtime), x.start)
}

func (c *simCluster) crashSome() {
	for _, node := range c.nodes {
		if c.random.IntN(2) == 0 {
			node.crash()
		}
	}
}

// loseDisk has a node come back with an older copy of its disk, or an empty one.
func (x *simNode) loseDisk() {
	c := x.cluster
	kept := c.random.IntN(len(x.disk) + 1)
	if c.random.IntN(2) == 0 {
		kept = max(kept, len(x.disk)-12)
	}
	c.log("%s/%d: the disk has %d of %d entries", x.name, x.incarnation, kept, len(x.disk))
	x.disk = x.disk[:kept]
	x.diskOutdated = true
	x.fencesOnDisk = nil
	c.lostDisks++
}

func (x *simNode) pause() {
	c := x.cluster
	duration := c.drawUpTo(1500 * time.Millisecond)
	c.log("%s/%d pauses for %s", x.name, x.incarnation, duration)
	x.pausedUntil = max(x.pausedUntil, c.Now+duration)
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
		c.cutFor(cut, c.drawUpTo(600*time.Millisecond))
	}
}

// partition splits the cluster in two sides that don't hear each other.
func (c *simCluster) partition() {
	side := c.random.Uint64()
	c.log("partition %b", side&(1<<len(c.nodes)-1))
	for from := range c.nodes {
		for to := range c.nodes {
			if side>>from&1 != side>>to&1 {
				c.cutFor(link{from, to}, c.drawUpTo(500*time.Millisecond))
			}
		}
	}
}

// isolateAround has all nodes hear only one, which crashes, loses its disk and
// soon comes back: it may have confirmed what no other node has heard of.
func (c *simCluster) isolateAround(center *simNode) {
	c.log("isolated around %s", center.name)
	for from := range c.nodes {
		for to := range c.nodes {
			if from != center.index && to != center.index && from != to {
				c.cutFor(link{from, to}, 500*time.Millisecond+c.drawUpTo(100*time.Millisecond))
			}
		}
	}
	c.After(c.drawUpTo(40*time.Millisecond), func() {
		if !center.up {
			return
		}
		c.log("%s/%d crashes", center.name, center.incarnation)
		center.up = false
		center.loseDisk()
		c.After(c.drawUpTo(10*time.Millisecond), center.start)
	})
}
