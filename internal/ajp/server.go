package ajp

import "errors"

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages to the user of a Server.
const (
	Request       Kind = iota + 1 // a complete request
	TooLarge                      // a request that exceeds a limit; it needs a response, and its remaining input is ignored
	NeedBodyChunk                 // the next part of the body must be requested with AppendGetBodyChunk
	CPing                         // the front end checks the connection; reply with AppendCPong
	Shutdown                      // the front end requests that the server shut down
)

// Message is an event in the input from a front end. Its bytes are valid only
// during the call of the handler, except for those of Body.
type Message struct {
	Kind    Kind
	Method  string // empty if the method code is unknown
	Path    []byte
	Query   []byte
	Route   []byte // name of the worker of a sticky session
	Secret  []byte
	Headers Headers
	Body    []byte // owned by the receiver
}

// serverState is the state of a Server in the exchange of a request. The
// transitions are:
//
//	from           to             by
//	idle           answering      onForwardRequest, for a request without a body
//	idle           receivingBody  onForwardRequest, for a request with a body
//	receivingBody  answering      onBodyChunk, once the body is complete
//	any            rejected       Reject
//	answering      idle           Done
//	rejected       closing        Done
type serverState uint8

const (
	stateIdle          serverState = iota
	stateReceivingBody             // more parts of a body are expected
	stateAnswering                 // a request is complete and waits for its response
	stateRejected                  // a request waits for its response; further input is ignored
	stateClosing                   // the connection is about to end; further input is ignored
)

// Server decodes the input of a connection from a front end. It is not safe for
// concurrent use.
type Server struct {
	packets   packetReader
	state     serverState
	remaining int // missing bytes of the body, or unknownLength
	body      []byte
	request   []byte // the encoded request, while its body is received

	handle   func(Message)              // callback of the current Feed
	onPacket func(content []byte) error // handlePacket, stored so that Feed allocates no memory
}

// NewServer returns a server that accepts packets of at most maxPacketSize bytes.
func NewServer(maxPacketSize int) *Server {
	s := &Server{packets: packetReader{magic: magicToServer, maxSize: maxPacketSize}}
	s.onPacket = s.handlePacket
	return s
}

// Buffered returns the number of bytes kept of a request that is not complete.
func (s *Server) Buffered() int { return s.packets.buffered() + len(s.body) + len(s.request) }

// Receiving reports whether a request was received only in part.
func (s *Server) Receiving() bool {
	return s.state == stateReceivingBody || s.state == stateIdle && s.packets.midPacket()
}

// InProgress reports whether the body of a request is being received, or a request
// has no response yet.
func (s *Server) InProgress() bool { return s.state != stateIdle && s.state != stateClosing }

// Reject drops the request that is being received and ignores further input. The
// request gets an early response, and the connection must be closed after it.
func (s *Server) Reject() {
	s.state = stateRejected
	s.body = nil
	s.request = nil
	s.packets.partial = nil
}

// Done ends the exchange of a request. It must be called once the response is
// written.
func (s *Server) Done() {
	switch s.state {
	case stateAnswering:
		s.state = stateIdle
	case stateRejected:
		s.state = stateClosing
	}
}

// Feed decodes the next bytes of the stream and passes each message to handle. It
// must not be called again after an error.
func (s *Server) Feed(b []byte, handle func(Message)) error {
	if s.state >= stateRejected {
		return nil // the connection is closed after the response
	}
	s.handle = handle
	err := s.packets.feed(b, s.onPacket)
	if errors.Is(err, errInputIgnored) {
		return nil
	}
	return err
}

// errInputIgnored stops the decoding of a stream whose remaining input is ignored.
var errInputIgnored = errors.New("input ignored")

func (s *Server) handlePacket(content []byte) error {
	switch s.state {
	case stateRejected, stateClosing: // the handler of an earlier packet of this input called Reject
		return errInputIgnored
	case stateAnswering:
		return ErrPipelined
	case stateReceivingBody:
		return s.onBodyChunk(content)
	}
	if len(content) == 0 {
		return ErrUnexpectedPacket
	}
	switch content[0] {
	case codeForwardRequest:
		return s.onForwardRequest(content[1:])
	case codeCPing:
		s.handle(Message{Kind: CPing})
	case codePing: // the front end expects no reply
	case codeShutdown:
		s.handle(Message{Kind: Shutdown})
	default:
		return ErrUnexpectedPacket
	}
	return nil
}

func (s *Server) onForwardRequest(encoded []byte) error {
	m := Message{Kind: Request}
	if err := m.decode(encoded); err != nil {
		return err
	}
	length, err := bodyLength(m.Headers)
	if err != nil {
		return err
	}
	if length == 0 {
		s.state = stateAnswering
		s.handle(m)
		return nil
	}
	s.state = stateReceivingBody
	s.remaining = length
	s.request = append(s.request[:0], encoded...) // the packet is no longer valid when the body is complete
	if length > MaxBodySize {
		return s.rejectTooLarge()
	}
	if length == unknownLength {
		s.handle(Message{Kind: NeedBodyChunk}) // the first part of a body of known length is sent without a request
	}
	return nil
}

