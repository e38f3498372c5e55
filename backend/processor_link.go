package backend

import (
	"cmp"
	"frosthub/accounting"
	"frosthub/internal/conn"
	"frosthub/internal/processor"
	"frosthub/lifecycle"
	"frosthub/overload"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	redial          = 2 * time.Millisecond   // before the first further try to reach the processor
	redialMax       = 500 * time.Millisecond // between later ones: it may come up long after this backend
	quietMost       = 50 * time.Millisecond  // for the last answer on a link that is to be replaced
	probeWait       = 100 * time.Millisecond // for a word of a run that may not be, and then of its interrupt: twenty ticks
	unverifiedMost  = 500 * time.Millisecond // for the processor's word whether it knows a req: far past any pause
	linkShare       = 0.25                   // of the memory limit, for commands that wait, and as much for notices
	oldAddressGrace = 1400 * time.Millisecond
)

// processorLink is the link to the processor. It may break; what was sent on it then may or may not have arrived. The
// processor keeps its notices and takes commands in their order, so a question for gauges that is answered
// proves that all before it arrived, and that all notices of before were read.
type processorLink struct {
	backend       *Backend
	address       string
	conn          *conn.Conn    // nil while there is none
	replacement   *conn.Conn    // takes its place once all that was sent on c is proved to have arrived
	quiesceTag    uint64        // the question whose answer proves it; no commands are sent meanwhile; 0 none
	quiesceBy     time.Duration // it is replaced then without that
	moved         bool          // c leads to an address that is no more
	closeAt       time.Duration // it is closed then
	greeted       bool          // hi was read on this one
	lastNotice    uint64        // the last notice that was read
	lastTag       uint64        // of the last question, for gauges or a trial
	ackedTag      uint64        // the last question for gauges that was answered
	processorAge  time.Duration // of the processor, as told last
	probing       int           // reqs whose begin is being probed
	resyncTag     uint64        // this one's answer ends the resumption; 0 it has ended
	pendingTrials []uint64      // asked and not told
	unverified    []*request    // the processor is asked whether it knows them, in order
	dialing       bool
	redialAt      time.Duration
	redialWait    time.Duration
}

func (l *processorLink) init(b *Backend) {
	l.backend, l.address, l.redialWait = b, b.cfg.Processor, redial
}

func (l *processorLink) onTimer() {
	b := l.backend
	if l.moved && l.conn != nil {
		if b.now >= l.closeAt {
			l.conn.Abort(conn.ErrClosedLocally) // what is in hand there is in doubt from now on
			return
		}
		b.wakeBy(l.closeAt)
	}
	if len(l.unverified) > 0 { // the processor takes no questions: the module decides, and knows when an answer is due
		if till := l.unverified[0].readAt + unverifiedMost; b.now >= till {
			l.admitAll()
		} else {
			b.wakeBy(till)
		}
	}
	if l.quiesceTag > 0 {
		if b.now >= l.quiesceBy {
			l.replace()
			return
		}
		b.wakeBy(l.quiesceBy)
	}
	if l.conn != nil && !l.moved || l.dialing || l.replacement != nil {
		return
	}
	if b.now < l.redialAt {
		b.wakeBy(l.redialAt)
		return
	}
	l.dialing = true
	address := l.address
	b.loop.Dial(address, func(c *conn.Conn, err error) { l.dialled(address, c, err) })
}

func (l *processorLink) dialled(address string, c *conn.Conn, err error) {
	b := l.backend
	l.dialing = false
	switch {
	case address != l.address: // it has moved meanwhile
		if err == nil {
			c.CloseAfterSend(conn.ErrClosedLocally)
		}
	case err != nil:
		b.logLimited("processor not reached", "why", err)
		l.dialLater()
	case l.greeted && l.resyncTag == 0: // the old link works: nothing is left in doubt by the change
		l.replacement = c
		c.OnClosed = func(error) {
			l.replacement, l.quiesceTag = nil, 0
			l.dialLater()
		}
		l.requestGauges()
		l.quiesceTag, l.quiesceBy = l.lastTag, b.now+quietMost
		b.wakeBy(l.quiesceBy)
	default:
		l.replacement = c
		l.replace()
	}
}

