package backend

import (
	"errors"
	"slices"
	"strings"
	"time"

	"frosthub/accounting"
	"frosthub/internal/conn"
)

// How many connections of clients there may be.
const (
	reservedDescriptors = 16  // for the processor, reports, files and the runtime
	evictionShare       = 0.8 // of the connections; beyond it the longest idle ones are closed early
)

// What the connections of clients may hold.
const (
	maxUnsentPerClient = 192 << 10 // bytes of answers that one client may leave: 32 of the longest are 140 KB
	partialShare       = 0.15      // of the memory limit, for incomplete requests
	maxUndeliveredKept = 32        // answers of one connection in flight; a longer list is let go once it is empty
)

// How long connections of clients may stay.
const (
	// partialTimeout is how long a connection may take until its first request, and a request from its begin, until it
	// is complete. Clients may take 3 s.
	partialTimeout = 2500 * time.Millisecond

	maxIdle            = 3 * time.Second        // between requests: some clients never close an idle connection
	bufferReleaseDelay = 300 * time.Millisecond // after that an idle connection keeps no buffers
	deepCheckTimeout   = time.Second            // for the processor's answer: clients wait no longer for a health check
)

// Malformed requests of a connection since the last good one that was run.
const (
	maxMalformed    = 8                // then the connection is closed once nothing is open there
	malformedCutoff = 2 * maxMalformed // then nothing more is read of it: it does not let itself be closed
)

// Why connections of clients are closed here.
var (
	errEvicted          = errors.New("idle while connections run short")
	errIdle             = errors.New("idle")
	errNotKeptAlive     = errors.New("not kept open")
	errShuttingDown     = errors.New("the process ends")
	errMalformed        = errors.New("too many malformed requests")
	errIncomplete       = errors.New("a request stays incomplete")
	errPartialsTooLarge = errors.New("too many bytes of incomplete requests")
)

// frontend is the side of the clients, whatever protocol they speak: it takes requests that were read, answers each one
// once, and decides which connections are closed. It belongs to the owner goroutine.
type frontend struct {
	backend       *Backend
	clients       map[*clientConn]struct{}
	partialBytes  int // bytes of incomplete requests, of all clients
	acceptedCount int // connections accepted so far; they are numbered

	// The meanings of header fields, by their names as CGI parameters and in lower case.
	cgiFields  map[string][]requestField
	httpFields map[string][]requestField
}

// protocol is what differs between the protocols of clients: the parser, the slots of a connection and the encoding of
// responses. There is one for each connection.
type protocol interface {
	kind() accounting.Frontend

	// feed parses input. It calls back the front end with each message that is complete.
	feed(input []byte) error

	partialBytes() int // held of incomplete requests
	midMessage() bool  // part of a message was read
	openSlots() int    // in use: requests being read and requests without their answer
	discardPartial()   // forgets what was read of incomplete requests

	// overdue returns a request that began by that time and is still incomplete, if there is one.
	overdue(by time.Duration) (partial exchange, found bool)

	appendResponse(buf []byte, slot uint16, keepOpen bool, r *response) []byte
}

// headerField is a header and its meaning.
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

// connectionLimit returns how many connections there may be in all when one more of a client is accepted. It leaves
// room for those that calls need.
func (f *frontend) connectionLimit() int {
	return f.backend.cfg.Limits.Sockets - reservedDescriptors - f.backend.upstream.connectionLimit()
}

// acceptFunc returns the function that takes the connections of clients which speak a protocol.
func (f *frontend) acceptFunc(newProtocol func(*clientConn) protocol) func(*conn.Conn) {
	return func(c *conn.Conn) { f.addConnection(c, newProtocol) }
}

// updatePartialBytes follows a change in what a connection holds of incomplete requests.
func (f *frontend) updatePartialBytes(client *clientConn) {
	held := client.protocol.partialBytes()
	f.partialBytes += held - client.partialBytes
	client.partialBytes = held
}

// terminateConnection reads no more of a connection that does not keep to its protocol. Complete requests that were read are still answered;
// with nothing to answer the connection is aborted at once.
func (f *frontend) terminateConnection(client *clientConn, reason error) {
	f.backend.stats.BadConns++
	f.backend.logLimited("client protocol error", "from", "edge node", "reason", reason)
	f.stopReading(client)
	if !client.busy() && client.conn.Unsent() == 0 {
		client.conn.Abort(reason)
		return
	}
	client.conn.CloseGracefully(reason)
}

// terminateLargestPartial cuts the connection that holds most of incomplete requests.
func (f *frontend) terminateLargestPartial() {
	var largest *clientConn
	for client := range f.clients {
		if largest == nil || client.protocol.partialBytes() > largest.protocol.partialBytes() {
			largest = client
		}
	}
	f.terminateConnection(largest, errPartialsTooLarge)
}

// stopReading has nothing more be read of a connection.
func (f *frontend) stopReading(client *clientConn) {
	client.readStopped = true
	client.conn.DiscardInput()
	client.protocol.discardPartial()
	f.updatePartialBytes(client)
}
