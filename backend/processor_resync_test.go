package backend

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestReplyReachesOneCall guards against a reply that reaches the next call of its run: after a connection loss the
// backend sent the reply again, although the run might have received it and requested another call since.
func TestReplyReachesOneCall(t *testing.T) {
	t.Parallel()
	for _, idempotency := range []string{"fragile", "retryable"} {
		t.Run(idempotency, func(t *testing.T) {
			t.Parallel()
			bed := newReadyTestbed(t, map[string]string{"status": idempotency})
			client := bed.dialClient()
			bed.startRun(client, 1)
			bed.replyUnconfirmed()
			bed.reconnectProcessor()
			bed.serveCall("second call")
			bed.completeRun(1)
			client.expect("1" + succeededLine)
			bed.expectNone("processor: answer")
		})
	}
}

// TestReplyLost guards against a run that waits for a lost reply for good: a replayable run is cancelled and starts again,
// which sends no reply twice.
func TestReplyLost(t *testing.T) {
	t.Parallel()
	bed, client := newInterruptedRun(t)
	bed.step([]string{"processor", "notes", "complete", "0000000000000001", "halted", "5", "-"})
	bed.expect(`processor: begin 0000000000000001 status ""`)
	bed.serveCall("first call again")
	bed.completeRun(1)
	client.expect("1" + succeededLine)
	bed.expectNone("processor: answer")
	bed.expectNone("processor: begin")
}

// TestReplyLostInterruptCrossed checks that a run that requests its next call while its interrupt is in transit is not
// started again, and that its request is answered.
func TestReplyLostInterruptCrossed(t *testing.T) {
	t.Parallel()
	bed, client := newInterruptedRun(t)
	bed.startCall(1, "second call")
	bed.step([]string{"processor", "notes", "complete", "0000000000000001", "halted", "5", "-"})
	client.expect("1" + failedLine)
	bed.expectNone("processor: begin")
	bed.await(func() bool { return len(bed.backend.requests) == 0 && len(bed.backend.processor.unconfirmed) == 0 })
}

// TestConfirmedRunContinues checks that a run whose interrupt had no effect and that requests its next call is not
// interrupted again when the link is lost once more.
func TestConfirmedRunContinues(t *testing.T) {
	t.Parallel()
	bed, client := newInterruptedRun(t)
	bed.serveCall("second call")
	bed.awaitGauges(2) // proves that the reply has arrived
	bed.reconnectProcessor()
	bed.awaitGauges(1)
	bed.completeRun(1)
	client.expect("1" + succeededLine)
	bed.expectNone("processor: interrupt")
	bed.expectNone("processor: answer")
}

// TestRestartDropsReply guards against a reply that reaches a run that has started again: the reply was waiting for the
// link when the processor reported that the run was cancelled, and was sent at the next loss of the link.
func TestRestartDropsReply(t *testing.T) {
	t.Parallel()
	bed, client := newInterruptedRun(t)
	bed.startCall(1, "second call")
	bed.step([]string{"processor", "breaks"})
	bed.expect("processor: hello 2")
	bed.step([]string{"tier", "replies", "0000000000000001", "reply"})
	bed.await(func() bool { return bed.backend.requests[1].replyUnsent })
	bed.noticeCount++
	bed.processor.write("hi warm 600000\r\ncomplete 3 0000000000000001 halted 5 0\r\n\r\n")
	bed.expect(`processor: begin 0000000000000001 status ""`)
	bed.awaitGauges(2) // proves that the start has arrived
	bed.reconnectProcessor()
	bed.serveCall("first call again")
	bed.completeRun(1)
	client.expect("1" + succeededLine)
	bed.expectNone("processor: answer")
	bed.expectNone("processor: begin")
}

// TestUnconfirmedRunFails guards against a request that is never answered because its run sends no notice: it fails once
// its response target has passed, and its run is not started again.
func TestUnconfirmedRunFails(t *testing.T) {
	t.Parallel()
	for _, lost := range []string{"start", "reply"} {
		for _, halt := range []string{"discard", "off"} {
			t.Run(lost+"/"+halt, func(t *testing.T) {
				t.Parallel()
				bed := newReadyTestbed(t, map[string]string{"status": "fragile", "halt": halt})
				client := bed.dialClient()
				bed.startUnconfirmed(client)
				if lost == "reply" {
					bed.replyUnconfirmed()
				}
				bed.reconnectProcessor()
				bed.passTime(time.Minute) // the response target of the testbed
				client.expect("1" + failedLine)
				bed.await(func() bool { return len(bed.backend.requests) == 0 && len(bed.backend.processor.unconfirmed) == 0 })
				bed.awaitGauges(1)
				bed.expectNone("processor: begin")
				bed.expectNone("processor: answer")
				if halt == "off" {
					bed.expectNone("processor: interrupt")
				}
			})
		}
	}
}

// TestStartNotRepeated guards against a request that runs twice: the backend started a run again because no notice had
// followed the start and an interrupt. Both are missing too if the run is in progress and interrupts have no effect, since
// the settings rule them out or the cores are stalled; the run may then end just before the second start arrives.
func TestStartNotRepeated(t *testing.T) {
	t.Parallel()
	for _, halt := range []string{"off", "discard"} {
		t.Run(halt, func(t *testing.T) {
			t.Parallel()
			bed := newReadyTestbed(t, map[string]string{"status": "fragile", "halt": halt})
			client := bed.dialClient()
			bed.startUnconfirmed(client)
			bed.reconnectProcessor()
			bed.awaitGauges(20) // longer than the wait after which the start counted as lost
			bed.reconnectProcessor()
			bed.awaitGauges(20)
			bed.expectNone("processor: begin")
			bed.completeRun(1)
			client.expect("1" + succeededLine)
		})
	}
}

