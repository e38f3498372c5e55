package backend

import (
	"slices"
	"strconv"
	"time"

	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// gaugeTimeout is how long a timer event is delayed until the processor has sent fresh gauges. After that the event
// carries the previous gauges. The timeout is short compared with the interval between timer events.
const gaugeTimeout = 10 * time.Millisecond

// controllerDriver collects the input of the overload controller: the events of the turn, and the timer events. Before
// a timer event it requests fresh gauges from the processor, which the event carries. It is not safe for concurrent
// use.
type controllerDriver struct {
	controller     *overload.Controller // nil until the processor is ready
	events         []overload.Event     // since the last batch, in order
	nextTimerEvent time.Duration        // when the controller has requested a timer event; 0 for none
	gaugesDeadline time.Duration        // until when the timer event waits for gauges; 0 if it is not waiting
	gauges         []float64            // the last ones that the processor has sent
}

// addTimerEvent adds a timer event with the latest gauges.
func (d *controllerDriver) addTimerEvent() {
	d.gaugesDeadline = 0
	d.events = append(d.events, overload.Event{Kind: overload.Timer, Gauges: d.gauges})
}

// loadAdvice is the controller's latest output that concerns the whole node.
type loadAdvice struct {
	healthy       bool          // the answer to health checks
	shallowChecks bool          // deep health checks are answered without querying the processor
	loadSignal    []byte        // the load signal as written to responses; empty until the controller has set one
	idleTimeout   time.Duration // how long a connection may be idle before it is closed; 0 for the default
}

// startController creates the controller once the processor is ready. The controller's actions on the first batch set
// the health, the load signal and the time of the next timer event.
func (b *Backend) startController(warmingUp bool, started time.Duration) {
	settings := b.cfg.Settings
	settings.Backend.Cold = warmingUp
	b.controller = overload.New(b.cfg.Seed, settings, started)
	b.log.Info("processor ready", "cold", warmingUp, "processor_age", (b.now - started).Round(time.Millisecond))
	b.addTimerEvent()
}

// onControllerTimer requests the gauges when a timer event is due, and adds the event once they have arrived or
// gaugeTimeout has passed.
func (b *Backend) onControllerTimer() {
	switch {
	case b.controller == nil || b.nextTimerEvent == 0 && b.gaugesDeadline == 0:
	case b.gaugesDeadline > 0 && b.now >= b.gaugesDeadline:
		b.stats.GaugesLate++
		b.addTimerEvent()
	case b.gaugesDeadline > 0:
		b.wakeBy(b.gaugesDeadline)
	case b.now < b.nextTimerEvent:
		b.wakeBy(b.nextTimerEvent)
	default:
		b.nextTimerEvent = 0
		if !b.processor.requestGauges() {
			b.addTimerEvent()
			return
		}
		b.gaugesDeadline = b.now + gaugeTimeout
		b.wakeBy(b.gaugesDeadline)
	}
}

// runController passes the pending events to the controller and carries out its actions, until these cause no more
// events.
func (b *Backend) runController() {
	for b.controller != nil && (b.drain.eventPending || len(b.events) > 0) {
		if b.drain.eventPending {
			b.drain.eventPending = false
			b.events = slices.Insert(b.events, 0, b.drainEvent())
		}
		b.stats.Batches++
		b.stats.Events += int64(len(b.events))
		actions := b.controller.Handle(b.now, b.events)
		b.events = b.events[:0]
		for i := range actions {
			b.applyAction(&actions[i])
		}
	}
	invariant.Check(b.unanswered >= 0 && b.unanswered <= len(b.requests), "the count of unanswered requests is within the number of requests")
	invariant.Check(b.loop.Open.Load() <= int64(b.cfg.Limits.Sockets), "descriptors stay within their limit")
	if invariant.Debug {
		b.checkInvariants()
	}
}

// applyAction carries out one action of the controller.
func (b *Backend) applyAction(action *overload.Action) {
	switch action.Kind {
	case overload.Health:
		b.advice.healthy = action.Healthy
		b.advice.shallowChecks = action.Shallow
	case overload.Signal:
		b.advice.loadSignal = strconv.AppendFloat(b.advice.loadSignal[:0], action.Value, 'f', 4, 64)
	case overload.SetTimer:
		b.nextTimerEvent = action.At
		b.wakeBy(action.At)
	case overload.CloseIdle:
		b.advice.idleTimeout = action.Duration
	case overload.RemoveEntry:
		b.removeCachedRead(action.ID)
	default:
		if r := b.requests[action.ID]; r != nil { // nil if the request has ended in the same batch
			b.applyToRequest(r, action)
		}
	}
}

// applyToRequest carries out an action that applies to one request.
func (b *Backend) applyToRequest(r *request, action *overload.Action) {
	switch action.Kind {
	case overload.Start:
		b.applyStart(r)
	case overload.Cancel:
		b.applyCancel(r)
	case overload.Reject:
		b.applyReject(r, action)
	case overload.Fail:
		b.applyFail(r)
	case overload.StoreEntry:
		b.results.storeEntry(r, action.Duration)
	case overload.Coalesce:
		b.applyCoalesce(r)
	case overload.Call:
		if r.state == stateAwaitingCall {
			b.makeCall(r, action.Duration)
		}
	default:
		invariant.Check(false, "the controller returns only actions that this backend supports")
	}
}

// removeCachedRead removes the cached result of a read, also of one that has ended. A request that must run only once
// leaves the cache when it ends without having run.
func (b *Backend) removeCachedRead(id uint64) {
	if entry := b.results.byID[id]; entry != nil && !entry.runsOnce {
		b.results.drop(entry)
	}
}

// applyStart starts the run of a held request.
func (b *Backend) applyStart(r *request) {
	if !invariant.Check(r.state == stateHeld && b.isWanted(r), "a request that is started is held") {
		return
	}
	if decision := b.process.CheckStart(r.readAt); decision != lifecycle.Allowed && !r.failedOver {
		b.recordViolation("start", r, decision)
		b.runEnded(r, overload.NeverRan, accounting.NotReady, 0, nil)
		return
	}
	if r.guard != nil {
		b.guard.startGuarded(r)
		return
	}
	b.startRun(r)
}

// applyCancel cancels a run, or ends a request whose intent is not durable yet.
func (b *Backend) applyCancel(r *request) {
	switch {
	case r.state.runInProgress():
		b.stats.Stopped++
		b.processor.cancel(r)
	case r.state == stateAwaitingIntent:
		b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
	}
}

// applyReject rejects a request that is shed. During shutdown it hands the request off to another node of the cluster
// instead, if one accepts it.
func (b *Backend) applyReject(r *request, action *overload.Action) {
	if r.failedOver {
		b.cluster.recordFailoverResponse(r, accounting.Shed)
		b.releaseUnstarted(r)
		return
	}
	if b.process.Phase() > lifecycle.Serving && b.cluster.handOff(r) {
		return
	}
	if invariant.Check(r.state == stateHeld, "a request that is shed has not run") {
		b.frontend.respondShed(r, action.RetryAfter, action.NoRetry)
	} else {
		b.frontend.respondFailure(r, accounting.Cancelled)
	}
	b.finishAnswered(r)
}

// applyFail answers a request with a failure. The run of the request continues until it is cancelled, except that a run
// without a client that waits for a call is cancelled at once.
func (b *Backend) applyFail(r *request) {
	switch {
	case b.hasClient(r):
		reason := accounting.Cancelled
		if r.state == stateAwaitingCall && r.callFailed {
			reason = accounting.CallFailed
		}
		b.frontend.respondFailure(r, reason)
		b.finishAnswered(r)
	case r.failedOver && r.state < stateAwaitingIntent:
		b.cluster.recordFailoverResponse(r, accounting.Cancelled)
		b.releaseUnstarted(r)
	case r.state >= stateAwaitingCall: // no client waits for the response, but the run waits for a call
		b.cancelRun(r)
	}
}

// applyCoalesce answers a repeat with the result of its original request, at once or when the original has ended.
func (b *Backend) applyCoalesce(r *request) {
	switch {
	case !invariant.Check(r.state == stateHeld && b.isWanted(r) && r.originalID != 0, "a request that is coalesced is a held repeat"):
	case r.guard != nil && !r.guard.replayable:
		b.guard.join(r)
	default:
		b.results.join(r)
	}
}
