package ajp

import "errors"

// Kind is what a Message is.
type Kind uint8

// The messages of a front end.
const (
	Request       Kind = iota + 1 // a complete request
	TooLarge                      // a request past a limit, of which nothing more is read: a response is due
	NeedBodyChunk                 // the next part of the body must be asked for, by AppendGetBodyChunk
	CPing                         // the front end checks the connection: AppendCPong is due
	Shutdown                      // the front end asks the server to end
)

// Message is something that a front end has sent. Its bytes are valid during the
// call only, except for those of Body.
type Message struct {
	Kind    Kind
	Method  string // empty for an unknown one
	Path    []byte
	Query   []byte
	Route   []byte // the name of the worker of a sticky session
	Secret  []byte
	Headers Headers
	Body    []byte // owned by the receiver
}

// serverState is where a Server stands in the exchange of a request. The
// transitions:
//
//	from           to             by
//	idle           answering      onForwardRequest: without a body
//	idle           receivingBody  onForwardRequest: with a body
//	receivingBody  answering      onBodyChunk: the body is complete
//	any            rejected       Reject
//	answering      idle           Done
//	rejected       closing        Done
type serverState uint8

const (
	stateIdle          serverState = iota
	stateReceivingBody             // parts of a body follow
	stateAnswering                 // a request is complete, and its response is due
	stateRejected                  // a response is due, and no more input is read
	stateClosing                   // the connection is to end, and no more input is read
)

// Server follows a connection of a front end. It is not safe for concurrent use.
type Server struct {
	packets   packetReader
	state     serverState
	remaining int // bytes of the body that are still to come, or unknownLength
	body      []byte
	request   []byte // the encoded request, while its body is received

	handle   func(Message)              // the callback of the present Feed
	onPacket func(content []byte) error // handlePacket; kept so that Feed allocates nothing
}

// NewServer returns a server that reads packets of at most maxPacketSize bytes.
func NewServer(maxPacketSize int) *Server {
	s := &Server{packets: packetReader{magic: magicToServer, maxSize: maxPacketSize}}
	s.onPacket = s.handlePacket
	return s
}

// Buffered returns the bytes kept of a request that is not complete.
func (s *Server) Buffered() int { return s.packets.buffered() + len(s.body) + len(s.request) }

// Receiving reports whether part of a request was received.
func (s *Server) Receiving() bool {
	return s.state == stateReceivingBody || s.state == stateIdle && s.packets.midPacket()
}

// InProgress reports whether a request is being received, or was and has no
// response yet.
func (s *Server) InProgress() bool { return s.state != stateIdle && s.state != stateClosing }

// Reject stops reading: the request that is being received is answered early, and
// the connection ends with the response.
func (s *Server) Reject() {
	s.state = stateRejected
	s.body = nil
	s.request = nil
	s.packets.partial = nil
}

// Done ends the exchange of a request, whose response is written.
func (s *Server) Done() {
	switch s.state {
	case stateAnswering:
		s.state = stateIdle
	case stateRejected:
		s.state = stateClosing
	}
}

// Feed takes the next bytes and passes each message to handle. After an error the
// stream can't be followed.
func (s *Server) Feed(b []byte, handle func(Message)) error {
	if s.state >= stateRejected {
		return nil // the connection ends with the response
	}
	s.handle = handle
	err := s.packets.feed(b, s.onPacket)
	if errors.Is(err, errInputIgnored) {
		return nil
	}
	return err
}

// errInputIgnored stops the reading of a stream whose rest does not matter.
var errInputIgnored = errors.New("input ignored")

func (s *Server) handlePacket(content []byte) error {
	switch s.state {
	case stateRejected, stateClosing: // since the packet before
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
	case codePing: // the front end expects no answer
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
	s.request = append(s.request[:0], encoded...) // the packet is gone once the body is there
	if length > MaxBodySize {
		return s.rejectTooLarge()
	}
	if length == unknownLength {
		s.handle(Message{Kind: NeedBodyChunk}) // otherwise the first part comes unasked
	}
	return nil
}

func (s *Server) rejectTooLarge() error {
	s.Reject()
	s.handle(Message{Kind: TooLarge})
	return errInputIgnored
}

// onBodyChunk takes a part of the body: a length and as many bytes, or nothing at
// the end of a body of unknown length.
func (s *Server) onBodyChunk(content []byte) error {
	chunk, err := decodeBodyChunk(content)
	if err != nil {
		return err
	}
	knownLength := s.remaining != unknownLength
	switch {
	case knownLength && len(chunk) == 0, knownLength && len(chunk) > s.remaining:
		return ErrBody
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
		return nil, ErrBody
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

// decode reads the values of a request from its packet, without the code.
func (m *Message) decode(encoded []byte) error {
	d := decoder{data: encoded}
	method := d.byte()
	d.string() // the protocol
	m.Path = d.string()
	d.string() // the client's address
	d.string() // the client's host
	d.string() // the server's name
	d.uint16() // the server's port
	d.byte()   // whether the front end was reached by TLS
	m.Headers = d.headers(requestHeaderNames)
	stored := m.decodeAttributes(&d)
	if !d.empty() {
		return ErrHeaders
	}
	switch {
	case method == storedMethod:
		m.Method = string(stored)
	case int(method) < len(methods):
		m.Method = methods[method]
	}
	return nil
}

// decodeAttributes reads the attributes up to their end, and returns the stored
// method.
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

// AppendHeaders begins a response.
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
	const overhead = packetHeaderSize + 4 // the code, the length and a zero at the end
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

// AppendEnd ends a response, and says whether the connection may be used again.
func AppendEnd(b []byte, reuse bool) []byte {
	return appendPacket(b, magicToClient, func(b []byte) []byte {
		if reuse {
			return append(b, codeEndResponse, 1)
		}
		return append(b, codeEndResponse, 0)
	})
}

// AppendGetBodyChunk asks for the next part of a request body, in a packet of at
// most maxPacketSize bytes.
func AppendGetBodyChunk(b []byte, maxPacketSize int) []byte {
	return appendPacket(b, magicToClient, func(b []byte) []byte {
		b = append(b, codeGetBodyChunk)
		return appendUint16(b, min(MaxBodyChunk(maxPacketSize), MaxBodySize+1)) // more than the limit shows what exceeds it
	})
}

// AppendCPong answers a CPing.
func AppendCPong(b []byte) []byte {
	return appendPacket(b, magicToClient, func(b []byte) []byte { return append(b, codeCPong) })
}
