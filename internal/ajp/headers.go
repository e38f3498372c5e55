package ajp

import (
	"bytes"
	"math"
	"strconv"
)

// Header is a header of an outgoing message.
type Header struct{ Name, Value string }

// Headers are the headers of a received message. They are valid as long as the
// message.
type Headers struct {
	encoded []byte
	count   int
	names   [][]byte // names of coded headers, indexed by code
}

// Each calls f for each header in order. The names of coded headers are in lower
// case; other names are passed as they were received.
func (h Headers) Each(f func(name, value []byte)) {
	d := decoder{data: h.encoded}
	for range h.count {
		name := d.headerName(h.names)
		f(name, d.string())
	}
}

// headers reads the headers of a message. It sets d.failed if they are malformed.
func (d *decoder) headers(names [][]byte) Headers {
	h := Headers{count: d.uint16(), names: names}
	start := d.data
	if h.count > maxHeaders {
		d.failed = true
	}
	for i := 0; i < h.count && !d.failed; i++ {
		d.headerName(names)
		if d.string() == nil {
			d.failed = true
		}
	}
	h.encoded = start[:len(start)-len(d.data)]
	return h
}

// headerName reads the name of a header, which is encoded as a string or a code.
func (d *decoder) headerName(names [][]byte) []byte {
	if len(d.data) >= 2 && d.data[0] == codedName {
		code := int(d.data[1])
		d.data = d.data[2:]
		if code == 0 || code >= len(names) {
			d.failed = true
			return nil
		}
		return names[code]
	}
	name := d.string()
	if name == nil {
		d.failed = true
	}
	return name
}

// codedName is the high byte of a header name that is encoded as a code.
const codedName = 0xa0

// codeContentLength is the code of the content-length header of requests.
const codeContentLength = 8

// requestHeaderNames are the names of coded request headers, indexed by code.
var requestHeaderNames = namesByCode("accept", "accept-charset", "accept-encoding", "accept-language", "authorization",
	"connection", "content-type", "content-length", "cookie", "cookie2", "host", "pragma", "referer", "user-agent")

// responseHeaderNames are the names of coded response headers, indexed by code.
var responseHeaderNames = namesByCode("content-type", "content-language", "content-length", "date", "last-modified",
	"location", "set-cookie", "set-cookie2", "servlet-engine", "status", "www-authenticate")

// namesByCode returns a slice in which the names have the indexes from 1.
func namesByCode(names ...string) [][]byte {
	byCode := [][]byte{nil}
	for _, name := range names {
		byCode = append(byCode, []byte(name))
	}
	return byCode
}

var (
	contentLengthName    = []byte("content-length")
	transferEncodingName = []byte("transfer-encoding")
)

// unknownLength stands for the length of a body that has no content-length header
// and ends with an empty part.
const unknownLength = -1

// bodyLength returns the length of the body according to the headers of a request,
// which may be unknownLength. Lengths above MaxInt32 are reduced to it, which is
// far above the limit.
func bodyLength(h Headers) (int, error) {
	length := unknownLength
	chunked := false
	invalid := false
	h.Each(func(name, value []byte) {
		switch {
		case bytes.EqualFold(name, contentLengthName):
			n, err := strconv.ParseUint(string(value), 10, 62)
			invalid = invalid || length >= 0 || err != nil
			length = int(min(n, math.MaxInt32))
		case bytes.EqualFold(name, transferEncodingName):
			chunked = true
		}
	})
	switch {
	case invalid, chunked && length >= 0:
		return 0, ErrInvalidBody
	case chunked:
		return unknownLength, nil
	}
	return max(0, length), nil
}
