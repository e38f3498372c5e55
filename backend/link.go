package backend

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/internal/conn"
	"frosthub/internal/processor"
	"frosthub/lifecycle"
	"frosthub/overload"
)

const (
	redial         = 2 * time.Millisecond   // before the first further try to reach the processor
	redialMax      = 500 * time.Millisecond // between later ones: it may come up long after this backend
	quietMost      = 50 * time.Millisecond  // for the last answer on a link that is to be replaced
	probeWait      = 100 * time.Millisecond // for a word of a run that may not be, and then of its interrupt: twenty ticks
	unverifiedMost = 500 * time.Millisecond // for the processor's word whether it knows a req: far past any pause
	linkShare      = 0.25                   // of the memory limit, for commands that wait, and as much for notices
)

// link is the link to the processor. It may break; what was sent on it then may or may not have arrived. The
// processor keeps its notices and takes commands in their order, so a question for gauges that is answered
// proves that all before it arrived, and that all notices of before were read.
type link struct {
	b          *Backend
	address    string
	c          *conn.Conn    // nil while there is none
	next       *conn.Conn    // takes its place once all that was sent on c is proved to have arrived
	quiet      uint64        // the question whose answer proves it; no commands are sent meanwhile; 0 none
	quietBy    time.Duration // it is replaced then without that
	moved      bool          // c leads to an address that is no more
	finish     time.Duration // it is closed then
	up         bool          // hi was read on this one
	last       uint64        // the last notice that was read
	tag        uint64        // of the last question, for gauges or a trial
	acked      uint64        // the last question for gauges that was answered
	age        time.Duration // of the processor, as told last
	probes     int           // reqs whose begin is being probed
	resync     uint64        // this one's answer ends the resumption; 0 it has ended
	trials     []uint64      // asked and not told
	unverified []*req        // the processor is asked whether it knows them, in order
	dialing    bool
	dialAt     time.Duration
	wait       time.Duration
}

func (l *link) init(b *Backend) { l.b, l.address, l.wait = b, b.cfg.Processor, redial }

func (l *link) lookAtTime() {
	b := l.b
	if l.moved && l.c != nil {
		if b.now >= l.finish {
			l.c.Abort(conn.ErrClosedLocally) // what is in hand there is in doubt from now on
			return
		}
		b.at(l.finish)
	}
	if len(l.unverified) > 0 { // the processor takes no questions: the module decides, and knows when an answer is due
		if till := l.unverified[0].since + unverifiedMost; b.now >= till {
			l.admitAll()
		} else {
			b.at(till)
		}
	}
	if l.quiet > 0 {
		if b.now >= l.quietBy {
			l.replace()
			return
		}
		b.at(l.quietBy)
	}
	if l.c != nil && !l.moved || l.dialing || l.next != nil {
		return
	}
	if b.now < l.dialAt {
		b.at(l.dialAt)
		return
	}
	l.dialing = true
	address := l.address
	b.box.Dial(address, func(c *conn.Conn, err error) { l.dialled(address, c, err) })
}

func (l *link) dialled(address string, c *conn.Conn, err error) {
	b := l.b
	l.dialing = false
	switch {
	case address != l.address: // it has moved meanwhile
		if err == nil {
			c.CloseAfterSend(conn.ErrClosedLocally)
		}
	case err != nil:
		b.note("processor not reached", "why", err)
		l.dialLater()
	case l.up && l.resync == 0: // the old link works: nothing is left in doubt by the change
		l.next = c
		c.OnClosed = func(error) {
			l.next, l.quiet = nil, 0
			l.dialLater()
		}
		l.usage()
		l.quiet, l.quietBy = l.tag, b.now+quietMost
		b.at(l.quietBy)
	default:
		l.next = c
		l.replace()
	}
}

// dialLater puts the next try off, each time for longer, until the processor says hi.
func (l *link) dialLater() {
	l.dialAt = l.b.now + l.wait
	l.wait = min(2*l.wait, redialMax)
}

