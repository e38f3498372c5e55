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

// buildPowerLossBinary builds the program with the tag powerloss, with which its disks record the data that a loss of power would leave, and
// returns its path.
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

// newPowerLossCluster starts a cluster of nodes that run the program built by buildPowerLossBinary.
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
		cluster.baseConf[i] += extraConf + "keep made-field X-First-Made\n" // without it a node that lost its disk rejects all claims for the retry horizon
		cluster.setMembers(i, all, nil)
	}
	cluster.start(all...)
	return cluster
}

// TestPowerLoss repeatedly cuts the power of all seven nodes and their processors at once under load. Each disk keeps its durable data and a random
// part of the rest. In each round one node restarts late and one with an older copy of its disk; in every third round power fails again during
// the recovery. The older disk must be detected, no claim may run twice, and retries must get the first result.
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
		cluster.dropUnsyncedData(random)
	}
	outdatedCount := 0
	for round := range *powerLosses {
		restoredNode := random.IntN(nodes)
		lateNode := (restoredNode + 1 + random.IntN(nodes-1)) % nodes
		store, backup := filepath.Join(cluster.nodes[restoredNode].Dir, "keep"), filepath.Join(t.TempDir(), "copy")
		copyFiles(t, backup, store) // the node is running, so the copy may end in a torn record, as after a crash
		time.Sleep(1200 * time.Millisecond)
		losePower()
		if round%3 == 2 { // power fails again during the recovery
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
		before := len(cluster.nodes[restoredNode].Log())
		for _, i := range random.Perm(nodes) {
			if i != lateNode {
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				if err := cluster.nodes[i].Start(); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(600 * time.Millisecond)
		if err := cluster.nodes[lateNode].Start(); err != nil {
			t.Fatal(err)
		}
		if !outdated { // nothing has been written since the copy
			continue
		}
		found := false
		for end := time.Now().Add(5 * time.Second); !found && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			found = strings.Contains(cluster.nodes[restoredNode].Log()[before:], "store is older than the state that peers recorded")
		}
		if outdatedCount++; !found {
			t.Errorf("round %d: n%d does not detect its older disk (n%d restarts late):\n%s", round, restoredNode+1, lateNode+1, cluster.nodes[restoredNode].Log()[before:])
		}
		time.Sleep(300 * time.Millisecond)
	}
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v; power losses: %d, of which with an older disk: %d", totals, *powerLosses, outdatedCount)
	if totals.ServedKeys < 50*(*powerLosses) || outdatedCount == 0 {
		t.Error("too few requests were served, or no older disk was restored")
	}
}

// copyFiles copies the files of a directory, except those that are removed during the copy.
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

// logBytes returns the total size in bytes of the segments of an idempotency log.
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

var powerLosses = flag.Int("losses", 4, "power losses of all nodes; CI runs the test twice; 300 outside CI")

// dropUnsyncedData reduces each node's idempotency log to its durable data and a random part of the rest, as a loss of power could leave it.
func (c *testCluster) dropUnsyncedData(random *rand.Rand) {
	c.t.Helper()
	for _, node := range c.nodes {
		if err := harness.CutPower(filepath.Join(node.Dir, "keep"), random); err != nil {
			c.t.Fatal(err)
		}
	}
}

// TestPartialRecovery cuts the power of seven nodes twice, and twice more during each recovery. Results expire within seconds, so that segments
// are continually reduced to fingerprints. Then three nodes fail for good. No claim may run twice, and the remaining four nodes must serve.
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
		for range 2 { // power returns only for a moment
			cluster.losePower()
			cluster.dropUnsyncedData(random)
			for _, i := range random.Perm(nodes) {
				if err := cluster.nodes[i].Launch(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
			}
		}
		cluster.losePower()
		cluster.dropUnsyncedData(random)
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
	fourNodeLoad := &harness.ClaimLoad{
		Handler:       "file-claim",
		SendCreatedAt: true,
		Callers:       30,
		Pause:         20 * time.Millisecond,
		Timeout:       time.Second,
		CostMS:        6,
	}
	ctx, done := context.WithTimeout(t.Context(), 2*time.Second)
	defer done()
	fourNodeLoad.Run(ctx, 32, func(n uint64) fake.Client { return cluster.clients[n>>40%4] })
	allNodes, fourNodes := cluster.verify(load), cluster.verify(fourNodeLoad)
	t.Logf("all nodes: %+v; four nodes: %+v; segments reduced to fingerprints: %d", allNodes, fourNodes, retired)
	if allNodes.ServedKeys < 300 || fourNodes.ServedKeys < 10 || retired == 0 {
		t.Error("too few requests were served, or no segment has expired")
	}
}

// TestDegradedRecovery cuts the power of five nodes four times. In every other round they recover with clocks an hour behind and ahead, a full disk,
// a read-only one and a slow one; in between the disks and clocks are sound. Right after the second start ten times as many callers send requests
// for a second. No claim may run twice, and retries must get the first result.
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
		cluster.dropUnsyncedData(random)
		for i, node := range cluster.nodes {
			node.ClockOffset = 0
			faultPath := filepath.Join(node.Dir, "keep", ".fault")
			_ = os.Remove(faultPath) // the file may not exist
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
			stopFlood := cluster.startLoad(flood, 22)
			time.Sleep(time.Second)
			stopFlood()
		}
	}
	time.Sleep(time.Second)
	stop()
	for _, claimLoad := range []*harness.ClaimLoad{load, flood} {
		totals := cluster.verify(claimLoad)
		t.Logf("%+v", totals)
		if totals.ServedKeys < 50 {
			t.Error("too few requests were served for a valid result")
		}
	}
}
