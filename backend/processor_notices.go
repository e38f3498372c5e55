package backend

import (
	"slices"

	"frosthub/accounting"
	"frosthub/internal/processor"
	"frosthub/overload"
)

// onNotice handles one notice of the processor.
func (l *processorLink) onNotice(n processor.Notice) {
	b := l.backend
	if !l.acceptNotice(&n) {
		return
	}
	switch n.Kind {
	case processor.Hello:
		l.onHello(&n)
	case processor.Complete:
		if r := b.requests[n.ID]; r != nil {
			l.onComplete(r, &n)
		}
	case processor.CallRequest:
		if r := b.requests[n.ID]; r != nil {
			l.onCallRequest(r, n.Body)
		}
	case processor.Gauges:
		l.onGauges(&n)
	case processor.CheckDone:
		l.pendingChecks = slices.DeleteFunc(l.pendingChecks, func(tag uint64) bool { return tag == n.Tag })
		b.frontend.finishDeepCheck(n.Tag, n.Outcome == overload.OK)
	case processor.Reject:
		l.onReject(&n)
	case processor.Remark:
		b.stats.Remarks++
	}
}

// acceptNotice checks the number of a numbered notice, and reports whether the notice is new. A gap in the numbers makes
// the outcomes of all runs unknown. A notice that precedes the processor's hello shows no gap and is dropped: the
// processor sends it again with all others that follow the hello.
func (l *processorLink) acceptNotice(n *processor.Notice) bool {
	switch n.Kind {
	case processor.Complete, processor.CallRequest, processor.Remark:
	default:
		return true // not numbered
	}
	if !l.helloReceived || n.Number <= l.lastNotice {
		return false // it follows the hello, or was received before the connection was lost
	}
	if n.Number != l.lastNotice+1 {
		l.backend.logLimited("processor notices lost", "last_number", l.lastNotice, "received_number", n.Number)
		l.onNoticesLost()
	}
	l.lastNotice = n.Number
	return true
}

// onHello handles the first notice of a connection.
func (l *processorLink) onHello(n *processor.Notice) {
	b := l.backend
	l.helloReceived = true
	l.redialDelay = firstRedialDelay
	if b.controller == nil {
		b.startController(n.WarmingUp, b.now-min(n.Elapsed, b.now))
	} else if n.Elapsed < l.processorAge { // the same process would be older, however late the notice is read
		b.logLimited("processor restarted", "age", n.Elapsed)
		l.onNoticesLost()
		l.lastNotice = 0
	}
	l.processorAge = n.Elapsed
	for _, tag := range l.pendingChecks {
		l.write(processor.AppendCheck(nil, tag))
	}
	l.requestGauges()
	l.resyncTag = l.lastTag
}

// onCallRequest handles the notice that a run requests an upstream call.
func (l *processorLink) onCallRequest(r *request, body []byte) {
	b := l.backend
	l.confirm(r)
	r.runNoticeReceived = true
	r.clearReply()
	r.callBody = append(r.callBody[:0], body...)
	r.awaitCall()
	b.stats.CallsRequested++
	if !b.isWanted(r) {
		b.cancelRun(r)
	}
	b.events = append(b.events, overload.Event{Kind: overload.NeedsCall, ID: r.id})
}

// onGauges handles the answer to a query for gauges, and acts on the proof that earlier commands have arrived.
func (l *processorLink) onGauges(n *processor.Notice) {
	b := l.backend
	previousAckedTag := l.ackedTag
	l.ackedTag = max(l.ackedTag, n.Tag)
	l.admitUnverified(n.Tag)
	b.gauges = append(b.gauges[:0], n.Gauges...)
	if b.gaugesDeadline > 0 {
		b.addTimerEvent()
	}
	if l.quiesceTag > 0 && n.Tag >= l.quiesceTag {
		l.switchToReplacement()
		return
	}
	if l.resyncTag > 0 && n.Tag >= l.resyncTag {
		l.resyncTag = 0
		l.resync(previousAckedTag)
	}
}

// onReject handles the rejection of a command. The processor does not recognize the request, so nothing was run.
func (l *processorLink) onReject(n *processor.Notice) {
	b := l.backend
	b.stats.Rejects++
	b.logLimited("processor rejected command", "command", n.Text)
	r := b.requests[n.ID]
	switch {
	case r == nil:
	case n.Text == "interrupt" && r.state == stateUnverified:
		b.frontend.rejectUnknown(r)
	case n.Text == "begin" && r.state == stateRunning && r.startSent && !r.runNoticeReceived:
		if b.hasClient(r) {
			r.client.verified = false
		}
		b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
	}
}
