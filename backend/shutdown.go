package backend

import (
	"math"
	"time"

	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// lookLeaving is between looks at what may be ended while the process ends.
const lookLeaving = 10 * time.Millisecond

// leave follows the notice to leave. A second one changes nothing.
func (b *Backend) leave() {
	if !b.process.Notify(b.heartbeat.Earliest(), b.grace, b.cfg.StopTimeout) {
		return
	}
	b.log.Info("leaving", "within", b.process.KillTime()-b.now, "owed", b.owed, "heard_late_by_at_most", b.now-b.process.Notified())
	b.tellPhase()
	b.cluster.leave()
	b.leaving = true
}

// leaveEvent is what the overload controller hears of the notice: before all else of the batch, and dated by the time that it is given with it.
func (b *Backend) leaveEvent() overload.Event {
	return overload.Event{Kind: overload.Drain, Delay: b.now - b.process.Notified(), Remaining: b.process.AnswerBy() - b.now}
}

// tellPhase logs how far the end of the process has come.
func (b *Backend) tellPhase() {
	b.log.Info("phase", "to", b.process.Phase(), "until_kill", b.process.KillTime()-b.now, "owed", b.owed, "connections", len(b.door.edges),
		"half_read_bytes", b.door.parts)
}

// workLeft is what the end of the process has to wait for.
func (b *Backend) workLeft() lifecycle.PendingWork {
	return lifecycle.PendingWork{Unanswered: b.owed, Connections: len(b.door.edges), Accepting: !b.listenersClosed(), Unhandled: !b.box.Idle(),
		Unsaved: b.keeper.on() && b.process.Phase() < lifecycle.Ending}
}

// shutdown takes the end of the process as far as the time allows, and tells whether it may end.
func (b *Backend) shutdown() bool {
	for b.process.Advance(b.now, b.workLeft()) {
		b.tellPhase()
		switch b.process.Phase() {
		case lifecycle.Closing:
			b.closing()
		case lifecycle.Ended:
			b.giveUpAll()
			return true
		}
	}
	switch b.process.Phase() {
	case lifecycle.Serving:
		return false
	case lifecycle.Draining:
		b.at(b.process.ClosesAt())
		return false
	}
	b.door.rest(b.process.Phase() == lifecycle.Ending)
	b.at(b.now + lookLeaving)
	return false
}

// closing accepts nothing more, and waits no longer for what others may say.
func (b *Backend) closing() {
	b.closeListeners()
	b.link.admitAll()
	for e := range b.door.edges {
		b.door.untried(e, math.MaxInt64)
	}
	b.decide()
}

// giveUpAll answers what is still owed: nothing that was read goes without a final answer.
func (b *Backend) giveUpAll() {
	for _, r := range b.known() {
		if b.owes(r) {
			b.log.Warn("req given up at the stop", "id", r.name, "held", r.at < running)
			if r.at < running {
				b.door.refused(r)
			} else {
				b.door.errored(r, accounting.Cancelled)
			}
			b.answered(r)
		}
	}
	invariant.Check(b.owed == 0, "a process that exits owes nothing")
}

func (b *Backend) closeListeners() {
	for _, ln := range b.ln {
		_ = ln.Close()
	}
}

func (b *Backend) listenersClosed() bool {
	for _, ln := range b.ln {
		if !ln.Closed() {
			return false
		}
	}
	return true
}
