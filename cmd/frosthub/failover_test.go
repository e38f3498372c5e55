package main

import (
	"context"
	"flag"
	"fmt"
	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
	"frosthub/internal/harness"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var failoverFaults = flag.Int("faults", 24, "how often a box of five is killed or stopped under load; 500 outside CI")

// testCluster is boxes of one cluster, each with a processor of its own.
type testCluster struct {
	t          *testing.T
	nodes      []*harness.Process
	processors []*fake.Processor
	clients    []*fake.FastCGIClient
	links      [][]*faultproxy.Link // from, to

	peerAddresses []string // for the other boxes
	baseConf      []string // the files of boxes alone
}

// newTestCluster starts them; without cluster each keeps what it ran for itself.
func newTestCluster(t *testing.T, n int, work time.Duration, clustered bool) *testCluster {
	t.Helper()
	cluster := prepareCluster(t, n, work)
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	for i := range cluster.nodes {
		if clustered {
			cluster.setMembers(i, all, nil)
		}
	}
	cluster.start(all...)
	return cluster
}

// prepareCluster has boxes, processors and links ready; each box keeps what it ran for itself.
func prepareCluster(t *testing.T, n int, work time.Duration) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t}
	for range n {
		peerAddress, err := harness.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		cluster.peerAddresses = append(cluster.peerAddresses, peerAddress)
		processor, err := fake.NewProcessor(2, constantWork(work))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(processor.Close)
		cluster.processors = append(cluster.processors, processor)
	}
	for i := range n {
		address, err := harness.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		store := filepath.Join(dir, "keep")
		name := fmt.Sprint("n", i+1)
		if out, err := exec.Command(binary, "keep", "init", "--box", name, store).CombinedOutput(); err != nil {
			t.Fatal(string(out))
		}
		cluster.baseConf = append(cluster.baseConf, "figures file "+filepath.Join(dir, "figures")+"\nkeep dir "+store+"\nkeep handler file-claim by body\n")
		cluster.links = append(cluster.links, nil)
		for _, peerAddress := range cluster.peerAddresses {
			link, err := faultproxy.NewLink(peerAddress)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(link.Close)
			cluster.links[i] = append(cluster.links[i], link)
		}
		cluster.nodes = append(cluster.nodes, &harness.Process{
			Binary: binary, Dir: dir, Name: name, Listen: address, Processor: cluster.processors[i].Address(), StopMS: 800,
			Conf: cluster.baseConf[i],
		})
		cluster.clients = append(cluster.clients, fake.NewFastCGIClient(address))
		t.Cleanup(cluster.clients[i].Close)
	}
	return cluster
}

// setMembers has a box's file name these members, and those before while they change.
func (c *testCluster) setMembers(node int, members, former []int) {
	conf := c.baseConf[node] + "cluster name north\ncluster promise yes\ncluster replay field-update by body\ncluster listen " + c.peerAddresses[node] + "\n"
	for directive, list := range map[string][]int{"member": members, "former": former} {
		for _, member := range list {
			conf += fmt.Sprintf("cluster %s n%d %s zone=z%d processor=%s\n", directive, member+1, c.links[node][member].Address(), member%3, c.processors[member].Address())
		}
	}
	c.nodes[node].Conf = conf
}

// start starts boxes, and returns when they serve.
func (c *testCluster) start(nodes ...int) {
	c.t.Helper()
	for _, i := range nodes {
		if err := c.nodes[i].Start(); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, i := range nodes {
		waitReady(c.t, c.nodes[i].Listen)
	}
}

func (c *testCluster) killAll() {
	for _, node := range c.nodes {
		_ = node.Kill()
	}
}

// startLoad has a load ask all boxes until the function is called that it returns.
func (c *testCluster) startLoad(load *harness.ClaimLoad, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(c.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, seed, func(n uint64) fake.Client { return c.clients[n>>40%uint64(len(c.clients))] })
	}()
	return func() {
		cancel()
		<-done
	}
}

// effects sums what all processors began.
func (c *testCluster) effects() map[string]int {
	effects := map[string]int{}
	for _, processor := range c.processors {
		for body, n := range processor.Effects() {
			effects[body] += n
		}
	}
	return effects
}

