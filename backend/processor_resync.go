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

// runProbeTimeout is how long a notice of a run that may never have been started is waited for, and then one of its
// interrupt: twenty ticks of the processor.
const runProbeTimeout = 100 * time.Millisecond

// sortedRequests returns all requests in an order that is the same in each run of the program.
func (b *Backend) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(b.requests), func(x, y *request) int { return cmp.Compare(x.id, y.id) })
}

// resync retries the commands that a break of the link may have lost; acked is the tag of the last query that was
// answered before the break. All notices that the processor kept are read by now.
//
// A start that is not proved to have arrived is retried at once where the request may run again. Elsewhere a notice of
// the run is waited for: a start could meet a run that is just ending. Without a notice the run is interrupted, and
// counts as never started if no notice follows that either. See probe.
func (l *processorLink) resync(acked uint64) {
	for _, r := range l.backend.sortedRequests() {
		if r.state.runInProgress() {
			l.resyncRun(r, acked)
		}
	}
}

func (l *processorLink) resyncRun(r *request, acked uint64) {
	b := l.backend
	maybeLost := r.tagBeforeCommand >= acked
	command := l.startCommand(r)
	switch {
	case !r.startSent && !b.isWanted(r):
		b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
	case !r.startSent:
		l.start(r)
	case maybeLost && !r.runNoticeReceived && !r.cancelRequested && lifecycle.CheckRetry(command) == lifecycle.Allowed:
		l.retryStart(r, command, "it may run again")
	case maybeLost && !r.runNoticeReceived:
		l.beginProbe(r)
	case r.cancelRequested:
		l.cancel(r)
	case r.callReplied && maybeLost:
		l.logRetry(r, "answer", "nothing was heard of the run since")
		l.sendCallReply(r)
	}
}

// beginProbe has a run whose start may be lost watched by probe.
func (l *processorLink) beginProbe(r *request) {
	if r.cancelRequested {
		l.cancel(r)
	}
	if r.probeDeadline == 0 { // else the link broke again during the probe
		l.probeCount++
	}
	r.probeTag = 0
	r.probeDeadline = l.backend.now + runProbeTimeout
}

// probe takes the next step of finding out whether a run was ever started; acked is the tag of the query that was just
// answered. First a notice of the run is waited for, then one that follows its interrupt. If a query sent after that is
// answered and there was still no notice, the start was lost.
func (l *processorLink) probe(r *request, acked uint64) {
	now := l.backend.now
	switch {
	case r.probeDeadline == 0 || now < r.probeDeadline:
	case r.runNoticeReceived: // it runs, or its end follows
		l.endProbe(r)
	case !r.cancelRequested:
		l.cancel(r)
		r.probeDeadline = now + runProbeTimeout
	case r.probeTag == 0:
		r.probeTag = l.lastTag + 1 // the next query
	case acked >= r.probeTag:
		l.onStartLost(r)
	}
}

func (l *processorLink) endProbe(r *request) {
	l.probeCount--
	r.probeTag = 0
	r.probeDeadline = 0
}

// onStartLost follows the proof that a start was lost.
func (l *processorLink) onStartLost(r *request) {
	l.endProbe(r)
	r.cancelRequested = false
	command := l.startCommand(r)
	command.NeverRan = true
	if lifecycle.CheckRetry(command) == lifecycle.ClientGone {
		l.backend.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		return
	}
	l.retryStart(r, command, "it is proved never to have run")
}

// onNoticesLost follows the loss of notices: the outcomes of the runs are unknown for good. None is retried; those that
// still run are interrupted.
func (l *processorLink) onNoticesLost() {
	for _, r := range l.backend.sortedRequests() {
		if r.state.runInProgress() && r.startSent {
			l.cancel(r)
			l.backend.runEnded(r, overload.Failed, accounting.ProcessorLost, 0, nil)
		}
	}
}

// startCommand describes the start of r for the decision whether it may be retried.
func (l *processorLink) startCommand(r *request) lifecycle.Command {
	return lifecycle.Command{
		Idempotent: l.backend.handlers[r.handler].replayable,
		Wanted:     l.backend.hasClient(r),
	}
}

// retryStart sends a start again if that is allowed.
func (l *processorLink) retryStart(r *request, command lifecycle.Command, reason string) {
	if verdict := lifecycle.CheckRetry(command); verdict != lifecycle.Allowed {
		l.backend.recordViolation("begin again", r, verdict)
		return
	}
	l.logRetry(r, "begin", reason)
	l.start(r)
}

// logRetry counts and logs a command that is sent again after a break.
func (l *processorLink) logRetry(r *request, command, reason string) {
	l.backend.stats.Repeated++
	handler := l.backend.handlers[r.handler].name
	l.backend.logLimited("processor command retried", "command", command, "id", r.wireID, "handler", handler, "reason", reason)
}
