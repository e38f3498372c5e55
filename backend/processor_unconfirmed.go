package backend

import (
	"slices"
	"time"

	"frosthub/internal/processor"
	"frosthub/overload"
)

// runNoticeTimeout is how long the next notice about an unconfirmed run is awaited before the run is cancelled in order
// to start again. It is also the shortest wait before an unconfirmed run fails.
const runNoticeTimeout = 100 * time.Millisecond

// unconfirmedRuns holds the runs whose last command, the start of the run or the reply to its call, may have been lost with
// a connection to the processor.
//
// Only a notice about the run shows what became of the command. A missing notice proves nothing, since a run may work for
// any time before its next notice. Nor does an interrupt without effect: the settings may rule interrupts out, and they have
// no effect while the processor's cores are stalled. If the command were sent again, a second run could start after the end
// of the first one, or the reply could reach the next call of the run. These are the transitions of an unconfirmed run:
//
//	unconfirmed  → confirmed    a notice about the run was received (onCallRequest, runEnded)
//	unconfirmed  → interrupted  runNoticeTimeout has passed, and the run may start again (expireUnconfirmed)
//	interrupted  → confirmed    as above
//	interrupted  → started      the run was cancelled, so the processor executes it no more (restartRun)
//	unconfirmed  → failed       the response target of the request has passed (failUnconfirmed)
//	interrupted  → failed       as above
//
// It is not safe for concurrent use.
type unconfirmedRuns struct {
	unconfirmed []*request // in the order in which they became unconfirmed
}

// confirm removes a run about which a notice was received, or whose request has ended.
func (u *unconfirmedRuns) confirm(r *request) {
	if r.noticeDeadline == 0 {
		return
	}
	r.noticeDeadline = 0
	u.unconfirmed = slices.DeleteFunc(u.unconfirmed, func(other *request) bool { return other == r })
}

// awaitNotice makes a run unconfirmed.
func (l *processorLink) awaitNotice(r *request) {
	l.backend.stats.Unconfirmed++
	l.unconfirmed = append(l.unconfirmed, r)
	r.restartWhenCancelled = false
	r.noticeDeadline = l.failureTime(r)
	if l.mayRestart(r) {
		r.noticeDeadline = l.backend.now + runNoticeTimeout
	}
	l.backend.wakeBy(r.noticeDeadline)
}

// failureTime returns when an unconfirmed run fails: at the response target of its request, after which a result has
// little value.
func (l *processorLink) failureTime(r *request) time.Duration {
	target := r.arrivedAt + l.backend.handlers[r.handler].responseTarget
	return max(target, l.backend.now+runNoticeTimeout)
}

// mayRestart reports whether the run of r may be cancelled in order to start again.
func (l *processorLink) mayRestart(r *request) bool { return l.backend.canCancel && l.mayRetryStart(r) }

// expireUnconfirmed cancels the unconfirmed runs that may start again, and fails those whose response target has passed.
func (l *processorLink) expireUnconfirmed() {
	b := l.backend
	for _, r := range slices.Clone(l.unconfirmed) {
		switch {
		case b.now < r.noticeDeadline:
			b.wakeBy(r.noticeDeadline)
		case !r.restartWhenCancelled && l.mayRestart(r):
			l.cancelToRestart(r)
		default:
			l.failUnconfirmed(r)
		}
	}
}

// cancelToRestart sends an interrupt for a run that is to start again. Until the processor's hello is received, the run is
// only marked, and the resynchronization sends the interrupt.
func (l *processorLink) cancelToRestart(r *request) {
	r.restartWhenCancelled = true
	r.noticeDeadline = l.failureTime(r)
	l.backend.wakeBy(r.noticeDeadline)
	l.sendInterrupt(r)
}

// failUnconfirmed ends a request whose run was not confirmed in time. The outcome of the run stays unknown.
func (l *processorLink) failUnconfirmed(r *request) {
	handler := l.backend.handlers[r.handler].name
	l.backend.logLimited("processor command unconfirmed", "id", r.wireID, "handler", handler, "call_replied", r.callReplied)
	l.failRun(r)
}

// onComplete handles the notice that a run has ended.
func (l *processorLink) onComplete(r *request, n *processor.Notice) {
	if n.Outcome == overload.Cancelled && r.restartWhenCancelled && r.state == stateRunning && l.mayRestart(r) {
		l.restartRun(r)
		return
	}
	l.backend.runEnded(r, n.Outcome, reasonForOutcome(n.Outcome), n.Elapsed, n.Body)
}

// restartRun starts a replayable run again from its beginning, after the processor has cancelled it.
func (l *processorLink) restartRun(r *request) {
	l.confirm(r)
	r.restartWhenCancelled = false
	r.startSent = false
	r.runNoticeReceived = false
	r.clearReply()
	l.retryStart(r, "the run was cancelled")
}
