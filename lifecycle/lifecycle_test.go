package lifecycle

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestServing checks that a process that was not notified never ends, and that the first termination notice alone counts.
func TestServing(t *testing.T) {
	var p Process
	if p.Advance(time.Hour, PendingWork{}) || p.CheckStart(time.Hour) != Allowed || p.CheckAccept() != Allowed {
		t.Error("a process that serves ends, or accepts nothing")
	}
	if !p.BeginDrain(1000*ms, 400*ms, 2000*ms) || p.BeginDrain(1500*ms, 400*ms, 9000*ms) || p.KillTime() != 3000*ms {
		t.Error("the first notice counts, and no other: kill at", p.KillTime())
	}
}

// TestPhases checks the phases in their order, by the time of the kill alone while work is pending.
func TestPhases(t *testing.T) {
	var p Process
	p.BeginDrain(1000*ms, 400*ms, 2000*ms)
	p.BeginDrain(1500*ms, 400*ms, 9000*ms) // changes nothing
	pending := PendingWork{Unanswered: 1}
	for _, test := range []struct {
		now     time.Duration
		pending PendingWork
		phase   Phase
		start   Decision // of a request that is read now
		accept  Decision
	}{
		{1000 * ms, pending, Draining, Allowed, Allowed},
		{1400 * ms, pending, Draining, Allowed, Allowed},
		{1401 * ms, PendingWork{}, Draining, AfterGracePeriod, Allowed}, // nothing is pending, and it still listens
		{2699 * ms, pending, Draining, AfterGracePeriod, Allowed},
		{2700 * ms, pending, Closing, AfterGracePeriod, ProcessExiting},
		{2899 * ms, pending, Closing, AfterGracePeriod, ProcessExiting},
		{2900 * ms, pending, Ending, AfterGracePeriod, ProcessExiting},
		{2979 * ms, pending, Ending, AfterGracePeriod, ProcessExiting},
		{2980 * ms, pending, Ended, AfterGracePeriod, ProcessExiting},
	} {
		t.Run(test.now.String(), func(t *testing.T) {
			for p.Advance(test.now, test.pending) {
			}
			if p.Phase() != test.phase || p.CheckStart(test.now) != test.start || p.CheckAccept() != test.accept {
				t.Errorf("%v, start %v, accept %v", p.Phase(), p.CheckStart(test.now), p.CheckAccept())
			}
		})
	}
}

// TestExit checks that any kind of pending work keeps a closing process from its end, and that it ends as soon as there is
// none.
func TestExit(t *testing.T) {
	for _, pending := range []PendingWork{
		{Unanswered: 1},
		{Connections: 1},
		{Accepting: true},
		{Unhandled: true},
		{Unsaved: true},
	} {
		t.Run(fmt.Sprintf("%+v", pending), func(t *testing.T) {
			var p Process
			p.BeginDrain(0, 0, 1000*ms)
			p.Advance(700*ms, pending)
			if p.Advance(701*ms, pending) || p.CheckExit(701*ms, pending) != WorkPending {
				t.Error("it ends, and work is pending")
			}
			if !p.Advance(702*ms, PendingWork{}) || p.Phase() != Ended || p.CheckExit(702*ms, PendingWork{}) != Allowed {
				t.Error("it does not end, and nothing is pending")
			}
		})
	}
}

// TestKillAfter checks that the delay is the least of what is configured and what the platform's rules allow.
func TestKillAfter(t *testing.T) {
	for _, test := range []struct{ configured, longestTimeout, want time.Duration }{
		{3200 * ms, 2500 * ms, 3000 * ms},
		{3100 * ms, 1200 * ms, 1900 * ms},
		{1000 * ms, 2500 * ms, 1000 * ms},
		{9000 * ms, 0, 3000 * ms},
	} {
		if got := KillDelay(test.configured, test.longestTimeout); got != test.want {
			t.Errorf("configured %v, longest timeout %v: %v", test.configured, test.longestTimeout, got)
		}
	}
}

// TestHeartbeat checks that what a node hears of after it was suspended counts from before that.
func TestHeartbeat(t *testing.T) {
	var h EventTimeBound
	for now := time.Hour; now <= time.Hour+1000*ms; now += 10 * ms {
		h.Record(now)
	}
	if ago := time.Hour + 1000*ms - h.Earliest(); ago < maxUnnoticedHold || ago > 2*maxUnnoticedHold+10*ms {
		t.Error("the earliest moment of a node that runs on is ago by", ago)
	}
	h.Record(time.Hour + 3000*ms)
	if h.Earliest() > time.Hour+1000*ms {
		t.Error("a suspension is not counted:", h.Earliest()-time.Hour)
	}
}

// TestEnd checks that the sending side of a connection stays open while anything that was received has no response.
func TestEnd(t *testing.T) {
	for _, test := range []struct {
		connection Connection
		want       Decision
	}{
		{Connection{}, Allowed},
		{Connection{OpenRequests: 1}, RequestOpen},
		{Connection{HalfRead: true}, PartiallyRead},
		{Connection{Unread: true}, InputUnread},
		{Connection{Unsent: true}, OutputUnsent},
		{Connection{Broken: true, HalfRead: true, Unread: true}, Allowed},
		{Connection{Broken: true, OpenRequests: 1}, RequestOpen},
	} {
		t.Run(fmt.Sprintf("%+v", test.connection), func(t *testing.T) {
			if got := CheckCloseWrite(test.connection); got != test.want {
				t.Error(got)
			}
		})
	}
}

// TestRepeat checks that a command of unknown outcome is sent again only if it does no harm, or if the first is proved to
// have had no effect.
func TestRepeat(t *testing.T) {
	for _, test := range []struct {
		command Command
		want    Decision
	}{
		{Command{Wanted: true}, MayHaveRun},
		{Command{Wanted: true, Idempotent: true}, Allowed},
		{Command{Wanted: true, NeverRan: true}, Allowed},
		{Command{Idempotent: true, NeverRan: true}, ClientGone},
	} {
		t.Run(fmt.Sprintf("%+v", test.command), func(t *testing.T) {
			if got := CheckRetry(test.command); got != test.want {
				t.Error(got)
			}
		})
	}
}

// TestAnswer checks that a request is answered once, and only while its client waits.
func TestAnswer(t *testing.T) {
	if CheckAnswer(false, true) != Allowed || CheckAnswer(true, true) != AlreadyAnswered || CheckAnswer(false, false) != ClientGone {
		t.Error("a request is not answered once, or without a client")
	}
}
