package backend

import (
	"cmp"
	"errors"
	"fmt"
	"frosthub/accounting"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/conn"
	"frosthub/internal/peerproto"
	"frosthub/internal/processor"
	"frosthub/membership"
	"frosthub/overload"
	"frosthub/recovery"
	"math"
	"slices"
	"time"
)

// ClusterConfig is the boxes that take each other's guarded reqs over. The zero value is a box alone.
type ClusterConfig struct {
	Name               string
	Listen             string // where the others connect
	Members            []ClusterMember
	Previous           []ClusterMember      // while the members change: the list before
	ResumeUnclaimed    bool                 // what was held goes on although nobody asks for it again
	MajorityAfter      time.Duration        // for all that may know more than this box's disk, after a start; then most of them do; 0 as usual
	DegradeAfter       time.Duration        // and for most of them; 0 as usual
	ReplayableHandlers map[string][]KeyPart // handlers whose reqs may run again and are taken over too, and what their keys are made of
}

// ClusterMember is one of them, this box among them.
type ClusterMember struct {
	failover.Member
	Address   string `json:"address"`
	Processor string `json:"processor,omitempty"` // where others may ask its processor how runs ended, once it seems lost; empty: they don't
}

const (
	boxTick    = 20 * time.Millisecond  // between looks at what others owe an answer to
	boxRedial  = 200 * time.Millisecond // between tries to reach a box
	boxOutMost = 4 << 20                // bytes that may wait for one that takes none; then the connection is closed
	probeEvery = 100 * time.Millisecond // a death is suspected after a few of these
	probeAnd   = 40 * time.Millisecond
	helloMost  = 4 << 10                // bytes of one that has not said who it is
	reqsMost   = 500                    // reqs that are shown: what a person reads
	askWait    = 100 * time.Millisecond // for the processor of a lost box
	noteShare  = 0.02                   // of the memory limit, for results of replayable reqs that are noted for others
	sizeTaken  = 24.0                   // kilobytes booked for a req that was taken over, where its box told none
)

// cluster is the core's side of members and takeover: it carries their messages, and does what they say.
type cluster struct {
	backend          *Backend
	detector         *membership.Detector
	node             *failover.Node // nil until the store is read
	links            map[string]*nodeLink
	incarnation      uint64
	nextTick         time.Duration
	store            *idempotency.Store
	recovery         *recovery.Node // back after a loss; nil until the store is read
	mark             uint64         // of this process
	peerStates       peerStateFile
	refill           refillState
	keyParts         [][]KeyPart                // by handler: replayable ones that are taken over
	processorQueries map[string]*processorQuery // processors of lost boxes that are being asked

	roster        clusterRoster       // that this box goes by
	ownDigests    []uint64            // their digests
	departing     []ClusterMember     // of the list before: no members, and not known to be gone
	peerDigests   map[string][]uint64 // by which lists others go: digests
	changePending bool                // it is to go by those of the configuration
	changeAt      time.Duration
	changeReason  string // it can't yet
	writingRoster bool   // the disk takes other lists
}

// processorQuery is a question to the processor of a lost box.
type processorQuery struct {
	conn     *conn.Conn // nil while it is dialled
	deadline time.Duration
}

// nodeLink is the connection on which this box sends to another.
type nodeLink struct {
	address    string
	processor  string
	conn       *conn.Conn
	dialing    bool
	redialAt   time.Duration
	batch      peerproto.Batch // of this turn
	queryState bool            // what it remembers of this box
}

var (
	errStranger = errors.New("not of this cluster")
	errHello    = errors.New("it does not say who it is")
)

func (c *cluster) enabled() bool { return c.backend != nil }

// init prepares a box of a cluster.
func (c *cluster) init(b *Backend) {
	if b.cfg.Cluster.Name == "" || !b.guard.enabled() {
		return
	}
	c.backend, c.links, c.processorQueries = b, map[string]*nodeLink{}, map[string]*processorQuery{}
	for _, h := range b.handlers {
		parts := b.cfg.Cluster.ReplayableHandlers[h.name]
		if !h.replayable {
			parts = nil // what must not run twice is guarded, or not kept at all
		}
		c.keyParts = append(c.keyParts, parts)
	}
	c.peerDigests = map[string][]uint64{}
}

