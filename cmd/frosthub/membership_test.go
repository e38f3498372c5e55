package main

import (
	"fmt"
	"testing"
	"time"

	"frosthub/internal/harness"
)

// TestRollingRestart restarts all nodes of a cluster one after the other under load. Each hands its queued claims over to another node, and the
// caller gets the result from the node that is draining.
func TestRollingRestart(t *testing.T) {
	cluster := newTestCluster(t, 3, 25*time.Millisecond, true)
	defer cluster.killAll()
	load := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 60,
		Repeats: 1,
		Pause:   5 * time.Millisecond,
		Timeout: 3 * time.Second,
		CostMS:  25,
	}
	stop := cluster.startLoad(load, 5)
	handed := 0
	for _, node := range cluster.nodes {
		time.Sleep(400 * time.Millisecond)
		if err := node.Drain(); err != nil {
			t.Fatal(err)
		}
		handed += firstCounter(t, node.Log(), "runs.handed_off")
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v; handed over %d", totals, handed)
	if totals.Served < 200 || handed == 0 {
		t.Error("too few requests were sent, or nothing was handed over")
	}
}

// TestMembershipChange replaces the members n1 to n3 by n3 to n5 under load and kills one on the way: no claim runs twice, none that ran is
// forgotten, and a change that comes too early is not adopted.
func TestMembershipChange(t *testing.T) {
	cluster := prepareCluster(t, 5, 6*time.Millisecond)
	defer cluster.killAll()
	const retryHorizon = 3 * time.Second
	for i := range cluster.baseConf {
		cluster.baseConf[i] += fmt.Sprintf("keep horizon %s\n", retryHorizon)
	}
	before := []int{0, 1, 2}
	after := []int{2, 3, 4}
	for _, i := range before {
		cluster.setMembers(i, before, nil)
	}
	cluster.start(before...)
	load := &harness.ClaimLoad{
		Handler:      "file-claim",
		Callers:      20,
		Repeats:      3,
		Pause:        10 * time.Millisecond,
		Timeout:      2 * time.Second,
		RetryHorizon: retryHorizon,
		CostMS:       6,
	}
	stop := cluster.startLoad(load, 8)
	waitForLog := func(text string, nodes ...int) {
		t.Helper()
		for _, i := range nodes {
			cluster.waitForLog(i, text, 15*time.Second)
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
	change(after, nil, 0) // without the former members
	waitForLog("must first be used together with the previous list", 0)
	for _, i := range []int{3, 4} {
		cluster.setMembers(i, after, before)
		if err := cluster.nodes[i].Start(); err != nil { // it serves claims once the other nodes know it
			t.Fatal(err)
		}
	}
	change(after, before, 0, 1)
	time.Sleep(300 * time.Millisecond)
	change(after, nil, 0) // n3 has still adopted only the former list
	waitForLog("not known to use the new member list", 0)
	if err := cluster.nodes[2].Kill(); err != nil {
		t.Fatal(err)
	}
	cluster.setMembers(2, after, before)
	cluster.start(2)
	change(after, nil, 0, 1, 2, 3, 4)
	waitForLog("may still retry requests that ran under the previous member list", 0, 1, 2, 3, 4)
	waitForLog(`msg="membership changed" members=3 previous_members=0`, 0, 1, 2, 3, 4)
	for _, i := range []int{0, 1} {
		if err := cluster.nodes[i].Drain(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := cluster.nodes[4].Kill(); err != nil { // its claims fail over to n3 and n4
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v", totals)
	if totals.Served < 500 {
		t.Error("too few requests were sent to prove anything")
	}
}
