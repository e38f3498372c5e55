package backend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frosthub/lifecycle"
)

// The crossing tests force two events to occur at the same moment: the owner goroutine is blocked at a gate while the other
// event happens, or the event is posted to its queue. The tests therefore don't depend on the speed of the machine.
// docs/notes/crossings.md lists the crossings.

// beginClosing moves the kill time so near that the closing phase begins now, and then moves it a minute ahead, so that
// later phases begin only if the test sets another kill time.
func (bed *testbed) beginClosing() { bed.runInTurn(bed.beginClosingNow) }

func (bed *testbed) beginClosingNow() {
	bed.backend.startDrain()
	bed.backend.process.SetKillTime(bed.backend.now + lifecycle.ClosingBeforeKill)
	bed.backend.loop.Post(func() { bed.backend.process.SetKillTime(bed.backend.now + time.Minute) })
}

// shutdownCrossings are cases of SIGTERM and the closing that follows it, with a request in each stage of processing.
var shutdownCrossings = []struct {
	name string
	play func(bed *testbed)
}{
	{"idle connection: closed in order, a request that crosses the close is not run", func(bed *testbed) {
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		bed.beginClosing()
		client.send(fastcgiRequest(2, nil))
		client.expect("end")
		bed.expectExit()
		bed.expectNone("processor: begin 0000000000000002")
	}},
	{"request in the input queue when the closing begins: rejected and never run", func(bed *testbed) {
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		release := bed.holdOwner(bed.beginClosingNow)
		client.send(fastcgiRequest(2, nil))
		bed.awaitOwnerInput()
		release()
		client.expect("2"+rejectedLine, "end")
		bed.expectExit()
		bed.expectNone("processor: begin 0000000000000002")
	}},
	{"several requests during a run: each is rejected, the connection closes after the run", func(bed *testbed) {
		client := bed.dialClient()
		bed.startRun(client, 1)
		bed.beginClosing()
		for slot := uint16(2); slot < 6; slot++ {
			client.send(fastcgiRequest(slot, nil))
			client.expect(fmt.Sprintf("%d%s", slot, rejectedLine))
		}
		bed.completeRun(1)
		client.expect("1"+succeededLine, "end")
		bed.expectExit()
		bed.expectNone("processor: begin 0000000000000003")
	}},
	{"request without keep-connection during a run: later requests are answered", func(bed *testbed) {
		client := bed.dialClient()
		bed.startRun(client, 1)
		client.send(strings.Replace(fastcgiRequest(2, map[string]string{"HTTP_X_RANK": "soon"}), "\x00\x01\x01", "\x00\x01\x00", 1))
		client.expect("2 Status: 400 Bad Request")
		bed.startRun(client, 3)
		bed.completeRun(3)
		client.expect("3" + succeededLine)
		bed.completeRun(1)
		client.expect("1"+succeededLine, "end")
		bed.beginClosing()
		bed.expectExit()
	}},
	{"partly read request completed in the closing: rejected", func(bed *testbed) {
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		complete := fastcgiRequest(2, nil)
		client.send(complete[:len(complete)-20])
		bed.awaitPartialRequests(1)
		bed.beginClosing()
		client.send(complete[len(complete)-20:])
		client.expect("2"+rejectedLine, "end")
		bed.expectExit()
		bed.expectNone("processor: begin 0000000000000002")
	}},
	{"partly read request never completed: rejected, and the connection closes", func(bed *testbed) {
		client := bed.dialClient()
		client.send(fastcgiRequest(2, nil)[:30])
		bed.awaitPartialRequests(1)
		bed.beginClosing()
		bed.runInTurn(func() { bed.backend.process.SetKillTime(bed.backend.now + lifecycle.EndingBeforeKill) })
		client.expect("2"+rejectedLine, "end")
		bed.expectExit()
	}},
	{"complete request in the same turn as the notice: started within the grace", func(bed *testbed) {
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		release := bed.holdOwner()
		bed.shutDown()
		client.send(fastcgiRequest(2, nil))
		release()
		bed.expect(`processor: begin 0000000000000002 status ""`)
		bed.completeRun(2)
		client.expect("2" + succeededLine)
		bed.beginClosing()
		client.expect("end")
		bed.expectExit()
	}},
	{"connection in the accept queue: accepted, and its request rejected", func(bed *testbed) {
		release := bed.holdOwner(bed.beginClosingNow)
		client := bed.dialClient()
		client.send(fastcgiRequest(2, nil))
		release()
		if got := client.readResponse(); got != "2"+rejectedLine && got != "end" { // "end" if its bytes arrived after the connection was closed
			bed.t.Error(got)
		}
		bed.expectExit()
		bed.expectNone("processor: begin 0000000000000002")
	}},
	{"run that ends in the closing: answered, then its connection closes", func(bed *testbed) {
		client := bed.dialClient()
		bed.startRun(client, 1)
		bed.beginClosing()
		bed.completeRun(1)
		client.expect("1"+succeededLine, "end")
		bed.expectExit()
	}},
	{"run that never ends: answered before the kill time", func(bed *testbed) {
		client := bed.dialClient()
		bed.startRun(client, 1)
		bed.beginClosing()
		bed.runInTurn(func() { bed.backend.process.SetKillTime(bed.backend.now + lifecycle.ExitBeforeKill) })
		client.expect("1" + failedLine)
		bed.expectExit()
	}},
	{"unverified request and a silent processor: the closing does not wait", func(bed *testbed) {
		bed.step([]string{"processor", "mute"})
		client := bed.dialClient()
		client.send(fastcgiRequest(1, nil))
		bed.awaitUnverified(1)
		bed.beginClosing()
		bed.expect(`processor: begin 0000000000000001 status ""`)
		bed.completeRun(1)
		client.expect("1"+succeededLine, "end")
		bed.expectExit()
	}},
	{"pending deep check: answered in the closing", func(bed *testbed) {
		bed.runInTurn(func() { bed.backend.advice.shallowChecks = false })
		client := bed.dialClient()
		client.send(fastcgiRequest(1, map[string]string{"SCRIPT_NAME": "/_health", "QUERY_STRING": "deep=1"}))
		bed.await(func() bool { return len(bed.backend.processor.pendingChecks) == 1 })
		bed.beginClosing()
		client.expect("1"+rejectedLine, "end")
		bed.expectExit()
	}},
	{"a second notice has no effect", func(bed *testbed) {
		client := bed.dialClient()
		bed.startRun(client, 1)
		bed.beginClosing()
		var before, after time.Duration
		bed.runInTurn(func() {
			before = bed.backend.process.KillTime()
			bed.backend.now += time.Millisecond
			bed.backend.startDrain()
			after = bed.backend.process.KillTime()
		})
		if before != after {
			bed.t.Error("second notice moved the kill time by", after-before)
		}
		bed.completeRun(1)
		client.expect("1"+succeededLine, "end")
		bed.expectExit()
	}},
	{"SIGHUP in the drain and in the closing: the run continues", func(bed *testbed) {
		client := bed.dialClient()
		bed.startRun(client, 1)
		bed.runInTurn(bed.backend.startDrain)
		bed.step([]string{"moves"})
		bed.expect("new processor: hello 0")
		bed.step([]string{"processor", "says", "hi warm 500100"})
		bed.beginClosing()
		bed.step([]string{"moves"})
		bed.expect("new processor: hello 0")
		bed.step([]string{"processor", "says", "hi warm 500200"})
		bed.completeRun(1)
		client.expect("1"+succeededLine, "end")
		bed.expectExit()
	}},
}

