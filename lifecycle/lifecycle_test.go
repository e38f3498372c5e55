package lifecycle

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// TestProcess: the phases in their order, by the kill alone where work is left, and at once from the closing on where none is.
func TestProcess(t *testing.T) {
	var p Process
	if p.Advance(time.Hour, PendingWork{}) || p.Start(time.Hour) != Allowed || p.Accept() != Allowed {
		t.Error("a process that serves ends, or takes nothing")
	}
	if !p.Notify(1000*ms, 400*ms, 2000*ms) || p.Notify(1500*ms, 400*ms, 9000*ms) || p.KillTime() != 3000*ms {
		t.Error("the first notice counts, and it alone: kill at", p.KillTime())
	}
	left := PendingWork{Unanswered: 1}
	for _, x := range []struct {
		now   time.Duration
		left  PendingWork
		phase Phase
		start Verdict // of what is read now
		take  Verdict
	}{
		{1000 * ms, left, Draining, Allowed, Allowed},
		{1400 * ms, left, Draining, Allowed, Allowed},
		{1401 * ms, PendingWork{}, Draining, AfterGrace, Allowed}, // nothing is left, and it still listens
		{2699 * ms, left, Draining, AfterGrace, Allowed},
		{2700 * ms, left, Closing, AfterGrace, ProcessEnds},
		{2899 * ms, left, Closing, AfterGrace, ProcessEnds},
		{2900 * ms, left, Ending, AfterGrace, ProcessEnds},
		{2979 * ms, left, Ending, AfterGrace, ProcessEnds},
		{2980 * ms, left, Ended, AfterGrace, ProcessEnds},
	} {
		for p.Advance(x.now, x.left) {
		}
		if p.Phase() != x.phase || p.Start(x.now) != x.start || p.Accept() != x.take {
			t.Errorf("at %v: %v, start %v, take %v", x.now, p.Phase(), p.Start(x.now), p.Accept())
		}
	}
	for i, w := range []PendingWork{{Unanswered: 1}, {Connections: 1}, {Accepting: true}, {Unhandled: true}, {Unsaved: true}} {
		var q Process
		q.Notify(0, 0, 1000*ms)
		q.Advance(700*ms, w)
		if q.Advance(701*ms, w) || q.Exit(701*ms, w) != WorkLeft {
			t.Error("it ends, and there is work left:", i)
		}
		if !q.Advance(702*ms, PendingWork{}) || q.Phase() != Ended || q.Exit(702*ms, PendingWork{}) != Allowed {
			t.Error("it does not end, and nothing is left:", i)
		}
	}
}

// TestKillAfter: the least of what is told and what the platform's rules allow.
func TestKillAfter(t *testing.T) {
	for _, x := range []struct{ told, longest, want time.Duration }{
		{3200 * ms, 2500 * ms, 3000 * ms}, {3100 * ms, 1200 * ms, 1900 * ms}, {1000 * ms, 2500 * ms, 1000 * ms}, {9000 * ms, 0, 3000 * ms},
	} {
		if got := KillAfter(x.told, x.longest); got != x.want {
			t.Errorf("told %v, longest %v: %v", x.told, x.longest, got)
		}
	}
}

// TestHeartbeat: what a node that stood still hears of counts from before it did.
func TestHeartbeat(t *testing.T) {
	var h Heartbeat
	for now := time.Hour; now <= time.Hour+1000*ms; now += 10 * ms {
		h.Beat(now)
	}
	if ago := time.Hour + 1000*ms - h.Earliest(); ago < maxUnnoticedHold || ago > 2*maxUnnoticedHold+10*ms {
		t.Error("a node that runs on hears of it late by", ago)
	}
	h.Beat(time.Hour + 3000*ms)
	if h.Earliest() > time.Hour+1000*ms {
		t.Error("a standstill is not counted:", h.Earliest()-time.Hour)
	}
}

// TestEnd: the sending side of a connection stays open while anything that was read, or has come, is without its answer.
func TestEnd(t *testing.T) {
	for _, x := range []struct {
		c    Connection
		want Verdict
	}{
		{Connection{}, Allowed},
		{Connection{OpenRequests: 1}, RequestOpen},
		{Connection{HalfRead: true}, HalfRead},
		{Connection{Unread: true}, InputUnread},
		{Connection{Unsent: true}, OutputUnsent},
		{Connection{Broken: true, HalfRead: true, Unread: true}, Allowed},
		{Connection{Broken: true, OpenRequests: 1}, RequestOpen},
	} {
		if got := End(x.c); got != x.want {
			t.Errorf("%+v: %v", x.c, got)
		}
	}
}

// TestRepeat: a command in doubt is sent again only where that does no harm or the first is proved to have had no effect.
func TestRepeat(t *testing.T) {
	for _, x := range []struct {
		c    Command
		want Verdict
	}{
		{Command{Wanted: true}, MayHaveRun},
		{Command{Wanted: true, Repeatable: true}, Allowed},
		{Command{Wanted: true, NeverRan: true}, Allowed},
		{Command{Repeatable: true, NeverRan: true}, NobodyWaits},
	} {
		if got := Repeat(x.c); got != x.want {
			t.Errorf("%+v: %v", x.c, got)
		}
	}
	if Answer(false, true) != Allowed || Answer(true, true) != AlreadyAnswered || Answer(false, false) != NobodyWaits {
		t.Error("an answer is not given once, to who waits")
	}
}
