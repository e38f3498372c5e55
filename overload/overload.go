package overload

// How it is called: New makes the controller of one server, Handle takes what has happened since the last
// call and returns what is to be done. Events and actions are in types.go, the design in docs/design.md.
// The design (search backpressure with a companion cap) decides the ordinary path: onTick, observe, adapt.
//
// Beside the design:
//  1. lines: each handler has a line, lines take turns by weight; what can't make its target is shed at once
//  2. advice: when to come back, whether to try elsewhere, the signal in each meaning, idle connections
//  3. watch: nothing passes its due time, and nothing that can't earn any more keeps cores busy
//  4. keys: uniqued reqs are remembered, repeats answered from their forerunner
//  5. calls: those in hand are bounded, timed out and not repeated
//  6. leaving, cold start and stuck work: health, and the crowd and memory that the server survives

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// The design's values.
	tick                   = 100 * time.Millisecond // between observations; the design's
	look                   = 25 * time.Millisecond  // between looks at due times: short of any slack, four a tick
	breaches               = 3                      // ticks in a row over a threshold before duress; the design's
	busyLimit              = 0.9                    // busy share of the cores that counts as a breach; the design's
	memLimit               = 0.7                    // share of memory held by reqs that counts as a breach; the design's
	memEach                = 0.005                  // share of memory from which one req is heavy; the design's
	memAll                 = 0.05                   // share that all running reqs hold before memory counts; the design's
	memOver                = 2.0                    // times the average of completed reqs; the design's
	memWindow              = 100                    // completed reqs in that average; the design's
	dropRatio              = 0.1                    // drops for each done req; the design's
	dropRate               = 0.003                  // drops for each millisecond; the design's
	dropBurst              = 10.0                   // drops in a tick, and what either budget can save; the design's
	elapsedShare           = 0.5                    // of the client timeout: past where response targets stand
	cpuShare               = 0.35                   // of the client timeout: work this long rarely ends in time
	capGrow                = 0.25                   // part of the cap added a tick while cores are free: x10 in a second
	capSmooth              = 0.1                    // weight of one tick's latency ratio: a second to follow a change
	capWanting             = 1.25                   // reqs wanting each core that still do not slow one another much
	capTolerance           = 1.5                    // recent over base latency that is still no reason to shrink
	baseForget             = 1.0005                 // growth of base latency a tick: 30% a minute, outlives a trouble
	minSamples             = 4                      // runs in the window before a latency is believed
	bucket                 = 500 * time.Millisecond // width of a bucket; ten make the window of 5 s
	finishBy               = 0.85                   // share of the target at which work admitted should be done
	overShare              = 0.4                    // the same share for a customer over its share
	stillFinish            = 0.9                    // part of the expected time that a run takes at least
	startHold              = 4.0                    // held reqs a core before any run has been timed
	shareSlack             = 1.25                   // customers' shares are for the fleet; so much spread is normal
	shareBurst             = 2.0                    // seconds of a customer's share that may come at once
	memHold                = 0.93                   // of memory that decisions may fill; the rest is for reqs being read
	crowdSafe              = 0.85                   // of the crowd on the cores that the server survives
	callSafe               = 0.9                    // of this server's share of the calls that the dependency survives
	callsEach              = 4.0                    // calls in hand a core: slow ones bind no more memory than this
	callNew                = 0.05                   // weight of one call in the usual time of calls: some twenty count
	callSlow               = 4.0                    // times the least time of calls from which fewer are made
	callDown               = 0.9                    // factor a tick on calls in hand then: halved in less than a second
	callLeast              = 200 * time.Millisecond // least time-out worth a call to a shared dependency
	stuckAfter             = 2 * time.Second        // no progress of running work for this long: it hangs
	stayShare              = 0.8                    // of the grace after the notice in which newcomers are still wanted
	stopAgain              = 500 * time.Millisecond // a stop without effect is asked for again
	minRetryAfter          = 100 * time.Millisecond // less is no advice
	patiencePace           = 0.1                    // weight of one given-up try in a caller's patience: ten settle it
	lateNew                = 0.1                    // weight of one arrival's time unread: some ten arrivals count
	fade                   = 0.98                   // of that and of an edge node's arrivals kept a tick: 5 s count
	spanTicks              = 50.0                   // ticks that count in that fade
	forgotten              = 0.01                   // of one arrival: an edge node seen so long ago is let go
	signalPace             = 0.2                    // relative change of the wanted load a tick for a unit of pressure
	signalDown             = 0.93                   // least factor a tick: halved in a second, as long as it is kept
	signalUp               = 1.05                   // greatest factor a tick: slower up than down
	signalMin              = 0.05                   // least load wanted: some must come, or recovery is not seen
	signalStep             = 0.05                   // relative change below which the signal stays as it is
	pressed                = 0.45                   // share of the time allowed for waiting from which load is too much
	hintTrust              = 0.5                    // part of a told cost that is believed: told costs are rough
	valueTilt              = 0.5                    // exponent of value in a line's weight: 0 none, 1 full
	full                   = 0.97                   // wanted load under which a try elsewhere likely only costs a read
	defaultMaxRetryAfter   = time.Second            // where the settings have none
	defaultCallShareWindow = 5 * time.Second        // where the settings have none
	tableRoom              = 16.0                   // connections a core: with more the table is felt
	seldom                 = 5 * time.Second        // an edge node back only after this had better connect anew
	keepShort              = 200 * time.Millisecond // idle time then: a walk or a burst still finds it open
	refusedNew             = 0.02                   // weight of one req in the share refused: some fifty count
	flooded                = 0.8                    // share refused from which connections cost more than what is served
	ebbed                  = 0.5                    // and under which the flood is over
	lapseFor               = 2 * time.Second        // a never-run forerunner is known this long: longer than any batch
)

