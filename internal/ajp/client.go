package ajp

import (
	"errors"
	"strconv"
)

// ErrAnswer is an answer whose parts come in an order that can't be.
var ErrAnswer = errors.New("an answer whose parts do not follow each other")

// AnswerKind tells what an Answer is.
type AnswerKind uint8

// The messages of a server.
const (
	Whole AnswerKind = iota + 1 // a whole answer
	Wants                       // it wants the next part of the body
	CPong                       // it is here
)

// Answer is one thing that a server said. Its bytes are valid during the call only.
type Answer struct {
	Kind   AnswerKind
	Status int
	Body   []byte
	Reuse  bool
	Room   int     // Wants: bytes it takes
	Fields Headers // Whole
}

// Client follows a connection to a server.
type Client struct {
	p       packets
	head    []byte // the headers' packet, empty before it
	status  int
	body    []byte
	Waiting bool // a req was sent and is not answered
}

// NewClient follows packets of at most so many bytes.
func NewClient(most int) *Client {
	return &Client{p: packets{magic: [2]byte{toClient0, toClient1}, most: most}}
}

// Held is the number of bytes of an answer that is not whole.
func (c *Client) Held() int { return c.p.held() + len(c.body) + len(c.head) }

// Feed takes the next bytes and hands each message to f.
func (c *Client) Feed(b []byte, f func(Answer)) error {
	return c.p.feed(b, func(content []byte) error { return c.packet(content, f) })
}

func (c *Client) packet(p []byte, f func(Answer)) error {
	if len(p) == 0 {
		return ErrCode
	}
	r := reader{b: p[1:]}
	if p[0] != codeCPong && !c.Waiting {
		return ErrEarly
	}
	switch p[0] {
	case codeCPong:
		if len(r.b) > 0 || c.Waiting {
			return ErrAnswer
		}
		f(Answer{Kind: CPong})
	case codeHeaders:
		status := r.uint16()
		r.text()
		r.headers(answerHeaders)
		if r.bad || len(r.b) > 0 {
			return ErrHeaders
		}
		if len(c.head) > 0 {
			return ErrAnswer
		}
		c.status, c.head = status, append(c.head[:0], p...)
	case codeChunk:
		n := r.uint16()
		if r.bad || len(r.b) < n || len(r.b) > n+1 || len(r.b) == n+1 && r.b[n] != 0 {
			return ErrBody
		}
		if len(c.head) == 0 {
			return ErrAnswer
		}
		if len(c.body)+n > ResultMost {
			return ErrBody
		}
		c.body = append(c.body, r.b[:n]...)
	case codeGetChunk:
		room := r.uint16()
		if r.bad || len(r.b) > 0 {
			return ErrBody
		}
		f(Answer{Kind: Wants, Room: room})
	case codeEnd:
		reuse := r.byte()
		if r.bad || len(r.b) > 0 || len(c.head) == 0 {
			return ErrAnswer
		}
		h := reader{b: c.head[1:]}
		h.uint16()
		h.text()
		a := Answer{Kind: Whole, Status: c.status, Body: c.body, Reuse: reuse == 1, Fields: h.headers(answerHeaders)}
		c.Waiting = false
		f(a)
		c.head, c.body = c.head[:0], c.body[:0]
	default:
		return ErrCode
	}
	return nil
}

// Forward is a req as a client sends it.
type Forward struct {
	Path    string
	Query   string
	Route   string
	Secret  string
	Fields  []Field
	Body    []byte
	Unknown bool // its length is not told, and its body comes when it is asked for
}

// AppendForward adds a req: its first packet, and the first part of its body where that comes unasked.
func AppendForward(b []byte, f *Forward, most int) []byte {
	const post = 4
	b = packet(b, toServer0, toServer1, func(b []byte) []byte {
		b = appendText(append(b, codeForward, post), "HTTP/1.1")
		b = appendText(b, f.Path)
		b = appendText(appendText(appendText(b, "127.0.0.1"), "localhost"), "localhost")
		b = append(appendUint16(b, 80), 0)
		n := len(f.Fields)
		if f.Unknown || len(f.Body) > 0 {
			n++
		}
		b = appendUint16(b, n)
		for _, x := range f.Fields {
			b = appendText(appendText(b, x.Name), x.Value)
		}
		if f.Unknown {
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
	if len(f.Body) > 0 && !f.Unknown {
		b, _ = AppendPart(b, f.Body, most)
	}
	return b
}

// AppendPart adds the next part of a body and gives the rest; of an empty one the packet that ends it.
func AppendPart(b, body []byte, most int) (out, rest []byte) {
	k := min(len(body), PartMost(most))
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

// PartAround is what stands around a part of a body, in bytes; PartMost how much of one a packet of that size takes.
const PartAround = headLen + 2

// PartMost is how many bytes of a body a packet of at most so many bytes takes.
func PartMost(most int) int { return most - PartAround }
