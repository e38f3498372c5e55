package backend

import (
	"crypto/subtle"
	"errors"
	"frosthub/accounting"
	"frosthub/internal/ajp"
	"strconv"
	"time"
)

// AJPConfig says how front ends that speak AJP/1.3 are served. The zero value serves none.
type AJPConfig struct {
	Listen    string // where they connect
	Secret    string // that each req must bring; empty: none
	MaxPacket int    // bytes of a packet at most, with its head; ajp.PacketUsual if 0
}

func (a AJPConfig) packet() int {
	if a.MaxPacket == 0 {
		return ajp.DefaultPacketSize
	}
	return a.MaxPacket
}

var errShutdown = errors.New("it wants this backend to end")

// ajpProtocol is a connection that speaks AJP: one req at a time, and no abort but its end.
type ajpProtocol struct {
	f     *frontend
	e     *clientConn
	p     *ajp.Server
	begun time.Duration // of the req that is being read
	part  bool          // one is
}

// ajpSlot is the one slot of a connection.
const ajpSlot = 1

func (f *frontend) ajp(e *clientConn) protocol {
	return &ajpProtocol{f: f, e: e, p: ajp.NewServer(f.backend.cfg.AJP.packet())}
}

func (x *ajpProtocol) kind() accounting.Frontend { return accounting.AJP }
func (x *ajpProtocol) partialBytes() int         { return x.p.Buffered() }

func (x *ajpProtocol) midMessage() bool { return x.p.Receiving() }

func (x *ajpProtocol) discardPartial() {
	if x.p.Receiving() {
		x.p, x.part = ajp.NewServer(x.f.backend.cfg.AJP.packet()), false
	}
}

func (x *ajpProtocol) openSlots() int {
	if x.p.InProgress() {
		return 1
	}
	return 0
}

func (x *ajpProtocol) overdue(by time.Duration) (slot uint16, keep, any bool) {
	if !x.part || x.begun > by {
		return 0, false, false
	}
	x.part = false
	x.p.Reject()
	return ajpSlot, false, true
}

func (x *ajpProtocol) feed(p []byte) error {
	err := x.p.Feed(p, x.message)
	if part := x.p.Receiving(); part != x.part {
		x.part, x.begun = part, x.f.backend.now
	}
	return err
}

func (x *ajpProtocol) message(m ajp.Message) {
	f, e := x.f, x.e
	b := f.backend
	if e.broken {
		return
	}
	e.lastUsed, e.hasSentRequest = b.now, true
	switch m.Kind {
	case ajp.CPing:
		b.scratch = ajp.AppendCPong(b.scratch[:0])
		e.conn.Write(b.scratch)
	case ajp.NeedBodyChunk:
		b.scratch = ajp.AppendGetBodyChunk(b.scratch[:0], b.cfg.AJP.packet())
		e.conn.Write(b.scratch)
	case ajp.Shutdown: // a front end has no say in that
		f.cut(e, errShutdown)
	case ajp.TooLarge:
		f.rejectMalformed(e, ajpSlot, false, f.nameless(e), 0, accounting.BadFields, "too large a body")
	case ajp.Request:
		if own := b.cfg.AJP.Secret; own != "" && subtle.ConstantTimeCompare([]byte(own), m.Secret) != 1 {
			f.rejectMalformed(e, ajpSlot, false, f.nameless(e), 0, accounting.BadSecret, "a wrong secret, or none")
			return
		}
		a := f.newParsedRequest(e, ajpSlot, true, m.Body)
		a.r.stickyRoute = string(m.Route)
		a.set(pathField, m.Path)
		a.set(queryField, m.Query)
		var room [32]byte
		m.Headers.Each(func(name, v []byte) { a.setAll(f.http[string(lower(room[:0], name))], v) })
		f.handleRequest(a, true)
	}
}

// lower gives a name in lower case, in room where that is enough.
func lower(room, name []byte) []byte {
	for _, c := range name {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		room = append(room, c)
	}
	return room
}

func (x *ajpProtocol) answer(b []byte, _ uint16, keep bool, a *reply) []byte {
	var room [5]ajp.Header
	fields := room[:0]
	if len(a.signal) > 0 {
		fields = append(fields, ajp.Header{Name: "X-Load-Signal", Value: string(a.signal)})
	}
	if a.after > 0 {
		ms := max(1, a.after.Milliseconds())
		fields = append(fields, ajp.Header{Name: "Retry-After-Ms", Value: strconv.FormatInt(ms, 10)},
			ajp.Header{Name: "Retry-After", Value: strconv.FormatInt((ms+999)/1000, 10)}) // never earlier
	}
	if a.dontRetry {
		fields = append(fields, ajp.Header{Name: "X-Dont-Retry", Value: "1"})
	}
	fields = append(fields, ajp.Header{Name: "Content-Length", Value: strconv.Itoa(len(a.body))})
	b = ajp.AppendHeaders(b, a.status, statusText[a.status], fields)
	b = ajp.AppendResponseBody(b, x.f.backend.cfg.AJP.packet(), a.body)
	b = ajp.AppendEnd(b, keep)
	x.p.Done()
	return b
}
