package backend

import (
	"math"
	"time"

	"frosthub/internal/conn"
	"frosthub/internal/processor"
)

// Times and limits of the link to the processor.
const (
	// firstRedialWait is the wait before the first retry to reach the processor.
	firstRedialWait = 2 * time.Millisecond
	// maxRedialWait bounds the wait between later ones: the processor may come up long after this backend.
	maxRedialWait = 500 * time.Millisecond
	// quiesceTimeout is how long the last answer on a connection that is to be replaced is waited for.
	quiesceTimeout = 50 * time.Millisecond
	// oldAddressGrace is how long what is in flight may go on at an address that was replaced: there the connections
	// are closed after 1.5 s.
	oldAddressGrace = 1400 * time.Millisecond
	// linkMemoryShare is the part of the memory limit for commands that wait to be written, and as much again for notices.
	linkMemoryShare = 0.25
)

// linkState is how far the link to the processor is.
type linkState uint8

// The states of the link. See processorLink for the transitions.
const (
	linkDown      linkState = iota // no connection
	linkGreeting                   // hello was sent on a new connection
	linkResyncing                  // the processor's hello was read; its notices of before the break follow
	linkReady                      // commands may be sent
	linkQuiescing                  // no new commands: a replacement waits for the proof that those sent before have arrived
)

var linkStateNames = [...]string{
	linkDown:      "down",
	linkGreeting:  "greeting",
	linkResyncing: "resyncing",
	linkReady:     "ready",
	linkQuiescing: "quiescing",
}

// String returns the name of the state.
func (s linkState) String() string { return linkStateNames[s] }

// processorLink is the link to the processor. It may break; a command that was sent before may or may not have arrived
// then. The processor numbers and keeps its notices and takes commands in order. So an answered query for gauges proves
// that all commands before it have arrived, and that all notices before the answer were read.
//
// The state of the link follows from the connection and the queries that are open. These are the transitions:
//
//	down       → greeting    a connection was dialed (open)
//	greeting   → resyncing   the processor's hello was read (onHello)
//	resyncing  → ready       the query sent on hello was answered; commands that may be lost are retried (resync)
//	ready      → quiescing   a connection to replace this one was dialed (quiesce)
//	quiescing  → ready       the replacement was closed (cancelReplacement)
//	quiescing  → greeting    the last query was answered, or maxQuiesce has passed (replace)
//	greeting   → greeting    a replacement was dialed before the link was ready (replace)
//	resyncing  → greeting    the same
//	any        → greeting    the connection was lost and a replacement is there (onClosed)
//	any        → down        the connection was lost (onClosed)
//
// All methods are called by the goroutine that owns the backend.
type processorLink struct {
	backend *Backend
	address string

	// The connection and what follows it.
	conn            *conn.Conn    // nil while there is none
	helloReceived   bool          // the processor's hello was read on conn
	addressReplaced bool          // conn leads to an address that was replaced
	oldConnDeadline time.Duration // when conn is closed then
	replacement     *conn.Conn    // takes the place of conn; nil none
	quiesceTag      uint64        // query whose answer proves that all sent on conn has arrived; 0 not quiescing
	quiesceDeadline time.Duration // when conn is replaced without that proof
	dialing         bool
	redialAt        time.Duration
	redialWait      time.Duration
	processorAge    time.Duration // as its last hello said

	// Queries and notices.
	lastNotice    uint64   // the last notice read
	lastTag       uint64   // of the last query: for gauges, or for the work of a deep health check
	ackedTag      uint64   // of the last query for gauges that was answered
	resyncTag     uint64   // of the query whose answer ends the resynchronization; 0 it has ended
	pendingChecks []uint64 // tags of deep health checks not answered yet

	unverified []*request // the processor is asked whether it knows these, in order
	probeCount int        // requests whose start may be lost and is being probed
}

func (l *processorLink) init(b *Backend) {
	l.backend = b
	l.address = b.cfg.Processor
	l.redialWait = firstRedialWait
}

// state returns how far the link is.
func (l *processorLink) state() linkState {
	switch {
	case l.conn == nil:
		return linkDown
	case !l.helloReceived:
		return linkGreeting
	case l.quiesceTag > 0:
		return linkQuiescing
	case l.resyncTag > 0:
		return linkResyncing
	}
	return linkReady
}

// ready reports whether commands may be sent. What is not sent now is sent by the resynchronization.
func (l *processorLink) ready() bool { return l.state() == linkReady }

