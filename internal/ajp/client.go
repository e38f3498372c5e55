package ajp

import (
	"errors"
	"strconv"
)

// ErrOutOfOrder is an answer whose parts come in an order that can't be.
var ErrOutOfOrder = errors.New("an answer whose parts do not follow each other")

// ReplyKind tells what an Answer is.
type ReplyKind uint8

// The messages of a server.
const (
	Response     ReplyKind = iota + 1 // a whole answer
	GetBodyChunk                      // it wants the next part of the body
	CPong                             // it is here
)

// Reply is one thing that a server said. Its bytes are valid during the call only.
type Reply struct {
	Kind      ReplyKind
	Status    int
	Body      []byte
	Reuse     bool
	MaxLength int     // Wants: bytes it takes
	Headers   Headers // Whole
}

// Client follows a connection to a server.
type Client struct {
	p                packets
	head             []byte // the headers' packet, empty before it
	status           int
	body             []byte
	AwaitingResponse bool // a req was sent and is not answered
}

// NewClient follows packets of at most so many bytes.
func NewClient(most int) *Client {
	return &Client{p: packets{magic: [2]byte{toClient0, toClient1}, most: most}}
}

// Buffered is the number of bytes of an answer that is not whole.
func (c *Client) Buffered() int { return c.p.held() + len(c.body) + len(c.head) }

// Feed takes the next bytes and hands each message to f.
func (c *Client) Feed(b []byte, f func(Reply)) error {
	return c.p.feed(b, func(content []byte) error { return c.packet(content, f) })
}

func (c *Client) packet(p []byte, f func(Reply)) error {
	if len(p) == 0 {
		return ErrUnexpectedPacket
	}
	r := reader{b: p[1:]}
	if p[0] != codeCPong && !c.AwaitingResponse {
		return ErrPipelined
	}
	switch p[0] {
	case codeCPong:
		if len(r.b) > 0 || c.AwaitingResponse {
			return ErrOutOfOrder
		}
		f(Reply{Kind: CPong})
	case codeHeaders:
		status := r.uint16()
		r.text()
		r.headers(answerHeaders)
		if r.bad || len(r.b) > 0 {
			return ErrHeaders
		}
		if len(c.head) > 0 {
			return ErrOutOfOrder
		}
		c.status, c.head = status, append(c.head[:0], p...)
	case codeChunk:
		n := r.uint16()
		if r.bad || len(r.b) < n || len(r.b) > n+1 || len(r.b) == n+1 && r.b[n] != 0 {
			return ErrBody
		}
		if len(c.head) == 0 {
			return ErrOutOfOrder
		}
		if len(c.body)+n > MaxResultSize {
			return ErrBody
		}
		c.body = append(c.body, r.b[:n]...)
	case codeGetChunk:
		room := r.uint16()
		if r.bad || len(r.b) > 0 {
			return ErrBody
		}
		f(Reply{Kind: GetBodyChunk, MaxLength: room})
	case codeEnd:
		reuse := r.byte()
		if r.bad || len(r.b) > 0 || len(c.head) == 0 {
			return ErrOutOfOrder
		}
		h := reader{b: c.head[1:]}
		h.uint16()
		h.text()
		a := Reply{Kind: Response, Status: c.status, Body: c.body, Reuse: reuse == 1, Headers: h.headers(answerHeaders)}
		c.AwaitingResponse = false
		f(a)
		c.head, c.body = c.head[:0], c.body[:0]
	default:
		return ErrUnexpectedPacket
	}
	return nil
}

// ForwardRequest is a req as a client sends it.
type ForwardRequest struct {
	Path          string
	Query         string
	Route         string
	Secret        string
	Headers       []Header
	Body          []byte
	UnknownLength bool // its length is not told, and its body comes when it is asked for
}

// AppendForward adds a req: its first packet, and the first part of its body where that comes unasked.
func AppendForward(b []byte, f *ForwardRequest, most int) []byte {
	const post = 4
	b = packet(b, toServer0, toServer1, func(b []byte) []byte {
		b = appendText(append(b, codeForward, post), "HTTP/1.1")
		b = appendText(b, f.Path)
		b = appendText(appendText(appendText(b, "127.0.0.1"), "localhost"), "localhost")
		b = append(appendUint16(b, 80), 0)
		n := len(f.Headers)
		if f.UnknownLength || len(f.Body) > 0 {
			n++
		}
		b = appendUint16(b, n)
		for _, x := range f.Headers {
			b = appendText(appendText(b, x.Name), x.Value)
		}
		if f.UnknownLength {
			b = appendText(appendText(b, "transfer-encoding"), "chunked")
		} else if len(f.Body) > 0 {
			b = appendText(append(b, coded, 8), strconv.Itoa(len(f.Body)))
		}
		for _, x := range []struct {
			code byte
			text string
		}{{attrQuery, f.Query}, {attrRoute, f.Route}, {attrSecret, f.Secret}} {
			if x.text != "" {
				b = appendText(append(b, x.code), x.text)
			}
		}
		return append(b, attrDone)
	})
	if len(f.Body) > 0 && !f.UnknownLength {
		b, _ = AppendBodyChunk(b, f.Body, most)
	}
	return b
}

// AppendBodyChunk adds the next part of a body and gives the rest; of an empty one the packet that ends it.
func AppendBodyChunk(b, body []byte, most int) (out, rest []byte) {
	k := min(len(body), MaxBodyChunk(most))
	return packet(b, toServer0, toServer1, func(b []byte) []byte {
		if k == 0 {
			return b
		}
		return append(appendUint16(b, k), body[:k]...)
	}), body[k:]
}

// AppendCPing asks whether anybody is there.
func AppendCPing(b []byte) []byte {
	return packet(b, toServer0, toServer1, func(b []byte) []byte { return append(b, codeCPing) })
}

// BodyChunkOverhead is what stands around a part of a body, in bytes; PartMost how much of one a packet of that size takes.
const BodyChunkOverhead = headLen + 2

// MaxBodyChunk is how many bytes of a body a packet of at most so many bytes takes.
func MaxBodyChunk(most int) int { return most - BodyChunkOverhead }
