package backend

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/internal/conn"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// clientConn is one connection of a client. It belongs to the owner goroutine.
type clientConn struct {
	conn              *conn.Conn
	number            int // for log lines
	protocol          protocol
	requests          map[uint16]*request  // without their answer, by slot
	deepChecks        map[uint16]deepCheck // health checks that wait for the processor, by slot
	acceptedAt        time.Duration
	lastUsed          time.Duration  // when it last carried a complete request or a response
	malformedRequests int            // malformed requests since the last one that was run
	hasSentRequest    bool           // it has sent a complete request
	verified          bool           // one of its requests was known to the processor
	buffersReleased   bool           // it is idle and keeps no buffers
	readStopped       bool           // nothing more is read of it; it ends once what is open is answered
	partialBytes      int            // its part of frontend.partialBytes
	undelivered       []sentResponse // final answers that are not yet handed to the system, in order
}

// exchange is one slot of a connection, on which a request is read and answered.
type exchange struct {
	client   *clientConn
	slot     uint16
	keepOpen bool // the connection stays open after the answer
}

// exchange returns where a request is answered.
func (r *request) exchange() exchange {
	return exchange{client: r.client, slot: r.slot, keepOpen: r.keepOpen}
}

// sentResponse is a final answer that was written and may not have left yet.
type sentResponse struct {
	endOffset int // bytes of the connection that have left when its last byte has
	ticket    accounting.Ticket
	id        uint64
}

// pendingResponses returns how many answers the client waits for.
func (c *clientConn) pendingResponses() int { return len(c.requests) + len(c.deepChecks) }

// busy reports whether the client waits for an answer.
func (c *clientConn) busy() bool { return c.pendingResponses() > 0 }

// idle reports whether nothing is open and nothing waits to be sent.
func (c *clientConn) idle() bool { return c.protocol.openSlots() == 0 && c.conn.Unsent() == 0 }

// lifecycleState returns what the end of the connection has to wait for. What was received and not yet read is checked
// by the connection itself.
func (c *clientConn) lifecycleState() lifecycle.Connection {
	return lifecycle.Connection{
		OpenRequests: c.pendingResponses(),
		HalfRead:     c.protocol.openSlots() > c.pendingResponses() || c.protocol.midMessage(),
		Broken:       c.readStopped,
	}
}

// addConnection takes a connection that was accepted.
func (f *frontend) addConnection(accepted *conn.Conn, newProtocol func(*clientConn) protocol) {
	b := f.backend
	f.acceptedCount++
	client := &clientConn{
		conn:       accepted,
		number:     f.acceptedCount,
		requests:   map[uint16]*request{},
		acceptedAt: b.now,
		lastUsed:   b.now,
	}
	client.protocol = newProtocol(client)
	f.clients[client] = struct{}{}
	b.stats.Accepted++
	accepted.MaxUnsent = maxUnsentPerClient
	accepted.OnSent = func() { f.confirmDelivered(client) }
	accepted.ResponsePending = func() bool { return lifecycle.CheckCloseWrite(client.lifecycleState()) != lifecycle.Allowed }
	accepted.OnData = func(input []byte) error {
		f.handleInput(client, input)
		return nil
	}
	accepted.OnClosed = func(err error) { f.connectionClosed(client, err) }
	if len(f.clients) > f.evictionThreshold() {
		f.evict()
	}
}

// handleInput takes input of a connection.
func (f *frontend) handleInput(client *clientConn, input []byte) {
	if client.readStopped {
		return
	}
	client.buffersReleased = false
	if err := client.protocol.feed(input); err != nil {
		f.terminateConnection(client, err)
	}
	f.updatePartialBytes(client)
	if float64(f.partialBytes) > f.backend.memoryShare(partialShare) {
		f.terminateLargestPartial()
	}
}

// connectionClosed gives up what is open on a connection that has ended.
func (f *frontend) connectionClosed(client *clientConn, reason error) {
	b := f.backend
	delete(f.clients, client)
	f.logConnectionEnd(client, reason)
	client.protocol.discardPartial()
	f.updatePartialBytes(client)
	b.stats.ConnsClosed++
	for _, slot := range slices.Sorted(maps.Keys(client.requests)) { // in order: the same bytes lead to the same decisions
		r := client.requests[slot]
		if r.state != stateUnverified {
			f.recordUnanswered(r.id, reason)
		}
		if client.conn.SendClosed() && !client.readStopped {
			b.recordViolation("end a connection", r, lifecycle.RequestOpen)
		}
		b.clientGone(r, overload.ConnectionLost)
	}
	for _, answer := range client.undelivered {
		f.recordUnanswered(answer.id, reason)
		b.ledger.Close(b.wallTime, answer.ticket, accounting.Undelivered)
	}
	client.undelivered = nil
}

// logConnectionEnd logs how a connection ended, where that may be asked for later: while the process ends, and where
// something was left.
func (f *frontend) logConnectionEnd(client *clientConn, reason error) {
	phase := f.backend.process.Phase()
	dropped := client.conn.Discarded()
	if phase == lifecycle.Serving && dropped == 0 && !client.busy() && len(client.undelivered) == 0 {
		return
	}
	f.backend.log.Info("connection closed", "connection", client.number, "reason", reason, "phase", phase, "open", len(client.requests),
		"half_read", client.protocol.openSlots()-client.pendingResponses(), "unsent_answers", len(client.undelivered),
		"dropped_bytes", dropped)
}

// recordUnanswered counts and logs a request that leaves without its answer.
func (f *frontend) recordUnanswered(id uint64, reason error) {
	f.backend.stats.Unanswered++
	f.backend.log.Warn("request unanswered", "id", fmt.Sprintf("%016x", id), "reason", reason)
}

// trackDelivery has the account of a request follow the answer that was just written.
func (f *frontend) trackDelivery(client *clientConn, ticket accounting.Ticket, id uint64, reason accounting.Reason) {
	if f.backend.ledger.ResponseWritten(f.backend.wallTime, ticket, reason) {
		answer := sentResponse{endOffset: client.conn.QueuedTotal(), ticket: ticket, id: id}
		client.undelivered = append(client.undelivered, answer)
	}
}

// confirmDelivered closes the accounts of the answers whose last byte was handed to the system.
func (f *frontend) confirmDelivered(client *clientConn) {
	n := 0
	for n < len(client.undelivered) && client.undelivered[n].endOffset <= client.conn.SentTotal() {
		f.backend.ledger.ResponseSent(f.backend.wallTime, client.undelivered[n].ticket)
		n++
	}
	client.undelivered = slices.Delete(client.undelivered, 0, n)
	if len(client.undelivered) == 0 && cap(client.undelivered) > maxUndeliveredKept {
		client.undelivered = nil
	}
}
