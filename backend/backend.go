// Package backend serves requests on real sockets. It reads them from its clients, front ends that speak FastCGI or
// AJP, lets package overload decide which of them run and when, has the processor run them, makes the calls of their
// runs to the upstream tier, and answers each request exactly once.
//
// A Backend is made by New and runs in Serve; Main wraps both into a process with its signals and its configuration.
// One goroutine, that of Serve, owns all state. It works in turns: each takes the time once, handles all that has
// happened, hands it to the overload controller as one batch, carries out the controller's actions, and sends what was
// written. Nothing in a turn blocks. Other goroutines reach the owner through its queue alone.
package backend

import (
	"log/slog"
	"math"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"frosthub/internal/conn"
	"frosthub/internal/logthrottle"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// Backend serves the requests of one node. Its exported methods may be called from any goroutine; all its fields belong
// to the goroutine that runs Serve.
type Backend struct {
	cfg       Config
	log       *slog.Logger
	loop      *conn.Loop
	listeners []*conn.Listener

	// What the configuration says of the work.
	handlers      []handler
	customerNames []string // names, in the order of the settings
	canCancel     bool     // the processor takes interrupts of runs

	// The core: the time, the decisions, the requests and their accounts.
	ownerClock
	controllerDriver
	requestTable
	requestAccounting
	advice      loadAdvice
	process     lifecycle.Process
	drain       drainState
	nextSweepAt time.Duration // when idle and expired things are looked for next

	// The parts at its edges.
	frontend  frontend
	processor processorLink
	upstream  upstream
	reporter  controlReporter
	results   resultCache
	guard     idempotencyGuard
	cluster   cluster
	observers [3]requestObserver // the parts that follow the ends of requests, in order

	stats         Counters
	connsRejected atomic.Int64 // connections for which there was no room; also written by the accepting goroutine
	logLimits     map[string]*logthrottle.Limiter
	scratch       []byte // for messages on their way into a connection's buffer

	ownerCalls chan func()
	done       chan struct{} // closed when Serve has returned
}

// handler is what the configuration says of one handler.
type handler struct {
	name          string
	replayable    bool          // a request may run again without harm
	deduplicated  bool          // its requests bring a key by which a repeat is recognized, and run once
	repeatWindow  time.Duration // in which such a repeat may come
	clientTimeout time.Duration // how long its clients wait
	weight        float64       // its weight against other handlers
}

// New returns a backend for a configuration. It opens nothing: that is done by Serve. A nil log stands for
// slog.Default.
func New(cfg Config, log *slog.Logger) *Backend {
	if log == nil {
		log = slog.Default()
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < uint64(cfg.Limits.Sockets) {
		cfg.Limits.Sockets = int(files.Cur) // the process may hold fewer than it was told
	}
	b := &Backend{
		cfg:          cfg,
		log:          log,
		loop:         conn.NewLoop(),
		ownerClock:   ownerClock{origin: time.Now().Add(-maxProcessorAge)},
		requestTable: requestTable{requests: map[uint64]*request{}},
		advice:       loadAdvice{healthy: true},
		logLimits:    map[string]*logthrottle.Limiter{},
		ownerCalls:   make(chan func()),
		done:         make(chan struct{}),
	}
	b.applySettings()
	b.cluster.init(b)
	b.frontend.init(b)
	b.processor.init(b)
	if cfg.usesAJPUpstream() {
		b.upstream = newAJPUpstream(b)
	} else {
		b.upstream = newProxyUpstream(b)
	}
	b.results.init(b)
	b.registerObservers()
	return b
}

// readSettings takes over what the settings of the overload controller say of this backend, and adapts them to what it
// can do.
func (b *Backend) applySettings() {
	settings := &b.cfg.Settings
	b.canCancel = settings.Backend.Cancellation != overload.CancelOff
	b.drain.grace = settings.Rules.DrainGrace
	if settings.Limits.RetryAfter {
		b.drain.retryAfter = settings.Limits.MaxRetryAfter.Or(0)
	}
	settings.Handlers = withoutSkipValues(b.guard.init(b))
	for i := range settings.Handlers {
		b.handlers = append(b.handlers, newHandler(&settings.Handlers[i]))
	}
	for _, customer := range settings.Customers {
		b.customerNames = append(b.customerNames, customer.Name)
	}
}

func newHandler(settings *overload.Handler) handler {
	return handler{
		name:          settings.Name,
		replayable:    settings.Idempotency == overload.Replayable,
		deduplicated:  settings.Idempotency == overload.Deduplicated,
		repeatWindow:  settings.Window,
		clientTimeout: settings.ClientTimeout.Or(overload.DefaultClientTimeout),
		weight:        settings.Value.Or(0),
	}
}

// withoutSkipping returns the settings of the handlers without the value of runs that go on without their call: the
// processor has no command for that.
func withoutSkipValues(handlers []overload.Handler) []overload.Handler {
	handlers = slices.Clone(handlers)
	for i := range handlers {
		handlers[i].SkipValue = 0
	}
	return handlers
}

// handlerIndex returns the index of the handler of that name, -1 if there is none.
func (b *Backend) handlerIndex(name string) int {
	return slices.IndexFunc(b.handlers, func(h handler) bool { return h.name == name })
}

// Logger returns the logger of the backend.
func (b *Backend) Logger() *slog.Logger { return b.log }

// Reload has new work use the addresses of another configuration: those of the processor, the upstream tier, the control
// plane and the other nodes of the cluster. It also takes the time to stop from there. Work in flight at the old
// addresses may finish, and a drain in progress keeps its deadlines. All other changes need a new process. Reload
// returns at once; it may be called from any goroutine.
func (b *Backend) Reload(cfg Config) { b.loop.Post(func() { b.reload(cfg) }) }

func (b *Backend) reload(cfg Config) {
	b.stats.Reloads++
	if cfg.ControlPlane != b.cfg.ControlPlane {
		if err := b.reporter.open(cfg.ControlPlane); err != nil { // not an address
			b.logLimited("control plane unreachable", "reason", err)
		}
	}
	b.cfg.Processor = cfg.Processor
	b.cfg.Upstream = cfg.Upstream
	b.cfg.ControlPlane = cfg.ControlPlane
	b.cfg.StopTimeout = cfg.StopTimeout
	b.processor.reconfigure(cfg.Processor)
	if cfg.usesAJPUpstream() == b.cfg.usesAJPUpstream() { // else it takes a new process
		b.cfg.AJPUpstream = cfg.AJPUpstream
		b.upstream.reconfigure(&cfg)
	}
	b.cluster.reconfigure(cfg.Cluster)
	b.log.Info("configuration reloaded", "processor", cfg.Processor, "next_tier", cfg.Upstream, "control", cfg.ControlPlane)
}

// runOnOwner has the owner call f between two turns, and waits for it. After Serve has returned, f is called at once.
func (b *Backend) runOnOwner(f func()) {
	called := make(chan struct{})
	select {
	case b.ownerCalls <- func() { f(); close(called) }:
		<-called
	case <-b.done:
		f()
	}
}

// memoryShare returns that share of the memory limit in bytes, +Inf where there is no limit.
func (b *Backend) memoryShare(share float64) float64 {
	if b.cfg.Limits.MemoryMB <= 0 {
		return math.Inf(1)
	}
	return share * b.cfg.Limits.MemoryMB * (1 << 20)
}
