// Package fastcgi reads and writes the records of FastCGI 1.0 as an application in the Responder role: bytes
// in, messages out.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"time"
)

// Record types and statuses of the protocol.
const (
	version         = 1
	beginRequest    = 1
	abortRequest    = 2
	endRequest      = 3
	params          = 4
	stdin           = 5
	stdout          = 6
	data            = 8
	getValues       = 9
	getValuesResult = 10
	unknownType     = 11
	responder       = 1
	keepConn        = 1
	headerLen       = 8

	StatusComplete    = 0 // the req has an answer
	StatusOverloaded  = 2 // refused: never ran
	StatusUnknownRole = 3
)

const (
	contentMost     = 65535    // bytes in a record
	paramsMost      = 4 << 10  // bytes of parameters: those known have some hundred
	valuesMost      = 1 << 10  // bytes of a question for values: the three known have 50
	skipMost        = 64 << 10 // bytes of refused or unknown reqs that are read past: all that is open on a connection
	MaxBodySize     = 2 << 10  // bytes of a body, by the protocol of the deployment
	MaxOpenRequests = 32       // reqs open on a connection, by the same
)

// Errors of a stream that can't be followed any further.
var (
	ErrVersion        = errors.New("a record of another version")
	ErrRequestID      = errors.New("a request id out of range or in use")
	ErrBeginLength    = errors.New("a begin record of the wrong length")
	ErrTooMuchSkipped = errors.New("it goes on sending what is refused")
)

// Kind tells what a Message is.
type Kind uint8

// The messages.
const (
	Request  Kind = iota + 1 // a whole req
	Invalid                  // a req that breaks a limit, at once, or a whole one that lacks its parameters
	Abort                    // the edge node no longer waits; the slot is still open
	Rejected                 // a req refused by the protocol: End with Status is due
	Reply                    // bytes to send back as they are
)

// Message is one thing that was read.
type Message struct {
	Kind      Kind
	RequestID uint16
	KeepConn  bool   // Request, Bad, Refuse: the connection is to stay open
	Status    byte   // Refuse
	Params    []byte // Request: name-value pairs, for Each
	Body      []byte // Request; Reply: what to send
}

type stream struct {
	keep, named, whole bool
	since              time.Duration
	params, body       []byte
}

// Parser follows one connection.
type Parser struct {
	Now time.Duration // when what is fed came: reqs are dated by it

	head    [headerLen]byte
	have    int
	kind    byte
	slot    uint16
	content int
	padding int
	small   []byte // of a begin record or a question for values
	open    map[uint16]*stream
	held    int
	skipped int // bytes since the last whole req that belonged to none
}

// OpenRequests is the number of reqs that are read or not yet answered.
func (p *Parser) OpenRequests() int { return len(p.open) }

// Buffered is the number of bytes of reqs that are not yet whole.
func (p *Parser) Buffered() int { return p.held }

// MidRequest tells whether part of a record was read that may begin a req or belongs to one that is not whole.
func (p *Parser) MidRequest() bool {
	s := p.open[p.slot]
	return p.have > 0 && (p.have < headerLen || p.kind == beginRequest || s != nil && !s.whole)
}

// Done frees a slot: its answer is written.
func (p *Parser) Done(slot uint16) {
	if s := p.open[slot]; s != nil {
		p.held -= len(s.params) + len(s.body)
		delete(p.open, slot)
	}
}

// DropIncomplete forgets the reqs that are not whole.
func (p *Parser) DropIncomplete() {
	for slot, s := range p.open { // only removal: the order does not matter
		if !s.whole {
			p.Done(slot)
		}
	}
}

// close takes no more of a req.
func (p *Parser) close(s *stream) {
	p.held -= len(s.params) + len(s.body)
	s.whole, s.params, s.body = true, nil, nil
}

// OldestIncomplete gives the oldest req that was begun by then and is not whole; no slot is 0.
func (p *Parser) OldestIncomplete(by time.Duration) (slot uint16, keep bool) {
	first := by
	for k, s := range p.open { // a minimum: among equals any will do
		if !s.whole && s.since <= first {
			slot, keep, first = k, s.keep, s.since
		}
	}
	return slot, keep
}

// Feed takes the next bytes and hands each message to f.
func (p *Parser) Feed(b []byte, f func(Message)) error {
	for len(b) > 0 {
		switch {
		case p.have < headerLen:
			k := copy(p.head[p.have:], b)
			p.have += k
			b = b[k:]
			if p.have < headerLen {
				return nil
			}
			if err := p.begin(f); err != nil {
				return err
			}
		case p.content > 0:
			k := min(p.content, len(b))
			if err := p.take(b[:k], f); err != nil {
				return err
			}
			p.content -= k
			b = b[k:]
			if p.content == 0 {
				if err := p.end(f); err != nil {
					return err
				}
			}
		default:
			k := min(p.padding, len(b))
			p.padding -= k
			b = b[k:]
		}
		if p.have == headerLen && p.content == 0 && p.padding == 0 {
			p.have = 0
		}
	}
	return nil
}

