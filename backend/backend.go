// Package backend serves reqs of edge nodes on real sockets: it reads them, lets package overload decide, has
// the processor run them, makes their calls, and answers each once. One goroutine owns all state, in Serve.
package backend

import (
	"context"
	"errors"
	"frosthub/accounting"
	"frosthub/arrival"
	"frosthub/internal/conn"
	"frosthub/internal/faultinject"
	"frosthub/internal/invariant"
	"frosthub/internal/logthrottle"
	"frosthub/internal/statsfile"
	"frosthub/lifecycle"
	"frosthub/overload"
	"log/slog"
	"math"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	gaugeWait   = 10 * time.Millisecond  // for the gauges, then the last ones must do: short of a look
	tidyEvery   = 100 * time.Millisecond // between looks at idle connections
	outShare    = 0.2                    // of the memory limit, for answers that edge nodes leave
	spare       = 16                     // descriptors kept for the processor, calls, reports and the runtime
	crowdedAt   = 0.8                    // part of the connections from which idle ones are closed early
	lingerShare = 0.0625                 // of the connections, for those that are ended and wait for the peer's close
	inShare     = 0.125                  // of the memory limit, for what is read and not yet handled of all
	stallTold   = 100 * time.Millisecond // past the time at which the owner was to wake: longer than a busy machine keeps a thread
	listenFor   = 5 * time.Second        // tries to listen at the start: a process before this one may be ending
	listenAgain = 50 * time.Millisecond  // between them
	startSpan   = time.Hour              // how far back a processor may have started: times stay positive
)

// Backend is one backend. Make it with New.
type Backend struct {
	cfg       Config
	log       *slog.Logger
	start     time.Time // of the spans that the module is given
	loop      *conn.Loop
	listeners []*conn.Listener

	controller *overload.Controller // nil until the processor is up
	handlers   []handler
	customers  []string            // their names, in the order of the settings
	canCancel  bool                // runs may be interrupted here
	requests   map[uint64]*request // held, running, or running on without being owed
	unanswered int                 // reqs without their answer
	events     []overload.Event
	now        time.Duration
	wall       time.Duration // the same moment as a span since the start of 1970
	wakeAt     time.Duration

	controllerWake  time.Duration // when the module wants a Timer event; 0 not
	gaugesBy        time.Duration // the event waits for the gauges until then; 0 does not
	gauges          []float64
	signal          []byte // the free value as it is written; empty before the first
	healthy         bool
	shallowChecks   bool
	idleTimeout     time.Duration // idle connections are closed after this; 0 as usual
	sweepAt         time.Duration
	process         lifecycle.Process
	heartbeat       lifecycle.Heartbeat
	drainPending    bool          // the notice came, and the overload controller has not heard of it
	grace           time.Duration // after the notice, in which what is read may start
	drainRetryAfter time.Duration // what who is refused at the end is told to stay away; 0 nothing
	arrivals        arrival.Clock
	frontend        frontend
	processor       processorLink
	upstream        upstream
	reporter        controlReporter
	results         resultCache
	guard           idempotencyGuard
	cluster         cluster
	stats           Counters
	connsRejected   atomic.Int64 // connections that found no room
	logLimits       map[string]*logthrottle.Limiter
	scratch         []byte
	ledger          *accounting.Ledger  // nil until Serve
	ledgerRows      []uint16            // of the handlers in it
	recorder        *statsfile.Recorder // nil without a figures file
	compareAt       time.Duration
	ownerCalls      chan func()
	done            chan struct{}
}

type handler struct {
	name       string
	replayable bool
	uniqued    bool          // its reqs bring a key by which a repeat is known, and run once
	window     time.Duration // in which such a repeat may come
	timeout    time.Duration
	value      float64
}