func (s *Server) rejectTooLarge() error {
	s.Reject()
	s.handle(Message{Kind: TooLarge})
	return errInputIgnored
}

// onBodyChunk adds a part of the body. The packet has the length of the part and
// its bytes; an empty packet ends a body of unknown length.
func (s *Server) onBodyChunk(content []byte) error {
	chunk, err := decodeBodyChunk(content)
	if err != nil {
		return err
	}
	knownLength := s.remaining != unknownLength
	switch {
	case knownLength && len(chunk) == 0, knownLength && len(chunk) > s.remaining:
		return ErrInvalidBody
	case len(s.body)+len(chunk) > MaxBodySize:
		return s.rejectTooLarge()
	}
	s.body = append(s.body, chunk...)
	complete := len(chunk) == 0
	if knownLength {
		s.remaining -= len(chunk)
		complete = s.remaining == 0
	}
	if !complete {
		s.handle(Message{Kind: NeedBodyChunk})
		return nil
	}
	return s.completeRequest()
}

func decodeBodyChunk(content []byte) ([]byte, error) {
	if len(content) == 0 {
		return nil, nil
	}
	d := decoder{data: content}
	if n := d.uint16(); d.failed || n != len(d.data) {
		return nil, ErrInvalidBody
	}
	return d.data, nil
}

func (s *Server) completeRequest() error {
	m := Message{Kind: Request}
	if err := m.decode(s.request); err != nil {
		return err
	}
	m.Body = s.body
	s.body = nil
	s.state = stateAnswering
	s.handle(m)
	s.request = s.request[:0]
	return nil
}

// decode sets the values of a request from the content of its packet without the
// code.
func (m *Message) decode(encoded []byte) error {
	d := decoder{data: encoded}
	method := d.byte()
	d.string() // protocol
	m.Path = d.string()
	d.string() // client address
	d.string() // client host
	d.string() // server name
	d.uint16() // server port
	d.byte()   // whether the client used TLS
	m.Headers = d.headers(requestHeaderNames)
	stored := m.decodeAttributes(&d)
	if !d.complete() {
		return ErrInvalidHeaders
	}
	switch {
	case method == storedMethod:
		m.Method = string(stored)
	case int(method) < len(methods):
		m.Method = methods[method]
	}
	return nil
}

// decodeAttributes sets the values of the attributes, and returns the method of
// attributeStoredMethod.
func (m *Message) decodeAttributes(d *decoder) (method []byte) {
	for !d.failed {
		switch code := d.byte(); code {
		case attributesDone:
			return method
		case attributeQuery:
			m.Query = d.string()
		case attributeRoute:
			m.Route = d.string()
		case attributeSecret:
			m.Secret = d.string()
		case attributeStoredMethod:
			method = d.string()
		case attributeNamed:
			d.string()
			d.string()
		case attributeKeySize:
			d.uint16()
		default:
			if code == 0 || code > maxStringAttribute {
				d.failed = true
				return nil
			}
			d.string()
		}
	}
	return nil
}

// AppendHeaders appends the packet that begins a response.
func AppendHeaders(b []byte, status int, reason string, headers []Header) []byte {
	return appendPacket(b, magicToClient, func(b []byte) []byte {
		b = append(b, codeSendHeaders)
		b = appendUint16(b, status)
		b = appendString(b, reason)
		b = appendUint16(b, len(headers))
		return appendHeaders(b, headers)
	})
}

// AppendResponseBody appends the body of a response, in packets of at most
// maxPacketSize bytes.
func AppendResponseBody(b []byte, maxPacketSize int, body []byte) []byte {
	const overhead = packetHeaderSize + 4 // code, length and terminating zero
	for len(body) > 0 {
		n := min(len(body), maxPacketSize-overhead)
		b = appendPacket(b, magicToClient, func(b []byte) []byte {
			b = append(b, codeSendBodyChunk)
			b = appendUint16(b, n)
			b = append(b, body[:n]...)
			return append(b, 0)
		})
		body = body[n:]
	}
	return b
}

// AppendEnd appends the packet that ends a response. With reuse the front end may
// send another request on the connection.
func AppendEnd(b []byte, reuse bool) []byte {
	return appendPacket(b, magicToClient, func(b []byte) []byte {
		if reuse {
			return append(b, codeEndResponse, 1)
		}
		return append(b, codeEndResponse, 0)
	})
}

// AppendGetBodyChunk appends a request for the next part of a request body, which
// must fit into a packet of maxPacketSize bytes.
func AppendGetBodyChunk(b []byte, maxPacketSize int) []byte {
	return appendPacket(b, magicToClient, func(b []byte) []byte {
		b = append(b, codeGetBodyChunk)
		// One byte more than the limit detects a body that exceeds it.
		return appendUint16(b, min(MaxBodyChunk(maxPacketSize), MaxBodySize+1))
	})
}

// AppendCPong appends the reply to a CPing.
func AppendCPong(b []byte) []byte {
	return appendPacket(b, magicToClient, func(b []byte) []byte { return append(b, codeCPong) })
}
