package backend

import (
	"time"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/conn"
	"frosthub/membership"
	"frosthub/recovery"
)

// ClusterConfig configures the cluster whose nodes take over each other's guarded requests. The zero value means that
// the node belongs to no cluster.
type ClusterConfig struct {
	Name    string
	Listen  string // address on which the other nodes connect
	Members []ClusterMember
	// Previous is the previous member list while a membership change is in progress.
	Previous []ClusterMember
	// ResumeUnclaimed makes the cluster resume a request that a lost node had reserved even if no client retries it.
	ResumeUnclaimed bool
	// MajorityAfter is how long after a start to wait for the recorded states of all recovery peers. After that, those
	// of a majority suffice. 0 means the default.
	MajorityAfter time.Duration
	// DegradeAfter is how long to wait for a majority of the recovery peers. After that, this node's store counts as
	// outdated. 0 means the default.
	DegradeAfter time.Duration
	// ReplayableHandlers names the handlers whose requests may run twice and that are taken over nevertheless. It maps
	// each of them to the key parts of its requests.
	ReplayableHandlers map[string][]KeyPart
}

// ClusterMember is a node of the cluster. The list of members includes this node.
type ClusterMember struct {
	failover.Member
	Address string `json:"address"`
	// Processor is the address at which other nodes query the node's processor for the outcomes of its runs once the
	// node seems lost. If it is empty, they make no such query.
	Processor string `json:"processor,omitempty"`
}

const (
	// failoverTickInterval is the time between checks for overdue answers of other nodes.
	failoverTickInterval = 20 * time.Millisecond
	// probeInterval and probeTimeout configure the failure detector, which suspects a node after a few intervals.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 40 * time.Millisecond
	// replayableResultShare is the part of the memory limit for results of replayable requests that this node keeps for
	// other nodes.
	replayableResultShare = 0.02
)

// cluster connects the backend with the failure detector (a membership.Detector), the failover node (a failover.Node)
// and the recovery node (a recovery.Node): it transports their messages and carries out their decisions.
//
// A node joins its cluster in three steps: init, then startRecovery once the store is loaded, then start once the
// recovery has established whether the store is complete. Until then the node admits no guarded request.
//
// All methods are called by the goroutine that owns the backend.
type cluster struct {
	backend     *Backend // nil without a cluster
	detector    *membership.Detector
	node        *failover.Node // nil until start
	links       map[string]*peerLink
	incarnation uint64
	nextTick    time.Duration
	store       *idempotency.Store
	recovery    *recovery.Node // nil until startRecovery
	mark        uint64         // random number of this process; peers store it with the node's recorded state
	peerStates  peerStateFile
	refill      refillState
	keyParts    [][]KeyPart // by handler index; nil unless the handler is replayable and its requests are taken over

	processorQueries map[string]*processorQuery // by the name of the lost node

	roster      clusterRoster       // the roster that this node has adopted
	ownDigests  []uint64            // digests of the member lists of roster
	peerDigests map[string][]uint64 // digests that the other nodes reported, by node
	departing   []ClusterMember     // nodes of the previous list that are no longer members but not known to be dead
	change      rosterChange
}

// enabled reports whether the node belongs to a cluster.
func (c *cluster) enabled() bool { return c.backend != nil }

// init prepares a node of a cluster. It does nothing if no cluster is configured.
func (c *cluster) init(b *Backend) {
	if b.cfg.Cluster.Name == "" || !b.guard.enabled() {
		return
	}
	c.backend = b
	c.links = map[string]*peerLink{}
	c.processorQueries = map[string]*processorQuery{}
	c.peerDigests = map[string][]uint64{}
	for _, handler := range b.handlers {
		parts := b.cfg.Cluster.ReplayableHandlers[handler.name]
		if !handler.replayable {
			parts = nil // requests that must not run twice are guarded by the store, or not tracked at all
		}
		c.keyParts = append(c.keyParts, parts)
	}
}

