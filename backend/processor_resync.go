package backend

import (
	"cmp"
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

// resync sends the commands that could not be sent before, and handles those that may have been lost with the previous
// connection; ackedTag is the tag of the last query that was answered on it. All notices that the processor retained have
// been received by now.
//
// The start of a replayable request is sent again if it may have been lost: at worst the request runs twice. No other
// command is, since nothing proves that it was lost. See unconfirmedRuns.
func (l *processorLink) resync(ackedTag uint64) {
	for _, r := range l.backend.sortedRequests() {
		if r.state.runInProgress() {
			l.resyncRun(r, ackedTag)
		}
	}
}

// sendUnsent sends the commands that could not be sent while the link was not ready.
func (l *processorLink) sendUnsent() {
	for _, r := range l.backend.sortedRequests() {
		if r.state.runInProgress() {
			l.sendUnsentCommand(r)
		}
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
		l.sendCallReply(r)
	default:
		return false
	}
	return true
}

// resyncRun sends or handles the last command about one run. See resync.
func (l *processorLink) resyncRun(r *request, ackedTag uint64) {
	command := l.startCommand(r)
	maybeLost := r.tagBeforeCommand >= ackedTag
	switch {
	case l.sendUnsentCommand(r):
	case r.noticeDeadline > 0: // unconfirmed since an earlier connection was lost
	case maybeLost && !r.runNoticeReceived && !r.cancelRequested && lifecycle.CheckRetry(command) == lifecycle.Allowed:
		l.retryStart(r, command, "the request is replayable")
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
