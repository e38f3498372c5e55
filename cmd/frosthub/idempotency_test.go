package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"frosthub/backend"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/wal"
)

var idempotencyKills = flag.Int("keepkills", 30, "kills of nodes that guard claims while callers retry them; 500 outside CI")

// idempotencyConf is the operator's file of a node that guards claims. newIdempotentNode replaces KEEP with the directory of the idempotency log.
const idempotencyConf = "ajp listen FRONT\nfigures file FIGURES\nfigures trail 65536\nkeep dir KEEP\nkeep handler file-claim by body\n"

// newIdempotentNode returns a node that is not started, with an empty idempotency log, and the directory of the log.
func newIdempotentNode(t *testing.T, cores float64, work func(uint64, string) time.Duration, conf string) (node *testNode, dir string) {
	t.Helper()
	node = newTestNode(t, cores, work, conf)
	dir = filepath.Join(node.process.Dir, "keep")
	node.process.OperatorFile = strings.ReplaceAll(node.process.OperatorFile, "KEEP", dir)
	if out, err := exec.Command(binary, "keep", "init", "--box", "n1", dir).CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return node, dir
}

// TestIdempotencyOverKills kills and drains nodes while callers retry claims over FastCGI and AJP under new request IDs. No claim may run twice, and
// each retry of a served claim must get the first result.
func TestIdempotencyOverKills(t *testing.T) {
	const nodes = 3
	for i := range nodes {
		t.Run(fmt.Sprint("node ", i), func(t *testing.T) {
			t.Parallel()
			idempotencyOverKills(t, (*idempotencyKills+nodes-1-i)/nodes, uint64(i))
		})
	}
}

// idempotencyOverKills runs TestIdempotencyOverKills for one node.
func idempotencyOverKills(t *testing.T, kills int, seed uint64) {
	node, dir := newIdempotentNode(t, 2, constantWork(4*time.Millisecond), idempotencyConf)
	random := rand.New(rand.NewPCG(seed, 11))
	load := &harness.ClaimLoad{
		Handler:   "file-claim",
		Callers:   12,
		Repeats:   3,
		LateShare: 0.4,
		Pause:     3 * time.Millisecond,
		Timeout:   2 * time.Second,
		CostMS:    4,
	}
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
	t.Logf("%d restarts, %d of them after a drain: %+v", kills, drains, totals)
	if totals.ServedKeys < 20*kills || totals.ServedAttempts < 2*totals.ServedKeys || totals.Interrupted == 0 {
		t.Error("too few claims were served or retried, or none was interrupted")
	}
	out, err := exec.Command(binary, "keep", "check", "--conf", filepath.Join(node.process.Dir, "frosthub.conf"), dir).CombinedOutput()
	if err != nil || !strings.Contains(string(out), fmt.Sprintf("%d incarnations", kills+1)) {
		t.Error(string(out), err)
	}
	if out, err := exec.Command(binary, "figures", node.accountingPath).CombinedOutput(); err != nil {
		t.Error(string(out), err)
	}
}

// startInProcess starts a node within the test process, with its idempotency log on a fake disk. Without a disk, the node does not guard requests.
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
	cfg, err := backend.ParseConfig(text)
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
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-done })
	waitReady(t, address)
	return server, address
}

// TestIdempotencyDiskStall stalls the disk for two seconds at 110% of capacity. The service level may fall, but each request must get one response
// before the client timeout, none may run twice, and replayable requests must still be served.
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
	disk.BeforeOperation = func(operation string, count int) {
		if count > 200 && operation == "fsync" {
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
	load := fake.OpenLoad{
		Rate: 1.1 * 250, Handlers: []string{"status", "file-claim"}, CostMS: 8, Target: time.Second,
		Timeout: 3100 * time.Millisecond, HandlerValues: map[string]float64{"status": 1, "file-claim": 3},
	}
	var replayable, claims int
	serviceLevel := load.Run(ctx, 1, tally, func(id uint64) fake.Client { return client })
	mu.Lock()
	defer mu.Unlock()
	if stalledAt.IsZero() {
		t.Fatal("the disk has not stalled")
	}
	for id, handler := range processor.Handlers() {
		if processor.Runs()[id] > 1 {
			t.Errorf("request %016x ran more than once", id)
		}
		if handler == "status" {
			replayable++
		} else {
			claims++
		}
	}
	t.Logf("service level %.3f; served %d, rejected %d, failed %d; started %d replayable and %d guarded", serviceLevel, tally.Count(fake.Served),
		tally.Count(fake.Rejected), tally.Count(fake.Failed), replayable, claims)
	for _, unexpected := range []fake.Outcome{fake.Sent, fake.NotSent, fake.Wrong} {
		if n := tally.Count(unexpected); n > 0 {
			t.Errorf("%d requests have the outcome %s", n, unexpected)
		}
	}
	if replayable < 200 || claims < 50 {
		t.Error("too few requests were run")
	}
}

// TestIdempotencyBounded runs ten times as many claims as the node may keep. The files of its idempotency log must
// not exceed 400 KB; the node's peak resident memory is logged.
func TestIdempotencyBounded(t *testing.T) {
	node, dir := newIdempotentNode(t, 8, constantWork(100*time.Microsecond), idempotencyConf+"keep entries 400\nkeep bytes 20000\nkeep lifetime 1s\nkeep horizon 2s\nkeep gather 50us\n")
	node.start()
	waitReady(t, node.process.Listen)
	load := &harness.ClaimLoad{
		Handler: "file-claim",
		Callers: 24,
		Keys:    180,
		Pause:   20 * time.Millisecond,
		Timeout: 3 * time.Second,
		CostMS:  0.1,
		Padding: 100,
	}
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
	for _, name := range names {
		content, _ := disk.Read(name)
		size += int64(len(content))
	}
	t.Logf("%+v; on the disk: %d files, %d bytes; peak resident memory %d KB", totals, len(names), size, node.process.MaxResident())
	if totals.ServedKeys < 10*400 || size > 400_000 || len(names) > 70 {
		t.Error("too few claims were served, or the idempotency log exceeds its limits on the disk")
	}
}