// dialLater puts the next try off, each time for longer, until the processor says hi.
func (l *processorLink) dialLater() {
	l.redialAt = l.backend.now + l.redialWait
	l.redialWait = min(2*l.redialWait, redialMax)
}

// reconfigure has the link lead to another address; the old one is used until the new one stands.
func (l *processorLink) reconfigure(address string) {
	if address == l.address {
		return
	}
	l.address, l.redialAt, l.redialWait = address, l.backend.now, redial
	if !l.moved {
		l.moved, l.closeAt = true, l.backend.now+oldAddressGrace
	}
	if c := l.replacement; c != nil {
		c.CloseAfterSend(conn.ErrClosedLocally) // its end lets the old link go on
	}
}

// replace lets the next connection take the place of the present one.
func (l *processorLink) replace() {
	old, c := l.conn, l.replacement
	l.replacement, l.quiesceTag, l.moved = nil, 0, false
	l.admitAll()
	l.open(c)
	if old != nil {
		old.CloseAfterSend(conn.ErrClosedLocally)
	}
}

// ready tells whether commands may be sent; what is not sent now is by resume.
func (l *processorLink) ready() bool { return l.greeted && l.resyncTag == 0 && l.quiesceTag == 0 }

func (l *processorLink) open(c *conn.Conn) {
	b := l.backend
	l.conn, l.greeted = c, false
	b.stats.Links++
	c.MaxUnsent = int(min(b.memoryShare(linkShare), math.MaxInt32))
	c.SetInputLimit(c.MaxUnsent)
	c.OnData = b.parseLogged("bad link", processor.NewParser(l.onNotice).Feed)
	c.OnClosed = func(err error) {
		if l.conn != c {
			return
		}
		b.stats.LinksLost++
		b.logLimited("link lost", "why", err)
		l.conn, l.greeted, l.moved = nil, false, false
		l.admitAll() // nobody can tell now
		l.dialLater()
		if l.replacement != nil {
			l.replace()
		}
	}
	c.Write(processor.AppendHello(nil, l.lastNotice))
}

func (l *processorLink) write(p []byte) { l.conn.Write(p) }

// requestGauges asks for the gauges and tells whether there is anybody to ask.
func (l *processorLink) requestGauges() bool {
	if !l.greeted {
		return false
	}
	l.lastTag++
	l.backend.scratch = processor.AppendUsage(l.backend.scratch[:0], l.lastTag)
	l.write(l.backend.scratch)
	return true
}

// startCheck asks for a deep check's work. Where the link is down it is asked for once it stands.
func (l *processorLink) startCheck() uint64 {
	l.lastTag++
	l.pendingTrials = append(l.pendingTrials, l.lastTag)
	if l.greeted {
		l.write(processor.AppendTrial(nil, l.lastTag))
	}
	return l.lastTag
}

// identify asks whether the processor knows a req: the first of a connection, and each that would be answered from what is
// remembered, since the processor is not asked to run it. It tells whether there is anybody to ask. An interrupt finds no
// run and does nothing, but is rejected where no such req came to this machine. Guards what the module measures
// and the places it gives against clients that are no edge nodes. Harm: a connection's first req waits for one answer.
func (l *processorLink) identify(r *request) bool {
	if !l.ready() || !l.backend.canCancel {
		return false // nobody to ask, or all interrupts are rejected
	}
	l.backend.scratch = processor.AppendInterrupt(l.backend.scratch[:0], r.wireID)
	l.write(l.backend.scratch)
	r.verifyTag = l.lastTag + 1 // asked for once a turn, by askUnverified
	l.unverified = append(l.unverified, r)
	return true
}

// askUnverified asks the question that ends the wait of this turn's unverified reqs.
func (l *processorLink) askUnverified() {
	if n := len(l.unverified); n > 0 && l.unverified[n-1].verifyTag > l.lastTag {
		l.requestGauges()
	}
}

// admit takes the unverified reqs that were asked for by then as known, or all if nobody can tell any more.
func (l *processorLink) admit(tag uint64) {
	for len(l.unverified) > 0 && l.unverified[0].verifyTag <= tag {
		r := l.unverified[0]
		l.unverified = l.unverified[1:]
		if r.state == stateUnverified && l.backend.requests[r.id] == r {
			r.verified = tag < math.MaxUint64
			r.client.verified = r.client.verified || r.verified
			l.backend.admit(r)
		}
	}
}