// New prepares a backend. A nil logger is slog's default.
func New(cfg Config, log *slog.Logger) *Backend {
	if log == nil {
		log = slog.Default()
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < uint64(cfg.Limits.Sockets) {
		cfg.Limits.Sockets = int(files.Cur) // the process may hold fewer than it was told
	}
	b := &Backend{
		cfg: cfg, log: log, start: time.Now().Add(-startSpan), loop: conn.NewLoop(),
		requests: map[uint64]*request{}, logLimits: map[string]*logthrottle.Limiter{}, healthy: true,
		ownerCalls: make(chan func()), done: make(chan struct{}),
	}
	b.canCancel = cfg.Settings.Backend.Cancellation != overload.CancelOff
	b.grace = cfg.Settings.Rules.DrainGrace
	if limits := cfg.Settings.Limits; limits.RetryAfter {
		b.drainRetryAfter = limits.MaxRetryAfter.Or(0)
	}
	b.cfg.Settings.Handlers = b.guard.init(b)
	b.fit()
	for _, h := range b.cfg.Settings.Handlers {
		b.handlers = append(b.handlers, handler{
			name: h.Name, replayable: h.Idempotency == overload.Replayable, uniqued: h.Idempotency == overload.Deduplicated,
			window: h.Window, timeout: h.ClientTimeout.Or(overload.DefaultClientTimeout), value: h.Value.Or(0),
		})
	}
	for _, customer := range b.cfg.Settings.Customers {
		b.customers = append(b.customers, customer.Name)
	}
	b.cluster.init(b)
	b.frontend.init(b)
	b.processor.init(b)
	if len(cfg.AJPUpstream.Balancer.Peers) > 0 {
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
	handlers := slices.Clone(b.cfg.Settings.Handlers)
	for i := range handlers {
		handlers[i].SkipValue = 0
	}
	b.cfg.Settings.Handlers = handlers
}

// handlerOf is the handler of that name, -1 if there is none.
func (b *Backend) handlerOf(name string) int {
	return slices.IndexFunc(b.handlers, func(h handler) bool { return h.name == name })
}

// Log is where the backend logs.
func (b *Backend) Log() *slog.Logger { return b.log }

// Reload has new work go to the addresses of another configuration: those of the processor, the next tier and the
// control plane, and the time to stop. What is in hand at the old ones may finish; a drain goes on as it was. All
// else takes a new process. It may be called from any goroutine.
func (b *Backend) Reload(cfg Config) { b.loop.Post(func() { b.reload(cfg) }) }

func (b *Backend) reload(cfg Config) {
	b.stats.Reloads++
	if cfg.ControlPlane != b.cfg.ControlPlane {
		if err := b.reporter.open(cfg.ControlPlane); err != nil {
			b.logLimited("control plane not reached", "why", err) // a bad address
		}
	}
	b.cfg.Processor, b.cfg.Upstream, b.cfg.ControlPlane, b.cfg.StopTimeout = cfg.Processor, cfg.Upstream, cfg.ControlPlane, cfg.StopTimeout
	b.processor.reconfigure(cfg.Processor)
	if len(cfg.AJPUpstream.Balancer.Peers) > 0 == (len(b.cfg.AJPUpstream.Balancer.Peers) > 0) { // else it takes a new process
		b.cfg.AJPUpstream = cfg.AJPUpstream
		b.upstream.reconfigure(&cfg)
	}
	b.cluster.reconfigure(cfg.Cluster)
	b.log.Info("configuration read anew", "processor", cfg.Processor, "next_tier", cfg.Upstream, "control", cfg.ControlPlane)
}

// Counters returns the counters, while Serve runs and after it.
func (b *Backend) Counters() Counters {
	var c Counters
	b.onOwner(func() { c = b.counters() })
	return c
}

// onOwner has the owner call f, and waits for it; what Serve left is at rest.
func (b *Backend) onOwner(f func()) {
	done := make(chan struct{})
	select {
	case b.ownerCalls <- func() { f(); close(done) }:
		<-done
	case <-b.done:
		f()
	}
}

func (b *Backend) counters() Counters {
	c := b.stats
	if b.ledger != nil { // Serve has begun
		c.Requests, c.Mismatches, c.Reasons = b.ledger.Total(), b.ledger.Mismatches(), reasonsOf(b.ledger)
	}
	c.ConnsRefused, c.Open, c.Pending, c.Broken = b.connsRejected.Load(), b.loop.Open.Load(), int64(b.unanswered), invariant.Broken()
	c.Dropped = b.loop.Discarded.Load()
	return c
}

// Serve runs the backend until ctx is done and all that was read is answered. It may be called once.
func (b *Backend) Serve(ctx context.Context) error {
	defer close(b.done)
	if b.cfg.Limits.MemoryMB > 0 {
		b.loop.MaxUnsent = int(b.memoryShare(outShare))
		b.loop.MaxUnread = int64(b.memoryShare(inShare))
	}
	b.loop.MaxLingering = max(1, int(lingerShare*float64(b.frontend.connectionLimit())))
	if ctx.Err() != nil {
		return nil // told to leave before anything could be read
	}
	if err := b.openLedger(); err != nil {
		return err
	}
	defer b.closeListeners()
	b.guard.open()
	defer b.guard.close()
	if b.cluster.enabled() {
		if err := b.listen(ctx, b.cfg.Cluster.Listen, b.cluster.accept); err != nil {
			return err
		}
	}
	if err := b.listen(ctx, b.cfg.Listen, b.frontend.accept(b.frontend.fastCGI)); err != nil {
		return err
	}
	if at := b.cfg.AJP.Listen; at != "" {
		if err := b.listen(ctx, at, b.frontend.accept(b.frontend.ajp)); err != nil {
			return err
		}
		b.log.Info("serving AJP", "listen", at)
	}
	if err := b.reporter.open(b.cfg.ControlPlane); err != nil {
		return err
	}
	defer b.reporter.close()
	b.log.Info("serving", "name", b.cfg.Name, "listen", b.cfg.Listen)
	leave := ctx.Done()
	timer := time.NewTimer(0)
	for {
		select {
		case <-b.loop.Wake:
		case <-timer.C:
		case <-leave:
			leave = nil
			b.clock()
			b.startDrain()
		case f := <-b.ownerCalls:
			f()
		}
		t := b.clock()
		b.wakeAt = b.now + time.Second
		b.loop.Dispatch()
		b.processor.askUnverified()
		b.onTimer()
		b.runController()
		for b.cluster.runPending() {
			b.runController()
		}
		b.cluster.send()
		b.guard.flushEntries()
		b.reporter.report(b)
		if b.shutdown() {
			b.flush(t)
			b.closeAccounts()
			b.log.Info("left", "counters", b.counters())
			return nil
		}
		if again := b.flush(t); again > 0 {
			b.wakeBy(b.now + again)
		}
		b.arrivals.ExpectTurn(b.wakeAt)
		timer.Reset(max(0, b.wakeAt-time.Since(b.start)))
	}
}

// memoryShare is so much of the memory limit, in bytes.
func (b *Backend) memoryShare(part float64) float64 {
	if b.cfg.Limits.MemoryMB <= 0 {
		return math.Inf(1)
	}
	return part * b.cfg.Limits.MemoryMB * (1 << 20)
}

// clock takes the time of this turn, from both clocks at one moment.
func (b *Backend) clock() time.Time {
	t := time.Now()
	b.now, b.wall = t.Sub(b.start), time.Duration(t.UnixNano())+faultinject.ClockOffset()
	b.heartbeat.Beat(b.now)
	step, stall := b.arrivals.Turn(b.now, b.wall)
	if step != 0 {
		b.stats.ClockSteps++
		b.logLimited("time of day stepped", "by", step)
	}
	if stall >= stallTold {
		b.stats.Stalls++
		b.logLimited("stood still", "for", stall)
	}
	return t
}

// wakeBy has the owner wake by then.
func (b *Backend) wakeBy(t time.Duration) { b.wakeAt = min(b.wakeAt, t) }

// onTimer does what is due, and has the owner wake for the rest.
func (b *Backend) onTimer() {
	switch {
	case b.controller == nil || b.controllerWake == 0 && b.gaugesBy == 0:
	case b.gaugesBy > 0 && b.now >= b.gaugesBy:
		b.stats.GaugesLate++
		b.timerEvent()
	case b.gaugesBy > 0:
		b.wakeBy(b.gaugesBy)
	case b.now >= b.controllerWake:
		b.controllerWake = 0
		if b.processor.requestGauges() {
			b.gaugesBy = b.now + gaugeWait
			b.wakeBy(b.gaugesBy)
		} else {
			b.timerEvent()
		}
	default:
		b.wakeBy(b.controllerWake)
	}
	b.processor.onTimer()
	b.upstream.onTimer()
	b.guard.onTimer()
	b.cluster.onTimer()
	if b.now >= b.sweepAt {
		b.sweepAt = b.now + tidyEvery
		b.frontend.sweep()
		b.results.sweep()
		b.guard.sweep()
		b.audit()
	}
	b.wakeBy(b.sweepAt)
}

func (b *Backend) timerEvent() {
	b.gaugesBy = 0
	b.events = append(b.events, overload.Event{Kind: overload.Timer, Gauges: b.gauges})
}

// runController hands the module what has happened and carries out what it wants, until nothing follows at once.
func (b *Backend) runController() {
	for b.controller != nil && (b.drainPending || len(b.events) > 0) {
		if b.drainPending {
			b.drainPending = false
			b.events = slices.Insert(b.events, 0, b.drainEvent())
		}
		b.stats.Batches++
		b.stats.Events += int64(len(b.events))
		actions := b.controller.Handle(b.now, b.events)
		b.events = b.events[:0]
		for i := range actions {
			b.apply(&actions[i])
		}
	}
	invariant.Check(b.unanswered >= 0 && b.unanswered <= len(b.requests), "owed reqs are among those known")
	invariant.Check(b.loop.Open.Load() <= int64(b.cfg.Limits.Sockets), "descriptors stay within their limit")
	if invariant.Debug {
		b.checkInvariants()
	}
}

// checkInvariants goes through all that is kept: each owed req has one place to answer to, and who is not owed runs.
func (b *Backend) checkInvariants() {
	owed, calls := 0, 0
	for _, r := range b.requests {
		if b.hasClient(r) {
			owed++
			invariant.Check(r.client.requests[r.slot] == r, "an owed req holds its slot")
			invariant.Check(r.state != stateUnverified || r.guard != nil || slices.Contains(b.processor.unverified, r), "an unverified req is asked for")
		} else {
			invariant.Check(r.takenOver || r.state >= stateAwaitingIntent, "what is kept without being owed runs")
		}
		if r.call != nil {
			calls++
			invariant.Check(r.state == stateCalling, "who has a call in hand is calling")
		}
	}
	slots := 0
	for e := range b.frontend.clients {
		slots += len(e.requests)
		invariant.Check(e.broken || e.protocol.openSlots() >= len(e.requests)+len(e.checks), "open slots are known to the parser")
	}
	invariant.Check(owed == b.unanswered && owed == slots, "held and running reqs are those owed, each on one slot")
	b.compareLedger()
	b.ledger.Audit(b.wall)
	b.logMismatches()
	invariant.Check(calls == b.upstream.inFlight(), "calls in hand are those of reqs")
	invariant.Check(float64(b.results.resultBytes) <= b.memoryShare(resultCacheShare), "kept results stay within their bound")
}

// processorUp makes the controller once the processor is up.
func (b *Backend) processorUp(cold bool, started time.Duration) {
	settings := b.cfg.Settings
	settings.Backend.Cold = cold
	b.controller = overload.New(b.cfg.Seed, settings, started)
	b.log.Info("processor is up", "cold", cold, "age", (b.now - started).Round(time.Millisecond))
	b.timerEvent() // the first reply has the health, the signal and the first wake
}

// listen accepts connections at an address. The system may have none to give for a while, or an earlier process still holds it.
func (b *Backend) listen(ctx context.Context, address string, accept func(c *conn.Conn)) error {
	for end := time.Now().Add(listenFor); ; {
		ln, err := b.loop.Listen(address, b.frontend.connectionLimit(), accept, b.notAccepted)
		if err == nil {
			b.listeners = append(b.listeners, ln)
			return nil
		}
		if !passing(err) || ctx.Err() != nil || time.Now().After(end) {
			return err
		}
		b.logLimited("not listening yet", "listen", address, "why", err)
		time.Sleep(listenAgain)
	}
}

// notAccepted follows a connection for which there was no room (nil), or that the system could not give.
func (b *Backend) notAccepted(err error) {
	b.connsRejected.Add(1)
	if err != nil {
		b.loop.Post(func() { b.logLimited("not accepted", "why", err) })
	}
}

// passing tells whether an error of the system may pass by itself.
func passing(err error) bool {
	for _, e := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EIO,
		syscall.EADDRINUSE,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
