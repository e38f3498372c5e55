package recovery

import (
	"cmp"
	"math"
	"slices"
	"time"

	"frosthub/internal/prng"
)

// Config says whom a node asks, and how long it waits. MajorityAfter and DegradeAfter take a default if they are zero.
type Config struct {
	// Mark identifies the process of this node: each draws its own.
	Mark uint64
	// Others names the peers that remember this node's state.
	Others []string
	// MajorityAfter is how long to wait for the answers of all peers; after that a majority is enough.
	MajorityAfter time.Duration
	// DegradeAfter is how long to wait for a majority; after that the disk is taken to be outdated.
	DegradeAfter time.Duration
	// RetryHorizon is how long a client may retry a request. Once it has passed, no retry can come of a request that the lost history knew.
	RetryHorizon time.Duration
}

const (
	// Defaults of Config.
	defaultMajorityAfter = 500 * time.Millisecond
	defaultDegradeAfter  = 60 * time.Second

	// Time between queries to the peers that have not answered, doubled each time.
	minQueryInterval = 50 * time.Millisecond
	maxQueryInterval = time.Second

	// noDeadline is a time that never comes.
	noDeadline = time.Duration(math.MaxInt64)
)

// DiskState is what was read from the node's own disk.
type DiskState struct {
	Incarnation uint64 // of the process that has read it
	Seq         uint64 // number of the last record; 0 if there is none
	NewStore    bool   // the store was made by this process, under a name without history
}

// Action is something that the caller has to do. Each Action has one of the three parts.
type Action struct {
	// Query names peers to be asked what they remember of this node.
	Query []string

	// HistoryLost says that the disk is outdated: no request made before now whose key is not on it can be proved fresh.
	HistoryLost bool
	// Incarnation, if not 0, is the least number that this process may have. It comes with HistoryLost.
	Incarnation uint64

	// From and To differ if the phase has changed, for this Reason.
	From   Phase
	To     Phase
	Reason string
}

// Node is the state machine of one node's way back. Make it with New. It is not safe for concurrent use.
//
// Its phase changes as follows:
//
//	from      to        when
//	Cold      Loading   the caller begins to read the store: StartLoading
//	Loading   Querying  the store is read: DiskLoaded
//	Querying  Serving   enough peers confirm that the disk is complete: evaluateAnswers
//	Querying  Serving   an operator vouches for the disk: TrustDisk
//	Querying  Degraded  a peer remembers more than the disk has: Receive
//	Querying  Degraded  too few peers answer in time: evaluateAnswers
//	Serving   Degraded  a peer that was away remembers more than the disk has: Receive
//	Degraded  Serving   an operator vouches for the disk: TrustDisk
//	Degraded  Serving   the peers have sent all that the disk lacks: MarkComplete
//	Degraded  Serving   the retry horizon has passed: Tick
type Node struct {
	cfg    Config
	phase  Phase
	reason string // of the last change of phase
	disk   DiskState

	// waitingSince is when Querying began, or when the latest loss of history was found.
	waitStartedAt time.Duration

	// Queries to the peers.
	nextQueryAt   time.Duration
	queryInterval time.Duration
	answers       map[string]Answer // by the name of the peer
	randomSource  prng.Source

	actions []Action // that Ready has not yet returned
}

// New returns a node that is Cold. The seed decides the moments of its queries.
func New(cfg Config, seed uint64) *Node {
	cfg.MajorityAfter = cmp.Or(cfg.MajorityAfter, defaultMajorityAfter)
	cfg.DegradeAfter = cmp.Or(cfg.DegradeAfter, defaultDegradeAfter)
	return &Node{cfg: cfg, answers: map[string]Answer{}, randomSource: prng.New(seed)}
}

// Ready returns what is to be done since the last call, in that order.
func (n *Node) Ready() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

// Phase returns how far the node has come.
func (n *Node) Phase() Phase { return n.phase }

// Reason says why the node is in its phase. It is shown to operators.
func (n *Node) Reason() string { return n.reason }

// Established reports whether the node may take part in the decisions of its cluster: no other process of it has the same incarnation, and it
// knows whether its history is complete.
func (n *Node) Established() bool { return n.phase >= Degraded }

// StartLoading says that the caller begins to read the store.
func (n *Node) StartLoading() { n.enter(Loading, "its store is read") }

// DiskLoaded says that the store was read, and what it holds.
func (n *Node) DiskLoaded(now time.Duration, disk DiskState) {
	n.disk = disk
	n.waitStartedAt = now
	n.nextQueryAt = now
	n.queryInterval = minQueryInterval
	n.enter(Querying, "others are asked whether that is all")
	n.evaluateAnswers(now)
	n.Tick(now)
}

