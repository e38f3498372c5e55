// Package ajp reads and writes the packets of AJP/1.3 (AJPv13), as a server that front ends send reqs to and as a client
// that sends them on: bytes in, messages out. It knows no sockets.
package ajp

import (
	"encoding/binary"
	"errors"
)

// Magic words and codes of the protocol.
const (
	toServer0, toServer1 = 0x12, 0x34 // begin each packet to a server
	toClient0, toClient1 = 'A', 'B'   // and each from one

	codeForward   = 2
	codeChunk     = 3
	codeHeaders   = 4
	codeEnd       = 5
	codeGetChunk  = 6
	codeShutdown  = 7
	codePing      = 8
	codeCPong     = 9
	codeCPing     = 10
	attrQuery     = 5
	attrRoute     = 6
	attrAttribute = 10
	attrKeySize   = 11
	attrSecret    = 12
	attrMethod    = 13
	attrDone      = 0xff
	attrLast      = 13

	headLen    = 4
	nullString = 0xffff
	coded      = 0xa0 // high byte of a name that is a number
)

// Sizes of packets, in bytes with their head.
const (
	DefaultPacketSize = 8 << 10
	MaxPacketSize     = 64 << 10
	MaxBodySize       = 2 << 10 // of a req, by the protocol of the deployment
	MaxResultSize     = 64 << 10
	headersMost       = 128 // of a req or an answer: those known have a dozen
)

// Errors of a stream that can't be followed any further.
var (
	ErrMagic            = errors.New("no packet of AJP")
	ErrPacketTooLong    = errors.New("a packet that is longer than agreed")
	ErrUnexpectedPacket = errors.New("a packet of a kind that does not belong here")
	ErrPipelined        = errors.New("a packet before the last req is answered")
	ErrString           = errors.New("a string without its end, or past its packet")
	ErrHeaders          = errors.New("headers or attributes that can't be read")
	ErrBody             = errors.New("a body that is not as it was announced")
)

// reqHeaders are the names of coded headers of reqs, from 1.
var reqHeaders = names("accept", "accept-charset", "accept-encoding", "accept-language", "authorization", "connection",
	"content-type", "content-length", "cookie", "cookie2", "host", "pragma", "referer", "user-agent")

// answerHeaders are those of answers.
var answerHeaders = names("content-type", "content-language", "content-length", "date", "last-modified", "location",
	"set-cookie", "set-cookie2", "servlet-engine", "status", "www-authenticate")

// names gives texts from 1.
func names(all ...string) [][]byte {
	out := [][]byte{nil}
	for _, s := range all {
		out = append(out, []byte(s))
	}
	return out
}

// methods are the coded ones, from 1.
var methods = [...]string{
	1: "OPTIONS", "GET", "HEAD", "POST", "PUT", "DELETE", "TRACE", "PROPFIND", "PROPPATCH", "MKCOL", "COPY",
	"MOVE", "LOCK", "UNLOCK", "ACL", "REPORT", "VERSION-CONTROL", "CHECKIN", "CHECKOUT", "UNCHECKOUT", "SEARCH", "MKWORKSPACE",
	"UPDATE", "LABEL", "MERGE", "BASELINE_CONTROL", "MKACTIVITY",
}

const storedMethod = 0xff

// packets cuts a stream into packets.
type packets struct {
	magic [2]byte
	most  int // bytes of a packet with its head
	head  [headLen]byte
	have  int
	need  int
	part  []byte
}

// feed hands the content of each packet to f, valid during the call only.
func (p *packets) feed(b []byte, f func(content []byte) error) error {
	for len(b) > 0 {
		if p.have < headLen {
			k := copy(p.head[p.have:], b)
			p.have += k
			b = b[k:]
			if p.head[0] != p.magic[0] || p.have > 1 && p.head[1] != p.magic[1] {
				return ErrMagic
			}
			if p.have < headLen {
				return nil
			}
			if p.need = int(binary.BigEndian.Uint16(p.head[2:])); p.need+headLen > p.most {
				return ErrPacketTooLong
			}
			if p.need > 0 {
				continue
			}
		}
		k := min(p.need-len(p.part), len(b))
		content := b[:k]
		b = b[k:]
		if len(p.part) > 0 || k < p.need {
			if p.part = append(p.part, content...); len(p.part) < p.need {
				return nil
			}
			content = p.part
		}
		p.have, p.part = 0, p.part[:0]
		if err := f(content); err != nil {
			return err
		}
	}
	return nil
}

// held is the number of bytes of a packet that is not whole.
func (p *packets) held() int { return len(p.part) }

// reader takes values off a packet; after the first that is not there bad is set and all are empty.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) < 1 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uint16() int {
	if len(r.b) < 2 {
		r.bad = true
		return 0
	}
	v := binary.BigEndian.Uint16(r.b)
	r.b = r.b[2:]
	return int(v)
}

// text is a string; one that is null is nil.
func (r *reader) text() []byte {
	n := r.uint16()
	if n == nullString || r.bad {
		return nil
	}
	if len(r.b) < n+1 || r.b[n] != 0 {
		r.bad = true
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n+1:]
	return v
}

// name is a header's, a string or a number.
func (r *reader) name(known [][]byte) []byte {
	if len(r.b) >= 2 && r.b[0] == coded {
		n := int(r.b[1])
		r.b = r.b[2:]
		if n == 0 || n >= len(known) {
			r.bad = true
			return nil
		}
		return known[n]
	}
	text := r.text()
	if text == nil {
		r.bad = true
	}
	return text
}

// packet appends a packet whose content is appended by f.
func packet(b []byte, m0, m1 byte, f func(b []byte) []byte) []byte {
	at := len(b)
	b = f(append(b, m0, m1, 0, 0))
	binary.BigEndian.PutUint16(b[at+2:], uint16(len(b)-at-headLen))
	return b
}

func appendUint16(b []byte, n int) []byte { return binary.BigEndian.AppendUint16(b, uint16(n)) }

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(append(appendUint16(b, len(s)), s...), 0)
}
