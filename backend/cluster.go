package backend

import (
	"time"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/conn"
	"frosthub/membership"
	"frosthub/recovery"
)

// ClusterConfig describes the nodes that take over each other's guarded requests. The zero value is a node alone.
type ClusterConfig struct {
	Name    string
	Listen  string // where the other nodes connect
	Members []ClusterMember
	// Previous is the members before, while the members change.
	Previous []ClusterMember
	// ResumeUnclaimed has a request that a lost node had reserved go on although nobody retries it.
	ResumeUnclaimed bool
	// MajorityAfter is how long after a start all nodes that may know more than this node's disk are waited for. After
	// that a majority will do. 0 means the default.
	MajorityAfter time.Duration
	// DegradeAfter is how long a majority is waited for. 0 means the default.
	DegradeAfter time.Duration
	// ReplayableHandlers are the handlers whose requests may run twice and are taken over too, and what their keys are
	// made of.
	ReplayableHandlers map[string][]KeyPart
}

// ClusterMember is one of the nodes. This node is among them.
type ClusterMember struct {
	failover.Member
	Address string `json:"address"`
	// Processor is where other nodes may ask the node's processor how runs ended once the node seems lost. Empty: they
	// don't.
	Processor string `json:"processor,omitempty"`
}

const (
	// failoverTick is the time between looks at what other nodes owe an answer to.
	failoverTick = 20 * time.Millisecond
	// probeInterval and probeTimeout are those of the failure detector: a node is suspected after a few intervals.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 40 * time.Millisecond
	// notedResultShare is the part of the memory limit for results of replayable requests that are kept for other
	// nodes.
	notedResultShare = 0.02
)

// cluster connects the backend with the failure detector, the failover node and the recovery node: it carries their
// messages and does what they decide.
//
// A node of a cluster comes up in steps: init; startRecovery once the store is loaded; start once the recovery knows
// enough of what the others remember of this node. Until then no guarded request is admitted.
//
// All methods are called by the goroutine that owns the backend.
type cluster struct {
	backend     *Backend // nil for a node alone
	detector    *membership.Detector
	node        *failover.Node // nil until start
	links       map[string]*peerLink
	incarnation uint64
	nextTick    time.Duration
	store       *idempotency.Store
	recovery    *recovery.Node // nil until startRecovery
	mark        uint64         // random, of this process: others remember it with what they know of the node
	peerStates  peerStateFile
	refill      refillState
	keyParts    [][]KeyPart // by handler, of replayable ones that are taken over

	processorQueries map[string]*processorQuery // by the lost node whose processor is asked

	roster      clusterRoster       // the adopted one
	ownDigests  []uint64            // of the adopted roster's lists
	peerDigests map[string][]uint64 // of those that other nodes have adopted
	departing   []ClusterMember     // of the previous list: no members any more, but not known to be gone
	change      rosterChange
}

func (c *cluster) enabled() bool { return c.backend != nil }

// init prepares a node of a cluster.
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
			parts = nil // what must not run twice is guarded, or not kept at all
		}
		c.keyParts = append(c.keyParts, parts)
	}
}

// start has the node take part in the cluster, in the incarnation that its store counts. It is called again when the
// incarnation is raised.
func (c *cluster) start() {
	b := c.backend
	c.incarnation = c.store.Stats().Incarnation
	roster := c.roster.forFailover()
	if c.node != nil { // its incarnation was raised
		c.store.AbandonInFlight(b.guard.now())
	}
	c.change.pending = true // until the roster of the operator's file is adopted
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
		MaxResultBytes:  int(min(b.memoryShare(notedResultShare), notedResultShare*assumedMemoryBytes)),
	}, c.store, c, b.cfg.Seed^1, b.guard.now())
	c.node.MarkFencesDurable(fenceList(c.peerStates.Fences))
	c.startRefill()
	b.log.Info("cluster member started", "name", b.cfg.Cluster.Name, "incarnation", c.incarnation,
		"members", len(roster.Members), "before", len(roster.Previous))
}

// Alive reports whether a node is believed to be alive. The failover node asks it. A node that is only suspected isn't
// alive: trying to replace it does no harm.
func (c *cluster) Alive(name string) bool { return c.detector.Lookup(name).State == membership.Alive }

// Dead reports whether a node is believed to be dead or to have left.
func (c *cluster) Dead(name string) bool { return c.detector.Lookup(name).State >= membership.Dead }

// Incarnation returns the last known incarnation of a node.
func (c *cluster) Incarnation(name string) uint64 { return c.detector.Lookup(name).Incarnation }

// onTimer does what is due and asks the backend to wake up for the rest.
func (c *cluster) onTimer() {
	c.recoveryTick()
	if c.node == nil {
		return
	}
	b := c.backend
	c.expireProcessorQueries()
	if b.now >= c.nextTick {
		c.nextTick = b.now + failoverTick
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

// runPending carries out what the failure detector and the failover node want, and reports whether there was an outcome
// of a request.
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

func (c *cluster) runDetector() {
	messages, changes := c.detector.Ready()
	for _, message := range messages {
		if link := c.links[message.To]; link != nil { // else it is no member any more
			link.batch.Members = append(link.batch.Members, message.Message)
		}
	}
	for _, change := range changes {
		c.unlinkDeparted(change.Update)
		c.backend.log.Info("member state changed", "name", change.Name, "incarnation", change.Incarnation,
			"state", change.State.String(), "was", change.Previous.State.String())
	}
}

func (c *cluster) runFailover() (progress bool) {
	for {
		messages, outcomes := c.node.Ready()
		if len(messages)+len(outcomes) == 0 {
			return progress
		}
		for _, message := range messages {
			if link := c.links[message.To]; link != nil { // a ballot may name a node that is not on this roster
				link.batch.Claims = append(link.batch.Claims, message.Message)
			}
		}
		for _, outcome := range outcomes {
			progress = true
			c.applyOutcome(outcome)
		}
	}
}

// leave tells the other nodes that this one ends. It takes nothing over any more.
func (c *cluster) leave() {
	if c.node != nil {
		c.node.StartDraining()
		c.detector.Leave()
	}
}

// expireProcessorQueries closes the connections on which the processor of a lost node doesn't answer.
func (c *cluster) expireProcessorQueries() {
	b := c.backend
	for _, query := range c.processorQueries { // each has its own connection: the order doesn't matter
		switch {
		case query.conn == nil:
		case b.now >= query.deadline:
			query.conn.Abort(conn.ErrClosedLocally)
		default:
			b.wakeBy(query.deadline)
		}
	}
}
