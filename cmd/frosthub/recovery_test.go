package main

import (
	"context"
	"errors"
	"flag"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/invariant"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// buildPowerLossBinary is the program with disks that note what a loss of power would leave.
func buildPowerLossBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "frosthub-powerloss")
	tags := "powerloss"
	if invariant.Debug {
		tags += ",debug"
	}
	if out, err := exec.Command("go", "build", "-tags", tags, "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return path
}

// newPowerLossCluster starts a cluster of such programs.
func newPowerLossCluster(t *testing.T, nodes int, extraConf string) *testCluster {
	t.Helper()
	cluster := prepareCluster(t, nodes, 6*time.Millisecond)
	program := buildPowerLossBinary(t)
	all := make([]int, nodes)
	for i := range all {
		all[i] = i
	}
	for i, node := range cluster.nodes {
		node.Binary = program
		cluster.baseConf[i] += extraConf + "keep made-field X-First-Made\n" // else who lost its disk can tell nothing of what comes for a horizon
		cluster.setMembers(i, all, nil)
	}
	cluster.start(all...)
	return cluster
}

// TestPowerLoss has all boxes of seven lose power in one moment under load, with their processors, again and again. Each disk keeps what was
// confirmed and some of the rest; one box comes back late, one with an older copy of its disk, now and then power is lost again within the
// return, or one box stays away for good. The older disk is found out, no claim runs twice, and what was answered is answered alike.
func TestPowerLoss(t *testing.T) {
	const nodes = 7
	cluster := newPowerLossCluster(t, nodes, "")
	defer cluster.killAll()
	random := rand.New(rand.NewPCG(4, 4))
	load := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 40, Repeats: 2, LateShare: 0.5, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 6}
	stop := cluster.startLoad(load, 6)
	losePower := func() {
		cluster.losePower()
		cluster.cutDisks(random)
	}
	outdatedCount := 0
	for round := range *powerLosses {
		restored := random.IntN(nodes)
		late := (restored + 1 + random.IntN(nodes-1)) % nodes
		store, backup := filepath.Join(cluster.nodes[restored].Dir, "keep"), filepath.Join(t.TempDir(), "copy")
		copyFiles(t, backup, store) // as of a running box: a torn end is as a crash leaves it
		time.Sleep(1200 * time.Millisecond)
		losePower()
		if round%3 == 2 { // once more, within the return
			for _, i := range random.Perm(nodes) {
				if err := cluster.nodes[i].Launch(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
			losePower()
		}
		outdated := logBytes(t, backup) < logBytes(t, store)
		if err := os.RemoveAll(store); err != nil {
			t.Fatal(err)
		}
		copyFiles(t, store, backup)
		before := len(cluster.nodes[restored].Log())
		for _, i := range random.Perm(nodes) {
			if i != late {
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				if err := cluster.nodes[i].Start(); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(600 * time.Millisecond)
		if err := cluster.nodes[late].Start(); err != nil {
			t.Fatal(err)
		}
		if !outdated { // nothing was written since: it is no older
			continue
		}
		found := false
		for end := time.Now().Add(5 * time.Second); !found && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			found = strings.Contains(cluster.nodes[restored].Log()[before:], "store older than known")
		}
		if outdatedCount++; !found {
			t.Errorf("round %d: n%d trusts an older disk (n%d is late):\n%s", round, restored+1, late+1, cluster.nodes[restored].Log()[before:])
		}
		time.Sleep(300 * time.Millisecond)
	}
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v; %d losses, %d disks were older", totals, *powerLosses, outdatedCount)
	if totals.Served < 50*(*powerLosses) || outdatedCount == 0 {
		t.Error("too little was asked to tell anything")
	}
}

// TestStartsDie: a box whose starts die over its store, three in a row, puts it aside and comes back without; in its cluster no claim runs
// twice for that, and what the others have noted is still answered.
func TestRepeatedStartFailures(t *testing.T) {
	cluster := newTestCluster(t, 3, 5*time.Millisecond, true)
	defer cluster.killAll()
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Keys: 20, Repeats: 1, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	load.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[n>>40%3] })
	if err := cluster.nodes[0].Kill(); err != nil {
		t.Fatal(err)
	}
	store := filepath.Join(cluster.nodes[0].Dir, "keep")
	if err := os.WriteFile(filepath.Join(store, "reading"), []byte("3\n"), 0o600); err != nil { // as three that died leave it
		t.Fatal(err)
	}
	cluster.start(0)
	if log := cluster.nodes[0].Log(); !strings.Contains(log, "starts died over it") || !strings.Contains(log, "serving in part") {
		t.Error(log)
	}
	repeated := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Keys: 20, Repeats: 1, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	repeated.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[n>>40%3] }) // the same keys
	first, _ := load.Verify(cluster.effects())
	totals := cluster.verify(repeated)
	t.Logf("%+v; %+v", first, totals)
	if totals.Served < totals.Keys*9/10 {
		t.Error("the others do not answer what they have noted")
	}
	if _, err := os.Stat(filepath.Join(store, "reading")); err == nil {
		t.Error("the start that came through is counted")
	}
}