func (l *processorLink) onTimer() {
	b := l.backend
	if l.addressReplaced && l.conn != nil {
		if b.now >= l.oldConnDeadline {
			l.conn.Abort(conn.ErrClosedLocally) // the outcome of what is in flight there is unknown from now on
			return
		}
		b.wakeBy(l.oldConnDeadline)
	}
	l.expireUnverified()
	if l.quiesceTag > 0 {
		if b.now >= l.quiesceDeadline {
			l.switchToReplacement()
			return
		}
		b.wakeBy(l.quiesceDeadline)
	}
	l.dialIfNeeded()
}

// dialIfNeeded dials once it is time to, if there is no connection to the present address.
func (l *processorLink) dialIfNeeded() {
	b := l.backend
	connected := l.conn != nil && !l.addressReplaced
	if connected || l.dialing || l.replacement != nil {
		return
	}
	if b.now < l.redialAt {
		b.wakeBy(l.redialAt)
		return
	}
	l.dialing = true
	address := l.address
	b.loop.Dial(address, func(c *conn.Conn, err error) { l.dialed(address, c, err) })
}

func (l *processorLink) dialed(address string, c *conn.Conn, err error) {
	l.dialing = false
	switch {
	case address != l.address: // replaced meanwhile
		if err == nil {
			c.CloseAfterSend(conn.ErrClosedLocally)
		}
	case err != nil:
		l.backend.logLimited("processor unreachable", "reason", err)
		l.scheduleRedial()
	case l.ready():
		l.quiesce(c)
	default:
		l.replacement = c
		l.switchToReplacement()
	}
}

// scheduleRedial puts the next dial off, each time for longer, until the processor says hello.
func (l *processorLink) scheduleRedial() {
	l.redialAt = l.backend.now + l.redialWait
	l.redialWait = min(2*l.redialWait, maxRedialWait)
}

// quiesce prepares the change from a connection that works to another: no outcome is left unknown by it.
func (l *processorLink) quiesce(replacement *conn.Conn) {
	l.replacement = replacement
	replacement.OnClosed = func(error) { l.cancelReplacement() }
	l.requestGauges()
	l.quiesceTag = l.lastTag
	l.quiesceDeadline = l.backend.now + quiesceTimeout
	l.backend.wakeBy(l.quiesceDeadline)
}

// cancelReplacement lets the present connection go on.
func (l *processorLink) cancelReplacement() {
	l.replacement = nil
	l.quiesceTag = 0
	l.scheduleRedial()
}

// switchToReplacement lets the replacement take the place of the present connection.
func (l *processorLink) switchToReplacement() {
	old := l.conn
	opened := l.replacement
	l.replacement = nil
	l.quiesceTag = 0
	l.addressReplaced = false
	l.admitAllUnverified()
	l.useConn(opened)
	if old != nil {
		old.CloseAfterSend(conn.ErrClosedLocally)
	}
}

// reconfigure has the link lead to another address. The old connection is used until the new one stands.
func (l *processorLink) reconfigure(address string) {
	if address == l.address {
		return
	}
	l.address = address
	l.redialAt = l.backend.now
	l.redialWait = firstRedialWait
	if !l.addressReplaced {
		l.addressReplaced = true
		l.oldConnDeadline = l.backend.now + oldAddressGrace
	}
	if l.replacement != nil {
		l.replacement.CloseAfterSend(conn.ErrClosedLocally) // its end lets the old connection go on
	}
}

func (l *processorLink) useConn(c *conn.Conn) {
	b := l.backend
	l.conn = c
	l.helloReceived = false
	b.stats.Links++
	c.MaxUnsent = int(min(b.memoryShare(linkMemoryShare), math.MaxInt32))
	c.SetInputLimit(c.MaxUnsent)
	c.OnData = b.parseLogged("processor protocol error", processor.NewParser(l.onNotice).Feed)
	c.OnClosed = func(err error) { l.onClosed(c, err) }
	c.Write(processor.AppendHello(nil, l.lastNotice))
}

func (l *processorLink) onClosed(c *conn.Conn, err error) {
	if l.conn != c {
		return // replaced
	}
	l.backend.stats.LinksLost++
	l.backend.logLimited("processor link lost", "reason", err)
	l.conn = nil
	l.helloReceived = false
	l.addressReplaced = false
	l.admitAllUnverified() // nobody can tell now
	l.scheduleRedial()
	if l.replacement != nil {
		l.switchToReplacement()
	}
}