// TestReplyNotSentYet checks that a reply that arrives while there is no link is sent once the link is back, since it was
// never sent before.
func TestReplyNotSentYet(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, map[string]string{"status": "fragile"})
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.startCall(1, "call")
	bed.step([]string{"processor", "breaks"})
	bed.expect("processor: hello 1")
	bed.step([]string{"tier", "replies", "0000000000000001", "reply"})
	bed.await(func() bool { return bed.backend.requests[1].callReplied })
	bed.expectNone("processor: answer")
	bed.step([]string{"processor", "says", "hi warm 600000"})
	bed.expect(`processor: answer 0000000000000001 "reply"`)
	bed.completeRun(1)
	client.expect("1" + succeededLine)
	bed.expectNone("processor: answer")
}

// TestNoticeBeforeHello guards against a new connection on which a notice precedes the processor's hello: the backend took
// the gap in the numbers for a loss of notices, and failed all runs.
func TestNoticeBeforeHello(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, map[string]string{"status": "fragile"})
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.step([]string{"processor", "breaks"})
	bed.expect("processor: hello 0")
	second := "complete 2 0000000000000001 ok 5 3\r\ntwo\r\n"
	bed.processor.write(second + "hi warm 600000\r\nremark 1 first\r\n" + second)
	client.expect("1" + succeededLine)
}

// TestReplacementCloses guards against a start and a reply that are never sent: they waited for a replacement of the
// connection, which was closed before it was used.
func TestReplacementCloses(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.startCall(1, "call")
	link := &bed.backend.processor
	bed.runInTurn(func() {
		link.quiesceTag = math.MaxUint64 // stands for a query that the processor does not answer
		link.quiesceDeadline = link.backend.now + time.Minute
	})
	bed.step([]string{"tier", "replies", "0000000000000001", "reply"})
	client.send(fastcgiRequest(2, nil))
	bed.await(func() bool {
		waiting := bed.backend.requests[2]
		return bed.backend.requests[1].replyUnsent && waiting != nil && waiting.state == stateRunning && !waiting.startSent
	})
	bed.expectNone("processor: answer")
	bed.runInTurn(link.cancelReplacement)
	bed.expect(`processor: answer 0000000000000001 "reply"`)
	bed.expect(`processor: begin 0000000000000002 status ""`)
	bed.completeRun(1)
	client.expect("1" + succeededLine)
}

// newInterruptedRun returns a testbed in which the run of request 1 was interrupted in order to start again, since the reply
// to its call may have been lost.
func newInterruptedRun(t *testing.T) (*testbed, *testClient) {
	t.Helper()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.replyUnconfirmed()
	bed.reconnectProcessor()
	bed.passTime(runNoticeTimeout)
	bed.expect("processor: interrupt 0000000000000001")
	return bed, client
}

// startUnconfirmed starts the run of request 1 while the processor leaves queries unanswered, so that nothing proves that
// the start has arrived.
func (bed *testbed) startUnconfirmed(client *testClient) {
	bed.t.Helper()
	bed.serveRequest(client, 2) // verifies the connection
	bed.step([]string{"processor", "mute"})
	bed.startRun(client, 1)
}

// replyUnconfirmed has the run of request 1 make a call, whose reply is sent while the processor leaves queries unanswered.
func (bed *testbed) replyUnconfirmed() {
	bed.t.Helper()
	bed.step([]string{"processor", "mute"})
	bed.serveCall("first call")
}

// serveCall has the run of request 1 make a call, and waits until the processor has received the reply.
func (bed *testbed) serveCall(body string) {
	bed.t.Helper()
	const id = "0000000000000001"
	bed.startCall(1, body)
	bed.step([]string{"tier", "replies", id, "reply to", body})
	bed.expect(fmt.Sprintf("processor: answer %s %q", id, "reply to "+body))
}

// reconnectProcessor breaks the link to the processor and waits until it is ready again.
func (bed *testbed) reconnectProcessor() {
	bed.t.Helper()
	links := bed.backend.Counters().Links
	bed.step([]string{"processor", "breaks"})
	bed.await(func() bool { return bed.backend.stats.Links > links && bed.backend.processor.conn != nil })
	bed.expect(fmt.Sprintf("processor: hello %d", bed.noticeCount))
	bed.step([]string{"processor", "mute", "off"})
	bed.step([]string{"processor", "says", "hi warm 600000"})
	bed.await(func() bool { return bed.backend.processor.ready() })
}

// awaitGauges waits until the processor has answered n more queries for the gauges.
func (bed *testbed) awaitGauges(n uint64) {
	bed.t.Helper()
	acked := uint64(0)
	bed.runInTurn(func() { acked = bed.backend.processor.ackedTag })
	bed.await(func() bool { return bed.backend.processor.ackedTag >= acked+n })
}

// passTime has the link act as if the given time had passed.
func (bed *testbed) passTime(elapsed time.Duration) {
	bed.runInTurn(func() {
		bed.backend.now += elapsed
		bed.backend.processor.expireUnconfirmed()
	})
}
