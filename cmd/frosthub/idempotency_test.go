package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"frosthub/backend"
	"frosthub/idempotency"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/wal"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var idempotencyKills = flag.Int("keepkills", 30, "how often boxes that keep results are killed under repeats; 500 outside CI")

var idempotencyPairs = flag.Int("keeppairs", 0, "measure the cost of keeping results in so many rounds")

const idempotencyConf = "ajp listen FRONT\nfigures file FIGURES\nfigures trail 65536\nkeep dir KEEP\nkeep handler file-claim by body\n"

// newIdempotentNode prepares a box with an empty store.
func newIdempotentNode(t *testing.T, cores float64, work func(uint64, string) time.Duration, conf string) (node *testNode, dir string) {
	t.Helper()
	node = newTestNode(t, cores, work, conf)
	dir = filepath.Join(node.process.Dir, "keep")
	node.process.Conf = strings.ReplaceAll(node.process.Conf, "KEEP", dir)
	if out, err := exec.Command(binary, "keep", "init", "--box", "n1", dir).CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return node, dir
}

// TestIdempotencyOverKills has boxes killed and drained under claims that are repeated over both fronts, under new ids: none runs twice, and
// who repeats a served one gets the first answer.
func TestIdempotencyOverKills(t *testing.T) {
	const nodes = 3
	for i := range nodes {
		t.Run(fmt.Sprint("box ", i), func(t *testing.T) {
			t.Parallel()
			idempotencyOverKills(t, (*idempotencyKills+nodes-1-i)/nodes, uint64(i))
		})
	}
}

func idempotencyOverKills(t *testing.T, kills int, seed uint64) {
	node, dir := newIdempotentNode(t, 2, constantWork(4*time.Millisecond), idempotencyConf)
	random := rand.New(rand.NewPCG(seed, 11))
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 12, Repeats: 3, LateShare: 0.4, Pause: 3 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 4}
	fastcgiClient, ajpClient := fake.NewFastCGIClient(node.process.Listen), fake.NewAJPClient(node.ajpAddress)
	defer fastcgiClient.Close()
	defer ajpClient.Close()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	node.start()
	go func() {
		defer close(done)
		load.Run(ctx, seed, func(n uint64) fake.Client {
			if n>>32%2 == 0 {
				return fastcgiClient
			}
			return ajpClient
		})
	}()
	drains := 0
	for range kills {
		time.Sleep(time.Duration(30+random.IntN(200)) * time.Millisecond)
		var err error
		if random.IntN(6) == 0 {
			drains++
			err = node.process.Drain()
		} else {
			err = node.process.Kill()
		}
		if err != nil {
			t.Fatal(err, node.process.Log())
		}
		node.start()
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	<-done
	if err := node.process.Drain(); err != nil {
		t.Fatal(err)
	}
	totals, violations := load.Verify(node.processor.Effects())
	for _, violation := range violations {
		t.Error(violation)
	}
	t.Logf("%d kills, %d of them drains: %+v", kills, drains, totals)
	if totals.Served < 20*kills || totals.Answers < 2*totals.Served || totals.Interrupted == 0 {
		t.Error("too little was asked to tell anything")
	}
	out, err := exec.Command(binary, "keep", "check", "--conf", filepath.Join(node.process.Dir, "frosthub.conf"), dir).CombinedOutput()
	if err != nil || !strings.Contains(string(out), fmt.Sprintf("%d lives", kills+1)) {
		t.Error(string(out), err)
	}
	if out, err := exec.Command(binary, "figures", node.accountingPath).CombinedOutput(); err != nil {
		t.Error(string(out), err)
	}
}

// startInProcess has a backend in this process keep its store on a stand-in disk.
func startInProcess(t *testing.T, processor *fake.Processor, disk *fake.Disk, keyPart backend.KeyPart, cores int) (server *backend.Backend, address string) {
	t.Helper()
	address, err := harness.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	process := harness.Process{Listen: address, Processor: processor.Address(), StopMS: 1000, ProcessorCores: cores}
	text, err := process.Config()
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := backend.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if disk != nil {
		if err := wal.Init(disk, cfg.Name, time.Duration(time.Now().UnixNano()), 1); err != nil {
			t.Fatal(err)
		}
		cfg.Idempotency = backend.IdempotencyConfig{Dir: t.TempDir(), Handlers: map[string][]backend.KeyPart{"file-claim": {keyPart}}, Disk: disk}
	}
	server = backend.New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := server.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-ended })
	waitReady(t, address)
	return server, address
}

