package recovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a node that loses its disk or parts of it, and its peers, which record its reported states and may lose their own disks.
type model struct {
	names    []string      // of the peers
	peers    []*PeerStates // the records of each peer
	reported []PeerState   // the highest state that was reported to each peer and that the peer has not lost
	empty    []bool        // whether each peer has lost its records and received no report since
	disk     DiskState     // the state that the node would load
	mark     uint64        // of the node's current process
	now      time.Duration
}

// rule is a rule of Node that TestRulesAreNeeded disables to show that the simulation detects the violation.
type rule uint8

const (
	noRule               rule = iota
	compareIncarnations       // a disk with a lower incarnation than a peer has recorded is outdated
	compareSeqs               // a disk with fewer records than a peer has recorded is outdated
	distrustEmptyAnswers      // a peer without records from before its start confirms nothing
	awaitMajority             // a majority of the peers must answer
)

// withoutRule changes an answer so that a node that receives it behaves as if the rule were disabled.
func withoutRule(disabled rule, answer Answer) Answer {
	switch disabled {
	case compareIncarnations:
		answer.Incarnation = 0
	case compareSeqs:
		answer.Seq = 0
	case distrustEmptyAnswers:
		answer.Empty = false
	}
	return answer
}

func newModel(peers int) *model {
	m := &model{reported: make([]PeerState, peers), empty: make([]bool, peers), now: time.Hour}
	for i := range peers {
		m.names = append(m.names, fmt.Sprint("n", i))
		m.peers = append(m.peers, NewPeerStates(false))
	}
	return m
}

// simulate runs the node for several incarnations, in each of which it writes records and reports to its peers, with a loss and a restart
// after each. It returns a description of the first violation at a restart, or "".
func simulate(t *rapid.T, disabled rule) string {
	m := newModel(rapid.IntRange(2, 6).Draw(t, "peers"))
	for range rapid.IntRange(1, 6).Draw(t, "incarnations") {
		if violation := m.restart(t, disabled); violation != "" {
			return violation
		}
		m.write(t)
		m.lose(t)
	}
	return ""
}

// provesOutdated reports whether a peer has recorded more than the node's disk holds.
func (m *model) provesOutdated(peer int) bool {
	reported := m.reported[peer]
	if reported == (PeerState{}) || m.empty[peer] {
		return false
	}
	return reported.Incarnation >= m.disk.Incarnation || reported.Incarnation+1 == m.disk.Incarnation && reported.Seq > m.disk.Seq
}

// restart starts the node's next process, which receives answers from a random subset of the peers. It returns a violation or "".
func (m *model) restart(t *rapid.T, disabled rule) string {
	m.mark++
	n := New(Config{Mark: m.mark, Others: m.names, MajorityAfter: time.Second, DegradeAfter: time.Minute, RetryHorizon: time.Hour}, m.mark)
	n.StartLoading()
	m.disk.Incarnation++
	m.disk.NewStore = m.disk.Incarnation == 1
	n.DiskLoaded(m.now, m.disk)
	outdated := false
	confirmed, answered := 0, 0
	for i, peer := range m.peers {
		if rapid.IntRange(0, 3).Draw(t, "answers") == 0 {
			continue
		}
		answer := peer.Answer("me", m.mark)
		before := n.Phase()
		n.Receive(m.now, m.names[i], withoutRule(disabled, answer))
		answered++
		if m.provesOutdated(i) {
			outdated = true
		}
		if !m.empty[i] || m.disk.NewStore {
			confirmed++
		}
		if n.Phase() == Serving && outdated {
			return fmt.Sprintf("the node trusts a disk that answers of peers prove outdated (previous phase: %s)", before)
		}
	}
	peers := len(m.peers)
	if n.Phase() == Serving && answered < peers {
		return "the node serves before all peers have answered or the time for answers has passed"
	}
	m.now += 2 * time.Second
	n.Tick(m.now)
	if disabled == awaitMajority {
		n.TrustDisk()
	}
	switch {
	case outdated && n.Phase() != Degraded:
		return "the node trusts a disk that answers of peers prove outdated"
	case !outdated && n.Phase() == Serving && 2*confirmed < peers:
		return "the node serves although too few peers with records have answered"
	case !outdated && n.Phase() == Querying && 2*confirmed >= peers:
		return "the node still queries although a majority has answered"
	}
	m.now += 2 * time.Minute
	n.Tick(m.now)
	if !n.Established() {
		return "the node never leaves the phase Querying"
	}
	incarnation := m.disk.Incarnation
	for _, action := range n.Ready() {
		incarnation = max(incarnation, action.Incarnation)
	}
	for i := range m.peers {
		if outdated && !m.empty[i] && m.reported[i].Incarnation >= incarnation && answered == peers {
			return "the node reuses the incarnation of an earlier process"
		}
	}
	m.disk.Incarnation = incarnation
	return ""
}

