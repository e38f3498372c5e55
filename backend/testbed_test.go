package backend

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/wal"
)

const (
	quietPeriod = 40 * time.Millisecond // a step is over when nothing was printed for this long
	stepTimeout = 5 * time.Second       // for the output expected after a step; long, since test machines stall at times
)

// testbed runs a backend with fakes of all processes that it communicates with. Each party (a fake, a client or the
// backend itself) prints the texts that it receives, to be compared with a trace or awaited by a test.
type testbed struct {
	t         *testing.T
	mu        sync.Mutex
	printed   []string // "party: text", in the order in which each party received the texts
	printedAt time.Time

	backend     *Backend
	options     map[string]string // of the backend's configuration, see configText
	shutDown    context.CancelFunc
	incarnation atomic.Int32  // of the backend
	ownerGate   chan struct{} // while it is open, the owner is blocked

	processor   *fakeServer
	upstream    *fakeServer
	fakeServers []*fakeServer   // processor and upstream, after those that moveStep has replaced
	noticeCount int             // notices sent by the processor
	knownIDs    map[string]bool // by request id; true if the run was begun, false if the processor rejects the id
	control     net.PacketConn

	clients       map[string]*clientSocket
	listenAddress string
	useAJP        bool // clients use AJP
	ajpAddress    string

	disk     *fake.Disk  // of the store
	diskGate *sync.Mutex // held while the disk stalls
}

// newTestbed returns a testbed whose backend is not started yet.
func newTestbed(t *testing.T) *testbed {
	return &testbed{t: t, clients: map[string]*clientSocket{}, knownIDs: map[string]bool{}}
}

// print records a text that a party prints.
func (bed *testbed) print(party, format string, args ...any) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.printed = append(bed.printed, party+": "+fmt.Sprintf(format, args...))
	bed.printedAt = time.Now()
}

// printer returns a function that prints for a party until the present backend crashes.
func (bed *testbed) printer(party string) func(format string, args ...any) {
	incarnation := bed.incarnation.Load()
	return func(format string, args ...any) {
		if incarnation == bed.incarnation.Load() {
			bed.print(party, format, args...)
		}
	}
}

// lookUpID reports whether the run of an id was begun, and whether the processor rejects the id. If begins is set, the
// run begins now.
func (bed *testbed) lookUpID(id string, begins bool) (begun, rejected bool) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	if begins {
		bed.knownIDs[id] = true
	}
	begun, known := bed.knownIDs[id]
	return begun, known && !begun
}

// awaitQuiet waits until the expected number of lines was printed and no more follow, and returns them sorted by party.
// A negative number means that the expected number is unknown, because the trace is being written; it then waits
// longer.
func (bed *testbed) awaitQuiet(expected int) []string {
	start := time.Now()
	period := quietPeriod
	if expected < 0 {
		period *= 6
	}
	bed.mu.Lock()
	bed.printedAt = start
	bed.mu.Unlock()
	for {
		time.Sleep(quietPeriod / 8)
		if lines, quiet := bed.takeIfQuiet(expected, start, period); quiet {
			return lines
		}
	}
}

// takeIfQuiet returns the printed lines, sorted by party, if none was printed for the given period and the expected number
// was printed or stepTimeout has passed since start.
func (bed *testbed) takeIfQuiet(expected int, start time.Time, period time.Duration) (lines []string, quiet bool) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	if time.Since(bed.printedAt) < period {
		return nil, false
	}
	if len(bed.printed) < expected && time.Since(start) <= stepTimeout {
		return nil, false
	}
	lines = bed.printed
	bed.printed = nil
	slices.SortStableFunc(lines, func(x, y string) int {
		return strings.Compare(strings.SplitN(x, ":", 2)[0], strings.SplitN(y, ":", 2)[0])
	})
	return lines, true
}

const testConfig = `{"name":"n3","listen":"%s","processor":"%s","control":"%s","backend":"%s","seed":"8c1f30d27a5be964",
"stop_ms":%s,"limits":{"cores":1.0,"memory_mb":%s,"sockets":%s},"settings":{"servers":2,"tickUs":1000,
"classes":[{"name":"status","credit":1,"giveUpUs":%s,"goalTimeUs":%s,"idempotency":"%s"},
{"name":"file-claim","credit":3,"giveUpUs":1500000,"goalTimeUs":900000,"idempotency":"%s","windowUs":60000000}],
"tenants":[{"name":"north","quotaPerS":%s},{"name":"south","quotaPerS":50}],
"familyInfo":{"cores":2,"downstream":"tier","halt":"%s","keyKb":10,"memoryKb":100000,"runFactor":8,"senders":2,
"shareForUs":800000,"ownStats":["cpu_busy","runnable","mem_used","sockets"],"signal":"allowance","tellsGone":true},
"invariants":{"answerSlackUs":80000,"drainGraceUs":%s,"fallMultiple":8},
"limits":{"maxRetryAfterUs":1000000,"retryAfter":true}}}`

