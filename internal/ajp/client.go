package ajp

import "strconv"

// ReplyKind is what a Reply is.
type ReplyKind uint8

// The messages of a server.
const (
	Response     ReplyKind = iota + 1 // a complete response
	GetBodyChunk                      // the server asks for the next part of the body: AppendBodyChunk is due
	CPong                             // the answer to AppendCPing
)

// Reply is something that a server has sent. Its bytes are valid during the call
// only.
type Reply struct {
	Kind      ReplyKind
	Status    int     // Response
	Headers   Headers // Response
	Body      []byte  // Response
	Reuse     bool    // Response: the connection may be used again
	MaxLength int     // GetBodyChunk: bytes that the server takes
}

// Client follows a connection to a server. It is not safe for concurrent use.
type Client struct {
	// AwaitingResponse is set by the user once a request is sent, and reset with
	// its response.
	AwaitingResponse bool

	packets packetReader
	status  int
	headers []byte // the packet of the headers, empty before it
	body    []byte
}

// NewClient returns a client that reads packets of at most maxPacketSize bytes.
func NewClient(maxPacketSize int) *Client {
	return &Client{packets: packetReader{magic: magicToClient, maxSize: maxPacketSize}}
}

// Buffered returns the bytes kept of a response that is not complete.
func (c *Client) Buffered() int { return c.packets.buffered() + len(c.headers) + len(c.body) }

// Feed takes the next bytes and passes each message to handle. After an error the
// stream can't be followed.
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
		if c.AwaitingResponse || !d.empty() {
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
		if !d.empty() {
			return ErrBody
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
	d.string() // the reason
	d.headers(responseHeaderNames)
	if !d.empty() {
		return ErrHeaders
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
		return ErrBody
	}
	chunk, rest := d.data[:n], d.data[n:]
	terminated := len(rest) == 1 && rest[0] == 0
	if len(rest) > 0 && !terminated { // the zero at the end is optional
		return ErrBody
	}
	if !c.hasHeaders() {
		return ErrOutOfOrder
	}
	if len(c.body)+n > MaxResultSize {
		return ErrBody
	}
	c.body = append(c.body, chunk...)
	return nil
}

func (c *Client) onEnd(d *decoder, handle func(Reply)) error {
	reuse := d.byte()
	if !d.empty() || !c.hasHeaders() {
		return ErrOutOfOrder
	}
	headers := decoder{data: c.headers[1:]}
	headers.uint16() // the status
	headers.string() // the reason
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

// ForwardRequest is a POST request as a client sends it.
type ForwardRequest struct {
	Path    string
	Query   string // empty for none
	Route   string // empty for none
	Secret  string // empty for none
	Headers []Header
	Body    []byte
	// UnknownLength leaves the length of the body out: the server asks for its
	// parts until it ends.
	UnknownLength bool
}

// AppendForward appends a request: its packet, and the first part of its body where
// the server does not ask for that. Packets have at most maxPacketSize bytes.
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
	b = appendString(b, "127.0.0.1") // the client's address
	b = appendString(b, "localhost") // the client's host
	b = appendString(b, "localhost") // the server's name
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

// AppendBodyChunk appends the next part of a request body, in a packet of at most
// maxPacketSize bytes, and returns the rest of the body. For an empty body it
// appends the packet that ends one.
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

// AppendCPing checks the connection.
func AppendCPing(b []byte) []byte {
	return appendPacket(b, magicToServer, func(b []byte) []byte { return append(b, codeCPing) })
}

// BodyChunkOverhead is the size of a packet with a part of a request body, without
// that part, in bytes.
const BodyChunkOverhead = packetHeaderSize + 2

// MaxBodyChunk returns how many bytes of a request body fit into a packet of
// maxPacketSize bytes.
func MaxBodyChunk(maxPacketSize int) int { return maxPacketSize - BodyChunkOverhead }
