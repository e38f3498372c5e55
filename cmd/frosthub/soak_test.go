package main

import (
	"context"
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
	"frosthub/internal/harness"
)

var (
	soaks     = flag.Int("soaks", 1, "number of fault soaks, each with the next seed; dozens outside CI")
	soakNodes = flag.Int("soaknodes", 10, "number of processes in a soak; 10 to 40")
	soakFor   = flag.Duration("soakfor", 6*time.Second, "time within which the faults of a soak begin")
	soakSeed  = flag.Uint64("soakseed", 1, "seed of the first soak")
)

const (
	soakTimeout       = 3 * time.Second        // the client timeout in the settings
	soakGrace         = 500 * time.Millisecond // after the start of a drain
	soakKillAfter     = 3 * time.Second        // after the start of a drain, the time that the platform allows with soakTimeout
	soakFaultsPerNode = 8                      // number of faults
	soakMemoryMB      = 64                     // memory limit of a process
	lateSlack         = 400 * time.Millisecond // of a response: 80 ms by the settings, 50 ms for sockets, the rest for a machine that up to 40 processes share
	graceSlack        = 50 * time.Millisecond  // of a run after the grace period, for delays in sockets
	recoveryTimeout   = 20 * time.Second       // for a node to serve again after the last fault has ended
)

// soakBinary builds the program with the tags faults and debug, and returns its path.
var soakBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "frosthub-faults")
	out, err := exec.Command("go", "build", "-tags", "faults,debug", "-o", path, ".").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// TestFaultSoak injects overlapping random faults into real processes under load from edge nodes. It checks the records of the edge nodes, processors
// and upstreams: each request must get its response in time, and no claim may run twice.
func TestFaultSoak(t *testing.T) {
	program, err := soakBinary()
	if err != nil {
		t.Fatal(err)
	}
	for i := range *soaks {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { (&soak{T: t, seed: seed, program: program}).run() })
	}
}

// soak is one run of TestFaultSoak.
type soak struct {
	*testing.T
	seed      uint64
	program   string
	nodes     []*harness.Node
	exchanges *harness.ExchangeLog
}

// run starts the nodes, injects the planned faults under load, drains the nodes and verifies the records.
func (s *soak) run() {
	s.exchanges = harness.NewExchangeLog()
	s.startNodes()
	ctx, stop := context.WithCancel(s.Context())
	defer stop()
	var callers, faults sync.WaitGroup
	for i, node := range s.nodes {
		callers.Go(func() { s.edgeNode(node, nil, 2).Run(ctx, s.exchanges, s.seed<<8+uint64(i)) })
		callers.Go(func() { s.edgeNode(node, node.EdgeProxy, 2).Run(ctx, s.exchanges, s.seed<<8+uint64(i)+1<<40) })
	}
	plan := harness.PlanFaults(s.seed, len(s.nodes), *soakFor, soakFaultsPerNode)
	started := time.Now()
	for _, fault := range plan {
		time.Sleep(time.Until(started.Add(fault.At)))
		faults.Go(func() { s.nodes[fault.Node].Inject(fault) })
	}
	faults.Wait()
	s.verifyRecovery()
	var drains sync.WaitGroup
	for _, node := range s.nodes {
		drains.Go(func() { node.Drain(false) })
	}
	drains.Wait()
	stop()
	callers.Wait()
	s.verify()
	if s.Failed() {
		for _, fault := range plan {
			s.Log("fault:", fault)
		}
	}
}