// SetOthers replaces the names of the peers that remember this node's state.
func (n *Node) SetOthers(others []string) { n.cfg.Others = others }

// Receive takes a peer's answer. Answers are heeded in later phases too: a peer that was away may be the only one that remembers.
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

// TrustDisk says that an operator vouches that the disk is complete.
func (n *Node) TrustDisk() {
	if n.phase == Querying || n.phase == Degraded {
		n.serve("an operator answers for its disk")
	}
}

// MarkComplete says that the peers have sent all that the disk lacked.
func (n *Node) MarkComplete() {
	if n.phase == Degraded {
		n.serve("the others have told it all that its disk lacked")
	}
}

// Unanswered returns the names of the peers that have not answered, while the node is Querying.
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

// NextDeadline returns the time by which Tick has to be called; one that never comes if there is nothing to wait for.
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

// Tick does what is due: it ends waits whose time is over, and repeats the query to the peers that have not answered.
func (n *Node) Tick(now time.Duration) {
	n.evaluateAnswers(now)
	if n.phase == Degraded && now >= n.waitStartedAt+n.cfg.RetryHorizon {
		n.serve("nothing is asked for again that it could not know")
	}
	if n.phase == Querying && now >= n.nextQueryAt {
		n.query(now)
	}
}

// query asks the peers that have not answered, and backs off.
func (n *Node) query(now time.Duration) {
	if names := n.Unanswered(); len(names) > 0 {
		n.actions = append(n.actions, Action{Query: names})
	}
	n.nextQueryAt = now + n.randomSource.Jitter(n.queryInterval)
	n.queryInterval = min(2*n.queryInterval, maxQueryInterval)
}

// diskLacks reports whether a peer remembers more than the disk had when this process started. A peer that heard of the present incarnation
// from an earlier process proves that the disk counts incarnations anew.
func (n *Node) diskLacks(remembered PeerState) bool {
	if remembered.Incarnation >= n.disk.Incarnation {
		return true
	}
	return remembered.Incarnation+1 == n.disk.Incarnation && remembered.Seq > n.disk.Seq
}

// historyLost follows the proof, by a peer, that the disk is outdated.
func (n *Node) handleHistoryLoss(now time.Duration, from string, remembered PeerState) {
	action := Action{HistoryLost: true}
	if remembered.Incarnation >= n.disk.Incarnation {
		action.Incarnation = remembered.Incarnation + 1
		n.disk.Incarnation = action.Incarnation
	}
	n.disk.Seq = max(n.disk.Seq, remembered.Seq)
	n.degrade(now, action, "its disk is older than what "+from+" knows")
}

// evaluateAnswers ends Querying if enough peers have answered, or the time for that is over.
func (n *Node) evaluateAnswers(now time.Duration) {
	if n.phase != Querying {
		return
	}
	peers := len(n.cfg.Others)
	confirmed := n.countConfirmations()
	majority := 2*confirmed >= peers // of all nodes: this one counts too
	allAnswered := len(n.answers) == peers
	waited := now - n.waitStartedAt
	switch {
	case confirmed == peers:
		n.serve("all others know of nothing more")
	case majority && (allAnswered || waited >= n.cfg.MajorityAfter):
		n.serve("most others know of nothing more")
	case waited >= n.cfg.DegradeAfter:
		// The peers that did not answer may remember more, and may be back when this node has run again what had run before.
		n.degrade(now, Action{HistoryLost: true}, "too few of those who could know more have answered in time")
	}
}

// confirmations counts the peers that confirm that the disk is complete. One that remembers nothing from before its own start confirms it only
// for a node that is new.
func (n *Node) countConfirmations() int {
	count := 0
	for _, name := range n.cfg.Others {
		if answer, answered := n.answers[name]; answered && (!answer.Empty || n.disk.NewStore) {
			count++
		}
	}
	return count
}

// degrade goes to Degraded after a loss of history, which the action describes. In Degraded already, the retry horizon begins anew.
func (n *Node) degrade(now time.Duration, loss Action, reason string) {
	n.actions = append(n.actions, loss)
	n.waitStartedAt = now
	if n.phase != Degraded {
		n.enter(Degraded, reason)
	}
}

// serve goes from Querying or Degraded to Serving.
func (n *Node) serve(reason string) { n.enter(Serving, reason) }

// enter changes the phase. The reason is shown to operators.
func (n *Node) enter(phase Phase, reason string) {
	n.actions = append(n.actions, Action{From: n.phase, To: phase, Reason: reason})
	n.phase = phase
	n.reason = reason
}
