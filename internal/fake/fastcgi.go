package fake

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

// Records of FastCGI as an edge node writes them, padded to be of odd lengths.
const (
	fcgiBegin  = 1
	fcgiAbort  = 2
	fcgiEnd    = 3
	fcgiParams = 4
	fcgiStdin  = 5
	fcgiStdout = 6
)

// FastCGIRecord is one record of FastCGI.
func FastCGIRecord(kind byte, slot uint16, content string) string {
	head := []byte{1, kind, 0, 0, 0, 0, 3, 0}
	binary.BigEndian.PutUint16(head[2:], slot)
	binary.BigEndian.PutUint16(head[4:], uint16(len(content)))
	return string(head) + content + "pad"
}

// FastCGIAbort takes a req back.
func FastCGIAbort(slot uint16) string { return FastCGIRecord(fcgiAbort, slot, "") }

// FastCGIPair is a name and a value.
func FastCGIPair(name, value string) string {
	b := []byte{byte(len(name))}
	if len(value) < 128 {
		b = append(b, byte(len(value)))
	} else {
		b = binary.BigEndian.AppendUint32(b, uint32(len(value))|1<<31)
	}
	return string(b) + name + value
}

// FastCGIRequest are those of a whole req: its parameters in two pieces, and its body if it has one.
func FastCGIRequest(slot uint16, params, body string) string {
	half := len(params) / 2
	out := FastCGIRecord(fcgiBegin, slot, "\x00\x01\x01\x00\x00\x00\x00\x00") + FastCGIRecord(fcgiParams, slot, params[:half]) +
		FastCGIRecord(fcgiParams, slot, params[half:]) + FastCGIRecord(fcgiParams, slot, "")
	if body != "" {
		out += FastCGIRecord(fcgiStdin, slot, body)
	}
	return out + FastCGIRecord(fcgiStdin, slot, "")
}

// Request is a req as an edge node sends it.
type Request struct {
	ID        uint64
	Handler   string
	Caller    int
	Start     int64 // Unix milliseconds
	CostMS    float64
	Customer  string
	CreatedAt int64 // when it was first made, in Unix milliseconds; 0 not told
	Body      string
}

// fields of it, in the names of headers.
func (r *Request) fields(put func(name, value string)) {
	put("X-Request-Id", fmt.Sprintf("%016x", r.ID))
	put("X-Request-Start", fmt.Sprint(r.Start))
	put("X-Caller", fmt.Sprint(r.Caller))
	put("X-Cost-Ms", fmt.Sprintf("%.2f", max(0.01, r.CostMS)))
	put("X-Memory-Kb", "24.5")
	put("X-Rank", "0.6250")
	if r.Customer != "" {
		put("X-Customer", r.Customer)
	}
	if r.CreatedAt > 0 {
		put("X-First-Made", fmt.Sprint(r.CreatedAt))
	}
}

// FastCGI writes the req.
func (r *Request) FastCGI(slot uint16) string {
	var p strings.Builder
	p.WriteString(FastCGIPair("REQUEST_METHOD", "POST") + FastCGIPair("SCRIPT_NAME", "/invoke/"+r.Handler))
	r.fields(func(name, value string) {
		p.WriteString(FastCGIPair("HTTP_"+strings.ToUpper(strings.ReplaceAll(name, "-", "_")), value))
	})
	return FastCGIRequest(slot, p.String(), r.Body)
}

// FastCGIResponse is one whole answer.
type FastCGIResponse struct {
	Slot           uint16
	NoBody         bool // END_REQUEST without a word before it
	ProtocolStatus byte
	Text           string
}

// ReadFastCGI hands each whole answer to f until the stream ends.
func ReadFastCGI(r io.Reader, f func(FastCGIResponse)) error {
	parts := map[uint16]*strings.Builder{}
	head := make([]byte, 8)
	for {
		if _, err := io.ReadFull(r, head); err != nil {
			return err
		}
		slot, content := binary.BigEndian.Uint16(head[2:]), make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(r, content); err != nil {
			return err
		}
		content = content[:len(content)-int(head[6])]
		switch head[1] {
		case fcgiStdout:
			if parts[slot] == nil {
				parts[slot] = &strings.Builder{}
			}
			parts[slot].Write(content)
		case fcgiEnd:
			a := FastCGIResponse{Slot: slot}
			if len(content) > 4 {
				a.ProtocolStatus = content[4]
			}
			if part := parts[slot]; part != nil {
				a.Text = part.String()
				delete(parts, slot)
			}
			a.NoBody = a.Text == ""
			f(a)
		}
	}
}
