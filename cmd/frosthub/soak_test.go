package main

import (
	"context"
	"flag"
	"fmt"
	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
	"frosthub/internal/harness"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	soaks     = flag.Int("soaks", 1, "how many seeds the fault soak plays; dozens outside CI")
	soakNodes = flag.Int("soaknodes", 10, "real processes of a soak; 10 to 40")
	soakFor   = flag.Duration("soakfor", 6*time.Second, "for how long faults begin")
	soakSeed  = flag.Uint64("soakseed", 1, "the first seed")
)

const (
	soakTimeout = 3 * time.Second        // the client timeout of the stand-in's settings
	soakGrace   = 500 * time.Millisecond // after the notice
	soakKill    = 3 * time.Second        // after the notice, as the platform's rules allow for that timeout
	soakEach    = 8                      // faults a node
	soakMemory  = 64                     // megabytes that a process is told it may hold
	slackLate   = 400 * time.Millisecond // of an answer: the settings' 80 ms, the sockets' 50, and a machine that forty processes share
	slackGrace  = 50 * time.Millisecond  // of a run past the grace: the sockets'
	back        = 20 * time.Second       // for a node to serve again once all faults are over
)

// soakBinary is the program built with the tag faults.
var soakBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "frosthub-faults")
	out, err := exec.Command("go", "build", "-tags", "faults,debug", "-o", path, ".").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// TestFaultSoak plays real processes under faults that overlap in time, from a seed, while edge nodes ask all the while, and holds what the
// edge nodes, processors and next tiers saw against the rules.
func TestFaultSoak(t *testing.T) {
	program, err := soakBinary()
	if err != nil {
		t.Fatal(err)
	}
	for i := range *soaks {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { (&soak{T: t, seed: seed, program: program}).play() })
	}
}

type soak struct {
	*testing.T
	seed    uint64
	program string
	nodes   []*harness.Node
	ledger  *harness.ExchangeLog
}

func (s *soak) play() {
	s.ledger = harness.NewExchangeLog()
	s.begin()
	ctx, stop := context.WithCancel(s.Context())
	defer stop()
	var callers, faults sync.WaitGroup
	for i, n := range s.nodes {
		callers.Go(func() { s.asks(n, nil, 2).Run(ctx, s.ledger, s.seed<<8+uint64(i)) })
		callers.Go(func() { s.asks(n, n.EdgeProxy, 2).Run(ctx, s.ledger, s.seed<<8+uint64(i)+1<<40) })
	}
	plan := harness.PlanFaults(s.seed, len(s.nodes), *soakFor, soakEach)
	began := time.Now()
	for _, f := range plan {
		time.Sleep(time.Until(began.Add(f.At)))
		faults.Go(func() { s.nodes[f.Node].Inject(f) })
	}
	faults.Wait()
	s.servesAgain()
	var drains sync.WaitGroup
	for _, n := range s.nodes {
		drains.Go(func() { n.Drain(false) })
	}
	drains.Wait()
	stop()
	callers.Wait()
	s.judge()
	if s.Failed() {
		for _, f := range plan {
			s.Log("fault:", f)
		}
	}
}

func (s *soak) begin() {
	work := func(id uint64, handler string) time.Duration {
		if id%50 == 0 {
			return time.Minute // it stands until it is given up
		}
		return time.Duration(1+id%20) * time.Millisecond
	}
	var starts sync.WaitGroup
	for i := range *soakNodes {
		n, err := harness.NewNode(fmt.Sprint("n", i), s.program, s.TempDir(), 4, work, s.seed+uint64(i))
		if err != nil {
			s.Fatal(err)
		}
		n.KillAfter = soakKill
		n.Process.StopMS, n.Process.GraceMS, n.Process.MemoryMB = 3700, int(soakGrace.Milliseconds()), soakMemory
		n.Processor.Calls = func(id uint64, handler string) bool { return handler != "status" && id%3 == 0 }
		s.nodes = append(s.nodes, n)
		s.Cleanup(n.Close)
		starts.Go(func() {
			if err := n.Start(); err != nil {
				s.Error(err)
			}
		})
	}
	starts.Wait()
}

func (s *soak) asks(n *harness.Node, via *faultproxy.Proxy, conns int) harness.EdgeNode {
	return harness.EdgeNode{
		Name: n.Name, Address: n.Process.Listen, Proxy: via, Conns: conns, Interval: 40 * time.Millisecond, Slots: 24, CostMS: 10,
		Body: "a field", Handlers: []string{"status", "field-update", "file-claim"}, Pieces: 0.1, Pause: 20 * time.Millisecond,
		ExcuseFor: n.KilledSince,
	}
}

