package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"frosthub/backend"
	"frosthub/internal/fake"
	"frosthub/internal/harness"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var idempotencyPairs = flag.Int("keeppairs", 0, "rounds of the measurements of the idempotency guard")

// idempotencyCostTime is the duration of each measurement.
const idempotencyCostTime = 3 * time.Second

// TestIdempotencyCost measures the cost of the idempotency guard: CPU time per request, throughput, latency and commits per request. It compares
// no guard, the guard, the guard with gathered commits, and the guard on a disk whose fsync takes 5 ms, on processors with 2 and with 32 cores.
func TestIdempotencyCost(t *testing.T) {
	if *idempotencyPairs == 0 {
		t.Skip("runs only with -keeppairs")
	}
	for _, test := range []idempotencyCost{
		{"two cores, 4 ms", 2, 4 * time.Millisecond},
		{"32 cores, 10 ms", 32, 10 * time.Millisecond},
	} {
		t.Run(test.name, test.run)
	}
}

// idempotencyCost describes a processor with which the cost of the idempotency guard is measured.
type idempotencyCost struct {
	name  string
	cores int
	work  time.Duration
}

// costMeasurement is the result of one measurement.
type costMeasurement struct {
	cpu     float64 // microseconds of CPU time per request; 0 if not measured
	rate    float64 // requests served per second
	commits float64 // per request
	p50     time.Duration
	p99     time.Duration
}

// run measures all variants of the guard as often as the flag -keeppairs demands, and logs the ratios of guarded to unguarded requests.
func (c idempotencyCost) run(t *testing.T) {
	const guard = "keep dir KEEP\nkeep handler file-claim by body\n"
	var ratios, rates []float64
	for range *idempotencyPairs {
		unguarded := c.measure(t, "")
		guarded := c.measure(t, guard)
		gathered := c.measure(t, guard+"keep gather 10ms\n")
		slowDisk := c.measureSlowDisk(t)
		ratio := guarded.cpu / unguarded.cpu
		rate := guarded.rate / unguarded.rate
		t.Logf("unguarded %+v\nguarded   %+v\nguarded, commits 10 ms apart %+v\nguarded, fsync 5 ms %+v\nratio of CPU time %.3f, of throughput %.3f", unguarded, guarded, gathered, slowDisk, ratio, rate)
		ratios = append(ratios, ratio)
		rates = append(rates, rate)
	}
	slices.Sort(ratios)
	slices.Sort(rates)
	t.Logf("ratios of CPU time %.3f, median %.3f; of throughput %.3f, median %.3f", ratios, ratios[len(ratios)/2], rates, rates[len(rates)/2])
}

// measure measures a node whose operator's file has the given lines.
func (c idempotencyCost) measure(t *testing.T, conf string) costMeasurement {
	t.Helper()
	node, _ := newIdempotentNode(t, float64(c.cores), constantWork(c.work), conf+"admin listen ADMIN\n")
	admin, err := harness.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	node.process.OperatorFile = strings.ReplaceAll(node.process.OperatorFile, "ADMIN", admin)
	node.process.ProcessorCores = c.cores
	node.start()
	defer node.kill()
	waitReady(t, node.process.Listen)
	before, err := node.process.CPU()
	if err != nil {
		t.Fatal(err)
	}
	served, latency := c.runLoad(t, node.process.Listen, node.processor)
	after, err := node.process.CPU()
	if err != nil {
		t.Fatal(err)
	}
	result := newCostMeasurement(served, latency, adminStats(admin))
	result.cpu = float64((after - before).Microseconds()) / served
	return result
}

// adminStats returns the idempotency statistics of the node with the given admin address. They are zero if the node has no guard.
func adminStats(admin string) backend.IdempotencyStats {
	var stats backend.IdempotencyStats
	if response, err := http.Get("http://" + admin + "/keep"); err == nil {
		_ = json.NewDecoder(response.Body).Decode(&stats)
		_ = response.Body.Close()
	}
	return stats
}

// measureSlowDisk measures a node within the test process, whose fsync takes 5 ms.
func (c idempotencyCost) measureSlowDisk(t *testing.T) costMeasurement {
	t.Helper()
	processor, err := fake.NewProcessor(float64(c.cores), constantWork(c.work))
	if err != nil {
		t.Fatal(err)
	}
	defer processor.Close()
	disk := fake.NewDisk()
	disk.BeforeOperation = func(operation string, _ int) {
		if operation == "fsync" {
			time.Sleep(5 * time.Millisecond)
		}
	}
	server, address := startInProcess(t, processor, disk, backend.KeyPartBody, c.cores)
	served, latency := c.runLoad(t, address, processor)
	stats := server.IdempotencyStats()
	if stats == nil {
		t.Fatal("the node has no guard")
	}
	return newCostMeasurement(served, latency, *stats)
}

// runLoad sends claims to a node for idempotencyCostTime, and returns the number of served claims and the latencies in microseconds.
func (c idempotencyCost) runLoad(t *testing.T, address string, processor *fake.Processor) (served float64, latency *hdrhistogram.Histogram) {
	t.Helper()
	latency = hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	load := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 32,
		Timeout: 3 * time.Second,
		CostMS:  c.work.Seconds() * 1000,
		OnLatency: func(took time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			_ = latency.RecordValue(took.Microseconds())
		},
	}
	ctx, stop := context.WithTimeout(t.Context(), idempotencyCostTime)
	defer stop()
	client := fake.NewFastCGIClient(address)
	defer client.Close()
	load.Run(ctx, 1, func(uint64) fake.Client { return client })
	totals, _ := load.Verify(processor.Effects())
	return float64(totals.ServedKeys), latency
}

// newCostMeasurement returns the results of a load; it leaves the CPU time at 0.
func newCostMeasurement(served float64, latency *hdrhistogram.Histogram, stats backend.IdempotencyStats) costMeasurement {
	return costMeasurement{
		rate:    served / idempotencyCostTime.Seconds(),
		commits: float64(stats.Log.Commits) / served,
		p50:     time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond,
		p99:     time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond,
	}
}
