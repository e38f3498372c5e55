package failover

import (
	"time"

	"frosthub/idempotency"
	"frosthub/recovery"
)

var storeLimits = idempotency.Config{
	MaxEntries:     1000,
	MaxBytes:       100_000,
	MaxResultBytes: 1000,
	ResultTTL:      time.Hour,
	RetryHorizon:   24 * time.Hour,
	MaxSegments:    20,
	KeysPerSegment: 100,
	SegmentBytes:   10_000,
}

// simNode is a node of a simulated cluster: the state machine under test with
// its store, disk, processor and clients. It implements FailureDetector.
type simNode struct {
	cluster      *simCluster
	index        int
	name         string
	incarnation  uint64
	up           bool
	pausedUntil  time.Duration
	stateMachine *Node
	store        *idempotency.Store
	requests     map[uint64]idempotency.Key // by ID, until they are admitted

	disk          []idempotency.LogEntry
	pendingWrites []idempotency.LogEntry // submitted, not confirmed
	fencesOnDisk  []Fence
	// diskOutdated: the disk is older than the records of peers, and has no
	// entry about the loss.
	diskOutdated bool
	refill       *recovery.Refill[Cursor]

	knownIncarnations []uint64 // of other nodes, from their messages
	roster            Roster   // on disk
	digests           []uint64 // of the roster
	reportedDigests   map[string][]uint64

	// processorRuns holds the finished runs of the processor: those of this
	// incarnation and, if the processor survives its node, those of earlier
	// ones.
	processorRuns []finishedRun
}

// finishedRun is a run that has ended.
type finishedRun struct {
	id     uint64
	kind   idempotency.EntryKind
	result []byte
}

// Alive implements FailureDetector; the result may be wrong.
func (n *simNode) Alive(name string) bool {
	peer := n.cluster.node(name)
	alive := peer.up && peer.pausedUntil <= n.cluster.Now && !n.cluster.cut[link{peer.index, n.index}]
	if n.cluster.random.Float64() < n.cluster.falseDetectionRate {
		return !alive
	}
	return alive
}

// Dead implements FailureDetector.
func (n *simNode) Dead(name string) bool { return !n.Alive(name) }

// Incarnation implements FailureDetector.
func (n *simNode) Incarnation(name string) uint64 {
	return n.knownIncarnations[n.cluster.node(name).index]
}

// after schedules a call on a node, which is skipped unless the node is still
// in the same incarnation. A paused node runs the call when it resumes.
func (n *simNode) after(delay time.Duration, do func()) {
	incarnation := n.incarnation
	n.cluster.After(delay, func() {
		switch {
		case !n.up || n.incarnation != incarnation:
		case n.pausedUntil > n.cluster.Now:
			n.after(n.pausedUntil-n.cluster.Now, do)
		default:
			do()
			n.flush()
		}
	})
}

// start begins a new incarnation with the state on disk.
func (n *simNode) start() {
	n.incarnation++
	n.up = true
	n.pausedUntil = 0
	n.requests = map[uint64]idempotency.Key{}
	n.pendingWrites = nil
	n.refill = nil
	n.knownIncarnations = make([]uint64, len(n.cluster.nodes))
	n.reportedDigests = map[string][]uint64{}
	if !n.cluster.processorsSurvive {
		n.processorRuns = nil
	}
	n.loadStore()
	if len(n.roster.Members) == 0 {
		n.roster.Members = n.cluster.oldMembers()
	}
	n.digests = n.roster.Digests()
	config := Config{
		Name:            n.name,
		Incarnation:     n.incarnation,
		Members:         n.roster.Members,
		Previous:        n.roster.Previous,
		ResumeUnclaimed: true,
	}
	n.stateMachine = New(config, n.store, n, n.cluster.random.Uint64(), n.cluster.Now)
	n.stateMachine.MarkFencesDurable(n.fencesOnDisk)
	if n.diskOutdated {
		n.store.MarkOutdated(n.cluster.Now)
	}
	if !n.store.HistoryComplete() {
		n.startRefill()
	}
	n.scheduleTick()
	n.flush()
}

