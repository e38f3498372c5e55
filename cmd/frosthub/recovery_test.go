package main

import (
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/harness"
)

// TestRepeatedStartFailures leaves a store over which three starts in a row have died: the node sets it aside and recovers without it. No claim
// runs twice for that, and the other nodes still return what they have recorded.
func TestRepeatedStartFailures(t *testing.T) {
	cluster := newTestCluster(t, 3, 5*time.Millisecond, true)
	defer cluster.killAll()
	load := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 10,
		Keys:    20,
		Repeats: 1,
		Pause:   5 * time.Millisecond,
		Timeout: 2 * time.Second,
		CostMS:  5,
	}
	load.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[n>>40%3] })
	if err := cluster.nodes[0].Kill(); err != nil {
		t.Fatal(err)
	}
	store := filepath.Join(cluster.nodes[0].Dir, "keep")
	if err := os.WriteFile(filepath.Join(store, "reading"), []byte("3\n"), 0o600); err != nil { // as three failed starts leave it
		t.Fatal(err)
	}
	cluster.start(0)
	if log := cluster.nodes[0].Log(); !strings.Contains(log, "earlier processes died while loading the store") || !strings.Contains(log, "serving in part") {
		t.Error(log)
	}
	repeated := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 10,
		Keys:    20,
		Repeats: 1,
		Pause:   5 * time.Millisecond,
		Timeout: 2 * time.Second,
		CostMS:  5,
	}
	repeated.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[n>>40%3] }) // the same keys
	first, _ := load.Verify(cluster.effects())
	totals := cluster.verify(repeated)
	t.Logf("%+v; %+v", first, totals)
	if totals.Served < totals.Keys*9/10 {
		t.Error("the other nodes do not return what they have recorded")
	}
	if _, err := os.Stat(filepath.Join(store, "reading")); err == nil {
		t.Error("the successful start is counted as failed")
	}
}

// TestDiskLoss recovers a node of five with an empty disk under load, until the others have sent it again what it had. Then a second node is lost
// for good: what only these two and one more had recorded is still returned, by the last of them and by the recovered node.
func TestDiskLoss(t *testing.T) {
	cluster := newTestCluster(t, 5, 5*time.Millisecond, true)
	defer cluster.killAll()
	before := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 20,
		Keys:    25,
		Repeats: 1,
		Pause:   2 * time.Millisecond,
		Timeout: 2 * time.Second,
		CostMS:  5,
	}
	before.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[n>>40%5] })
	load := &harness.ClaimLoad{
		Handler:   "file-claim",
		Callers:   10,
		Repeats:   2,
		LateShare: 0.5,
		Pause:     10 * time.Millisecond,
		Timeout:   2 * time.Second,
		CostMS:    5,
	}
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
	for end := time.Now().Add(15 * time.Second); !strings.Contains(node.Log(), `source="all others"`); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the other nodes never sent its records again: ", node.Log())
		}
	}
	took := time.Since(started)
	if err := cluster.nodes[1].Kill(); err != nil {
		t.Fatal(err)
	}
	cluster.processors[1].Reset()
	time.Sleep(time.Second)
	stop()
	repeated := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 20,
		Keys:    25,
		Repeats: 1,
		Pause:   2 * time.Millisecond,
		Timeout: 2 * time.Second,
		CostMS:  5,
	}
	repeated.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[[...]int{0, 2, 3, 4}[n>>40%4]] }) // the same keys
	first, _ := before.Verify(cluster.effects())
	totals, violations := repeated.Verify(cluster.effects())
	_, loadViolations := load.Verify(cluster.effects())
	for _, violation := range append(violations, loadViolations...) {
		t.Error(violation)
	}
	t.Logf("%+v; %+v; records sent again within %s", first, totals, took)
	if first.Served < 450 || totals.Served != first.Keys {
		t.Error("the remaining nodes do not return all results")
	}
}