// TestShutdownCrossings checks that during a shutdown each request is answered or its connection is closed in order, and
// that the process exits.
func TestShutdownCrossings(t *testing.T) {
	options := map[string]string{"stop_ms": "60000"}
	for _, test := range shutdownCrossings {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			test.play(newReadyTestbed(t, options))
		})
	}
	t.Run("before the processor is up: rejected, and the process exits", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t)
		bed.start(withLongTimeouts(options))
		bed.expect("processor: hello 0")
		client := bed.dialClient()
		client.send(fastcgiRequest(1, nil))
		client.expect("1" + rejectedLine)
		bed.beginClosing()
		client.expect("end")
		bed.expectExit()
	})
}

// TestGrace checks that a request that is read after the drain grace does not start a run, whatever start time it states,
// and that the grace begins with the notice, even if the notice is handled late or before the processor is up.
func TestGrace(t *testing.T) {
	t.Parallel()
	const grace = 300 * time.Millisecond // the drain grace of these testbeds
	options := map[string]string{"stop_ms": "60000", "grace": fmt.Sprint(grace.Microseconds())}
	longAgo := map[string]string{"HTTP_X_REQUEST_START": fmt.Sprint(time.Now().Add(-2 * time.Second).UnixMilli())}
	for _, test := range []struct {
		name string
		play func(bed *testbed, client *testClient)
	}{
		{"start time before the notice", func(bed *testbed, client *testClient) {
			bed.runInTurn(func() { bed.startDrainAgo(grace + time.Millisecond) })
			client.send(fastcgiRequest(2, longAgo))
			client.expect("2" + rejectedLine)
		}},
		{"the notice is handled late", func(bed *testbed, client *testClient) {
			bed.runInTurn(func() {
				bed.backend.heartbeat = lifecycle.EventTimeBound{}
				bed.backend.heartbeat.Record(bed.backend.now - grace - time.Millisecond) // the owner last ran then
				bed.backend.startDrain()
			})
			client.send(fastcgiRequest(2, nil))
			client.expect("2" + rejectedLine)
		}},
		{"the request is unverified when the grace ends", func(bed *testbed, _ *testClient) {
			bed.step([]string{"processor", "mute"})
			other := bed.dialClient() // not verified yet
			other.send(fastcgiRequest(2, nil))
			bed.awaitUnverified(1)
			bed.runInTurn(func() {
				bed.startDrainAgo(grace + time.Millisecond)
				bed.backend.processor.admitAllUnverified()
			})
			other.expect("2" + rejectedLine)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			bed := newReadyTestbed(t, options)
			client := bed.dialClient()
			bed.serveRequest(client, 1)
			test.play(bed, client)
			bed.expectNotStarted()
		})
	}
	t.Run("the notice arrives before the processor is up", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t)
		bed.start(withLongTimeouts(options))
		bed.expect("processor: hello 0")
		bed.runInTurn(func() { bed.startDrainAgo(grace + time.Millisecond) })
		bed.step([]string{"processor", "says", "hi warm 500000"})
		bed.await(func() bool { return bed.backend.processor.ready() })
		client := bed.dialClient()
		client.send(fastcgiRequest(2, nil))
		client.expect("2" + rejectedLine)
		bed.expectNotStarted()
	})
}

