package settings

import (
	"math"
	"testing"
	"time"

	"frosthub/overload"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fastjson"
)

const complete = `{
	"tickUs": 5000, "servers": 14, "tier": 1, "tiers": ["intake", "policy"], "objectiveMix": {"whole": 0.55},
	"classes": [
		{"name": "status", "credit": 1.5, "giveUpUs": 3600000, "goalTimeUs": 1400000, "idempotency": "retryable",
			"lateShare": 0.2, "windowUs": 5000000},
		{"name": "dedup", "idempotency": "dedup"},
		{"name": "file-claim", "idempotency": "fragile"},
		7
	],
	"familyInfo": {
		"cores": 6, "memoryKb": 59382.5, "runFactor": 8.0, "keyKb": 209.18, "cold": true, "halt": "freeze",
		"signal": "allowance", "downstream": "one_for_all", "callsOut": 5.31, "callsOverUs": 4000000, "lingerUs": 200000,
		"shareForUs": 800000, "senders": 5, "ownStats": ["cpu_busy", "mem_used", "runnable", 1],
		"classSkipWorth": [0.5, "much", 0.25]
	},
	"invariants": {"fallMultiple": 8.0, "coldFrom": 0.21, "coldUs": 18000000, "drainGraceUs": 1800000, "fallUs": 2000000},
	"limits": {"retryAfter": true, "maxRetryAfterUs": 1000000, "cpuUsPerS": 60000},
	"tenants": [{"name": "donau-apo", "quotaPerS": 114.0, "share": 0.31}, null]
}`

func TestDecode(t *testing.T) {
	for _, test := range []struct {
		name, json string
		want       overload.Settings
	}{
		{"complete", complete, overload.Settings{
			BatchInterval: 5 * time.Millisecond, Servers: 14, Tier: 1,
			Handlers: []overload.Handler{
				{
					Name: "status", Value: overload.Some(1.5), ClientTimeout: overload.Some(3600 * time.Millisecond),
					ResponseTarget: overload.Some(1400 * time.Millisecond), Idempotency: overload.Replayable,
					LateValue: 0.2, Window: 5 * time.Second, SkipValue: 0.5,
				},
				{Name: "dedup", Idempotency: overload.Deduplicated},
				{Name: "file-claim", Idempotency: overload.NonReplayable, SkipValue: 0.25},
				{},
			},
			Backend: overload.Backend{
				Cores: 6, MemoryKB: overload.Some(59382.5), RunMemoryFactor: 8, KeySizeKB: 209.18, Cold: true,
				Cancellation: overload.CancelPause, Signal: overload.SignalAllowance, Downstream: overload.DownstreamShared,
				CallShare: 5.31, CallShareWindow: overload.Some(4 * time.Second), CallLinger: 200 * time.Millisecond,
				ReuseFor: 800 * time.Millisecond, EdgeNodes: 5,
				Gauges: []overload.Gauge{overload.GaugeBusy, overload.GaugeOther, overload.GaugeRunnable, overload.GaugeOther},
			},
			Rules: overload.PlatformRules{
				CollapseFactor: overload.Some(8.0), ColdCapacity: overload.Some(0.21), WarmUpTime: 18 * time.Second,
				DrainGrace: 1800 * time.Millisecond,
			},
			Limits:    overload.RetryAfterLimits{RetryAfter: true, MaxRetryAfter: overload.Some(time.Second)},
			Customers: []overload.Customer{{Name: "donau-apo", QuotaPerSecond: 114}, {}},
		}},
		{"empty", `{}`, overload.Settings{}},
		{"not an object", `[{"tier": 1}]`, overload.Settings{}},
		{
			"values of wrong types are ignored",
			`{"tickUs": "1", "servers": true, "tier": null, "classes": {}, "tenants": 3, "invariants": [], "limits": {"retryAfter": 1},
			"familyInfo": {"cores": "6", "memoryKb": {}, "cold": "yes", "halt": 1, "signal": false, "downstream": 0, "ownStats": "cpu_busy"}}`,
			overload.Settings{},
		},
		{
			"zero is a value", `{"familyInfo": {"memoryKb": 0}, "classes": [{"giveUpUs": 0}]}`,
			overload.Settings{
				Backend:  overload.Backend{MemoryKB: overload.Some(0.0)},
				Handlers: []overload.Handler{{ClientTimeout: overload.Some(time.Duration(0))}},
			},
		},
		{
			"unknown words", `{"familyInfo": {"halt": "melt", "signal": "smoke", "downstream": "deep"}, "classes": [{"idempotency": "?"}]}`,
			overload.Settings{
				Backend:  overload.Backend{Cancellation: overload.CancelDrop, Signal: overload.SignalWeight},
				Handlers: []overload.Handler{{}},
			},
		},
		{"the last member of a name wins", `{"tier": 1, "tier": 2, "servers": 3, "servers": "none"}`, overload.Settings{Tier: 2}},
		{
			"off", `{"familyInfo": {"halt": "off", "signal": "off", "downstream": "off"}}`, overload.Settings{},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			v, err := fastjson.Parse(test.json)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, Decode(v)); diff != "" {
				t.Error(diff)
			}
		})
	}
	t.Run("nil", func(t *testing.T) {
		if diff := cmp.Diff(overload.Settings{}, Decode(nil)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestMicrosToDuration(t *testing.T) {
	for _, test := range []struct {
		micros float64
		want   time.Duration
	}{
		{1.9, time.Microsecond},
		{-3, -3 * time.Microsecond},
		{1e30, math.MaxInt64},
	} {
		if got := MicrosToDuration(test.micros); got != test.want {
			t.Errorf("Micros(%v) is %v, want %v", test.micros, got, test.want)
		}
	}
}