// begin follows a whole header.
func (p *Parser) begin(f func(Message)) error {
	if p.head[0] != version {
		return ErrVersion
	}
	p.kind, p.slot = p.head[1], binary.BigEndian.Uint16(p.head[2:])
	p.content, p.padding = int(binary.BigEndian.Uint16(p.head[4:])), int(p.head[6])
	p.small = p.small[:0]
	switch p.kind {
	case beginRequest:
		if p.slot == 0 || p.open[p.slot] != nil {
			return ErrRequestID
		}
		if p.content != headerLen {
			return ErrBeginLength
		}
	case abortRequest, params, stdin, data:
		if p.slot == 0 {
			return ErrRequestID
		}
	}
	if p.content == 0 {
		return p.end(f)
	}
	return nil
}

// take adds content to what it belongs to. What breaks a limit is refused at once.
func (p *Parser) take(b []byte, f func(Message)) error {
	s := p.open[p.slot]
	switch {
	case p.kind == beginRequest, p.kind == getValues:
		if len(p.small)+len(b) <= valuesMost {
			p.small = append(p.small, b...)
		}
	case s != nil && !s.whole && p.kind == params && !s.named && len(s.params)+len(b) <= paramsMost:
		s.params = append(s.params, b...)
		p.held += len(b)
	case s != nil && !s.whole && p.kind == stdin && len(s.body)+len(b) <= MaxBodySize:
		s.body = append(s.body, b...)
		p.held += len(b)
	default:
		if s != nil && !s.whole && (p.kind == params || p.kind == stdin) {
			p.close(s)
			f(Message{Kind: Invalid, RequestID: p.slot, KeepConn: s.keep})
		}
		if p.skipped += len(b); p.skipped > skipMost {
			return ErrTooMuchSkipped
		}
	}
	return nil
}

// end follows the content of a record.
func (p *Parser) end(f func(Message)) error {
	length := binary.BigEndian.Uint16(p.head[4:])
	s := p.open[p.slot]
	switch p.kind {
	case beginRequest:
		keep := p.small[2]&keepConn != 0
		if binary.BigEndian.Uint16(p.small) != responder {
			f(Message{Kind: Rejected, RequestID: p.slot, KeepConn: keep, Status: StatusUnknownRole})
		} else if len(p.open) >= MaxOpenRequests {
			f(Message{Kind: Rejected, RequestID: p.slot, KeepConn: keep, Status: StatusOverloaded})
		} else {
			if p.open == nil {
				p.open = map[uint16]*stream{}
			}
			p.open[p.slot] = &stream{keep: keep, since: p.Now}
		}
	case params:
		if length == 0 && s != nil {
			s.named = true
		}
	case stdin:
		if length > 0 || s == nil || s.whole {
			break
		}
		m := Message{Kind: Request, RequestID: p.slot, KeepConn: s.keep, Params: s.params, Body: s.body}
		if !s.named {
			m = Message{Kind: Invalid, RequestID: p.slot, KeepConn: s.keep}
		}
		p.skipped = 0
		p.close(s)
		f(m)
	case abortRequest:
		if s != nil {
			f(Message{Kind: Abort, RequestID: p.slot, KeepConn: s.keep})
		}
	case data: // of another role; a Responder has no use for it
	case getValues:
		f(Message{Kind: Reply, Body: values(p.small)})
	default:
		content := []byte{p.kind, 0, 0, 0, 0, 0, 0, 0}
		f(Message{Kind: Reply, Body: append(appendHeader(nil, unknownType, 0, len(content)), content...)})
	}
	return nil
}

// EachParam calls f for each name-value pair; it tells whether all were whole.
func EachParam(b []byte, f func(name, value []byte)) bool {
	length := func() int {
		if len(b) == 0 {
			return -1
		}
		if b[0] < 0x80 {
			n := int(b[0])
			b = b[1:]
			return n
		}
		if len(b) < 4 {
			return -1
		}
		n := int(binary.BigEndian.Uint32(b) & 0x7fffffff)
		b = b[4:]
		return n
	}
	for len(b) > 0 {
		name := length()
		value := length()
		if name < 0 || value < 0 || name > len(b) || value > len(b)-name {
			return false
		}
		f(b[:name], b[name:name+value])
		b = b[name+value:]
	}
	return true
}

// values answers a question for values.
func values(asked []byte) []byte {
	known := map[string]string{"FCGI_MAX_CONNS": "512", "FCGI_MAX_REQS": "16384", "FCGI_MPXS_CONNS": "1"}
	var content []byte
	EachParam(asked, func(name, _ []byte) {
		if v, ok := known[string(name)]; ok {
			delete(known, string(name))
			content = append(append(append(content, byte(len(name)), byte(len(v))), name...), v...)
		}
	})
	return append(appendHeader(nil, getValuesResult, 0, len(content)), content...)
}

func appendHeader(b []byte, kind byte, slot uint16, length int) []byte {
	return append(b, version, kind, byte(slot>>8), byte(slot), byte(length>>8), byte(length), 0, 0)
}

// AppendStdout adds content as STDOUT records.
func AppendStdout(b []byte, slot uint16, content []byte) []byte {
	for len(content) > 0 {
		k := min(len(content), contentMost)
		b = append(appendHeader(b, stdout, slot, k), content[:k]...)
		content = content[k:]
	}
	return b
}

// AppendEnd closes an answer: the end of STDOUT where there was any, and END_REQUEST.
func AppendEnd(b []byte, slot uint16, status byte) []byte {
	if status == StatusComplete {
		b = appendHeader(b, stdout, slot, 0)
	}
	b = appendHeader(b, endRequest, slot, headerLen)
	return append(b, 0, 0, 0, 0, status, 0, 0, 0)
}
