package arrival

import (
	"testing"
	"time"
)

const (
	ms    = time.Millisecond
	epoch = 1_700_000_000 * time.Second
	turn  = 20 * ms
)

// node takes turns, with a wall clock that is off by a given time.
type node struct {
	DelayEstimator
	mono   time.Duration
	offset time.Duration
}

// takeTurn takes a turn after the given time.
func (n *node) takeTurn(after time.Duration) (step, delay time.Duration) {
	n.mono += after
	step, delay = n.BeginTurn(n.mono, epoch+n.mono+n.offset)
	n.ExpectTurn(n.mono + turn)
	return step, delay
}

// run takes turns in time for a while and returns the sum of the steps.
func (n *node) run(d time.Duration) time.Duration {
	var sum time.Duration
	for end := n.mono + d; n.mono < end; {
		step, _ := n.takeTurn(turn)
		sum += step
	}
	return sum
}

// stampOf returns the stamp of a request that came so long ago, by a clock that is right.
func (n *node) stampOf(ago time.Duration) time.Duration { return epoch + n.mono - ago }

// TestTrustedClocks checks that stamps are believed while the clocks agree.
func TestTrustedClocks(t *testing.T) {
	n := &node{mono: time.Hour}
	n.run(5 * time.Second)
	for _, ago := range []time.Duration{0, 30 * ms, 700 * ms, 3 * time.Second, -5 * ms} {
		if got := n.QueueDelay(n.stampOf(ago), true); got != max(0, ago) {
			t.Errorf("%v ago: %v", ago, got)
		}
	}
	if _, delay := n.takeTurn(time.Second); delay < 900*ms {
		t.Error("a stall is not reported:", delay)
	}
	if got := n.QueueDelay(n.stampOf(800*ms), true); got != 800*ms {
		t.Error("after a stall:", got)
	}
}

// TestSteppedClock checks that stamps are believed within what is plausible once the wall clock has stepped.
func TestSteppedClock(t *testing.T) {
	for _, offset := range []time.Duration{2 * time.Second, -2 * time.Second, 10 * time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			n := &node{mono: time.Hour}
			n.run(time.Second)
			n.offset = offset
			if step := n.run(turn); step != offset || !n.Diverged() {
				t.Error("a step is not reported:", step)
			}
			for range 100 {
				n.run(turn)
				if got := n.QueueDelay(n.stampOf(10*ms), true); got > 10*ms {
					t.Fatal("a request that is read at once:", got)
				}
			}
			n.takeTurn(time.Second)
			if got := n.QueueDelay(n.stampOf(900*ms), true); got < 850*ms || got > 900*ms {
				t.Error("after a stall:", got)
			}
			if got := n.QueueDelay(n.stampOf(-time.Hour), false); got != 0 {
				t.Error("an unverified stamp of the future:", got)
			}
			if got := n.QueueDelay(n.stampOf(10*ms), true); got > 10*ms {
				t.Error("after an unverified stamp:", got)
			}
			if got := n.QueueDelay(n.stampOf(20*time.Second), true); got > time.Second+turn+maxPromptDelay {
				t.Error("older than is plausible:", got)
			}
		})
	}
}

// TestWrongFromTheStart checks that a clock that was wrong before the node started is detected by its requests.
func TestWrongFromTheStart(t *testing.T) {
	n := &node{mono: time.Hour, offset: time.Minute}
	for range 5 { // so many requests are rejected as older than their client timeout: they never ran
		n.run(suspicionTime / 4)
		n.QueueDelay(n.stampOf(5*ms), true)
	}
	if got := n.QueueDelay(n.stampOf(5*ms), true); got > maxPromptDelay {
		t.Error("still believed:", got)
	}
}