type place uint8

const none = ActionKind(0) // no final answer

const (
	held place = iota
	joined
	running
	waiting // at a call not yet made
	calling
	over
	places
)

type req struct {
	id                   uint64
	h                    *handler
	arrived, due, target time.Duration
	read                 time.Duration // when this module heard of it
	size, scale          float64       // kilobytes held; told cost over the usual of its handler
	fore                 *req          // what it repeats
	owed                 int           // repeats that wait for this one

	at, want                                place         // present and wanted place
	out, wantOut                            ActionKind    // final answer given and wanted: Shed, Error or none
	key, wantKey                            time.Duration // remembered until
	ran, touched                            bool
	score                                   int // trackers breached
	started, callTime, cpu                  time.Duration
	calledAt, stopSent, callFor, retryAfter time.Duration
	dontRetry, gone, quit, again            bool
}

type handler struct {
	timeout, target, window time.Duration
	value, late, skip       float64
	uniqued, once           bool
	line                    []*req
	held                    int
	pass                    float64
	own, whole, came, hint  ring    // run time without and with calls, arrivals, told cost
	base                    float64 // lowest mean run time
}

func (h *handler) replayable() bool { return !h.once && !h.uniqued }

// edge is an edge node of late: arrivals and ticks since its first, as it has a new number at each restart.
type edge struct{ came, seen float64 }

type customer struct {
	rate, tokens float64
	filled       time.Duration
}

// Controller decides for one server.
type Controller struct {
	chance    mwc
	handlers  []*handler
	customers []*customer
	reqs      map[uint64]*req
	all       []*req // in order of arrival
	touched   []*req
	waits     []*req // at a call
	keys      []*req
	lapsed    map[uint64]time.Duration // repeats of these must run themselves
	n         [places]int
	actions   []Action

	cores, memory, runFactor, keySize           float64
	fall, coldFrom, share, tier                 float64
	coldFor, grace, linger, callsOver, maxRetry time.Duration
	started, batch, shareFor, left, stop        time.Duration // left is the notice, stop when the process stops
	canStop, cold, retryAdvice, leaving         bool
	below                                       Downstream
	signal                                      SignalMeaning
	gBusy, gRunnable                            int

	mem, cap, turn, open, sent   float64
	ratioTokens, rateTokens      float64
	done                         [memWindow]float64
	doneN, hot                   int // runs done; ticks in a row over a threshold
	busy, runnable, wanting      float64
	begun                        float64 // runs since the last look
	progress, lastTick, inHandAt time.Duration
	stuck, armed, health, told   bool
	keep, wantKeep               time.Duration // connections idle for longer are closed, 0 as usual
	edges, spread                float64       // edge nodes told, and as if each were as busy as the busiest
	from                         map[int]edge  // the recent of each
	came, seen, refused          float64       // arrivals and ticks of all; recent share of reqs shed
	patience                     float64       // share of the client timeout a caller waits, 0 unknown
	late                         float64       // recent time unread, in seconds
	callTook, callBase, callCap  float64       // usual and least call time in seconds; bound in hand
	inHand                       ring
}

// New returns the controller of a server that has just come up.
func New(seed uint64, settings Settings, now time.Duration) *Controller {
	b, rules, limits := &settings.Backend, &settings.Rules, &settings.Limits
	c := &Controller{
		reqs: map[uint64]*req{}, lapsed: map[uint64]time.Duration{}, from: map[int]edge{},
		started: now, progress: now, lastTick: now, inHandAt: now, stop: math.MaxInt64, open: 1,
	}
	c.chance.seed(seed)
	c.cores, c.memory = math.Max(1, b.Cores), b.MemoryKB.Or(math.Inf(1))
	c.runFactor, c.keySize = math.Max(1, b.RunMemoryFactor), b.KeySizeKB
	c.canStop, c.batch = b.Cancellation != CancelOff, settings.BatchInterval
	c.below, c.signal, c.tier = b.Downstream, b.Signal, settings.Tier
	c.share, c.callsOver = b.CallShare, b.CallShareWindow.Or(defaultCallShareWindow)
	c.linger, c.shareFor = b.CallLinger, b.ReuseFor
	c.cold, c.edges, c.spread = b.Cold, b.EdgeNodes, b.EdgeNodes
	c.fall, c.coldFrom = rules.CollapseFactor.Or(math.Inf(1)), rules.ColdCapacity.Or(1)
	c.coldFor, c.grace = rules.WarmUpTime, rules.DrainGrace
	c.retryAdvice, c.maxRetry = limits.RetryAfter, limits.MaxRetryAfter.Or(defaultMaxRetryAfter)
	c.gBusy, c.gRunnable = slices.Index(b.Gauges, GaugeBusy), slices.Index(b.Gauges, GaugeRunnable)
	for i := range settings.Handlers {
		c.handlers = append(c.handlers, newHandler(&settings.Handlers[i], settings.Tier))
	}
	servers := math.Max(1, settings.Servers)
	for _, u := range settings.Customers {
		rate := u.QuotaPerSecond / servers * shareSlack
		c.customers = append(c.customers, &customer{rate: rate, tokens: rate * shareBurst, filled: now})
	}
	c.cap, c.callCap = c.cores, c.cores*callsEach
	c.ratioTokens, c.rateTokens = dropBurst, dropBurst
	return c
}

