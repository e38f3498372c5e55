package backend

import (
	"math"
	"time"

	"frosthub/account"
	"frosthub/overload"
)

const (
	closeBefore = 300 * time.Millisecond // of the stop: time for what crosses the closing, and for peers to close too
	leaveBefore = 150 * time.Millisecond // of the stop: what the module takes for it, so that its last answers get out
	exitBefore  = 100 * time.Millisecond // of the stop: time to end the process
	giveUp      = 20 * time.Millisecond  // of the stop: to end it whatever is left
	lookLeaving = 10 * time.Millisecond  // between looks at what may be ended in between
)

// phase is how far the end of the process has come. It only grows; the process ends from ended alone.
type phase uint8

const (
	serving  phase = iota
	draining       // the notice came: reqs are taken on, the module says which of them still run
	closing        // nothing more is accepted, what is read is refused at the door, connections at rest are ended
	ending         // all that is not owed an answer is ended, also what is half read
	ended          // all is answered and every connection closed, or the stop is near: the process may end
)

// String is the phase's word in log lines.
func (p phase) String() string {
	return [...]string{"serving", "draining", "closing", "ending", "ended"}[p]
}

// enter takes the process into a later phase, and tells of it.
func (b *Backend) enter(p phase) {
	b.log.Info("phase", "to", p, "was", b.phase, "until_stop", b.stopAt-b.now, "owed", b.owed, "connections", len(b.door.edges),
		"half_read_bytes", b.door.parts)
	b.phase = p
}

// leave follows the notice to leave. A second one changes nothing.
func (b *Backend) leave() {
	if b.phase > serving {
		return
	}
	b.stopAt = b.now + b.cfg.Stop
	b.enter(draining)
	b.cluster.leave()
	b.log.Info("leaving", "within", b.cfg.Stop, "owed", b.owed)
	b.events = append(b.events, overload.Event{Kind: overload.Leave, Left: b.cfg.Stop - leaveBefore})
}

// shutdown takes the end of the process as far as the time allows, and tells whether it may end.
func (b *Backend) shutdown() bool {
	if b.phase == draining && b.now >= b.stopAt-closeBefore {
		b.enter(closing)
		b.closeListeners()
		b.link.admitAll() // no time to wait for the processor's word
		for e := range b.door.edges {
			b.door.untried(e, math.MaxInt64)
		}
		b.decide()
	}
	if b.phase == closing && b.now >= b.stopAt-exitBefore {
		b.enter(ending)
	}
	switch b.phase {
	case serving:
		return false
	case draining:
		b.at(b.stopAt - closeBefore)
		return false
	}
	b.door.rest(b.phase == ending)
	b.at(b.now + lookLeaving)
	kept := b.keeper.on() && b.phase < ending // results may still be on their way to the disk
	switch {
	case b.owed == 0 && len(b.door.edges) == 0 && b.listenersClosed() && b.box.Quiet() && !kept:
		b.enter(ended)
	case b.now >= b.stopAt-giveUp:
		b.giveUpAll()
		b.enter(ended)
	}
	return b.phase == ended
}

// giveUpAll answers what is still owed: nothing that was read goes without a final answer.
func (b *Backend) giveUpAll() {
	for _, r := range b.known() {
		if b.owes(r) {
			b.log.Warn("req given up at the stop", "id", r.name, "held", r.at < running)
			if r.at < running {
				b.door.refused(r)
			} else {
				b.door.errored(r, account.GivenUp)
			}
			b.answered(r)
		}
	}
}

func (b *Backend) closeListeners() {
	for _, ln := range b.ln {
		_ = ln.Close()
	}
}

func (b *Backend) listenersClosed() bool {
	for _, ln := range b.ln {
		if !ln.Closed() {
			return false
		}
	}
	return true
}
