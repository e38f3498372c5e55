// Package backend serves requests on real sockets. It reads them from its clients, front ends that speak FastCGI or
// AJP, lets package overload decide which of them run and when, has the processor run them, makes the calls of their
// runs to the next tier, and answers each request exactly once.
//
// A Backend is made by New and runs in Serve; Main wraps both into a process with its signals and its configuration.
// One goroutine, that of Serve, owns all state. It works in turns: each takes the time once, handles all that has
// happened, hands it to the overload controller as one batch, carries out the controller's actions, and sends what was
// written. Nothing in a turn blocks. Other goroutines reach the owner through its queue alone.
package backend

import (
	"frosthub/internal/conn"
	"frosthub/internal/logthrottle"
	"frosthub/lifecycle"
	"frosthub/overload"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// defaultClientTimeout is how long the clients of a handler wait where the configuration does not say. The overload
// controller takes the same.
const defaultClientTimeout = 10 * time.Second

// Backend is one backend. Its exported methods may be called from any goroutine; all its fields belong to the goroutine
// that runs Serve.
type Backend struct {
	cfg       Config
	log       *slog.Logger
	loop      *conn.Loop
	listeners []*conn.Listener

	// What the configuration says of the work.
	handlers  []handler
	customers []string // names, in the order of the settings
	canCancel bool     // the processor takes interrupts of runs

	// The core: the time, the decisions, the requests and their accounts.
	ownerClock
	controllerDriver
	requestTable
	requestAccounting
	advice  loadAdvice
	process lifecycle.Process
	drain   drainState
	sweepAt time.Duration // when idle and expired things are looked for next

	// The parts at its edges.
	frontend  frontend
	processor processorLink
	upstream  upstream
	reporter  controlReporter
	results   resultCache
	guard     idempotencyGuard
	cluster   cluster

	stats         Counters
	connsRejected atomic.Int64 // connections for which there was no room; also written by the accepting goroutine
	logLimits     map[string]*logthrottle.Limiter
	scratch       []byte // for messages on their way into a connection's buffer

	ownerCalls chan func()
	done       chan struct{} // closed when Serve has returned
}

// handler is what the configuration says of one handler.
type handler struct {
	name       string
	replayable bool          // a request may run again without harm
	uniqued    bool          // its requests bring a key by which a repeat is known, and run once
	window     time.Duration // in which such a repeat may come
	timeout    time.Duration // how long its clients wait
	value      float64       // its weight against other handlers
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
		ownerClock:   ownerClock{start: time.Now().Add(-processorAgeMax)},
		requestTable: requestTable{requests: map[uint64]*request{}},
		advice:       loadAdvice{healthy: true},
		logLimits:    map[string]*logthrottle.Limiter{},
		ownerCalls:   make(chan func()),
		done:         make(chan struct{}),
	}
	part, _ := cfg.Settings["backend"].(map[string]any)
	b.canCancel = part["halt"] != nil && part["halt"] != "off"
	rules, _ := b.cfg.Settings["rules"].(map[string]any)
	b.drain.grace, _ = rules["drain_grace"].(time.Duration)
	limits, _ := b.cfg.Settings["limits"].(map[string]any)
	if advice, _ := limits["retry_after"].(bool); advice {
		b.drain.retryAfter, _ = limits["max_retry_after"].(time.Duration)
	}
	b.cfg.Settings = b.guard.init(b)
	b.fit()
	list, _ := b.cfg.Settings["handlers"].([]any)
	for _, v := range list {
		m, _ := v.(map[string]any)
		name, _ := m["name"].(string)
		timeout, ok := m["client_timeout"].(time.Duration)
		if !ok {
			timeout = defaultClientTimeout
		}
		value, _ := m["value"].(float64)
		window, _ := m["window"].(time.Duration)
		b.handlers = append(b.handlers, handler{
			name: name, replayable: m["repeats"] == "replayable",
			uniqued: m["repeats"] == "uniqued", window: window, timeout: timeout, value: value,
		})
	}
	customers, _ := b.cfg.Settings["customers"].([]any)
	for _, v := range customers {
		m, _ := v.(map[string]any)
		name, _ := m["name"].(string)
		b.customers = append(b.customers, name)
	}
	b.cluster.init(b)
	b.frontend.init(b)
	b.processor.init(b)
	if cfg.callsOverAJP() {
		b.upstream = newAJPUpstream(b)
	} else {
		b.upstream = newProxyUpstream(b)
	}
	b.results.init(b)
	return b
}

// fit makes the settings those of this backend alone, and of what its protocols can say: the processor has no word by
// which a run goes on without its call, so none of that is worth anything here.
func (b *Backend) fit() {
	settings := maps.Clone(b.cfg.Settings)
	if part, ok := settings["backend"].(map[string]any); ok {
		part = maps.Clone(part)
		delete(part, "handler_skip_value")
		settings["backend"] = part
	}
	b.cfg.Settings = settings
}

// handlerOf returns the index of the handler of that name, -1 if there is none.
func (b *Backend) handlerOf(name string) int {
	return slices.IndexFunc(b.handlers, func(h handler) bool { return h.name == name })
}

// Log returns the logger of the backend.
func (b *Backend) Log() *slog.Logger { return b.log }

// Reload has new work use the addresses of another configuration: those of the processor, the next tier, the control
// plane and the other nodes of the cluster. It also takes the time to stop from there. Work in flight at the old
// addresses may finish, and a drain in progress keeps its deadlines. All other changes need a new process. Reload
// returns at once; it may be called from any goroutine.
func (b *Backend) Reload(cfg Config) { b.loop.Post(func() { b.reload(cfg) }) }

func (b *Backend) reload(cfg Config) {
	b.stats.Reloads++
	if cfg.ControlPlane != b.cfg.ControlPlane {
		if err := b.reporter.open(cfg.ControlPlane); err != nil { // not an address
			b.logLimited("control plane not reached", "why", err)
		}
	}
	b.cfg.Processor = cfg.Processor
	b.cfg.Upstream = cfg.Upstream
	b.cfg.ControlPlane = cfg.ControlPlane
	b.cfg.StopTimeout = cfg.StopTimeout
	b.processor.changeAddress(cfg.Processor)
	if cfg.callsOverAJP() == b.cfg.callsOverAJP() { // else it takes a new process
		b.cfg.AJPUpstream = cfg.AJPUpstream
		b.upstream.reconfigure(&cfg)
	}
	b.cluster.change(cfg.Cluster)
	b.log.Info("configuration read anew", "processor", cfg.Processor, "next_tier", cfg.Upstream, "control", cfg.ControlPlane)
}

// onOwner has the owner call f between two turns, and waits for it. After Serve has returned, f is called at once.
func (b *Backend) onOwner(f func()) {
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

// processorUp makes the controller, once the processor is up. Its first batch brings the health, the load signal and the
// first timer event.
func (b *Backend) processorUp(cold bool, started time.Duration) {
	s := b.cfg.Settings
	if part, ok := s["backend"].(map[string]any); ok {
		part["cold"] = cold
	}
	b.controller = overload.New(b.cfg.Seed, s, started)
	b.log.Info("processor is up", "cold", cold, "age", (b.now - started).Round(time.Millisecond))
	b.timerEvent()
}