// write adds several records to the node's disk and reports each to a random subset of the peers.
func (m *model) write(t *rapid.T) {
	for range rapid.IntRange(0, 5).Draw(t, "records") {
		m.disk.Seq++
		for i, peer := range m.peers {
			if rapid.Bool().Draw(t, "reported") {
				state := PeerState{Incarnation: m.disk.Incarnation, Seq: m.disk.Seq}
				peer.Update("me", m.mark, state)
				m.reported[i] = state
				m.empty[i] = false
			}
		}
	}
}

// lose drops a part of the node's disk, all records of one peer, or nothing.
func (m *model) lose(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "loss") {
	case 0: // the last records
		m.disk.Seq -= min(m.disk.Seq, rapid.Uint64Range(0, 3).Draw(t, "lost"))
	case 1: // a backup is restored
		m.disk.Incarnation -= min(m.disk.Incarnation, rapid.Uint64Range(0, 3).Draw(t, "older"))
		m.disk.Seq -= min(m.disk.Seq, rapid.Uint64Range(0, 6).Draw(t, "lost"))
	case 2: // a peer's disk
		peer := rapid.IntRange(0, len(m.peers)-1).Draw(t, "forgets")
		m.peers[peer] = NewPeerStates(true)
		m.reported[peer] = PeerState{}
		m.empty[peer] = true
	}
}

// TestRestarts checks that a node detects a loss of history if a peer that has recorded more answers, that peers without records do not
// confirm a disk, and that the node always recovers.
func TestRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := simulate(t, noRule); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestRulesAreNeeded checks that the simulation detects a violation if any one of the rules is disabled.
func TestRulesAreNeeded(t *testing.T) {
	tests := map[rule]string{
		compareIncarnations:  "compare incarnations",
		compareSeqs:          "compare sequence numbers",
		distrustEmptyAnswers: "distrust empty answers",
		awaitMajority:        "await majority",
	}
	for disabled, name := range tests {
		t.Run(name, func(t *testing.T) {
			violation := ""
			example := rapid.Custom(func(t *rapid.T) string { return simulate(t, disabled) })
			for seed := range 2000 {
				if violation = example.Example(seed); violation != "" {
					t.Logf("disabled rule: %s; violation found by example %d: %s", name, seed, violation)
					break
				}
			}
			if violation == "" {
				t.Errorf("disabled rule: %s; no violation found", name)
			}
		})
	}
}

