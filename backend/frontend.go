package backend

import (
	"errors"
	"slices"
	"strings"
	"time"

	"frosthub/accounting"
	"frosthub/internal/conn"
)

// Limits on the number of client connections.
const (
	reservedDescriptors = 16  // for the processor link, reports, files and the Go runtime
	evictionShare       = 0.8 // of the connection limit; above it the longest idle connections are closed early
)

// Memory limits of client connections.
const (
	maxUnsentPerClient = 192 << 10 // bytes of responses that a client has not read; 32 of the longest are 140 KB
	partialShare       = 0.15      // of the memory limit, for incomplete requests of all clients
	maxUndeliveredKept = 32        // capacity up to which a connection keeps its empty list of undelivered responses
)

// Timeouts of client connections.
const (
	// partialTimeout limits the time from the accept of a connection to its first complete message, and the time from the
	// beginning of a request to its completion. Clients may take 3 s.
	partialTimeout = 2500 * time.Millisecond

	maxIdle            = 3 * time.Second        // between requests; some clients never close an idle connection
	bufferReleaseDelay = 300 * time.Millisecond // idle time after which a connection releases its buffers
	deepCheckTimeout   = time.Second            // for the processor's answer to a deep check; clients wait no longer than this
)

// Limits on malformed requests of a connection since the last successful one.
const (
	maxMalformed    = 8                // at this number the connection is closed when no request is open on it
	malformedCutoff = 2 * maxMalformed // at this number input is discarded, since the client keeps sending on a closing connection
)

// Reasons for which this node closes client connections.
var (
	errEvicted          = errors.New("idle connection evicted near the connection limit")
	errIdle             = errors.New("idle")
	errNotKeptAlive     = errors.New("connection is not kept open")
	errShuttingDown     = errors.New("process is shutting down")
	errMalformed        = errors.New("too many malformed requests")
	errIncomplete       = errors.New("request not completed in time")
	errPartialsTooLarge = errors.New("too many buffered bytes of incomplete requests")
)

// frontend serves the clients of all protocols. It handles parsed requests, answers each request once, and decides which
// connections to close. It is owned by the owner goroutine.
type frontend struct {
	backend       *Backend
	clients       map[*clientConn]struct{}
	partialBytes  int // buffered bytes of incomplete requests, over all clients
	acceptedCount int // connections accepted so far; numbers the connections

	// Request fields by header name, in the form of a CGI parameter and in lower case.
	cgiFields  map[string][]requestField
	httpFields map[string][]requestField
}

// protocol implements a client protocol for one connection: its parser, its slots and the encoding of its responses.
type protocol interface {
	kind() accounting.Frontend

	// feed parses input and passes each complete message to the front end.
	feed(input []byte) error

	partialBytes() int // buffered bytes of incomplete requests
	midMessage() bool  // part of a message was received
	openSlots() int    // slots in use, by requests being received and by unanswered requests
	discardPartial()   // drops the buffered part of incomplete requests

	// overdue returns an incomplete request that began at the given time or earlier, if there is one.
	overdue(by time.Duration) (partial exchange, found bool)

	appendResponse(buf []byte, slot uint16, keepOpen bool, r *response) []byte
}

// headerField maps the name of a header to a request field.
type headerField struct {
	name  string
	field requestField
}

func (f *frontend) init(b *Backend) {
	f.backend = b
	f.clients = map[*clientConn]struct{}{}
	f.cgiFields = map[string][]requestField{"SCRIPT_NAME": {pathField}, "QUERY_STRING": {queryField}}
	f.httpFields = map[string][]requestField{}
	headers := append(slices.Clone(headerFields),
		headerField{b.cfg.Accounting.CustomerField, customerField},
		headerField{b.cfg.Idempotency.KeyField, guardKeyField},
		headerField{b.cfg.Idempotency.CreatedField, createdField})
	for _, header := range headers {
		if header.name == "" {
			continue
		}
		cgiName := "HTTP_" + strings.ToUpper(strings.ReplaceAll(header.name, "-", "_"))
		httpName := strings.ToLower(header.name)
		f.cgiFields[cgiName] = append(f.cgiFields[cgiName], header.field)
		f.httpFields[httpName] = append(f.httpFields[httpName], header.field)
	}
}

// connectionLimit returns the number of open connections of all kinds up to which a client connection is accepted. It
// excludes the descriptors that are reserved for upstream calls and for internal use.
func (f *frontend) connectionLimit() int {
	return f.backend.cfg.Limits.Sockets - reservedDescriptors - f.backend.upstream.connectionLimit()
}

// acceptFunc returns the function that registers accepted connections of clients with the given protocol.
func (f *frontend) acceptFunc(newProtocol func(*clientConn) protocol) func(*conn.Conn) {
	return func(c *conn.Conn) { f.addConnection(c, newProtocol) }
}

// updatePartialBytes updates the number of buffered bytes of incomplete requests after a change on one connection.
func (f *frontend) updatePartialBytes(client *clientConn) {
	buffered := client.protocol.partialBytes()
	f.partialBytes += buffered - client.partialBytes
	client.partialBytes = buffered
}

// terminateConnection stops reading from a connection whose client violates its protocol or a limit. Requests that were
// completely read are still answered. Without pending responses the connection is aborted at once.
func (f *frontend) terminateConnection(client *clientConn, reason error) {
	f.backend.stats.BadConns++
	f.backend.logLimited("client protocol error", "peer", "edge node", "reason", reason)
	f.stopReading(client)
	if !client.busy() && client.conn.Unsent() == 0 {
		client.conn.Abort(reason)
		return
	}
	client.conn.CloseGracefully(reason)
}

// terminateLargestPartial terminates the connection with the most buffered bytes of incomplete requests.
func (f *frontend) terminateLargestPartial() {
	var largest *clientConn
	for client := range f.clients {
		if largest == nil || client.protocol.partialBytes() > largest.protocol.partialBytes() {
			largest = client
		}
	}
	f.terminateConnection(largest, errPartialsTooLarge)
}

// stopReading discards the buffered and all further input of a connection.
func (f *frontend) stopReading(client *clientConn) {
	client.readStopped = true
	client.conn.DiscardInput()
	client.protocol.discardPartial()
	f.updatePartialBytes(client)
}
