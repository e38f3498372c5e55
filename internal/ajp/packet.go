package ajp

import "encoding/binary"

// packetHeaderSize is the size of the header of a packet in bytes: two magic bytes
// and the length of the content.
const packetHeaderSize = 4

// packetReader splits a stream into packets.
type packetReader struct {
	magic         [2]byte
	maxSize       int // limit of a packet with its header, in bytes
	header        [packetHeaderSize]byte
	headerRead    int // number of received bytes of header
	contentLength int
	partial       []byte // received part of a content that is not complete
}

// feed passes the content of each packet to handle. The content is valid only
// during the call.
func (p *packetReader) feed(b []byte, handle func(content []byte) error) error {
	for len(b) > 0 {
		b = p.readHeader(b)
		if err := p.checkHeader(); err != nil {
			return err
		}
		if p.headerRead < packetHeaderSize {
			return nil
		}
		content, rest, complete := p.readContent(b)
		if !complete {
			return nil
		}
		b = rest
		p.headerRead = 0
		p.partial = p.partial[:0]
		if err := handle(content); err != nil {
			return err
		}
	}
	return nil
}

// readHeader copies the missing bytes of the header, and returns the bytes that
// follow it.
func (p *packetReader) readHeader(b []byte) []byte {
	n := copy(p.header[p.headerRead:], b)
	p.headerRead += n
	return b[n:]
}

// checkHeader checks the received part of the header.
func (p *packetReader) checkHeader() error {
	for i := range min(p.headerRead, len(p.magic)) {
		if p.header[i] != p.magic[i] {
			return ErrMagic
		}
	}
	if p.headerRead < packetHeaderSize {
		return nil
	}
	p.contentLength = int(binary.BigEndian.Uint16(p.header[2:]))
	if packetHeaderSize+p.contentLength > p.maxSize {
		return ErrPacketTooLong
	}
	return nil
}

// readContent returns the content of a packet and the bytes that follow it. It
// keeps the received part of a content that is not complete.
func (p *packetReader) readContent(b []byte) (content, rest []byte, complete bool) {
	n := min(p.contentLength-len(p.partial), len(b))
	if len(p.partial) == 0 && n == p.contentLength {
		return b[:n], b[n:], true
	}
	p.partial = append(p.partial, b[:n]...)
	return p.partial, b[n:], len(p.partial) == p.contentLength
}

// buffered returns the number of bytes kept of a packet that is not complete.
func (p *packetReader) buffered() int { return len(p.partial) }

// midPacket reports whether part of a packet was received.
func (p *packetReader) midPacket() bool { return p.headerRead > 0 }

// decoder reads values from the content of a packet. A missing or malformed value
// sets failed.
type decoder struct {
	data   []byte // unread part of the content
	failed bool
}

func (d *decoder) byte() byte {
	if len(d.data) < 1 {
		d.failed = true
		return 0
	}
	value := d.data[0]
	d.data = d.data[1:]
	return value
}

func (d *decoder) uint16() int {
	if len(d.data) < 2 {
		d.failed = true
		return 0
	}
	value := binary.BigEndian.Uint16(d.data)
	d.data = d.data[2:]
	return int(value)
}

// nullString is the encoded length of a null string.
const nullString = 0xffff

// string reads a zero-terminated string with a length prefix. It returns nil for a
// null string.
func (d *decoder) string() []byte {
	n := d.uint16()
	if n == nullString || d.failed {
		return nil
	}
	if len(d.data) < n+1 || d.data[n] != 0 {
		d.failed = true
		return nil
	}
	value := d.data[:n:n]
	d.data = d.data[n+1:]
	return value
}

// complete reports whether all values were well formed and nothing is left unread.
func (d *decoder) complete() bool { return !d.failed && len(d.data) == 0 }

// appendPacket appends a packet with the content that appendContent appends.
func appendPacket(b []byte, magic [2]byte, appendContent func(b []byte) []byte) []byte {
	start := len(b)
	b = append(b, magic[0], magic[1], 0, 0)
	b = appendContent(b)
	length := len(b) - start - packetHeaderSize
	binary.BigEndian.PutUint16(b[start+2:], uint16(length))
	return b
}

func appendUint16(b []byte, n int) []byte { return binary.BigEndian.AppendUint16(b, uint16(n)) }

func appendString(b []byte, s string) []byte {
	b = appendUint16(b, len(s))
	b = append(b, s...)
	return append(b, 0)
}

func appendHeaders(b []byte, headers []Header) []byte {
	for _, h := range headers {
		b = appendString(b, h.Name)
		b = appendString(b, h.Value)
	}
	return b
}
