// Package processor implements the protocol between the backend and the processor,
// which owns the cores and runs the handlers. It decodes the processor's notices and
// encodes the backend's commands. The platform defines the words on the wire.
package processor

import (
	"errors"
	"math"
	"strconv"
	"time"

	"frosthub/internal/lineproto"
	"frosthub/overload"
)

// ErrMalformed is the error for a line that is not a valid notice.
var ErrMalformed = errors.New("a line that is no notice of the processor")

// Kind is the kind of a Notice.
type Kind uint8

// The kinds of notices, with their words on the wire.
const (
	Hello       Kind = iota + 1 // "hi": the processor accepts commands
	Complete                    // "complete": a run has ended
	CallRequest                 // "ask": a run makes a call to the next tier
	Gauges                      // "used": the reply to AppendGaugeRequest
	CheckDone                   // "tried": the reply to AppendCheck
	Reject                      // "reject": a command was not accepted
	Remark                      // "remark": a line of text for the log
)

// Notice is one message of the processor. Fields that do not belong to its kind are
// zero.
type Notice struct {
	Kind      Kind
	Number    uint64           // Complete, CallRequest, Remark: sequence number
	ID        uint64           // Complete, CallRequest, Reject: id of the request
	Outcome   overload.Outcome // Complete, CheckDone: outcome of the run or the health check
	Elapsed   time.Duration    // Complete: duration of the run; Hello: time since the processor's start
	WarmingUp bool             // Hello: whether the processor is still warming up
	Tag       uint64           // Gauges, CheckDone: tag of the command
	Gauges    []float64        // Gauges: values of the gauges
	Text      string           // Reject: the rejected command; Remark: text for the log
	Body      []byte           // Complete, CallRequest: result or call; valid only during the call of the handler
}

// outcomes are the outcomes of runs and health checks by their words on the wire.
var outcomes = map[string]overload.Outcome{
	"ok":     overload.OK,
	"failed": overload.Failed,
	"halted": overload.Cancelled,
	"void":   overload.NeverRan,
}

// NewParser returns a parser that passes each notice to handle. Its errors are
// ErrMalformed and the errors of package lineproto.
func NewParser(handle func(Notice)) *lineproto.Reader {
	setBody := func(n *Notice, body []byte) { n.Body = body }
	return lineproto.NewMessageReader(parse, setBody, handle)
}

func parse(line []byte) (Notice, int, error) {
	var notice Notice
	words := lineproto.NewWords(line)
	bodyLength := notice.parse(&words)
	complete := words.Empty() || notice.Kind == Reject // a reject may end with text for the operator
	if words.Malformed() || !complete {
		return notice, 0, ErrMalformed
	}
	return notice, bodyLength, nil
}

// parse sets the fields of the notice, and returns the length of its body.
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
		n.ID, _ = lineproto.ParseID(words.Next()) // missing for commands that belong to no request
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