func newHandler(s *Handler, tier float64) *handler {
	h := &handler{
		timeout: s.ClientTimeout.Or(DefaultClientTimeout), window: s.Window,
		value: math.Max(0.01, s.Value.Or(1)), late: s.LateValue, skip: s.SkipValue,
		uniqued: s.Idempotency == Deduplicated, once: s.Idempotency == NonReplayable,
	}
	h.target = min(s.ResponseTarget.Or(h.timeout), h.timeout)
	// Who calls a tier below has the target for itself and its calls: an answer in the last moment is late.
	h.target = time.Duration(float64(h.target) / (1 + math.Max(0, tier)))
	return h
}

// Handle takes the events since the last call and returns the actions that follow.
func (c *Controller) Handle(now time.Duration, events []Event) []Action {
	for i := range events {
		e := &events[i]
		r := c.reqs[e.ID]
		switch {
		case e.Kind == Arrived:
			c.arrive(now, e)
		case e.Kind == Timer:
			c.armed = false
			c.busy, c.runnable, c.begun = e.gauge(c.gBusy), e.gauge(c.gRunnable), 0
			if now-c.lastTick >= tick {
				c.onTick(now)
			}
			for _, r := range c.all {
				c.watch(now, r)
			}
		case e.Kind == Drain:
			c.leave(now, e.Delay, e.Remaining)
		case r == nil: // late news of a req already ended
		case e.Kind == Ended:
			c.ended(now, r, e)
		case e.Kind == ClientGone:
			c.goneAway(now, r, e.Outcome)
		case e.Kind == NeedsCall:
			c.progress = now
			r.calledAt = now
			c.set(now, r, waiting)
			c.waits = append(c.waits, r)
		case e.Kind == CallEnded:
			c.callEnded(now, r, e)
		}
	}
	c.fillCalls(now)
	c.fill(now)
	return c.emit(now)
}

// ---- the design: observe, duress, drop, adapt ----

// onCores is how many runs want a core; waits for disk show in the gauge alone. Guards against idle cores at
// a full cap (i43a6e6, i4d5678). Harm: a gauge far behind lets a crowd begin, up to the bound.
func (c *Controller) onCores() float64 {
	if c.gRunnable < 0 {
		return float64(c.n[running])
	}
	return math.Min(float64(c.n[running]), c.runnable+c.begun)
}

func (c *Controller) onTick(now time.Duration) {
	span := min(now-c.lastTick, 3*tick) // after a standstill the busy share says nothing of the gap
	c.lastTick = now
	credit := time.Duration(float64(span) * c.busy * c.cores / math.Max(float64(c.n[running]), c.cores))
	c.all = slices.DeleteFunc(c.all, func(r *req) bool { return r.at == over })
	for _, r := range c.all {
		if r.at == running {
			r.cpu += credit
		}
	}
	c.observe(now, span)
	c.adapt(now)
	c.expire(now)
	// Stuck work (a hang): more reqs would share its fate. Harm: rightly longer runs on all cores count too.
	if float64(c.n[running]) < c.cores {
		c.progress = max(c.progress, now-tick)
	}
	c.stuck = now-c.progress > stuckAfter
	c.leaving = c.left > 0 && now-c.left >= seconds(stayShare*c.grace.Seconds())
}

func (c *Controller) duress() bool { return c.hot >= breaches }

func (c *Controller) observe(now, span time.Duration) {
	c.hot++
	if c.busy < busyLimit && c.mem < memLimit*c.memory {
		c.hot = 0
	}
	c.rateTokens = math.Min(dropBurst, c.rateTokens+dropRate*float64(span/time.Millisecond))
	if !c.duress() {
		return
	}
	var found []*req
	all := 0.0
	for _, r := range c.all {
		if r.want >= running {
			all += c.weigh(r, r.want)
		}
	}
	average, count := 0.0, min(c.doneN, memWindow)
	for _, m := range c.done[:count] {
		average += m / float64(count)
	}
	for _, r := range c.all {
		if r.want < running || !r.owing() {
			continue
		}
		r.score = 0
		mem, limit := c.weigh(r, running), float64(r.h.timeout)
		heavy := mem >= memEach*c.memory && mem >= memOver*average && all >= memAll*c.memory && count == memWindow
		long, busy := float64(now-r.started) >= elapsedShare*limit, float64(r.cpu) >= cpuShare*limit
		for _, breach := range [...]bool{long, busy, heavy} {
			if breach {
				r.score++
			}
		}
		if r.score > 0 {
			found = append(found, r)
		}
	}
	slices.SortStableFunc(found, func(a, b *req) int {
		return cmp.Or(b.score-a.score, cmp.Compare(a.started, b.started))
	})
	budget := int(math.Min(c.ratioTokens, c.rateTokens))
	for _, r := range found[:min(budget, len(found), dropBurst)] {
		c.ratioTokens--
		c.rateTokens--
		c.giveUp(r)
	}
}