// startNodes starts all nodes side by side.
func (s *soak) startNodes() {
	work := func(id uint64, handler string) time.Duration {
		if id%50 == 0 {
			return time.Minute // runs until it is interrupted
		}
		return time.Duration(1+id%20) * time.Millisecond
	}
	var starting sync.WaitGroup
	for i := range *soakNodes {
		node, err := harness.NewNode(fmt.Sprint("n", i), s.program, s.TempDir(), 4, work, s.seed+uint64(i))
		if err != nil {
			s.Fatal(err)
		}
		node.KillAfter = soakKillAfter
		node.Process.StopMS = 3700
		node.Process.GraceMS = int(soakGrace.Milliseconds())
		node.Process.MemoryMB = soakMemoryMB
		node.Processor.MakesCall = func(id uint64, handler string) bool { return handler != "status" && id%3 == 0 }
		node.Processor.SecondCalls = true
		s.nodes = append(s.nodes, node)
		s.Cleanup(node.Close)
		starting.Go(func() {
			if err := node.Start(); err != nil {
				s.Error(err)
			}
		})
	}
	starting.Wait()
}

// edgeNode returns an edge node that sends requests to the given node, directly if proxy is nil.
func (s *soak) edgeNode(node *harness.Node, proxy *faultproxy.Proxy, conns int) harness.EdgeNode {
	return harness.EdgeNode{
		Name: node.Name, Address: node.Process.Listen, Proxy: proxy, Conns: conns, Interval: 40 * time.Millisecond, Slots: 24, CostMS: 10,
		Body: "a field", Handlers: []string{"status", "field-update", "file-claim"}, SplitShare: 0.1, SplitPause: 20 * time.Millisecond,
		ExcuseFor: node.KilledSince,
	}
}

