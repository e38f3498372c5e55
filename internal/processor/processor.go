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

// ErrLine is a line that is no notice.
var ErrLine = errors.New("a line that is no notice of the processor")

// Kind tells what a Notice is.
type Kind uint8

// The notices.
const (
	Hi Kind = iota + 1
	Complete
	Ask
	Used
	Tried
	Reject
	Remark
)

// Notice is one message of the processor. Fields that do not belong to its kind are zero.
type Notice struct {
	Kind    Kind
	N       uint64           // Complete, Ask, Remark: its number
	ID      uint64           // Complete, Ask, Reject
	Outcome overload.Outcome // Complete, Tried
	Took    time.Duration    // Complete; Hi: since the start of the processor
	Cold    bool             // Hi
	Tag     uint64           // Used, Tried
	Gauges  []float64        // Used
	Text    string           // Reject: the command; Remark
	Body    []byte           // Complete, Ask; valid during the call only
}

var ends = map[string]overload.Outcome{
	"ok": overload.OK, "failed": overload.Failed, "halted": overload.Stopped, "void": overload.NeverRan,
}

// NewParser returns a parser that hands each notice to f.
func NewParser(f func(Notice)) *lineproto.Reader {
	return lineproto.Messages(parse, func(n *Notice, body []byte) { n.Body = body }, f)
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
		v, ok := lineproto.Uint(word())
		good = good && ok
		return v
	}
	id := func() uint64 {
		v, ok := lineproto.ID(word())
		good = good && ok
		return v
	}
	millis := func() time.Duration {
		v, ok := lineproto.Millis(word())
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
		n.Kind = Hi
		state := string(word())
		n.Cold = state == "cold"
		good = state == "cold" || state == "warm"
		n.Took = millis()
	case "complete":
		n.Kind, n.N, n.ID, n.Outcome, n.Took = Complete, number(), id(), outcome(), millis()
		body = int(number())
	case "ask":
		n.Kind, n.N, n.ID = Ask, number(), id()
		body = int(number())
	case "used":
		n.Kind, n.Tag = Used, number()
		for len(line) > 0 {
			v, err := strconv.ParseFloat(string(word()), 64)
			good = good && err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
			n.Gauges = append(n.Gauges, v)
		}
	case "tried":
		n.Kind, n.Tag, n.Outcome = Tried, number(), outcome()
	case "reject":
		n.Kind, n.Text = Reject, string(word())
		n.ID, _ = lineproto.ID(word())
	case "remark":
		n.Kind, n.N, n.Text = Remark, number(), string(line)
		line = nil
	default:
		good = false
	}
	if !good || n.Kind != Reject && len(line) > 0 {
		return n, 0, ErrLine
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

// AppendAnswer hands a run the reply to its call.
func AppendAnswer(b []byte, id string, body []byte) []byte {
	return withBody(append(append(b, "answer "...), id...), body)
}

// AppendUsage asks for the gauges.
func AppendUsage(b []byte, tag uint64) []byte {
	return end(strconv.AppendUint(append(b, "usage "...), tag, 10))
}

// AppendTrial has the work of a deep health check done.
func AppendTrial(b []byte, tag uint64) []byte {
	return end(strconv.AppendUint(append(b, "trial "...), tag, 10))
}