// start has the box take part, with the life that its store counts.
func (c *cluster) start() {
	b := c.backend
	c.incarnation = c.store.Stats().Incarnation
	r := c.roster.forFailover()
	if c.node != nil { // its life was numbered anew
		c.store.AbandonInFlight(b.guard.now())
	}
	c.changePending = true // until it goes by those of its file
	c.detector = membership.New(membership.Config{Name: b.cfg.Name, Incarnation: c.incarnation, ProbeInterval: probeEvery, ProbeTimeout: probeAnd}, b.cfg.Seed, b.now)
	c.connect()
	c.node = failover.New(failover.Config{
		Name: b.cfg.Name, Incarnation: c.incarnation, Members: r.Members, Previous: r.Previous, ResumeUnclaimed: b.cfg.Cluster.ResumeUnclaimed,
		MaxResultBytes: int(min(b.memoryShare(noteShare), noteShare*memoryNone)),
	}, c.store, c, b.cfg.Seed^1,
		b.guard.now())
	c.node.AddFences(fences(c.peerStates.Fences))
	c.startRefill()
	b.log.Info("cluster", "name", b.cfg.Cluster.Name, "life", c.incarnation, "members", len(r.Members), "before", len(r.Previous))
}

// Alive, Gone and Life are what takeover is told of others. One that is only suspected is tried to be replaced: that harms nothing.
func (c *cluster) Alive(name string) bool { return c.detector.Lookup(name).State == membership.Alive }

func (c *cluster) Dead(name string) bool          { return c.detector.Lookup(name).State >= membership.Dead }
func (c *cluster) Incarnation(name string) uint64 { return c.detector.Lookup(name).Incarnation }

// accept accepts the connection of another box.
func (c *cluster) accept(n *conn.Conn) {
	b := c.backend
	from, life := "", uint64(0)
	p := peerproto.NewParser(func(batch *peerproto.Batch) error {
		if c.recovery == nil && batch.Hello == nil {
			return nil // not yet read: they ask again
		}
		if h := batch.Hello; h != nil && (from == "" || from == h.From) {
			if h.Cluster != b.cfg.Cluster.Name || c.links[h.From] == nil && c.recovery != nil {
				return fmt.Errorf("%w: %s of %s", errStranger, h.From, h.Cluster)
			}
			from, life = h.From, h.Incarnation
			c.peerDigests[from] = h.Lists
			c.onHello(h)
		}
		if from != "" && batch.PeerState != nil && c.recovery != nil {
			c.recovery.Receive(b.now, from, *batch.PeerState)
		}
		switch {
		case from == "":
			return errHello
		case c.node == nil:
			return nil
		case c.links[from] == nil:
			return fmt.Errorf("%w: %s", errStranger, from)
		}
		if batch.PageRequest != nil {
			c.sendPage(from, life, batch.PageRequest)
		}
		if batch.Page != nil {
			c.onPage(from, life, batch.Page)
		}
		if len(batch.Members) == 0 {
			c.detector.Observe(b.now, from, life)
		}
		for i := range batch.Members {
			c.detector.Receive(b.now, from, life, &batch.Members[i])
		}
		if len(batch.Claims) > 0 && !failover.Compatible(c.peerDigests[from], c.ownDigests) {
			b.logLimited("members differ", "box", from)
			return nil
		}
		for i := range batch.Claims {
			c.node.Receive(b.guard.now(), from, life, &batch.Claims[i])
		}
		return nil
	})
	n.OnData = b.parseLogged("bad box", func(text []byte) error {
		if err := p.Feed(text); err != nil || from != "" || p.Held() <= helloMost {
			return err
		}
		return errHello
	})
	n.OnClosed = func(error) {}
}

// onTimer does what is due.
func (c *cluster) onTimer() {
	c.recoveryTick()
	if c.node == nil {
		return
	}
	b := c.backend
	for _, s := range c.processorQueries { // each has its own connection: the order does not matter
		switch {
		case s.conn == nil:
		case b.now >= s.deadline:
			s.conn.Abort(conn.ErrClosedLocally)
		default:
			b.wakeBy(s.deadline)
		}
	}
	if b.now >= c.nextTick {
		c.nextTick = b.now + boxTick
		c.node.Tick(b.guard.now())
		c.refillTick()
	}
	b.wakeBy(c.nextTick)
	c.tryReconfigure()
	at := c.detector.NextDeadline()
	if b.now >= at {
		c.detector.Tick(b.now)
		at = c.detector.NextDeadline()
	}
	b.wakeBy(at)
}

