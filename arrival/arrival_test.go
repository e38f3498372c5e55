package arrival

import (
	"testing"
	"time"
)

const (
	ms           = time.Millisecond
	epoch        = 1_700_000_000 * time.Second
	turnInterval = 20 * ms
)

// node runs turns with a wall clock that is off by offset.
type node struct {
	DelayEstimator
	mono   time.Duration
	offset time.Duration
}

// takeTurn starts a turn after the given time.
func (n *node) takeTurn(after time.Duration) (step, delay time.Duration) {
	n.mono += after
	step, delay = n.BeginTurn(n.mono, epoch+n.mono+n.offset)
	n.ExpectTurn(n.mono + turnInterval)
	return step, delay
}

// run takes punctual turns for a duration and returns the sum of the clock steps.
func (n *node) run(d time.Duration) time.Duration {
	var sum time.Duration
	for end := n.mono + d; n.mono < end; {
		step, _ := n.takeTurn(turnInterval)
		sum += step
	}
	return sum
}

// stampOf returns the time stamp of a request that arrived the given time ago, by a correct clock.
func (n *node) stampOf(ago time.Duration) time.Duration { return epoch + n.mono - ago }

// TestTrustedClocks checks that time stamps are trusted while the clocks agree.
func TestTrustedClocks(t *testing.T) {
	n := &node{mono: time.Hour}
	n.run(5 * time.Second)
	for _, ago := range []time.Duration{0, 30 * ms, 700 * ms, 3 * time.Second, -5 * ms} {
		if got := n.QueueDelay(n.stampOf(ago), true); got != max(0, ago) {
			t.Errorf("queue delay of a request that arrived %v ago: %v", ago, got)
		}
	}
	if _, delay := n.takeTurn(time.Second); delay < 900*ms {
		t.Error("stall is not reported, delay:", delay)
	}
	if got := n.QueueDelay(n.stampOf(800*ms), true); got != 800*ms {
		t.Error("queue delay after a stall:", got)
	}
}

// TestSteppedClock checks that time stamps count only within plausible limits once the wall clock has stepped.
func TestSteppedClock(t *testing.T) {
	for _, offset := range []time.Duration{2 * time.Second, -2 * time.Second, 10 * time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			n := &node{mono: time.Hour}
			n.run(time.Second)
			n.offset = offset
			if step := n.run(turnInterval); step != offset || !n.Diverged() {
				t.Error("clock step is not reported or does not cause divergence, step:", step)
			}
			for range 100 {
				n.run(turnInterval)
				if got := n.QueueDelay(n.stampOf(10*ms), true); got > 10*ms {
					t.Fatal("queue delay of a request that is read promptly:", got)
				}
			}
			n.takeTurn(time.Second)
			if got := n.QueueDelay(n.stampOf(900*ms), true); got < 850*ms || got > 900*ms {
				t.Error("queue delay after a stall:", got)
			}
			if got := n.QueueDelay(n.stampOf(-time.Hour), false); got != 0 {
				t.Error("queue delay with an untrusted time stamp in the future:", got)
			}
			if got := n.QueueDelay(n.stampOf(10*ms), true); got > 10*ms {
				t.Error("queue delay after an untrusted time stamp:", got)
			}
			if got := n.QueueDelay(n.stampOf(20*time.Second), true); got > time.Second+turnInterval+maxPromptDelay {
				t.Error("queue delay with an implausibly early time stamp:", got)
			}
		})
	}
}

// TestWrongFromTheStart checks that requests reveal a wall clock that was wrong before the node started.
func TestWrongFromTheStart(t *testing.T) {
	n := &node{mono: time.Hour, offset: time.Minute}
	for range 5 { // these requests seem older than their client timeout and would be rejected without a run
		n.run(divergenceTime / 4)
		n.QueueDelay(n.stampOf(5*ms), true)
	}
	if got := n.QueueDelay(n.stampOf(5*ms), true); got > maxPromptDelay {
		t.Error("time stamps are still trusted, queue delay:", got)
	}
}
