package arrival

import (
	"testing"
	"time"
)

const (
	ms    = time.Millisecond
	epoch = 1_700_000_000 * time.Second
)

// node runs turns each 20 ms, with its wall clock off by so much.
type node struct {
	Clock
	mono, off time.Duration
}

func (n *node) run(d time.Duration) (step, stall time.Duration) {
	for end := n.mono + d; n.mono < end; {
		n.mono += 20 * ms
		s, l := n.Turn(n.mono, epoch+n.mono+n.off)
		step, stall = step+s, max(stall, l)
		n.ExpectTurn(n.mono + 20*ms)
	}
	return step, stall
}

func (n *node) stands(d time.Duration) (stall time.Duration) {
	n.mono += d
	_, stall = n.Turn(n.mono, epoch+n.mono+n.off)
	n.ExpectTurn(n.mono + 20*ms)
	return stall
}

// stamped is the stamp of a request that came so long ago, by a right clock.
func (n *node) stamped(ago time.Duration) time.Duration { return epoch + n.mono - ago }

// TestUnread: stamps are believed while the clocks agree, and within what can be once they have not.
func TestUnread(t *testing.T) {
	n := &node{mono: time.Hour}
	n.run(5 * time.Second)
	for _, ago := range []time.Duration{0, 30 * ms, 700 * ms, 3 * time.Second, -5 * ms} {
		if got := n.QueueDelay(n.stamped(ago), true); got != max(0, ago) {
			t.Errorf("clocks agree, %v ago: %v", ago, got)
		}
	}
	if stall := n.stands(time.Second); stall < 900*ms {
		t.Error("a standstill is not told:", stall)
	}
	if got := n.QueueDelay(n.stamped(800*ms), true); got != 800*ms {
		t.Error("after a standstill:", got)
	}
	for _, off := range []time.Duration{2 * time.Second, -2 * time.Second, 10 * time.Hour} {
		n := &node{mono: time.Hour}
		n.run(time.Second)
		n.off = off
		if step, _ := n.run(20 * ms); step != off || !n.Diverged() {
			t.Error("a step is not told:", step)
		}
		for range 100 {
			n.run(20 * ms)
			if got := n.QueueDelay(n.stamped(10*ms), true); got > 10*ms {
				t.Fatalf("stepped by %v: %v", off, got)
			}
		}
		n.stands(time.Second)
		if got := n.QueueDelay(n.stamped(900*ms), true); got < 850*ms || got > 900*ms {
			t.Errorf("stepped by %v, after a standstill: %v", off, got)
		}
		if got := n.QueueDelay(n.stamped(-time.Hour), false); got != 0 {
			t.Errorf("stepped by %v, a stranger's of the future: %v", off, got)
		}
		if got := n.QueueDelay(n.stamped(10*ms), true); got > 10*ms {
			t.Errorf("stepped by %v, after a stranger's: %v", off, got)
		}
		if got := n.QueueDelay(n.stamped(20*time.Second), true); got > time.Second+20*ms+maxPromptDelay {
			t.Errorf("stepped by %v, older than can be: %v", off, got)
		}
	}
}

// TestWrongFromTheStart: a clock that was off before the node started is found out by its requests.
func TestWrongFromTheStart(t *testing.T) {
	n := &node{mono: time.Hour, off: time.Minute}
	for range 5 { // so many reqs are refused as older than their client timeout: they never ran
		n.run(suspicionTime / 4)
		n.QueueDelay(n.stamped(5*ms), true)
	}
	if got := n.QueueDelay(n.stamped(5*ms), true); got > maxPromptDelay {
		t.Error("still believed:", got)
	}
}
