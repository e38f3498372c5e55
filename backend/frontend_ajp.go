package backend

import (
	"crypto/subtle"
	"errors"
	"strconv"
	"time"

	"frosthub/accounting"
	"frosthub/internal/ajp"
)

// AJPConfig configures the front end for clients that speak AJP/1.3. The zero value disables it.
type AJPConfig struct {
	Listen    string // address of the listener; empty to disable AJP
	Secret    string // secret that each request must carry; empty for none
	MaxPacket int    // maximum size of a packet in bytes, including its header; 0 for ajp.DefaultPacketSize
}

// packet returns the maximum size of a packet, which is the default if none is configured.
func (c AJPConfig) packet() int {
	if c.MaxPacket == 0 {
		return ajp.DefaultPacketSize
	}
	return c.MaxPacket
}

// errShutdownRequested is the reason for terminating a connection whose client sent a shutdown packet. Clients are not
// allowed to shut down this backend.
var errShutdownRequested = errors.New("client requested a shutdown of the backend")

// ajpSlot is the only slot of an AJP connection.
const ajpSlot = 1

// ajpProtocol implements protocol for AJP. A connection carries one request at a time; a client aborts it by closing the
// connection.
type ajpProtocol struct {
	frontend  *frontend
	client    *clientConn
	server    *ajp.Server
	inPartial bool          // part of a request was received
	begunAt   time.Duration // when the first byte of that request was received
}

func (f *frontend) newAJPProtocol(client *clientConn) protocol {
	return &ajpProtocol{frontend: f, client: client, server: ajp.NewServer(f.backend.cfg.AJP.packet())}
}

func (p *ajpProtocol) kind() accounting.Frontend { return accounting.AJP }

func (p *ajpProtocol) partialBytes() int { return p.server.Buffered() }

func (p *ajpProtocol) midMessage() bool { return p.server.Receiving() }

func (p *ajpProtocol) discardPartial() {
	if p.server.Receiving() {
		p.server = ajp.NewServer(p.frontend.backend.cfg.AJP.packet())
		p.inPartial = false
	}
}

func (p *ajpProtocol) openSlots() int {
	if p.server.InProgress() {
		return 1
	}
	return 0
}

func (p *ajpProtocol) overdue(by time.Duration) (partial exchange, found bool) {
	if !p.inPartial || p.begunAt > by {
		return exchange{}, false
	}
	p.inPartial = false
	p.server.Reject()
	return exchange{client: p.client, slot: ajpSlot}, true
}

func (p *ajpProtocol) feed(input []byte) error {
	err := p.server.Feed(input, p.onMessage)
	if inPartial := p.server.Receiving(); inPartial != p.inPartial {
		p.inPartial = inPartial
		p.begunAt = p.frontend.backend.now
	}
	return err
}

// onMessage handles one message of the parser.
func (p *ajpProtocol) onMessage(message ajp.Message) {
	f, client := p.frontend, p.client
	b := f.backend
	if client.readStopped {
		return
	}
	client.lastUsed = b.now
	client.hasSentRequest = true
	switch message.Kind {
	case ajp.CPing:
		b.scratch = ajp.AppendCPong(b.scratch[:0])
		client.conn.Write(b.scratch)
	case ajp.NeedBodyChunk:
		b.scratch = ajp.AppendGetBodyChunk(b.scratch[:0], b.cfg.AJP.packet())
		client.conn.Write(b.scratch)
	case ajp.Shutdown:
		f.terminateConnection(client, errShutdownRequested)
	case ajp.TooLarge:
		p.reject(accounting.BadFields, "request body is too large")
	case ajp.Request:
		p.onRequest(message)
	}
}

// onRequest checks the secret of a request and parses its fields.
func (p *ajpProtocol) onRequest(message ajp.Message) {
	f := p.frontend
	secret := f.backend.cfg.AJP.Secret
	if secret != "" && subtle.ConstantTimeCompare([]byte(secret), message.Secret) != 1 {
		p.reject(accounting.BadSecret, "secret is wrong or missing")
		return
	}
	parsed := f.newParsedRequest(exchange{client: p.client, slot: ajpSlot, keepOpen: true}, message.Body)
	parsed.request.stickyRoute = string(message.Route)
	parsed.set(pathField, message.Path)
	parsed.set(queryField, message.Query)
	var nameBuf [32]byte
	message.Headers.Each(func(name, value []byte) {
		parsed.setAll(f.httpFields[string(appendLower(nameBuf[:0], name))], value)
	})
	f.handleRequest(parsed, true)
}

// reject rejects an invalid request and closes the connection.
func (p *ajpProtocol) reject(reason accounting.Reason, problem string) {
	from := exchange{client: p.client, slot: ajpSlot}
	p.frontend.rejectMalformed(from, p.frontend.openAccountWithoutID(p.client), 0, reason, problem)
}

// appendLower appends the lower-case form of an ASCII name to buf.
func appendLower(buf, name []byte) []byte {
	for _, c := range name {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		buf = append(buf, c)
	}
	return buf
}

func (p *ajpProtocol) appendResponse(buf []byte, _ uint16, keepOpen bool, r *response) []byte {
	var headerBuf [5]ajp.Header
	fields := headerBuf[:0]
	if len(r.signal) > 0 {
		fields = append(fields, ajp.Header{Name: "X-Load-Signal", Value: string(r.signal)})
	}
	if r.retryAfter > 0 {
		millis := retryAfterMillis(r)
		seconds := (millis + 999) / 1000 // rounded up, so that no client retries too early
		fields = append(fields,
			ajp.Header{Name: "Retry-After-Ms", Value: strconv.FormatInt(millis, 10)},
			ajp.Header{Name: "Retry-After", Value: strconv.FormatInt(seconds, 10)})
	}
	if r.dontRetry {
		fields = append(fields, ajp.Header{Name: "X-Dont-Retry", Value: "1"})
	}
	fields = append(fields, ajp.Header{Name: "Content-Length", Value: strconv.Itoa(len(r.body))})
	buf = ajp.AppendHeaders(buf, r.status, statusText[r.status], fields)
	buf = ajp.AppendResponseBody(buf, p.frontend.backend.cfg.AJP.packet(), r.body)
	buf = ajp.AppendEnd(buf, keepOpen)
	p.server.Done()
	return buf
}
