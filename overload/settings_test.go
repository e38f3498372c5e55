package overload

import (
	"strconv"
	"testing"
	"time"
)

// standardSettings returns settings with three handlers, one of each kind. Tests override individual settings.
func standardSettings() Settings {
	handler := func(idempotency Idempotency) Handler {
		return Handler{
			Idempotency:    idempotency,
			Value:          Some(1.0),
			ResponseTarget: Some(time.Second),
			ClientTimeout:  Some(2 * time.Second),
			Window:         5 * time.Second,
		}
	}
	return Settings{
		BatchInterval: time.Millisecond,
		Handlers:      []Handler{handler(Replayable), handler(Deduplicated), handler(NonReplayable)},
		Backend: Backend{
			Cores:           2,
			MemoryKB:        Some(1000.0),
			RunMemoryFactor: 4,
			KeySizeKB:       10,
			Cancellation:    CancelDrop,
			Downstream:      DownstreamTier,
			Signal:          SignalOff,
			Gauges:          []Gauge{GaugeBusy, GaugeRunnable},
		},
		Rules: PlatformRules{
			CollapseFactor: Some(8.0),
			DrainGrace:     time.Second,
			WarmUpTime:     10 * time.Second,
		},
		Limits: RetryAfterLimits{RetryAfter: true, MaxRetryAfter: Some(time.Second)},
	}
}

// settingFields returns pointers to the settings that traces may change, by field name.
func settingFields(s *Settings) map[string]any {
	return map[string]any{
		"Tier":                    &s.Tier,
		"Servers":                 &s.Servers,
		"Customers":               &s.Customers,
		"Handlers[0].SkipValue":   &s.Handlers[0].SkipValue,
		"Backend.Cores":           &s.Backend.Cores,
		"Backend.MemoryKB":        &s.Backend.MemoryKB,
		"Backend.RunMemoryFactor": &s.Backend.RunMemoryFactor,
		"Backend.Cold":            &s.Backend.Cold,
		"Backend.Cancellation":    &s.Backend.Cancellation,
		"Backend.Signal":          &s.Backend.Signal,
		"Backend.Downstream":      &s.Backend.Downstream,
		"Backend.CallShare":       &s.Backend.CallShare,
		"Backend.CallShareWindow": &s.Backend.CallShareWindow,
		"Backend.CallLinger":      &s.Backend.CallLinger,
		"Backend.ReuseFor":        &s.Backend.ReuseFor,
		"Backend.EdgeNodes":       &s.Backend.EdgeNodes,
		"Backend.Gauges":          &s.Backend.Gauges,
		"Rules.CollapseFactor":    &s.Rules.CollapseFactor,
		"Rules.ColdCapacity":      &s.Rules.ColdCapacity,
		"Rules.WarmUpTime":        &s.Rules.WarmUpTime,
		"Limits.RetryAfter":       &s.Limits.RetryAfter,
		"Limits.MaxRetryAfter":    &s.Limits.MaxRetryAfter,
	}
}

// changeSetting applies a set line of a trace. The value "none" removes a setting.
func changeSetting(t *testing.T, s *Settings, name, value string) {
	t.Helper()
	missing := value == "none"
	ok := true
	switch field := settingFields(s)[name].(type) {
	case *float64:
		*field = parseFloat(t, value)
	case *Optional[float64]:
		*field = Optional[float64]{}
		if !missing {
			*field = Some(parseFloat(t, value))
		}
	case *time.Duration:
		*field = 0
		if !missing {
			*field = parseDuration(t, value)
		}
	case *Optional[time.Duration]:
		*field = Optional[time.Duration]{}
		if !missing {
			*field = Some(parseDuration(t, value))
		}
	case *bool:
		parsed, err := strconv.ParseBool(value)
		*field = parsed
		ok = err == nil
	case *Cancellation:
		*field, ok = valueByName(value, CancelOff, CancelPause)
	case *SignalMeaning:
		*field, ok = valueByName(value, SignalOff, SignalAllowance)
	case *Downstream:
		*field, ok = valueByName(value, DownstreamOff, DownstreamShared)
	case *[]Gauge:
		*field = nil
		ok = missing
	case *[]Customer:
		*field = nil
		ok = missing
	default:
		t.Fatal("unknown setting", name)
	}
	if !ok {
		t.Fatal("invalid value of setting", name, value)
	}
}

// TestNames checks that each enumeration value has a unique name and that other values are invalid.
func TestNames(t *testing.T) {
	for _, test := range []struct {
		name  string
		names []string
	}{
		{"EventKind", eventKindNames[Arrived:]},
		{"Outcome", outcomeNames[OK:]},
		{"ActionKind", actionKindNames[Start:]},
		{"Idempotency", idempotencyNames[:]},
		{"Cancellation", cancellationNames[:]},
		{"SignalMeaning", signalMeaningNames[:]},
		{"Downstream", downstreamNames[:]},
		{"Gauge", gaugeNames[:]},
	} {
		t.Run(test.name, func(t *testing.T) {
			seen := map[string]bool{}
			for value, name := range test.names {
				if name == "" || seen[name] {
					t.Errorf("value %d has the empty or duplicate name %q", value, name)
				}
				seen[name] = true
			}
		})
	}
	if name := ActionKind(0).String(); name != "invalid" {
		t.Errorf("the zero ActionKind has the name %q", name)
	}
	if name := Gauge(200).String(); name != "invalid" {
		t.Errorf("an undefined Gauge has the name %q", name)
	}
}
