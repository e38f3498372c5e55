package backend

import "frosthub/internal/processor"

func (l *processorLink) write(command []byte) { l.conn.Write(command) }

// requestGauges queries the gauges and reports whether there is anybody to ask.
func (l *processorLink) requestGauges() bool {
	if !l.greeted {
		return false
	}
	l.lastTag++
	l.backend.scratch = processor.AppendGaugeRequest(l.backend.scratch[:0], l.lastTag)
	l.write(l.backend.scratch)
	return true
}

// startCheck asks for the work of a deep health check and returns the tag of the query. Where the link is down the
// processor is asked once the link stands.
func (l *processorLink) startCheck() uint64 {
	l.lastTag++
	l.pendingTrials = append(l.pendingTrials, l.lastTag)
	if l.greeted {
		l.write(processor.AppendCheck(nil, l.lastTag))
	}
	return l.lastTag
}

// start has the processor run r. If the link isn't ready the resynchronization sends the command.
func (l *processorLink) start(r *request) {
	if !l.ready() {
		return
	}
	r.startSent = true
	r.confirmTag = l.lastTag
	b := l.backend
	b.scratch = processor.AppendBegin(b.scratch[:0], r.wireID, b.handlers[r.handler].name, r.body)
	l.write(b.scratch)
}

// cancel has the processor stop the run of r.
func (l *processorLink) cancel(r *request) {
	r.cancelRequested = true
	if l.greeted {
		l.sendInterrupt(r)
	}
}

func (l *processorLink) sendInterrupt(r *request) {
	l.backend.scratch = processor.AppendInterrupt(l.backend.scratch[:0], r.wireID)
	l.write(l.backend.scratch)
}

// answer gives the run of r the reply to its call. The reply is kept until the next notice of the run.
func (l *processorLink) answer(r *request, body []byte) {
	r.callReply = append(r.callReply[:0], body...)
	r.callReplied = true
	l.sendAnswer(r)
}

// sendAnswer sends the reply kept for r. If the link isn't ready the resynchronization does.
func (l *processorLink) sendAnswer(r *request) {
	r.confirmTag = l.lastTag
	if !l.ready() {
		return
	}
	l.backend.scratch = processor.AppendCallReply(l.backend.scratch[:0], r.wireID, r.callReply)
	l.write(l.backend.scratch)
}