// copyFiles copies those of a folder that stay there meanwhile.
func copyFiles(t *testing.T, to, from string) {
	t.Helper()
	entries, err := os.ReadDir(from)
	if err == nil {
		err = os.MkdirAll(to, 0o700)
	}
	for _, file := range entries {
		text, err := os.ReadFile(filepath.Join(from, file.Name()))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(to, file.Name()), text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// logBytes is how many bytes of records a store has.
func logBytes(t *testing.T, dir string) (total int64) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			t.Fatal(err)
		}
		total += info.Size()
	}
	if err != nil {
		t.Fatal(err)
	}
	return total
}

var powerLosses = flag.Int("losses", 4, "how often all boxes lose power at once; CI runs it twice; 300 outside")

// TestDiskLoss has a box of five come back with an empty disk under load. The others tell it again what it had; once they have, a second one is
// lost for good, and what only these two and one more had noted is still answered alike: by the one that is left and the one that was told.
func TestDiskLoss(t *testing.T) {
	cluster := newTestCluster(t, 5, 5*time.Millisecond, true)
	defer cluster.killAll()
	before := &harness.ClaimLoad{Handler: "file-claim", Callers: 20, Keys: 25, Repeats: 1, Pause: 2 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	before.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[n>>40%5] })
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Repeats: 2, LateShare: 0.5, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	stop := cluster.startLoad(load, 4)
	node := cluster.nodes[0]
	if err := node.Kill(); err != nil {
		t.Fatal(err)
	}
	cluster.processors[0].Reset()
	store := filepath.Join(node.Dir, "keep")
	if err := os.RemoveAll(store); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(binary, "keep", "init", "--box", "n1", store).CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	started := time.Now()
	cluster.start(0)
	for end := time.Now().Add(15 * time.Second); !strings.Contains(node.Log(), `by="all others"`); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it is never told again: ", node.Log())
		}
	}
	took := time.Since(started)
	if err := cluster.nodes[1].Kill(); err != nil {
		t.Fatal(err)
	}
	cluster.processors[1].Reset()
	time.Sleep(time.Second)
	stop()
	repeated := &harness.ClaimLoad{Handler: "file-claim", Callers: 20, Keys: 25, Repeats: 1, Pause: 2 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	repeated.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[[...]int{0, 2, 3, 4}[n>>40%4]] }) // the same keys
	first, _ := before.Verify(cluster.effects())
	totals, violations := repeated.Verify(cluster.effects())
	_, loadViolations := load.Verify(cluster.effects())
	for _, violation := range append(violations, loadViolations...) {
		t.Error(violation)
	}
	t.Logf("%+v; %+v; told again within %s", first, totals, took)
	if first.Served < 450 || totals.Served != first.Keys {
		t.Error("what was answered is not answered by those that are left")
	}
}

// waitForLog waits until a box has logged something since a place in its log.
func (c *testCluster) waitForLog(node, from int, text string, within time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(within); !strings.Contains(c.nodes[node].Log()[from:], text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("n%d does not log %q:\n%s", node+1, text, c.nodes[node].Log()[from:])
		}
	}
}