// verify holds what the callers of a load know against what ran, and gives the sums.
func (c *testCluster) verify(load *harness.ClaimLoad) harness.ClaimTotals {
	c.t.Helper()
	totals, violations := load.Verify(c.effects())
	for _, violation := range violations {
		c.t.Error(violation)
	}
	return totals
}

// injectFault does one thing that fails, and mends it.
func (c *testCluster) injectFault(random *rand.Rand, clustered bool) string {
	victimIndex := random.IntN(5)
	node := c.nodes[victimIndex]
	pause := func(maxMS int) { time.Sleep(time.Duration(100+random.IntN(maxMS)) * time.Millisecond) }
	kind := random.IntN(8)
	if !clustered {
		kind = random.IntN(4)
	}
	switch kind {
	case 0:
		_ = node.Signal(syscall.SIGSTOP)
		pause(900)
		_ = node.Signal(syscall.SIGCONT)
		return "stopped"
	case 1, 2, 3: // with its processor, or while that lives on
		if err := node.Kill(); err != nil {
			c.t.Fatal(err)
		}
		if kind == 1 {
			c.processors[victimIndex].Reset()
		}
		pause(500)
		if err := node.Start(); err != nil {
			c.t.Fatal(err)
		}
		return "killed"
	case 4: // two at once
		peer := (victimIndex + 1 + random.IntN(4)) % 5
		for _, victim := range []int{victimIndex, peer} {
			if err := c.nodes[victim].Kill(); err != nil {
				c.t.Fatal(err)
			}
		}
		pause(500)
		for _, victim := range []int{victimIndex, peer} {
			if err := c.nodes[victim].Start(); err != nil {
				c.t.Fatal(err)
			}
		}
		return "two killed"
	}
	linkFault, outbound, inbound := random.IntN(3), random.IntN(3) > 0, random.IntN(3) > 0 // a box cut off from the others, but not from its processor and edge nodes
	for peer := range c.nodes {
		for _, link := range []struct {
			link     *faultproxy.Link
			affected bool
		}{{c.links[victimIndex][peer], outbound}, {c.links[peer][victimIndex], inbound}} {
			switch {
			case !link.affected || peer == victimIndex:
			case linkFault == 0:
				link.link.Reset()
			case linkFault == 1:
				link.link.Stall()
			default:
				link.link.Delay(time.Duration(random.IntN(300)) * time.Millisecond)
			}
		}
	}
	pause(900)
	if linkFault == 1 && random.IntN(2) == 0 { // killed while what it was sent waits for it: that is of an earlier life then
		if err := node.Kill(); err != nil {
			c.t.Fatal(err)
		}
		if err := node.Start(); err != nil {
			c.t.Fatal(err)
		}
	}
	for peer := range c.nodes {
		c.links[victimIndex][peer].Heal()
		c.links[peer][victimIndex].Heal()
	}
	return [...]string{"cut off", "stalled", "slow links"}[linkFault]
}

// TestFailover has boxes of five killed, with and without their processors, stopped and cut off, under claims that are sent again to
// any box: none runs twice, and whoever is served hears the first answer.
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
		_, rest, _ := strings.Cut(node.Log(), "counters.runs.taken=")
		n := 0
		_, _ = fmt.Sscanf(rest, "%d", &n)
		failovers += n
	}
	args := []string{"figures", "--by", "front"}
	for _, node := range cluster.nodes {
		args = append(args, filepath.Join(node.Dir, "figures"))
	}
	out, err := exec.Command(binary, args...).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "taken-over") {
		t.Error(err, string(out))
	}
	t.Logf("%v: %+v; taken over in the last lives %d", kinds, totals, failovers)
	if totals.Served < 15*(*failoverFaults) || totals.Interrupted == 0 {
		t.Error("too little was asked to tell anything")
	}
}

// runFaults has claims sent to all boxes while so many faults happen, and judges.
func (c *testCluster) runFaults(faults int, seed uint64, clustered bool) (harness.ClaimTotals, []string, map[string]int) {
	random := rand.New(rand.NewPCG(seed, 12))
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 30, Repeats: 2, LateShare: 0.3, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 6}
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

var compareAlone = flag.Bool("against", false, "the same kills and stops with the boxes alone and as a cluster")

