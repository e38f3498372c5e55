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

var keepKills = flag.Int("keepkills", 30, "how often boxes that keep results are killed under repeats; 500 outside CI")

var keepPairs = flag.Int("keeppairs", 0, "measure the cost of keeping results in so many rounds")

const keeps = "ajp listen FRONT\nfigures file FIGURES\nfigures trail 65536\nkeep dir KEEP\nkeep handler file-claim by body\n"

// newKeepRig prepares a box with an empty store.
func newKeepRig(t *testing.T, cores float64, work func(uint64, string) time.Duration, lines string) (x *rig, dir string) {
	t.Helper()
	x = newRig(t, cores, work, lines)
	dir = filepath.Join(x.box.Dir, "keep")
	x.box.Conf = strings.ReplaceAll(x.box.Conf, "KEEP", dir)
	if out, err := exec.Command(binary, "keep", "init", "--box", "n1", dir).CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return x, dir
}

// TestKeptOverKills has boxes killed and drained under claims that are repeated over both fronts, under new ids: none runs twice, and
// who repeats a served one gets the first answer.
func TestKeptOverKills(t *testing.T) {
	const boxes = 3
	for i := range boxes {
		t.Run(fmt.Sprint("box ", i), func(t *testing.T) {
			t.Parallel()
			keptOverKills(t, (*keepKills+boxes-1-i)/boxes, uint64(i))
		})
	}
}

func keptOverKills(t *testing.T, kills int, seed uint64) {
	x, dir := newKeepRig(t, 2, everyReq(4*time.Millisecond), keeps)
	r := rand.New(rand.NewPCG(seed, 11))
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 12, Repeats: 3, Late: 0.4, Pause: 3 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 4}
	fc, jp := fake.NewFastCGIClient(x.box.Listen), fake.NewAJPClient(x.front)
	defer fc.Close()
	defer jp.Close()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	x.start()
	go func() {
		defer close(done)
		load.Run(ctx, seed, func(n uint64) fake.Client {
			if n>>32%2 == 0 {
				return fc
			}
			return jp
		})
	}()
	drains := 0
	for range kills {
		time.Sleep(time.Duration(30+r.IntN(200)) * time.Millisecond)
		var err error
		if r.IntN(6) == 0 {
			drains++
			err = x.box.Drain()
		} else {
			err = x.box.Kill()
		}
		if err != nil {
			t.Fatal(err, x.box.Log())
		}
		x.start()
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	<-done
	if err := x.box.Drain(); err != nil {
		t.Fatal(err)
	}
	sums, wrong := load.Judge(x.p.Effects())
	for _, w := range wrong {
		t.Error(w)
	}
	t.Logf("%d kills, %d of them drains: %+v", kills, drains, sums)
	if sums.Served < 20*kills || sums.Answers < 2*sums.Served || sums.Interrupted == 0 {
		t.Error("too little was asked to tell anything")
	}
	out, err := exec.Command(binary, "keep", "check", "--conf", filepath.Join(x.box.Dir, "frosthub.conf"), dir).CombinedOutput()
	if err != nil || !strings.Contains(string(out), fmt.Sprintf("%d lives", kills+1)) {
		t.Error(string(out), err)
	}
	if out, err := exec.Command(binary, "figures", x.path).CombinedOutput(); err != nil {
		t.Error(string(out), err)
	}
}

// inProcess has a backend in this process keep its store on a stand-in disk.
func inProcess(t *testing.T, p *fake.Processor, disk *fake.Disk, by backend.KeyPart, cores int) (b *backend.Backend, address string) {
	t.Helper()
	address, err := harness.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	box := harness.Process{Listen: address, Processor: p.Address(), StopMS: 1000, ProcessorCores: cores}
	text, err := box.Config()
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
		cfg.Idempotency = backend.IdempotencyConfig{Dir: t.TempDir(), Handlers: map[string][]backend.KeyPart{"file-claim": {by}}, Disk: disk}
	}
	b = backend.New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := b.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-ended })
	ready(t, address)
	return b, address
}

