package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
	"frosthub/internal/harness"
)

// waitForLog waits until the node's log contains the text, and fails the test if it does not within the given time.
func (c *testCluster) waitForLog(node int, text string, within time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(within); !strings.Contains(c.nodes[node].Log(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("n%d has not logged %q:\n%s", node+1, text, c.nodes[node].Log())
		}
	}
}

// losePower kills all nodes and resets all processors.
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

// replaceStore replaces the idempotency log of a node with an empty one.
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

// testCluster holds the nodes of one cluster, each with its own processor.
type testCluster struct {
	t          *testing.T
	nodes      []*harness.Process
	processors []*fake.Processor
	clients    []*fake.FastCGIClient
	links      [][]*faultproxy.Link // by the index of the sending and of the receiving node

	peerAddresses []string // addresses at which the nodes listen for their peers
	baseConf      []string // operator's files without the directives of the cluster
}

// newTestCluster starts n nodes, as a cluster or as standalone nodes.
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

// prepareCluster returns n nodes that are not started, with their processors and links. Each node is configured as a standalone node.
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
			OperatorFile: cluster.baseConf[i],
		})
		cluster.clients = append(cluster.clients, fake.NewFastCGIClient(address))
		t.Cleanup(cluster.clients[i].Close)
	}
	return cluster
}

// setMembers writes the members of the cluster, and the former members during a change, to the operator's file of a node.
func (c *testCluster) setMembers(node int, members, former []int) {
	conf := c.baseConf[node] + "cluster name north\ncluster promise yes\ncluster replay field-update by body\ncluster listen " + c.peerAddresses[node] + "\n"
	for directive, list := range map[string][]int{"member": members, "former": former} {
		for _, member := range list {
			conf += fmt.Sprintf("cluster %s n%d %s zone=z%d processor=%s\n", directive, member+1, c.links[node][member].Address(), member%3, c.processors[member].Address())
		}
	}
	c.nodes[node].OperatorFile = conf
}

// start starts the given nodes, and returns once they serve requests.
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

// killAll kills all nodes.
func (c *testCluster) killAll() {
	for _, node := range c.nodes {
		_ = node.Kill()
	}
}

// startLoad runs a load against all nodes in the background. The returned function stops the load and waits for its end.
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

// effects returns the number of times that each body was started, summed over all processors.
func (c *testCluster) effects() map[string]int {
	effects := map[string]int{}
	for _, processor := range c.processors {
		for body, n := range processor.Effects() {
			effects[body] += n
		}
	}
	return effects
}

// verify reports each violation that a load has recorded as a test error, and returns the totals of the load.
func (c *testCluster) verify(load *harness.ClaimLoad) harness.ClaimTotals {
	c.t.Helper()
	totals, violations := load.Verify(c.effects())
	for _, violation := range violations {
		c.t.Error(violation)
	}
	return totals
}
