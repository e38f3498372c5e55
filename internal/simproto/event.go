package simproto

import (
	"time"

	"frosthub/internal/settings"
	"frosthub/overload"

	"github.com/valyala/fastjson"
)

// outcomes are the outcomes of runs and calls by their words in the protocol.
var outcomes = map[string]overload.Outcome{
	"Ok":           overload.OK,
	"Failed":       overload.Failed,
	"QueueFull":    overload.Overloaded,
	"TimedOut":     overload.TimedOut,
	"ConnectError": overload.NoConnection,
	"ResetByPeer":  overload.ConnectionLost,
	"Canceled":     overload.Cancelled,
	"Ignored":      overload.NeverRan,
}

// Bits of the member "attrs".
const (
	attrHintValid = 1
	attrRetry     = 2
	attrWrite     = 4
)

// micros returns a member in microseconds as a duration, or 0 if it is missing.
func micros(v *fastjson.Value, name string) time.Duration {
	return settings.MicrosToDuration(v.GetFloat64(name))
}

// decodeEvent decodes an event of the protocol, and reports whether its kind is known.
func decodeEvent(kind string, v *fastjson.Value) (event overload.Event, known bool) {
	id := v.GetUint64("txn")
	switch kind {
	case "query":
		return decodeArrival(id, v), true
	case "result":
		return decodeEnd(overload.Ended, id, v), true
	case "callEnded":
		return decodeEnd(overload.CallEnded, id, v), true
	case "dropped":
		return overload.Event{Kind: overload.ClientGone, ID: id}, true
	case "stalledOnCall":
		return overload.Event{Kind: overload.NeedsCall, ID: id}, true
	case "tickDue":
		return overload.Event{Kind: overload.Timer, ID: id, Gauges: decodeGauges(v)}, true
	case "notice":
		return overload.Event{Kind: overload.Drain, ID: id, Remaining: micros(v, "budgetUs")}, true
	}
	return overload.Event{}, false
}

func decodeArrival(id uint64, v *fastjson.Value) overload.Event {
	attrs := v.GetInt("attrs")
	event := overload.Event{
		Kind:       overload.Arrived,
		ID:         id,
		Handler:    v.GetInt("tierClass"),
		Customer:   v.GetInt("owner"),
		Resource:   string(v.GetStringBytes("resource")),
		Remaining:  micros(v, "budgetUs"),
		QueueDelay: micros(v, "queuedForUs"),
		SizeKB:     v.GetFloat64("sizeKb"),
		ValueRank:  v.GetFloat64("rank"),
		EdgeNode:   v.GetInt("neighbour"),
		RepeatOf:   v.GetUint64("dupOf"),
		Retry:      attrs&attrRetry != 0,
		Write:      attrs&attrWrite != 0,
	}
	if attrs&attrHintValid != 0 {
		event.Hint = micros(v, "costUs")
	}
	return event
}

func decodeEnd(kind overload.EventKind, id uint64, v *fastjson.Value) overload.Event {
	return overload.Event{
		Kind:    kind,
		ID:      id,
		Outcome: outcomes[string(v.GetStringBytes("verdict"))],
		Took:    micros(v, "waitTimeUs"),
	}
}

func decodeGauges(v *fastjson.Value) []float64 {
	var gauges []float64
	for _, g := range v.GetArray("metrics") {
		gauges = append(gauges, g.GetFloat64())
	}
	return gauges
}
