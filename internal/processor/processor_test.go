package processor

import (
	"testing"

	"frosthub/internal/golden"
)

// kindNames are the words for the kinds of notices in the traces.
var kindNames = map[Kind]string{
	Hello:       "hi",
	Complete:    "complete",
	CallRequest: "ask",
	Gauges:      "used",
	CheckDone:   "tried",
	Reject:      "reject",
	Remark:      "remark",
}

// openStream returns a function that feeds a parser and prints its notices.
func openStream(print func(string, ...any)) func([]byte) error {
	return NewParser(func(n Notice) {
		print("%s n=%d id=%x outcome=%d took=%v cold=%v tag=%d gauges=%v text=%q body=%q", kindNames[n.Kind], n.Number, n.ID,
			n.Outcome, n.Elapsed, n.WarmingUp, n.Tag, n.Gauges, n.Text, n.Body)
	}).Feed
}

func TestParser(t *testing.T) { golden.CheckParser(t, openStream) }

func FuzzParser(f *testing.F) { golden.FuzzParser(f, openStream) }

// TestCommands checks the encoding of the commands.
func TestCommands(t *testing.T) {
	b := AppendHello(nil, 7)
	b = AppendBegin(b, "00000000000000aa", "status", []byte("a\r\n"))
	b = AppendInterrupt(b, "00000000000000aa")
	b = AppendCallReply(b, "00000000000000aa", nil)
	b = AppendGaugeRequest(b, 3)
	b = AppendCheck(b, 4)
	want := "hello 7\r\nbegin 00000000000000aa status 3\r\na\r\n\r\ninterrupt 00000000000000aa\r\n" +
		"answer 00000000000000aa 0\r\n\r\nusage 3\r\ntrial 4\r\n"
	if string(b) != want {
		t.Errorf("got %q", b)
	}
}
