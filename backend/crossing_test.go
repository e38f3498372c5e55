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

// TestBrokenStream checks that a client that violates the protocol gets the responses to its complete requests before its
// connection is closed.
func TestBrokenStream(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	client.send(fastcgiRequest(2, nil)[:30] + strings.Repeat("?", 40)) // half a request, followed by invalid bytes
	client.send(fastcgiRequest(3, nil))
	bed.await(func() bool { return bed.backend.stats.BadConns == 1 })
	bed.completeRun(1)
	client.expect("1"+succeededLine, "end")
	bed.expectNone("processor: begin 0000000000000003")
	bed.await(func() bool { return len(bed.backend.frontend.clients) == 0 && bed.backend.frontend.partialBytes == 0 })
}

// TestPartialsReleased checks that the buffered bytes of requests that stay incomplete are released when the requests are
// rejected.
func TestPartialsReleased(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.serveRequest(client, 20)
	const partials = 4
	for slot := range uint16(partials) {
		client.send(beginText(slot+1) + fake.FastCGIRecord(paramsRecord, slot+1, strings.Repeat("x", 1000)))
	}
	bed.await(func() bool { return bed.backend.frontend.partialBytes == partials*1000 })
	for range partials {
		bed.runInTurn(func() {
			bed.backend.now += partialTimeout
			bed.backend.frontend.sweep()
		})
		if got := client.readResponse(); !strings.HasSuffix(got, " Status: 400 Bad Request") {
			t.Error(got)
		}
	}
	bed.await(func() bool { return bed.backend.frontend.partialBytes == 0 })
}

// TestSilentFlood checks that many clients that connect and send nothing, or only part of a message, neither keep another
// client from being served at once nor use the descriptors reserved for upstream calls.
func TestSilentFlood(t *testing.T) {
	t.Parallel()
	for _, input := range []string{"", "\x01"} {
		bed := newReadyTestbed(t, map[string]string{"sockets": "64"})
		for range 200 {
			c, err := net.Dial("tcp", bed.listenAddress)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			_, _ = io.WriteString(c, input)
		}
		bed.await(func() bool { return bed.backend.stats.Accepted > 100 }) // connections that arrived between two turns were not accepted
		client := bed.dialClient()
		bed.serveRequest(client, 1)
		bed.await(func() bool {
			return bed.backend.stats.ConnsEvicted > 0 && int(bed.backend.loop.Open.Load()) <= bed.backend.frontend.connectionLimit()
		})
	}
}

// TestResetInAnswer checks that a connection that is reset while a response is in its buffer leaves no state behind, and
// that the undelivered response is counted.
func TestResetInAnswer(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.runInTurn(func() {
		r := bed.backend.requests[1]
		connection := r.client
		bed.backend.runEnded(r, overload.OK, accounting.Completed, 0, []byte("done")) // writes the response, which the end of the turn would send
		connection.conn.Abort(syscall.ECONNRESET)
	})
	bed.await(func() bool {
		return len(bed.backend.frontend.clients) == 0 && bed.backend.stats.Unanswered == 1 && len(bed.backend.requests) == 0
	})
}

// TestControlSilent checks that the backend serves requests while nothing listens on the control plane's address, and that
// reports arrive again when the control plane is back.
func TestControlSilent(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	address := bed.control.LocalAddr().String()
	_ = bed.control.Close()
	sent := bed.backend.Counters().Reports
	bed.await(func() bool { return bed.backend.stats.Reports >= sent+2 }) // at least one of them got the ICMP error that an earlier one caused
	client := bed.dialClient()
	bed.serveRequest(client, 1)
	restored, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = restored.Close() }()
	_ = restored.SetReadDeadline(time.Now().Add(eventTimeout))
	buf := make([]byte, 100)
	if n, _, err := restored.ReadFrom(buf); err != nil || string(buf[:n]) != "lease n3 Ready" {
		t.Errorf("got %q, %v", buf[:n], err)
	}
}

// TestHalfClose checks that a client that closes its sending side while a request is open aborts the request: the run is
// interrupted, the connection is closed, and no state of either is left.
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

// TestUnverifiedRepeat checks that a request that the processor has not verified, because it does not answer, is not
// answered from the result cache, even on a verified connection.
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