// expectNotStarted checks that the second request never ran, and that the overload controller itself did not start it.
func (bed *testbed) expectNotStarted() {
	bed.t.Helper()
	bed.expectNone("processor: begin 0000000000000002")
	if n := bed.backend.Counters().Violations; n != 0 {
		bed.t.Error("starts by the overload controller that a rule forbade:", n)
	}
}

// startDrainAgo starts the drain with a notice that arrived the given time ago.
func (bed *testbed) startDrainAgo(ago time.Duration) {
	bed.backend.heartbeat = lifecycle.EventTimeBound{}
	bed.backend.heartbeat.Record(bed.backend.now - ago)
	bed.backend.startDrain()
}

// TestClockSteps checks that requests are served as before after a step of the wall clock, whether only the node's clock
// stepped or also that of the clients.
func TestClockSteps(t *testing.T) {
	t.Parallel()
	for _, step := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		bed := newReadyTestbed(t, nil)
		bed.runInTurn(func() { bed.backend.arrivalDelay.BeginTurn(bed.backend.now, bed.backend.wallTime-step) }) // the next turn detects the step
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		stamped := time.Now().Add(-step)
		client.send(fastcgiRequest(2, map[string]string{"HTTP_X_REQUEST_START": fmt.Sprint(stamped.UnixMilli())}))
		bed.expect(`processor: begin 0000000000000002 status ""`)
		bed.completeRun(2)
		client.expect("2" + succeededLine)
		if bed.backend.Counters().ClockSteps == 0 {
			t.Error("clock step was not counted")
		}
	}
}
