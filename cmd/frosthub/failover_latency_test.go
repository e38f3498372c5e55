package main

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"frosthub/internal/fake"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var failoverRounds = flag.Int("rounds", 2, "kills of a node with requests in flight that measure the time to failover")

// failoverStats counts what became of the requests in flight at a killed node that were retried at the others at once.
type failoverStats struct {
	queued, queuedServed   int // accepted and not started
	running, runningServed int // started
	duplicates             int // runs beyond the first, by body
	latency                *hdrhistogram.Histogram
}

// killInFlight kills a node with requests of a handler in flight, and its processor unless that lives on, and adds up what becomes of them.
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
	for i := range 4 { // until the node has learned its processor's capacity
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
	time.Sleep(40 * time.Millisecond) // the others are queued by now
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

// TestFailoverLatency kills a node with requests running and queued. Those retried at the other nodes at once are served within the client's
// timeout, except claims that had started at a processor that is lost too.
func TestFailoverLatency(t *testing.T) {
	for _, test := range []struct {
		handler        string
		processorLives bool
		alone          bool    // nodes alone, for comparison
		minQueued      float64 // minimum share served of those queued, and of those started
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
		t.Logf("%s, processor lives %v, cluster %v: queued %d, served %d; started %d, served %d; ran twice %d; from kill to response median %s, max %s",
			test.handler, test.processorLives, !test.alone, stats.queued, stats.queuedServed, stats.running, stats.runningServed, stats.duplicates,
			time.Duration(stats.latency.ValueAtQuantile(50))*time.Microsecond, time.Duration(stats.latency.Max())*time.Microsecond)
		if stats.queued < *failoverRounds || stats.running == 0 {
			t.Error("no request was in flight")
		}
		if !test.alone && test.handler == "file-claim" && stats.duplicates > 0 {
			t.Error("claims ran twice")
		}
		if float64(stats.queuedServed) < test.minQueued*float64(stats.queued) || float64(stats.runningServed) < test.minRunning*float64(stats.running) {
			t.Error("too few requests were served")
		}
	}
}
