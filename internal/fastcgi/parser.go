package fastcgi

import (
	"encoding/binary"
	"time"
)

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages.
const (
	Request  Kind = iota + 1 // a complete request
	Invalid                  // a request that exceeds a limit before its end, or a complete one without parameters
	Abort                    // the client no longer waits; the request remains open until its response
	Rejected                 // a request that the protocol rejects; reply with AppendEnd and Status
	Reply                    // Body must be sent back unchanged
)

// Message is an event in the input of a connection. Its bytes are valid only during
// the call of the handler, except for those of a Request.
type Message struct {
	Kind      Kind
	RequestID uint16
	KeepConn  bool   // Request, Invalid, Abort, Rejected: the connection must remain open
	Status    byte   // Rejected: the protocol status
	Params    []byte // Request: encoded name-value pairs, see EachParam
	Body      []byte // Request: the request body; Reply: the records to send
}

// request is a request that is open on a connection.
type request struct {
	keepConn       bool
	paramsComplete bool
	complete       bool // the end was received, or the request is invalid
	begun          time.Duration
	params         []byte
	body           []byte
}

// Parser decodes the input of one connection. The zero value is ready for use. It is
// not safe for concurrent use.
type Parser struct {
	// Now is the time at which the input of the next Feed was received. Requests that
	// begin in this input get it as their begin time.
	Now time.Duration

	// The record that is being read.
	header           [headerSize]byte
	headerRead       int // number of received bytes of header
	recordType       byte
	requestID        uint16
	contentRemaining int
	paddingRemaining int
	control          []byte // content of a begin record or a query for values

	open     map[uint16]*request
	buffered int // bytes kept of open requests that are not complete
	skipped  int // bytes for rejected or unknown requests since the last complete request
}

// OpenRequests returns the number of requests that are being received or have no
// response yet.
func (p *Parser) OpenRequests() int { return len(p.open) }

// Buffered returns the number of bytes kept of requests that are not complete.
func (p *Parser) Buffered() int { return p.buffered }

// MidRequest reports whether a record was received in part that may begin a request
// or that belongs to an incomplete request.
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

// Done closes a request. It must be called once the response is written.
func (p *Parser) Done(requestID uint16) {
	if r := p.open[requestID]; r != nil {
		p.buffered -= len(r.params) + len(r.body)
		delete(p.open, requestID)
	}
}

// DropIncomplete removes the requests that are not complete.
func (p *Parser) DropIncomplete() {
	for requestID, r := range p.open { // the order of removal does not matter
		if !r.complete {
			p.Done(requestID)
		}
	}
}

// OldestIncomplete returns the incomplete request that began first, if it began at
// the given time or before. The id is 0 if there is none.
func (p *Parser) OldestIncomplete(begunBy time.Duration) (requestID uint16, keepConn bool) {
	oldest := begunBy
	for id, r := range p.open { // any of several requests with the same begin time is a valid result
		if !r.complete && r.begun <= oldest {
			requestID = id
			keepConn = r.keepConn
			oldest = r.begun
		}
	}
	return requestID, keepConn
}

// Feed decodes the next bytes of the stream and passes each message to handle. It
// must not be called again after an error.
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

// readHeader copies the missing bytes of the header, and returns the bytes that
// follow it.
func (p *Parser) readHeader(b []byte, handle func(Message)) (rest []byte, err error) {
	n := copy(p.header[p.headerRead:], b)
	p.headerRead += n
	if p.headerRead == headerSize {
		err = p.beginRecord(handle)
	}
	return b[n:], err
}

// beginRecord handles a complete header.
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

// contentLength returns the length of the content of the record in bytes.
func (p *Parser) contentLength() int { return int(binary.BigEndian.Uint16(p.header[4:])) }

// readContent handles the content of the record, and returns the bytes that follow
// it.
func (p *Parser) readContent(b []byte, handle func(Message)) (rest []byte, err error) {
	n := min(p.contentRemaining, len(b))
	if err := p.handleContent(b[:n], handle); err != nil {
		return nil, err
	}
	p.contentRemaining -= n
	if p.contentRemaining == 0 {
		p.endRecord(handle)
	}
	return b[n:], nil
}

// handleContent adds content to the request that it belongs to, or to control for a
// begin record or a query for values. It reports a request that exceeds a limit as
// invalid at once, and skips the rest of it.
func (p *Parser) handleContent(content []byte, handle func(Message)) error {
	if p.recordType == typeBeginRequest || p.recordType == typeGetValues {
		if len(p.control)+len(content) <= maxValuesSize {
			p.control = append(p.control, content...)
		}
		return nil
	}
	r := p.open[p.requestID]
	if r != nil && !r.complete {
		if r.add(p.recordType, content) {
			p.buffered += len(content)
			return nil
		}
		if p.recordType == typeParams || p.recordType == typeStdin {
			p.markComplete(r)
			handle(Message{Kind: Invalid, RequestID: p.requestID, KeepConn: r.keepConn})
		}
	}
	p.skipped += len(content)
	if p.skipped > maxSkippedSize {
		return ErrTooMuchSkipped
	}
	return nil
}

// add adds content to a request, and reports whether the request accepts it within
// its limits.
func (r *request) add(recordType byte, content []byte) bool {
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

// markComplete frees the content of a request, to which no more is added then.
func (p *Parser) markComplete(r *request) {
	p.buffered -= len(r.params) + len(r.body)
	r.complete = true
	r.params = nil
	r.body = nil
}

// endRecord handles the end of the content of a record.
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
	case typeData: // used only by the Filter role
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
	p.markComplete(r)
	handle(m)
}