// runPending carries out what members and takeover want, and tells whether anything was done.
func (c *cluster) runPending() (any bool) {
	c.runRecovery()
	if c.node == nil {
		return false
	}
	b := c.backend
	sends, changes := c.detector.Ready()
	for _, s := range sends {
		l := c.links[s.To]
		if l == nil {
			continue // it is no member any more
		}
		l.batch.Members = append(l.batch.Members, s.Message)
	}
	for _, x := range changes {
		c.dropDeparted(x.Update)
		b.log.Info("member", "name", x.Name, "life", x.Incarnation, "state", x.State.String(), "was", x.Previous.State.String())
	}
	for {
		sends, out := c.node.Ready()
		if len(sends)+len(out) == 0 {
			break
		}
		for _, s := range sends {
			if l := c.links[s.To]; l != nil { // a ballot may name a box that is not on this list
				l.batch.Claims = append(l.batch.Claims, s.Message)
			}
		}
		for _, o := range out {
			any = true
			c.applyOutcome(o)
		}
	}
	for _, p := range c.node.ProcessorQueries() {
		c.askProcessor(p)
	}
	return any
}

// askProcessor asks the processor of a lost box how runs ended that were begun there: it hands out its notices after the given one.
func (c *cluster) askProcessor(p failover.ProcessorQuery) {
	b, l := c.backend, c.links[p.Node]
	if l == nil || l.processor == "" || c.processorQueries[p.Node] != nil {
		return
	}
	s := &processorQuery{}
	c.processorQueries[p.Node] = s
	b.loop.Dial(l.processor, func(n *conn.Conn, err error) {
		if err != nil {
			delete(c.processorQueries, p.Node)
			return
		}
		s.conn, s.deadline = n, b.now+askWait
		n.MaxUnsent = int(min(b.memoryShare(linkShare), math.MaxInt32))
		n.SetInputLimit(n.MaxUnsent)
		n.OnClosed = func(error) { delete(c.processorQueries, p.Node) }
		n.OnData = b.parseLogged("bad link", processor.NewParser(func(x processor.Notice) {
			kind := map[overload.Outcome]idempotency.EntryKind{overload.OK: idempotency.EntryResult, overload.Failed: idempotency.EntryFailed, overload.Stopped: idempotency.EntryFailed}[x.Outcome]
			switch {
			case x.Kind == processor.Hi:
				n.Write(processor.AppendUsage(nil, 1)) // its answer follows all notices that are kept
			case x.Kind == processor.Complete && kind != 0:
				c.node.FinishFromProcessor(b.guard.now(), p.Node, x.ID, kind, x.Body)
			case x.Kind == processor.Used:
				n.CloseAfterSend(conn.ErrClosedLocally)
			}
		}).Feed)
		n.Write(processor.AppendHello(nil, max(p.Notice, 1))) // 0 would say that its box has started anew
	})
}

// send writes what has come together in a turn, one batch a box.
func (c *cluster) send() {
	for _, l := range c.links { // each has its own connection: the order does not matter
		c.flush(l)
	}
}

// flush writes a turn's batch to a box. What can't be sent is asked for again.
func (c *cluster) flush(l *nodeLink) {
	if !l.hasPending() {
		return
	}
	b := c.backend
	if l.conn != nil {
		if l.queryState {
			l.queryState = false
			l.conn.Write(c.hello(true))
		}
		b.scratch = peerproto.Append(b.scratch[:0], &l.batch)
		l.conn.Write(b.scratch)
	} else if !l.dialing && b.now >= l.redialAt {
		l.dialing = true
		address := l.address
		b.loop.Dial(address, func(n *conn.Conn, err error) {
			l.dialing, l.redialAt = false, b.now+boxRedial
			if err != nil {
				return
			}
			if l.address != address {
				n.CloseAfterSend(conn.ErrClosedLocally) // it has moved meanwhile
				return
			}
			l.conn = n
			n.MaxUnsent = boxOutMost
			n.OnData = func([]byte) error { return nil }
			n.OnClosed = func(error) {
				if l.conn == n {
					l.conn = nil
				}
			}
			n.Write(c.hello(l.queryState))
			l.queryState = false
		})
	}
	l.batch = peerproto.Batch{}
}