// ready waits until a box at that address runs reqs.
func ready(t *testing.T, address string) {
	t.Helper()
	a := fake.NewFastCGIClient(address)
	defer a.Close()
	for i, end := uint64(0), time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		req := fake.Request{ID: 1<<60 + i, Handler: "file-claim", Start: time.Now().UnixMilli(), Body: fmt.Sprint("ready", i), CostMS: 1}
		if a.Send(&req, time.Second) == fake.Served {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("it does not serve")
}

// TestKeepStall: a disk that stands still for two seconds at 110% of capacity costs service, and no rule: each req gets its one answer
// in its time, nothing runs twice, and replayable ones go on.
func TestKeepStall(t *testing.T) {
	p, err := fake.NewProcessor(2, everyReq(8*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	disk := fake.NewDisk()
	var stall sync.Once
	var mu sync.Mutex
	var from time.Time
	disk.Slow = func(what string, n int) {
		if n > 200 && what == "fsync" {
			stall.Do(func() {
				mu.Lock()
				from = time.Now()
				mu.Unlock()
				time.Sleep(2 * time.Second)
			})
		}
	}
	_, address := inProcess(t, p, disk, backend.KeyPartID, 2)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	a := fake.NewFastCGIClient(address)
	defer a.Close()
	tally := fake.NewTally()
	stream := fake.OpenLoad{
		Rate: 1.1 * 250, Handlers: []string{"status", "file-claim"}, CostMS: 8, Target: time.Second,
		Timeout: 3100 * time.Millisecond, Value: map[string]float64{"status": 1, "file-claim": 3},
	}
	var during, claims int
	share := stream.Run(ctx, 1, tally, func(id uint64) fake.Client { return a })
	mu.Lock()
	defer mu.Unlock()
	if from.IsZero() {
		t.Fatal("the disk never stood still")
	}
	for id, h := range p.Handlers() {
		if p.Runs()[id] > 1 {
			t.Errorf("%016x ran twice", id)
		}
		if h == "status" {
			during++
		} else {
			claims++
		}
	}
	t.Logf("service %.3f; served %d, refused %d, failed %d; begun %d replayable and %d guarded", share, tally.Count(fake.Served),
		tally.Count(fake.Rejected), tally.Count(fake.Failed), during, claims)
	for _, bad := range []fake.Outcome{fake.Sent, fake.NotSent, fake.Wrong} {
		if n := tally.Count(bad); n > 0 {
			t.Errorf("%d reqs: %s", n, bad)
		}
	}
	if during < 200 || claims < 50 {
		t.Error("too little was run")
	}
}

// TestKeepFlat: over ten times the bound of keys, memory, keys and disk stay within their bounds.
func TestKeepFlat(t *testing.T) {
	x, dir := newKeepRig(t, 8, everyReq(100*time.Microsecond), keeps+"keep entries 400\nkeep bytes 20000\nkeep lifetime 1s\nkeep horizon 2s\nkeep gather 50us\n")
	x.start()
	ready(t, x.box.Listen)
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 24, Keys: 180, Pause: 20 * time.Millisecond, Timeout: 3 * time.Second, CostMS: 0.1, Padding: 100}
	a := fake.NewFastCGIClient(x.box.Listen)
	defer a.Close()
	load.Run(t.Context(), 1, func(uint64) fake.Client { return a })
	sums, wrong := load.Judge(x.p.Effects())
	for _, w := range wrong {
		t.Error(w)
	}
	if err := x.box.Drain(); err != nil {
		t.Fatal(err)
	}
	var size int64
	d := wal.DirDisk(dir)
	names, err := d.Names()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		b, _ := d.Read(n)
		size += int64(len(b))
	}
	t.Logf("%+v; %d files, %d bytes on the disk, %d KB of memory", sums, len(names), size, x.box.MaxResident())
	if sums.Served < 10*400 || size > 400_000 || len(names) > 70 {
		t.Error("too little was kept, or too much is still there")
	}
}

// TestKeepCost measures what keeping costs: time on cores a req, rate, latency, commits a req; off, on, and with a disk that takes
// 5 ms; on a processor with two cores that are never idle, and with 32 runs at a time.
func TestKeepCost(t *testing.T) {
	if *keepPairs == 0 {
		t.Skip("asked for by -keeppairs")
	}
	type figure struct {
		cpu, rate, commits float64
		p50, p99           time.Duration
	}
	for _, c := range []struct {
		name  string
		cores int
		work  time.Duration
	}{{"two cores, 4 ms", 2, 4 * time.Millisecond}, {"32 cores, 10 ms", 32, 10 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			load := func(address string, p *fake.Processor) (float64, *hdrhistogram.Histogram) {
				h := hdrhistogram.New(1, 10_000_000, 3)
				var mu sync.Mutex
				l := &harness.ClaimLoad{
					Handler: "file-claim", Callers: 32, Timeout: 3 * time.Second, CostMS: c.work.Seconds() * 1000,
					OnLatency: func(d time.Duration) {
						mu.Lock()
						defer mu.Unlock()
						_ = h.RecordValue(d.Microseconds())
					},
				}
				ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
				defer stop()
				a := fake.NewFastCGIClient(address)
				defer a.Close()
				l.Run(ctx, 1, func(uint64) fake.Client { return a })
				s, _ := l.Judge(p.Effects())
				return float64(s.Served), h
			}
			quantiles := func(f *figure, h *hdrhistogram.Histogram) {
				f.p50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
				f.p99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
			}
			measure := func(conf string) (f figure) {
				x, _ := newKeepRig(t, float64(c.cores), everyReq(c.work), conf+"admin listen ADMIN\n")
				admin, err := harness.FreeAddress()
				if err != nil {
					t.Fatal(err)
				}
				x.box.Conf, x.box.ProcessorCores = strings.ReplaceAll(x.box.Conf, "ADMIN", admin), c.cores
				x.start()
				ready(t, x.box.Listen)
				before, err := x.box.CPU()
				if err != nil {
					t.Fatal(err)
				}
				n, h := load(x.box.Listen, x.p)
				after, err := x.box.CPU()
				if err != nil {
					t.Fatal(err)
				}
				var k backend.IdempotencyStats
				if r, err := http.Get("http://" + admin + "/keep"); err == nil {
					_ = json.NewDecoder(r.Body).Decode(&k)
					_ = r.Body.Close()
				}
				x.end()
				f = figure{cpu: float64((after - before).Microseconds()) / n, rate: n / 3, commits: float64(k.Log.Commits) / n}
				quantiles(&f, h)
				return f
			}
			slow := func() (f figure) {
				p, err := fake.NewProcessor(float64(c.cores), everyReq(c.work))
				if err != nil {
					t.Fatal(err)
				}
				defer p.Close()
				disk := fake.NewDisk()
				disk.Slow = func(what string, _ int) {
					if what == "fsync" {
						time.Sleep(5 * time.Millisecond)
					}
				}
				b, address := inProcess(t, p, disk, backend.KeyPartBody, c.cores)
				n, h := load(address, p)
				f = figure{rate: n / 3, commits: float64(b.IdempotencyStats().Log.Commits) / n}
				quantiles(&f, h)
				return f
			}
			var ratios, rates []float64
			for range *keepPairs {
				const guard = "keep dir KEEP\nkeep handler file-claim by body\n"
				off, on, few, at5 := measure(""), measure(guard), measure(guard+"keep gather 10ms\n"), slow()
				t.Logf("off %+v\non  %+v\non, commits 10 ms apart %+v\n5ms %+v\ncpu %.3f rate %.3f", off, on, few, at5, on.cpu/off.cpu, on.rate/off.rate)
				ratios, rates = append(ratios, on.cpu/off.cpu), append(rates, on.rate/off.rate)
			}
			slices.Sort(ratios)
			slices.Sort(rates)
			t.Logf("cpu ratios %.3f, median %.3f; rates %.3f, median %.3f", ratios, ratios[len(ratios)/2], rates, rates[len(rates)/2])
		})
	}
}