// adapt moves the companion cap, the bound on calls, the wanted load and the connections kept, once a tick.
func (c *Controller) adapt(now time.Duration) {
	came := 0.0
	for _, h := range c.handlers {
		_, n := h.came.sum(now)
		came += n
		if m, n := h.own.mean(now); n >= minSamples {
			h.base = math.Min(cmp.Or(h.base*baseForget, m), m)
		}
	}
	// Latency hides a crowd where reqs mostly wait for disk; what wants a core tells, and whether one is free.
	c.wanting += capSmooth * (c.onCores() - c.wanting)
	if c.busy < busyLimit && c.runnable < c.cores {
		if c.n[held] > 0 {
			c.cap += math.Max(1, c.cap*capGrow)
		}
	} else {
		ratio := math.Min(capTolerance*c.pace(now), capWanting*c.cores/math.Max(1, c.wanting))
		c.cap *= 1 - capSmooth*(1-math.Min(1, ratio))
	}
	c.cap = math.Max(c.cores, math.Min(c.cap, c.crowd(now)))

	// Guards against a table full of idle connections, which taxes the cores and has no room for newcomers. In
	// a flood it may fill: no room refuses unread (h7a8613). Harm: where a new connection costs far more.
	limit := ebbed
	if c.wantKeep > 0 {
		limit = flooded
	}
	c.wantKeep = 0
	if c.edges > tableRoom*c.cores && c.refused < limit && came*seldom.Seconds() <= c.edges*10*bucket.Seconds() {
		c.wantKeep = keepShort
	}

	// A dependency slows down long before it falls: fewer in hand while calls take far too long.
	c.callBase = math.Min(cmp.Or(c.callBase*baseForget, c.callTook), c.callTook)
	if c.callTook > callSlow*c.callBase {
		c.callCap = math.Max(1, c.callCap*callDown)
	} else {
		c.callCap = math.Min(c.callCap+1, c.cores*callsEach)
	}

	// More numbers than edge nodes: none lasts, so each counts for its own time. Harm: few arrivals tell little.
	most, least := 0.0, math.Max(1, spanTicks*math.Min(1, c.edges/float64(len(c.from))))
	for k, v := range c.from { // only a maximum and removal: the order does not matter
		most = math.Max(most, v.came/math.Max(v.seen, least))
		if c.from[k] = (edge{v.came * fade, v.seen*fade + 1}); v.came < forgotten {
			delete(c.from, k)
		}
	}
	if most > 0 {
		c.spread += capSmooth * (math.Min(c.edges, c.came/math.Max(c.seen, least)/most) - c.spread)
	}
	c.came, c.seen = c.came*fade, c.seen*fade+1

	// The wanted load follows how full the time for waiting is, slowly: who leave at once come back at once.
	worst := 0.0
	for _, h := range c.handlers {
		room := finishBy*h.target.Seconds() - h.expected(now, 1)
		worst = math.Max(worst, (c.wait(now, h)+c.late)/math.Max(0.01, room))
	}
	c.late *= fade
	c.open *= math.Max(signalDown, math.Min(signalUp, 1+signalPace*(pressed-worst)))
	c.open = math.Max(signalMin, math.Min(c.warmth(now), c.open))
}

// pace is base latency over recent latency, over all handlers, 1 at the usual pace.
func (c *Controller) pace(now time.Duration) float64 {
	base, recent := 0.0, 0.0
	for _, h := range c.handlers {
		if s, n := h.own.sum(now); n >= minSamples {
			base += h.base * n
			recent += s
		}
	}
	if recent == 0 {
		return 1
	}
	return base / recent
}

// warmth is the least share of full speed that this server has, as the settings promise it.
func (c *Controller) warmth(now time.Duration) float64 {
	if age := now - c.started; c.cold && age < c.coldFor {
		return c.coldFrom + (1-c.coldFrom)*age.Seconds()/c.coldFor.Seconds()
	}
	return 1
}

// crowd is how many reqs may be in progress so that the cores survive all of them at once, cold or warm.
func (c *Controller) crowd(now time.Duration) float64 {
	return math.Max(1, crowdSafe*c.cores*(1+(c.fall-1)*c.warmth(now)))
}

// ---- lines ----

