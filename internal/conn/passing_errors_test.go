//go:build faults

package conn

import (
	"io"
	"testing"

	"frosthub/internal/faultinject"
)

// TestPassingErrors checks that a temporary write error loses no response, and
// that a temporary accept error loses no connection.
func TestPassingErrors(t *testing.T) {
	for _, fault := range []string{"write ENOBUFS", "write ENOMEM", "accept EMFILE", "accept ENOMEM"} {
		t.Run(fault, func(t *testing.T) {
			l := NewLoop()
			server := serveEcho(t, l, 10)
			faultinject.SetFaults(fault)
			t.Cleanup(func() { faultinject.SetFaults("") })
			peer := connect(t, server.address)
			_, _ = peer.Write([]byte("hello"))
			echoed := make(chan error, 1)
			go func() {
				_, err := io.ReadFull(peer, make([]byte, 5))
				echoed <- err
			}()
			runLoop(l, func() bool { // runs until a system call has failed
				return len(server.rejected) > 0 || l.Stalled() > 0 || len(server.closeErrors) > 0
			})
			faultinject.SetFaults("")
			received := false
			if !runLoop(l, func() bool {
				select {
				case err := <-echoed:
					received = err == nil
					return true
				default:
					return false
				}
			}) || !received {
				t.Error("no response; close errors:", server.closeErrors)
			}
		})
	}
}

// TestPassingDialError checks that a temporary dial error is reported, and that
// the next dial succeeds.
func TestPassingDialError(t *testing.T) {
	l := NewLoop()
	server := serveEcho(t, l, 10)
	faultinject.SetFaults("connect ENOBUFS")
	t.Cleanup(func() { faultinject.SetFaults("") })
	result := make(chan error, 1)
	dialOnce := func() error {
		l.Dial(server.address, func(_ *Conn, err error) { result <- err })
		runLoop(l, func() bool { return len(result) == 1 })
		return <-result
	}
	if err := dialOnce(); err == nil {
		t.Error("the dial did not fail, so the test proves nothing")
	}
	faultinject.SetFaults("")
	if err := dialOnce(); err != nil {
		t.Error(err)
	}
}
