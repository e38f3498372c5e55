package backend

import (
	"math"
	"time"

	"frosthub/internal/conn"
	"frosthub/internal/processor"
)

// Timeouts and limits of the link to the processor.
const (
	// firstRedialDelay is the delay before the first retry to connect to the processor.
	firstRedialDelay = 2 * time.Millisecond
	// maxRedialDelay bounds the delay between later retries. The processor may start long after this backend.
	maxRedialDelay = 500 * time.Millisecond
	// quiesceTimeout limits the wait for the last answer on a connection that is to be replaced.
	quiesceTimeout = 50 * time.Millisecond
	// oldAddressGrace is how long runs and calls in flight may continue at an address that was replaced. The processor at
	// that address closes its connections after 1.5 s.
	oldAddressGrace = 1400 * time.Millisecond
	// linkMemoryShare is the part of the memory limit for buffered commands, and again for buffered notices.
	linkMemoryShare = 0.25
)

// linkState is the state of the link to the processor.
type linkState uint8

// The states of the link. See processorLink for the transitions.
const (
	linkDown      linkState = iota // no connection
	linkGreeting                   // hello was sent on a new connection
	linkResyncing                  // the processor's hello was received; its notices from before the connection loss follow
	linkReady                      // commands may be sent
	linkQuiescing                  // no new commands; a replacement waits for the proof that earlier commands have arrived
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

// processorLink is the link to the processor. When its connection is lost, the last commands may or may not have arrived.
// The processor numbers and retains its notices and handles commands in order. An answered query for gauges therefore
// proves that all commands before it have arrived, and that all notices before the answer were received.
//
// The state of the link is derived from the connection and the open queries. These are the transitions:
//
//	down       → greeting    a connection was dialed (useConn)
//	greeting   → resyncing   the processor's hello was received (onHello)
//	resyncing  → ready       the query sent on hello was answered (resync)
//	ready      → quiescing   a replacement connection was dialed (quiesce)
//	quiescing  → ready       the replacement was closed (cancelReplacement)
//	quiescing  → greeting    the last query was answered, or quiesceTimeout has passed (switchToReplacement)
//	greeting   → greeting    a replacement was dialed before the link was ready (switchToReplacement)
//	resyncing  → greeting    a replacement was dialed before the link was ready (switchToReplacement)
//	any        → greeting    the connection was lost and a replacement exists (onClosed)
//	any        → down        the connection was lost (onClosed)
//
// All methods are called by the goroutine that owns the backend.
type processorLink struct {
	backend *Backend
	address string

	// The connection and its replacement.
	conn            *conn.Conn    // nil if there is none
	helloReceived   bool          // the processor's hello was received on conn
	addressReplaced bool          // conn uses an address that was replaced since
	oldConnDeadline time.Duration // when conn is closed if addressReplaced is set
	replacement     *conn.Conn    // connection that will replace conn; nil for none
	quiesceTag      uint64        // query whose answer proves that all commands on conn have arrived; 0 if not quiescing
	quiesceDeadline time.Duration // when conn is replaced without that proof
	dialing         bool
	redialAt        time.Duration
	redialDelay     time.Duration
	processorAge    time.Duration // stated in its last hello

	// Queries and notices.
	lastNotice    uint64   // number of the last notice received
	lastTag       uint64   // tag of the last query, for gauges or for a deep health check
	ackedTag      uint64   // tag of the last answered query for gauges
	resyncTag     uint64   // tag of the query whose answer ends the resynchronization; 0 if it has ended
	pendingChecks []uint64 // tags of unanswered deep health checks

	unverified []*request // requests whose verification by the processor is pending, in order
	unconfirmedRuns
}

func (l *processorLink) init(b *Backend) {
	l.backend = b
	l.address = b.cfg.Processor
	l.redialDelay = firstRedialDelay
}

// state returns the state of the link.
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

// ready reports whether commands may be sent. The resynchronization sends those that could not be sent before.
func (l *processorLink) ready() bool { return l.state() == linkReady }

// onTimer carries out what is due on the link: the end of waits for the processor, and dials.
func (l *processorLink) onTimer() {
	b := l.backend
	l.expireUnconfirmed()
	if l.addressReplaced && l.conn != nil {
		if b.now >= l.oldConnDeadline {
			l.conn.Abort(conn.ErrClosedLocally) // the outcome of runs in flight there is unknown from now on
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

// dialIfNeeded dials the present address if there is no connection to it and the redial delay has passed.
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

// dialed starts using the connection that was dialed, or schedules another dial if err is set.
func (l *processorLink) dialed(address string, c *conn.Conn, err error) {
	l.dialing = false
	switch {
	case address != l.address: // the address was replaced during the dial
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

// scheduleRedial delays the next dial, with exponential backoff that is reset by the processor's hello.
func (l *processorLink) scheduleRedial() {
	l.redialAt = l.backend.now + l.redialDelay
	l.redialDelay = min(2*l.redialDelay, maxRedialDelay)
}

// quiesce prepares the switch from a ready connection to its replacement, such that no run's outcome becomes unknown.
func (l *processorLink) quiesce(replacement *conn.Conn) {
	l.replacement = replacement
	replacement.OnClosed = func(error) { l.cancelReplacement() }
	l.requestGauges()
	l.quiesceTag = l.lastTag
	l.quiesceDeadline = l.backend.now + quiesceTimeout
	l.backend.wakeBy(l.quiesceDeadline)
}

// cancelReplacement drops a closed replacement and continues with the present connection. It sends the commands that
// waited for the replacement.
func (l *processorLink) cancelReplacement() {
	l.replacement = nil
	l.quiesceTag = 0
	l.scheduleRedial()
	if l.ready() {
		l.sendUnsent()
	}
}

// switchToReplacement makes the replacement the connection of the link and closes the previous one.
func (l *processorLink) switchToReplacement() {
	old := l.conn
	next := l.replacement
	l.replacement = nil
	l.quiesceTag = 0
	l.addressReplaced = false
	l.admitAllUnverified()
	l.useConn(next)
	if old != nil {
		old.CloseAfterSend(conn.ErrClosedLocally)
	}
}

// reconfigure changes the processor's address. The old connection is used until one to the new address is established.
func (l *processorLink) reconfigure(address string) {
	if address == l.address {
		return
	}
	l.address = address
	l.redialAt = l.backend.now
	l.redialDelay = firstRedialDelay
	if !l.addressReplaced {
		l.addressReplaced = true
		l.oldConnDeadline = l.backend.now + oldAddressGrace
	}
	if l.replacement != nil {
		l.replacement.CloseAfterSend(conn.ErrClosedLocally) // when it closes, the link continues with the old connection
	}
}

// useConn makes a new connection the one of the link, and sends the hello on it.
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

// onClosed handles the loss of a connection. The link continues with the replacement if there is one, and redials
// otherwise.
func (l *processorLink) onClosed(c *conn.Conn, err error) {
	if l.conn != c {
		return // already replaced
	}
	l.backend.stats.LinksLost++
	l.backend.logLimited("processor link lost", "reason", err)
	l.conn = nil
	l.helloReceived = false
	l.addressReplaced = false
	l.admitAllUnverified() // the processor can't verify them now
	l.scheduleRedial()
	if l.replacement != nil {
		l.switchToReplacement()
	}
}