var keepKeys = flag.Int("keepkeys", 20000, "keys in the store of a start; 1000000 outside CI")

// fillStore has a store hold what ran with so many keys, the newest of them as results and the rest as prints.
func fillStore(t *testing.T, dir string, entries, keys, segment int) {
	t.Helper()
	bounds := idempotency.Config{
		MaxEntries: entries, MaxBytes: entries*100 + 1<<20, MaxResultBytes: 1 << 16, ResultTTL: time.Hour,
		RetryHorizon: 24 * time.Hour, MaxSegments: 1000, KeysPerSegment: segment, SegmentBytes: 64 << 20,
	}
	s, disk := idempotency.New(bounds), wal.DirDisk(dir)
	now := time.Duration(time.Now().UnixNano())
	w, _, err := wal.Open(disk, "n1", s, now, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range keys {
		key := idempotency.Key{0: 1, 8: byte(i >> 16), 9: byte(i >> 8), 10: byte(i)}
		s.Reserve(now, 0, key, "file-claim", uint64(i+1))
		s.Finish(now, key, idempotency.EntryResult, []byte("a result of some bytes"))
		if i%1000 == 0 || i == keys-1 {
			seq, err := w.Commit(s.TakeEntries())
			if err != nil {
				t.Fatal(err)
			}
			s.MarkDurable(seq)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestKeepStart measures how soon a box with an empty and a small log has read it, beside an earlier program, and what reading a log takes that holds ten
// and twenty times as many keys as the box is to keep.
func TestKeepStart(t *testing.T) {
	if *keepPairs == 0 || *baseline == "" {
		t.Skip("asked for by -keeppairs and -baseline")
	}
	const entries = 20000
	conf := keeps + fmt.Sprintf("keep entries %d\nkeep bytes %d\n", entries, entries*100+1<<20)
	start := func(program string, keys int) (time.Duration, int) {
		x, dir := newKeepRig(t, 2, everyReq(time.Millisecond), conf)
		if keys > 0 {
			fillStore(t, dir, max(entries, keys), keys, entries/8)
		}
		x.box.Binary = program
		began := time.Now()
		if err := x.box.Launch(); err != nil {
			t.Fatal(err)
		}
		for !strings.Contains(x.box.Log(), "took=") {
			if time.Since(began) > 20*time.Second {
				t.Fatal(x.box.Log())
			}
			time.Sleep(100 * time.Microsecond)
		}
		took := time.Since(began)
		kb, err := x.box.PeakResident()
		if err != nil {
			t.Fatal(err)
		}
		if err := x.box.Drain(); err != nil {
			t.Fatal(err)
		}
		return took, kb / 1024
	}
	for _, keys := range []int{0, 500} {
		var ratios []float64
		for range *keepPairs {
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
func TestKeepScale(t *testing.T) {
	x, dir := newKeepRig(t, 2, everyReq(time.Millisecond), keeps+fmt.Sprintf("keep entries %d\nkeep bytes %d\n", *keepKeys+1000, *keepKeys*100+1<<20))
	fillStore(t, dir, *keepKeys+1000, *keepKeys, *keepKeys/8+16)
	x.start()
	defer x.end()
	began := time.Now()
	a := fake.NewFastCGIClient(x.box.Listen)
	defer a.Close()
	first, refused := map[string]time.Duration{}, 0
	for n := uint64(1); len(first) < 2; n++ {
		if time.Since(began) > time.Minute {
			t.Fatal("not served: ", first, x.box.Log())
		}
		for i, handler := range []string{"status", "file-claim"} {
			if first[handler] > 0 {
				continue
			}
			req := fake.Request{ID: n<<8 + uint64(i) + 1, Handler: handler, Start: time.Now().UnixMilli(), Body: "new", CostMS: 1}
			switch a.Send(&req, time.Second) {
			case fake.Served:
				first[handler] = time.Since(began)
			case fake.Rejected:
				if first["status"] > 0 {
					refused++
				}
			}
		}
	}
	t.Logf("%d keys: replayable served after %s, guarded after %s; %d guarded refused in between", *keepKeys, first["status"], first["file-claim"],
		refused)
	if !strings.Contains(x.box.Log(), fmt.Sprintf("keys=%d ", *keepKeys)) {
		t.Error(x.box.Log())
	}
	if first["status"] > time.Second {
		t.Error("replayable reqs had to wait")
	}
}
