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

// clientConn is one client connection. It is owned by the owner goroutine.
type clientConn struct {
	conn              *conn.Conn
	number            int // sequence number for log lines
	protocol          protocol
	requests          map[uint16]*request  // unanswered requests, by slot
	deepChecks        map[uint16]deepCheck // health checks that wait for the processor, by slot
	acceptedAt        time.Duration
	lastUsed          time.Duration  // when the last message was received or the last response written
	malformedRequests int            // malformed requests since the last successful one
	hasSentRequest    bool           // a complete message was received
	verified          bool           // the processor confirmed one of its requests
	buffersReleased   bool           // its buffers were released while it is idle
	readStopped       bool           // its input is discarded; it closes when the open requests are answered
	partialBytes      int            // its share of frontend.partialBytes
	undelivered       []sentResponse // final responses not yet passed to the operating system, in order
}

// exchange identifies the slot of a connection on which a request was read and is answered.
type exchange struct {
	client   *clientConn
	slot     uint16
	keepOpen bool // the connection stays open after the response
}

// exchange returns the connection and the slot on which a request is answered.
func (r *request) exchange() exchange {
	return exchange{client: r.client, slot: r.slot, keepOpen: r.keepOpen}
}

// sentResponse is a final response that was written and may still be buffered.
type sentResponse struct {
	endOffset int // offset of its end in the output of the connection, in bytes
	ticket    accounting.Ticket
	id        uint64
}

// pendingResponses returns the number of responses that the client waits for.
func (c *clientConn) pendingResponses() int { return len(c.requests) + len(c.deepChecks) }

// busy reports whether the client waits for a response.
func (c *clientConn) busy() bool { return c.pendingResponses() > 0 }

// idle reports whether no slot is in use and no output is buffered.
func (c *clientConn) idle() bool { return c.protocol.openSlots() == 0 && c.conn.Unsent() == 0 }

// lifecycleState returns the state that determines when the connection may close. The connection itself checks for
// received bytes that are not handled yet.
func (c *clientConn) lifecycleState() lifecycle.Connection {
	return lifecycle.Connection{
		OpenRequests: c.pendingResponses(),
		HalfRead:     c.protocol.openSlots() > c.pendingResponses() || c.protocol.midMessage(),
		Broken:       c.readStopped,
	}
}

// addConnection registers an accepted connection.
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

// handleInput parses the input of a connection.
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

// connectionClosed releases all state of a closed connection: its open requests and its undelivered responses.
func (f *frontend) connectionClosed(client *clientConn, reason error) {
	b := f.backend
	delete(f.clients, client)
	f.logConnectionEnd(client, reason)
	client.protocol.discardPartial()
	f.updatePartialBytes(client)
	b.stats.ConnsClosed++
	for _, slot := range slices.Sorted(maps.Keys(client.requests)) { // in order, so that the same input leads to the same decisions
		r := client.requests[slot]
		if r.state != stateUnverified {
			f.recordUnanswered(r.id, reason)
		}
		if client.conn.SendClosed() && !client.readStopped {
			b.recordViolation("close connection", r, lifecycle.RequestOpen)
		}
		b.clientGone(r, overload.ConnectionLost)
	}
	for _, sent := range client.undelivered {
		f.recordUnanswered(sent.id, reason)
		b.ledger.Close(b.wallTime, sent.ticket, accounting.Undelivered)
	}
	client.undelivered = nil
}

// logConnectionEnd logs the end of a connection during shutdown, and at any time if requests, responses or input bytes
// were lost with it.
func (f *frontend) logConnectionEnd(client *clientConn, reason error) {
	phase := f.backend.process.Phase()
	discarded := client.conn.Discarded()
	if phase == lifecycle.Serving && discarded == 0 && !client.busy() && len(client.undelivered) == 0 {
		return
	}
	f.backend.log.Info("client connection closed", "connection", client.number, "reason", reason, "phase", phase, "open_requests", len(client.requests),
		"incomplete_requests", client.protocol.openSlots()-client.pendingResponses(), "undelivered_responses", len(client.undelivered),
		"discarded_bytes", discarded)
}

// recordUnanswered counts and logs a request whose client did not get its response.
func (f *frontend) recordUnanswered(id uint64, reason error) {
	f.backend.stats.Unanswered++
	f.backend.log.Warn("request unanswered", "id", fmt.Sprintf("%016x", id), "reason", reason)
}

// trackDelivery records that the response was written, and keeps the account open until the response is delivered.
func (f *frontend) trackDelivery(client *clientConn, ticket accounting.Ticket, id uint64, reason accounting.Reason) {
	if f.backend.ledger.ResponseWritten(f.backend.wallTime, ticket, reason) {
		sent := sentResponse{endOffset: client.conn.QueuedTotal(), ticket: ticket, id: id}
		client.undelivered = append(client.undelivered, sent)
	}
}

// confirmDelivered closes the accounts of the responses whose last byte was passed to the operating system.
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