// move has the link lead to another address; the old one is used until the new one stands.
func (l *link) move(address string) {
	if address == l.address {
		return
	}
	l.address, l.dialAt, l.wait = address, l.b.now, redial
	if !l.moved {
		l.moved, l.finish = true, l.b.now+linkFinish
	}
	if c := l.next; c != nil {
		c.CloseAfterSend(conn.ErrClosedLocally) // its end lets the old link go on
	}
}

// replace lets the next connection take the place of the present one.
func (l *link) replace() {
	old, c := l.c, l.next
	l.next, l.quiet, l.moved = nil, 0, false
	l.admitAll()
	l.open(c)
	if old != nil {
		old.CloseAfterSend(conn.ErrClosedLocally)
	}
}

// ready tells whether commands may be sent; what is not sent now is by resume.
func (l *link) ready() bool { return l.up && l.resync == 0 && l.quiet == 0 }

func (l *link) open(c *conn.Conn) {
	b := l.b
	l.c, l.up = c, false
	b.count.Links++
	c.MaxUnsent = int(min(b.share(linkShare), math.MaxInt32))
	c.SetInputLimit(c.MaxUnsent)
	c.OnData = b.noting("bad link", processor.NewParser(l.notice).Feed)
	c.OnClosed = func(err error) {
		if l.c != c {
			return
		}
		b.count.LinksLost++
		b.note("link lost", "why", err)
		l.c, l.up, l.moved = nil, false, false
		l.admitAll() // nobody can tell now
		l.dialLater()
		if l.next != nil {
			l.replace()
		}
	}
	c.Write(processor.AppendHello(nil, l.last))
}

func (l *link) write(p []byte) { l.c.Write(p) }

// usage asks for the gauges and tells whether there is anybody to ask.
func (l *link) usage() bool {
	if !l.up {
		return false
	}
	l.tag++
	l.b.scratch = processor.AppendUsage(l.b.scratch[:0], l.tag)
	l.write(l.b.scratch)
	return true
}

// trial asks for a deep check's work. Where the link is down it is asked for once it stands.
func (l *link) trial() uint64 {
	l.tag++
	l.trials = append(l.trials, l.tag)
	if l.up {
		l.write(processor.AppendTrial(nil, l.tag))
	}
	return l.tag
}

// identify asks whether the processor knows a req: the first of a connection, and each that would be answered from what is
// remembered, since the processor is not asked to run it. It tells whether there is anybody to ask. An interrupt finds no
// run and does nothing, but is rejected where no such req came to this machine. Guards what the module measures
// and the places it gives against clients that are no edge nodes. Harm: a connection's first req waits for one answer.
func (l *link) identify(r *req) bool {
	if !l.ready() || !l.b.canStop {
		return false // nobody to ask, or all interrupts are rejected
	}
	l.b.scratch = processor.AppendInterrupt(l.b.scratch[:0], r.name)
	l.write(l.b.scratch)
	r.unknown = l.tag + 1 // asked for once a turn, by askUnverified
	l.unverified = append(l.unverified, r)
	return true
}

// askUnverified asks the question that ends the wait of this turn's unverified reqs.
func (l *link) askUnverified() {
	if n := len(l.unverified); n > 0 && l.unverified[n-1].unknown > l.tag {
		l.usage()
	}
}

// admit takes the unverified reqs that were asked for by then as known, or all if nobody can tell any more.
func (l *link) admit(tag uint64) {
	for len(l.unverified) > 0 && l.unverified[0].unknown <= tag {
		r := l.unverified[0]
		l.unverified = l.unverified[1:]
		if r.at == unverified && l.b.reqs[r.id] == r {
			r.proved = tag < math.MaxUint64
			r.edge.known = r.edge.known || r.proved
			l.b.arrived(r)
		}
	}
}

// admitAll takes all unverified reqs: nobody can tell, or there is no time to wait for it.
func (l *link) admitAll() { l.admit(math.MaxUint64) }

