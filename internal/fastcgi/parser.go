package fastcgi

import (
	"encoding/binary"
	"time"
)

// Kind is what a Message is.
type Kind uint8

// The messages.
const (
	Request  Kind = iota + 1 // a complete request
	Invalid                  // a request past a limit, before its end, or a complete one without parameters
	Abort                    // the client no longer waits; the request stays open until its response
	Rejected                 // a request that the protocol rejects: AppendEnd with Status is due
	Reply                    // Body is to be sent back as it is
)

// Message is something that was read. Its bytes are valid during the call only,
// except for those of a Request.
type Message struct {
	Kind      Kind
	RequestID uint16
	KeepConn  bool   // Request, Invalid, Abort, Rejected: the connection is to stay open
	Status    byte   // Rejected
	Params    []byte // Request: name-value pairs, for EachParam
	Body      []byte // Request: its body; Reply
}

// request is one that is open on a connection.
type request struct {
	keepConn       bool
	paramsComplete bool
	complete       bool // the end was received, or the request is invalid
	begun          time.Duration
	params         []byte
	body           []byte
}

// Parser follows one connection. The zero value is at its start. It is not safe for
// concurrent use.
type Parser struct {
	// Now is the time at which what is fed was received. Requests begin at it.
	Now time.Duration

	// The record that is being read.
	header           [headerSize]byte
	headerRead       int // bytes of header received
	recordType       byte
	requestID        uint16
	contentRemaining int
	paddingRemaining int
	control          []byte // content of a begin record or a query for values

	open     map[uint16]*request
	buffered int // bytes of the open requests that are not complete
	skipped  int // bytes since the last complete request that belonged to none
}

// OpenRequests returns the number of requests that are being received or have no
// response yet.
func (p *Parser) OpenRequests() int { return len(p.open) }

// Buffered returns the bytes kept of requests that are not complete.
func (p *Parser) Buffered() int { return p.buffered }

// MidRequest reports whether part of a record was received that may begin a
// request, or belongs to one that is not complete.
func (p *Parser) MidRequest() bool {
	if p.headerRead == 0 {
		return false
	}
	if p.headerRead < headerSize || p.recordType == typeBeginRequest {
		return true
	}
	r := p.open[p.requestID]
	return r != nil && !r.complete
}

// Done closes a request, whose response is written.
func (p *Parser) Done(requestID uint16) {
	if r := p.open[requestID]; r != nil {
		p.buffered -= len(r.params) + len(r.body)
		delete(p.open, requestID)
	}
}

// DropIncomplete forgets the requests that are not complete.
func (p *Parser) DropIncomplete() {
	for requestID, r := range p.open { // only removal: the order does not matter
		if !r.complete {
			p.Done(requestID)
		}
	}
}

// OldestIncomplete returns the request that has been incomplete for longest, if it
// began at the given time or before. The id is 0 if there is none.
func (p *Parser) OldestIncomplete(begunBy time.Duration) (requestID uint16, keepConn bool) {
	oldest := begunBy
	for id, r := range p.open { // a minimum: among equals any will do
		if !r.complete && r.begun <= oldest {
			requestID = id
			keepConn = r.keepConn
			oldest = r.begun
		}
	}
	return requestID, keepConn
}

// Feed takes the next bytes and passes each message to handle. After an error the
// stream can't be followed.
func (p *Parser) Feed(b []byte, handle func(Message)) error {
	for len(b) > 0 {
		var err error
		switch {
		case p.headerRead < headerSize:
			b, err = p.readHeader(b, handle)
		case p.contentRemaining > 0:
			b, err = p.readContent(b, handle)
		default:
			n := min(p.paddingRemaining, len(b))
			p.paddingRemaining -= n
			b = b[n:]
		}
		if err != nil {
			return err
		}
		if p.headerRead == headerSize && p.contentRemaining == 0 && p.paddingRemaining == 0 {
			p.headerRead = 0
		}
	}
	return nil
}

// readHeader takes what is missing of the header, and returns the rest.
func (p *Parser) readHeader(b []byte, handle func(Message)) (rest []byte, err error) {
	n := copy(p.header[p.headerRead:], b)
	p.headerRead += n
	if p.headerRead == headerSize {
		err = p.beginRecord(handle)
	}
	return b[n:], err
}

