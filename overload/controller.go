package overload

import (
	"math"
	"time"
)

// Controller decides for one server. Make it with New. It must be used by one goroutine at a time.
type Controller struct {
	cores         float64
	batchInterval time.Duration
	canCancel     bool // running requests can be stopped

	handlers  []*handler
	customers []*customerQuota
	requests  requestTable
	memory    memoryAccount
	gauges    gauges
	turn      float64 // pass of the queue that had the last turn

	backpressure backpressure
	concurrency  concurrencyLimit
	calls        callLimiter
	repeats      repeatTable
	drain        drainState
	stall        stallDetector

	retryAdvice retryAdvice
	rejections  rejectionRate
	patience    clientPatience
	signal      loadSignal
	edgeNodes   edgeNodeActivity
	connections idleConnections

	lastTick      time.Duration
	timerPending  bool // a Wake was asked for, and its Timer event has not come
	healthSent    bool
	healthyAsSent bool
	actions       []Action // reused by each call of Handle
}

// New returns the controller of a server that has come up at the time now. Times are spans since any fixed moment
// before that. Equal seeds, settings and events give equal actions.
func New(seed uint64, settings Settings, now time.Duration) *Controller {
	b := &settings.Backend
	cores := math.Max(1, b.Cores)
	c := &Controller{
		cores:         cores,
		batchInterval: settings.BatchInterval,
		canCancel:     b.Cancellation != CancelOff,
		requests:      newRequestTable(),
		memory:        newMemoryAccount(b.MemoryKB.Or(math.Inf(1)), math.Max(1, b.RunMemoryFactor), b.KeySizeKB),
		gauges:        newGauges(b.Gauges),
		backpressure:  newBackpressure(),
		concurrency:   newConcurrencyLimit(cores, &settings, now),
		calls:         newCallLimiter(b, cores, now),
		repeats:       newRepeatTable(b.ReuseFor),
		drain:         newDrainState(settings.Rules.DrainGrace),
		stall:         stallDetector{progressAt: now},
		retryAdvice:   newRetryAdvice(settings.Limits, seed),
		patience:      clientPatience{lowerTier: settings.Tier != 0},
		signal:        newLoadSignal(b.Signal),
		edgeNodes:     newEdgeNodeActivity(b.EdgeNodes),
		lastTick:      now,
	}
	for i := range settings.Handlers {
		c.handlers = append(c.handlers, newHandler(&settings.Handlers[i], settings.Tier))
	}
	servers := math.Max(1, settings.Servers)
	for i := range settings.Customers {
		c.customers = append(c.customers, newCustomerQuota(&settings.Customers[i], servers, now))
	}
	return c
}

// Handle takes the events since the last call, in the order in which they happened, and returns the actions that
// follow, in the order in which they are to be carried out. The slice is valid until the next call. An event of a
// request that has ended is ignored.
func (c *Controller) Handle(now time.Duration, events []Event) []Action {
	for i := range events {
		c.handleEvent(now, &events[i])
	}
	c.placeCalls(now)
	c.startQueued(now)
	return c.collectActions(now)
}

func (c *Controller) handleEvent(now time.Duration, e *Event) {
	switch e.Kind {
	case Arrived:
		c.onArrival(now, e)
	case Timer:
		c.onTimer(now, e)
	case Drain:
		c.onDrain(now, e.QueueDelay, e.Remaining)
	default:
		if r := c.requests.byID[e.ID]; r != nil {
			c.handleRequestEvent(now, r, e)
		}
	}
}

func (c *Controller) handleRequestEvent(now time.Duration, r *request, e *Event) {
	switch e.Kind {
	case Ended:
		c.onEnded(now, r, e)
	case ClientGone:
		c.onClientGone(now, r, e.Outcome)
	case NeedsCall:
		c.onNeedsCall(now, r)
	case CallEnded:
		c.onCallEnded(now, r, e)
	}
}

// onEnded follows the end of a request.
func (c *Controller) onEnded(now time.Duration, r *request, e *Event) {
	if r.state.admitted() {
		c.stall.progress(now)
	}
	if r.state == stateRunning {
		c.recordEnd(now, r, e.Outcome)
	}
	c.end(now, r)
}

// recordEnd takes the end of a run into account.
func (c *Controller) recordEnd(now time.Duration, r *request, outcome Outcome) {
	if outcome == OK {
		c.backpressure.recordCompletion(c.memory.of(r, stateRunning))
		c.patience.learn(now, r, false)
	}
	// A run that was stopped took at least so long: without it the mean would be that of the lucky ones.
	long := outcome == Cancelled && now-r.startedAt > fromSeconds(r.handler.expectedTime(now, 1))
	if outcome == OK || outcome == Failed || long {
		r.handler.recordRun(now, r)
	}
}

