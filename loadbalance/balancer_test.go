package loadbalance

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"frosthub/internal/golden"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() { golden.FixSeeds() }

// peers returns n peers p0, p1, ... with routes w0, w1, ...
func peers(n int) []Peer {
	list := make([]Peer, n)
	for i := range list {
		list[i] = Peer{Address: fmt.Sprint("p", i), Route: fmt.Sprint("w", i)}
	}
	return list
}

// inService returns the number of peers in service.
func inService(b *Balancer) int {
	n := 0
	for _, target := range b.Targets() {
		if target.State == InService {
			n++
		}
	}
	return n
}

// balancerModel is a Balancer under random calls, with the counts that its invariants need.
type balancerModel struct {
	balancer    *Balancer
	cfg         Config
	now         time.Duration
	outstanding []*Target // one for each outstanding call
	attempts    int       // first attempts
	retries     int
}

var modelOutcomes = rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Overloaded, Fault, TimedOut, Abandoned})

// step performs one random operation on the Balancer.
func (h *balancerModel) step(t *rapid.T) {
	h.now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
	switch step := rapid.IntRange(0, 6).Draw(t, "step"); {
	case step <= 2:
		h.firstAttempt(t)
	case step == 3 && len(h.outstanding) > 0:
		h.retry(t)
	case step <= 5 && step > 3 && len(h.outstanding) > 0:
		h.endCall(t)
	case step == 6 && rapid.IntRange(0, 9).Draw(t, "update") == 0:
		h.cfg.Peers = peers(rapid.IntRange(1, 6).Draw(t, "peers"))
		h.balancer.Update(h.cfg)
	}
}

func (h *balancerModel) firstAttempt(t *rapid.T) {
	h.attempts++
	picked := h.balancer.Pick(h.now, rapid.SampledFrom([]string{"", "w0", "w1", "none"}).Draw(t, "sticky"))
	if picked == nil {
		for _, target := range h.balancer.Targets() {
			if target.State == InService && target.Outstanding < target.MaxCalls {
				t.Fatal("no peer is picked although one in service is below its limit of calls")
			}
		}
		return
	}
	if picked.State == Ejected || picked.Outstanding > picked.MaxCalls || picked.Removed {
		t.Fatalf("picked a peer that must receive no call: %+v", picked)
	}
	h.outstanding = append(h.outstanding, picked)
}

func (h *balancerModel) retry(t *rapid.T) {
	tried := rapid.SampledFrom(h.outstanding).Draw(t, "tried")
	picked := h.balancer.Pick(h.now, "", tried)
	if picked == nil {
		return
	}
	h.retries++
	if picked == tried {
		t.Fatal("the retry goes to the peer that was tried before")
	}
	h.outstanding = append(h.outstanding, picked)
}

func (h *balancerModel) endCall(t *rapid.T) {
	i := rapid.IntRange(0, len(h.outstanding)-1).Draw(t, "call")
	h.balancer.Done(h.now, h.outstanding[i], modelOutcomes.Draw(t, "outcome"))
	h.outstanding = slices.Delete(h.outstanding, i, i+1)
}

// TestRules checks the invariants of a Balancer under random calls: no peer exceeds its limit of calls, no ejected peer is
// picked, a call finds any peer in service that is below its limit, retries stay within the budget and go to another peer, and
// the counts of outstanding calls return to zero.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Peers: peers(rapid.IntRange(1, 6).Draw(t, "peers")),
			Seed:  rapid.Uint64().Draw(t, "seed"),
		}
		for i := range cfg.Peers {
			cfg.Peers[i].MaxCalls = rapid.IntRange(1, 5).Draw(t, "max calls")
			cfg.Peers[i].Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
		}
		h := balancerModel{balancer: New(cfg), cfg: cfg}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h.step(t)
			for _, target := range h.balancer.Targets() {
				if target.Outstanding < 0 {
					t.Fatal("negative number of outstanding calls")
				}
			}
			if float64(h.retries) > maxRetryTokens+0.1*float64(h.attempts) {
				t.Fatal(h.retries, "retries for", h.attempts, "first attempts")
			}
		}
		for _, target := range h.outstanding {
			h.balancer.Done(h.now, target, Abandoned)
		}
		for _, target := range h.balancer.Targets() {
			if target.Outstanding != 0 {
				t.Fatal("outstanding calls after all calls have ended: ", target.Outstanding)
			}
		}
	})
}

