package simproto

import (
	"strconv"

	"frosthub/overload"
)

// actionWords are the words of the protocol for the kinds of actions.
var actionWords = [...]string{
	overload.Start:       "admit",
	overload.Cancel:      "yank",
	overload.Reject:      "turnAway",
	overload.Fail:        "reportFailure",
	overload.Call:        "dial",
	overload.SkipCall:    "degrade",
	overload.StoreEntry:  "storeKey",
	overload.RemoveEntry: "releaseKey",
	overload.Coalesce:    "attach",
	overload.Health:      "readiness",
	overload.Signal:      "advertise",
	overload.SetTimer:    "sleep",
	overload.CloseIdle:   "closeIdle",
}

const (
	timerHandle     = 1 // handle of the only timer that an instance sets
	signalPrecision = 4 // number of decimals
)

// appendAction appends the line for an action of an instance.
func appendAction(b []byte, instance uint64, action overload.Action) []byte {
	b = append(b, `{"kind":"`...)
	b = append(b, actionWords[action.Kind]...)
	b = append(b, `","who":`...)
	b = strconv.AppendUint(b, instance, 10)
	switch action.Kind {
	case overload.Health:
		b = appendBool(b, "cheap", action.Shallow)
		b = appendBool(b, "want", action.Healthy)
	case overload.Signal:
		b = appendName(b, "value")
		b = strconv.AppendFloat(b, action.Value, 'f', signalPrecision, 64)
	case overload.SetTimer:
		b = appendInt(b, "whenUs", action.At.Microseconds())
		b = appendInt(b, "handle", timerHandle)
	case overload.CloseIdle:
		b = appendInt(b, "keepForUs", action.Duration.Microseconds())
	default:
		b = appendInt(b, "txn", int64(action.ID))
		b = appendRequestFields(b, action)
	}
	return append(b, "}\n"...)
}

// appendRequestFields appends the fields that only some of the actions on requests have.
func appendRequestFields(b []byte, action overload.Action) []byte {
	switch action.Kind {
	case overload.Reject:
		if action.RetryAfter > 0 {
			b = appendInt(b, "retryAfterUs", action.RetryAfter.Microseconds())
		}
		if action.NoRetry {
			b = appendBool(b, "dontRetry", true)
		}
	case overload.Call:
		b = appendInt(b, "timeoutUs", action.Duration.Microseconds())
	case overload.StoreEntry:
		b = appendInt(b, "keepForUs", action.Duration.Microseconds())
	}
	return b
}

func appendName(b []byte, name string) []byte {
	b = append(b, `,"`...)
	b = append(b, name...)
	return append(b, `":`...)
}

func appendInt(b []byte, name string, value int64) []byte {
	return strconv.AppendInt(appendName(b, name), value, 10)
}

func appendBool(b []byte, name string, value bool) []byte {
	return strconv.AppendBool(appendName(b, name), value)
}
