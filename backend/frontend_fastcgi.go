package backend

import (
	"frosthub/accounting"
	"frosthub/internal/fastcgi"
	"strconv"
	"time"
)

// fastcgiProtocol is a connection that speaks FastCGI: 32 slots, an abort for each.
type fastcgiProtocol struct {
	f *frontend
	e *clientConn
	p fastcgi.Parser
}

func (f *frontend) fastCGI(e *clientConn) protocol { return &fastcgiProtocol{f: f, e: e} }

func (x *fastcgiProtocol) kind() accounting.Frontend { return accounting.FastCGI }
func (x *fastcgiProtocol) partialBytes() int         { return x.p.Buffered() }
func (x *fastcgiProtocol) openSlots() int            { return x.p.OpenRequests() }
func (x *fastcgiProtocol) midMessage() bool          { return x.p.MidRequest() }
func (x *fastcgiProtocol) discardPartial()           { x.p.DropIncomplete() }

func (x *fastcgiProtocol) overdue(by time.Duration) (slot uint16, keep, any bool) {
	slot, keep = x.p.OldestIncomplete(by)
	return slot, keep, slot > 0
}

func (x *fastcgiProtocol) feed(p []byte) error {
	x.p.Now = x.f.backend.now
	return x.p.Feed(p, x.message)
}

func (x *fastcgiProtocol) message(m fastcgi.Message) {
	f, e := x.f, x.e
	b := f.backend
	if e.broken {
		return
	}
	e.lastUsed, e.hasSentRequest = b.now, true
	switch m.Kind {
	case fastcgi.Request:
		a := f.newParsedRequest(e, m.RequestID, m.KeepConn, m.Body)
		whole := fastcgi.EachParam(m.Params, func(name, v []byte) { a.setAll(f.cgi[string(name)], v) })
		f.handleRequest(a, whole)
	case fastcgi.Invalid:
		f.rejectMalformed(e, m.RequestID, false, f.nameless(e), 0, accounting.BadFields, "too large, or without its parameters")
	case fastcgi.Abort:
		f.takenBack(e, m.RequestID)
		x.end(m.RequestID, m.KeepConn, fastcgi.StatusComplete)
	case fastcgi.Rejected:
		b.stats.BadRequests++
		b.logLimited("bad req", "why", "role or number of open reqs", "status", m.Status)
		t, why := f.nameless(e), accounting.UnsupportedRole
		if m.Status == fastcgi.StatusOverloaded {
			why = accounting.TooManyOpen
		}
		x.end(m.RequestID, m.KeepConn, m.Status)
		f.trackDelivery(e, t, 0, why)
	case fastcgi.Reply:
		e.conn.Write(m.Body)
	}
}

// end closes a slot without an answer.
func (x *fastcgiProtocol) end(slot uint16, keep bool, status byte) {
	x.f.backend.scratch = fastcgi.AppendEnd(x.f.backend.scratch[:0], slot, status)
	x.p.Done(slot)
	x.f.write(x.e, keep)
}

func (x *fastcgiProtocol) answer(b []byte, slot uint16, _ bool, a *reply) []byte {
	var room [256]byte
	head := strconv.AppendInt(append(room[:0], "Status: "...), int64(a.status), 10)
	head = append(append(append(head, ' '), statusText[a.status]...), "\r\n"...)
	if len(a.signal) > 0 {
		head = append(append(append(head, "X-Load-Signal: "...), a.signal...), "\r\n"...)
	}
	if a.after > 0 {
		head = strconv.AppendInt(append(head, "Retry-After-Ms: "...), max(1, a.after.Milliseconds()), 10)
		head = append(head, "\r\n"...)
	}
	if a.dontRetry {
		head = append(head, "X-Dont-Retry: 1\r\n"...)
	}
	head = append(head, "\r\n"...)
	b = fastcgi.AppendStdout(b, slot, append(head, a.body...))
	b = fastcgi.AppendEnd(b, slot, fastcgi.StatusComplete)
	x.p.Done(slot)
	return b
}
