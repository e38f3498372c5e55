package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"frosthub/internal/prng"
)

// Detector is one node's view of the cluster. Create it with New. It is not safe for concurrent use.
type Detector struct {
	cfg   Config
	self  Update
	peers map[string]*peer

	// State of the probes.
	probeOrder   []string // names of all peers, shuffled at the start of each round
	nextTarget   int      // index in probeOrder
	nextProbeAt  time.Duration
	probes       []probe // pending probes, in the order in which they started
	lastProbe    uint64  // number of the latest probe
	healthScore  int     // Lifeguard's local health score, 0 (healthy) to maxHealthScore
	randomSource prng.Source

	suspects []*peer // in the order in which their suspicions started
	gossip   gossipQueue

	// Output that Ready has not yet returned.
	outbox  []Envelope
	changes []Change
}

// peer is the state that the local node has recorded for another node.
type peer struct {
	Update
	suspicionEndsAt time.Duration // only if State is Suspect: when the peer is declared dead
}

// New returns a Detector with all other nodes in state Unknown. The seed determines all random choices.
func New(cfg Config, seed uint64, now time.Duration) *Detector {
	cfg = cfg.withDefaults()
	d := &Detector{
		cfg:          cfg,
		self:         Update{Name: cfg.Name, Incarnation: cfg.Incarnation, State: Alive},
		peers:        map[string]*peer{},
		randomSource: prng.New(seed),
		nextProbeAt:  now,
	}
	for _, name := range cfg.Others {
		if name != cfg.Name {
			d.peers[name] = &peer{Update: Update{Name: name}}
			d.probeOrder = append(d.probeOrder, name)
		}
	}
	slices.Sort(d.probeOrder)
	d.gossip.enqueue(cfg.Name)
	return d
}

// SetOthers replaces the names of all nodes that may exist. Added nodes start as Unknown; the recorded states of removed nodes are dropped.
func (d *Detector) SetOthers(others []string) {
	for _, name := range others {
		if name != d.cfg.Name && d.peers[name] == nil {
			d.peers[name] = &peer{Update: Update{Name: name}}
		}
	}
	for name, p := range d.peers {
		if !slices.Contains(others, name) {
			d.forget(p)
		}
	}
	d.probeOrder = slices.Sorted(maps.Keys(d.peers))
	d.nextTarget = 0
	d.gossip.enqueue(d.cfg.Name)
}

// forget removes a peer with its recorded state, its suspicion and the probes of it.
func (d *Detector) forget(p *peer) {
	delete(d.peers, p.Name)
	d.gossip.remove(p.Name)
	d.removeSuspect(p)
	d.probes = slices.DeleteFunc(d.probes, func(pending probe) bool { return pending.target == p.Name })
}

// Lookup returns the recorded state of a node. A name that is neither the local node's nor in Config.Others has state Unknown.
func (d *Detector) Lookup(name string) Update {
	if name == d.cfg.Name {
		return d.self
	}
	if p := d.peers[name]; p != nil {
		return p.Update
	}
	return Update{Name: name}
}

// Alive reports whether a node appears to be running: its state is Alive or Suspect.
func (d *Detector) Alive(name string) bool {
	state := d.Lookup(name).State
	return state == Alive || state == Suspect
}

// Snapshot returns the recorded states of all nodes, including the local one, ordered by name.
func (d *Detector) Snapshot() []Update {
	all := []Update{d.self}
	for _, p := range d.peers {
		all = append(all, p.Update)
	}
	slices.SortFunc(all, func(x, y Update) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// Ready returns the messages to send and the state changes since the last call.
func (d *Detector) Ready() ([]Envelope, []Change) {
	outbox, changes := d.outbox, d.changes
	d.outbox, d.changes = nil, nil
	return outbox, changes
}

// NextDeadline returns the time by which the caller must call Tick. Any other call may change it.
func (d *Detector) NextDeadline() time.Duration {
	deadline := d.nextProbeAt
	for i := range d.probes {
		deadline = min(deadline, d.probeDeadline(&d.probes[i]))
	}
	for _, p := range d.suspects {
		deadline = min(deadline, p.suspicionEndsAt)
	}
	return deadline
}

// Tick handles the timeouts of probes and suspicions that have passed, and starts the next probe if it is due.
func (d *Detector) Tick(now time.Duration) {
	d.expireProbes(now)
	d.expireSuspicions(now)
	if now >= d.nextProbeAt && len(d.probeOrder) > 0 {
		d.nextProbeAt = now + d.scaleByLocalHealth(d.cfg.ProbeInterval)
		d.probeNext(now)
	}
}

// Observe records that a message, of this package or any other, has arrived from a node in the given incarnation. It marks a node as Alive
// that was Unknown or had a lower incarnation.
func (d *Detector) Observe(now time.Duration, from string, incarnation uint64) {
	p := d.peers[from]
	if p == nil || incarnation < p.Incarnation {
		return
	}
	if incarnation > p.Incarnation || p.State == Unknown {
		d.apply(now, Update{Name: from, Incarnation: incarnation, State: Alive})
	}
}

// Receive handles a message from a node in the given incarnation. It ignores messages from nodes that are not in Config.Others and messages
// from an earlier incarnation than the recorded one.
func (d *Detector) Receive(now time.Duration, from string, incarnation uint64, m *Message) {
	p := d.peers[from]
	if p == nil || incarnation < p.Incarnation {
		return
	}
	d.Observe(now, from, incarnation)
	for _, u := range m.Updates {
		d.apply(now, u)
	}
	switch m.Kind {
	case Ping:
		d.send(from, Message{Kind: Ack, Number: m.Number, Target: d.cfg.Name})
	case Ack:
		d.receiveAck(now, m.Target, m.Number)
	case PingRequest:
		d.relayProbe(now, from, m)
	}
}

// Leave announces to all nodes that appear to be running that the local node is leaving the cluster.
func (d *Detector) Leave() {
	d.self.State = Left
	d.gossip.enqueue(d.cfg.Name)
	for _, name := range d.probeOrder {
		if d.Alive(name) {
			d.sendPing(name)
		}
	}
}

// send adds a message to the outbox with gossip piggybacked on it.
func (d *Detector) send(to string, m Message) {
	m.Updates = d.selectGossip(to)
	d.outbox = append(d.outbox, Envelope{To: to, Message: m})
}

// scaleByClusterSize returns factor * (1 + floor(log2(number of nodes))).
func (d *Detector) scaleByClusterSize(factor float64) float64 {
	logarithm := 1.0
	for nodes := len(d.peers) + 1; nodes > 1; nodes /= 2 {
		logarithm++
	}
	return factor * logarithm
}