// beginRecord follows a complete header.
func (p *Parser) beginRecord(handle func(Message)) error {
	if p.header[0] != protocolVersion {
		return ErrVersion
	}
	p.recordType = p.header[1]
	p.requestID = binary.BigEndian.Uint16(p.header[2:])
	p.contentRemaining = p.contentLength()
	p.paddingRemaining = int(p.header[6])
	p.control = p.control[:0]
	switch p.recordType {
	case typeBeginRequest:
		if p.requestID == 0 || p.open[p.requestID] != nil {
			return ErrRequestID
		}
		if p.contentRemaining != headerSize {
			return ErrBeginLength
		}
	case typeAbortRequest, typeParams, typeStdin, typeData:
		if p.requestID == 0 {
			return ErrRequestID
		}
	}
	if p.contentRemaining == 0 {
		p.endRecord(handle)
	}
	return nil
}

// contentLength returns the length of the whole content of the record.
func (p *Parser) contentLength() int { return int(binary.BigEndian.Uint16(p.header[4:])) }

// readContent takes content of the record, and returns what follows it.
func (p *Parser) readContent(b []byte, handle func(Message)) (rest []byte, err error) {
	n := min(p.contentRemaining, len(b))
	if err := p.takeContent(b[:n], handle); err != nil {
		return nil, err
	}
	p.contentRemaining -= n
	if p.contentRemaining == 0 {
		p.endRecord(handle)
	}
	return b[n:], nil
}

// takeContent adds content to what it belongs to. A request that exceeds a limit is
// invalid at once, and the rest of it is skipped.
func (p *Parser) takeContent(content []byte, handle func(Message)) error {
	if p.recordType == typeBeginRequest || p.recordType == typeGetValues {
		if len(p.control)+len(content) <= maxValuesSize {
			p.control = append(p.control, content...)
		}
		return nil
	}
	r := p.open[p.requestID]
	if r != nil && !r.complete {
		if r.take(p.recordType, content) {
			p.buffered += len(content)
			return nil
		}
		if p.recordType == typeParams || p.recordType == typeStdin {
			p.complete(r)
			handle(Message{Kind: Invalid, RequestID: p.requestID, KeepConn: r.keepConn})
		}
	}
	p.skipped += len(content)
	if p.skipped > maxSkippedSize {
		return ErrTooMuchSkipped
	}
	return nil
}

// take adds content to a request, and reports whether there was room for it.
func (r *request) take(recordType byte, content []byte) bool {
	switch recordType {
	case typeParams:
		if r.paramsComplete || len(r.params)+len(content) > maxParamsSize {
			return false
		}
		r.params = append(r.params, content...)
		return true
	case typeStdin:
		if len(r.body)+len(content) > MaxBodySize {
			return false
		}
		r.body = append(r.body, content...)
		return true
	}
	return false
}

// complete takes no more content for a request, and lets go of what there is.
func (p *Parser) complete(r *request) {
	p.buffered -= len(r.params) + len(r.body)
	r.complete = true
	r.params = nil
	r.body = nil
}

// endRecord follows the content of a record.
func (p *Parser) endRecord(handle func(Message)) {
	r := p.open[p.requestID]
	switch p.recordType {
	case typeBeginRequest:
		p.beginRequest(handle)
	case typeParams:
		if p.contentLength() == 0 && r != nil {
			r.paramsComplete = true
		}
	case typeStdin:
		if p.contentLength() == 0 && r != nil && !r.complete {
			p.completeRequest(r, handle)
		}
	case typeAbortRequest:
		if r != nil {
			handle(Message{Kind: Abort, RequestID: p.requestID, KeepConn: r.keepConn})
		}
	case typeData: // of another role
	case typeGetValues:
		handle(Message{Kind: Reply, Body: appendValuesResult(nil, p.control)})
	default:
		handle(Message{Kind: Reply, Body: appendUnknownType(nil, p.recordType)})
	}
}

func (p *Parser) beginRequest(handle func(Message)) {
	role := binary.BigEndian.Uint16(p.control)
	keepConn := p.control[2]&flagKeepConn != 0
	switch {
	case role != roleResponder:
		handle(Message{Kind: Rejected, RequestID: p.requestID, KeepConn: keepConn, Status: StatusUnknownRole})
	case len(p.open) >= MaxOpenRequests:
		handle(Message{Kind: Rejected, RequestID: p.requestID, KeepConn: keepConn, Status: StatusOverloaded})
	default:
		if p.open == nil {
			p.open = map[uint16]*request{}
		}
		p.open[p.requestID] = &request{keepConn: keepConn, begun: p.Now}
	}
}

func (p *Parser) completeRequest(r *request, handle func(Message)) {
	m := Message{Kind: Invalid, RequestID: p.requestID, KeepConn: r.keepConn}
	if r.paramsComplete {
		m.Kind = Request
		m.Params = r.params
		m.Body = r.body
	}
	p.skipped = 0
	p.complete(r)
	handle(m)
}
