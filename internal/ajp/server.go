package ajp

import (
	"bytes"
	"errors"
	"math"
	"strconv"
)

// Kind tells what a Message is.
type Kind uint8

// The messages of a front end.
const (
	Request       Kind = iota + 1 // a whole req
	TooLarge                      // a req past a limit; it is owed an answer and nothing more is read of it
	NeedBodyChunk                 // the next part of the body must be asked for
	CPing                         // it asks whether anybody is here
	Shutdown                      // it wishes an end, which it can't have
)

// Message is one thing that was read. Its bytes are valid during the call only, but for the body's.
type Message struct {
	Kind    Kind
	Method  string // empty where it is none that is known
	Path    []byte
	Query   []byte
	Route   []byte // the worker's, for sticky ones
	Secret  []byte
	Headers Headers
	Body    []byte // the receiver's
}

// Headers are those of a req or an answer.
type Headers struct {
	b     []byte
	n     int
	known [][]byte
}

// Each calls f for each header; coded names are in small letters, others as they came.
func (h Headers) Each(f func(name, value []byte)) {
	r := reader{b: h.b}
	for range h.n {
		name := r.name(h.known)
		f(name, r.text())
	}
}

// headers reads past headers, and tells by bad whether they are whole.
func (r *reader) headers(known [][]byte) Headers {
	h := Headers{n: r.uint16(), known: known}
	start := r.b
	if h.n > headersMost {
		r.bad = true
	}
	for i := 0; i < h.n && !r.bad; i++ {
		r.name(known)
		if r.text() == nil {
			r.bad = true
		}
	}
	h.b = start[:len(start)-len(r.b)]
	return h
}

// place of a server's parser.
type place uint8

const (
	idle      place = iota
	body            // parts of a body come
	answering       // a req is whole, and waits for its answer
	spoilt          // a req past a limit waits for its answer: what comes is not read
	over            // it has it: the connection is to end
)

// Server follows a connection of a front end.
type Server struct {
	p     packets
	at    place
	left  int // bytes of the body still to come, -1 unknown
	first bool
	body  []byte
	kept  []byte // the packet of the req, while its body comes

	out  func(Message) // of the present Feed
	take func(content []byte) error
}

// NewServer follows packets of at most so many bytes.
func NewServer(most int) *Server {
	s := &Server{p: packets{magic: [2]byte{toServer0, toServer1}, most: most}}
	s.take = s.packet
	return s
}

// Buffered is the number of bytes of a req that is not whole.
func (s *Server) Buffered() int { return s.p.held() + len(s.body) + len(s.kept) }

// Receiving tells whether a req is being read, Open whether one is read or not yet answered.
func (s *Server) Receiving() bool { return s.at == body || s.p.have > 0 && s.at == idle }

// InProgress tells whether a req is being read, or read and not yet answered.
func (s *Server) InProgress() bool { return s.at != idle && s.at != over }

// Reject has nothing more read of the req that is being read.
func (s *Server) Reject() { s.at, s.body, s.kept, s.p.part = spoilt, nil, nil, nil }

// Done ends a req: its answer is written.
func (s *Server) Done() {
	switch s.at {
	case answering:
		s.at = idle
	case spoilt:
		s.at = over
	}
}

// Feed takes the next bytes and hands each message to f.
func (s *Server) Feed(b []byte, f func(Message)) error {
	if s.at >= spoilt {
		return nil // the connection ends with the answer
	}
	s.out = f
	if err := s.p.feed(b, s.take); err != errRest {
		return err
	}
	return nil
}

func (s *Server) packet(c []byte) error {
	f := s.out
	switch s.at {
	case spoilt, over: // refused from outside while this was being read
		return errRest
	case answering:
		return ErrPipelined
	case body:
		return s.part(c, f)
	}
	if len(c) == 0 {
		return ErrUnexpectedPacket
	}
	switch c[0] {
	case codeForward:
		return s.forward(c[1:], f)
	case codeCPing:
		f(Message{Kind: CPing})
	case codePing: // of a front end that wants no answer
	case codeShutdown:
		f(Message{Kind: Shutdown})
	default:
		return ErrUnexpectedPacket
	}
	return nil
}

// read takes a req's values from the content of its packet after the code.
func (m *Message) read(c []byte) error {
	r := reader{b: c}
	method := r.byte()
	r.text() // protocol
	m.Path = r.text()
	r.text() // address
	r.text() // host
	r.text() // server
	r.uint16()
	r.byte()
	m.Headers = r.headers(reqHeaders)
	var stored []byte
	for !r.bad {
		switch a := r.byte(); a {
		case attrDone:
			if len(r.b) > 0 {
				return ErrHeaders
			}
			switch {
			case method == storedMethod:
				m.Method = string(stored)
			case int(method) < len(methods):
				m.Method = methods[method]
			}
			return nil
		case attrQuery:
			m.Query = r.text()
		case attrRoute:
			m.Route = r.text()
		case attrSecret:
			m.Secret = r.text()
		case attrMethod:
			stored = r.text()
		case attrAttribute:
			r.text()
			r.text()
		case attrKeySize:
			r.uint16()
		default:
			if a == 0 || a > attrLast {
				r.bad = true
			} else {
				r.text()
			}
		}
	}
	return ErrHeaders
}

