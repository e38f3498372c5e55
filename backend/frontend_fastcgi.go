package backend

import (
	"strconv"
	"time"

	"frosthub/accounting"
	"frosthub/internal/fastcgi"
)

// fastcgiProtocol is a connection of a client that speaks FastCGI: many slots, each with an abort.
type fastcgiProtocol struct {
	frontend *frontend
	client   *clientConn
	parser   fastcgi.Parser
}

func (f *frontend) newFastCGIProtocol(client *clientConn) protocol {
	return &fastcgiProtocol{frontend: f, client: client}
}

func (p *fastcgiProtocol) kind() accounting.Frontend { return accounting.FastCGI }

func (p *fastcgiProtocol) partialBytes() int { return p.parser.Buffered() }

func (p *fastcgiProtocol) midMessage() bool { return p.parser.MidRequest() }

func (p *fastcgiProtocol) openSlots() int { return p.parser.OpenRequests() }

func (p *fastcgiProtocol) discardPartial() { p.parser.DropIncomplete() }

func (p *fastcgiProtocol) overdue(by time.Duration) (partial exchange, found bool) {
	slot, keepOpen := p.parser.OldestIncomplete(by)
	return exchange{client: p.client, slot: slot, keepOpen: keepOpen}, slot > 0
}

func (p *fastcgiProtocol) feed(input []byte) error {
	p.parser.Now = p.frontend.backend.now
	return p.parser.Feed(input, p.onMessage)
}

// onMessage takes one message of the parser.
func (p *fastcgiProtocol) onMessage(message fastcgi.Message) {
	f, client := p.frontend, p.client
	if client.readStopped {
		return
	}
	client.lastUsed = f.backend.now
	client.hasSentRequest = true
	from := exchange{client: client, slot: message.RequestID, keepOpen: message.KeepConn}
	switch message.Kind {
	case fastcgi.Request:
		parsed := f.newParsedRequest(from, message.Body)
		complete := fastcgi.EachParam(message.Params, func(name, value []byte) { parsed.setAll(f.cgiFields[string(name)], value) })
		f.handleRequest(parsed, complete)
	case fastcgi.Invalid:
		from.keepOpen = false
		f.rejectMalformed(from, f.openAccountWithoutID(client), 0, accounting.BadFields, "too large, or without its parameters")
	case fastcgi.Abort:
		f.abortRequest(client, message.RequestID)
		p.endSlot(from, fastcgi.StatusComplete)
	case fastcgi.Rejected:
		p.refuse(from, message.Status)
	case fastcgi.Reply:
		client.conn.Write(message.Body)
	}
}

// refuse ends a slot on which the parser takes no request: its role is not that of a responder, or too many are open.
func (p *fastcgiProtocol) refuse(from exchange, status byte) {
	f := p.frontend
	f.backend.stats.BadRequests++
	f.backend.logLimited("bad request", "reason", "role, or too many open requests", "status", status)
	ticket := f.openAccountWithoutID(p.client)
	reason := accounting.UnsupportedRole
	if status == fastcgi.StatusOverloaded {
		reason = accounting.TooManyOpen
	}
	p.endSlot(from, status)
	f.trackDelivery(p.client, ticket, 0, reason)
}

// endSlot ends a slot without an answer.
func (p *fastcgiProtocol) endSlot(at exchange, status byte) {
	b := p.frontend.backend
	b.scratch = fastcgi.AppendEnd(b.scratch[:0], at.slot, status)
	p.parser.Done(at.slot)
	p.frontend.writeScratch(at)
}

func (p *fastcgiProtocol) appendResponse(buf []byte, slot uint16, _ bool, r *response) []byte {
	var room [256]byte
	content := append(room[:0], "Status: "...)
	content = strconv.AppendInt(content, int64(r.status), 10)
	content = append(content, ' ')
	content = append(content, statusText[r.status]...)
	content = append(content, "\r\n"...)
	if len(r.signal) > 0 {
		content = append(content, "X-Load-Signal: "...)
		content = append(content, r.signal...)
		content = append(content, "\r\n"...)
	}
	if r.retryAfter > 0 {
		content = append(content, "Retry-After-Ms: "...)
		content = strconv.AppendInt(content, retryAfterMillis(r), 10)
		content = append(content, "\r\n"...)
	}
	if r.dontRetry {
		content = append(content, "X-Dont-Retry: 1\r\n"...)
	}
	content = append(content, "\r\n"...)
	content = append(content, r.body...)
	buf = fastcgi.AppendStdout(buf, slot, content)
	buf = fastcgi.AppendEnd(buf, slot, fastcgi.StatusComplete)
	p.parser.Done(slot)
	return buf
}

// retryAfterMillis returns when to come back in whole milliseconds, at least one.
func retryAfterMillis(r *response) int64 { return max(1, r.retryAfter.Milliseconds()) }
