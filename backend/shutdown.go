package backend

import (
	"math"
	"time"

	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// closingCheckInterval is how often a process that ends checks what may be closed.
const closingCheckInterval = 10 * time.Millisecond

// drainState is what the end of the process needs beside lifecycle.Process.
type drainState struct {
	eventPending bool          // the notice came, and the overload controller has not heard of it
	grace        time.Duration // after the notice, in which a request that is read may still start
	retryAfter   time.Duration // the retry-after of requests that are rejected at the end; 0 for none
}

// startDrain follows the notice to leave. A second one changes nothing.
func (b *Backend) startDrain() {
	if !b.process.BeginDrain(b.heartbeat.Earliest(), b.drain.grace, b.cfg.StopTimeout) {
		return
	}
	b.log.Info("shutdown started", "within", b.process.KillTime()-b.now, "owed", b.unanswered, "heard_late_by_at_most", b.now-b.process.NoticeTime())
	b.logPhase()
	b.cluster.leave()
	b.drain.eventPending = true
}

// drainEvent returns the event by which the overload controller hears of the notice: first in its batch, and dated by
// the time of that batch.
func (b *Backend) drainEvent() overload.Event {
	return overload.Event{
		Kind:       overload.Drain,
		QueueDelay: b.now - b.process.NoticeTime(),
		Remaining:  b.process.AnswerDeadline() - b.now,
	}
}

// logPhase logs how far the end of the process has come.
func (b *Backend) logPhase() {
	b.log.Info("shutdown phase", "to", b.process.Phase(), "until_kill", b.process.KillTime()-b.now, "owed", b.unanswered,
		"connections", len(b.frontend.clients), "half_read_bytes", b.frontend.partialBytes)
}

// pendingWork returns what the end of the process has to wait for.
func (b *Backend) pendingWork() lifecycle.PendingWork {
	return lifecycle.PendingWork{
		Unanswered:  b.unanswered,
		Connections: len(b.frontend.clients),
		Accepting:   !b.listenersClosed(),
		Unhandled:   !b.loop.Idle(),
		Unsaved:     b.guard.enabled() && b.process.Phase() < lifecycle.Ending,
	}
}

// advanceShutdown takes the end of the process as far as the time allows, and reports whether it may exit.
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

// beginClosing accepts no more connections, and waits no longer for what others may say.
func (b *Backend) beginClosing() {
	b.closeListeners()
	b.processor.admitAllUnverified()
	for client := range b.frontend.clients {
		b.frontend.expireDeepChecks(client, math.MaxInt64)
	}
	b.runController()
}

// failUnanswered answers what is still unanswered, so that nothing which was read goes without a final answer.
func (b *Backend) failUnanswered() {
	for _, r := range b.sortedRequests() {
		if !b.hasClient(r) {
			continue
		}
		b.log.Warn("request cancelled at shutdown deadline", "id", r.wireID, "held", !r.state.runInProgress())
		if r.state.runInProgress() {
			b.frontend.respondFailure(r, accounting.Cancelled)
		} else {
			b.frontend.rejectNotReady(r)
		}
		b.finishAnswered(r)
	}
	invariant.Check(b.unanswered == 0, "a process that exits has answered every request")
}
