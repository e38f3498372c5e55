// Package settings turns the settings that an instance is given, as JSON, into the module's plain map.
package settings

import (
	"math"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// names maps the wire's names of settings to the module's. A name that is not here keeps its own.
var names = map[string]string{
	"classes": "handlers", "credit": "value", "giveUpUs": "client_timeout", "goalTimeUs": "response_target",
	"idempotency": "repeats", "lateShare": "late_share", "windowUs": "window", "tenants": "customers",
	"quotaPerS": "quota_per_s", "familyInfo": "backend", "invariants": "rules", "callsOut": "calls_share",
	"callsOverUs": "calls_over", "classCalls": "handler_calls", "classSkipWorth": "handler_skip_value",
	"fullChecks": "full_checks", "downstream": "below", "lingerUs": "linger", "keyKb": "key_size",
	"memoryKb": "memory", "ownStats": "gauges", "runFactor": "run_factor", "senders": "callers",
	"shareForUs": "share_for", "tellsGone": "tells_gone", "listFollows": "list_follows",
	"answerSlackUs": "answer_slack", "coldFrom": "cold_from", "coldUs": "cold_for",
	"drainGraceUs": "drain_grace", "fallMultiple": "fall_multiple", "fallUs": "fall_over",
	"maxRetryAfterUs": "max_retry_after", "retryAfter": "retry_after", "overShareWorth": "over_share_value",
	"tickUs": "batch_every", "passesDeadline": "tells_left", "heardForUs": "heard_for",
	"objectiveMix": "goal", "worstClass": "worst_handler",
}

// words maps the wire's words for values to the module's.
var words = map[string]string{
	"retryable": "replayable", "dedup": "uniqued", "fragile": "non-replayable",
	"discard": "drop", "freeze": "pause", "one_for_all": "shared",
	"cpu_busy": "busy", "mem_used": "memory",
}

// Map turns the wire's settings into a plain map in the module's names, times as durations.
func Map(v *fastjson.Value) map[string]any {
	out := map[string]any{}
	o, err := v.Object()
	if err != nil {
		return out
	}
	o.Visit(func(k []byte, v *fastjson.Value) {
		name := string(k)
		value := plain(v)
		if f, ok := value.(float64); ok && strings.HasSuffix(name, "Us") {
			value = Micros(f)
		}
		if n, ok := names[name]; ok {
			name = n
		}
		out[name] = value
	})
	return out
}

func plain(v *fastjson.Value) any {
	switch v.Type() {
	case fastjson.TypeObject:
		return Map(v)
	case fastjson.TypeArray:
		items := v.GetArray()
		out := make([]any, len(items))
		for i, item := range items {
			out[i] = plain(item)
		}
		return out
	case fastjson.TypeString:
		s := string(v.GetStringBytes())
		if w, ok := words[s]; ok {
			return w
		}
		return s
	case fastjson.TypeNumber:
		return v.GetFloat64()
	case fastjson.TypeTrue, fastjson.TypeFalse:
		return v.GetBool()
	}
	return nil
}

// Micros is a wire time as a duration; one too long for a duration is the longest.
func Micros(us float64) time.Duration {
	if us >= math.MaxInt64/1000 {
		return math.MaxInt64
	}
	return time.Duration(us) * time.Microsecond
}