func (c *Controller) arrive(now time.Duration, e *Event) {
	e.Handler = max(e.Handler, 0)
	for e.Handler >= len(c.handlers) { // unknown to the settings: bear it, as work that must not run twice
		c.handlers = append(c.handlers, &handler{timeout: DefaultClientTimeout, target: DefaultClientTimeout, value: 1, once: true})
	}
	h := c.handlers[e.Handler]
	r := &req{id: e.ID, h: h, arrived: now - e.Delay, read: now, size: e.Size, scale: 1}
	r.due = max(now, r.arrived+h.timeout)
	if e.Remaining > 0 {
		r.due = now + e.Remaining
	}
	r.target = min(r.arrived+h.target, r.due)
	if e.Remaining == 0 && c.patience > 0 && h.replayable() {
		r.target = min(r.target, r.arrived+time.Duration(c.patience*float64(h.timeout)))
	}
	r.due = min(r.due, c.stop)
	c.reqs[e.ID] = r
	c.all = append(c.all, r)
	c.n[held]++
	h.held++
	c.mem += r.size
	h.came.add(now, 1)
	c.from[e.Caller] = edge{c.from[e.Caller].came + 1, c.from[e.Caller].seen}
	c.came++
	c.late += lateNew * (e.Delay.Seconds() - c.late)
	share := finishBy
	if e.Customer >= 0 && e.Customer < len(c.customers) && !c.customers[e.Customer].take(now) {
		share = overShare
	}
	if e.RepeatOf != 0 && !h.once {
		if _, never := c.lapsed[e.RepeatOf]; !never && !c.dueNow(now, r) {
			if r.fore = c.reqs[e.RepeatOf]; r.fore != nil {
				r.fore.owed++
			}
			r.ran = r.fore == nil // it may have run: repeats of this one must not run
			c.move(now, r, joined)
			return
		}
	}
	if e.Hint > 0 {
		h.hint.add(now, e.Hint.Seconds())
		usual, _ := h.hint.mean(now)
		r.scale = 1 + hintTrust*(e.Hint.Seconds()/usual-1)
	}
	key := 0.0
	if h.uniqued {
		key = c.keySize
	}
	end := now + seconds(c.wait(now, h)+h.expected(now, r.scale))
	finish := r.arrived + time.Duration(share*float64(r.target-r.arrived))
	switch {
	case c.dueNow(now, r):
		c.giveUp(r)
	case c.pastGrace(r), c.stuck, c.mem+key > memHold*c.memory:
		c.refuse(r, c.maxRetry)
	case h.base == 0 && float64(c.n[held]) > startHold*c.cores,
		end > finish && (c.n[held] > 1 || c.n[running] > 0):
		c.refuse(r, end-finish)
	default:
		if h.uniqued {
			r.wantKey = r.arrived + h.window + c.batch + time.Millisecond
			c.touch(r)
		} else if c.shareFor > 0 && e.Subject != "" && !e.Write && !h.once && c.mem+c.keySize < memLimit*c.memory {
			r.wantKey = r.due + c.shareFor
			c.touch(r)
		}
		if h.held == 1 {
			h.pass = math.Max(h.pass, c.turn)
		}
		h.line = append(h.line, r)
	}
}

// weight is a line's share of the turns: as much as is asked of it, tilted to what is worth more.
func (h *handler) weight(now time.Duration) float64 {
	_, n := h.came.sum(now)
	return (n + 1) * math.Pow(h.value, valueTilt)
}

// runTime is how long a run takes of late, without its calls.
func (h *handler) runTime(now time.Duration) float64 {
	if m, n := h.own.mean(now); n >= minSamples {
		return m
	}
	return h.base
}

// expected is how long a run with its calls should take; what is told of a req's cost scales its own part.
func (h *handler) expected(now time.Duration, scale float64) float64 {
	own := h.runTime(now)
	if whole, n := h.whole.mean(now); n >= minSamples {
		return whole + own*(scale-1)
	}
	return own * scale
}

// wait is how long a newcomer to this line is expected to be held, in seconds.
func (c *Controller) wait(now time.Duration, h *handler) float64 {
	if h.held == 0 || float64(c.n[held]) <= c.cap-c.onCores() {
		return 0
	}
	work := 0.0
	for _, o := range c.handlers {
		if o.held > 0 {
			work += o.weight(now) * o.runTime(now)
		}
	}
	return float64(h.held) * work / (math.Max(c.cap, float64(c.n[running])) * h.weight(now))
}

// fill starts held reqs while the cap, the crowd and the memory allow.
func (c *Controller) fill(now time.Duration) {
	crowd := c.crowd(now)
	for c.n[held] > 0 && !c.stuck {
		inside := float64(c.n[running] + c.n[waiting] + c.n[calling])
		if c.onCores()+1 > c.cap || inside >= crowd || c.runnable >= crowd {
			return
		}
		var best *handler
		for _, h := range c.handlers {
			if h.next() != nil && (best == nil || h.pass < best.pass) {
				best = h
			}
		}
		if best == nil {
			return
		}
		r := best.next()
		tooBig := c.mem+r.size*(c.runFactor-1) > memHold*c.memory
		if tooBig && inside > 0 {
			return // what runs will free some
		}
		if tooBig || c.hopeless(now, r) {
			c.refuse(r, minRetryAfter)
			continue
		}
		c.turn = best.pass
		best.pass += 1 / best.weight(now)
		r.ran, r.started = true, now
		c.begun++
		c.refused -= refusedNew * c.refused
		c.move(now, r, running)
	}
}

