package backend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// runProbeTimeout limits the wait for a notice about a run whose start may be lost, and then the wait for a notice that
// follows its interrupt. It is twenty ticks of the processor.
const runProbeTimeout = 100 * time.Millisecond

// sortedRequests returns all requests ordered by id, so that iteration is deterministic.
func (b *Backend) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(b.requests), func(x, y *request) int { return cmp.Compare(x.id, y.id) })
}

// resync sends the commands that could not be sent before, and handles those that may have been lost with the previous
// connection; ackedTag is the tag of the last query that was answered on it. All notices that the processor retained have
// been received by now.
//
// A start that is not proved to have arrived is retried at once if the request is replayable. Otherwise the link waits
// for a notice about the run, since a retried start could cross with the end of the run. Without a notice the run is
// interrupted, and counts as never started if no notice follows that either. See probe.
//
// A reply to a call is never retried, since nothing proves that it was lost. See unconfirmedRuns.
func (l *processorLink) resync(ackedTag uint64) {
	for _, r := range l.backend.sortedRequests() {
		if r.state.runInProgress() {
			l.resyncRun(r, ackedTag)
		}
	}
}

// resyncRun sends or handles the last command about one run. See resync.
func (l *processorLink) resyncRun(r *request, ackedTag uint64) {
	b := l.backend
	if !r.startSent {
		if b.isWanted(r) {
			l.start(r)
		} else {
			b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		}
		return
	}
	command := l.startCommand(r)
	maybeLost := r.tagBeforeCommand >= ackedTag
	switch {
	case r.replyUnsent:
		l.sendCallReply(r)
	case r.noticeDeadline > 0: // unconfirmed since an earlier connection was lost
	case maybeLost && !r.runNoticeReceived && !r.cancelRequested && lifecycle.CheckRetry(command) == lifecycle.Allowed:
		l.retryStart(r, command, "the request is replayable")
	case maybeLost && !r.runNoticeReceived:
		l.beginProbe(r)
		return
	case maybeLost && r.callReplied:
		l.awaitNotice(r)
	}
	if r.cancelRequested || r.noticeDeadline > 0 && r.restartWhenCancelled {
		l.sendInterrupt(r)
	}
}

// beginProbe starts the probe of a run whose start may be lost. See probe.
func (l *processorLink) beginProbe(r *request) {
	if r.cancelRequested {
		l.cancel(r)
	}
	if r.probeDeadline == 0 { // otherwise the connection was lost again during the probe
		l.probeCount++
	}
	r.probeTag = 0
	r.probeDeadline = l.backend.now + runProbeTimeout
}

// probe takes the next step in determining whether a run was ever started; ackedTag is the tag of the query that was
// just answered. The probe waits for a notice about the run, then for one that follows its interrupt. If a query sent after
// that is answered and still no notice was received, the start was lost.
func (l *processorLink) probe(r *request, ackedTag uint64) {
	now := l.backend.now
	switch {
	case r.probeDeadline == 0 || now < r.probeDeadline:
	case r.runNoticeReceived: // the run is in progress, or the notice of its end follows
		l.endProbe(r)
	case !r.cancelRequested:
		l.cancel(r)
		r.probeDeadline = now + runProbeTimeout
	case r.probeTag == 0:
		r.probeTag = l.lastTag + 1 // the next query
	case ackedTag >= r.probeTag:
		l.onStartLost(r)
	}
}

// endProbe ends the probe of a run, whatever its result.
func (l *processorLink) endProbe(r *request) {
	l.probeCount--
	r.probeTag = 0
	r.probeDeadline = 0
}

// onStartLost retries a start that is proved lost, or ends the request if no client waits for it.
func (l *processorLink) onStartLost(r *request) {
	l.endProbe(r)
	r.cancelRequested = false
	command := l.startCommand(r)
	command.NeverRan = true
	if lifecycle.CheckRetry(command) == lifecycle.ClientGone {
		l.backend.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		return
	}
	l.retryStart(r, command, "the request is proved never to have run")
}

// onNoticesLost handles the loss of notices. The outcomes of the runs stay unknown, so the runs are interrupted and fail
// without a retry.
func (l *processorLink) onNoticesLost() {
	for _, r := range l.backend.sortedRequests() {
		if r.state.runInProgress() && r.startSent {
			l.cancel(r)
			l.backend.runEnded(r, overload.Failed, accounting.ProcessorLost, 0, nil)
		}
	}
}

// startCommand describes the start of r for lifecycle.CheckRetry.
func (l *processorLink) startCommand(r *request) lifecycle.Command {
	return lifecycle.Command{
		Idempotent: l.backend.handlers[r.handler].replayable,
		Wanted:     l.backend.hasClient(r),
	}
}

// retryStart resends a start if lifecycle.CheckRetry allows it.
func (l *processorLink) retryStart(r *request, command lifecycle.Command, reason string) {
	if decision := lifecycle.CheckRetry(command); decision != lifecycle.Allowed {
		l.backend.recordViolation("retry start", r, decision)
		return
	}
	l.logRetry(r, "begin", reason)
	l.start(r)
}

// logRetry counts and logs a command that is resent after a connection loss.
func (l *processorLink) logRetry(r *request, command, reason string) {
	l.backend.stats.Repeated++
	handler := l.backend.handlers[r.handler].name
	l.backend.logLimited("processor command retried", "command", command, "id", r.wireID, "handler", handler, "reason", reason)
}
