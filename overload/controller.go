package overload

import (
	"math"
	"time"
)

// Controller makes the overload control decisions of one server. Create it with New. It is not safe for concurrent
// use.
type Controller struct {
	cores         float64
	batchInterval time.Duration
	canCancel     bool // running requests can be stopped

	handlers  []*handler
	customers []*customerQuota
	requests  requestTable
	memory    memoryAccount
	gauges    gauges
	lastPass  float64 // handlerQueue.pass of the queue that was served last

	backpressure backpressure
	concurrency  concurrencyLimit
	calls        callLimiter
	repeats      repeatTable
	drain        drainState
	stall        stallDetector

	retryAdvice retryAdvice
	rejections  rejectionRate
	clientWait  clientWaitEstimate
	signal      loadSignal
	edgeNodes   edgeNodeActivity
	connections idleConnections

	lastTick     time.Duration
	timerPending bool     // a SetTimer action is awaiting its Timer event
	healthSent   bool     // a Health action was emitted
	sentHealthy  bool     // value of the last Health action
	actions      []Action // buffer that each call of Handle reuses
}

// New returns the controller of a server that has started at the time now. Times are durations since an arbitrary
// fixed moment before the start. Equal seeds, settings and events yield equal actions.
func New(seed uint64, settings Settings, now time.Duration) *Controller {
	backend := &settings.Backend
	cores := math.Max(1, backend.Cores)
	c := &Controller{
		cores:         cores,
		batchInterval: settings.BatchInterval,
		canCancel:     backend.Cancellation != CancelOff,
		requests:      newRequestTable(),
		memory: newMemoryAccount(
			backend.MemoryKB.Or(math.Inf(1)), math.Max(1, backend.RunMemoryFactor), backend.KeySizeKB,
		),
		gauges:       newGauges(backend.Gauges),
		backpressure: newBackpressure(),
		concurrency:  newConcurrencyLimit(cores, &settings, now),
		calls:        newCallLimiter(backend, cores, now),
		repeats:      newRepeatTable(backend.ReuseFor),
		drain:        newDrainState(settings.Rules.DrainGrace),
		stall:        stallDetector{lastProgressAt: now},
		retryAdvice:  newRetryAdvice(settings.Limits, seed),
		clientWait:   clientWaitEstimate{lowerTier: settings.Tier != 0},
		signal:       newLoadSignal(backend.Signal),
		edgeNodes:    newEdgeNodeActivity(backend.EdgeNodes),
		lastTick:     now,
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

// Handle processes the events since the last call, in the order in which they happened, and returns the resulting
// actions in the order of their execution. The slice is valid until the next call. Events of requests that have ended
// are ignored.
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

// onEnded ends a request whose run, or wait for its original, is over.
func (c *Controller) onEnded(now time.Duration, r *request, e *Event) {
	if r.state.startedOrEnded() {
		c.stall.recordProgress(now)
	}
	if r.state == stateRunning {
		c.recordRunEnd(now, r, e.Outcome)
	}
	c.endRequest(now, r)
}

// recordRunEnd updates the statistics with the end of a run.
func (c *Controller) recordRunEnd(now time.Duration, r *request, outcome Outcome) {
	if outcome == OK {
		c.backpressure.recordCompletion(c.memory.usageOf(r, stateRunning))
		c.clientWait.recordAttempt(now, r, false)
	}
	// A cancelled run would have taken longer than it did. Runs that were cancelled after more than the expected time
	// are counted with their shortened time, because leaving them out would bias the mean towards short runs.
	longCancelled := outcome == Cancelled && now-r.startedAt > fromSeconds(r.handler.expectedTime(now, 1))
	if outcome == OK || outcome == Failed || longCancelled {
		r.handler.recordRun(now, r)
	}
}

// onTimer reads the gauges, runs the tick when it is due and checks the deadlines of all requests.
func (c *Controller) onTimer(now time.Duration, e *Event) {
	c.timerPending = false
	c.gauges.read(e.Gauges)
	if now-c.lastTick >= observationInterval {
		c.onTick(now)
	}
	for _, r := range c.requests.byArrival {
		c.checkDeadline(now, r)
	}
}

// onTick performs the periodic work, once per observation interval.
func (c *Controller) onTick(now time.Duration) {
	span := min(now-c.lastTick, maxObservedSpan)
	c.lastTick = now
	c.requests.removeEnded()
	c.creditCPUTime(span)
	c.observe(now, span)
	c.adapt(now)
	c.expireEntries(now)
	c.stall.update(now, float64(c.requests.running()) < c.cores)
	c.drain.update(now)
}

// adapt updates the limits and the client advice, once per tick.
func (c *Controller) adapt(now time.Duration) {
	arrivals := 0.0
	for _, h := range c.handlers {
		_, count := h.arrivals.sum(now)
		arrivals += count
		h.updateBaseline(now)
	}
	c.concurrency.adapt(now, &c.gauges, c.requests.running(), c.requests.queued(), baselineLatencyRatio(now, c.handlers))
	c.connections.adapt(c.cores, c.edgeNodes.configured, arrivals, c.rejections.share)
	c.calls.adapt()
	c.edgeNodes.adapt()
	c.signal.adapt(c.pressure(now), c.concurrency.warmUp.capacity(now))
}

// collectActions converts the differences between wanted and reported states to actions. Nothing else emits actions.
func (c *Controller) collectActions(now time.Duration) []Action {
	actions := c.actions[:0]
	for i := 0; i < len(c.requests.dirty); i++ { // endRequest may append requests to the list
		r := c.requests.dirty[i]
		r.dirty = false
		actions = c.appendAnswer(actions, now, r)
		actions = c.appendEntryChange(actions, now, r)
		actions = appendTransition(actions, r)
		r.state = r.wantedState
		actions = c.appendCancel(actions, now, r)
	}
	c.requests.dirty = c.requests.dirty[:0]
	c.actions = c.appendServerActions(actions, now)
	return c.actions
}

// appendAnswer appends the final answer of a request, and ends the request if it has no run.
func (c *Controller) appendAnswer(actions []Action, now time.Duration, r *request) []Action {
	if r.wantedAnswer == noAnswer || r.answer != noAnswer {
		return actions
	}
	r.answer = r.wantedAnswer
	actions = append(actions, Action{Kind: r.answer, ID: r.id, RetryAfter: r.retryAfter, NoRetry: r.noRetry})
	if r.state == stateQueued || r.state == stateCoalesced {
		c.endRequest(now, r)
	}
	return actions
}

// appendTransition appends the action that moves a request to its wanted state.
func appendTransition(actions []Action, r *request) []Action {
	switch {
	case r.state == stateQueued && r.wantedState == stateRunning:
		return append(actions, Action{Kind: Start, ID: r.id})
	case r.state == stateQueued && r.wantedState == stateCoalesced:
		return append(actions, Action{Kind: Coalesce, ID: r.id})
	case r.state == stateAwaitingCall && r.wantedState == stateCalling:
		return append(actions, Action{Kind: Call, ID: r.id, Duration: r.callTimeout})
	case r.state == stateAwaitingCall && r.wantedState == stateRunning:
		return append(actions, Action{Kind: SkipCall, ID: r.id})
	case r.state == stateAwaitingCall && r.stopWanted && r.answer == noAnswer:
		r.answer = Fail // no client receives this response, but Fail is how the adapter ends a waiting run
		return append(actions, Action{Kind: Fail, ID: r.id})
	}
	return actions
}

// appendCancel appends the cancellation of a run that should be stopped.
func (c *Controller) appendCancel(actions []Action, now time.Duration, r *request) []Action {
	if r.state != stateRunning || !r.stopWanted || r.cancelledAt != 0 || !c.canCancel {
		return actions
	}
	r.cancelledAt = now
	return append(actions, Action{Kind: Cancel, ID: r.id})
}

// appendServerActions appends the changed settings that concern the whole server: health, signal, idle timeout and
// timer.
func (c *Controller) appendServerActions(actions []Action, now time.Duration) []Action {
	if healthy := c.healthy(); !c.healthSent || c.sentHealthy != healthy {
		c.healthSent = true
		c.sentHealthy = healthy
		actions = append(actions, Action{Kind: Health, Healthy: healthy, Shallow: true})
	}
	if c.signal.meaning != SignalOff {
		if value := c.signalValue(); c.signal.shouldSend(value) {
			c.signal.lastSent = value
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