// waitReady waits until a box at that address runs reqs.
func waitReady(t *testing.T, address string) {
	t.Helper()
	client := fake.NewFastCGIClient(address)
	defer client.Close()
	for i, end := uint64(0), time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		request := fake.Request{ID: 1<<60 + i, Handler: "file-claim", Start: time.Now().UnixMilli(), Body: fmt.Sprint("ready", i), CostMS: 1}
		if client.Send(&request, time.Second) == fake.Served {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("it does not serve")
}

// TestKeepStall: a disk that stands still for two seconds at 110% of capacity costs service, and no rule: each req gets its one answer
// in its time, nothing runs twice, and replayable ones go on.
func TestIdempotencyDiskStall(t *testing.T) {
	processor, err := fake.NewProcessor(2, constantWork(8*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	defer processor.Close()
	disk := fake.NewDisk()
	var stall sync.Once
	var mu sync.Mutex
	var stalledAt time.Time
	disk.Slow = func(what string, n int) {
		if n > 200 && what == "fsync" {
			stall.Do(func() {
				mu.Lock()
				stalledAt = time.Now()
				mu.Unlock()
				time.Sleep(2 * time.Second)
			})
		}
	}
	_, address := startInProcess(t, processor, disk, backend.KeyPartID, 2)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	client := fake.NewFastCGIClient(address)
	defer client.Close()
	tally := fake.NewTally()
	stream := fake.OpenLoad{
		Rate: 1.1 * 250, Handlers: []string{"status", "file-claim"}, CostMS: 8, Target: time.Second,
		Timeout: 3100 * time.Millisecond, Value: map[string]float64{"status": 1, "file-claim": 3},
	}
	var replayable, claims int
	share := stream.Run(ctx, 1, tally, func(id uint64) fake.Client { return client })
	mu.Lock()
	defer mu.Unlock()
	if stalledAt.IsZero() {
		t.Fatal("the disk never stood still")
	}
	for id, handler := range processor.Handlers() {
		if processor.Runs()[id] > 1 {
			t.Errorf("%016x ran twice", id)
		}
		if handler == "status" {
			replayable++
		} else {
			claims++
		}
	}
	t.Logf("service %.3f; served %d, refused %d, failed %d; begun %d replayable and %d guarded", share, tally.Count(fake.Served),
		tally.Count(fake.Rejected), tally.Count(fake.Failed), replayable, claims)
	for _, bad := range []fake.Outcome{fake.Sent, fake.NotSent, fake.Wrong} {
		if n := tally.Count(bad); n > 0 {
			t.Errorf("%d reqs: %s", n, bad)
		}
	}
	if replayable < 200 || claims < 50 {
		t.Error("too little was run")
	}
}

// TestKeepFlat: over ten times the bound of keys, memory, keys and disk stay within their bounds.
func TestIdempotencyBounded(t *testing.T) {
	node, dir := newIdempotentNode(t, 8, constantWork(100*time.Microsecond), idempotencyConf+"keep entries 400\nkeep bytes 20000\nkeep lifetime 1s\nkeep horizon 2s\nkeep gather 50us\n")
	node.start()
	waitReady(t, node.process.Listen)
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 24, Keys: 180, Pause: 20 * time.Millisecond, Timeout: 3 * time.Second, CostMS: 0.1, Padding: 100}
	client := fake.NewFastCGIClient(node.process.Listen)
	defer client.Close()
	load.Run(t.Context(), 1, func(uint64) fake.Client { return client })
	totals, violations := load.Verify(node.processor.Effects())
	for _, violation := range violations {
		t.Error(violation)
	}
	if err := node.process.Drain(); err != nil {
		t.Fatal(err)
	}
	var size int64
	disk := wal.DirDisk(dir)
	names, err := disk.Names()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		content, _ := disk.Read(n)
		size += int64(len(content))
	}
	t.Logf("%+v; %d files, %d bytes on the disk, %d KB of memory", totals, len(names), size, node.process.MaxResident())
	if totals.Served < 10*400 || size > 400_000 || len(names) > 70 {
		t.Error("too little was kept, or too much is still there")
	}
}

// TestIdempotencyCost measures what keeping costs: time on cores a req, rate, latency, commits a req; off, on, and with a disk that takes
// 5 ms; on a processor with two cores that are never idle, and with 32 runs at a time.
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

var idempotencyKeys = flag.Int("keepkeys", 20000, "keys in the store of a start; 1000000 outside CI")

// fillStore has a store hold what ran with so many keys, the newest of them as results and the rest as prints.
func fillStore(t *testing.T, dir string, entries, keys, segmentKeys int) {
	t.Helper()
	config := idempotency.Config{
		MaxEntries: entries, MaxBytes: entries*100 + 1<<20, MaxResultBytes: 1 << 16, ResultTTL: time.Hour,
		RetryHorizon: 24 * time.Hour, MaxSegments: 1000, KeysPerSegment: segmentKeys, SegmentBytes: 64 << 20,
	}
	guard, disk := idempotency.New(config), wal.DirDisk(dir)
	now := time.Duration(time.Now().UnixNano())
	log, _, err := wal.Open(disk, "n1", guard, now, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range keys {
		key := idempotency.Key{0: 1, 8: byte(i >> 16), 9: byte(i >> 8), 10: byte(i)}
		guard.Reserve(now, 0, key, "file-claim", uint64(i+1))
		guard.Finish(now, key, idempotency.EntryResult, []byte("a result of some bytes"))
		if i%1000 == 0 || i == keys-1 {
			seq, err := log.Commit(guard.TakeEntries())
			if err != nil {
				t.Fatal(err)
			}
			guard.MarkDurable(seq)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestIdempotencyStartTime measures how soon a box with an empty and a small log has read it, beside an earlier program, and what reading a log takes that holds ten
// and twenty times as many keys as the box is to keep.
func TestIdempotencyStartTime(t *testing.T) {
	if *idempotencyPairs == 0 || *baseline == "" {
		t.Skip("asked for by -keeppairs and -baseline")
	}
	const entries = 20000
	conf := idempotencyConf + fmt.Sprintf("keep entries %d\nkeep bytes %d\n", entries, entries*100+1<<20)
	start := func(program string, keys int) (time.Duration, int) {
		node, dir := newIdempotentNode(t, 2, constantWork(time.Millisecond), conf)
		if keys > 0 {
			fillStore(t, dir, max(entries, keys), keys, entries/8)
		}
		node.process.Binary = program
		started := time.Now()
		if err := node.process.Launch(); err != nil {
			t.Fatal(err)
		}
		for !strings.Contains(node.process.Log(), "took=") {
			if time.Since(started) > 20*time.Second {
				t.Fatal(node.process.Log())
			}
			time.Sleep(100 * time.Microsecond)
		}
		took := time.Since(started)
		kb, err := node.process.PeakResident()
		if err != nil {
			t.Fatal(err)
		}
		if err := node.process.Drain(); err != nil {
			t.Fatal(err)
		}
		return took, kb / 1024
	}
	for _, keys := range []int{0, 500} {
		var ratios []float64
		for range *idempotencyPairs {
			now, _ := start(binary, keys)
			before, _ := start(*baseline, keys)
			ratios = append(ratios, now.Seconds()/before.Seconds())
		}
		slices.Sort(ratios)
		t.Logf("%d keys: time to read the store, of what it was before: %.2f, median %.2f", keys, ratios, ratios[len(ratios)/2])
	}
	for _, keys := range []int{entries, 10 * entries, 20 * entries} {
		took, mb := start(binary, keys)
		t.Logf("%d keys, %d are kept: read within %s, %d MB at most", keys, entries, took, mb)
	}
}

// TestKeepScale: a start with many kept keys serves replayable reqs at once, refuses guarded ones until the keys are read, and then
// knows each.
func TestIdempotencyStartManyKeys(t *testing.T) {
	node, dir := newIdempotentNode(t, 2, constantWork(time.Millisecond), idempotencyConf+fmt.Sprintf("keep entries %d\nkeep bytes %d\n", *idempotencyKeys+1000, *idempotencyKeys*100+1<<20))
	fillStore(t, dir, *idempotencyKeys+1000, *idempotencyKeys, *idempotencyKeys/8+16)
	node.start()
	defer node.kill()
	started := time.Now()
	client := fake.NewFastCGIClient(node.process.Listen)
	defer client.Close()
	first, refused := map[string]time.Duration{}, 0
	for n := uint64(1); len(first) < 2; n++ {
		if time.Since(started) > time.Minute {
			t.Fatal("not served: ", first, node.process.Log())
		}
		for i, handler := range []string{"status", "file-claim"} {
			if first[handler] > 0 {
				continue
			}
			request := fake.Request{ID: n<<8 + uint64(i) + 1, Handler: handler, Start: time.Now().UnixMilli(), Body: "new", CostMS: 1}
			switch client.Send(&request, time.Second) {
			case fake.Served:
				first[handler] = time.Since(started)
			case fake.Rejected:
				if first["status"] > 0 {
					refused++
				}
			}
		}
	}
	t.Logf("%d keys: replayable served after %s, guarded after %s; %d guarded refused in between", *idempotencyKeys, first["status"], first["file-claim"],
		refused)
	if !strings.Contains(node.process.Log(), fmt.Sprintf("keys=%d ", *idempotencyKeys)) {
		t.Error(node.process.Log())
	}
	if first["status"] > time.Second {
		t.Error("replayable reqs had to wait")
	}
}
