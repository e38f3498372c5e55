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

var idempotencyPairs = flag.Int("keeppairs", 0, "rounds that measure the cost of the idempotency guard")

// TestIdempotencyCost measures what the idempotency guard costs: CPU time per request, throughput, latency and commits per request, with the guard
// off, on, with commits gathered, and on a disk whose fsync takes 5 ms; on a processor with two busy cores, and with 32 runs at a time.
func TestIdempotencyCost(t *testing.T) {
	if *idempotencyPairs == 0 {
		t.Skip("asked for by -keeppairs")
	}
	type measurement struct {
		cpu, rate, commits float64
		p50, p99           time.Duration
	}
	for _, test := range []struct {
		name  string
		cores int
		work  time.Duration
	}{{"two cores, 4 ms", 2, 4 * time.Millisecond}, {"32 cores, 10 ms", 32, 10 * time.Millisecond}} {
		t.Run(test.name, func(t *testing.T) {
			runLoad := func(address string, processor *fake.Processor) (float64, *hdrhistogram.Histogram) {
				histogram := hdrhistogram.New(1, 10_000_000, 3)
				var mu sync.Mutex
				load := &harness.ClaimLoad{
					Handler: "file-claim", Callers: 32, Timeout: 3 * time.Second, CostMS: test.work.Seconds() * 1000,
					OnLatency: func(latency time.Duration) {
						mu.Lock()
						defer mu.Unlock()
						_ = histogram.RecordValue(latency.Microseconds())
					},
				}
				ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
				defer stop()
				client := fake.NewFastCGIClient(address)
				defer client.Close()
				load.Run(ctx, 1, func(uint64) fake.Client { return client })
				totals, _ := load.Verify(processor.Effects())
				return float64(totals.Served), histogram
			}
			quantiles := func(result *measurement, histogram *hdrhistogram.Histogram) {
				result.p50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
				result.p99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
			}
			measure := func(conf string) (result measurement) {
				node, _ := newIdempotentNode(t, float64(test.cores), constantWork(test.work), conf+"admin listen ADMIN\n")
				admin, err := harness.FreeAddress()
				if err != nil {
					t.Fatal(err)
				}
				node.process.Conf, node.process.ProcessorCores = strings.ReplaceAll(node.process.Conf, "ADMIN", admin), test.cores
				node.start()
				waitReady(t, node.process.Listen)
				before, err := node.process.CPU()
				if err != nil {
					t.Fatal(err)
				}
				served, histogram := runLoad(node.process.Listen, node.processor)
				after, err := node.process.CPU()
				if err != nil {
					t.Fatal(err)
				}
				var stats backend.IdempotencyStats
				if response, err := http.Get("http://" + admin + "/keep"); err == nil {
					_ = json.NewDecoder(response.Body).Decode(&stats)
					_ = response.Body.Close()
				}
				node.kill()
				result = measurement{cpu: float64((after - before).Microseconds()) / served, rate: served / 3, commits: float64(stats.Log.Commits) / served}
				quantiles(&result, histogram)
				return result
			}
			measureSlowDisk := func() (result measurement) {
				processor, err := fake.NewProcessor(float64(test.cores), constantWork(test.work))
				if err != nil {
					t.Fatal(err)
				}
				defer processor.Close()
				disk := fake.NewDisk()
				disk.Slow = func(what string, _ int) {
					if what == "fsync" {
						time.Sleep(5 * time.Millisecond)
					}
				}
				server, address := startInProcess(t, processor, disk, backend.KeyPartBody, test.cores)
				served, histogram := runLoad(address, processor)
				result = measurement{rate: served / 3, commits: float64(server.IdempotencyStats().Log.Commits) / served}
				quantiles(&result, histogram)
				return result
			}
			var ratios, rates []float64
			for range *idempotencyPairs {
				const guard = "keep dir KEEP\nkeep handler file-claim by body\n"
				off, on, gathered, slowDisk := measure(""), measure(guard), measure(guard+"keep gather 10ms\n"), measureSlowDisk()
				t.Logf("off %+v\non  %+v\non, commits 10 ms apart %+v\n5ms %+v\ncpu %.3f rate %.3f", off, on, gathered, slowDisk, on.cpu/off.cpu, on.rate/off.rate)
				ratios, rates = append(ratios, on.cpu/off.cpu), append(rates, on.rate/off.rate)
			}
			slices.Sort(ratios)
			slices.Sort(rates)
			t.Logf("cpu ratios %.3f, median %.3f; rates %.3f, median %.3f", ratios, ratios[len(ratios)/2], rates, rates[len(rates)/2])
		})
	}
}