// hopeless: even a lucky run would end after the target, and a late answer is worth little.
func (c *Controller) hopeless(now time.Duration, r *req) bool {
	return now+seconds(stillFinish*r.h.expected(now, r.scale)) > r.target
}

// next is the first of the line that still waits.
func (h *handler) next() *req {
	for ; len(h.line) > 0; h.line = h.line[1:] {
		if r := h.line[0]; r.want == held && r.owing() {
			return r
		}
	}
	return nil
}

func (u *customer) take(now time.Duration) bool {
	u.tokens, u.filled = math.Min(u.rate*shareBurst, u.tokens+u.rate*(now-u.filled).Seconds()), now
	if u.tokens < 1 && u.rate > 0 {
		return false
	}
	u.tokens--
	return true
}

// ---- advice ----

// refuse sheds a req that never ran, and tells the caller when to come back. With the wanted load down a try
// elsewhere likely costs a read for nothing: guards against storms; harms where only this server is slow.
func (c *Controller) refuse(r *req, after time.Duration) {
	if c.retryAdvice {
		spread := seconds(after.Seconds() * (0.5 + c.chance.float())) // not all back at once
		r.retryAfter = min(max(spread, minRetryAfter), c.maxRetry)
	}
	c.refused += refusedNew * (1 - c.refused)
	r.dontRetry = !c.leaving && !c.stuck && c.open < full
	c.giveUp(r)
}

// wantedSignal is the value that should ride on answers, in the meaning the settings give.
func (c *Controller) wantedSignal() float64 {
	open := c.open
	if c.leaving || c.stuck {
		open = 0
	}
	switch c.signal {
	case SignalFloor:
		return 1 - open
	case SignalAllowance:
		// This server's room over the edge nodes. Split evenly it starves the busiest while cores are free, and
		// no work is held that would tell. Harm: edge nodes that all turn busy at once find too much room.
		return open * math.Max(1, (c.cap+c.cores)/math.Max(1, c.spread))
	}
	return open
}

// ---- watch ----

// dueNow: by the next look it may be too late to answer.
func (c *Controller) dueNow(now time.Duration, r *req) bool { return r.due-now <= look+2*c.batch }

// watch keeps the due time of every req, and gives up at once what can earn nothing any more.
func (c *Controller) watch(now time.Duration, r *req) {
	if r.stopSent > 0 && r.at == running && now-r.stopSent >= stopAgain {
		r.stopSent = 0 // the stop had no effect, as while the cores stand still
		c.touch(r)
	}
	if !r.owing() {
		return
	}
	late := now > r.arrived+r.h.target && r.h.late == 0 // patience is only a guess
	switch {
	case c.dueNow(now, r):
		c.giveUp(r)
	case r.want == held && (late || c.hopeless(now, r)):
		c.refuse(r, minRetryAfter)
	case late && (r.want == waiting || r.want == running && c.duress() && c.n[held] > 0):
		c.giveUp(r)
	}
}

// giveUp answers a req at once; what still runs of it is stopped.
func (c *Controller) giveUp(r *req) {
	if !r.owing() {
		return
	}
	r.wantOut, r.quit = Fail, true
	if r.want == held {
		r.wantOut = Reject
	}
	c.touch(r)
}

// owing tells whether a final answer is still to be decided.
func (r *req) owing() bool { return r.at != over && r.out == none && r.wantOut == none && !r.gone }

func (c *Controller) goneAway(now time.Duration, r *req, how Outcome) {
	r.gone = true
	if r.out == none && r.h.replayable() && how != BrokenOff {
		c.learn(now, r, true)
	}
	if r.at == held || r.at == joined {
		c.finish(now, r)
	} else if !r.h.uniqued { // a uniqued one works on: its repeat is answered from it
		r.quit = true
		c.touch(r)
	}
}

// learn corrects the patience of callers: who tries again gives a try up long before the client timeout. A
// tier above gives its calls up at any time, with the req they are for: that tells nothing.
func (c *Controller) learn(now time.Duration, r *req, gaveUp bool) {
	f := (now - r.arrived).Seconds() / r.h.timeout.Seconds()
	if gaveUp && c.tier == 0 || c.patience > 0 && f > c.patience {
		c.patience = cmp.Or(c.patience, f) + patiencePace*(f-cmp.Or(c.patience, f))
	}
}

func (c *Controller) ended(now time.Duration, r *req, e *Event) {
	if r.at >= running {
		c.progress = now
	}
	if e.Outcome == OK && r.at == running {
		c.ratioTokens = math.Min(dropBurst, c.ratioTokens+dropRatio)
		c.done[c.doneN%memWindow] = c.weigh(r, running)
		c.doneN++
		c.learn(now, r, false)
	}
	// A run that was stopped took at least so long: without it the mean would be that of the lucky ones.
	cut := e.Outcome == Stopped && now-r.started > seconds(r.h.expected(now, 1))
	if r.at == running && (e.Outcome == OK || e.Outcome == Failed || cut) {
		r.h.own.add(now, (now - r.started - r.callTime).Seconds())
		r.h.whole.add(now, (now - r.started).Seconds())
	}
	c.finish(now, r)
}

