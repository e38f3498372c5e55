package ajp

import "strconv"

// ReplyKind is the kind of a Reply.
type ReplyKind uint8

// The kinds of replies of a server.
const (
	Response     ReplyKind = iota + 1 // a complete response
	GetBodyChunk                      // the server requests the next part of the body; send it with AppendBodyChunk
	CPong                             // the reply to AppendCPing
)

// Reply is a message from a server. Its bytes are valid only during the call of
// the handler.
type Reply struct {
	Kind      ReplyKind
	Status    int     // Response: the HTTP status code
	Headers   Headers // Response
	Body      []byte  // Response
	Reuse     bool    // Response: the connection may be used for another request
	MaxLength int     // GetBodyChunk: the number of bytes that the server accepts
}

// Client decodes the input of a connection to a server. It is not safe for
// concurrent use.
type Client struct {
	// AwaitingResponse must be set to true when a request is sent. Feed resets it
	// when the response is complete.
	AwaitingResponse bool

	packets packetReader
	status  int
	headers []byte // content of the headers packet, empty until it is received
	body    []byte
}

// NewClient returns a client that accepts packets of at most maxPacketSize bytes.
func NewClient(maxPacketSize int) *Client {
	return &Client{packets: packetReader{magic: magicToClient, maxSize: maxPacketSize}}
}

// Buffered returns the number of bytes kept of a response that is not complete.
func (c *Client) Buffered() int { return c.packets.buffered() + len(c.headers) + len(c.body) }

// Feed decodes the next bytes of the stream and passes each message to handle. It
// must not be called again after an error.
func (c *Client) Feed(b []byte, handle func(Reply)) error {
	return c.packets.feed(b, func(content []byte) error { return c.handlePacket(content, handle) })
}

func (c *Client) handlePacket(content []byte, handle func(Reply)) error {
	if len(content) == 0 {
		return ErrUnexpectedPacket
	}
	code := content[0]
	if code != codeCPong && !c.AwaitingResponse {
		return ErrPipelined
	}
	d := decoder{data: content[1:]}
	switch code {
	case codeCPong:
		if c.AwaitingResponse || !d.complete() {
			return ErrOutOfOrder
		}
		handle(Reply{Kind: CPong})
		return nil
	case codeSendHeaders:
		return c.onHeaders(content)
	case codeSendBodyChunk:
		return c.onBodyChunk(&d)
	case codeGetBodyChunk:
		maxLength := d.uint16()
		if !d.complete() {
			return ErrInvalidBody
		}
		handle(Reply{Kind: GetBodyChunk, MaxLength: maxLength})
		return nil
	case codeEndResponse:
		return c.onEnd(&d, handle)
	}
	return ErrUnexpectedPacket
}

func (c *Client) onHeaders(content []byte) error {
	d := decoder{data: content[1:]}
	status := d.uint16()
	d.string() // reason phrase
	d.headers(responseHeaderNames)
	if !d.complete() {
		return ErrInvalidHeaders
	}
	if c.hasHeaders() {
		return ErrOutOfOrder
	}
	c.status = status
	c.headers = append(c.headers[:0], content...)
	return nil
}

// hasHeaders reports whether the headers of the response were received.
func (c *Client) hasHeaders() bool { return len(c.headers) > 0 }

func (c *Client) onBodyChunk(d *decoder) error {
	n := d.uint16()
	if d.failed || len(d.data) < n {
		return ErrInvalidBody
	}
	chunk, rest := d.data[:n], d.data[n:]
	terminated := len(rest) == 1 && rest[0] == 0
	if len(rest) > 0 && !terminated { // the terminating zero is optional
		return ErrInvalidBody
	}
	if !c.hasHeaders() {
		return ErrOutOfOrder
	}
	if len(c.body)+n > MaxResultSize {
		return ErrInvalidBody
	}
	c.body = append(c.body, chunk...)
	return nil
}