// TestQueries checks that peers that have not answered are queried again at growing intervals, and that a late answer from a peer that was
// unreachable still counts.
func TestQueries(t *testing.T) {
	n := New(Config{Others: []string{"n2", "n3", "n4", "n5"}, RetryHorizon: time.Hour}, 3)
	n.StartLoading()
	n.DiskLoaded(0, DiskState{Incarnation: 4, Seq: 20})
	n.Receive(0, "n2", Answer{PeerState: PeerState{Incarnation: 3, Seq: 20}})
	var phases strings.Builder
	queries := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		n.Tick(now)
		for _, action := range n.Ready() {
			queries += len(action.Query)
			if action.To != action.From {
				fmt.Fprintf(&phases, "%s: %s, %s\n", now, action.To, action.Reason)
			}
		}
		if now == 2*time.Second {
			n.Receive(now, "n9", Answer{PeerState: PeerState{Incarnation: 9, Seq: 9}})
			n.Receive(now, "n3", Answer{PeerState: PeerState{Incarnation: 3, Seq: 19}})
		}
		if now == 5*time.Second {
			n.Receive(now, "n4", Answer{PeerState: PeerState{Incarnation: 3, Seq: 21}})
		}
	}
	want := "0s: reading, the node is loading its store\n0s: asking, the node is querying its peers to confirm that its store is complete\n" +
		"2.01s: serving, most peers have confirmed that its store is complete\n5.01s: serving in part, its store is older than the state that n4 has recorded\n"
	if phases.String() != want {
		t.Error(phases.String())
	}
	if queries < 10 || queries > 25 {
		t.Error("queries: ", queries)
	}
}

// TestTransitions checks the transition table of Node: each event that can end a phase leads to the phase in the table or changes nothing.
func TestTransitions(t *testing.T) {
	config := Config{Mark: 1, Others: []string{"a", "b"}, MajorityAfter: time.Second, DegradeAfter: time.Minute, RetryHorizon: time.Hour}
	confirmation := Answer{PeerState: PeerState{Incarnation: 1, Seq: 5}, Mark: 1}
	outdated := Answer{PeerState: PeerState{Incarnation: 1, Seq: 6}, Mark: 1}
	type step func(*Node)
	load := func(n *Node) { n.StartLoading(); n.DiskLoaded(0, DiskState{Incarnation: 2, Seq: 5}) }
	receive := func(from string, answer Answer) step { return func(n *Node) { n.Receive(0, from, answer) } }
	tick := func(now time.Duration) step { return func(n *Node) { n.Tick(now) } }
	tests := []struct {
		name  string
		steps []step
		want  Phase
	}{
		{"new", nil, Cold},
		{"answer before the store is loaded", []step{receive("a", confirmation)}, Cold},
		{"reads", []step{(*Node).StartLoading}, Loading},
		{"operator confirms before the store is loaded", []step{(*Node).StartLoading, (*Node).TrustDisk}, Loading},
		{"store loaded", []step{load}, Querying},
		{"one of two confirms before the timeout", []step{load, receive("a", confirmation)}, Querying},
		{"all peers confirm", []step{load, receive("a", confirmation), receive("b", confirmation)}, Serving},
		{"majority after the timeout", []step{load, receive("a", confirmation), tick(time.Second)}, Serving},
		{"answer for another process", []step{load, receive("a", Answer{Mark: 2}), receive("b", confirmation)}, Querying},
		{"operator confirms while querying", []step{load, (*Node).TrustDisk}, Serving},
		{"peer has recorded more", []step{load, receive("a", outdated)}, Degraded},
		{"no peer answers", []step{load, tick(time.Minute)}, Degraded},
		{"late answer of a peer that has recorded more", []step{load, (*Node).TrustDisk, receive("a", outdated)}, Degraded},
		{"operator confirms while degraded", []step{load, receive("a", outdated), (*Node).TrustDisk}, Serving},
		{"refilled", []step{load, receive("a", outdated), (*Node).MarkComplete}, Serving},
		{"horizon", []step{load, receive("a", outdated), tick(time.Hour)}, Serving},
		{"not refilled while querying", []step{load, (*Node).MarkComplete}, Querying},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := New(config, 1)
			for _, step := range test.steps {
				step(n)
			}
			if n.Phase() != test.want {
				t.Errorf("phase %s, want %s", n.Phase(), test.want)
			}
			lost := slices.ContainsFunc(n.Ready(), func(action Action) bool { return action.HistoryLost })
			if test.want == Degraded && !lost {
				t.Error("degraded without a loss of history")
			}
		})
	}
}
