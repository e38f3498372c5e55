// Package stand has stand-ins for what a backend talks to, for tests and measurements on loopback: edge nodes that keep
// their own tally by id, a processor with cores of a known capacity, and the process of a box itself.
package stand

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

// Record is one record of FastCGI.
func Record(kind byte, slot uint16, content string) string {
	head := []byte{1, kind, 0, 0, 0, 0, 3, 0}
	binary.BigEndian.PutUint16(head[2:], slot)
	binary.BigEndian.PutUint16(head[4:], uint16(len(content)))
	return string(head) + content + "pad"
}

// Abort takes a req back.
func Abort(slot uint16) string { return Record(fcgiAbort, slot, "") }

// Pair is a name and a value.
func Pair(name, value string) string {
	b := []byte{byte(len(name))}
	if len(value) < 128 {
		b = append(b, byte(len(value)))
	} else {
		b = binary.BigEndian.AppendUint32(b, uint32(len(value))|1<<31)
	}
	return string(b) + name + value
}

// Records are those of a whole req: its parameters in two pieces, and its body if it has one.
func Records(slot uint16, params, body string) string {
	half := len(params) / 2
	out := Record(fcgiBegin, slot, "\x00\x01\x01\x00\x00\x00\x00\x00") + Record(fcgiParams, slot, params[:half]) +
		Record(fcgiParams, slot, params[half:]) + Record(fcgiParams, slot, "")
	if body != "" {
		out += Record(fcgiStdin, slot, body)
	}
	return out + Record(fcgiStdin, slot, "")
}

// Req is a req as an edge node sends it.
type Req struct {
	ID       uint64
	Handler  string
	Caller   int
	Start    int64 // Unix milliseconds
	CostMS   float64
	Customer string
	Made     int64 // when it was first made, in Unix milliseconds; 0 not told
	Body     string
}

// fields of it, in the names of headers.
func (r *Req) fields(put func(name, value string)) {
	put("X-Request-Id", fmt.Sprintf("%016x", r.ID))
	put("X-Request-Start", fmt.Sprint(r.Start))
	put("X-Caller", fmt.Sprint(r.Caller))
	put("X-Cost-Ms", fmt.Sprintf("%.2f", max(0.01, r.CostMS)))
	put("X-Memory-Kb", "24.5")
	put("X-Rank", "0.6250")
	if r.Customer != "" {
		put("X-Customer", r.Customer)
	}
	if r.Made > 0 {
		put("X-First-Made", fmt.Sprint(r.Made))
	}
}

// FastCGI writes the req.
func (r *Req) FastCGI(slot uint16) string {
	var p strings.Builder
	p.WriteString(Pair("REQUEST_METHOD", "POST") + Pair("SCRIPT_NAME", "/invoke/"+r.Handler))
	r.fields(func(name, value string) {
		p.WriteString(Pair("HTTP_"+strings.ToUpper(strings.ReplaceAll(name, "-", "_")), value))
	})
	return Records(slot, p.String(), r.Body)
}

// fcgiAnswer is one whole answer.
type fcgiAnswer struct {
	slot   uint16
	bare   bool // END_REQUEST without a word before it
	status byte
	text   string
}

// readFastCGI hands each whole answer to f until the stream ends.
func readFastCGI(r io.Reader, f func(fcgiAnswer)) error {
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
			a := fcgiAnswer{slot: slot}
			if len(content) > 4 {
				a.status = content[4]
			}
			if part := parts[slot]; part != nil {
				a.text = part.String()
				delete(parts, slot)
			}
			a.bare = a.text == ""
			f(a)
		}
	}
}