// scriptRecorder is a Balancer with a readable record of its picks and states.
type scriptRecorder struct {
	balancer *Balancer
	now      time.Duration
	lines    []string
}

// recordPick picks a peer and records its address.
func (s *scriptRecorder) recordPick(sticky string, tried ...*Target) *Target {
	picked := s.balancer.Pick(s.now, sticky, tried...)
	if picked == nil {
		s.lines = append(s.lines, "none")
	} else {
		s.lines = append(s.lines, picked.Address)
	}
	return picked
}

// recordState records the states of all peers.
func (s *scriptRecorder) recordState() {
	var states []string
	for _, target := range s.balancer.Targets() {
		states = append(states, fmt.Sprint(target.Address, " ", target.State, " ", target.Outstanding))
	}
	s.lines = append(s.lines, strings.Join(states, ", "))
}

// TestScript runs a fixed sequence of calls and checks the picks and states.
func TestScript(t *testing.T) {
	balancer := New(Config{
		Peers: []Peer{
			{Address: "a", Weight: 2},
			{Address: "b", Route: "wb", MaxCalls: 2},
			{Address: "c"},
		},
		Seed: 7,
	})
	s := scriptRecorder{balancer: balancer}
	s.recordPick("")
	b := s.recordPick("")
	s.recordPick("")
	s.recordPick("")
	s.recordPick("wb")
	s.recordPick("wb") // b is at its limit
	s.recordState()
	for range 3 { // the two outstanding calls at b and one more end with a fault
		balancer.Done(s.now, b, Fault)
		if b.Outstanding == 0 {
			balancer.Pick(s.now, "wb")
		}
	}
	for _, target := range balancer.Targets() {
		for target.Outstanding > 0 {
			balancer.Done(s.now, target, Succeeded)
		}
	}
	s.recordState()
	a := s.recordPick("")
	balancer.Done(s.now, a, Fault)
	balancer.retryTokens = 1
	s.recordPick("", a)
	s.recordPick("", a) // the budget is exhausted
	s.now = 900 * time.Millisecond
	s.recordState()
	s.now = 2 * time.Second
	for range 600 { // the trial of b: one in ten picks, until five calls have succeeded
		balancer.Done(s.now, balancer.Pick(s.now, ""), Succeeded)
	}
	s.recordState()
	want := []string{
		"a",
		"b",
		"c",
		"a",
		"b",
		"a",
		"a in 3, b in 2, c in 1",
		"a in 0, b out 0, c in 0",
		"a",
		"c",
		"none",
		"a in 0, b out 0, c in 1",
		"a in 0, b in 0, c in 1",
	}
	if diff := cmp.Diff(want, s.lines); diff != "" {
		t.Error(diff)
	}
}

// TestFloor checks that at least half of the peers stay in service and no call is retried when all peers fail.
func TestFloor(t *testing.T) {
	b := New(Config{Peers: peers(5)})
	now := time.Duration(0)
	for range 1000 {
		now += time.Millisecond
		if picked := b.Pick(now, ""); picked != nil {
			b.Done(now, picked, Fault)
		}
	}
	n := inService(b)
	picked := b.Pick(now, "")
	if n != 3 || picked == nil || b.Pick(now, "", picked) != nil {
		t.Error(n, picked)
	}
}

// TestUpdate checks that a peer that stays configured keeps its state, and that a removed peer receives no more calls while its
// outstanding calls may still end.
func TestUpdate(t *testing.T) {
	b := New(Config{Peers: peers(4)})
	targets := b.Targets()
	for range 3 {
		b.Pick(0, "w1")
		b.Done(0, targets[1], Fault)
	}
	removed := b.Pick(0, "w0")
	b.Update(Config{Peers: peers(4)[1:]})
	if targets[1].State != Ejected || b.Targets()[0] != targets[1] || !removed.Removed {
		t.Error("a peer that stays configured has lost its state, or a removed peer is not marked")
	}
	for range 20 {
		if picked := b.Pick(0, "w0"); picked == removed || picked == nil {
			t.Error("a removed peer or no peer is picked")
		}
	}
	b.Done(0, removed, Fault)
	b.Update(Config{Peers: peers(4)})
	if b.Targets()[0] == removed {
		t.Error("a peer that was removed and added again has its former state")
	}
}

func BenchmarkPick(b *testing.B) {
	balancer := New(Config{Peers: peers(8)})
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i)
		balancer.Done(now, balancer.Pick(now, ""), Succeeded)
	}
}
