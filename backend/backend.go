// Package backend serves reqs of edge nodes on real sockets: it reads them, lets package overload decide, has
// the processor run them, makes their calls, and answers each once. One goroutine owns all state, in Serve.
package backend

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"frosthub/accounting"
	"frosthub/arrival"
	"frosthub/internal/conn"
	"frosthub/internal/faultinject"
	"frosthub/internal/invariant"
	"frosthub/internal/logthrottle"
	"frosthub/internal/statsfile"
	"frosthub/lifecycle"
	"frosthub/overload"
)

const (
	gaugeWait      = 10 * time.Millisecond  // for the gauges, then the last ones must do: short of a look
	tidyEvery      = 100 * time.Millisecond // between looks at idle connections
	outShare       = 0.2                    // of the memory limit, for answers that edge nodes leave
	spare          = 16                     // descriptors kept for the processor, calls, reports and the runtime
	crowdedAt      = 0.8                    // part of the connections from which idle ones are closed early
	timeoutMissing = 10 * time.Second       // of a handler's clients where none is told: as the module takes it
	lingerShare    = 0.0625                 // of the connections, for those that are ended and wait for the peer's close
	inShare        = 0.125                  // of the memory limit, for what is read and not yet handled of all
	stallTold      = 100 * time.Millisecond // past the time at which the owner was to wake: longer than a busy machine keeps a thread
	listenFor      = 5 * time.Second        // tries to listen at the start: a process before this one may be ending
	listenAgain    = 50 * time.Millisecond  // between them
	startSpan      = time.Hour              // how far back a processor may have started: times stay positive
)

