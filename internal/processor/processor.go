// Package processor speaks the protocol of the processor, which owns the cores and
// runs the handlers: it reads the processor's notices and writes the backend's
// commands. The words on the wire are those of the platform.
package processor

import (
	"errors"
	"math"
	"strconv"
	"time"

	"frosthub/internal/lineproto"
	"frosthub/overload"
)

// ErrMalformed is the error of a line that is no notice.
var ErrMalformed = errors.New("a line that is no notice of the processor")

// Kind is what a Notice says.
type Kind uint8

// The kinds of notices, with their words on the wire.
const (
	Hello       Kind = iota + 1 // "hi": it accepts commands
	Complete                    // "complete": a run has ended
	CallRequest                 // "ask": a run makes a call to the next tier
	Gauges                      // "used": the answer to AppendGaugeRequest
	CheckDone                   // "tried": the answer to AppendCheck
	Reject                      // "reject": a command was not accepted
	Remark                      // "remark": a line of text for the log
)

// Notice is one message of the processor. Fields that do not belong to its kind are
// zero.
type Notice struct {
	Kind      Kind
	Number    uint64           // Complete, CallRequest, Remark: its sequence number
	ID        uint64           // Complete, CallRequest, Reject: of the request
	Outcome   overload.Outcome // Complete, CheckDone
	Elapsed   time.Duration    // Complete: how long it ran; Hello: time since the processor's start
	WarmingUp bool             // Hello
	Tag       uint64           // Gauges, CheckDone: that of the command
	Gauges    []float64        // Gauges
	Text      string           // Reject: the command; Remark
	Body      []byte           // Complete, CallRequest; valid during the call only
}

// outcomes are the ends of runs and checks by their words on the wire.
var outcomes = map[string]overload.Outcome{
	"ok":     overload.OK,
	"failed": overload.Failed,
	"halted": overload.Cancelled,
	"void":   overload.NeverRan,
}

// NewParser returns a parser that passes each notice to handle. Its errors are
// ErrMalformed and those of package lineproto.
func NewParser(handle func(Notice)) *lineproto.Reader {
	setBody := func(n *Notice, body []byte) { n.Body = body }
	return lineproto.NewMessageReader(parse, setBody, handle)
}

func parse(line []byte) (Notice, int, error) {
	var notice Notice
	words := lineproto.NewWords(line)
	bodyLength := notice.parse(&words)
	complete := words.Empty() || notice.Kind == Reject // what follows there is for people
	if words.Malformed() || !complete {
		return notice, 0, ErrMalformed
	}
	return notice, bodyLength, nil
}

// parse reads the notice, and returns the length of its body.
func (n *Notice) parse(words *lineproto.Words) (bodyLength int) {
	bodyLength = lineproto.NoBody
	switch string(words.Next()) {
	case "hi":
		n.Kind = Hello
		n.WarmingUp = parseWarmingUp(words)
		n.Elapsed = words.Millis()
	case "complete":
		n.Kind = Complete
		n.Number = words.Uint()
		n.ID = words.ID()
		n.Outcome = parseOutcome(words)
		n.Elapsed = words.Millis()
		bodyLength = int(words.Uint())
	case "ask":
		n.Kind = CallRequest
		n.Number = words.Uint()
		n.ID = words.ID()
		bodyLength = int(words.Uint())
	case "used":
		n.Kind = Gauges
		n.Tag = words.Uint()
		n.Gauges = parseGauges(words)
	case "tried":
		n.Kind = CheckDone
		n.Tag = words.Uint()
		n.Outcome = parseOutcome(words)
	case "reject":
		n.Kind = Reject
		n.Text = string(words.Next())
		n.ID, _ = lineproto.ParseID(words.Next()) // commands without a request have none
	case "remark":
		n.Kind = Remark
		n.Number = words.Uint()
		n.Text = string(words.Rest())
	default:
		words.Expect(false)
	}
	return bodyLength
}

func parseWarmingUp(words *lineproto.Words) bool {
	state := string(words.Next())
	words.Expect(state == "cold" || state == "warm")
	return state == "cold"
}

func parseOutcome(words *lineproto.Words) overload.Outcome {
	outcome, ok := outcomes[string(words.Next())]
	words.Expect(ok)
	return outcome
}

func parseGauges(words *lineproto.Words) []float64 {
	var gauges []float64
	for !words.Empty() {
		value, err := strconv.ParseFloat(string(words.Next()), 64)
		words.Expect(err == nil && !math.IsNaN(value) && !math.IsInf(value, 0))
		gauges = append(gauges, value)
	}
	return gauges
}
