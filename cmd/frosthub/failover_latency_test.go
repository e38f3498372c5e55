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

var failoverRounds = flag.Int("rounds", 2, "kills of a node with requests in flight, for each case of the failover latency test")

// failoverStats holds the outcomes of requests that were in flight at a killed node and were retried at its peers at once.
type failoverStats struct {
	queued        int // not started before the kill
	queuedServed  int
	running       int // started before the kill
	runningServed int
	duplicates    int                     // bodies that ran more than once
	latency       *hdrhistogram.Histogram // from the kill to the response, in microseconds
}

// inFlightRequests is the number of requests that are in flight when the node is killed.
const inFlightRequests = 10

// killInFlight kills a node while requests for the handler are in flight, and its processor too unless processorLives is set. It retries the
// requests at the peers and adds their outcomes to stats.
func (c *testCluster) killInFlight(handler string, processorLives bool, round int, stats *failoverStats) {
	c.t.Helper()
	f := &inFlightRound{testCluster: c, handler: handler, round: round}
	f.warmUp()
	senders := f.sendUntilStarted()
	if err := c.nodes[0].Kill(); err != nil {
		c.t.Fatal(err)
	}
	if !processorLives {
		c.processors[0].Reset()
	}
	killedAt := time.Now()
	senders.Wait()
	f.retryAll(killedAt, stats)
	for _, runs := range c.effects() {
		if runs > 1 {
			stats.duplicates++
		}
	}
}

// inFlightRound sends the requests of one round, which are in flight at the first node when it is killed.
type inFlightRound struct {
	*testCluster
	handler string
	round   int
}

// body returns the body of the i-th request.
func (f *inFlightRound) body(i int) string {
	return fmt.Sprintf("%s %d of round %d", f.handler, i, f.round)
}

// send sends the i-th request to a node under the given ID and reports whether it was served.
func (f *inFlightRound) send(node, i int, id uint64) bool {
	request := fake.Request{
		ID:      id,
		Handler: f.handler,
		Caller:  i,
		Start:   time.Now().UnixMilli(),
		Body:    f.body(i),
		CostMS:  100,
	}
	response, outcome := f.clients[node].RoundTrip(&request, 3*time.Second)
	return outcome == fake.Served && response.Status == 200
}

// startedRuns returns the number of different requests for the handler that the first node's processor has started.
func (f *inFlightRound) startedRuns() int {
	count := 0
	for body := range f.processors[0].Effects() {
		if strings.HasPrefix(body, f.handler) {
			count++
		}
	}
	return count
}

// warmUp sends other requests to the first node, so that its estimate of the processor's capacity settles.
func (f *inFlightRound) warmUp() {
	var senders sync.WaitGroup
	for i := range 4 {
		senders.Go(func() {
			for k := range 4 {
				f.send(0, 1000+10*i+k, uint64(10*i+k+1))
			}
		})
	}
	senders.Wait()
}

// sendUntilStarted sends the requests to the first node, and returns once one of them runs and the others are queued.
func (f *inFlightRound) sendUntilStarted() *sync.WaitGroup {
	warmupRuns := f.startedRuns()
	senders := &sync.WaitGroup{}
	for i := range inFlightRequests {
		senders.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			f.send(0, i, uint64(1000+i))
		})
	}
	for end := time.Now().Add(2 * time.Second); f.startedRuns() == warmupRuns && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(40 * time.Millisecond)
	return senders
}

// retryAll retries the requests at the peers until they are served or the client timeout has passed, and records their outcomes in stats.
func (f *inFlightRound) retryAll(killedAt time.Time, stats *failoverStats) {
	before := f.effects()
	var mu sync.Mutex
	var senders sync.WaitGroup
	for i := range inFlightRequests {
		senders.Go(func() {
			served := f.retry(i, killedAt)
			latency := time.Since(killedAt)
			mu.Lock()
			defer mu.Unlock()
			stats.record(before[f.body(i)] > 0, served, latency)
		})
	}
	senders.Wait()
}

// retry retries the i-th request at one peer after the other and reports whether it was served.
func (f *inFlightRound) retry(i int, killedAt time.Time) bool {
	for attempt := 0; time.Since(killedAt) < 3*time.Second; attempt++ {
		if f.send(1+(i+attempt)%4, i, uint64(5000+100*i+attempt)) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// record records the outcome of a request: whether it had started before the kill, whether it was served, and how long after the kill.
func (s *failoverStats) record(started, served bool, latency time.Duration) {
	servedCount := 0
	if served {
		servedCount = 1
		_ = s.latency.RecordValue(latency.Microseconds())
	}
	if started {
		s.running++
		s.runningServed += servedCount
	} else {
		s.queued++
		s.queuedServed += servedCount
	}
}

// TestFailoverLatency kills a node with running and queued requests, which are retried at the peers at once. They must be served within the client
// timeout, except claims that had started on a processor that failed together with the node.
func TestFailoverLatency(t *testing.T) {
	for _, test := range []struct {
		handler        string
		processorLives bool
		standalone     bool    // without a cluster, for comparison
		minQueued      float64 // minimum served share of the queued requests; minRunning is that of the running ones
		minRunning     float64
	}{
		{"file-claim", false, false, 0.95, 0},
		{"file-claim", true, false, 0.95, 0.95},
		{"field-update", false, false, 0.95, 0.9},
		{"file-claim", false, true, 0, 0},
		{"file-claim", true, true, 0, 0},
		{"field-update", false, true, 0, 0},
	} {
		if test.standalone && !*compareStandalone {
			continue
		}
		stats := failoverStats{latency: hdrhistogram.New(1, 10_000_000, 3)}
		for round := range *failoverRounds {
			cluster := newTestCluster(t, 5, 100*time.Millisecond, !test.standalone)
			cluster.killInFlight(test.handler, test.processorLives, round, &stats)
			cluster.killAll()
		}
		t.Logf("%s, processor lives %v, cluster %v: queued %d, served %d; started %d, served %d; ran twice %d; from kill to response median %s, max %s",
			test.handler, test.processorLives, !test.standalone, stats.queued, stats.queuedServed, stats.running, stats.runningServed, stats.duplicates,
			time.Duration(stats.latency.ValueAtQuantile(50))*time.Microsecond, time.Duration(stats.latency.Max())*time.Microsecond)
		if stats.queued < *failoverRounds || stats.running == 0 {
			t.Error("too few requests were in flight")
		}
		if !test.standalone && test.handler == "file-claim" && stats.duplicates > 0 {
			t.Error("claims ran twice")
		}
		if float64(stats.queuedServed) < test.minQueued*float64(stats.queued) || float64(stats.runningServed) < test.minRunning*float64(stats.running) {
			t.Error("too few requests were served")
		}
	}
}
