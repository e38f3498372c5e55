// Package settings decodes the platform's JSON settings of a server into overload.Settings. No other package uses the
// platform's names, words and units. Decoding returns no errors: it skips unknown names, and a value that is missing or
// has the wrong type leaves its field at the default.
package settings

import (
	"math"
	"time"

	"frosthub/overload"

	"github.com/valyala/fastjson"
)

var idempotencyWords = map[string]overload.Idempotency{
	"retryable": overload.Replayable,
	"dedup":     overload.Deduplicated,
	"fragile":   overload.NonReplayable,
}

var downstreamWords = map[string]overload.Downstream{
	"tier":        overload.DownstreamTier,
	"one_for_all": overload.DownstreamShared,
}

var gaugeWords = map[string]overload.Gauge{
	"cpu_busy": overload.GaugeBusy,
	"runnable": overload.GaugeRunnable,
}

// cancellation decodes "halt". Every word except "off" means that runs can be stopped. All words except "off" and
// "freeze" give CancelDrop, unknown words too.
func cancellation(word string, found bool) overload.Cancellation {
	switch {
	case !found || word == "off":
		return overload.CancelOff
	case word == "freeze":
		return overload.CancelPause
	}
	return overload.CancelDrop
}

// signalMeaning decodes "signal". Every word except "off" requests a load signal. An unknown word gives SignalWeight, the
// plain meaning.
func signalMeaning(word string, found bool) overload.SignalMeaning {
	switch {
	case !found || word == "off":
		return overload.SignalOff
	case word == "floor":
		return overload.SignalFloor
	case word == "allowance":
		return overload.SignalAllowance
	}
	return overload.SignalWeight
}

// Decode returns the settings in a JSON object. For nil or another JSON value all settings have their defaults.
func Decode(v *fastjson.Value) overload.Settings {
	top := objectOf(v)
	backend := objectOf(top["familyInfo"])
	return overload.Settings{
		BatchInterval: top.duration("tickUs").Value,
		Tier:          top.number("tier").Value,
		Servers:       top.number("servers").Value,
		Backend:       decodeBackend(backend),
		Rules:         decodeRules(objectOf(top["invariants"])),
		Limits:        decodeLimits(objectOf(top["limits"])),
		Handlers:      decodeHandlers(top.array("classes"), backend.array("classSkipWorth")),
		Customers:     decodeCustomers(top.array("tenants")),
	}
}

func decodeBackend(o object) overload.Backend {
	return overload.Backend{
		Cores:           o.number("cores").Value,
		MemoryKB:        o.number("memoryKb"),
		RunMemoryFactor: o.number("runFactor").Value,
		KeySizeKB:       o.number("keyKb").Value,
		Cold:            o.bool("cold"),
		Cancellation:    cancellation(o.lookupText("halt")),
		Signal:          signalMeaning(o.lookupText("signal")),
		Downstream:      downstreamWords[o.text("downstream")],
		CallShare:       o.number("callsOut").Value,
		CallShareWindow: o.duration("callsOverUs"),
		CallLinger:      o.duration("lingerUs").Value,
		ReuseFor:        o.duration("shareForUs").Value,
		EdgeNodes:       o.number("senders").Value,
		Gauges:          decodeGauges(o.array("ownStats")),
	}
}

func decodeRules(o object) overload.PlatformRules {
	return overload.PlatformRules{
		CollapseFactor: o.number("fallMultiple"),
		ColdCapacity:   o.number("coldFrom"),
		WarmUpTime:     o.duration("coldUs").Value,
		DrainGrace:     o.duration("drainGraceUs").Value,
	}
}

func decodeLimits(o object) overload.RetryAfterLimits {
	return overload.RetryAfterLimits{
		RetryAfter:    o.bool("retryAfter"),
		MaxRetryAfter: o.duration("maxRetryAfterUs"),
	}
}

// decodeHandlers decodes the handlers. It returns an entry for every item, even one of the wrong type, because requests
// refer to handlers by index.
func decodeHandlers(items, skipValues []*fastjson.Value) []overload.Handler {
	var handlers []overload.Handler
	for i, item := range items {
		o := objectOf(item)
		h := overload.Handler{
			Name:           o.text("name"),
			ClientTimeout:  o.duration("giveUpUs"),
			ResponseTarget: o.duration("goalTimeUs"),
			Value:          o.number("credit"),
			LateValue:      o.number("lateShare").Value,
			Idempotency:    idempotencyWords[o.text("idempotency")],
			Window:         o.duration("windowUs").Value,
		}
		if i < len(skipValues) {
			h.SkipValue = number(skipValues[i]).Value
		}
		handlers = append(handlers, h)
	}
	return handlers
}

func decodeCustomers(items []*fastjson.Value) []overload.Customer {
	var customers []overload.Customer
	for _, item := range items {
		o := objectOf(item)
		customers = append(customers, overload.Customer{
			Name:           o.text("name"),
			QuotaPerSecond: o.number("quotaPerS").Value,
		})
	}
	return customers
}

func decodeGauges(items []*fastjson.Value) []overload.Gauge {
	var gauges []overload.Gauge
	for _, item := range items {
		word, _ := text(item)
		gauges = append(gauges, gaugeWords[word])
	}
	return gauges
}

// object maps the names of the members of a JSON object to their values. If several members have the same name, it holds
// the last one.
type object map[string]*fastjson.Value

// objectOf returns the members of a JSON object, or nil if v is nil or not an object.
func objectOf(v *fastjson.Value) object {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil
	}
	members := object{}
	v.GetObject().Visit(func(name []byte, member *fastjson.Value) { members[string(name)] = member })
	return members
}

func (o object) number(name string) overload.Optional[float64] { return number(o[name]) }

// duration returns a member that is a number of microseconds, as a duration.
func (o object) duration(name string) overload.Optional[time.Duration] {
	n := number(o[name])
	if !n.Set {
		return overload.Optional[time.Duration]{}
	}
	return overload.Some(MicrosToDuration(n.Value))
}

func (o object) bool(name string) bool {
	v := o[name]
	return v != nil && v.Type() == fastjson.TypeTrue
}

func (o object) lookupText(name string) (word string, found bool) { return text(o[name]) }

func (o object) text(name string) string {
	word, _ := text(o[name])
	return word
}

func (o object) array(name string) []*fastjson.Value { return o[name].GetArray() }

func number(v *fastjson.Value) overload.Optional[float64] {
	if v == nil || v.Type() != fastjson.TypeNumber {
		return overload.Optional[float64]{}
	}
	return overload.Some(v.GetFloat64())
}

func text(v *fastjson.Value) (word string, found bool) {
	if v == nil || v.Type() != fastjson.TypeString {
		return "", false
	}
	return string(v.GetStringBytes()), true
}

// MicrosToDuration converts a number of microseconds to a duration, rounded towards zero. A number that is too large
// for a duration gives the longest duration.
func MicrosToDuration(us float64) time.Duration {
	if us >= math.MaxInt64/1000 {
		return math.MaxInt64
	}
	return time.Duration(us) * time.Microsecond
}
