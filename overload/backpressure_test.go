package overload

import (
	"testing"
	"time"
)

// TestTrackers: each tracker counts a breach from its limit on.
func TestTrackers(t *testing.T) {
	limits := trackerLimits{memoryCounts: true, minMemoryKB: 5, variantKB: 20}
	unused := trackerLimits{memoryCounts: false, minMemoryKB: 5, variantKB: 20}
	const now = time.Minute
	for _, test := range []struct {
		name         string
		limits       trackerLimits
		elapsed, cpu time.Duration
		memoryKB     float64
		want         int
	}{
		{"nothing", limits, 499 * time.Millisecond, 349 * time.Millisecond, 19.9, 0},
		{"elapsed time", limits, 500 * time.Millisecond, 0, 0, 1},
		{"CPU time", limits, 0, 350 * time.Millisecond, 0, 1},
		{"memory", limits, 0, 0, 20, 1},
		{"memory under the share of the node", trackerLimits{memoryCounts: true, minMemoryKB: 30, variantKB: 20}, 0, 0, 20, 0},
		{"memory doesn't count", unused, 0, 0, 20, 0},
		{"all", limits, time.Second, time.Second, 100, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &request{
				handler:   &handler{clientTimeout: time.Second},
				startedAt: now - test.elapsed,
				cpuTime:   test.cpu,
			}
			if got := test.limits.breaches(now, r, test.memoryKB); got != test.want {
				t.Errorf("%d breaches, want %d", got, test.want)
			}
		})
	}
}

// TestMovingAverage: the average is that of the last hundred completions, and is used once there are so many.
func TestMovingAverage(t *testing.T) {
	b := newBackpressure()
	for i := range 150 {
		_, full := b.movingAverage()
		if want := i >= movingAverageWindow; full != want {
			t.Errorf("after %d completions full is %v, want %v", i, full, want)
		}
		memoryKB := 1.0
		if i >= 50 {
			memoryKB = 3
		}
		b.recordCompletion(memoryKB)
	}
	if average, _ := b.movingAverage(); average < 2.999 || average > 3.001 {
		t.Errorf("the average is %v, want 3", average)
	}
}

// TestCancellationBudget: both budgets save up ten cancellations. One grows with completions, the other with time.
func TestCancellationBudget(t *testing.T) {
	b := newBackpressure()
	if got := b.budget(); got != 10 {
		t.Errorf("the first budget is %d, want 10", got)
	}
	for range 10 {
		b.spend()
	}
	b.refillRate(time.Hour)
	if got := b.budget(); got != 0 {
		t.Errorf("without completions the budget is %d, want 0", got)
	}
	for range 25 {
		b.recordCompletion(1)
	}
	if got := b.budget(); got != 2 {
		t.Errorf("after 25 completions the budget is %d, want 2", got)
	}
	b.rateTokens = 0
	b.refillRate(400 * time.Millisecond)
	if got := b.budget(); got != 1 {
		t.Errorf("after 400 ms the budget is %d, want 1", got)
	}
}