// finish takes a req out of the present state.
func (c *Controller) finish(now time.Duration, r *req) {
	c.set(now, r, over)
	delete(c.reqs, r.id)
	if r.fore != nil {
		r.fore.owed--
		if f := r.fore; f.at == over && !f.ran && f.owed == 0 {
			f.wantKey = 0
			c.touch(f)
		}
	}
	if r.h.uniqued && !r.ran && r.fore == nil {
		c.lapsed[r.id] = now
		if r.owed == 0 {
			r.wantKey = 0
			c.touch(r)
		}
	}
}

// ---- keys ----

func (c *Controller) expire(now time.Duration) {
	c.keys = slices.DeleteFunc(c.keys, func(r *req) bool {
		if r.key > 0 && r.key <= now {
			c.mem -= c.keySize
			r.key, r.wantKey = 0, 0
		}
		return r.key == 0
	})
	for id, at := range c.lapsed { // only removal: the order does not matter
		if now-at > lapseFor {
			delete(c.lapsed, id)
		}
	}
}

// ---- calls ----

func (c *Controller) callEnded(now time.Duration, r *req, e *Event) {
	c.progress = now
	if r.at != calling {
		return
	}
	if e.Outcome == OK {
		r.callTime += now - r.calledAt
		c.callTook = cmp.Or(c.callTook, e.Took.Seconds())
		c.callTook += callNew * (e.Took.Seconds() - c.callTook)
		c.set(now, r, running)
		return
	}
	c.set(now, r, waiting)
	// Made once more if it broke off and that is harmless (spoilt replies; harm: a dying tier breaks all); never
	// if turned away: the edge node between has tried others, a look costs a read (i715a4f; harm: a short gap).
	if e.Outcome == BrokenOff && r.h.replayable() && r.h.skip == 0 && !r.again && r.owing() {
		r.again = true
		c.waits = append(c.waits, r)
		return
	}
	c.skipOr(now, r)
}

// skipOr goes on without the call where that is worth something, else gives up.
func (c *Controller) skipOr(now time.Duration, r *req) {
	if r.h.skip > 0 && r.out == none && !r.gone {
		r.callTime += now - r.calledAt
		c.move(now, r, running)
		return
	}
	c.giveUp(r)
}

// fillCalls lets waiting reqs call, oldest first, within the bound in hand and this server's share.
func (c *Controller) fillCalls(now time.Duration) {
	keep := c.waits[:0]
	for _, r := range c.waits {
		if r.at != waiting || !r.owing() {
			continue
		}
		switch room := c.mayCall(now, r); {
		case room == 0:
			if r.h.skip > 0 && c.hopeless(now, r) {
				c.skipOr(now, r)
				continue
			}
			keep = append(keep, r)
		case now+seconds(stillFinish*c.callTook) > r.due:
			// Too late for the call to be of use: it would cost a read below and come to nothing.
			c.skipOr(now, r)
		default:
			r.callFor = max(min(r.due-now, room), time.Millisecond)
			c.move(now, r, calling)
		}
	}
	clear(c.waits[len(keep):])
	c.waits = keep
}

// mayCall tells how long a call of this req may last, 0 that it has to wait. Guards against a dependency that
// turns slow with all calls in hand (i502e29): a time-out is cut to what is left of this server's share of
// call-seconds, given-up ones included. Harm: after many failed calls the next wait though all is well again.
func (c *Controller) mayCall(now time.Duration, r *req) time.Duration {
	hand := float64(c.n[calling] + 1)
	if hand > math.Min(callsEach*c.cores, c.crowd(now)) {
		return 0
	}
	if c.below != DownstreamShared || c.share <= 0 {
		return math.MaxInt64
	}
	c.tally(now)
	used, _ := c.inHand.sum(now)
	left := seconds((callSafe*c.share*math.Min(c.callsOver.Seconds(), 9*bucket.Seconds()) - used) / hand)
	if hand > math.Max(1, math.Min(c.callCap, callSafe*c.share)) || left < callLeast+c.linger {
		return 0
	}
	return left - c.linger
}

// tally adds up call-seconds in hand; it goes before every change of their number.
func (c *Controller) tally(now time.Duration) {
	c.inHand.add(now, float64(c.n[calling])*(now-c.inHandAt).Seconds())
	c.inHandAt = now
}

// ---- leaving ----

// leave follows the notice, which came so long ago at most. The grace runs from then, and what is read after it is not run, whenever it
// says that it came: that is told by another clock.
func (c *Controller) leave(now, ago, left time.Duration) {
	c.left, c.stop = now-ago, now+left-look-2*c.batch
	for _, r := range c.all {
		r.due = min(r.due, c.stop)
		if r.want == held && r.owing() && c.pastGrace(r) { // the notice was heard of late
			c.refuse(r, c.maxRetry)
		}
		c.watch(now, r)
	}
}

// pastGrace tells whether a req was read after the grace that follows the notice: it is not run.
func (c *Controller) pastGrace(r *req) bool { return c.left > 0 && r.read > c.left+c.grace }

// ---- present and wanted state ----

