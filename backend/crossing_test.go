package backend

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"frosthub/accounting"
	"frosthub/internal/fake"
	"frosthub/overload"
)

// TestBrokenStream: who breaks the protocol gets the answers of what was read whole of it, and then the end.
func TestBrokenStream(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	client.send(fastcgiRequest(2, nil)[:30] + strings.Repeat("?", 40)) // half a request, and what is no record
	client.send(fastcgiRequest(3, nil))
	bed.await(func() bool { return bed.backend.stats.BadConns == 1 })
	bed.completeRun(1)
	client.expect("1"+succeededLine, "end")
	bed.expectNone("processor: begin 0000000000000003")
	bed.await(func() bool { return len(bed.backend.frontend.clients) == 0 && bed.backend.frontend.partialBytes == 0 })
}

// TestPartialsReleased: what is held of requests that never come whole is released with their answers, however they end.
func TestPartialsReleased(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.serveRequest(client, 20)
	const parts = 4
	for slot := range uint16(parts) {
		client.send(beginText(slot+1) + fake.FastCGIRecord(paramsRecord, slot+1, strings.Repeat("x", 1000)))
	}
	bed.await(func() bool { return bed.backend.frontend.partialBytes == parts*1000 })
	for range parts {
		bed.runInTurn(func() {
			bed.backend.now += partialTimeout
			bed.backend.frontend.sweep()
		})
		if got := client.readAnswer(); !strings.HasSuffix(got, " Status: 400 Bad Request") {
			t.Error(got)
		}
	}
	bed.await(func() bool { return bed.backend.frontend.partialBytes == 0 })
}

// TestSilentFlood: clients that take all places and say nothing, or half a word, leave one for another client, at once, and those for calls.
func TestSilentFlood(t *testing.T) {
	t.Parallel()
	for _, says := range []string{"", "\x01"} {
		bed := newReadyTestbed(t, map[string]string{"sockets": "64"})
		for range 200 {
			c, err := net.Dial("tcp", bed.listenAddress)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			_, _ = io.WriteString(c, says)
		}
		bed.await(func() bool { return bed.backend.stats.Accepted > 100 }) // those that came between two turns found no room
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		bed.await(func() bool {
			return bed.backend.stats.ConnsEvicted > 0 && int(bed.backend.loop.Open.Load()) <= bed.backend.frontend.connectionLimit()
		})
	}
}

// TestResetInAnswer: a connection that ends while an answer is on its way leaves nothing behind, and is logged.
func TestResetInAnswer(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.runInTurn(func() {
		r := bed.backend.requests[1]
		e := r.client
		bed.backend.runEnded(r, overload.OK, accounting.Completed, 0, []byte("done")) // written, and not sent before the turn is over
		e.conn.Abort(syscall.ECONNRESET)
	})
	bed.await(func() bool {
		return len(bed.backend.frontend.clients) == 0 && bed.backend.stats.Unanswered == 1 && len(bed.backend.requests) == 0
	})
}

// TestControlSilent: nobody at the control plane's address, from the start and later, changes nothing; once somebody is
// there again the next report comes.
func TestControlSilent(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	address := bed.control.LocalAddr().String()
	_ = bed.control.Close()
	sent := bed.backend.Counters().Reports
	bed.await(func() bool { return bed.backend.stats.Reports >= sent+2 }) // at least one of them met the refusal of another
	client := bed.dialClient()
	bed.serveRequest(client, 1)
	back, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = back.Close() }()
	_ = back.SetReadDeadline(time.Now().Add(eventTimeout))
	buf := make([]byte, 100)
	if n, _, err := back.ReadFrom(buf); err != nil || string(buf[:n]) != "lease n3 Ready" {
		t.Errorf("%q, %v", buf[:n], err)
	}
}

// TestHalfClose: a peer that closes its sending side with a request open has given it up: its run is stopped, and the connection
// ends with nothing left of either.
func TestHalfClose(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	_ = client.conn.CloseWrite()
	bed.expect("processor: interrupt 0000000000000001")
	bed.step([]string{"processor", "notes", "complete", "0000000000000001", "halted", "5", "-"})
	bed.await(func() bool {
		return len(bed.backend.requests) == 0 && len(bed.backend.frontend.clients) == 0 && bed.backend.stats.Unanswered == 1
	})
	client.expect("end")
}

// TestUnverifiedRepeat: a remembered result is given to nobody of whom the processor, silent at that moment, did not say that it
// knows the request; not on a known connection either.
func TestUnverifiedRepeat(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, map[string]string{"claim": "dedup"})
	keyed := map[string]string{"SCRIPT_NAME": "/invoke/file-claim", "HTTP_IDEMPOTENCY_KEY": "k"}
	client := bed.dialClient()
	client.send(fastcgiRequest(1, keyed))
	bed.expect(`processor: begin 0000000000000001 file-claim ""`)
	bed.completeRun(1)
	client.expect("1" + succeededLine)
	client.send(fastcgiRequest(2, keyed))
	client.expect("2" + succeededLine)
	bed.step([]string{"processor", "mute"})
	client.send(fastcgiRequest(3, keyed))
	client.expect("3" + rejectedLine)
	bed.step([]string{"processor", "mute", "off"})
	client.send(fastcgiRequest(4, keyed))
	client.expect("4" + succeededLine)
}
