package backend

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"frosthub/accounting"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// sortedRequests returns all requests ordered by id, so that iteration is deterministic.
func (b *Backend) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(b.requests), func(x, y *request) int { return cmp.Compare(x.id, y.id) })
}

// runsInProgress returns the requests whose runs are in progress, ordered by id. It checks each when it is reached, since
// handling one may start or end others.
func (b *Backend) runsInProgress() iter.Seq[*request] {
	return func(yield func(*request) bool) {
		for _, r := range b.sortedRequests() {
			if r.state.runInProgress() && !yield(r) {
				return
			}
		}
	}
}

// resync sends the commands that could not be sent before, and handles those that may have been lost with the previous
// connection; ackedTag is the tag of the last query that was answered on it. All notices that the processor retained have
// been received by now.
//
// The start of a replayable request is sent again if it may have been lost: at worst the request runs twice. Other starts
// and replies are not, since nothing proves that they were lost. See unconfirmedRuns. Interrupts are always sent again.
func (l *processorLink) resync(ackedTag uint64) {
	for r := range l.backend.runsInProgress() {
		l.resyncRun(r, ackedTag)
	}
}

// sendUnsent sends the commands that could not be sent while the link was not ready.
func (l *processorLink) sendUnsent() {
	for r := range l.backend.runsInProgress() {
		l.sendUnsentCommand(r)
	}
}

// sendUnsentCommand sends the start of a run, or the reply to its call, if it was not sent before, and reports whether
// that was so. A start that no client waits for any more ends the request instead.
func (l *processorLink) sendUnsentCommand(r *request) (wasUnsent bool) {
	switch {
	case !r.startSent && l.backend.isWanted(r):
		l.start(r)
	case !r.startSent:
		l.backend.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
	case r.replyUnsent:
		l.replyToCall(r, r.callReply)
	default:
		return false
	}
	return true
}

// resyncRun sends or handles the last command about one run. See resync.
func (l *processorLink) resyncRun(r *request, ackedTag uint64) {
	maybeLost := r.tagBeforeCommand >= ackedTag
	switch {
	case l.sendUnsentCommand(r):
	case r.noticeDeadline > 0: // unconfirmed since an earlier connection was lost
	case maybeLost && !r.runNoticeReceived && l.mayRetryStart(r):
		l.retryStart(r, "the request is replayable")
	case maybeLost && (!r.runNoticeReceived || r.callReplied):
		l.awaitNotice(r)
	}
	restarting := r.noticeDeadline > 0 && r.restartWhenCancelled
	if r.startSent && (r.cancelRequested || restarting) {
		l.sendInterrupt(r)
	}
}

// onNoticesLost handles the loss of notices. The outcomes of the runs stay unknown, so the runs are interrupted and fail
// without a retry.
func (l *processorLink) onNoticesLost() {
	for r := range l.backend.runsInProgress() {
		if r.startSent {
			l.failRun(r)
		}
	}
}

// failRun ends a request whose run has an unknown outcome, and interrupts the run in case it is in progress.
func (l *processorLink) failRun(r *request) {
	l.cancel(r)
	l.backend.runEnded(r, overload.Failed, accounting.ProcessorLost, 0, nil)
}

// checkStartRetry decides whether the start of r may be sent again although it may have been carried out.
func (l *processorLink) checkStartRetry(r *request) lifecycle.Decision {
	return lifecycle.CheckRetry(lifecycle.Command{
		Idempotent: l.backend.handlers[r.handler].replayable,
		Wanted:     l.backend.hasClient(r),
	})
}

// mayRetryStart reports whether the start of r may be sent again and the run is not to be cancelled.
func (l *processorLink) mayRetryStart(r *request) bool {
	return !r.cancelRequested && l.checkStartRetry(r) == lifecycle.Allowed
}

// retryStart resends a start if package lifecycle allows it, and counts and logs that.
func (l *processorLink) retryStart(r *request, reason string) {
	b := l.backend
	if decision := l.checkStartRetry(r); decision != lifecycle.Allowed {
		b.recordViolation("retry start", r, decision)
		return
	}
	b.stats.Repeated++
	b.logLimited("processor command retried", "command", "begin", "id", r.wireID, "handler", b.handlers[r.handler].name, "reason", reason)
	l.start(r)
}
