package upstreamproto

import (
	"testing"
	"time"

	"frosthub/internal/golden"
)

// openStream returns a function that feeds a parser and prints its replies.
func openStream(print func(string, ...any)) func([]byte) error {
	return NewParser(func(r Reply) { print("%x outcome=%d body=%q", r.ID, r.Outcome, r.Body) }).Feed
}

func TestParser(t *testing.T) { golden.CheckParser(t, openStream) }

func FuzzParser(f *testing.F) { golden.FuzzParser(f, openStream) }

// TestCommands checks the encoding of the commands.
func TestCommands(t *testing.T) {
	b := AppendInvoke(nil, "00000000000000aa", 250*time.Millisecond, []byte("q\x00"))
	b = AppendInvoke(b, "00000000000000ab", time.Microsecond, nil)
	b = AppendCancel(b, "00000000000000aa")
	want := "invoke 00000000000000aa 250 2\r\nq\x00\r\ninvoke 00000000000000ab 1 0\r\n\r\ncancel 00000000000000aa\r\n"
	if string(b) != want {
		t.Errorf("got %q", b)
	}
}