func (c *Controller) touch(r *req) {
	if !r.touched {
		r.touched = true
		c.touched = append(c.touched, r)
	}
}

// weigh is the memory of a req in a place.
func (c *Controller) weigh(r *req, p place) float64 {
	f := c.runFactor
	return r.size * [places]float64{held: 1, joined: 1, running: f, waiting: f, calling: f}[p]
}

// set takes over what was reported: it is now both the present and the wanted place.
func (c *Controller) set(now time.Duration, r *req, to place) {
	c.move(now, r, to)
	r.at = to
}

// move changes the wanted place and keeps the counts, which are those of the wanted state.
func (c *Controller) move(now time.Duration, r *req, to place) {
	from := r.want
	if from == to {
		return
	}
	if from == calling || to == calling {
		c.tally(now)
	}
	if from == calling && to != running { // given up: it stays in the dependency's hands for a while
		c.inHand.add(now, c.linger.Seconds())
	}
	if from == held {
		r.h.held--
	}
	c.mem += c.weigh(r, to) - c.weigh(r, from)
	c.n[from]--
	c.n[to]++
	r.want = to
	c.touch(r)
}

// emit is the one place that acts: it works out what differs between the wanted and the present state.
func (c *Controller) emit(now time.Duration) []Action {
	out := c.actions[:0]
	for i := 0; i < len(c.touched); i++ { // ending one req may touch another
		r := c.touched[i]
		r.touched = false
		if r.wantOut != none && r.out == none {
			r.out = r.wantOut
			out = append(out, Action{Kind: r.out, ID: r.id, RetryAfter: r.retryAfter, NoRetry: r.dontRetry})
			if r.at == held || r.at == joined {
				c.finish(now, r)
			}
		}
		if r.wantKey > r.key && r.at != over {
			if r.key == 0 {
				c.mem += c.keySize
				c.keys = append(c.keys, r)
			}
			r.key = r.wantKey
			out = append(out, Action{Kind: Remember, ID: r.id, Duration: r.key - now})
		} else if r.wantKey == 0 && r.key > now {
			c.mem -= c.keySize
			r.key = 0
			out = append(out, Action{Kind: Forget, ID: r.id})
		}
		switch from := r.at; {
		case from == held && r.want == running:
			out = append(out, Action{Kind: Start, ID: r.id})
		case from == held && r.want == joined:
			out = append(out, Action{Kind: Coalesce, ID: r.id})
		case from == waiting && r.want == calling:
			out = append(out, Action{Kind: Call, ID: r.id, Duration: r.callFor})
		case from == waiting && r.want == running:
			out = append(out, Action{Kind: SkipCall, ID: r.id})
		case from == waiting && r.quit && r.out == none:
			r.out = Fail // nothing is owed, but the run is to end
			out = append(out, Action{Kind: Fail, ID: r.id})
		}
		r.at = r.want
		if r.at == running && r.quit && r.stopSent == 0 && c.canStop {
			r.stopSent = now
			out = append(out, Action{Kind: Cancel, ID: r.id})
		}
	}
	c.touched = c.touched[:0]
	if good := !c.leaving && !c.stuck; !c.told || c.health != good {
		c.told, c.health = true, good
		out = append(out, Action{Kind: Health, Healthy: c.health, Shallow: true})
	}
	if c.signal != SignalOff {
		if v := c.wantedSignal(); c.sent != v && (v == 0 || math.Abs(v-c.sent) > signalStep*c.sent || c.open == 1) {
			c.sent = v
			out = append(out, Action{Kind: Signal, Value: v})
		}
	}
	if c.keep != c.wantKeep {
		c.keep = c.wantKeep
		out = append(out, Action{Kind: CloseIdle, Duration: c.keep})
	}
	if !c.armed {
		c.armed = true
		out = append(out, Action{Kind: Wake, At: now + look})
	}
	c.actions = out
	return out
}

// ---- measures, chance ----

// ring keeps sums over the last ten buckets of time.
type ring struct {
	slot   [10]int64
	sums   [10]float64
	counts [10]float64
}

func (r *ring) add(now time.Duration, v float64) {
	i := int64(now/bucket) + 1
	k := i % 10
	if r.slot[k] != i {
		r.slot[k], r.sums[k], r.counts[k] = i, 0, 0
	}
	r.sums[k] += v
	r.counts[k]++
}

func (r *ring) sum(now time.Duration) (sum, n float64) {
	i := int64(now/bucket) + 1
	for k := range r.slot {
		if r.slot[k] > i-10 {
			sum += r.sums[k]
			n += r.counts[k]
		}
	}
	return sum, n
}

func (r *ring) mean(now time.Duration) (mean, n float64) {
	sum, n := r.sum(now)
	return sum / math.Max(1, n), n
}

// mwc is a multiply-with-carry generator.
type mwc struct{ x, carry uint32 }

func (m *mwc) seed(s uint64) { m.x, m.carry = uint32(s)|1, uint32(s>>32)%4294957664+1 }

func (m *mwc) float() float64 {
	t := uint64(m.x)*4294957665 + uint64(m.carry)
	m.x, m.carry = uint32(t), uint32(t>>32)
	return float64(m.x) / (1 << 32)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