func (l *link) begin(r *req) {
	if !l.ready() {
		return // resume sends it
	}
	r.sent, r.mark = true, l.tag
	b := l.b
	b.scratch = processor.AppendBegin(b.scratch[:0], r.name, b.handlers[r.h].name, r.body)
	l.write(b.scratch)
}

func (l *link) interrupt(r *req) {
	r.stop = true
	if l.up {
		l.b.scratch = processor.AppendInterrupt(l.b.scratch[:0], r.name)
		l.write(l.b.scratch)
	}
}

// answer hands a run its reply; it is kept until more is heard of the run.
func (l *link) answer(r *req, body []byte) {
	r.reply, r.replied = append(r.reply[:0], body...), true
	l.repeatAnswer(r)
}

func (l *link) repeatAnswer(r *req) {
	r.mark = l.tag
	if !l.ready() {
		return // resume sends it
	}
	l.b.scratch = processor.AppendAnswer(l.b.scratch[:0], r.name, r.reply)
	l.write(l.b.scratch)
}

func (l *link) notice(n processor.Notice) {
	b := l.b
	switch n.Kind {
	case processor.Complete, processor.Ask, processor.Remark:
		if n.N <= l.last {
			return // read before the link broke
		}
		if n.N != l.last+1 {
			b.note("notices missing", "after", l.last, "got", n.N)
			l.lost()
		}
		l.last = n.N
	}
	switch n.Kind {
	case processor.Hi:
		l.hi(n)
	case processor.Complete:
		if r := b.reqs[n.ID]; r != nil {
			b.ended(r, n.Outcome, reasonOf(n.Outcome), n.Took, n.Body)
		}
	case processor.Ask:
		if r := b.reqs[n.ID]; r != nil {
			l.ask(r, n.Body)
		}
	case processor.Used:
		l.used(n)
	case processor.Tried:
		l.trials = slices.DeleteFunc(l.trials, func(t uint64) bool { return t == n.Tag })
		b.door.tried(n.Tag, n.Outcome == overload.OK)
	case processor.Reject:
		b.count.Rejects++
		b.note("processor rejects", "command", n.Text)
		switch r := b.reqs[n.ID]; { // the processor knows no such req: nothing was run
		case r == nil:
		case n.Text == "interrupt" && r.at == unverified:
			b.door.unknown(r)
		case n.Text == "begin" && r.at == running && r.sent && !r.seen:
			if b.owes(r) {
				r.edge.known = false
			}
			b.ended(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		}
	case processor.Remark:
		b.count.Remarks++
	}
}

func (l *link) hi(n processor.Notice) {
	b := l.b
	l.up, l.wait = true, redial
	if b.ctl == nil {
		b.come(n.Cold, b.now-min(n.Took, b.now))
	} else if n.Took < l.age { // however long the word lay unread, one that goes on has grown older
		b.note("processor started anew", "age", n.Took)
		l.lost()
		l.last = 0
	}
	l.age = n.Took
	for _, t := range l.trials {
		l.write(processor.AppendTrial(nil, t))
	}
	l.usage()
	l.resync = l.tag
}

func (l *link) ask(r *req, body []byte) {
	r.seen, r.replied, r.reply = true, false, nil
	r.ask = append(r.ask[:0], body...)
	r.at = asking
	l.b.count.Asked++
	if !l.b.wanted(r) {
		l.b.endRun(r)
	}
	l.b.events = append(l.b.events, overload.Event{Kind: overload.NeedsCall, ID: r.id})
}

func (l *link) used(n processor.Notice) {
	b := l.b
	before := l.acked
	l.acked = max(l.acked, n.Tag)
	l.admit(n.Tag)
	b.gauges = append(b.gauges[:0], n.Gauges...)
	if b.gaugesBy > 0 {
		b.timerEvent()
	}
	if l.quiet > 0 && n.Tag >= l.quiet {
		l.replace()
		return
	}
	if l.resync > 0 && n.Tag >= l.resync {
		l.resync = 0
		l.resume(before)
	}
	if l.probes > 0 {
		for _, r := range b.known() {
			switch {
			case r.probeAt == 0 || b.now < r.probeAt:
			case r.seen: // it runs, or its end follows
				l.probes--
				r.probe, r.probeAt = 0, 0
			case !r.stop:
				l.interrupt(r)
				r.probeAt = b.now + probeWait
			case r.probe == 0:
				r.probe = l.tag + 1 // the next question
			case n.Tag >= r.probe:
				l.neverRan(r)
			}
		}
	}
}

// lost follows the loss of notices: the runs may have ended or not, and can't be known any more. None is
// repeated; what of them still runs is stopped.
func (l *link) lost() {
	for _, r := range l.b.known() {
		if r.at >= running && r.sent {
			l.interrupt(r)
			l.b.ended(r, overload.Failed, accounting.ProcessorLost, 0, nil)
		}
	}
}

// known gives all reqs in an order that does not change from run to run.
func (b *Backend) known() []*req {
	return slices.SortedFunc(maps.Values(b.reqs), func(x, y *req) int { return cmp.Compare(x.id, y.id) })
}

// resume repeats what the break may have swallowed. All kept notices are read by now. A begin that is not
// proved to have arrived is repeated at once where the req may run again. Elsewhere a word of the run is waited for;
// without one it is stopped, and taken for never begun if still nothing is heard of it for a while; a begin would
// else meet a run that is just ending.
func (l *link) resume(acked uint64) {
	b := l.b
	for _, r := range b.known() {
		doubt := r.mark >= acked
		switch {
		case r.at < running:
		case !r.sent && !b.wanted(r):
			b.ended(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		case !r.sent:
			l.begin(r)
		case doubt && !r.seen && !r.stop && lifecycle.Repeat(l.beginOf(r, false)) == lifecycle.Allowed:
			l.beginAgain(r, false, "it may run again")
		case doubt && !r.seen:
			if r.stop {
				l.interrupt(r)
			}
			if r.probeAt == 0 { // else the link broke again meanwhile
				l.probes++
			}
			r.probe, r.probeAt = 0, b.now+probeWait
		case r.stop:
			l.interrupt(r)
		case r.replied && doubt:
			l.tellRepeat(r, "answer", "nothing was heard of the run since")
			l.repeatAnswer(r)
		}
	}
}

// neverRan follows the proof that a begin was lost.
func (l *link) neverRan(r *req) {
	b := l.b
	l.probes--
	r.probe, r.probeAt, r.stop = 0, 0, false
	if lifecycle.Repeat(l.beginOf(r, true)) == lifecycle.NobodyWaits {
		b.ended(r, overload.NeverRan, accounting.NeverRan, 0, nil)
		return
	}
	l.beginAgain(r, true, "it is proved never to have run")
}

// beginOf is the begin of a req as what may be sent again; neverRan: the first is proved to have been lost.
func (l *link) beginOf(r *req, neverRan bool) lifecycle.Command {
	return lifecycle.Command{Repeatable: l.b.handlers[r.h].replayable, NeverRan: neverRan, Wanted: l.b.owes(r)}
}

// beginAgain sends a begin again, if it may be.
func (l *link) beginAgain(r *req, neverRan bool, why string) {
	if v := lifecycle.Repeat(l.beginOf(r, neverRan)); v != lifecycle.Allowed {
		l.b.violated("begin again", r, v)
		return
	}
	l.tellRepeat(r, "begin", why)
	l.begin(r)
}

// tellRepeat counts a command that is sent again after a break, and says whose and why.
func (l *link) tellRepeat(r *req, command, why string) {
	l.b.count.Repeated++
	l.b.note("command repeated", "command", command, "id", r.name, "handler", l.b.handlers[r.h].name, "why", why)
}
