package fastcgi

import (
	"errors"
	"strings"
	"testing"

	"frosthub/internal/golden"
)

// kindNames are the words for the kinds of messages in the traces.
var kindNames = map[Kind]string{
	Request:  "request",
	Invalid:  "bad",
	Abort:    "abort",
	Rejected: "refuse",
	Reply:    "reply",
}

// openStream returns a function that feeds a parser and prints its messages. It
// marks requests with an even id as answered at once; others remain open.
func openStream(print func(string, ...any)) func([]byte) error {
	var p Parser
	return func(b []byte) error {
		return p.Feed(b, func(m Message) {
			print("%s %d keep=%v status=%d body=%q, %d open, %d held", kindNames[m.Kind], m.RequestID, m.KeepConn, m.Status, m.Body,
				p.OpenRequests(), p.Buffered())
			if !EachParam(m.Params, func(name, value []byte) { print("  %q=%.40q", name, value) }) {
				print("  parameters cut short")
			}
			if m.Kind != Reply && m.RequestID%2 == 0 {
				p.Done(m.RequestID)
			}
		})
	}
}

func TestParser(t *testing.T) { golden.CheckParser(t, openStream) }

func FuzzParser(f *testing.F) { golden.FuzzParser(f, openStream) }

// TestResponse checks the records of a response.
func TestResponse(t *testing.T) {
	got := AppendEnd(AppendStdout(nil, 0x102, []byte("hello")), 0x102, StatusComplete)
	want := "\x01\x06\x01\x02\x00\x05\x00\x00hello" + "\x01\x06\x01\x02\x00\x00\x00\x00" +
		"\x01\x03\x01\x02\x00\x08\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
	if string(got) != want {
		t.Errorf("got %q", got)
	}
	if got := len(AppendStdout(nil, 1, make([]byte, maxContentSize+1))); got != maxContentSize+1+2*headerSize {
		t.Error("a long response does not take two records: its length is", got)
	}
}

// TestBodyTooLarge checks that a request is rejected as soon as its body exceeds the
// limit, and that a client that keeps sending the body gets an error.
func TestBodyTooLarge(t *testing.T) {
	var p Parser
	invalid := 0
	feed := func(b string) error {
		return p.Feed([]byte(b), func(m Message) {
			if m.Kind == Invalid {
				invalid++
				p.Done(m.RequestID)
			}
		})
	}
	err := feed("\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00\x01\x04\x00\x01\x00\x00\x00\x00")
	piece := "\x01\x05\x00\x01\x04\x00\x00\x00" + strings.Repeat("x", 1<<10)
	sent := 0
	for ; err == nil && sent < 1000; sent++ {
		if err = feed(piece); sent == 2 && (invalid != 1 || p.Buffered() != 0 || p.OpenRequests() != 0) {
			t.Error("the request is not rejected at once")
		}
	}
	if !errors.Is(err, ErrTooMuchSkipped) || invalid != 1 || sent > 80 {
		t.Error(err, "after", sent, "records,", invalid, "refused")
	}
}
