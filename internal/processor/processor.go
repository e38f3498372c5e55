// Package processor speaks to the processor that owns the cores: its notices in, the backend's commands out.
package processor

import (
	"errors"
	"frosthub/internal/lineproto"
	"frosthub/overload"
	"math"
	"strconv"
	"time"
)

// ErrMalformed is a line that is no notice.
var ErrMalformed = errors.New("a line that is no notice of the processor")

// Kind tells what a Notice is.
type Kind uint8

// The notices.
const (
	Hello Kind = iota + 1
	Complete
	CallRequest
	Gauges
	CheckDone
	Reject
	Remark
)

// Notice is one message of the processor. Fields that do not belong to its kind are zero.
type Notice struct {
	Kind      Kind
	Number    uint64           // Complete, Ask, Remark: its number
	ID        uint64           // Complete, Ask, Reject
	Outcome   overload.Outcome // Complete, Tried
	Elapsed   time.Duration    // Complete; Hi: since the start of the processor
	WarmingUp bool             // Hi
	Tag       uint64           // Used, Tried
	Gauges    []float64        // Used
	Text      string           // Reject: the command; Remark
	Body      []byte           // Complete, Ask; valid during the call only
}

var ends = map[string]overload.Outcome{
	"ok": overload.OK, "failed": overload.Failed, "halted": overload.Stopped, "void": overload.NeverRan,
}

// NewParser returns a parser that hands each notice to f.
func NewParser(f func(Notice)) *lineproto.Reader {
	return lineproto.NewMessageReader(parse, func(n *Notice, body []byte) { n.Body = body }, f)
}

func parse(line []byte) (Notice, int, error) {
	var n Notice
	good := true
	word := func() []byte {
		w, rest := lineproto.NextWord(line)
		line = rest
		return w
	}
	number := func() uint64 {
		v, ok := lineproto.ParseUint(word())
		good = good && ok
		return v
	}
	id := func() uint64 {
		v, ok := lineproto.ParseID(word())
		good = good && ok
		return v
	}
	millis := func() time.Duration {
		v, ok := lineproto.ParseMillis(word())
		good = good && ok
		return v
	}
	outcome := func() overload.Outcome {
		v := ends[string(word())]
		good = good && v != 0
		return v
	}
	body := -1
	switch string(word()) {
	case "hi":
		n.Kind = Hello
		state := string(word())
		n.WarmingUp = state == "cold"
		good = state == "cold" || state == "warm"
		n.Elapsed = millis()
	case "complete":
		n.Kind, n.Number, n.ID, n.Outcome, n.Elapsed = Complete, number(), id(), outcome(), millis()
		body = int(number())
	case "ask":
		n.Kind, n.Number, n.ID = CallRequest, number(), id()
		body = int(number())
	case "used":
		n.Kind, n.Tag = Gauges, number()
		for len(line) > 0 {
			v, err := strconv.ParseFloat(string(word()), 64)
			good = good && err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
			n.Gauges = append(n.Gauges, v)
		}
	case "tried":
		n.Kind, n.Tag, n.Outcome = CheckDone, number(), outcome()
	case "reject":
		n.Kind, n.Text = Reject, string(word())
		n.ID, _ = lineproto.ParseID(word())
	case "remark":
		n.Kind, n.Number, n.Text = Remark, number(), string(line)
		line = nil
	default:
		good = false
	}
	if !good || n.Kind != Reject && len(line) > 0 {
		return n, 0, ErrMalformed
	}
	return n, body, nil
}

func end(b []byte) []byte { return append(b, '\r', '\n') }

func withBody(b, body []byte) []byte {
	b = end(strconv.AppendInt(append(b, ' '), int64(len(body)), 10))
	return end(append(b, body...))
}

// AppendHello begins a link: last is the number of the last notice read.
func AppendHello(b []byte, last uint64) []byte {
	return end(strconv.AppendUint(append(b, "hello "...), last, 10))
}

// AppendBegin has a req run.
func AppendBegin(b []byte, id, handler string, body []byte) []byte {
	b = append(append(append(b, "begin "...), id...), ' ')
	return withBody(append(b, handler...), body)
}

// AppendInterrupt has a run stopped.
func AppendInterrupt(b []byte, id string) []byte {
	return end(append(append(b, "interrupt "...), id...))
}

// AppendCallReply hands a run the reply to its call.
func AppendCallReply(b []byte, id string, body []byte) []byte {
	return withBody(append(append(b, "answer "...), id...), body)
}

// AppendGaugeRequest asks for the gauges.
func AppendGaugeRequest(b []byte, tag uint64) []byte {
	return end(strconv.AppendUint(append(b, "usage "...), tag, 10))
}

// AppendCheck has the work of a deep health check done.
func AppendCheck(b []byte, tag uint64) []byte {
	return end(strconv.AppendUint(append(b, "trial "...), tag, 10))
}
