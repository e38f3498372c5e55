package backend

import (
	"bufio"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"frosthub/accounting"
	"frosthub/overload"
)

// TestSlowDial checks that a connection that is established only after its call was cancelled carries the next call,
// and that the cancelled call is never sent.
func TestSlowDial(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.runInTurn(func() {
		r := bed.backend.requests[1]
		bed.backend.processor.onCallRequest(r, []byte("what"))
		bed.backend.runController() // dials a connection for its call
		if !bed.eventually(func() bool {
			bed.upstream.mu.Lock()
			defer bed.upstream.mu.Unlock()
			return len(bed.upstream.conns) == 1
		}) {
			t.Error("the backend does not dial")
		}
		// The connection is established, but the owner has not handled that yet.
		bed.backend.runEnded(r, overload.Failed, accounting.RunFailed, 0, nil)
	})
	client.expect("1" + failedLine)
	bed.await(func() bool { return bed.backend.upstream.callsInFlight() == 0 })
	bed.startRun(client, 2)
	bed.startCall(2, "what")
	bed.expectNone("tier: invoke 0000000000000001")
	bed.step([]string{"tier", "replies", "0000000000000002", "that"})
	bed.expect(`processor: answer 0000000000000002 "that"`)
	bed.completeRun(2)
	client.expect("2" + succeededLine)
}

// fullListener returns the address of an upstream tier whose accept queue is full, so that dials hang. After a call of
// release the caller can accept connections from the returned listener.
func fullListener(t *testing.T) (address string, release func() net.Listener) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "full")
	ln, err := net.FileListener(file)
	_ = file.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	for { // until a dial times out
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return ln.Addr().String(), func() net.Listener { return ln }
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestSilentDial checks that a dial timeout does not end the call before its own timeout.
func TestSilentDial(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	address, release := fullListener(t)
	cfg := bed.config()
	cfg.Upstream = address
	bed.backend.Reload(cfg)
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.step([]string{"processor", "notes", "ask", "0000000000000001", "what"})
	bed.await(func() bool { return bed.backend.logLimits["upstream unreachable"] != nil })
	go func() {
		ln := release()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				line, err := bufio.NewReader(c).ReadString('\n')
				if id, _, _ := strings.Cut(strings.TrimPrefix(line, "invoke "), " "); err == nil {
					_, _ = io.WriteString(c, id+" ok 4\r\nthat\r\n")
				}
			}()
		}
	}()
	bed.expect(`processor: answer 0000000000000001 "that"`)
	bed.completeRun(1)
	client.expect("1" + succeededLine)
}

// TestReplyCrossesCancel checks that a reply that crosses the cancellation of its call is discarded, and that the
// connection is closed and carries no other call.
func TestReplyCrossesCancel(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.startCall(1, "what")
	release := bed.holdOwner()
	// Stands for an abort from the client that is read before the reply.
	bed.backend.loop.Post(func() { bed.backend.frontend.abortRequest(bed.backend.requests[1].client, 1) })
	bed.step([]string{"tier", "replies", "0000000000000001", "late"})
	release()
	bed.await(func() bool {
		return bed.backend.upstream.callsInFlight() == 0 && bed.backend.upstream.connectionCount() == 0
	})
	bed.expect("tier: cancel 0000000000000001")
	bed.step([]string{"processor", "notes", "complete", "0000000000000001", "halted", "5", "-"})
	bed.await(func() bool { return len(bed.backend.requests) == 0 })
	bed.expectNone("processor: answer")
}

// TestDuplicateReplyLate guards against a late duplicate of a reply that is taken for the reply to the next call of the
// same request: a connection carried that call too if it had carried the call of another request in between.
func TestDuplicateReplyLate(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	client := bed.dialClient()
	bed.startRun(client, 1)
	bed.serveCall("first call")
	bed.startRun(client, 2)
	bed.startCall(2, "call")
	bed.step([]string{"tier", "replies", "0000000000000002", "reply"})
	bed.expect(`processor: answer 0000000000000002 "reply"`)
	bed.startCall(1, "second call")
	release := bed.holdOwner()
	// On the connection of the first call, ahead of the reply to the second one.
	bed.upstream.write("0000000000000002 ok 5\r\nreply\r\n0000000000000001 ok 4\r\nlate\r\n")
	bed.awaitOwnerInput()
	release()
	bed.step([]string{"tier", "replies", "0000000000000001", "second reply"})
	bed.expect(`processor: answer 0000000000000001 "second reply"`)
	bed.expectNone("processor: answer")
}

// TestConnectionLimitReplaces checks that a call that no connection may carry is sent at the connection limit too: on a
// connection that replaces an idle one, or one that becomes idle.
func TestConnectionLimitReplaces(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, map[string]string{"sockets": "32"})
	const limit = 4 // an eighth of the sockets
	client := bed.dialClient()
	bed.startRun(client, 1)
	for range limit + 1 { // the last one replaces an idle connection
		bed.serveCall("call")
	}
	for slot := uint16(2); slot < 2+limit; slot++ {
		bed.startRun(client, slot)
		bed.startCall(slot, "call")
	}
	bed.step([]string{"processor", "notes", "ask", "0000000000000001", "late call"})
	bed.await(func() bool { return bed.backend.requests[1].state == stateCalling })
	bed.step([]string{"tier", "replies", "0000000000000002", "reply"}) // its connection has carried a call of request 1
	bed.expect(`tier: invoke 0000000000000001 "late call"`)
	bed.await(func() bool { return bed.backend.upstream.connectionCount() == limit })
}
