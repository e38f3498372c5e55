package lifecycle

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestServing checks that a process without a termination notice never ends, and that only the first notice has an
// effect.
func TestServing(t *testing.T) {
	var p Process
	if p.Advance(time.Hour, PendingWork{}) || p.CheckStart(time.Hour) != Allowed || p.CheckAccept() != Allowed {
		t.Error("a serving process advances, or accepts or starts no requests")
	}
	if !p.BeginDrain(1000*ms, 400*ms, 2000*ms) || p.BeginDrain(1500*ms, 400*ms, 9000*ms) || p.KillTime() != 3000*ms {
		t.Error("not only the first notice has an effect: kill time", p.KillTime())
	}
}

// TestPhases checks the order of the phases, which depend only on the time until the kill while work is pending.
func TestPhases(t *testing.T) {
	var p Process
	p.BeginDrain(1000*ms, 400*ms, 2000*ms)
	p.BeginDrain(1500*ms, 400*ms, 9000*ms) // has no effect
	pending := PendingWork{Unanswered: 1}
	for _, test := range []struct {
		now     time.Duration
		pending PendingWork
		phase   Phase
		start   Decision // for a request that is read now
		accept  Decision
	}{
		{1000 * ms, pending, Draining, Allowed, Allowed},
		{1400 * ms, pending, Draining, Allowed, Allowed},
		{1401 * ms, PendingWork{}, Draining, AfterGracePeriod, Allowed}, // nothing is pending, but the process still listens
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
				t.Errorf("phase %v, start %v, accept %v", p.Phase(), p.CheckStart(test.now), p.CheckAccept())
			}
		})
	}
}

// TestCheckExit checks that any kind of pending work prevents a closing process from exiting, and that the process
// ends as soon as no work is pending.
func TestCheckExit(t *testing.T) {
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
				t.Error("the process ends although work is pending")
			}
			if !p.Advance(702*ms, PendingWork{}) || p.Phase() != Ended || p.CheckExit(702*ms, PendingWork{}) != Allowed {
				t.Error("the process does not end although no work is pending")
			}
		})
	}
}

// TestKillDelay checks that the delay is the minimum of the configured time and the platform limits.
func TestKillDelay(t *testing.T) {
	for _, test := range []struct{ configured, longestTimeout, want time.Duration }{
		{3200 * ms, 2500 * ms, 3000 * ms},
		{3100 * ms, 1200 * ms, 1900 * ms},
		{1000 * ms, 2500 * ms, 1000 * ms},
		{9000 * ms, 0, 3000 * ms},
	} {
		if got := KillDelay(test.configured, test.longestTimeout); got != test.want {
			t.Errorf("configured %v, longest timeout %v: kill delay %v", test.configured, test.longestTimeout, got)
		}
	}
}

// TestEventTimeBound checks that the bound for an event that is processed after a suspension precedes the suspension.
func TestEventTimeBound(t *testing.T) {
	var h EventTimeBound
	for now := time.Hour; now <= time.Hour+1000*ms; now += 10 * ms {
		h.Record(now)
	}
	if ago := time.Hour + 1000*ms - h.Earliest(); ago < maxUndetectedSuspension || ago > 2*maxUndetectedSuspension+10*ms {
		t.Error("bound of a node that was not suspended is too early or too late, ago:", ago)
	}
	h.Record(time.Hour + 3000*ms)
	if h.Earliest() > time.Hour+1000*ms {
		t.Error("bound does not precede the suspension:", h.Earliest()-time.Hour)
	}
}

// TestCheckCloseWrite checks that the sending side of a connection stays open while any received request has no
// response.
func TestCheckCloseWrite(t *testing.T) {
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

// TestCheckRetry checks that a command with an unknown outcome is retried only if it is idempotent or the first
// attempt is proved to have had no effect.
func TestCheckRetry(t *testing.T) {
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

// TestCheckAnswer checks that a request is answered once, and only while its client waits.
func TestCheckAnswer(t *testing.T) {
	if CheckAnswer(false, true) != Allowed || CheckAnswer(true, true) != AlreadyAnswered || CheckAnswer(false, false) != ClientGone {
		t.Error("wrong decision on an unanswered request, a second answer or an answer without a client")
	}
}