// verifyRecovery checks that each node serves again after the last fault and has stayed within its memory limit.
func (s *soak) verifyRecovery() {
	for i, node := range s.nodes {
		id, end := s.seed<<32+uint64(i)<<16+1, time.Now().Add(recoveryTimeout)
		for ; !requestServed(node.Process.Listen, id); id += 2 {
			if time.Now().After(end) {
				s.Errorf("%s does not serve again: %s", node.Name, logTail(node.Process.Log()))
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if kb, err := node.Process.PeakResident(); err != nil || kb > soakMemoryMB<<10 {
			s.Errorf("%s: peak resident memory is %d KB, the limit %d MB: %v", node.Name, kb, soakMemoryMB, err)
		}
	}
}

// verify checks the records of the run.
func (s *soak) verify() {
	s.reportViolations("lost", s.exchanges.Violations())
	s.verifyNodes()
	s.verifyExchanges()
	s.logObservedFaults()
}

// verifyNodes checks that no claim ran or made a call twice, that each run got the replies to its own calls, that each process ended as expected,
// and that none has logged a violation.
func (s *soak) verifyNodes() {
	var duplicates, wrongReplies, processViolations, logged []string
	for _, node := range s.nodes {
		handlers := node.Processor.Handlers()
		for id, times := range node.Processor.Runs() {
			if times > 1 && handlers[id] == "file-claim" {
				duplicates = append(duplicates, fmt.Sprintf("%s %016x ran %d times", node.Name, id, times))
			}
		}
		for call, times := range node.Upstream.CallCounts() {
			if times > 1 && handlers[call.RequestID] == "file-claim" {
				duplicates = append(duplicates, fmt.Sprintf("%s %016x made the call %q %d times", node.Name, call.RequestID, call.Body, times))
			}
		}
		for _, wrong := range node.Processor.WrongReplies() {
			wrongReplies = append(wrongReplies, node.Name+": "+wrong)
		}
		processViolations = append(processViolations, node.Violations()...)
		logged = append(logged, loggedViolations(node)...)
	}
	s.reportViolations("ran twice", duplicates)
	s.reportViolations("wrong reply", wrongReplies)
	s.reportViolations("process", processViolations)
	s.reportViolations("log", logged)
}

// loggedViolations returns the panics and violations that a node has logged.
func loggedViolations(node *harness.Node) []string {
	var violations []string
	log := node.Process.Log()
	if _, stack, panicked := strings.Cut(log, "panic: "); panicked {
		violations = append(violations, node.Name+": panic: "+stack[:min(len(stack), 3000)])
	}
	for line := range strings.Lines(log) {
		for _, message := range []string{"lifecycle violation prevented", "invariant broken", "accounting mismatch"} {
			if strings.Contains(line, message) {
				violations = append(violations, node.Name+": "+strings.TrimSpace(line))
				break
			}
		}
	}
	return violations
}

// verifyExchanges checks that responses arrived in time, that no request sent after the grace period of a drain ran, and that enough requests were
// served.
func (s *soak) verifyExchanges() {
	byName := map[string]*harness.Node{}
	firstStarts := map[string]map[uint64]time.Time{} // by node and request
	for _, node := range s.nodes {
		byName[node.Name] = node
		firstStarts[node.Name] = node.Processor.FirstStarts()
	}
	var late, afterGrace []string
	slowest := time.Duration(0)
	outcomes := map[fake.Outcome]int{}
	excuses := map[string]int{}
	all := s.exchanges.All()
	for _, exchange := range all {
		node := byName[exchange.Node]
		outcomes[exchange.Outcome]++
		if exchange.RespondedAt.IsZero() {
			excuses[exchange.Excuse]++
		} else {
			took := exchange.RespondedAt.Sub(exchange.SentAt) - node.Paused(exchange.SentAt, exchange.RespondedAt)
			slowest = max(slowest, took)
			if took > soakTimeout+lateSlack {
				late = append(late, fmt.Sprintf("%s %016x: response after %v", exchange.Node, exchange.ID, took))
			}
		}
		startedAt, ran := firstStarts[exchange.Node][exchange.ID]
		for _, drain := range node.Drains() {
			if ran && ranAfterGrace(exchange.SentAt, startedAt, drain) {
				age := exchange.SentAt.Sub(drain.NotifiedAt)
				afterGrace = append(afterGrace, fmt.Sprintf("%s %016x: ran although sent %v after the start of the drain", exchange.Node, exchange.ID, age))
			}
		}
	}
	s.reportViolations("late", late)
	s.reportViolations("run after the grace period", afterGrace)
	s.Logf("seed %d: %d requests, outcomes %v; without a response, by excuse: %v; crossed the end of their connection: %d; slowest response %v", s.seed, len(all), outcomes, excuses,
		s.exchanges.CrossedClose(), slowest)
	if outcomes[fake.Served]*4 < len(all) {
		s.Error("too few requests were served for a valid result")
	}
}

// ranAfterGrace reports whether a request was sent after the grace period of a drain and started during the drain.
func ranAfterGrace(sentAt, startedAt time.Time, drain harness.Drain) bool {
	sentAfterGrace := sentAt.After(drain.NotifiedAt.Add(soakGrace + graceSlack))
	startedDuringDrain := startedAt.After(drain.NotifiedAt) && startedAt.Before(drain.EndedAt)
	return sentAfterGrace && startedDuringDrain
}

// logObservedFaults logs how often the nodes have logged each kind of fault. A kind that is missing in the list had no effect in this run.
func (s *soak) logObservedFaults() {
	observed := map[string]int{}
	for _, node := range s.nodes {
		for line := range strings.Lines(node.Process.Log()) {
			for _, message := range []string{
				"wall clock stepped", "process stalled", "processor link lost", "accept failed", "upstream protocol error", "upstream unreachable",
				"configuration rejected", "configuration reloaded", "processor command retried", "request unanswered", "new_phase=draining",
				"request cancelled at shutdown deadline", "processor unreachable",
			} {
				if strings.Contains(line, message) {
					observed[message]++
				}
			}
		}
	}
	s.Log("log lines of the nodes about faults:", observed)
}

// reportViolations fails the test with the first five violations of a rule and their number.
func (s *soak) reportViolations(rule string, violations []string) {
	slices.Sort(violations)
	for _, line := range violations[:min(len(violations), 5)] {
		s.Errorf("%s: %s", rule, line)
	}
	if len(violations) > 5 {
		s.Errorf("%s: %d violations in all", rule, len(violations))
	}
}
