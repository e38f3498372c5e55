package main

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/harness"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var clusterPairs = flag.Int("clusterpairs", 0, "number of paired runs that compare a cluster with standalone nodes")

// retryingClient returns a client that retries at all nodes of the cluster.
func (c *testCluster) retryingClient() *fake.RetryingClient {
	retrying := &fake.RetryingClient{MaxAttempts: 4, Pause: 5 * time.Millisecond}
	for _, client := range c.clients {
		retrying.Nodes = append(retrying.Nodes, client)
	}
	return retrying
}

// cpuTime returns the total CPU time that the nodes have used.
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

// mixedLoad returns an open load of distinct requests, whose handlers have the values 1, 2 and 3.
func mixedLoad(rate float64, cost time.Duration, handlers ...string) fake.OpenLoad {
	return fake.OpenLoad{
		Rate: rate, Handlers: handlers, CostMS: cost.Seconds() * 1000, Target: time.Second, Timeout: 2900 * time.Millisecond,
		HandlerValues: map[string]float64{"status": 1, "field-update": 2, "file-claim": 3},
	}
}

// TestClusterLoad measures the service level of five nodes at 110% of their capacity after one has been killed or its links have become slow. It
// compares a cluster with standalone nodes under the same arrivals.
func TestClusterLoad(t *testing.T) {
	if *clusterPairs == 0 {
		t.Skip("runs only with -clusterpairs")
	}
	const work = 40 * time.Millisecond // 50 requests per second on each node
	handlers := []string{"status", "status", "status", "field-update", "file-claim"}
	for _, fault := range []string{"one of five dies", "a slow node"} {
		for pair := range *clusterPairs {
			var serviceLevels [2]float64
			for i, clustered := range []bool{false, true} {
				cluster := newTestCluster(t, 5, work, clustered)
				load := mixedLoad(1.1*250, work, handlers...)
				run := func(seed uint64, span time.Duration) float64 {
					ctx, stop := context.WithTimeout(t.Context(), span)
					defer stop()
					return load.Run(ctx, seed, fake.NewTally(), func(uint64) fake.Client { return cluster.retryingClient() })
				}
				run(uint64(pair)+100, 3*time.Second)
				if fault == "a slow node" {
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
				serviceLevels[i] = run(uint64(pair), 10*time.Second)
				duplicates := 0
				for _, n := range cluster.effects() {
					if n > 1 {
						duplicates++
					}
				}
				t.Logf("%s, cluster %v: service level %.3f; requests that ran more than once: %d", fault, clustered, serviceLevels[i], duplicates)
				cluster.killAll()
			}
			t.Logf("%s: service level of the cluster relative to standalone nodes %.3f", fault, serviceLevels[1]/serviceLevels[0])
		}
	}
}

// TestClusterMemory runs at least ten times as many claims as the nodes keep results. After the second tenth of the claims, resident memory must not
// grow by more than a quarter.
func TestClusterMemory(t *testing.T) {
	if *clusterClaims == 0 {
		t.Skip("runs only with -clusterclaims")
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
		load := &harness.ClaimLoad{
			Handler: "file-claim",
			Callers: 40,
			Keys:    *clusterClaims / 400,
			Timeout: 2 * time.Second,
			CostMS:  1,
		}
		load.Run(t.Context(), uint64(round), func(n uint64) fake.Client { return cluster.clients[n>>40%3] })
		totals, violations := load.Verify(cluster.effects())
		for _, violation := range violations {
			t.Error(violation)
		}
		served += totals.ServedKeys
		after = append(after, resident())
	}
	t.Logf("%d claims served, at most %d results kept; resident memory of three nodes in MB after each tenth: %v", served, kept, after)
	if after[9] > after[1]*5/4 {
		t.Error("resident memory has grown by more than a quarter")
	}
}

var clusterClaims = flag.Int("clusterclaims", 0, "number of claims that measure the memory of a cluster")

// TestClusterCost measures the cost of a cluster without faults: the CPU time per request over all nodes and the latency, compared with standalone
// nodes, for several shares of guarded requests.
func TestClusterCost(t *testing.T) {
	if *clusterPairs == 0 {
		t.Skip("runs only with -clusterpairs")
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
				t.Logf("guarded share %s, cluster %v: %d served, CPU time per request over three nodes %.0f us, latency median %.1f ms, 99th percentile %.1f ms",
					test.share, clustered, histogram.TotalCount(), cpu[i], median[i], float64(histogram.ValueAtQuantile(99))/1000)
				cluster.killAll()
			}
			t.Logf("guarded share %s: ratio of CPU time %.2f, difference of median latency %+.1f ms", test.share, cpu[1]/cpu[0], median[1]-median[0])
		}
	}
}