// Backend is one backend. Make it with New.
type Backend struct {
	cfg   Config
	log   *slog.Logger
	start time.Time // of the spans that the module is given
	box   *conn.Loop
	ln    []*conn.Listener

	ctl       *overload.Controller // nil until the processor is up
	handlers  []handler
	customers []string        // their names, in the order of the settings
	canStop   bool            // runs may be interrupted here
	reqs      map[uint64]*req // held, running, or running on without being owed
	owed      int             // reqs without their answer
	events    []overload.Event
	now       time.Duration
	wall      time.Duration // the same moment as a span since the start of 1970
	next      time.Duration

	wake      time.Duration // when the module wants a Timer event; 0 not
	gaugesBy  time.Duration // the event waits for the gauges until then; 0 does not
	gauges    []float64
	signal    []byte // the free value as it is written; empty before the first
	good      bool
	cheap     bool
	keep      time.Duration // idle connections are closed after this; 0 as usual
	tidyAt    time.Duration
	process   lifecycle.Process
	heartbeat lifecycle.Heartbeat
	leaving   bool          // the notice came, and the overload controller has not heard of it
	grace     time.Duration // after the notice, in which what is read may start
	awayFor   time.Duration // what who is refused at the end is told to stay away; 0 nothing
	stamps    arrival.Clock
	door      door
	link      link
	tier      nextTier
	lease     lease
	keys      keys
	keeper    keeper
	cluster   cluster
	count     Counters
	turned    atomic.Int64 // connections that found no room
	notes     map[string]*logthrottle.Limiter
	scratch   []byte
	book      *accounting.Ledger  // nil until Serve
	rows      []uint16            // of the handlers in it
	record    *statsfile.Recorder // nil without a figures file
	compareAt time.Duration
	requested chan func()
	stopped   chan struct{}
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
	b := &Backend{cfg: cfg, log: log, start: time.Now().Add(-startSpan), box: conn.NewLoop(),
		reqs: map[uint64]*req{}, notes: map[string]*logthrottle.Limiter{}, good: true,
		requested: make(chan func()), stopped: make(chan struct{})}
	part, _ := cfg.Settings["backend"].(map[string]any)
	b.canStop = part["halt"] != nil && part["halt"] != "off"
	rules, _ := b.cfg.Settings["rules"].(map[string]any)
	b.grace, _ = rules["drain_grace"].(time.Duration)
	limits, _ := b.cfg.Settings["limits"].(map[string]any)
	if advice, _ := limits["retry_after"].(bool); advice {
		b.awayFor, _ = limits["max_retry_after"].(time.Duration)
	}
	b.cfg.Settings = b.keeper.init(b)
	b.fit()
	list, _ := b.cfg.Settings["handlers"].([]any)
	for _, v := range list {
		m, _ := v.(map[string]any)
		name, _ := m["name"].(string)
		timeout, ok := m["client_timeout"].(time.Duration)
		if !ok {
			timeout = timeoutMissing
		}
		value, _ := m["value"].(float64)
		window, _ := m["window"].(time.Duration)
		b.handlers = append(b.handlers, handler{name: name, replayable: m["repeats"] == "replayable",
			uniqued: m["repeats"] == "uniqued", window: window, timeout: timeout, value: value})
	}
	customers, _ := b.cfg.Settings["customers"].([]any)
	for _, v := range customers {
		m, _ := v.(map[string]any)
		name, _ := m["name"].(string)
		b.customers = append(b.customers, name)
	}
	b.cluster.init(b)
	b.door.init(b)
	b.link.init(b)
	if len(cfg.AJPUpstream.Balancer.Peers) > 0 {
		b.tier = newPeers(b)
	} else {
		b.tier = newTier(b)
	}
	b.keys.init(b)
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

// handlerOf is the handler of that name, -1 if there is none.
func (b *Backend) handlerOf(name string) int {
	return slices.IndexFunc(b.handlers, func(h handler) bool { return h.name == name })
}

// Log is where the backend logs.
func (b *Backend) Log() *slog.Logger { return b.log }

// Reload has new work go to the addresses of another configuration: those of the processor, the next tier and the
// control plane, and the time to stop. What is in hand at the old ones may finish; a drain goes on as it was. All
// else takes a new process. It may be called from any goroutine.
func (b *Backend) Reload(cfg Config) { b.box.Post(func() { b.reload(cfg) }) }

func (b *Backend) reload(cfg Config) {
	b.count.Reloads++
	if cfg.ControlPlane != b.cfg.ControlPlane {
		if err := b.lease.open(cfg.ControlPlane); err != nil {
			b.note("control plane not reached", "why", err) // a bad address
		}
	}
	b.cfg.Processor, b.cfg.Upstream, b.cfg.ControlPlane, b.cfg.StopTimeout = cfg.Processor, cfg.Upstream, cfg.ControlPlane, cfg.StopTimeout
	b.link.move(cfg.Processor)
	if len(cfg.AJPUpstream.Balancer.Peers) > 0 == (len(b.cfg.AJPUpstream.Balancer.Peers) > 0) { // else it takes a new process
		b.cfg.AJPUpstream = cfg.AJPUpstream
		b.tier.move(&cfg)
	}
	b.cluster.change(cfg.Cluster)
	b.log.Info("configuration read anew", "processor", cfg.Processor, "next_tier", cfg.Upstream, "control", cfg.ControlPlane)
}

// Counters returns the counters, while Serve runs and after it.
func (b *Backend) Counters() Counters {
	var c Counters
	b.ask(func() { c = b.counters() })
	return c
}

// ask has the owner call f, and waits for it; what Serve left is at rest.
func (b *Backend) ask(f func()) {
	done := make(chan struct{})
	select {
	case b.requested <- func() { f(); close(done) }:
		<-done
	case <-b.stopped:
		f()
	}
}

func (b *Backend) counters() Counters {
	c := b.count
	if b.book != nil { // Serve has begun
		c.Requests, c.Mismatches, c.Reasons = b.book.Total(), b.book.Mismatches(), reasonsOf(b.book)
	}
	c.ConnsRefused, c.Open, c.Pending, c.Broken = b.turned.Load(), b.box.Open.Load(), int64(b.owed), invariant.Broken()
	c.Dropped = b.box.Discarded.Load()
	return c
}

// Serve runs the backend until ctx is done and all that was read is answered. It may be called once.
func (b *Backend) Serve(ctx context.Context) error {
	defer close(b.stopped)
	if b.cfg.Limits.MemoryMB > 0 {
		b.box.MaxUnsent = int(b.share(outShare))
		b.box.MaxUnread = int64(b.share(inShare))
	}
	b.box.MaxLingering = max(1, int(lingerShare*float64(b.door.room())))
	if ctx.Err() != nil {
		return nil // told to leave before anything could be read
	}
	if err := b.openBook(); err != nil {
		return err
	}
	defer b.closeListeners()
	b.keeper.open()
	defer b.keeper.close()
	if b.cluster.on() {
		if err := b.listen(ctx, b.cfg.Cluster.Listen, b.cluster.take); err != nil {
			return err
		}
	}
	if err := b.listen(ctx, b.cfg.Listen, b.door.accept(b.door.fastCGI)); err != nil {
		return err
	}
	if at := b.cfg.AJP.Listen; at != "" {
		if err := b.listen(ctx, at, b.door.accept(b.door.ajp)); err != nil {
			return err
		}
		b.log.Info("serving AJP", "listen", at)
	}
	if err := b.lease.open(b.cfg.ControlPlane); err != nil {
		return err
	}
	defer b.lease.close()
	b.log.Info("serving", "name", b.cfg.Name, "listen", b.cfg.Listen)
	leave := ctx.Done()
	timer := time.NewTimer(0)
	for {
		select {
		case <-b.box.Wake:
		case <-timer.C:
		case <-leave:
			leave = nil
			b.clock()
			b.leave()
		case f := <-b.requested:
			f()
		}
		t := b.clock()
		b.next = b.now + time.Second
		b.box.Dispatch()
		b.link.askUnverified()
		b.lookAtTime()
		b.decide()
		for b.cluster.hand() {
			b.decide()
		}
		b.cluster.send()
		b.keeper.hand()
		b.lease.report(b)
		if b.shutdown() {
			b.flush(t)
			b.settle()
			b.log.Info("left", "counters", b.counters())
			return nil
		}
		if again := b.flush(t); again > 0 {
			b.at(b.now + again)
		}
		b.stamps.ExpectTurn(b.next)
		timer.Reset(max(0, b.next-time.Since(b.start)))
	}
}

// share is so much of the memory limit, in bytes.
func (b *Backend) share(part float64) float64 {
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
	step, stall := b.stamps.Turn(b.now, b.wall)
	if step != 0 {
		b.count.ClockSteps++
		b.note("time of day stepped", "by", step)
	}
	if stall >= stallTold {
		b.count.Stalls++
		b.note("stood still", "for", stall)
	}
	return t
}

// at has the owner wake by then.
func (b *Backend) at(t time.Duration) { b.next = min(b.next, t) }

// lookAtTime does what is due, and has the owner wake for the rest.
func (b *Backend) lookAtTime() {
	switch {
	case b.ctl == nil || b.wake == 0 && b.gaugesBy == 0:
	case b.gaugesBy > 0 && b.now >= b.gaugesBy:
		b.count.GaugesLate++
		b.timerEvent()
	case b.gaugesBy > 0:
		b.at(b.gaugesBy)
	case b.now >= b.wake:
		b.wake = 0
		if b.link.usage() {
			b.gaugesBy = b.now + gaugeWait
			b.at(b.gaugesBy)
		} else {
			b.timerEvent()
		}
	default:
		b.at(b.wake)
	}
	b.link.lookAtTime()
	b.tier.lookAtTime()
	b.keeper.lookAtTime()
	b.cluster.lookAtTime()
	if b.now >= b.tidyAt {
		b.tidyAt = b.now + tidyEvery
		b.door.tidy()
		b.keys.tidy()
		b.keeper.tidy()
		b.audit()
	}
	b.at(b.tidyAt)
}

func (b *Backend) timerEvent() {
	b.gaugesBy = 0
	b.events = append(b.events, overload.Event{Kind: overload.Timer, Gauges: b.gauges})
}

// decide hands the module what has happened and carries out what it wants, until nothing follows at once.
func (b *Backend) decide() {
	for b.ctl != nil && (b.leaving || len(b.events) > 0) {
		if b.leaving {
			b.leaving = false
			b.events = slices.Insert(b.events, 0, b.leaveEvent())
		}
		b.count.Batches++
		b.count.Events += int64(len(b.events))
		actions := b.ctl.Handle(b.now, b.events)
		b.events = b.events[:0]
		for i := range actions {
			b.act(&actions[i])
		}
	}
	invariant.Check(b.owed >= 0 && b.owed <= len(b.reqs), "owed reqs are among those known")
	invariant.Check(b.box.Open.Load() <= int64(b.cfg.Limits.Sockets), "descriptors stay within their limit")
	if invariant.Debug {
		b.verify()
	}
}

// verify goes through all that is kept: each owed req has one place to answer to, and who is not owed runs.
func (b *Backend) verify() {
	owed, calls := 0, 0
	for _, r := range b.reqs {
		if b.owes(r) {
			owed++
			invariant.Check(r.edge.open[r.slot] == r, "an owed req holds its slot")
			invariant.Check(r.at != unverified || r.guard != nil || slices.Contains(b.link.unverified, r), "an unverified req is asked for")
		} else {
			invariant.Check(r.taken || r.at >= noting, "what is kept without being owed runs")
		}
		if r.call != nil {
			calls++
			invariant.Check(r.at == calling, "who has a call in hand is calling")
		}
	}
	slots := 0
	for e := range b.door.edges {
		slots += len(e.open)
		invariant.Check(e.broken || e.p.open() >= len(e.open)+len(e.checks), "open slots are known to the parser")
	}
	invariant.Check(owed == b.owed && owed == slots, "held and running reqs are those owed, each on one slot")
	b.compare()
	b.book.Audit(b.wall)
	b.tellDifferences()
	invariant.Check(calls == b.tier.inHand(), "calls in hand are those of reqs")
	invariant.Check(float64(b.keys.kept) <= b.share(keptShare), "kept results stay within their bound")
}

// come makes the controller once the processor is up.
func (b *Backend) come(cold bool, started time.Duration) {
	s := b.cfg.Settings
	if part, ok := s["backend"].(map[string]any); ok {
		part["cold"] = cold
	}
	b.ctl = overload.New(b.cfg.Seed, s, started)
	b.log.Info("processor is up", "cold", cold, "age", (b.now - started).Round(time.Millisecond))
	b.timerEvent() // the first reply has the health, the signal and the first wake
}

// listen accepts connections at an address. The system may have none to give for a while, or an earlier process still holds it.
func (b *Backend) listen(ctx context.Context, address string, accept func(c *conn.Conn)) error {
	for end := time.Now().Add(listenFor); ; {
		ln, err := b.box.Listen(address, b.door.room(), accept, b.notAccepted)
		if err == nil {
			b.ln = append(b.ln, ln)
			return nil
		}
		if !passing(err) || ctx.Err() != nil || time.Now().After(end) {
			return err
		}
		b.note("not listening yet", "listen", address, "why", err)
		time.Sleep(listenAgain)
	}
}

// notAccepted follows a connection for which there was no room (nil), or that the system could not give.
func (b *Backend) notAccepted(err error) {
	b.turned.Add(1)
	if err != nil {
		b.box.Post(func() { b.note("not accepted", "why", err) })
	}
}

// passing tells whether an error of the system may pass by itself.
func passing(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EIO,
		syscall.EADDRINUSE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
