package backend

import (
	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
	"math"
	"time"
)

// lookLeaving is between looks at what may be ended while the process ends.
const lookLeaving = 10 * time.Millisecond

// startDrain follows the notice to leave. A second one changes nothing.
func (b *Backend) startDrain() {
	if !b.process.Notify(b.heartbeat.Earliest(), b.grace, b.cfg.StopTimeout) {
		return
	}
	b.log.Info("leaving", "within", b.process.KillTime()-b.now, "owed", b.unanswered, "heard_late_by_at_most", b.now-b.process.Notified())
	b.logPhase()
	b.cluster.leave()
	b.drainPending = true
}

// drainEvent is what the overload controller hears of the notice: before all else of the batch, and dated by the time that it is given with it.
func (b *Backend) drainEvent() overload.Event {
	return overload.Event{Kind: overload.Drain, Delay: b.now - b.process.Notified(), Remaining: b.process.AnswerBy() - b.now}
}

// logPhase logs how far the end of the process has come.
func (b *Backend) logPhase() {
	b.log.Info("phase", "to", b.process.Phase(), "until_kill", b.process.KillTime()-b.now, "owed", b.unanswered, "connections", len(b.frontend.clients),
		"half_read_bytes", b.frontend.partialBytes)
}

// pendingWork is what the end of the process has to wait for.
func (b *Backend) pendingWork() lifecycle.PendingWork {
	return lifecycle.PendingWork{
		Unanswered: b.unanswered, Connections: len(b.frontend.clients), Accepting: !b.listenersClosed(), Unhandled: !b.loop.Idle(),
		Unsaved: b.guard.enabled() && b.process.Phase() < lifecycle.Ending,
	}
}

// shutdown takes the end of the process as far as the time allows, and tells whether it may end.
func (b *Backend) shutdown() bool {
	for b.process.Advance(b.now, b.pendingWork()) {
		b.logPhase()
		switch b.process.Phase() {
		case lifecycle.Closing:
			b.closing()
		case lifecycle.Ended:
			b.failAll()
			return true
		}
	}
	switch b.process.Phase() {
	case lifecycle.Serving:
		return false
	case lifecycle.Draining:
		b.wakeBy(b.process.ClosesAt())
		return false
	}
	b.frontend.closeAll(b.process.Phase() == lifecycle.Ending)
	b.wakeBy(b.now + lookLeaving)
	return false
}

// closing accepts nothing more, and waits no longer for what others may say.
func (b *Backend) closing() {
	b.closeListeners()
	b.processor.admitAll()
	for e := range b.frontend.clients {
		b.frontend.expireChecks(e, math.MaxInt64)
	}
	b.runController()
}

// failAll answers what is still owed: nothing that was read goes without a final answer.
func (b *Backend) failAll() {
	for _, r := range b.requestsByID() {
		if b.hasClient(r) {
			b.log.Warn("req given up at the stop", "id", r.wireID, "held", r.state < stateRunning)
			if r.state < stateRunning {
				b.frontend.rejectNotReady(r)
			} else {
				b.frontend.failed(r, accounting.Cancelled)
			}
			b.finishAnswered(r)
		}
	}
	invariant.Check(b.unanswered == 0, "a process that exits owes nothing")
}

func (b *Backend) closeListeners() {
	for _, ln := range b.listeners {
		_ = ln.Close()
	}
}

func (b *Backend) listenersClosed() bool {
	for _, ln := range b.listeners {
		if !ln.Closed() {
			return false
		}
	}
	return true
}
