package main

import (
	"context"
	"errors"
	"flag"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/invariant"
)

// buildPowerLossBinary builds the program with disks that record what a loss of power would leave, and returns its path.
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
		cluster.baseConf[i] += extraConf + "keep made-field X-First-Made\n" // otherwise a node that lost its disk rejects all claims for the horizon
		cluster.setMembers(i, all, nil)
	}
	cluster.start(all...)
	return cluster
}

// TestPowerLoss cuts the power of all seven nodes and their processors at once under load, again and again. Each disk keeps its durable data and
// some of the rest; one node recovers late, one with an older copy of its disk, and now and then power is lost again during the recovery. The
// older disk is detected, no claim runs twice, and responses stay the same.
func TestPowerLoss(t *testing.T) {
	const nodes = 7
	cluster := newPowerLossCluster(t, nodes, "")
	defer cluster.killAll()
	random := rand.New(rand.NewPCG(4, 4))
	load := &harness.ClaimLoad{
		Handler:       "file-claim",
		SendCreatedAt: true,
		Callers:       40,
		Repeats:       2,
		LateShare:     0.5,
		Pause:         10 * time.Millisecond,
		Timeout:       2 * time.Second,
		CostMS:        6,
	}
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
		copyFiles(t, backup, store) // while the node runs: a torn end is as after a crash
		time.Sleep(1200 * time.Millisecond)
		losePower()
		if round%3 == 2 { // once more, during the recovery
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
		if !outdated { // nothing was written since the copy
			continue
		}
		found := false
		for end := time.Now().Add(5 * time.Second); !found && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			found = strings.Contains(cluster.nodes[restored].Log()[before:], "store is older than the state that peers recorded")
		}
		if outdatedCount++; !found {
			t.Errorf("round %d: n%d trusts an older disk (n%d recovers late):\n%s", round, restored+1, late+1, cluster.nodes[restored].Log()[before:])
		}
		time.Sleep(300 * time.Millisecond)
	}
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v; %d power losses, %d older disks", totals, *powerLosses, outdatedCount)
	if totals.Served < 50*(*powerLosses) || outdatedCount == 0 {
		t.Error("too few requests were sent to prove anything")
	}
}

// copyFiles copies the files of a directory, except those that are removed meanwhile.
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

// logBytes returns the size of an idempotency log's segments.
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

var powerLosses = flag.Int("losses", 4, "power losses of all nodes; CI runs them twice; 300 outside")

// cutDisks reduces the logs of all nodes to what a loss of power could have left.
func (c *testCluster) cutDisks(random *rand.Rand) {
	c.t.Helper()
	for _, node := range c.nodes {
		if err := harness.CutPower(filepath.Join(node.Dir, "keep"), random); err != nil {
			c.t.Fatal(err)
		}
	}
}

// TestPartialRecovery cuts the power of seven nodes twice, and twice more during each recovery, while their results expire within seconds, so that
// segments turn into fingerprints all the time; then three of them never recover. No claim runs twice, and the remaining four serve.
func TestPartialRecovery(t *testing.T) {
	const nodes = 7
	cluster := newPowerLossCluster(t, nodes, "keep lifetime 4s\nkeep horizon 16s\n")
	defer cluster.killAll()
	random := rand.New(rand.NewPCG(7, 3))
	load := &harness.ClaimLoad{
		Handler:       "file-claim",
		SendCreatedAt: true,
		Callers:       30,
		Repeats:       1,
		Pause:         10 * time.Millisecond,
		Timeout:       time.Second,
		CostMS:        6,
	}
	stop := cluster.startLoad(load, 31)
	for range 2 {
		time.Sleep(2500 * time.Millisecond)
		for range 2 { // power is back for a moment
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
	half := &harness.ClaimLoad{
		Handler:       "file-claim",
		SendCreatedAt: true,
		Callers:       30,
		Pause:         20 * time.Millisecond,
		Timeout:       time.Second,
		CostMS:        6,
	}
	ctx, done := context.WithTimeout(t.Context(), 2*time.Second)
	defer done()
	half.Run(ctx, 32, func(n uint64) fake.Client { return cluster.clients[n>>40%4] })
	all7, remaining := cluster.verify(load), cluster.verify(half)
	t.Logf("%+v; with four nodes %+v; %d segments are fingerprints", all7, remaining, retired)
	if all7.Served < 300 || remaining.Served < 10 || retired == 0 {
		t.Error("too few requests were served, or nothing has expired")
	}
}

// TestDegradedRecovery recovers five nodes from a loss of power with clocks an hour behind and ahead, a full disk, a read-only one and a slow one,
// while ten times the callers send requests; then all lose power again, with sound disks. No claim runs twice, and responses stay the same.
func TestDegradedRecovery(t *testing.T) {
	const nodes = 5
	cluster := newPowerLossCluster(t, nodes, "")
	defer cluster.killAll()
	load := &harness.ClaimLoad{
		Handler:       "file-claim",
		SendCreatedAt: true,
		Callers:       8,
		Repeats:       2,
		LateShare:     0.5,
		Pause:         10 * time.Millisecond,
		Timeout:       2 * time.Second,
		CostMS:        5,
	}
	flood := &harness.ClaimLoad{
		Handler:       "file-claim",
		SendCreatedAt: true,
		Callers:       72,
		Repeats:       1,
		Pause:         10 * time.Millisecond,
		Timeout:       2 * time.Second,
		CostMS:        5,
	}
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
			_ = os.Remove(faultPath) // there may be none
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
			t.Error("too few requests were served to prove anything")
		}
	}
}
