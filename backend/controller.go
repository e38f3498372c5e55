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

// gaugeTimeout is how long a timer event waits for fresh gauges of the processor. After that the last ones have to do:
// it is short beside the interval between timer events.
const gaugeTimeout = 10 * time.Millisecond

// controllerDriver feeds the overload controller: the events of the turn, and the timer events, which carry gauges that
// the processor is asked for first. It is not safe for concurrent use.
type controllerDriver struct {
	controller     *overload.Controller // nil until the processor is up
	events         []overload.Event     // what has happened since the last batch, in order
	nextTimerEvent time.Duration        // when the controller wants a timer event; 0 for none
	gaugesDeadline time.Duration        // the timer event waits for gauges until then; 0 if it does not wait
	gauges         []float64            // as the processor reported them last
}

// addTimerEvent adds the timer event, with the gauges as they are known.
func (d *controllerDriver) addTimerEvent() {
	d.gaugesDeadline = 0
	d.events = append(d.events, overload.Event{Kind: overload.Timer, Gauges: d.gauges})
}

// loadAdvice is what the controller last said about the node as a whole.
type loadAdvice struct {
	healthy       bool          // what health checks are answered
	shallowChecks bool          // deep health checks are answered without asking the processor
	loadSignal    []byte        // the load signal as it is written on answers; empty before the first
	idleTimeout   time.Duration // idle connections are closed after this; 0 for the default
}

// startController makes the controller, once the processor is up. Its first batch brings the health, the load signal and the
// first timer event.
func (b *Backend) startController(warmingUp bool, started time.Duration) {
	settings := b.cfg.Settings
	settings.Backend.Cold = warmingUp
	b.controller = overload.New(b.cfg.Seed, settings, started)
	b.log.Info("processor ready", "cold", warmingUp, "age", (b.now - started).Round(time.Millisecond))
	b.addTimerEvent()
}

// onControllerTimer asks for the gauges when a timer event is due, and adds the event once they are there or are late.
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

// runController hands the controller what has happened and carries out its actions, until these cause no more events.
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
	invariant.Check(b.unanswered >= 0 && b.unanswered <= len(b.requests), "unanswered requests are among those known")
	invariant.Check(b.loop.Open.Load() <= int64(b.cfg.Limits.Sockets), "descriptors stay within their limit")
	if invariant.Debug {
		b.checkInvariants()
	}
}

// apply carries out one action of the controller.
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
		if r := b.requests[action.ID]; r != nil { // else it has ended in the same batch
			b.applyToRequest(r, action)
		}
	}
}

// applyToRequest carries out an action that concerns one request.
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
		invariant.Check(false, "an action that this protocol has no message for")
	}
}

// forgetResult drops a remembered result, also that of a request that has ended. A request that must run once is
// forgotten by its own end, as one that never ran.
func (b *Backend) removeCachedRead(id uint64) {
	if entry := b.results.byID[id]; entry != nil && !entry.runsOnce {
		b.results.drop(entry)
	}
}

// applyStart has a held request run.
func (b *Backend) applyStart(r *request) {
	if !invariant.Check(r.state == stateHeld && b.isWanted(r), "a request that is started is held") {
		return
	}
	if verdict := b.process.CheckStart(r.readAt); verdict != lifecycle.Allowed && !r.failedOver {
		b.recordViolation("start", r, verdict)
		b.runEnded(r, overload.NeverRan, accounting.NotReady, 0, nil)
		return
	}
	if r.guard != nil {
		b.guard.startGuarded(r)
		return
	}
	b.startRun(r)
}

// applyCancel stops a run, or gives up one that waits for its intent to be durable.
func (b *Backend) applyCancel(r *request) {
	switch {
	case r.state.runInProgress():
		b.stats.Stopped++
		b.processor.cancel(r)
	case r.state == stateAwaitingIntent:
		b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
	}
}

// applyReject answers a request that is shed. While the process ends, another node of the cluster may take it instead.
func (b *Backend) applyReject(r *request, action *overload.Action) {
	if r.failedOver {
		b.cluster.recordFailoverResponse(r, accounting.Shed)
		b.releaseUnstarted(r)
		return
	}
	if b.process.Phase() > lifecycle.Serving && b.cluster.handOff(r) {
		return
	}
	if invariant.Check(r.state == stateHeld, "a request that is shed never ran") {
		b.frontend.respondShed(r, action.RetryAfter, action.NoRetry)
	} else {
		b.frontend.respondFailure(r, accounting.Cancelled)
	}
	b.finishAnswered(r)
}

// applyFail answers a request without its result. Its run goes on until it is cancelled, unless it waits for a call.
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
	case r.state >= stateAwaitingCall: // nobody waits for its answer, but the run waits for its call
		b.cancelRun(r)
	}
}

// applyCoalesce answers a repeat from its original request, now or once that has ended.
func (b *Backend) applyCoalesce(r *request) {
	switch {
	case !invariant.Check(r.state == stateHeld && b.isWanted(r) && r.originalID != 0, "a request that joins another is a held repeat"):
	case r.guard != nil && !r.guard.replayable:
		b.guard.join(r)
	default:
		b.results.join(r)
	}
}