func (s *Server) forward(c []byte, f func(Message)) error {
	m := Message{Kind: Request}
	if err := m.read(c); err != nil {
		return err
	}
	length, err := bodyLength(m.Headers)
	if err != nil {
		return err
	}
	if length == 0 {
		s.at = answering
		f(m)
		return nil
	}
	s.kept = append(s.kept[:0], c...) // what follows comes in packets of its own
	s.left, s.first, s.at = length, length > 0, body
	if length > MaxBodySize {
		return s.refuse(f)
	}
	if length < 0 {
		f(Message{Kind: NeedBodyChunk}) // of an unknown length nothing comes unasked
	}
	return nil
}

// bodyLength is what headers announce, -1 for a body of an unknown length.
func bodyLength(h Headers) (int, error) {
	length, chunked, twice := -1, false, false
	h.Each(func(name, value []byte) {
		switch {
		case bytes.EqualFold(name, contentLength):
			n, err := strconv.ParseUint(string(value), 10, 62)
			twice = twice || length >= 0 || err != nil
			length = int(min(n, math.MaxInt32))
		case bytes.EqualFold(name, transferEncoding):
			chunked = true
		}
	})
	if twice || chunked && length >= 0 {
		return 0, ErrBody
	}
	if chunked {
		return -1, nil
	}
	return max(0, length), nil
}

var contentLength, transferEncoding = []byte("content-length"), []byte("transfer-encoding")

// errRest ends the reading of a stream whose rest does not matter.
var errRest = errors.New("the rest does not matter")

func (s *Server) refuse(f func(Message)) error {
	s.Reject()
	f(Message{Kind: TooLarge})
	return errRest
}

// part takes a part of the body.
func (s *Server) part(c []byte, f func(Message)) error {
	first := s.first
	s.first = false
	n := 0
	if len(c) > 0 {
		r := reader{b: c}
		if n = r.uint16(); r.bad || n != len(r.b) {
			return ErrBody
		}
		c = r.b
	}
	switch {
	case n == 0 && s.left > 0, n > s.left && s.left >= 0, n == 0 && first:
		return ErrBody
	case len(s.body)+n > MaxBodySize:
		return s.refuse(f)
	}
	s.body = append(s.body, c...)
	if s.left > 0 {
		s.left -= n
	}
	if s.left > 0 || s.left < 0 && n > 0 {
		f(Message{Kind: NeedBodyChunk})
		return nil
	}
	m := Message{Kind: Request} // the packet itself is gone: its values are read again where it was kept
	if err := m.read(s.kept); err != nil {
		return err
	}
	m.Body = s.body
	s.body, s.at = nil, answering
	f(m)
	s.kept = s.kept[:0]
	return nil
}

// Header is a header of an answer.
type Header struct{ Name, Value string }

// AppendHeaders begins an answer.
func AppendHeaders(b []byte, status int, reason string, fields []Header) []byte {
	return packet(b, toClient0, toClient1, func(b []byte) []byte {
		b = appendText(appendUint16(append(b, codeHeaders), status), reason)
		b = appendUint16(b, len(fields))
		for _, f := range fields {
			b = appendText(appendText(b, f.Name), f.Value)
		}
		return b
	})
}

// AppendResponseBody adds the body of an answer, in packets of at most so many bytes.
func AppendResponseBody(b []byte, most int, content []byte) []byte {
	const around = headLen + 4 // the head, the code, the length, a zero
	for len(content) > 0 {
		k := min(len(content), most-around)
		b = packet(b, toClient0, toClient1, func(b []byte) []byte {
			return append(append(appendUint16(append(b, codeChunk), k), content[:k]...), 0)
		})
		content = content[k:]
	}
	return b
}

// AppendEnd ends an answer; the connection is used again or not.
func AppendEnd(b []byte, reuse bool) []byte {
	return packet(b, toClient0, toClient1, func(b []byte) []byte {
		if reuse {
			return append(b, codeEnd, 1)
		}
		return append(b, codeEnd, 0)
	})
}

// AppendGetBodyChunk asks for the next part of a body.
func AppendGetBodyChunk(b []byte, most int) []byte {
	return packet(b, toClient0, toClient1, func(b []byte) []byte {
		return appendUint16(append(b, codeGetChunk), min(MaxBodyChunk(most), MaxBodySize+1))
	})
}

// AppendCPong answers a CPing.
func AppendCPong(b []byte) []byte {
	return packet(b, toClient0, toClient1, func(b []byte) []byte { return append(b, codeCPong) })
}