func (n *simNode) loadStore() {
	limits := storeLimits
	if n.cluster.disksLost && n.cluster.seed%2 == 0 {
		limits.MaxEntries = 4 // so that keys expire
	}
	n.store = idempotency.New(limits)
	for _, entry := range n.disk {
		n.store.Load(entry)
	}
	n.store.FinishLoading(n.cluster.Now, false, 0)
}

func (n *simNode) scheduleTick() {
	n.after(20*time.Millisecond, func() {
		n.stateMachine.Tick(n.cluster.Now)
		n.requestPages()
		if n.cluster.membersChange {
			n.adoptNextRoster()
		}
		n.scheduleTick()
	})
}

// flush carries out the pending actions of the state machine and its store.
func (n *simNode) flush() {
	n.flushWrites()
	for _, query := range n.stateMachine.ProcessorQueries() {
		n.after(n.cluster.randomUpTo(4*time.Millisecond), func() {
			for _, run := range n.cluster.node(query.Node).processorRuns {
				n.stateMachine.FinishFromProcessor(n.cluster.Now, query.Node, run.id, run.kind, run.result)
			}
		})
	}
	for {
		outbox, decisions := n.stateMachine.Ready()
		if len(outbox)+len(decisions) == 0 {
			return
		}
		for _, envelope := range outbox {
			n.send(envelope)
		}
		for _, decision := range decisions {
			n.handleDecision(decision)
		}
	}
}

func (n *simNode) flushWrites() {
	writes := n.store.TakeEntries()
	if len(writes) == 0 {
		return
	}
	n.pendingWrites = append(n.pendingWrites, writes...)
	count := len(n.pendingWrites)
	n.after(n.cluster.randomUpTo(n.cluster.maxWriteDelay), func() {
		count = min(count, len(n.pendingWrites))
		if count == 0 {
			return
		}
		seq := n.pendingWrites[count-1].Seq
		n.completeWrites(count)
		n.stateMachine.MarkDurable(n.cluster.Now, seq)
	})
}

// completeWrites moves the first pending writes to the disk.
func (n *simNode) completeWrites(count int) {
	for _, entry := range n.pendingWrites[:count] {
		if entry.Kind == idempotency.EntryHistoryLost {
			n.diskOutdated = false // from now on the disk has an entry about the loss
		}
	}
	n.disk = append(n.disk, n.pendingWrites[:count]...)
	n.pendingWrites = n.pendingWrites[count:]
}

// send delivers a message to another node, possibly late, twice or never.
func (n *simNode) send(envelope Envelope) {
	c, to := n.cluster, n.cluster.node(envelope.To)
	if c.cut[link{n.index, to.index}] || c.random.Float64() < c.lossRate {
		return
	}
	incarnation, message, digests := n.incarnation, envelope.Message, n.digests
	copies := 1
	if c.random.Float64() < c.lossRate {
		copies = 2
	}
	for range copies {
		delay := c.randomUpTo(2 * time.Millisecond)
		if !c.faultless && c.random.IntN(200) == 0 {
			delay += 3 * time.Second
		}
		c.After(delay, func() {
			if to.up {
				to.after(0, func() { to.receive(n, incarnation, digests, &message) })
			}
		})
	}
}

func (n *simNode) receive(from *simNode, incarnation uint64, digests []uint64, message *Message) {
	n.knownIncarnations[from.index] = max(n.knownIncarnations[from.index], incarnation)
	if incarnation == n.knownIncarnations[from.index] {
		n.reportedDigests[from.name] = digests
	}
	if Compatible(digests, n.digests) {
		n.stateMachine.Receive(n.cluster.Now, from.name, incarnation, message)
	}
}
