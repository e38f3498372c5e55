package recovery

import (
	"cmp"
	"math"
	"slices"
	"time"

	"frosthub/internal/prng"
)

// Config configures a Node. MajorityAfter and DegradeAfter take their defaults if they are zero.
type Config struct {
	// Mark identifies the process of this node. Each process draws a random one when it starts.
	Mark uint64
	// Others lists the names of the peers that record this node's state.
	Others []string
	// MajorityAfter is how long to wait for the answers of all peers. After that, the answers of a majority suffice.
	MajorityAfter time.Duration
	// DegradeAfter is how long to wait for the answers of a majority. After that, the disk is treated as outdated.
	DegradeAfter time.Duration
	// RetryHorizon is how long a client may retry a request. Once it has passed, no request in the lost history can be retried any more.
	RetryHorizon time.Duration
}

const (
	// Defaults of Config.
	defaultMajorityAfter = 500 * time.Millisecond
	defaultDegradeAfter  = 60 * time.Second

	// Interval between queries to the peers that have not answered. It doubles after each query.
	minQueryInterval = 50 * time.Millisecond
	maxQueryInterval = time.Second

	// noDeadline is a time that is never reached.
	noDeadline = time.Duration(math.MaxInt64)
)

// DiskState is the state that was loaded from the node's own disk.
type DiskState struct {
	Incarnation uint64 // incarnation of the process that loaded the state
	Seq         uint64 // sequence number of the last record; 0 if there is none
	NewStore    bool   // this process created the store, and the node's name has no history
}

// Action is an action for the caller to perform. Each Action has exactly one of the three parts below.
type Action struct {
	// Query lists the names of the peers to query for the recorded states of this node.
	Query []string

	// HistoryLost is set if the disk is outdated: a request from before this moment whose key is not on the disk can't be proved to be new.
	HistoryLost bool
	// Incarnation, if not 0, is the lowest incarnation that this process may use. It is set only together with HistoryLost.
	Incarnation uint64

	// From and To differ if the phase has changed. Reason is then the reason for the change.
	From   Phase
	To     Phase
	Reason string
}

// Node is the state machine of a node's recovery. Create it with New. It is not safe for concurrent use.
//
// The transitions between phases are:
//
//	from      to        when
//	Cold      Loading   the caller starts to load the store: StartLoading
//	Loading   Querying  the store is loaded: DiskLoaded
//	Querying  Serving   enough peers confirm that the disk is complete: evaluateAnswers
//	Querying  Serving   an operator confirms that the disk is complete: TrustDisk
//	Querying  Degraded  a peer has recorded more than the disk holds: Receive
//	Querying  Degraded  too few peers answer in time: evaluateAnswers
//	Serving   Degraded  the late answer of a peer shows more than the disk holds: Receive
//	Degraded  Serving   an operator confirms that the disk is complete: TrustDisk
//	Degraded  Serving   the peers have sent all records that the disk lacks: MarkComplete
//	Degraded  Serving   the retry horizon has passed: Tick
type Node struct {
	cfg    Config
	phase  Phase
	reason string // reason for the last change of phase
	disk   DiskState

	// waitStartedAt is when Querying started or when the latest loss of history was detected.
	waitStartedAt time.Duration

	// Queries to the peers.
	nextQueryAt   time.Duration
	queryInterval time.Duration
	answers       map[string]Answer // latest answer of each peer, by the name of the peer
	randomSource  prng.Source

	actions []Action // actions that Ready has not returned yet
}

// New returns a Node in phase Cold. The seed determines the times of its queries.
func New(cfg Config, seed uint64) *Node {
	cfg.MajorityAfter = cmp.Or(cfg.MajorityAfter, defaultMajorityAfter)
	cfg.DegradeAfter = cmp.Or(cfg.DegradeAfter, defaultDegradeAfter)
	return &Node{cfg: cfg, answers: map[string]Answer{}, randomSource: prng.New(seed)}
}

// Ready returns the actions since the last call, in the order in which to perform them.
func (n *Node) Ready() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

// Phase returns the current phase.
func (n *Node) Phase() Phase { return n.phase }

// Reason returns the reason for the last change of phase, as a text for operators.
func (n *Node) Reason() string { return n.reason }

// Established reports whether the node may take part in decisions of its cluster: its incarnation is unique among its processes, and it has
// determined whether its history is complete.
func (n *Node) Established() bool { return n.phase >= Degraded }

// StartLoading records that the caller starts to load the store.
func (n *Node) StartLoading() { n.enter(Loading, "the node is loading its store") }

// DiskLoaded records that the store is loaded, with the state that it holds, and starts the queries to the peers.
func (n *Node) DiskLoaded(now time.Duration, disk DiskState) {
	n.disk = disk
	n.waitStartedAt = now
	n.nextQueryAt = now
	n.queryInterval = minQueryInterval
	n.enter(Querying, "the node is querying its peers to confirm that its store is complete")
	n.evaluateAnswers(now)
	n.Tick(now)
}

// SetOthers replaces the names of the peers that record this node's state.
func (n *Node) SetOthers(others []string) { n.cfg.Others = others }

