package backend

import "frosthub/internal/processor"

func (l *processorLink) write(command []byte) { l.conn.Write(command) }

// requestGauges sends a query for the gauges. It returns false and sends nothing until the processor's hello is received.
func (l *processorLink) requestGauges() bool {
	if !l.helloReceived {
		return false
	}
	l.lastTag++
	l.backend.scratch = processor.AppendGaugeRequest(l.backend.scratch[:0], l.lastTag)
	l.write(l.backend.scratch)
	return true
}

// startDeepCheck sends the query of a deep health check and returns its tag. Until the processor's hello is received, the
// query is only added to pendingChecks, and onHello sends it.
func (l *processorLink) startDeepCheck() uint64 {
	l.lastTag++
	l.pendingChecks = append(l.pendingChecks, l.lastTag)
	if l.helloReceived {
		l.write(processor.AppendCheck(nil, l.lastTag))
	}
	return l.lastTag
}

// start sends the begin command for r. If the link isn't ready, the resynchronization sends it later.
func (l *processorLink) start(r *request) {
	if !l.ready() {
		return
	}
	r.startSent = true
	r.tagBeforeCommand = l.lastTag
	b := l.backend
	b.scratch = processor.AppendBegin(b.scratch[:0], r.wireID, b.handlers[r.handler].name, r.body)
	l.write(b.scratch)
}

// cancel sends an interrupt for the run of r. Until the processor's hello is received, the request is only marked, and the
// resynchronization sends the interrupt.
func (l *processorLink) cancel(r *request) {
	r.cancelRequested = true
	l.sendInterrupt(r)
}

// sendInterrupt sends an interrupt for the run of r, unless the settings rule interrupts out or the processor's hello was
// not received yet.
func (l *processorLink) sendInterrupt(r *request) {
	if !l.backend.canCancel || !l.helloReceived {
		return
	}
	l.backend.scratch = processor.AppendInterrupt(l.backend.scratch[:0], r.wireID)
	l.write(l.backend.scratch)
}

// replyToCall sends the run of r the reply to its call. If the link isn't ready, the reply is kept, and sendUnsentCommand
// sends it later.
func (l *processorLink) replyToCall(r *request, body []byte) {
	r.callReplied = true
	r.replyUnsent = !l.ready()
	if r.replyUnsent {
		r.callReply = append(r.callReply[:0], body...)
		return
	}
	r.callReply = nil
	r.tagBeforeCommand = l.lastTag
	l.backend.scratch = processor.AppendCallReply(l.backend.scratch[:0], r.wireID, body)
	l.write(l.backend.scratch)
}