// TestFailoverComparison measures what boxes that know nothing of each other do under the same faults.
func TestFailoverComparison(t *testing.T) {
	if !*compareAlone {
		t.Skip("asked for by -against")
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
		t.Logf("cluster %v: %v: %+v; ran twice %d, broken promises %d", clustered, kinds, totals, duplicates, len(violations))
		cluster.killAll()
	}
}

// TestRollingRestart has all boxes of a cluster replaced one after the other under load: what each leaves unrun another takes over, and its caller
// hears the result from the box that leaves.
func TestRollingRestart(t *testing.T) {
	cluster := newTestCluster(t, 3, 25*time.Millisecond, true)
	defer cluster.killAll()
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 60, Repeats: 1, Pause: 5 * time.Millisecond, Timeout: 3 * time.Second, CostMS: 25}
	stop := cluster.startLoad(load, 5)
	handed := 0
	for _, node := range cluster.nodes {
		time.Sleep(400 * time.Millisecond)
		if err := node.Drain(); err != nil {
			t.Fatal(err)
		}
		_, rest, _ := strings.Cut(node.Log(), "counters.runs.handed=")
		n := 0
		_, _ = fmt.Sscanf(rest, "%d", &n)
		handed += n
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v; handed over %d", totals, handed)
	if totals.Served < 200 || handed == 0 {
		t.Error("too little was asked, or nothing was handed over")
	}
}

// TestMembershipChange has boxes n1 to n3 give way to n3 to n5 under load, one of which is killed on the way: no claim runs twice, none that
// ran is forgotten, and what a file says too early is not done.
func TestMembershipChange(t *testing.T) {
	cluster := prepareCluster(t, 5, 6*time.Millisecond)
	defer cluster.killAll()
	for i := range cluster.baseConf {
		cluster.baseConf[i] += "keep horizon 3s\n"
	}
	before, after := []int{0, 1, 2}, []int{2, 3, 4}
	for _, i := range before {
		cluster.setMembers(i, before, nil)
	}
	cluster.start(before...)
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 20, Repeats: 3, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 6}
	stop := cluster.startLoad(load, 8)
	logs := func(text string, nodes ...int) {
		t.Helper()
		for _, i := range nodes {
			for end := time.Now().Add(15 * time.Second); !strings.Contains(cluster.nodes[i].Log(), text); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("n%d never logs %q:\n%s", i+1, text, cluster.nodes[i].Log())
				}
			}
		}
	}
	change := func(members, former []int, nodes ...int) {
		t.Helper()
		for _, i := range nodes {
			cluster.setMembers(i, members, former)
			if err := cluster.nodes[i].ReloadOperatorFile(); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	change(after, nil, 0) // without the list before
	logs("must stand beside the new one", 0)
	for _, i := range []int{3, 4} {
		cluster.setMembers(i, after, before)
		if err := cluster.nodes[i].Start(); err != nil { // it serves claims once the others know of it
			t.Fatal(err)
		}
	}
	change(after, before, 0, 1)
	time.Sleep(300 * time.Millisecond)
	change(after, nil, 0) // n3 still goes by the list before alone
	logs("not known to go by the new list", 0)
	if err := cluster.nodes[2].Kill(); err != nil {
		t.Fatal(err)
	}
	cluster.setMembers(2, after, before)
	cluster.start(2)
	change(after, nil, 0, 1, 2, 3, 4)
	logs("may still be asked for again", 0, 1, 2, 3, 4)
	logs("now=3 before=0", 0, 1, 2, 3, 4)
	for _, i := range []int{0, 1} {
		if err := cluster.nodes[i].Drain(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := cluster.nodes[4].Kill(); err != nil { // its claims are those of n3 and n4 now
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v", totals)
	if totals.Served < 500 {
		t.Error("too little was asked to tell anything")
	}
}

// TestSameMoment: the same claim sent to two boxes in the same moment, and to a third a little later, runs once and has one answer.
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
				for try := 0; try < 50 && answers[i][sender] == ""; try++ { // refusals are asked again
					time.Sleep(time.Duration(min(try, 1)) * 20 * time.Millisecond)
					request := fake.Request{
						ID: uint64(1000*i + 100*sender + try + 1), Handler: "file-claim", Caller: sender, Start: time.Now().UnixMilli(),
						Body: fmt.Sprint("claim ", i), CostMS: 10,
					}
					started := time.Now()
					response, outcome := cluster.clients[(i+sender)%5].RoundTrip(&request, 3*time.Second)
					if outcome == fake.Served && response.Status == 200 {
						answers[i][sender] = response.Body
					}
					if took := time.Since(started); took > time.Second {
						t.Errorf("claim %d: box %d takes %s", i, (i+sender)%5+1, took)
					}
				}
			})
		}
		senders.Wait()
	}
	for i, answer := range answers {
		if answer[0] == "" || answer[1] != answer[0] || answer[2] != answer[0] {
			t.Errorf("claim %d: %q", i, answer)
		}
	}
	for key, n := range cluster.effects() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestZoneLost: all boxes of a zone die at once, with their processors; the others go on with what those held, and no claim runs twice.