// losePower has all boxes and processors end in one moment.
func (c *testCluster) losePower() {
	c.t.Helper()
	for _, node := range c.nodes {
		if err := node.Kill(); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, processor := range c.processors {
		processor.Reset()
	}
}

// cutDisks leaves of the disks of all boxes what a loss of power could have left.
func (c *testCluster) cutDisks(random *rand.Rand) {
	c.t.Helper()
	for _, node := range c.nodes {
		if err := harness.CutPower(filepath.Join(node.Dir, "keep"), random); err != nil {
			c.t.Fatal(err)
		}
	}
}

// replaceStore gives a box a new store under its old name.
func (c *testCluster) replaceStore(node int) {
	c.t.Helper()
	store := filepath.Join(c.nodes[node].Dir, "keep")
	if err := os.RemoveAll(store); err != nil {
		c.t.Fatal(err)
	}
	if out, err := exec.Command(binary, "keep", "init", "--box", c.nodes[node].Name, store).CombinedOutput(); err != nil {
		c.t.Fatal(string(out))
	}
}

// TestBackOneByOne: three boxes lose power, one of them its disk too. The one with the empty disk, alone, answers no claim and runs none; with a
// second one back what that one knows is answered; the last one has the rest. A box that never comes back is forgotten by an operator's word.
func TestStaggeredRecovery(t *testing.T) {
	cluster := prepareCluster(t, 3, 5*time.Millisecond)
	defer cluster.killAll()
	var admin [2]string
	for i := range admin {
		var err error
		if admin[i], err = harness.FreeAddress(); err != nil {
			t.Fatal(err)
		}
		cluster.baseConf[i] += "cluster wait 300ms alone 1s\nadmin listen " + admin[i] + "\n"
	}
	for i := range cluster.nodes {
		cluster.setMembers(i, []int{0, 1, 2}, nil)
	}
	cluster.start(0, 1, 2)
	runLoad := func(seed uint64, keys int, targets ...int) *harness.ClaimLoad {
		load := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Keys: keys, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
		load.Run(t.Context(), seed, func(n uint64) fake.Client { return cluster.clients[targets[n>>40%uint64(len(targets))]] })
		return load
	}
	first := runLoad(1, 20, 0, 1, 2)
	before := cluster.effects()
	cluster.losePower()
	cluster.replaceStore(0)
	if err := cluster.nodes[0].Start(); err != nil {
		t.Fatal(err)
	}
	alone := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Keys: 1, Pause: 5 * time.Millisecond, Timeout: time.Second, CostMS: 5}
	alone.Run(t.Context(), 1, func(uint64) fake.Client { return cluster.clients[0] })
	if totals, _ := alone.Verify(nil); totals.Served > 0 || totals.OutcomeUnknown > 0 || len(cluster.effects()) > len(before) {
		t.Errorf("an empty disk alone answers, or runs: %+v", totals)
	}
	if err := cluster.nodes[1].Start(); err != nil {
		t.Fatal(err)
	}
	cluster.waitForLog(0, 0, `by=n2`, 15*time.Second)
	if log := cluster.nodes[0].Log(); strings.Contains(log, `by="all others"`) {
		t.Error("told all by one of two: ", log)
	}
	twoOfThree := runLoad(1, 20, 0, 1) // the same keys: what n2 has noted is answered by both
	t.Logf("all %+v; two of three back %+v", cluster.verify(first), cluster.verify(twoOfThree))
	recovery := func(i int, args ...string) string {
		out, _ := exec.Command(binary, append(append([]string{"recovery"}, args...), "--admin", admin[i])...).CombinedOutput()
		return string(out)
	}
	if out := recovery(0, "forget", "n2", "--yes"); !strings.Contains(out, "alive") {
		t.Error("one that lives is forgotten: ", out)
	}
	if out := recovery(1, "trust", "--yes"); !strings.Contains(out, "recorded") { // nobody but the empty one could vouch for it
		t.Error(out)
	}
	if out := recovery(0, "forget", "n3", "--yes"); !strings.Contains(out, "recorded") {
		t.Error(out)
	}
	cluster.waitForLog(0, 0, `by="all others"`, 10*time.Second)
	if out := recovery(0); !strings.Contains(out, "serving") || !strings.Contains(out, "n2") {
		t.Error(out)
	}
	if totals := cluster.verify(runLoad(2, 20, 0, 1)); totals.Served != totals.Keys { // new ones
		t.Errorf("%+v", totals)
	}
	cluster.start(2) // after all
	cluster.waitForLog(0, 0, "back=n3", 5*time.Second)
	if totals := cluster.verify(runLoad(2, 20, 0, 1, 2)); totals.Served != totals.Keys {
		t.Errorf("%+v", totals)
	}
	for key, n := range cluster.effects() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestBackHalf: seven boxes whose results age within seconds, so that segments give way to prints all the time, lose power twice, each time
// twice more within the return; then three of them never come back. No claim runs twice, and the four that are left serve.
func TestPartialRecovery(t *testing.T) {
	const nodes = 7
	cluster := newPowerLossCluster(t, nodes, "keep lifetime 4s\nkeep horizon 16s\n")
	defer cluster.killAll()
	random := rand.New(rand.NewPCG(7, 3))
	load := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 30, Repeats: 1, Pause: 10 * time.Millisecond, Timeout: time.Second, CostMS: 6}
	stop := cluster.startLoad(load, 31)
	for range 2 {
		time.Sleep(2500 * time.Millisecond)
		for range 2 { // power comes back for a moment
			cluster.losePower()
			cluster.cutDisks(random)
			for _, i := range random.Perm(nodes) {
				if err := cluster.nodes[i].Launch(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
			}
		}
		cluster.losePower()
		cluster.cutDisks(random)
		for _, i := range random.Perm(nodes) {
			if err := cluster.nodes[i].Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(time.Second)
	stop()
	retired := 0
	for _, node := range cluster.nodes {
		files, err := filepath.Glob(filepath.Join(node.Dir, "keep", "*.prints"))
		if err != nil {
			t.Fatal(err)
		}
		retired += len(files)
	}
	for _, i := range []int{4, 5, 6} {
		if err := cluster.nodes[i].Kill(); err != nil {
			t.Fatal(err)
		}
		cluster.processors[i].Reset()
	}
	half := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 30, Pause: 20 * time.Millisecond, Timeout: time.Second, CostMS: 6}
	ctx, done := context.WithTimeout(t.Context(), 2*time.Second)
	defer done()
	half.Run(ctx, 32, func(n uint64) fake.Client { return cluster.clients[n>>40%4] })
	all7, remaining := cluster.verify(load), cluster.verify(half)
	t.Logf("%+v; half of them %+v; %d segments are prints", all7, remaining, retired)
	if all7.Served < 300 || remaining.Served < 10 || retired == 0 {
		t.Error("too little was served, or nothing has aged")
	}
}

// TestBackIll: five boxes come back from a loss of power with clocks an hour behind and an hour ahead, a disk that is full and one a hundred times
// slower, while ten times the callers ask; then all lose power again, with their disks well. No claim runs twice, and each is answered alike.
func TestDegradedRecovery(t *testing.T) {
	const nodes = 5
	cluster := newPowerLossCluster(t, nodes, "")
	defer cluster.killAll()
	load := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 8, Repeats: 2, LateShare: 0.5, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	flood := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 72, Repeats: 1, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	stop := cluster.startLoad(load, 21)
	random := rand.New(rand.NewPCG(9, 9))
	diskFaults := []string{"", "", "100ms", "full", "read-only"}
	for round := range 4 {
		time.Sleep(500 * time.Millisecond)
		cluster.losePower()
		cluster.cutDisks(random)
		for i, node := range cluster.nodes {
			node.ClockOffset = 0
			faultPath := filepath.Join(node.Dir, "keep", ".fault")
			_ = os.Remove(faultPath) // none at first
			if round%2 == 1 {
				continue
			}
			node.ClockOffset = []time.Duration{-time.Hour, time.Hour, 0}[(i+round)%3]
			if diskFault := diskFaults[(i+round)%len(diskFaults)]; diskFault != "" {
				if err := os.WriteFile(faultPath, []byte(diskFault), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		for _, i := range random.Perm(nodes) {
			if err := cluster.nodes[i].Start(); err != nil {
				t.Fatal(err)
			}
		}
		if round == 1 {
			end := cluster.startLoad(flood, 22)
			time.Sleep(time.Second)
			end()
		}
	}
	time.Sleep(time.Second)
	stop()
	for _, l := range []*harness.ClaimLoad{load, flood} {
		totals := cluster.verify(l)
		t.Logf("%+v", totals)
		if totals.Served < 50 {
			t.Error("too little was served to tell anything")
		}
	}
}

var earlierBinary = flag.String("earlier", "", "an earlier program that knows clusters, for fleets of two versions")

// TestMixedVersions has two boxes of five run an earlier program while boxes are killed and one loses its disk: no claim runs twice, and the box in part
// stays so until all are known to be new.
func TestMixedVersions(t *testing.T) {
	if *earlierBinary == "" {
		t.Skip("asked for by -earlier")
	}
	cluster := prepareCluster(t, 5, 5*time.Millisecond)
	defer cluster.killAll()
	for i := range cluster.nodes {
		cluster.setMembers(i, []int{0, 1, 2, 3, 4}, nil)
	}
	cluster.nodes[3].Binary, cluster.nodes[4].Binary = *earlierBinary, *earlierBinary
	cluster.start(0, 1, 2, 3, 4)
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 20, Repeats: 2, LateShare: 0.5, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	stop := cluster.startLoad(load, 5)
	for i := range cluster.nodes {
		time.Sleep(300 * time.Millisecond)
		if err := cluster.nodes[i].Kill(); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			cluster.replaceStore(0)
		}
		time.Sleep(200 * time.Millisecond)
		if err := cluster.nodes[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second)
	if strings.Contains(cluster.nodes[0].Log(), `by="all others"`) {
		t.Error("told all while older programs run: ", cluster.nodes[0].Log())
	}
	for _, i := range []int{3, 4} {
		if err := cluster.nodes[i].Kill(); err != nil {
			t.Fatal(err)
		}
		cluster.nodes[i].Binary = binary
		cluster.start(i)
	}
	cluster.waitForLog(0, 0, `by="all others"`, 20*time.Second)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v", totals)
}
