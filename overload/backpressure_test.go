package overload

import (
	"testing"
	"time"
)

// TestTrackers checks that each tracker counts a breach as soon as its limit is reached.
func TestTrackers(t *testing.T) {
	limits := trackerLimits{memoryTrackerActive: true, nodeShareKB: 5, averageMultipleKB: 20}
	unused := trackerLimits{memoryTrackerActive: false, nodeShareKB: 5, averageMultipleKB: 20}
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
		{"memory under the share of the node", trackerLimits{memoryTrackerActive: true, nodeShareKB: 30, averageMultipleKB: 20}, 0, 0, 20, 0},
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

// TestMovingAverage checks that the average covers the last hundred completions, and is used only after that many.
func TestMovingAverage(t *testing.T) {
	b := newBackpressure()
	for i := range 150 {
		_, full := b.movingAverage()
		if want := i >= movingAverageWindow; full != want {
			t.Errorf("after %d completions: full = %v, want %v", i, full, want)
		}
		memoryKB := 1.0
		if i >= 50 {
			memoryKB = 3
		}
		b.recordCompletion(memoryKB)
	}
	if average, _ := b.movingAverage(); average < 2.999 || average > 3.001 {
		t.Errorf("moving average %v, want 3", average)
	}
}

// TestCancellationBudget checks that both budgets have a capacity of ten cancellations, and that one refills with
// completions and the other with time.
func TestCancellationBudget(t *testing.T) {
	b := newBackpressure()
	if got := b.budget(); got != 10 {
		t.Errorf("initial budget %d, want 10", got)
	}
	for range 10 {
		b.spendCancellation()
	}
	b.refillRateBudget(time.Hour)
	if got := b.budget(); got != 0 {
		t.Errorf("budget without completions %d, want 0", got)
	}
	for range 25 {
		b.recordCompletion(1)
	}
	if got := b.budget(); got != 2 {
		t.Errorf("budget after 25 completions %d, want 2", got)
	}
	b.rateTokens = 0
	b.refillRateBudget(400 * time.Millisecond)
	if got := b.budget(); got != 1 {
		t.Errorf("budget after 400 ms %d, want 1", got)
	}
}