// admitAll takes all unverified reqs: nobody can tell, or there is no time to wait for it.
func (l *processorLink) admitAll() { l.admit(math.MaxUint64) }

func (l *processorLink) start(r *request) {
	if !l.ready() {
		return // resume sends it
	}
	r.startSent, r.confirmTag = true, l.lastTag
	b := l.backend
	b.scratch = processor.AppendBegin(b.scratch[:0], r.wireID, b.handlers[r.handler].name, r.body)
	l.write(b.scratch)
}

func (l *processorLink) cancel(r *request) {
	r.cancelRequested = true
	if l.greeted {
		l.backend.scratch = processor.AppendInterrupt(l.backend.scratch[:0], r.wireID)
		l.write(l.backend.scratch)
	}
}

// answer hands a run its reply; it is kept until more is heard of the run.
func (l *processorLink) answer(r *request, body []byte) {
	r.callReply, r.callReplied = append(r.callReply[:0], body...), true
	l.sendAnswer(r)
}

func (l *processorLink) sendAnswer(r *request) {
	r.confirmTag = l.lastTag
	if !l.ready() {
		return // resume sends it
	}
	l.backend.scratch = processor.AppendAnswer(l.backend.scratch[:0], r.wireID, r.callReply)
	l.write(l.backend.scratch)
}

func (l *processorLink) onNotice(n processor.Notice) {
	b := l.backend
	switch n.Kind {
	case processor.Complete, processor.Ask, processor.Remark:
		if n.N <= l.lastNotice {
			return // read before the link broke
		}
		if n.N != l.lastNotice+1 {
			b.logLimited("notices missing", "after", l.lastNotice, "got", n.N)
			l.noticesLost()
		}
		l.lastNotice = n.N
	}
	switch n.Kind {
	case processor.Hi:
		l.onHello(n)
	case processor.Complete:
		if r := b.requests[n.ID]; r != nil {
			b.runEnded(r, n.Outcome, reasonOf(n.Outcome), n.Took, n.Body)
		}
	case processor.Ask:
		if r := b.requests[n.ID]; r != nil {
			l.onCallRequest(r, n.Body)
		}
	case processor.Used:
		l.onGauges(n)
	case processor.Tried:
		l.pendingTrials = slices.DeleteFunc(l.pendingTrials, func(t uint64) bool { return t == n.Tag })
		b.frontend.checkDone(n.Tag, n.Outcome == overload.OK)
	case processor.Reject:
		b.stats.Rejects++
		b.logLimited("processor rejects", "command", n.Text)
		switch r := b.requests[n.ID]; { // the processor knows no such req: nothing was run
		case r == nil:
		case n.Text == "interrupt" && r.state == stateUnverified:
			b.frontend.unknown(r)
		case n.Text == "begin" && r.state == stateRunning && r.startSent && !r.runHeard:
			if b.hasClient(r) {
				r.client.verified = false
			}
			b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		}
	case processor.Remark:
		b.stats.Remarks++
	}
}

func (l *processorLink) onHello(n processor.Notice) {
	b := l.backend
	l.greeted, l.redialWait = true, redial
	if b.controller == nil {
		b.processorUp(n.Cold, b.now-min(n.Took, b.now))
	} else if n.Took < l.processorAge { // however long the word lay unread, one that goes on has grown older
		b.logLimited("processor started anew", "age", n.Took)
		l.noticesLost()
		l.lastNotice = 0
	}
	l.processorAge = n.Took
	for _, t := range l.pendingTrials {
		l.write(processor.AppendTrial(nil, t))
	}
	l.requestGauges()
	l.resyncTag = l.lastTag
}

func (l *processorLink) onCallRequest(r *request, body []byte) {
	r.runHeard, r.callReplied, r.callReply = true, false, nil
	r.callBody = append(r.callBody[:0], body...)
	r.state = stateAwaitingCall
	l.backend.stats.Asked++
	if !l.backend.isWanted(r) {
		l.backend.cancelRun(r)
	}
	l.backend.events = append(l.backend.events, overload.Event{Kind: overload.NeedsCall, ID: r.id})
}

