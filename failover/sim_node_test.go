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
// its store, disk, processor and callers. It implements Peers.
type simNode struct {
	cluster     *simCluster
	index       int
	name        string
	incarnation uint64
	up          bool
	pausedUntil time.Duration
	machine     *Node
	store       *idempotency.Store
	requests    map[uint64]idempotency.Key // not let in yet, by ID

	disk          []idempotency.LogEntry
	pendingWrites []idempotency.LogEntry // handed over, not confirmed
	fencesOnDisk  []Fence
	// diskOutdated: the disk is older than what peers know, and doesn't say so.
	diskOutdated bool
	refill       *recovery.Refill[Cursor]

	knownIncarnations []uint64 // of others, as heard
	roster            Roster   // on the disk
	digests           []uint64 // of the roster
	reportedDigests   map[string][]uint64

	// processorRuns is what the processor knows, of this incarnation and of
	// those before if it survives them.
	processorRuns []finishedRun
}

// finishedRun is a run that has ended.
type finishedRun struct {
	id     uint64
	kind   idempotency.EntryKind
	result []byte
}

// Alive implements Peers; the belief may be wrong.
func (x *simNode) Alive(name string) bool {
	peer := x.cluster.node(name)
	alive := peer.up && peer.pausedUntil <= x.cluster.Now && !x.cluster.cut[link{peer.index, x.index}]
	if x.cluster.random.Float64() < x.cluster.wrongBeliefRate {
		return !alive
	}
	return alive
}

// Dead implements Peers.
func (x *simNode) Dead(name string) bool { return !x.Alive(name) }

// Incarnation implements Peers.
func (x *simNode) Incarnation(name string) uint64 {
	return x.knownIncarnations[x.cluster.node(name).index]
}

// after has a node do something later, if it is still in the same incarnation. A
// paused node does it when it resumes.
func (x *simNode) after(delay time.Duration, do func()) {
	incarnation := x.incarnation
	x.cluster.After(delay, func() {
		switch {
		case !x.up || x.incarnation != incarnation:
		case x.pausedUntil > x.cluster.Now:
			x.after(x.pausedUntil-x.cluster.Now, do)
		default:
			do()
			x.flush()
		}
	})
}

// start begins a new incarnation with what is on the disk.
func (x *simNode) start() {
	x.incarnation++
	x.up = true
	x.pausedUntil = 0
	x.requests = map[uint64]idempotency.Key{}
	x.pendingWrites = nil
	x.refill = nil
	x.knownIncarnations = make([]uint64, len(x.cluster.nodes))
	x.reportedDigests = map[string][]uint64{}
	if !x.cluster.processorsSurvive {
		x.processorRuns = nil
	}
	x.loadStore()
	if len(x.roster.Members) == 0 {
		x.roster.Members = x.cluster.oldMembers()
	}
	x.digests = x.roster.Digests()
	config := Config{
		Name:            x.name,
		Incarnation:     x.incarnation,
		Members:         x.roster.Members,
		Previous:        x.roster.Previous,
		ResumeUnclaimed: true,
	}
	x.machine = New(config, x.store, x, x.cluster.random.Uint64(), x.cluster.Now)
	x.machine.MarkFencesDurable(x.fencesOnDisk)
	if x.diskOutdated {
		x.store.MarkOutdated(x.cluster.Now)
	}
	if !x.store.HistoryComplete() {
		x.startRefill()
	}
	x.scheduleTick()
	x.flush()
}

func (x *simNode) loadStore() {
	limits := storeLimits
	if x.cluster.disksLost && x.cluster.seed%2 == 0 {
		limits.MaxEntries = 4 // so that keys expire
	}
	x.store = idempotency.New(limits)
	for _, entry := range x.disk {
		x.store.Load(entry)
	}
	x.store.FinishLoading(x.cluster.Now, false, 0)
}

func (x *simNode) scheduleTick() {
	x.after(20*time.Millisecond, func() {
		x.machine.Tick(x.cluster.Now)
		x.requestPages()
		if x.cluster.membersChange {
			x.adoptRoster()
		}
		x.scheduleTick()
	})
}

// flush carries out what the state machine and its store ask for.
func (x *simNode) flush() {
	x.flushWrites()
	for _, query := range x.machine.ProcessorQueries() {
		x.after(x.cluster.drawUpTo(4*time.Millisecond), func() {
			for _, run := range x.cluster.node(query.Node).processorRuns {
				x.machine.FinishFromProcessor(x.cluster.Now, query.Node, run.id, run.kind, run.result)
			}
		})
	}
	for {
		outbox, outcomes := x.machine.Ready()
		if len(outbox)+len(outcomes) == 0 {
			return
		}
		for _, envelope := range outbox {
			x.send(envelope)
		}
		for _, outcome := range outcomes {
			x.handleOutcome(outcome)
		}
	}
}

func (x *simNode) flushWrites() {
	writes := x.store.TakeEntries()
	if len(writes) == 0 {
		return
	}
	x.pendingWrites = append(x.pendingWrites, writes...)
	count := len(x.pendingWrites)
	x.after(x.cluster.drawUpTo(x.cluster.maxWriteDelay), func() {
		count = min(count, len(x.pendingWrites))
		if count == 0 {
			return
		}
		seq := x.pendingWrites[count-1].Seq
		x.completeWrites(count)
		x.machine.MarkDurable(x.cluster.Now, seq)
	})
}

// completeWrites has the first pending writes be on the disk.
func (x *simNode) completeWrites(count int) {
	for _, entry := range x.pendingWrites[:count] {
		if entry.Kind == idempotency.EntryHistoryLost {
			x.diskOutdated = false // the disk says so itself from now on
		}
	}
	x.disk = append(x.disk, x.pendingWrites[:count]...)
	x.pendingWrites = x.pendingWrites[count:]
}

// send carries a message to another node, perhaps late, twice or never.
func (x *simNode) send(envelope Envelope) {
	c, to := x.cluster, x.cluster.node(envelope.To)
	if c.cut[link{x.index, to.index}] || c.random.Float64() < c.lossRate {
		return
	}
	incarnation, message, digests := x.incarnation, envelope.Message, x.digests
	copies := 1
	if c.random.Float64() < c.lossRate {
		copies = 2
	}
	for range copies {
		delay := c.drawUpTo(2 * time.Millisecond)
		if !c.faultless && c.random.IntN(200) == 0 {
			delay += 3 * time.Second
		}
		c.After(delay, func() {
			if to.up {
				to.after(0, func() { to.receive(x, incarnation, digests, &message) })
			}
		})
	}
}

func (x *simNode) receive(from *simNode, incarnation uint64, digests []uint64, message *Message) {
	x.knownIncarnations[from.index] = max(x.knownIncarnations[from.index], incarnation)
	if incarnation == x.knownIncarnations[from.index] {
		x.reportedDigests[from.name] = digests
	}
	if Compatible(digests, x.digests) {
		x.machine.Receive(x.cluster.Now, from.name, incarnation, message)
	}
}