// configText returns a configuration with the addresses of the current fakes.
func (bed *testbed) configText() []byte {
	option := func(name, defaultValue string) string {
		if value, ok := bed.options[name]; ok {
			return value
		}
		return defaultValue
	}
	upstream := bed.upstream.listener.Addr().String()
	if bed.options["last"] != "" {
		upstream = ""
	}
	return fmt.Appendf(nil, testConfig,
		bed.listenAddress, bed.processor.listener.Addr(), bed.control.LocalAddr(), upstream,
		option("stop_ms", "3000"),
		option("memory_mb", "192"),
		option("sockets", "200"),
		option("timeout", "1500000"),
		option("target", "900000"),
		option("status", "retryable"),
		option("claim", "fragile"),
		option("north", "1000"),
		option("halt", "discard"),
		option("grace", "300000"))
}

func (bed *testbed) config() Config {
	cfg, err := ParseConfig(bed.configText())
	if err != nil {
		bed.t.Fatal(err)
	}
	return cfg
}

// startFakes starts new fakes of the processor, the upstream tier and the control plane. Their party names begin with
// prefix.
func (bed *testbed) startFakes(prefix string) {
	bed.processor = newFakeServer(bed, prefix+"processor")
	bed.upstream = newFakeServer(bed, prefix+"tier")
	bed.fakeServers = append(bed.fakeServers, bed.processor, bed.upstream)
	control, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.control = control
	bed.t.Cleanup(func() { _ = control.Close() })
	go printReports(control, bed.printer(prefix+"control"))
}

// printReports prints each report to the control plane that differs from the one before.
func printReports(control net.PacketConn, print func(format string, args ...any)) {
	buf := make([]byte, 100)
	last := ""
	for {
		n, _, err := control.ReadFrom(buf)
		if err != nil {
			return
		}
		if text := string(buf[:n]); text != last {
			last = text
			print("%s", text)
		}
	}
}

// useDisk makes the next backend keep its store on the given disk.
func (bed *testbed) useDisk(disk *fake.Disk) {
	gate := &sync.Mutex{}
	bed.disk = disk
	bed.diskGate = gate
	disk.BeforeOperation = func(string, int) {
		gate.Lock() // blocks while the disk stalls
		defer gate.Unlock()
	}
}

// crash ends the backend, discards everything that was not durable on its disk, and starts another backend in its
// place.
func (bed *testbed) crash() {
	bed.incarnation.Add(1)
	bed.disk.CutPower()
	after := bed.disk.AfterPowerLoss(rand.New(rand.NewPCG(1, 1)))
	bed.shutDown()
	for _, server := range bed.fakeServers {
		server.stop()
	}
	for _, client := range bed.clients {
		_ = client.conn.Close()
	}
	bed.mu.Lock()
	bed.printed = nil
	bed.noticeCount = 0
	bed.clients = map[string]*clientSocket{}
	bed.mu.Unlock()
	bed.useDisk(after)
	bed.start(bed.options)
}

// start starts a backend. Options are those of configText, "last" for a backend of the last tier, "keep" for one with
// an idempotency store, and "ajp" and "secret" for one that serves AJP.
func (bed *testbed) start(options map[string]string) {
	bed.options = options
	if options["keep"] != "" && bed.disk == nil {
		bed.useDisk(fake.NewDisk())
		if err := wal.Init(bed.disk, "n3", time.Duration(time.Now().UnixNano()), 1); err != nil {
			bed.t.Fatal(err)
		}
	}
	bed.startFakes("")
	bed.listenAddress = bed.freeAddress()
	cfg := bed.config()
	if bed.disk != nil {
		cfg.Idempotency = IdempotencyConfig{
			Dir:            bed.t.TempDir(),
			Handlers:       map[string][]KeyPart{"file-claim": {KeyPartBody}},
			CommitInterval: time.Microsecond,
			Disk:           bed.disk,
		}
	}
	bed.useAJP = bed.useAJP || options["ajp"] != ""
	if bed.useAJP {
		bed.ajpAddress = bed.freeAddress()
		cfg.AJP.Secret = options["secret"]
		cfg.AJP.Listen = bed.ajpAddress
	}
	ctx, cancel := context.WithCancel(context.Background())
	bed.shutDown = cancel
	b := New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	bed.backend = b
	print := bed.printer("backend")
	go func() { print("ended: %v", b.Serve(ctx)) }()
	bed.t.Cleanup(func() {
		cancel()
		for _, server := range bed.fakeServers {
			server.stop()
		}
		for _, client := range bed.clients {
			_ = client.conn.Close()
		}
	})
}

func (bed *testbed) freeAddress() string {
	bed.t.Helper()
	address, err := harness.FreeAddress()
	if err != nil {
		bed.t.Fatal(err)
	}
	return address
}