// TestStaggeredRecovery cuts the power of three nodes, one of which loses its disk. That node alone runs and answers no claim; with a second one
// it answers what that one knows; the third has the rest. A node that never recovers is forgotten by an operator's command.
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
		load := &harness.ClaimLoad{
			Handler: "file-claim",
			Callers: 10,
			Keys:    keys,
			Pause:   5 * time.Millisecond,
			Timeout: 2 * time.Second,
			CostMS:  5,
		}
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
	alone := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 10,
		Keys:    1,
		Pause:   5 * time.Millisecond,
		Timeout: time.Second,
		CostMS:  5,
	}
	alone.Run(t.Context(), 1, func(uint64) fake.Client { return cluster.clients[0] })
	if totals, _ := alone.Verify(nil); totals.Served > 0 || totals.OutcomeUnknown > 0 || len(cluster.effects()) > len(before) {
		t.Errorf("a node with an empty disk, alone, answers or runs claims: %+v", totals)
	}
	if err := cluster.nodes[1].Start(); err != nil {
		t.Fatal(err)
	}
	cluster.waitForLog(0, `source=n2`, 15*time.Second)
	if log := cluster.nodes[0].Log(); strings.Contains(log, `source="all others"`) {
		t.Error("one of two nodes counts as all others: ", log)
	}
	twoOfThree := runLoad(1, 20, 0, 1) // the same keys: both return what n2 has recorded
	t.Logf("all %+v; two of three recovered %+v", cluster.verify(first), cluster.verify(twoOfThree))
	recovery := func(i int, args ...string) string {
		out, _ := exec.Command(binary, append(append([]string{"recovery"}, args...), "--admin", admin[i])...).CombinedOutput()
		return string(out)
	}
	waitFor(t, "n1 does not hear n2", func() bool { return believedAlive(t, admin[0], "n2") })
	if out := recovery(0, "forget", "n2", "--yes"); !strings.Contains(out, "alive") {
		t.Error("a live node is forgotten: ", out)
	}
	if out := recovery(1, "trust", "--yes"); !strings.Contains(out, "recorded") { // only the node with the empty disk could confirm it
		t.Error(out)
	}
	if out := recovery(0, "forget", "n3", "--yes"); !strings.Contains(out, "recorded") {
		t.Error(out)
	}
	cluster.waitForLog(0, `source="all others"`, 10*time.Second)
	if out := recovery(0); !strings.Contains(out, "serving") || !strings.Contains(out, "n2") {
		t.Error(out)
	}
	if totals := cluster.verify(runLoad(2, 20, 0, 1)); totals.Served != totals.Keys { // new keys
		t.Errorf("%+v", totals)
	}
	cluster.start(2) // although it is forgotten
	cluster.waitForLog(0, "returned_node=n3", 5*time.Second)
	if totals := cluster.verify(runLoad(2, 20, 0, 1, 2)); totals.Served != totals.Keys {
		t.Errorf("%+v", totals)
	}
	for key, n := range cluster.effects() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// believedAlive reports whether the node with that admin address takes another one for alive.
func believedAlive(t *testing.T, admin, name string) bool {
	t.Helper()
	response, err := http.Get("http://" + admin + "/cluster")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stats struct {
		Members []struct{ Name, State string }
	}
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		t.Fatal(err)
	}
	for _, member := range stats.Members {
		if member.Name == name {
			return member.State == "alive"
		}
	}
	return false
}

var earlierBinary = flag.String("earlier", "", "an earlier program with clusters, for fleets of two versions")

// TestMixedVersions runs an earlier program on two nodes of five while nodes are killed and one loses its disk: no claim runs twice, and the node
// with the empty disk serves in part until all nodes are known to be new.
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
	load := &harness.ClaimLoad{
		Handler:   "file-claim",
		Callers:   20,
		Repeats:   2,
		LateShare: 0.5,
		Pause:     10 * time.Millisecond,
		Timeout:   2 * time.Second,
		CostMS:    5,
	}
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
	if strings.Contains(cluster.nodes[0].Log(), `source="all others"`) {
		t.Error("the recovery is complete while older programs run: ", cluster.nodes[0].Log())
	}
	for _, i := range []int{3, 4} {
		if err := cluster.nodes[i].Kill(); err != nil {
			t.Fatal(err)
		}
		cluster.nodes[i].Binary = binary
		cluster.start(i)
	}
	cluster.waitForLog(0, `source="all others"`, 20*time.Second)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v", totals)
}
