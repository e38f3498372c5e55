package backend

import (
	"strconv"
	"time"

	"frosthub/accounting"
	"frosthub/internal/fastcgi"
)

// fastcgiProtocol implements protocol for FastCGI. A connection has many slots, and each request can be aborted.
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

// onMessage handles one message of the parser.
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
		f.rejectMalformed(from, f.openAccountWithoutID(client), 0, accounting.BadFields, "request is too large or has no parameters")
	case fastcgi.Abort:
		f.abortRequest(client, message.RequestID)
		p.endSlot(from, fastcgi.StatusComplete)
	case fastcgi.Rejected:
		p.rejectSlot(from, message.Status)
	case fastcgi.Reply:
		client.conn.Write(message.Body)
	}
}

// rejectSlot ends a slot whose request the parser rejected: its role is not responder, or too many requests are open.
func (p *fastcgiProtocol) rejectSlot(from exchange, status byte) {
	f := p.frontend
	f.backend.stats.BadRequests++
	f.backend.logLimited("request rejected as malformed", "reason", "role is not responder or too many requests are open", "status", status)
	ticket := f.openAccountWithoutID(p.client)
	reason := accounting.UnsupportedRole
	if status == fastcgi.StatusOverloaded {
		reason = accounting.TooManyOpen
	}
	p.endSlot(from, status)
	f.trackDelivery(p.client, ticket, 0, reason)
}

// endSlot ends a slot with a status and without a response.
func (p *fastcgiProtocol) endSlot(at exchange, status byte) {
	b := p.frontend.backend
	b.scratch = fastcgi.AppendEnd(b.scratch[:0], at.slot, status)
	p.parser.Done(at.slot)
	p.frontend.writeScratch(at)
}

func (p *fastcgiProtocol) appendResponse(buf []byte, slot uint16, _ bool, r *response) []byte {
	var contentBuf [256]byte
	content := append(contentBuf[:0], "Status: "...)
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

// retryAfterMillis returns the retry-after time in whole milliseconds, at least 1.
func retryAfterMillis(r *response) int64 { return max(1, r.retryAfter.Milliseconds()) }
