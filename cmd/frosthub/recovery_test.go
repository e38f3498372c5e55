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

// TestRepeatedStartFailures restarts a node whose store records three failed starts in a row. The node must set the store aside and recover from its
// peers. No claim may run twice, and the peers must still return the results that they have recorded.
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
	if err := os.WriteFile(filepath.Join(store, "reading"), []byte("3\n"), 0o600); err != nil { // the file counts failed starts
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
	repeated.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[n>>40%3] }) // the same seed gives the same keys
	first, _ := load.Verify(cluster.effects())
	totals := cluster.verify(repeated)
	t.Logf("%+v; %+v", first, totals)
	if totals.ServedKeys < totals.Keys*9/10 {
		t.Error("the peers do not return the results that they have recorded")
	}
	if _, err := os.Stat(filepath.Join(store, "reading")); err == nil {
		t.Error("the successful start is still counted as failed")
	}
}

// TestDiskLoss restarts one of five nodes with an empty disk under load and waits until the peers have sent its records again. Then a second node
// fails for good. Results that were recorded on these two nodes and only one more must still be returned, by the third node and the recovered one.
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
			t.Fatal("the peers have not sent the records of the node again: ", node.Log())
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
	repeated.Run(t.Context(), 3, func(n uint64) fake.Client { return cluster.clients[[...]int{0, 2, 3, 4}[n>>40%4]] }) // the same seed gives the same keys
	first, _ := before.Verify(cluster.effects())
	totals, violations := repeated.Verify(cluster.effects())
	_, loadViolations := load.Verify(cluster.effects())
	for _, violation := range append(violations, loadViolations...) {
		t.Error(violation)
	}
	t.Logf("%+v; %+v; records sent again within %s", first, totals, took)
	if first.ServedKeys < 450 || totals.ServedKeys != first.Keys {
		t.Error("the remaining nodes do not return all recorded results")
	}
}

// TestStaggeredRecovery cuts the power of three nodes, of which the first loses its disk, and restarts them one by one. The first node alone must
// not run or answer claims; together with the second it must return the results recorded there. The third stays down until an operator's command
// removes it from the recovery; the remaining two must then serve new claims.
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
	effectsBefore := cluster.effects()
	cluster.losePower()
	cluster.replaceStore(0)
	if err := cluster.nodes[0].Start(); err != nil {
		t.Fatal(err)
	}
	firstNodeLoad := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 10,
		Keys:    1,
		Pause:   5 * time.Millisecond,
		Timeout: time.Second,
		CostMS:  5,
	}
	firstNodeLoad.Run(t.Context(), 1, func(uint64) fake.Client { return cluster.clients[0] })
	if totals, _ := firstNodeLoad.Verify(nil); totals.ServedKeys > 0 || totals.OutcomeUnknown > 0 || len(cluster.effects()) > len(effectsBefore) {
		t.Errorf("a node with an empty disk answers or runs claims without its peers: %+v", totals)
	}
	if err := cluster.nodes[1].Start(); err != nil {
		t.Fatal(err)
	}
	cluster.waitForLog(0, `source=n2`, 15*time.Second)
	if log := cluster.nodes[0].Log(); strings.Contains(log, `source="all others"`) {
		t.Error("the recovery counts one of two peers as all peers: ", log)
	}
	repeated := runLoad(1, 20, 0, 1) // the same keys as in the first load: both nodes return the results recorded by n2
	t.Logf("all nodes: %+v; two of three nodes after the recovery: %+v", cluster.verify(first), cluster.verify(repeated))
	recoveryCommand := func(i int, args ...string) string {
		out, _ := exec.Command(binary, append(append([]string{"recovery"}, args...), "--admin", admin[i])...).CombinedOutput()
		return string(out)
	}
	waitFor(t, "n1 does not list n2 as alive", func() bool { return memberAlive(t, admin[0], "n2") })
	if out := recoveryCommand(0, "forget", "n2", "--yes"); !strings.Contains(out, "alive") {
		t.Error("the command forgets a live node: ", out)
	}
	if out := recoveryCommand(1, "trust", "--yes"); !strings.Contains(out, "recorded") { // the only peer that is up has an empty disk, so no peer confirms the records of n2
		t.Error(out)
	}
	if out := recoveryCommand(0, "forget", "n3", "--yes"); !strings.Contains(out, "recorded") {
		t.Error(out)
	}
	cluster.waitForLog(0, `source="all others"`, 10*time.Second)
	if out := recoveryCommand(0); !strings.Contains(out, "serving") || !strings.Contains(out, "n2") {
		t.Error(out)
	}
	if totals := cluster.verify(runLoad(2, 20, 0, 1)); totals.ServedKeys != totals.Keys { // another seed gives new keys
		t.Errorf("%+v", totals)
	}
	cluster.start(2) // a forgotten node may return
	cluster.waitForLog(0, "returned_node=n3", 5*time.Second)
	if totals := cluster.verify(runLoad(2, 20, 0, 1, 2)); totals.ServedKeys != totals.Keys {
		t.Errorf("%+v", totals)
	}
	for key, n := range cluster.effects() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// memberAlive reports whether the node with the given admin address lists the named member as alive.
func memberAlive(t *testing.T, admin, name string) bool {
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

var earlierBinary = flag.String("earlier", "", "path of an earlier program that supports clusters, for the test with mixed versions")

// TestMixedVersions runs an earlier program on two of five nodes while nodes are killed and one loses its disk. No claim may run twice, and the node
// with the empty disk must stay degraded until all peers run the current program.
func TestMixedVersions(t *testing.T) {
	if *earlierBinary == "" {
		t.Skip("runs only with -earlier")
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
		t.Error("the recovery is complete although peers run the earlier program: ", cluster.nodes[0].Log())
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
