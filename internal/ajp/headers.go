package ajp

import (
	"bytes"
	"math"
	"strconv"
)

// Header is a header of a message that is written.
type Header struct{ Name, Value string }

// Headers are the headers of a message that was read. They are valid as long as the
// message.
type Headers struct {
	encoded []byte
	count   int
	names   [][]byte // of coded headers, by code
}

// Each calls f for each header in order. The names of coded headers are in lower
// case, others as they were received.
func (h Headers) Each(f func(name, value []byte)) {
	d := decoder{data: h.encoded}
	for range h.count {
		name := d.headerName(h.names)
		f(name, d.string())
	}
}

// headers reads headers. Whether they are well formed is in d.failed.
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

// headerName reads the name of a header, which is a string or a code.
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

// codedName is the high byte of a header name that is a code.
const codedName = 0xa0

// codeContentLength is the code of a request's content length.
const codeContentLength = 8

// requestHeaderNames are the names of coded headers of requests, by code.
var requestHeaderNames = namesByCode("accept", "accept-charset", "accept-encoding", "accept-language", "authorization",
	"connection", "content-type", "content-length", "cookie", "cookie2", "host", "pragma", "referer", "user-agent")

// responseHeaderNames are the names of coded headers of responses, by code.
var responseHeaderNames = namesByCode("content-type", "content-language", "content-length", "date", "last-modified",
	"location", "set-cookie", "set-cookie2", "servlet-engine", "status", "www-authenticate")

// namesByCode returns the names for the codes from 1.
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

// unknownLength is the length of a body that is asked for until it ends.
const unknownLength = -1

// bodyLength returns what the headers of a request announce, which may be
// unknownLength. Lengths past any limit are cut.
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
		return 0, ErrBody
	case chunked:
		return unknownLength, nil
	}
	return max(0, length), nil
}