// servesAgain: once all faults are over each node serves, and has held no more memory than it was told.
func (s *soak) servesAgain() {
	for i, n := range s.nodes {
		id, end := s.seed<<32+uint64(i)<<16+1, time.Now().Add(back)
		for ; !asks(n.Process.Listen, id); id += 2 {
			if time.Now().After(end) {
				s.Errorf("%s does not serve again: %s", n.Name, tail(n.Process.Log()))
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if kb, err := n.Process.PeakResident(); err != nil || kb > soakMemory<<10 {
			s.Errorf("%s held %d KB at most, of %d MB: %v", n.Name, kb, soakMemory, err)
		}
	}
}

// judge holds what was seen against the rules.
func (s *soak) judge() {
	s.tell("lost", s.ledger.Lost())
	var doubles, late, grace, troubles, logged []string
	byNode := map[string]*harness.Node{}
	for _, n := range s.nodes {
		byNode[n.Name] = n
		handlers := n.Processor.Handlers()
		for id, times := range n.Processor.Runs() {
			if times > 1 && handlers[id] == "file-claim" {
				doubles = append(doubles, fmt.Sprintf("%s %016x ran %d times", n.Name, id, times))
			}
		}
		for id, times := range n.Upstream.CallCounts() {
			if times > 1 && handlers[id] == "file-claim" {
				doubles = append(doubles, fmt.Sprintf("%s %016x called %d times", n.Name, id, times))
			}
		}
		troubles = append(troubles, n.Violations()...)
		if _, stack, panicked := strings.Cut(n.Process.Log(), "panic: "); panicked {
			logged = append(logged, n.Name+": panic: "+stack[:min(len(stack), 3000)])
		}
		for line := range strings.Lines(n.Process.Log()) {
			if strings.Contains(line, "rule kept at the last moment") || strings.Contains(line, "invariant broken") ||
				strings.Contains(line, "figures differ") {
				logged = append(logged, n.Name+": "+strings.TrimSpace(line))
			}
		}
	}
	worst := time.Duration(0)
	outcomes, excuses := map[fake.Outcome]int{}, map[string]int{}
	for _, x := range s.ledger.All() {
		n := byNode[x.Node]
		outcomes[x.Outcome]++
		if x.Answered.IsZero() {
			excuses[x.Excused]++
		}
		if !x.Answered.IsZero() {
			took := x.Answered.Sub(x.Written) - n.Paused(x.Written, x.Answered)
			worst = max(worst, took)
			if took > soakTimeout+slackLate {
				late = append(late, fmt.Sprintf("%s %016x: answered after %v", x.Node, x.ID, took))
			}
		}
		begun, ran := n.Processor.Begun()[x.ID]
		for _, notice := range n.Drains() {
			if ran && x.Written.After(notice.At.Add(soakGrace+slackGrace)) && begun.After(notice.At) && begun.Before(notice.Ended) {
				grace = append(grace, fmt.Sprintf("%s %016x: written %v after the notice, and run", x.Node, x.ID, x.Written.Sub(notice.At)))
			}
		}
	}
	s.tell("ran twice", doubles)
	s.tell("late", late)
	s.tell("run after the grace", grace)
	s.tell("process", troubles)
	s.tell("log", logged)
	s.Logf("seed %d: %d requests %v, unanswered %v, crossed %d, slowest answer %v", s.seed, len(s.ledger.All()), outcomes, excuses,
		s.ledger.Crossed(), worst)
	s.tellSeen()
	if outcomes[fake.Served]*4 < len(s.ledger.All()) {
		s.Error("too little was served to tell anything")
	}
}

// tellSeen counts what the nodes' logs say of the faults: those that nobody noticed were none.
func (s *soak) tellSeen() {
	seen := map[string]int{}
	for _, n := range s.nodes {
		for line := range strings.Lines(n.Process.Log()) {
			for _, what := range []string{
				"time of day stepped", "stood still", "link lost", "not accepted", "bad reply", "next tier not reached",
				"configuration not taken", "configuration read anew", "command repeated", "req without its answer", "to=draining",
				"req given up at the stop", "processor not reached",
			} {
				if strings.Contains(line, what) {
					seen[what]++
				}
			}
		}
	}
	s.Log("seen:", seen)
}

// tell fails with what broke a rule, some of it.
func (s *soak) tell(rule string, broke []string) {
	slices.Sort(broke)
	for _, line := range broke[:min(len(broke), 5)] {
		s.Errorf("%s: %s", rule, line)
	}
	if len(broke) > 5 {
		s.Errorf("%s: %d in all", rule, len(broke))
	}
}

// tail is the end of a log.
func tail(log string) string { return log[max(0, len(log)-2000):] }
