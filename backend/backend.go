// Package backend serves requests on network sockets. It reads them from its clients, front ends that speak FastCGI or
// AJP, and passes them to package overload, which decides whether and when each of them runs. The processor runs the
// requests, the backend makes the calls of those runs to the upstream tier, and each request is answered exactly once.
//
// New creates a Backend and Serve runs it; Main wraps both into a process with signal handling and a configuration
// file. One goroutine, the owner, which runs Serve, owns all state. It works in turns. Each turn reads the clocks once,
// handles the input and the timers that are due, passes their events to the overload controller as one batch, carries
// out the controller's actions, and flushes the buffered output. Nothing in a turn blocks. Other goroutines communicate
// with the owner only through its queue.
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

	// Derived from the configuration.
	handlers      []handler
	customerNames []string // in the order of the settings
	canCancel     bool     // the processor accepts interrupts of runs

	// The clock, the overload controller, the requests and their accounts.
	ownerClock
	controllerDriver
	requestTable
	requestAccounting
	advice      loadAdvice
	process     lifecycle.Process
	drain       drainState
	nextSweepAt time.Duration // when the next sweep for idle and expired state is due

	// Components that communicate with other processes or store results.
	frontend  frontend
	processor processorLink
	upstream  upstream
	reporter  controlReporter
	results   resultCache
	guard     idempotencyGuard
	cluster   cluster
	observers [3]requestObserver // notified when requests end, in this order

	stats         Counters
	connsRejected atomic.Int64 // connections closed for lack of room; also written by the accepting goroutine
	logLimits     map[string]*logthrottle.Limiter
	scratch       []byte // reused to encode messages before they are copied into a connection's buffer

	ownerCalls chan func()
	done       chan struct{} // closed when Serve has returned
}

// handler is the configuration of one handler.
type handler struct {
	name           string
	replayable     bool          // a request may safely run more than once
	deduplicated   bool          // its requests carry a key that identifies repeats; each key runs once
	repeatWindow   time.Duration // how long after the original a repeat is recognized
	clientTimeout  time.Duration // how long its clients wait for a response
	responseTarget time.Duration // time from arrival after which a result has little value
	weight         float64       // its value relative to other handlers
}

// New returns a backend with the given configuration. It opens no files and no sockets; Serve does. If log is nil, the
// backend logs to slog.Default.
func New(cfg Config, log *slog.Logger) *Backend {
	if log == nil {
		log = slog.Default()
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < uint64(cfg.Limits.Sockets) {
		cfg.Limits.Sockets = int(files.Cur) // the resource limit of the process is below the configured one
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

// applySettings initializes the fields that derive from the settings of the overload controller, and removes from the
// settings what this backend can't do.
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

// newHandler returns the configuration of a handler with the given settings of the overload controller.
func newHandler(settings *overload.Handler) handler {
	clientTimeout, responseTarget := settings.TimeLimits()
	return handler{
		name:           settings.Name,
		replayable:     settings.Idempotency == overload.Replayable,
		deduplicated:   settings.Idempotency == overload.Deduplicated,
		repeatWindow:   settings.Window,
		clientTimeout:  clientTimeout,
		responseTarget: responseTarget,
		weight:         settings.Value.Or(0),
	}
}

// withoutSkipValues returns a copy of the handler settings whose SkipValue is 0. A run can't skip its call here: the
// processor has no command for that.
func withoutSkipValues(handlers []overload.Handler) []overload.Handler {
	handlers = slices.Clone(handlers)
	for i := range handlers {
		handlers[i].SkipValue = 0
	}
	return handlers
}

// handlerIndex returns the index of the handler with the given name, or -1 if there is none.
func (b *Backend) handlerIndex(name string) int {
	return slices.IndexFunc(b.handlers, func(h handler) bool { return h.name == name })
}

// Logger returns the logger of the backend.
func (b *Backend) Logger() *slog.Logger { return b.log }

// Reload applies the addresses of another configuration to new work: those of the processor, the upstream tier, the
// control plane and the other nodes of the cluster. It also applies the stop timeout. Work in flight at the old
// addresses may finish, and a drain in progress keeps its deadlines. All other changes take effect only in a new
// process. Reload returns without waiting for the change; it may be called from any goroutine.
func (b *Backend) Reload(cfg Config) { b.loop.Post(func() { b.reload(cfg) }) }

// reload carries out Reload on the owner goroutine.
func (b *Backend) reload(cfg Config) {
	b.stats.Reloads++
	if cfg.ControlPlane != b.cfg.ControlPlane {
		if err := b.reporter.open(cfg.ControlPlane); err != nil { // not a valid address
			b.logLimited("control plane unreachable", "reason", err)
		}
	}
	b.cfg.Processor = cfg.Processor
	b.cfg.Upstream = cfg.Upstream
	b.cfg.ControlPlane = cfg.ControlPlane
	b.cfg.StopTimeout = cfg.StopTimeout
	b.processor.reconfigure(cfg.Processor)
	if cfg.usesAJPUpstream() == b.cfg.usesAJPUpstream() { // changing the protocol takes a new process
		b.cfg.AJPUpstream = cfg.AJPUpstream
		b.upstream.reconfigure(&cfg)
	}
	b.cluster.reconfigure(cfg.Cluster)
	b.log.Info("configuration reloaded", "processor", cfg.Processor, "upstream", cfg.Upstream,
		"control_plane", cfg.ControlPlane)
}

// runOnOwner has the owner goroutine call f between two turns, and returns once f has. After Serve has returned,
// runOnOwner calls f itself.
func (b *Backend) runOnOwner(f func()) {
	called := make(chan struct{})
	select {
	case b.ownerCalls <- func() { f(); close(called) }:
		<-called
	case <-b.done:
		f()
	}
}

// memoryShare returns the given share of the memory limit in bytes, or +Inf if there is no limit.
func (b *Backend) memoryShare(share float64) float64 {
	if b.cfg.Limits.MemoryMB <= 0 {
		return math.Inf(1)
	}
	return share * b.cfg.Limits.MemoryMB * (1 << 20)
}