// claim has a guarded req's group asked, before the module hears of it.
func (c *cluster) claim(r *request) {
	g := r.guard
	r.state = stateUnverified
	h := &c.backend.handlers[r.handler]
	c.node.Claim(c.backend.guard.now(), g.key, g.createdAt, r.id, failover.Work{
		Handler: h.name, Body: r.body, Left: int64(g.answerBy - c.backend.now),
		Cost: int64(r.arrival.Hint), Size: r.arrival.Size, Rank: r.arrival.ValueRank, Weight: h.value, Replayable: g.replayable,
	})
}

// submitClaimed hands a req to the module, after its group was asked.
func (c *cluster) submitClaimed(r *request, known bool) {
	r.state = stateHeld
	r.arrival.Delay += c.backend.now - r.guard.askedAt
	if known {
		r.originalID = cmp.Or(c.node.Original(r.guard.key), 1)
		if r.originalID == r.id || c.backend.requests[r.originalID] == nil {
			r.originalID = ^uint64(0) // another box's: the module knows nothing of it
		}
		r.arrival.RepeatOf = r.originalID
	} else if r.guard.replayable {
		c.backend.results.lookup(r) // where there is no room it is not remembered: it may run again
	}
	c.backend.submitArrival(r)
}

// closeAccount closes the account of a req that was taken over: its answer is the group's.
func (c *cluster) closeAccount(r *request, why accounting.Reason) {
	if !r.takenOver || r.accounted {
		return
	}
	r.accounted = true
	c.backend.ledger.Answer(c.backend.wall, r.ticket, why)
	c.backend.ledger.Sent(c.backend.wall, r.ticket)
}

// handOff has another box take over what this one leaves unrun, and tells whether one does. Its caller hears that one's result here,
// within the stop.
func (c *cluster) handOff(r *request) bool {
	if c.node == nil || r.guard == nil || r.state != stateHeld || !c.node.HandOff(c.backend.guard.now(), r.guard.key, r.id) {
		return false
	}
	c.backend.stats.HandedOff++
	r.state = stateAwaitingResult
	c.backend.guard.awaitingDisk[r] = struct{}{}
	return true
}

// ClusterStats tell how a box sees its cluster, and what it has to do with the others.
type ClusterStats struct {
	Name            string              `json:"name"`
	Incarnation     uint64              `json:"life"`
	Previous        int                 `json:"former"` // boxes of the list before, while the members change; 0 they don't
	Since           string              `json:"since"`  // that all are known to go by both
	RosterReason    string              `json:"why"`    // it does not go by the lists of its file
	Phase           string              `json:"phase"`  // of its way back
	PhaseReason     string              `json:"phase_why"`
	Unanswered      []string            `json:"missing"`  // while it asks: who has not answered
	Refill          []recovery.Progress `json:"told"`     // where its disk lacked something: how far each of the others has told it again
	UnknownOutcomes int                 `json:"doubts"`   // keys whose end the others are asked about
	OutcomeUnknown  map[string]int      `json:"in_doubt"` // keys whose end is not known, by handler; "" where that is not known
	LocalHealth     int                 `json:"unwell"`   // how slow this box takes itself to be, 0 to 8
	Members         []MemberStats       `json:"members"`
	Failover        failover.Stats      `json:"work"`
	Requests        []failover.Request  `json:"reqs"` // some of those that are held, waited for or noted
}

// MemberStats are what is believed of a box.
type MemberStats struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
	State       string `json:"state"`
	Roster      string `json:"goes"` // by which lists: as this box, beside it, apart, unknown
}