// start makes the node take part in the cluster, under the incarnation that its store has recorded. It is called again
// when the incarnation is raised.
func (c *cluster) start() {
	b := c.backend
	c.incarnation = c.store.Stats().Incarnation
	roster := c.roster.forFailover()
	if c.node != nil { // the incarnation was raised
		c.store.AbandonInFlight(b.guard.now())
	}
	c.change.pending = true // until the roster of the operator's configuration file is adopted
	c.detector = membership.New(membership.Config{
		Name:          b.cfg.Name,
		Incarnation:   c.incarnation,
		ProbeInterval: probeInterval,
		ProbeTimeout:  probeTimeout,
	}, b.cfg.Seed, b.now)
	c.updateLinks()
	c.node = failover.New(failover.Config{
		Name:            b.cfg.Name,
		Incarnation:     c.incarnation,
		Members:         roster.Members,
		Previous:        roster.Previous,
		ResumeUnclaimed: b.cfg.Cluster.ResumeUnclaimed,
		MaxResultBytes:  int(min(b.memoryShare(replayableResultShare), replayableResultShare*assumedMemoryBytes)),
	}, c.store, c, b.cfg.Seed^1, b.guard.now())
	c.node.MarkFencesDurable(fenceList(c.peerStates.Fences))
	c.startRefill()
	b.log.Info("cluster member started", "cluster", b.cfg.Cluster.Name, "incarnation", c.incarnation,
		"members", len(roster.Members), "previous_members", len(roster.Previous))
}

// Alive reports whether the failure detector considers a node alive. It implements failover.FailureDetector. A node
// that is only suspected is not alive: an attempt to take over its requests does no harm.
func (c *cluster) Alive(name string) bool { return c.detector.Lookup(name).State == membership.Alive }

// Dead reports whether the failure detector considers a node dead or has seen it leave.
func (c *cluster) Dead(name string) bool { return c.detector.Lookup(name).State >= membership.Dead }

// Incarnation returns the latest known incarnation of a node.
func (c *cluster) Incarnation(name string) uint64 { return c.detector.Lookup(name).Incarnation }

// onTimer performs what is due, and makes the backend wake up for the next deadline.
func (c *cluster) onTimer() {
	c.recoveryTick()
	if c.node == nil {
		return
	}
	b := c.backend
	c.expireProcessorQueries()
	if b.now >= c.nextTick {
		c.nextTick = b.now + failoverTickInterval
		c.node.Tick(b.guard.now())
		c.refillTick()
	}
	b.wakeBy(c.nextTick)
	c.tryReconfigure()
	deadline := c.detector.NextDeadline()
	if b.now >= deadline {
		c.detector.Tick(b.now)
		deadline = c.detector.NextDeadline()
	}
	b.wakeBy(deadline)
}

// runPending performs the pending actions of the recovery node, the failure detector and the failover node. It reports
// whether one of them was a decision on a request.
func (c *cluster) runPending() bool {
	c.runRecovery()
	if c.node == nil {
		return false
	}
	c.runDetector()
	progress := c.runFailover()
	for _, query := range c.node.ProcessorQueries() {
		c.queryProcessor(query)
	}
	return progress
}

// runDetector queues the messages of the failure detector and handles the changes of member states.
func (c *cluster) runDetector() {
	messages, changes := c.detector.Ready()
	for _, message := range messages {
		if link := c.links[message.To]; link != nil { // nil if the node is no longer a member
			link.batch.Members = append(link.batch.Members, message.Message)
		}
	}
	for _, change := range changes {
		c.unlinkDeparted(change.Update)
		c.backend.log.Info("member state changed", "node", change.Name, "incarnation", change.Incarnation,
			"state", change.State.String(), "previous_state", change.Previous.State.String())
	}
}

// runFailover queues the messages of the failover node and carries out its decisions, until it has no more of either.
// It reports whether there was a decision.
func (c *cluster) runFailover() (progress bool) {
	for {
		messages, decisions := c.node.Ready()
		if len(messages)+len(decisions) == 0 {
			return progress
		}
		for _, message := range messages {
			if link := c.links[message.To]; link != nil { // nil if a ballot names a node outside this roster
				link.batch.Claims = append(link.batch.Claims, message.Message)
			}
		}
		for _, decision := range decisions {
			progress = true
			c.applyDecision(decision)
		}
	}
}

// leave announces to the other nodes that this one shuts down. From then on it takes over no requests.
func (c *cluster) leave() {
	if c.node != nil {
		c.node.StartDraining()
		c.detector.Leave()
	}
}

// expireProcessorQueries closes the connections on which the processor of a lost node did not answer in time.
func (c *cluster) expireProcessorQueries() {
	b := c.backend
	for _, query := range c.processorQueries { // the order does not matter: each query has its own connection
		switch {
		case query.conn == nil:
		case b.now >= query.deadline:
			query.conn.Abort(conn.ErrClosedLocally)
		default:
			b.wakeBy(query.deadline)
		}
	}
}