func (l *processorLink) onGauges(n processor.Notice) {
	b := l.backend
	before := l.ackedTag
	l.ackedTag = max(l.ackedTag, n.Tag)
	l.admit(n.Tag)
	b.gauges = append(b.gauges[:0], n.Gauges...)
	if b.gaugesBy > 0 {
		b.timerEvent()
	}
	if l.quiesceTag > 0 && n.Tag >= l.quiesceTag {
		l.replace()
		return
	}
	if l.resyncTag > 0 && n.Tag >= l.resyncTag {
		l.resyncTag = 0
		l.resume(before)
	}
	if l.probing > 0 {
		for _, r := range b.requestsByID() {
			switch {
			case r.probeDue == 0 || b.now < r.probeDue:
			case r.runHeard: // it runs, or its end follows
				l.probing--
				r.probeTag, r.probeDue = 0, 0
			case !r.cancelRequested:
				l.cancel(r)
				r.probeDue = b.now + probeWait
			case r.probeTag == 0:
				r.probeTag = l.lastTag + 1 // the next question
			case n.Tag >= r.probeTag:
				l.neverRan(r)
			}
		}
	}
}

// noticesLost follows the loss of notices: the runs may have ended or not, and can't be known any more. None is
// repeated; what of them still runs is stopped.
func (l *processorLink) noticesLost() {
	for _, r := range l.backend.requestsByID() {
		if r.state >= stateRunning && r.startSent {
			l.cancel(r)
			l.backend.runEnded(r, overload.Failed, accounting.ProcessorLost, 0, nil)
		}
	}
}

// requestsByID gives all reqs in an order that does not change from run to run.
func (b *Backend) requestsByID() []*request {
	return slices.SortedFunc(maps.Values(b.requests), func(x, y *request) int { return cmp.Compare(x.id, y.id) })
}

// resume repeats what the break may have swallowed. All kept notices are read by now. A begin that is not
// proved to have arrived is repeated at once where the req may run again. Elsewhere a word of the run is waited for;
// without one it is stopped, and taken for never begun if still nothing is heard of it for a while; a begin would
// else meet a run that is just ending.
func (l *processorLink) resume(acked uint64) {
	b := l.backend
	for _, r := range b.requestsByID() {
		doubt := r.confirmTag >= acked
		switch {
		case r.state < stateRunning:
		case !r.startSent && !b.isWanted(r):
			b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		case !r.startSent:
			l.start(r)
		case doubt && !r.runHeard && !r.cancelRequested && lifecycle.Repeat(l.startCommand(r, false)) == lifecycle.Allowed:
			l.retryStart(r, false, "it may run again")
		case doubt && !r.runHeard:
			if r.cancelRequested {
				l.cancel(r)
			}
			if r.probeDue == 0 { // else the link broke again meanwhile
				l.probing++
			}
			r.probeTag, r.probeDue = 0, b.now+probeWait
		case r.cancelRequested:
			l.cancel(r)
		case r.callReplied && doubt:
			l.logRetry(r, "answer", "nothing was heard of the run since")
			l.sendAnswer(r)
		}
	}
}

// neverRan follows the proof that a begin was lost.
func (l *processorLink) neverRan(r *request) {
	b := l.backend
	l.probing--
	r.probeTag, r.probeDue, r.cancelRequested = 0, 0, false
	if lifecycle.Repeat(l.startCommand(r, true)) == lifecycle.NobodyWaits {
		b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		return
	}
	l.retryStart(r, true, "it is proved never to have run")
}

// startCommand is the begin of a req as what may be sent again; neverRan: the first is proved to have been lost.
func (l *processorLink) startCommand(r *request, neverRan bool) lifecycle.Command {
	return lifecycle.Command{Repeatable: l.backend.handlers[r.handler].replayable, NeverRan: neverRan, Wanted: l.backend.hasClient(r)}
}

// retryStart sends a begin again, if it may be.
func (l *processorLink) retryStart(r *request, neverRan bool, why string) {
	if v := lifecycle.Repeat(l.startCommand(r, neverRan)); v != lifecycle.Allowed {
		l.backend.recordViolation("begin again", r, v)
		return
	}
	l.logRetry(r, "begin", why)
	l.start(r)
}

// logRetry counts a command that is sent again after a break, and says whose and why.
func (l *processorLink) logRetry(r *request, command, why string) {
	l.backend.stats.Repeated++
	l.backend.logLimited("command repeated", "command", command, "id", r.wireID, "handler", l.backend.handlers[r.handler].name, "why", why)
}