func (c *Client) onEnd(d *decoder, handle func(Reply)) error {
	reuse := d.byte()
	if !d.complete() || !c.hasHeaders() {
		return ErrOutOfOrder
	}
	headers := decoder{data: c.headers[1:]}
	headers.uint16() // status
	headers.string() // reason phrase
	reply := Reply{
		Kind:    Response,
		Status:  c.status,
		Headers: headers.headers(responseHeaderNames),
		Body:    c.body,
		Reuse:   reuse == 1,
	}
	c.AwaitingResponse = false
	handle(reply)
	c.headers = c.headers[:0]
	c.body = c.body[:0]
	return nil
}

// ForwardRequest is a POST request that a client sends.
type ForwardRequest struct {
	Path    string
	Query   string // empty for none
	Route   string // empty for none
	Secret  string // empty for none
	Headers []Header
	Body    []byte
	// UnknownLength omits the length of the body, so that the server requests each
	// part of the body until it receives an empty one.
	UnknownLength bool
}

// AppendForward appends the packet of a request and, if the length of the body is
// sent, the packet of the first part of the body. Body packets have at most
// maxPacketSize bytes.
func AppendForward(b []byte, r *ForwardRequest, maxPacketSize int) []byte {
	b = appendPacket(b, magicToServer, r.appendTo)
	if len(r.Body) > 0 && !r.UnknownLength {
		b, _ = AppendBodyChunk(b, r.Body, maxPacketSize)
	}
	return b
}

func (r *ForwardRequest) appendTo(b []byte) []byte {
	const (
		port  = 80
		noTLS = 0
	)
	b = append(b, codeForwardRequest, methodPost)
	b = appendString(b, "HTTP/1.1")
	b = appendString(b, r.Path)
	b = appendString(b, "127.0.0.1") // client address
	b = appendString(b, "localhost") // client host
	b = appendString(b, "localhost") // server name
	b = appendUint16(b, port)
	b = append(b, noTLS)
	count := len(r.Headers)
	if r.UnknownLength || len(r.Body) > 0 {
		count++
	}
	b = appendUint16(b, count)
	b = appendHeaders(b, r.Headers)
	if r.UnknownLength {
		b = appendString(b, "transfer-encoding")
		b = appendString(b, "chunked")
	} else if len(r.Body) > 0 {
		b = append(b, codedName, codeContentLength)
		b = appendString(b, strconv.Itoa(len(r.Body)))
	}
	b = appendAttribute(b, attributeQuery, r.Query)
	b = appendAttribute(b, attributeRoute, r.Route)
	b = appendAttribute(b, attributeSecret, r.Secret)
	return append(b, attributesDone)
}

// appendAttribute appends an attribute unless it is empty.
func appendAttribute(b []byte, code byte, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, code)
	return appendString(b, value)
}

// AppendBodyChunk appends a packet of at most maxPacketSize bytes with the next
// part of a request body, and returns the rest of the body. For an empty body it
// appends the empty packet that ends a body.
func AppendBodyChunk(b, body []byte, maxPacketSize int) (out, rest []byte) {
	n := min(len(body), MaxBodyChunk(maxPacketSize))
	out = appendPacket(b, magicToServer, func(b []byte) []byte {
		if n == 0 {
			return b
		}
		b = appendUint16(b, n)
		return append(b, body[:n]...)
	})
	return out, body[n:]
}

// AppendCPing appends a CPing packet, which checks that the server responds.
func AppendCPing(b []byte) []byte {
	return appendPacket(b, magicToServer, func(b []byte) []byte { return append(b, codeCPing) })
}

// BodyChunkOverhead is the number of bytes that a body packet needs in addition to
// the part of the body.
const BodyChunkOverhead = packetHeaderSize + 2

// MaxBodyChunk returns the number of bytes of a request body that fit into a
// packet of maxPacketSize bytes.
func MaxBodyChunk(maxPacketSize int) int { return maxPacketSize - BodyChunkOverhead }
