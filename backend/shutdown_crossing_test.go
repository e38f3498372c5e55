package backend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frosthub/lifecycle"
)

// The tests of crossings force the moments in which two events cross: the owner is held at a gate while the other event
// happens, or the event is posted to it, so that nothing depends on how fast a machine is. docs/notes/crossings.md lists
// the crossings.

// beginClosing has the process be so near its stop that it closes now. Then the stop is far again: only a test that wants it
// comes to the phases after.
func (bed *testbed) beginClosing() { bed.runInTurn(bed.beginClosingNow) }

func (bed *testbed) beginClosingNow() {
	bed.backend.startDrain()
	bed.backend.process.SetKillTime(bed.backend.now + lifecycle.ClosingBeforeKill)
	bed.backend.loop.Post(func() { bed.backend.process.SetKillTime(bed.backend.now + time.Minute) })
}

// shutdownCrossings are plays of SIGTERM and the closing that follows it, with a request in each place.
var shutdownCrossings = []struct {
	name string
	play func(bed *testbed)
}{
	{"at rest: ended in order, a request that crosses it is not run", func(bed *testbed) {
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		bed.beginClosing()
		client.send(fastcgiRequest(2, nil))
		client.expect("end")
		bed.expectExit()
		bed.expectNone("processor: begin 0000000000000002")
	}},
	{"in the ring when the closing begins: rejected, and never run", func(bed *testbed) {
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
	{"several, beside a run: each is rejected, the connection ends after the run", func(bed *testbed) {
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
	{"one that asks for the end of its connection, beside a run: what follows is answered", func(bed *testbed) {
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
	{"half read: its rest comes in the closing and is rejected", func(bed *testbed) {
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
	{"half read for good: rejected, and the connection ends", func(bed *testbed) {
		client := bed.dialClient()
		client.send(fastcgiRequest(2, nil)[:30])
		bed.awaitPartialRequests(1)
		bed.beginClosing()
		bed.runInTurn(func() { bed.backend.process.SetKillTime(bed.backend.now + lifecycle.EndingBeforeKill) })
		client.expect("2"+rejectedLine, "end")
		bed.expectExit()
	}},
	{"complete and not handled, in the same batch as the notice: taken on, within the grace", func(bed *testbed) {
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
	{"in the accept queue: taken, and rejected", func(bed *testbed) {
		release := bed.holdOwner(bed.beginClosingNow)
		client := bed.dialClient()
		client.send(fastcgiRequest(2, nil))
		release()
		if got := client.readAnswer(); got != "2"+rejectedLine && got != "end" { // the latter if its bytes came after it was ended
			bed.t.Error(got)
		}
		bed.expectExit()
		bed.expectNone("processor: begin 0000000000000002")
	}},
	{"running: its end in the closing is answered, then its connection ends", func(bed *testbed) {
		client := bed.dialClient()
		bed.startRun(client, 1)
		bed.beginClosing()
		bed.completeRun(1)
		client.expect("1"+succeededLine, "end")
		bed.expectExit()
	}},
	{"running for good: answered before the stop", func(bed *testbed) {
		client := bed.dialClient()
		bed.startRun(client, 1)
		bed.beginClosing()
		bed.runInTurn(func() { bed.backend.process.SetKillTime(bed.backend.now + lifecycle.ExitBeforeKill) })
		client.expect("1" + failedLine)
		bed.expectExit()
	}},
	{"unverified, and the processor says nothing: not waited for in the closing", func(bed *testbed) {
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
	{"a deep check at the processor: answered in the closing", func(bed *testbed) {
		bed.runInTurn(func() { bed.backend.advice.shallowChecks = false })
		client := bed.dialClient()
		client.send(fastcgiRequest(1, map[string]string{"SCRIPT_NAME": "/_health", "QUERY_STRING": "deep=1"}))
		bed.await(func() bool { return len(bed.backend.processor.pendingChecks) == 1 })
		bed.beginClosing()
		client.expect("1"+rejectedLine, "end")
		bed.expectExit()
	}},
	{"a second notice changes nothing", func(bed *testbed) {
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
			bed.t.Error("the stop moved by", after-before)
		}
		bed.completeRun(1)
		client.expect("1"+succeededLine, "end")
		bed.expectExit()
	}},
	{"SIGHUP in the drain and in the closing: what runs goes on", func(bed *testbed) {
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

// TestShutdownCrossings: each request is answered or its connection is ended in order, and the process exits.
func TestShutdownCrossings(t *testing.T) {
	options := map[string]string{"stop_ms": "60000"}
	for _, test := range shutdownCrossings {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			test.play(newReadyTestbed(t, options))
		})
	}
	t.Run("before the processor is up: rejected, and the process ends", func(t *testing.T) {
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

// TestGrace: what is read after the grace does not start a run, whatever it says of when it came; and the grace runs from the notice, also
// where that is heard of late or before the processor is up.
func TestGrace(t *testing.T) {
	t.Parallel()
	const past = 300 * time.Millisecond // the grace of these testbeds
	options := map[string]string{"stop_ms": "60000", "grace": fmt.Sprint(past.Microseconds())}
	longAgo := map[string]string{"HTTP_X_REQUEST_START": fmt.Sprint(time.Now().Add(-2 * time.Second).UnixMilli())}
	for _, test := range []struct {
		name string
		play func(bed *testbed, client *testClient)
	}{
		{"stamped before the notice", func(bed *testbed, client *testClient) {
			bed.runInTurn(func() { bed.noticeAgo(past + time.Millisecond) })
			client.send(fastcgiRequest(2, longAgo))
			client.expect("2" + rejectedLine)
		}},
		{"the notice is heard of late", func(bed *testbed, client *testClient) {
			bed.runInTurn(func() {
				bed.backend.heartbeat = lifecycle.EventTimeBound{}
				bed.backend.heartbeat.Record(bed.backend.now - past - time.Millisecond) // it last ran then
				bed.backend.startDrain()
			})
			client.send(fastcgiRequest(2, nil))
			client.expect("2" + rejectedLine)
		}},
		{"it waits for the processor's word when the grace ends", func(bed *testbed, _ *testClient) {
			bed.step([]string{"processor", "mute"})
			other := bed.dialClient() // the processor does not know it yet
			other.send(fastcgiRequest(2, nil))
			bed.awaitUnverified(1)
			bed.runInTurn(func() {
				bed.noticeAgo(past + time.Millisecond)
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
			bed.expectRejected()
		})
	}
	t.Run("the notice comes before the processor is up", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t)
		bed.start(withLongTimeouts(options))
		bed.expect("processor: hello 0")
		bed.runInTurn(func() { bed.noticeAgo(past + time.Millisecond) })
		bed.step([]string{"processor", "says", "hi warm 500000"})
		bed.await(func() bool { return bed.backend.processor.ready() })
		client := bed.dialClient()
		client.send(fastcgiRequest(2, nil))
		client.expect("2" + rejectedLine)
		bed.expectRejected()
	})
}

// expectRejected checks that the second request never ran, and that the overload controller itself knew that it may not.
func (bed *testbed) expectRejected() {
	bed.t.Helper()
	bed.expectNone("processor: begin 0000000000000002")
	if n := bed.backend.Counters().Violations; n != 0 {
		bed.t.Error("forbidden at the last moment:", n)
	}
}

// noticeAgo has the notice to leave have come so long ago.
func (bed *testbed) noticeAgo(ago time.Duration) {
	bed.backend.heartbeat = lifecycle.EventTimeBound{}
	bed.backend.heartbeat.Record(bed.backend.now - ago)
	bed.backend.startDrain()
}

// TestClockSteps: after a step of the time of day requests are served as before, whether it is the node's clock alone that stepped or that of
// all that runs on its machine.
func TestClockSteps(t *testing.T) {
	t.Parallel()
	for _, step := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		bed := newReadyTestbed(t, nil)
		bed.runInTurn(func() { bed.backend.arrivalDelay.BeginTurn(bed.backend.now, bed.backend.wallTime-step) }) // the next turn sees it step
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		stamped := time.Now().Add(-step)
		client.send(fastcgiRequest(2, map[string]string{"HTTP_X_REQUEST_START": fmt.Sprint(stamped.UnixMilli())}))
		bed.expect(`processor: begin 0000000000000002 status ""`)
		bed.completeRun(2)
		client.expect("2" + succeededLine)
		if bed.backend.Counters().ClockSteps == 0 {
			t.Error("the step is not counted")
		}
	}
}
