package fastcgi

import (
	"errors"
	"frosthub/internal/golden"
	"strings"
	"testing"
)

// open has a parser print its messages. Even slots are answered at once, odd ones stay open.
func open(print func(string, ...any)) func([]byte) error {
	var p Parser
	return func(b []byte) error {
		return p.Feed(b, func(m Message) {
			kind := []string{"", "request", "bad", "abort", "refuse", "reply"}[m.Kind]
			print("%s %d keep=%v status=%d body=%q, %d open, %d held", kind, m.RequestID, m.KeepConn, m.Status, m.Body, p.OpenRequests(), p.Buffered())
			if !EachParam(m.Params, func(name, value []byte) { print("  %q=%.40q", name, value) }) {
				print("  parameters cut short")
			}
			if m.Kind != Reply && m.RequestID%2 == 0 {
				p.Done(m.RequestID)
			}
		})
	}
}

func TestParser(t *testing.T) { golden.Parser(t, open) }

func FuzzParser(f *testing.F) { golden.Fuzz(f, open) }

func TestAnswer(t *testing.T) {
	got := AppendEnd(AppendStdout(nil, 0x102, []byte("hello")), 0x102, StatusComplete)
	want := "\x01\x06\x01\x02\x00\x05\x00\x00hello" + "\x01\x06\x01\x02\x00\x00\x00\x00" +
		"\x01\x03\x01\x02\x00\x08\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
	if string(got) != want {
		t.Errorf("got %q", got)
	}
	if got := len(AppendStdout(nil, 1, make([]byte, contentMost+1))); got != contentMost+1+2*headerLen {
		t.Error("a long answer takes two records, not", got)
	}
}

// TestRefused: a body past its limit is refused at once, and who goes on sending it is told of.
func TestRefused(t *testing.T) {
	var p Parser
	bad := 0
	feed := func(b string) error {
		return p.Feed([]byte(b), func(m Message) {
			if m.Kind == Invalid {
				bad++
				p.Done(m.RequestID)
			}
		})
	}
	err := feed("\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00\x01\x04\x00\x01\x00\x00\x00\x00")
	piece := "\x01\x05\x00\x01\x04\x00\x00\x00" + strings.Repeat("x", 1<<10)
	sent := 0
	for ; err == nil && sent < 1000; sent++ {
		if err = feed(piece); sent == 2 && (bad != 1 || p.Buffered() != 0 || p.OpenRequests() != 0) {
			t.Error("not refused at once")
		}
	}
	if !errors.Is(err, ErrTooMuchSkipped) || bad != 1 || sent > 80 {
		t.Error(err, "after", sent, "records,", bad, "refused")
	}
}
