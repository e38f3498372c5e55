package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
	"frosthub/internal/harness"
)

var failoverFaults = flag.Int("faults", 24, "number of faults injected into a cluster of five nodes under load; 500 outside CI")

// injectFault injects a random fault, ends it, and returns its kind. For standalone nodes, the faults are limited to stopping or killing one node.
func (c *testCluster) injectFault(random *rand.Rand, clustered bool) string {
	c.t.Helper()
	victim := random.IntN(5)
	kind := random.IntN(8)
	if !clustered {
		kind = random.IntN(4)
	}
	switch kind {
	case 0:
		if err := c.nodes[victim].Signal(syscall.SIGSTOP); err != nil {
			c.t.Fatal(err)
		}
		randomPause(random, 900)
		if err := c.nodes[victim].Signal(syscall.SIGCONT); err != nil {
			c.t.Fatal(err)
		}
		return "stopped"
	case 1, 2, 3:
		c.kill(victim)
		if kind == 1 { // the processor fails together with the node
			c.processors[victim].Reset()
		}
		randomPause(random, 500)
		c.restart(victim)
		return "killed"
	case 4:
		other := (victim + 1 + random.IntN(4)) % 5
		c.kill(victim, other)
		randomPause(random, 500)
		c.restart(victim, other)
		return "two killed"
	}
	return c.injectLinkFault(random, victim)
}

// randomPause sleeps for 100 ms plus a random time of less than maxMS milliseconds.
func randomPause(random *rand.Rand, maxMS int) {
	time.Sleep(time.Duration(100+random.IntN(maxMS)) * time.Millisecond)
}

