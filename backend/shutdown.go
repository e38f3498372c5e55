package backend

import (
	"math"
	"time"

	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// closingCheckInterval is the interval at which a closing process checks which connections it can close.
const closingCheckInterval = 10 * time.Millisecond

// drainState is the part of the shutdown state that lifecycle.Process does not hold.
type drainState struct {
	eventPending bool          // the shutdown notice was received and is not reported to the overload controller yet
	grace        time.Duration // time after the notice in which a request that is read may still start
	retryAfter   time.Duration // retry-after time of requests that are rejected during shutdown; 0 for none
}

// startDrain starts the shutdown when its notice arrives: the end of the context of Serve. A second notice has no
// effect.
func (b *Backend) startDrain() {
	if !b.process.BeginDrain(b.heartbeat.Earliest(), b.drain.grace, b.cfg.StopTimeout) {
		return
	}
	b.log.Info("shutdown started", "until_kill", b.process.KillTime()-b.now, "unanswered_requests", b.unanswered, "max_notice_delay", b.now-b.process.NoticeTime())
	b.logPhase()
	b.cluster.leave()
	b.drain.eventPending = true
}

// drainEvent returns the event that reports the shutdown notice to the overload controller. It comes first in its batch,
// and its durations are relative to the time of that batch.
func (b *Backend) drainEvent() overload.Event {
	return overload.Event{
		Kind:       overload.Drain,
		QueueDelay: b.now - b.process.NoticeTime(),
		Remaining:  b.process.AnswerDeadline() - b.now,
	}
}

// logPhase logs the present phase of the shutdown.
func (b *Backend) logPhase() {
	b.log.Info("shutdown phase changed", "new_phase", b.process.Phase(), "until_kill", b.process.KillTime()-b.now, "unanswered_requests", b.unanswered,
		"connections", len(b.frontend.clients), "incomplete_request_bytes", b.frontend.partialBytes)
}

// pendingWork returns the work that the exit of the process has to wait for.
func (b *Backend) pendingWork() lifecycle.PendingWork {
	return lifecycle.PendingWork{
		Unanswered:  b.unanswered,
		Connections: len(b.frontend.clients),
		Accepting:   !b.listenersClosed(),
		Unhandled:   !b.loop.Idle(),
		Unsaved:     b.guard.enabled() && b.process.Phase() < lifecycle.Ending,
	}
}

// advanceShutdown advances the shutdown as far as time and pending work allow, and reports whether the process may exit.
func (b *Backend) advanceShutdown() (exit bool) {
	for b.process.Advance(b.now, b.pendingWork()) {
		b.logPhase()
		switch b.process.Phase() {
		case lifecycle.Closing:
			b.beginClosing()
		case lifecycle.Ended:
			b.failUnanswered()
			return true
		}
	}
	switch b.process.Phase() {
	case lifecycle.Serving:
	case lifecycle.Draining:
		b.wakeBy(b.process.ClosingTime())
	case lifecycle.Closing:
		b.frontend.closeAllWhenIdle()
		b.wakeBy(b.now + closingCheckInterval)
	default:
		b.frontend.closeAllRejectingPartials()
		b.wakeBy(b.now + closingCheckInterval)
	}
	return false
}

// beginClosing closes the listeners, and stops waiting for the processor: it admits the unverified requests and answers
// the deep health checks.
func (b *Backend) beginClosing() {
	b.closeListeners()
	b.processor.admitAllUnverified()
	for client := range b.frontend.clients {
		b.frontend.expireDeepChecks(client, math.MaxInt64)
	}
	b.runController()
}

// failUnanswered answers the requests that are still unanswered, so that each request that was read gets a final
// response.
func (b *Backend) failUnanswered() {
	for _, r := range b.sortedRequests() {
		if !b.hasClient(r) {
			continue
		}
		b.log.Warn("request cancelled at shutdown deadline", "id", r.wireID, "not_started", !r.state.runInProgress())
		if r.state.runInProgress() {
			b.frontend.respondFailure(r, accounting.Cancelled)
		} else {
			b.frontend.rejectNotReady(r)
		}
		b.finishAnswered(r)
	}
	invariant.Check(b.unanswered == 0, "a process that exits has answered every request")
}