// ClusterStats gives them, while Serve runs and after it; nil without a cluster, or before the store is read.
func (b *Backend) ClusterStats() *ClusterStats {
	var out *ClusterStats
	b.onOwner(func() {
		c := &b.cluster
		if c.recovery == nil {
			return
		}
		out = &ClusterStats{
			Name: b.cfg.Cluster.Name, Incarnation: c.incarnation, Previous: len(c.roster.Previous), Since: c.adoptedByAllSince(), RosterReason: c.changeReason,
			Phase: c.recovery.Phase().String(), PhaseReason: c.recovery.Reason(), Unanswered: c.recovery.Unanswered(),
		}
		if c.node == nil {
			return
		}
		out.OutcomeUnknown = c.store.UnknownByHandler()
		if out.UnknownOutcomes = c.refill.unknown.Remaining(); c.refill.from != nil {
			out.Refill = c.refill.from.Progress()
		}
		out.LocalHealth, out.Failover, out.Requests = c.detector.LocalHealth(), c.node.Stats(), c.node.Requests(reqsMost)
		for _, m := range c.detector.Snapshot() {
			goes := "unknown"
			switch told := c.peerDigests[m.Name]; {
			case m.Name == b.cfg.Name, slices.Equal(told, c.ownDigests):
				goes = "as here"
			case failover.Compatible(told, c.ownDigests):
				goes = "beside"
			case told != nil:
				goes = "apart"
			}
			out.Members = append(out.Members, MemberStats{m.Name, m.Incarnation, m.State.String(), goes})
		}
	})
	return out
}

// leave has the others know, and takes nothing over any more.
func (c *cluster) leave() {
	if c.node != nil {
		c.node.StartDraining()
		c.detector.Leave()
	}
}

// acceptFailover has a req that another box held go to the module here; nobody waits for it on a connection.
func (c *cluster) acceptFailover(o failover.Outcome) {
	b := c.backend
	h := b.handlerOf(o.Work.Handler)
	left := time.Duration(o.Work.Left)
	if h < 0 || left <= 0 || b.controller == nil || b.requests[o.ID] != nil {
		c.node.Release(b.guard.now(), o.Key, o.ID)
		return
	}
	r := &request{
		id: o.ID, wireID: fmt.Sprintf("%016x", o.ID), handler: h, body: o.Work.Body, state: stateHeld, takenOver: true, readAt: b.now,
		guard: &guardState{key: o.Key, createdAt: o.Made, answerBy: b.now + left, replayable: o.Work.Replayable},
	}
	r.arrival = overload.Event{
		Kind: overload.Arrived, ID: r.id, Handler: h, Remaining: left, Hint: time.Duration(o.Work.Cost),
		Size: cmp.Or(o.Work.Size, sizeTaken), ValueRank: o.Work.Rank, Delay: max(0, b.handlers[h].timeout-left),
	}
	r.ticket = b.ledger.Open(b.wall, r.id, b.rowOf(h), accounting.FailedOver, accounting.CustomerName{})
	b.requests[r.id] = r
	b.stats.TakenOver++
	b.events = append(b.events, r.arrival)
}

// applyOutcome carries out what takeover says of a req.
func (c *cluster) applyOutcome(o failover.Outcome) {
	b := c.backend
	if o.Decision == failover.TakenOver {
		c.acceptFailover(o)
		return
	}
	r := b.requests[o.ID]
	if r == nil || r.guard == nil || r.guard.key != o.Key {
		if o.Decision == idempotency.Start { // it was let go in the same moment: it never ran
			c.node.Finish(b.guard.now(), o.Key, o.ID, idempotency.EntryNeverRan, nil)
		}
		return
	}
	asking := r.state == stateUnverified
	switch {
	case o.Decision == idempotency.Fresh && asking:
		c.submitClaimed(r, false)
	case o.Decision == idempotency.Duplicate && r.guard.replayable: // it waits, or goes on where it is
	case o.Decision == idempotency.Duplicate && asking:
		c.submitClaimed(r, true)
	case o.Decision == idempotency.Duplicate: // it was held here until another took it: it waits for that one
	case asking && o.Decision == idempotency.Replay:
		b.guard.countDecision(o.Decision)
		b.frontend.succeeded(r, accounting.Replayed, o.Result)
		b.finishAnswered(r)
	case asking && r.guard.replayable:
		c.submitClaimed(r, false)
	case r.guard.replayable && o.Decision != idempotency.Replay && r.state != stateAwaitingResult && !r.takenOver: // the module has it
	case asking:
		b.frontend.declined(r, b.guard.countDecision(o.Decision))
		b.finishAnswered(r)
	case o.Decision == idempotency.Start && !b.isWanted(r):
		r.guard.resultDurable = true
		c.node.Finish(b.guard.now(), o.Key, o.ID, idempotency.EntryNeverRan, nil)
		b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
	default:
		b.guard.applyOutcome(o.Outcome)
	}
}