// kill kills the given nodes.
func (c *testCluster) kill(nodes ...int) {
	c.t.Helper()
	for _, i := range nodes {
		if err := c.nodes[i].Kill(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// restart starts killed nodes, and returns once they accept connections.
func (c *testCluster) restart(nodes ...int) {
	c.t.Helper()
	for _, i := range nodes {
		if err := c.nodes[i].Start(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// linkFault is a kind of fault in the links between a node and its peers.
type linkFault int

const (
	linkCut linkFault = iota
	linkStalled
	linkSlow
	linkFaults // number of kinds
)

var linkFaultNames = [...]string{
	linkCut:     "cut off",
	linkStalled: "stalled",
	linkSlow:    "slow links",
}

// injectLinkFault injects a random fault into the links between a node and its peers, ends it, and returns its kind. The connections to the node's
// processor and edge nodes are not affected.
func (c *testCluster) injectLinkFault(random *rand.Rand, victim int) string {
	c.t.Helper()
	fault := linkFault(random.IntN(int(linkFaults)))
	outbound := random.IntN(3) > 0
	inbound := random.IntN(3) > 0
	for peer := range c.nodes {
		if peer == victim {
			continue
		}
		if outbound {
			fault.inject(random, c.links[victim][peer])
		}
		if inbound {
			fault.inject(random, c.links[peer][victim])
		}
	}
	randomPause(random, 900)
	if fault == linkStalled && random.IntN(2) == 0 { // the stalled messages reach a later incarnation
		c.kill(victim)
		c.restart(victim)
	}
	for peer := range c.nodes {
		c.links[victim][peer].Heal()
		c.links[peer][victim].Heal()
	}
	return linkFaultNames[fault]
}

// inject starts the fault on one link.
func (f linkFault) inject(random *rand.Rand, link *faultproxy.Link) {
	switch f {
	case linkCut:
		link.Reset()
	case linkStalled:
		link.Stall()
	default:
		link.Delay(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// TestFailover stops, kills and disconnects nodes of a cluster of five, with and without their processors, while callers retry claims at any node.
// No claim may run twice, and each retry that is served must get the first result.
func TestFailover(t *testing.T) {
	cluster := newTestCluster(t, 5, 6*time.Millisecond, true)
	defer cluster.killAll()
	totals, violations, kinds := cluster.runFaults(*failoverFaults, 1, true)
	for _, violation := range violations {
		t.Error(violation)
	}
	failovers := 0
	for _, node := range cluster.nodes {
		if err := node.Drain(); err != nil {
			t.Error(err)
		}
		failovers += firstCounter(t, node.Log(), "runs.taken_over")
	}
	args := []string{"figures", "--by", "front"}
	for _, node := range cluster.nodes {
		args = append(args, filepath.Join(node.Dir, "figures"))
	}
	out, err := exec.Command(binary, args...).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "taken-over") {
		t.Error(err, string(out))
	}
	t.Logf("faults %v: %+v; requests taken over by the last incarnations: %d", kinds, totals, failovers)
	if totals.ServedKeys < 15*(*failoverFaults) || totals.Interrupted == 0 {
		t.Error("too few requests were served, or none was interrupted")
	}
}

// runFaults injects the given number of faults while a load of claims runs against all nodes. It returns the totals of the load, the violations and
// the number of faults by kind.
func (c *testCluster) runFaults(faults int, seed uint64, clustered bool) (harness.ClaimTotals, []string, map[string]int) {
	random := rand.New(rand.NewPCG(seed, 12))
	load := &harness.ClaimLoad{
		Handler:   "file-claim",
		Callers:   30,
		Repeats:   2,
		LateShare: 0.3,
		Pause:     10 * time.Millisecond,
		Timeout:   2 * time.Second,
		CostMS:    6,
	}
	stop := c.startLoad(load, seed)
	kinds := map[string]int{}
	for range faults {
		time.Sleep(time.Duration(100+random.IntN(250)) * time.Millisecond)
		kinds[c.injectFault(random, clustered)]++
	}
	time.Sleep(2500 * time.Millisecond)
	stop()
	totals, violations := load.Verify(c.effects())
	return totals, violations, kinds
}

var compareStandalone = flag.Bool("against", false, "inject the same faults into standalone nodes and into a cluster")

// TestFailoverComparison injects the same faults into standalone nodes and into a cluster, and logs the outcomes of both.
func TestFailoverComparison(t *testing.T) {
	if !*compareStandalone {
		t.Skip("runs only with -against")
	}
	for _, clustered := range []bool{false, true} {
		cluster := newTestCluster(t, 5, 6*time.Millisecond, clustered)
		totals, violations, kinds := cluster.runFaults(*failoverFaults, 3, false)
		duplicates := 0
		for _, n := range cluster.effects() {
			if n > 1 {
				duplicates++
			}
		}
		t.Logf("cluster %v: %v: %+v; ran twice %d, violations %d", clustered, kinds, totals, duplicates, len(violations))
		cluster.killAll()
	}
}

// TestConcurrentDuplicates sends the same claim to two nodes at once and to a third 5 ms later. The claim must run once, and all three senders must
// get its result.
func TestConcurrentDuplicates(t *testing.T) {
	cluster := newTestCluster(t, 5, 10*time.Millisecond, true)
	defer cluster.killAll()
	answers := make([][3]string, 60)
	for i := range answers {
		var senders sync.WaitGroup
		for sender := range 3 {
			senders.Go(func() {
				if sender == 2 {
					time.Sleep(5 * time.Millisecond)
				}
				for attempt := 0; attempt < 50 && answers[i][sender] == ""; attempt++ { // rejections are retried
					time.Sleep(time.Duration(min(attempt, 1)) * 20 * time.Millisecond)
					request := fake.Request{
						ID: uint64(1000*i + 100*sender + attempt + 1), Handler: "file-claim", Caller: sender, Start: time.Now().UnixMilli(),
						Body: fmt.Sprint("claim ", i), CostMS: 10,
					}
					started := time.Now()
					response, outcome := cluster.clients[(i+sender)%5].RoundTrip(&request, 3*time.Second)
					if outcome == fake.Served && response.Status == 200 {
						answers[i][sender] = response.Body
					}
					if took := time.Since(started); took > time.Second {
						t.Errorf("claim %d: node %d responded after %s", i, (i+sender)%5+1, took)
					}
				}
			})
		}
		senders.Wait()
	}
	for i, answer := range answers {
		if answer[0] == "" || answer[1] != answer[0] || answer[2] != answer[0] {
			t.Errorf("claim %d: the responses differ or are missing: %q", i, answer)
		}
	}
	for key, n := range cluster.effects() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestZoneFailure kills all nodes of a zone together with their processors. The other nodes must take over the requests, and no claim may run twice.
func TestZoneFailure(t *testing.T) {
	cluster := newTestCluster(t, 6, 6*time.Millisecond, true) // two nodes in each zone
	defer cluster.killAll()
	load := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 30,
		Repeats: 1,
		Pause:   10 * time.Millisecond,
		Timeout: 2 * time.Second,
		CostMS:  6,
	}
	stop := cluster.startLoad(load, 11)
	time.Sleep(700 * time.Millisecond)
	for _, i := range []int{0, 3} {
		if err := cluster.nodes[i].Kill(); err != nil {
			t.Fatal(err)
		}
		cluster.processors[i].Reset()
	}
	time.Sleep(1500 * time.Millisecond)
	cluster.start(0, 3)
	time.Sleep(500 * time.Millisecond)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v", totals)
	if totals.ServedKeys < 300 || totals.OutcomeUnknown > 30 {
		t.Error("too few requests were served, or more outcomes are unknown than requests were in flight")
	}
}
