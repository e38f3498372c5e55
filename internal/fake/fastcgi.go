package fake

import (
	"encoding/binary"
	"io"
	"strings"
)

// FastCGI record types.
const (
	fcgiBegin  = 1
	fcgiAbort  = 2
	fcgiEnd    = 3
	fcgiParams = 4
	fcgiStdin  = 5
	fcgiStdout = 6
)

// fcgiHeaderSize is the length of a record header in bytes.
const fcgiHeaderSize = 8

// fcgiPadding is appended to each record that is written, so that servers have to handle padding that does not align records.
const fcgiPadding = "pad"

// fcgiOverloaded is the protocol status FCGI_OVERLOADED: the request was rejected.
const fcgiOverloaded = 2

// FastCGIRecord returns a FastCGI record with padding.
func FastCGIRecord(kind byte, slot uint16, content string) string {
	header := []byte{1, kind, 0, 0, 0, 0, byte(len(fcgiPadding)), 0}
	binary.BigEndian.PutUint16(header[2:], slot)
	binary.BigEndian.PutUint16(header[4:], uint16(len(content)))
	return string(header) + content + fcgiPadding
}

// FastCGIAbort returns the record that aborts the request of a slot.
func FastCGIAbort(slot uint16) string { return FastCGIRecord(fcgiAbort, slot, "") }

// FastCGIPair encodes a name-value pair of FastCGI parameters. The name must be shorter than 128 bytes.
func FastCGIPair(name, value string) string {
	pair := []byte{byte(len(name))}
	if len(value) < 128 {
		pair = append(pair, byte(len(value)))
	} else {
		pair = binary.BigEndian.AppendUint32(pair, uint32(len(value))|1<<31)
	}
	return string(pair) + name + value
}

// FastCGIRequest returns the records of a complete request. The parameters are split into two records; an empty body has no data record.
func FastCGIRequest(slot uint16, params, body string) string {
	half := len(params) / 2
	var records strings.Builder
	records.WriteString(FastCGIRecord(fcgiBegin, slot, "\x00\x01\x01\x00\x00\x00\x00\x00"))
	records.WriteString(FastCGIRecord(fcgiParams, slot, params[:half]))
	records.WriteString(FastCGIRecord(fcgiParams, slot, params[half:]))
	records.WriteString(FastCGIRecord(fcgiParams, slot, ""))
	if body != "" {
		records.WriteString(FastCGIRecord(fcgiStdin, slot, body))
	}
	records.WriteString(FastCGIRecord(fcgiStdin, slot, ""))
	return records.String()
}

// FastCGIResponse is one complete FastCGI response.
type FastCGIResponse struct {
	Slot           uint16
	NoBody         bool // no STDOUT data preceded END_REQUEST
	ProtocolStatus byte
	Text           string
}

// ReadFastCGI calls handle with each complete response until the stream ends, and returns the read error that ended it.
func ReadFastCGI(r io.Reader, handle func(FastCGIResponse)) error {
	bodies := map[uint16]*strings.Builder{}
	header := make([]byte, fcgiHeaderSize)
	for {
		if _, err := io.ReadFull(r, header); err != nil {
			return err
		}
		slot := binary.BigEndian.Uint16(header[2:])
		length := int(binary.BigEndian.Uint16(header[4:]))
		padding := int(header[6])
		content := make([]byte, length+padding)
		if _, err := io.ReadFull(r, content); err != nil {
			return err
		}
		content = content[:length]
		switch header[1] {
		case fcgiStdout:
			if bodies[slot] == nil {
				bodies[slot] = &strings.Builder{}
			}
			bodies[slot].Write(content)
		case fcgiEnd:
			response := FastCGIResponse{Slot: slot}
			if len(content) > 4 {
				response.ProtocolStatus = content[4]
			}
			if body := bodies[slot]; body != nil {
				response.Text = body.String()
				delete(bodies, slot)
			}
			response.NoBody = response.Text == ""
			handle(response)
		}
	}
}