func TestZoneFailure(t *testing.T) {
	cluster := newTestCluster(t, 6, 6*time.Millisecond, true) // two boxes a zone
	defer cluster.killAll()
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 30, Repeats: 1, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 6}
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
	if totals.Served < 300 || totals.OutcomeUnknown > 30 {
		t.Error("too little was served, or more is in doubt than was in hand")
	}
}

var failoverRounds = flag.Int("rounds", 2, "how often a box with claims in hand is killed to see how soon others have taken them over")

// failoverStats is what became of reqs that a killed box had in hand, sent again at once to the others.
type failoverStats struct {
	queued, queuedServed   int // held and not begun
	running, runningServed int // begun
	duplicates             int // ran more than once, over all
	latency                *hdrhistogram.Histogram
}

// killInFlight has a box killed with reqs of a handler in hand, its processor with it or not, and adds up what becomes of them.
func (c *testCluster) killInFlight(handler string, processorLives bool, round int, stats *failoverStats) {
	var senders sync.WaitGroup
	var mu sync.Mutex
	body := func(i int) string { return fmt.Sprintf("%s %d of round %d", handler, i, round) }
	send := func(node, i int, id uint64) (fake.Response, fake.Outcome) {
		request := fake.Request{ID: id, Handler: handler, Caller: i, Start: time.Now().UnixMilli(), Body: body(i), CostMS: 100}
		return c.clients[node].RoundTrip(&request, 3*time.Second)
	}
	startedRuns := func() (n int) {
		for body := range c.processors[0].Effects() {
			if strings.HasPrefix(body, handler) {
				n++
			}
		}
		return n
	}
	const requests = 10
	for i := range 4 { // the box learns how many runs its processor takes
		senders.Go(func() {
			for k := range 4 {
				_, _ = send(0, 1000+10*i+k, uint64(10*i+k+1))
			}
		})
	}
	senders.Wait()
	warmupRuns := startedRuns()
	for i := range requests {
		senders.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			_, _ = send(0, i, uint64(1000+i))
		})
	}
	for end := time.Now().Add(2 * time.Second); startedRuns() == warmupRuns && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(40 * time.Millisecond) // the others are in line by now
	if err := c.nodes[0].Kill(); err != nil {
		c.t.Fatal(err)
	}
	if !processorLives {
		c.processors[0].Reset()
	}
	killedAt := time.Now()
	senders.Wait()
	before := c.effects()
	for i := range requests {
		senders.Go(func() {
			ran, served := before[body(i)] > 0, false
			for try := uint64(0); time.Since(killedAt) < 3*time.Second && !served; try++ {
				response, outcome := send(1+(i+int(try))%4, i, 5000+uint64(i)*100+try)
				if served = outcome == fake.Served && response.Status == 200; !served {
					time.Sleep(50 * time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			servedCount := 0
			if served {
				servedCount = 1
				_ = stats.latency.RecordValue(time.Since(killedAt).Microseconds())
			}
			if ran {
				stats.running++
				stats.runningServed += servedCount
			} else {
				stats.queued++
				stats.queuedServed += servedCount
			}
		})
	}
	senders.Wait()
	for _, n := range c.effects() {
		if n > 1 {
			stats.duplicates++
		}
	}
}

// TestFailoverLatency kills a box that holds reqs, runs some and has others in line. Those sent again at once to the others are served in
// their client's time, but for claims that had begun at a processor that is lost too.
func TestFailoverLatency(t *testing.T) {
	for _, test := range []struct {
		handler        string
		processorLives bool
		alone          bool    // boxes alone, for comparison
		minQueued      float64 // share of those in line that must be served, and of those that had begun
		minRunning     float64
	}{
		{"file-claim", false, false, 0.95, 0},
		{"file-claim", true, false, 0.95, 0.95},
		{"field-update", false, false, 0.95, 0.9},
		{"file-claim", false, true, 0, 0},
		{"file-claim", true, true, 0, 0},
		{"field-update", false, true, 0, 0},
	} {
		if test.alone && !*compareAlone {
			continue
		}
		stats := failoverStats{latency: hdrhistogram.New(1, 10_000_000, 3)}
		for round := range *failoverRounds {
			cluster := newTestCluster(t, 5, 100*time.Millisecond, !test.alone)
			cluster.killInFlight(test.handler, test.processorLives, round, &stats)
			cluster.killAll()
		}
		t.Logf("%s, processor lives %v, cluster %v: in line %d, served %d; begun %d, served %d; ran twice %d; from kill to answer %s in the middle, %s at most",
			test.handler, test.processorLives, !test.alone, stats.queued, stats.queuedServed, stats.running, stats.runningServed, stats.duplicates,
			time.Duration(stats.latency.ValueAtQuantile(50))*time.Microsecond, time.Duration(stats.latency.Max())*time.Microsecond)
		if stats.queued < *failoverRounds || stats.running == 0 {
			t.Error("nothing was in hand")
		}
		if !test.alone && test.handler == "file-claim" && stats.duplicates > 0 {
			t.Error("claims ran twice")
		}
		if float64(stats.queuedServed) < test.minQueued*float64(stats.queued) || float64(stats.runningServed) < test.minRunning*float64(stats.running) {
			t.Error("too few were served")
		}
	}
}

var clusterPairs = flag.Int("clusterpairs", 0, "measure boxes as a cluster beside boxes alone in so many pairs of runs")

// retryingClient is an edge node that knows all boxes.
func (c *testCluster) retryingClient() *fake.RetryingClient {
	retrying := &fake.RetryingClient{MaxAttempts: 4, Pause: 5 * time.Millisecond}
	for _, client := range c.clients {
		retrying.Nodes = append(retrying.Nodes, client)
	}
	return retrying
}

// cpuTime is the time on cores that all boxes have taken.
func (c *testCluster) cpuTime() (total time.Duration) {
	for _, node := range c.nodes {
		used, err := node.CPU()
		if err != nil {
			c.t.Fatal(err)
		}
		total += used
	}
	return total
}

// mixedLoad is what comes to a fleet by chance, each req its own.
func mixedLoad(rate float64, cost time.Duration, handlers ...string) fake.OpenLoad {
	return fake.OpenLoad{
		Rate: rate, Handlers: handlers, CostMS: cost.Seconds() * 1000, Target: time.Second, Timeout: 2900 * time.Millisecond,
		Value: map[string]float64{"status": 1, "field-update": 2, "file-claim": 3},
	}
}

// TestClusterLoad measures the service of five boxes, one of which dies, or is slow to hear and be heard, at 110% of what they take: as a
// cluster, and alone under the same arrivals.
func TestClusterLoad(t *testing.T) {
	if *clusterPairs == 0 {
		t.Skip("asked for by -clusterpairs")
	}
	const work = 40 * time.Millisecond // 50 reqs a second and box
	handlers := []string{"status", "status", "status", "field-update", "file-claim"}
	for _, fault := range []string{"one of five dies", "a slow box"} {
		for pair := range *clusterPairs {
			var got [2]float64
			for i, clustered := range []bool{false, true} {
				cluster := newTestCluster(t, 5, work, clustered)
				load := mixedLoad(1.1*250, work, handlers...)
				run := func(seed uint64, span time.Duration) float64 {
					ctx, stop := context.WithTimeout(t.Context(), span)
					defer stop()
					return load.Run(ctx, seed, fake.NewTally(), func(uint64) fake.Client { return cluster.retryingClient() })
				}
				run(uint64(pair)+100, 3*time.Second)
				if fault == "a slow box" {
					for k := 1; k < 5; k++ {
						cluster.links[0][k].Delay(100 * time.Millisecond)
						cluster.links[k][0].Delay(100 * time.Millisecond)
					}
				} else {
					if err := cluster.nodes[0].Kill(); err != nil {
						t.Fatal(err)
					}
					cluster.processors[0].Reset()
				}
				got[i] = run(uint64(pair), 10*time.Second)
				duplicates := 0
				for _, n := range cluster.effects() {
					if n > 1 {
						duplicates++
					}
				}
				t.Logf("%s, cluster %v: service %.3f; ran twice %d", fault, clustered, got[i], duplicates)
				cluster.killAll()
			}
			t.Logf("%s: ratio %.3f", fault, got[1]/got[0])
		}
	}
}

// TestClusterMemory runs ten times as many claims as results are kept, and more: memory stays as it was after the first of these.
func TestClusterMemory(t *testing.T) {
	if *clusterClaims == 0 {
		t.Skip("asked for by -clusterclaims")
	}
	const kept = 2000
	cluster := prepareCluster(t, 3, time.Millisecond)
	defer cluster.killAll()
	for i := range cluster.nodes {
		cluster.baseConf[i] += fmt.Sprintf("keep entries %d\nkeep lifetime 1s\nkeep horizon 2s\n", kept)
		cluster.setMembers(i, []int{0, 1, 2}, nil)
	}
	cluster.start(0, 1, 2)
	resident := func() (sum int) {
		for _, node := range cluster.nodes {
			kb, err := node.Resident()
			if err != nil {
				t.Fatal(err)
			}
			sum += kb
		}
		return sum / 1024
	}
	var after []int
	served := 0
	for round := range 10 {
		load := &harness.ClaimLoad{Handler: "file-claim", Callers: 40, Keys: *clusterClaims / 400, Timeout: 2 * time.Second, CostMS: 1}
		load.Run(t.Context(), uint64(round), func(n uint64) fake.Client { return cluster.clients[n>>40%3] })
		totals, violations := load.Verify(cluster.effects())
		for _, violation := range violations {
			t.Error(violation)
		}
		served += totals.Served
		after = append(after, resident())
	}
	t.Logf("%d claims served, results kept %d; resident over three boxes, MB, after each tenth: %v", served, kept, after)
	if after[9] > after[1]*5/4 {
		t.Error("memory grows")
	}
}

var clusterClaims = flag.Int("clusterclaims", 0, "claims of a cluster whose memory is measured")

// TestClusterCost measures what a cluster costs where nothing fails: time on cores a req over all boxes, and latency, against boxes alone,
// by the share of reqs that are guarded.
func TestClusterCost(t *testing.T) {
	if *clusterPairs == 0 {
		t.Skip("asked for by -clusterpairs")
	}
	const work = 4 * time.Millisecond
	for _, test := range []struct {
		share    string
		handlers []string
	}{{"0", []string{"status"}}, {"0.2", []string{"status", "status", "status", "status", "file-claim"}}, {"1", []string{"file-claim"}}} {
		for range *clusterPairs {
			var cpu, median [2]float64
			for i, clustered := range []bool{false, true} {
				cluster := newTestCluster(t, 3, work, clustered)
				histogram := hdrhistogram.New(1, 10_000_000, 3)
				load := mixedLoad(0.4*1500, work, test.handlers...)
				load.OnLatency = func(latency time.Duration) { _ = histogram.RecordValue(latency.Microseconds()) }
				before := cluster.cpuTime()
				ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
				load.Run(ctx, 9, fake.NewTally(), func(uint64) fake.Client { return cluster.retryingClient() })
				stop()
				cpu[i] = float64((cluster.cpuTime() - before).Microseconds()) / float64(histogram.TotalCount())
				median[i] = float64(histogram.ValueAtQuantile(50)) / 1000
				t.Logf("guarded %s, cluster %v: %d served, %.0f us of cores a req over three boxes, latency %.1f ms in the middle, %.1f ms at the 99th percentile",
					test.share, clustered, histogram.TotalCount(), cpu[i], median[i], float64(histogram.ValueAtQuantile(99))/1000)
				cluster.killAll()
			}
			t.Logf("guarded %s: cores %.2f, latency %+.1f ms", test.share, cpu[1]/cpu[0], median[1]-median[0])
		}
	}
}