// Receive handles a peer's answer. Answers count in later phases too: a peer that was unreachable may be the only one with a record of the
// lost history.
func (n *Node) Receive(now time.Duration, from string, answer Answer) {
	if n.phase < Querying || answer.Mark != n.cfg.Mark || !slices.Contains(n.cfg.Others, from) {
		return
	}
	if n.diskLacks(answer.PeerState) {
		n.handleHistoryLoss(now, from, answer.PeerState)
	}
	if n.phase == Querying {
		n.answers[from] = answer
		n.evaluateAnswers(now)
	}
}

// TrustDisk records an operator's assurance that the disk is complete.
func (n *Node) TrustDisk() {
	if n.phase == Querying || n.phase == Degraded {
		n.serve("an operator has confirmed that its store is complete")
	}
}

// MarkComplete records that the peers have sent all records that the disk lacked.
func (n *Node) MarkComplete() {
	if n.phase == Degraded {
		n.serve("its peers have sent all records that its store lacked")
	}
}

// Unanswered returns the names of the peers that have not answered. It returns nil in any phase but Querying.
func (n *Node) Unanswered() []string {
	if n.phase != Querying {
		return nil
	}
	var names []string
	for _, name := range n.cfg.Others {
		if _, answered := n.answers[name]; !answered {
			names = append(names, name)
		}
	}
	return names
}

// NextDeadline returns the time by which the caller must call Tick, or a time that is never reached if nothing is due.
func (n *Node) NextDeadline() time.Duration {
	switch n.phase {
	case Querying:
		return n.nextQueryAt
	case Degraded:
		return n.waitStartedAt + n.cfg.RetryHorizon
	default:
		return noDeadline
	}
}

// Tick handles the timeouts that have passed, and repeats the query to the peers that have not answered if it is due.
func (n *Node) Tick(now time.Duration) {
	n.evaluateAnswers(now)
	if n.phase == Degraded && now >= n.waitStartedAt+n.cfg.RetryHorizon {
		n.serve("the retry horizon has passed: no request of the lost history is retried any more")
	}
	if n.phase == Querying && now >= n.nextQueryAt {
		n.query(now)
	}
}

// query queues a query to the peers that have not answered, and increases the interval to the next one.
func (n *Node) query(now time.Duration) {
	if names := n.Unanswered(); len(names) > 0 {
		n.actions = append(n.actions, Action{Query: names})
	}
	n.nextQueryAt = now + n.randomSource.Jitter(n.queryInterval)
	n.queryInterval = min(2*n.queryInterval, maxQueryInterval)
}

// diskLacks reports whether a peer has recorded more than the disk held when this process started. If an earlier process has reported the
// current incarnation to a peer, the disk is outdated too: it has led to the reuse of an incarnation number.
func (n *Node) diskLacks(remembered PeerState) bool {
	if remembered.Incarnation >= n.disk.Incarnation {
		return true
	}
	return remembered.Incarnation+1 == n.disk.Incarnation && remembered.Seq > n.disk.Seq
}

// handleHistoryLoss handles a peer's answer that proves the disk outdated.
func (n *Node) handleHistoryLoss(now time.Duration, from string, remembered PeerState) {
	action := Action{HistoryLost: true}
	if remembered.Incarnation >= n.disk.Incarnation {
		action.Incarnation = remembered.Incarnation + 1
		n.disk.Incarnation = action.Incarnation
	}
	n.disk.Seq = max(n.disk.Seq, remembered.Seq)
	n.degrade(now, action, "its store is older than the state that "+from+" has recorded")
}

// evaluateAnswers ends the phase Querying if enough peers have answered or the time for answers has passed.
func (n *Node) evaluateAnswers(now time.Duration) {
	if n.phase != Querying {
		return
	}
	peers := len(n.cfg.Others)
	confirmed := n.countConfirmations()
	majority := 2*confirmed >= peers // the confirming peers and this node are a majority of all nodes
	allAnswered := len(n.answers) == peers
	waited := now - n.waitStartedAt
	switch {
	case confirmed == peers:
		n.serve("all peers have confirmed that its store is complete")
	case majority && (allAnswered || waited >= n.cfg.MajorityAfter):
		n.serve("most peers have confirmed that its store is complete")
	case waited >= n.cfg.DegradeAfter:
		// The peers without an answer may have recorded more, and may return only after this node has run requests a second time.
		n.degrade(now, Action{HistoryLost: true}, "too few peers with records of this node have answered in time")
	}
}

// countConfirmations returns the number of peers whose answers confirm that the disk is complete. A peer without records from before its
// own start confirms it only for a node that is new.
func (n *Node) countConfirmations() int {
	count := 0
	for _, name := range n.cfg.Others {
		if answer, answered := n.answers[name]; answered && (!answer.Empty || n.disk.NewStore) {
			count++
		}
	}
	return count
}

// degrade enters Degraded after the loss of history that the action describes. If the node is Degraded already, the retry horizon restarts.
func (n *Node) degrade(now time.Duration, loss Action, reason string) {
	n.actions = append(n.actions, loss)
	n.waitStartedAt = now
	if n.phase != Degraded {
		n.enter(Degraded, reason)
	}
}

// serve changes from Querying or Degraded to Serving.
func (n *Node) serve(reason string) { n.enter(Serving, reason) }

// enter changes the phase. The reason is a text for operators.
func (n *Node) enter(phase Phase, reason string) {
	n.actions = append(n.actions, Action{From: n.phase, To: phase, Reason: reason})
	n.phase = phase
	n.reason = reason
}
