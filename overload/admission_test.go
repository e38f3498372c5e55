package overload

import (
	"testing"
	"time"
)

// TestCustomerQuota checks that a server grants its share of a quota with some slack, and two seconds of it at once.
func TestCustomerQuota(t *testing.T) {
	for _, test := range []struct {
		name                   string
		quotaPerSecond         float64
		atOnce, perSecondAfter int
	}{
		{"no quota", 0, 1000, 1000},
		{"a quota of 8 on 2 servers", 8, 10, 5},
		{"less than a request a second", 0.8, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			const start = time.Minute
			quota := newCustomerQuota(&Customer{QuotaPerSecond: test.quotaPerSecond}, 2, start)
			granted := func(now time.Duration) int {
				count := 0
				for count < 1000 && quota.take(now) {
					count++
				}
				return count
			}
			if got := granted(start); got != test.atOnce {
				t.Errorf("%d requests granted at once, want %d", got, test.atOnce)
			}
			if got := granted(start + time.Second); got != test.perSecondAfter {
				t.Errorf("%d requests granted a second later, want %d", got, test.perSecondAfter)
			}
		})
	}
}

// TestOverQuota checks that a request over its customer's quota is rejected in a situation in which other requests
// are queued.
func TestOverQuota(t *testing.T) {
	settings := standardSettings()
	settings.Backend.Cores = 1
	settings.Backend.Cancellation = CancelOff
	settings.Customers = []Customer{{Name: "small", QuotaPerSecond: 0.4}, {Name: "large", QuotaPerSecond: 1000}}
	c := New(1, settings, 0)
	now := time.Duration(0)
	for id := range uint64(2 * minSamples) { // afterwards the expected run time is 300 ms
		c.Handle(now, []Event{{Kind: Arrived, ID: id + 1, Customer: 1, SizeKB: 1}})
		now += 300 * time.Millisecond
		c.Handle(now, []Event{{Kind: Ended, ID: id + 1, Outcome: OK}})
		c.Handle(now, []Event{{Kind: Timer, Gauges: []float64{1, 1}}})
	}
	for _, test := range []struct {
		id       uint64
		customer int
		want     ActionKind
	}{
		{100, 0, Start}, // the only request within the quota
		{101, 0, Reject},
		{102, 1, noAnswer}, // queued
	} {
		got := noAnswer
		for _, action := range c.Handle(now, []Event{{Kind: Arrived, ID: test.id, Customer: test.customer, SizeKB: 1}}) {
			if action.ID == test.id {
				got = action.Kind
			}
		}
		if got != test.want {
			t.Errorf("request %d: %v, want %v", test.id, got, test.want)
		}
	}
}