// onTimer takes the gauges, and looks at the deadlines of all requests.
func (c *Controller) onTimer(now time.Duration, e *Event) {
	c.timerPending = false
	c.gauges.read(e.Gauges)
	if now-c.lastTick >= observeInterval {
		c.onTick(now)
	}
	for _, r := range c.requests.ordered {
		c.checkDeadline(now, r)
	}
}

// onTick does what is due once an observation.
func (c *Controller) onTick(now time.Duration) {
	span := min(now-c.lastTick, maxObservedSpan)
	c.lastTick = now
	c.requests.removeEnded()
	c.creditCPUTime(span)
	c.observe(now, span)
	c.adapt(now)
	c.expireRepeats(now)
	c.stall.update(now, float64(c.requests.running()) < c.cores)
	c.drain.update(now)
}

// adapt moves the limits and the advice, once a tick.
func (c *Controller) adapt(now time.Duration) {
	arrivals := 0.0
	for _, h := range c.handlers {
		_, count := h.arrivals.sum(now)
		arrivals += count
		h.updateBaseline(now)
	}
	c.concurrency.adapt(now, &c.gauges, c.requests.running(), c.requests.queued(), pace(now, c.handlers))
	c.connections.adapt(c.cores, c.edgeNodes.known, arrivals, c.rejections.share)
	c.calls.adapt()
	c.edgeNodes.adapt()
	c.signal.adapt(c.pressure(now), c.concurrency.warmUp.capacity(now))
}

// collectActions is the one place that acts: it turns the differences between the wanted and the reported states
// into actions.
func (c *Controller) collectActions(now time.Duration) []Action {
	actions := c.actions[:0]
	for i := 0; i < len(c.requests.dirty); i++ { // the end of one request may make another dirty
		r := c.requests.dirty[i]
		r.dirty = false
		actions = c.appendAnswer(actions, now, r)
		actions = c.appendRemembering(actions, now, r)
		actions = appendTransition(actions, r)
		r.state = r.wanted
		actions = c.appendCancel(actions, now, r)
	}
	c.requests.dirty = c.requests.dirty[:0]
	c.actions = c.appendServerActions(actions, now)
	return c.actions
}

// appendAnswer appends the final answer to a request. Without a run that ends it.
func (c *Controller) appendAnswer(actions []Action, now time.Duration, r *request) []Action {
	if r.wantedAnswer == noAnswer || r.answer != noAnswer {
		return actions
	}
	r.answer = r.wantedAnswer
	actions = append(actions, Action{Kind: r.answer, ID: r.id, RetryAfter: r.retryAfter, NoRetry: r.noRetry})
	if r.state == stateQueued || r.state == stateCoalesced {
		c.end(now, r)
	}
	return actions
}

// appendTransition appends the action that brings a request into its wanted state.
func appendTransition(actions []Action, r *request) []Action {
	switch {
	case r.state == stateQueued && r.wanted == stateRunning:
		return append(actions, Action{Kind: Start, ID: r.id})
	case r.state == stateQueued && r.wanted == stateCoalesced:
		return append(actions, Action{Kind: Coalesce, ID: r.id})
	case r.state == stateAwaitingCall && r.wanted == stateCalling:
		return append(actions, Action{Kind: Call, ID: r.id, Duration: r.callTimeout})
	case r.state == stateAwaitingCall && r.wanted == stateRunning:
		return append(actions, Action{Kind: SkipCall, ID: r.id})
	case r.state == stateAwaitingCall && r.abandoned && r.answer == noAnswer:
		r.answer = Fail // nobody waits for it, but it ends the run
		return append(actions, Action{Kind: Fail, ID: r.id})
	}
	return actions
}

// appendCancel appends the cancellation of a run that nobody waits for.
func (c *Controller) appendCancel(actions []Action, now time.Duration, r *request) []Action {
	if r.state != stateRunning || !r.abandoned || r.cancelledAt != 0 || !c.canCancel {
		return actions
	}
	r.cancelledAt = now
	return append(actions, Action{Kind: Cancel, ID: r.id})
}

// appendServerActions appends what concerns no single request, as far as it has changed.
func (c *Controller) appendServerActions(actions []Action, now time.Duration) []Action {
	if healthy := c.healthy(); !c.healthSent || c.healthyAsSent != healthy {
		c.healthSent = true
		c.healthyAsSent = healthy
		actions = append(actions, Action{Kind: Health, Healthy: healthy, Shallow: true})
	}
	if c.signal.meaning != SignalOff {
		if value := c.wantedSignal(); c.signal.worthSending(value) {
			c.signal.sent = value
			actions = append(actions, Action{Kind: Signal, Value: value})
		}
	}
	if c.connections.timeout != c.connections.wantedTimeout {
		c.connections.timeout = c.connections.wantedTimeout
		actions = append(actions, Action{Kind: CloseIdle, Duration: c.connections.timeout})
	}
	if !c.timerPending {
		c.timerPending = true
		actions = append(actions, Action{Kind: SetTimer, At: now + timerInterval})
	}
	return actions
}
