package main

import (
	"fmt"
	"testing"
	"time"

	"frosthub/internal/harness"
)

// TestRollingRestart restarts all nodes of a cluster one after the other under load. A draining node must hand its queued claims over to a peer, and
// still return their results to the callers.
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
	handedOver := 0
	for _, node := range cluster.nodes {
		time.Sleep(400 * time.Millisecond)
		if err := node.Drain(); err != nil {
			t.Fatal(err)
		}
		handedOver += firstCounter(t, node.Log(), "runs.handed_off")
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v; claims handed over: %d", totals, handedOver)
	if totals.ServedKeys < 200 || handedOver == 0 {
		t.Error("too few requests were served, or no claim was handed over")
	}
}

// TestMembershipChange replaces the members n1 to n3 with n3 to n5 under load and kills n3 during the change. No claim may run twice, the results of
// earlier claims must still be returned, and the nodes must reject steps of the change that come too early.
func TestMembershipChange(t *testing.T) {
	cluster := prepareCluster(t, 5, 6*time.Millisecond)
	defer cluster.killAll()
	const retryHorizon = 3 * time.Second
	for i := range cluster.baseConf {
		cluster.baseConf[i] += fmt.Sprintf("keep horizon %s\n", retryHorizon)
	}
	formerMembers := []int{0, 1, 2}
	newMembers := []int{2, 3, 4}
	for _, i := range formerMembers {
		cluster.setMembers(i, formerMembers, nil)
	}
	cluster.start(formerMembers...)
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
	reload := func(members, former []int, nodes ...int) {
		t.Helper()
		for _, i := range nodes {
			cluster.setMembers(i, members, former)
			if err := cluster.nodes[i].ReloadOperatorFile(); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	reload(newMembers, nil, 0) // rejected: the list of former members is missing
	waitForLog("must first be used together with the previous list", 0)
	for _, i := range []int{3, 4} {
		cluster.setMembers(i, newMembers, formerMembers)
		if err := cluster.nodes[i].Start(); err != nil { // a new node serves claims once the former members have the new list
			t.Fatal(err)
		}
	}
	reload(newMembers, formerMembers, 0, 1)
	time.Sleep(300 * time.Millisecond)
	reload(newMembers, nil, 0) // rejected: n3 has not adopted the new list
	waitForLog("not known to use the new member list", 0)
	if err := cluster.nodes[2].Kill(); err != nil {
		t.Fatal(err)
	}
	cluster.setMembers(2, newMembers, formerMembers)
	cluster.start(2)
	reload(newMembers, nil, 0, 1, 2, 3, 4)
	waitForLog("may still retry requests that ran under the previous member list", 0, 1, 2, 3, 4)
	waitForLog(`msg="membership changed" members=3 previous_members=0`, 0, 1, 2, 3, 4)
	for _, i := range []int{0, 1} {
		if err := cluster.nodes[i].Drain(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := cluster.nodes[4].Kill(); err != nil { // n3 and n4 take over its claims
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	totals := cluster.verify(load)
	t.Logf("%+v", totals)
	if totals.ServedKeys < 500 {
		t.Error("too few requests were served for a valid result")
	}
}
