//go:build faults

package conn

import (
	"frosthub/internal/faultinject"
	"io"
	"testing"
)

// TestPassingErrors: a write that fails for a moment costs no answer, and an accept no connection.
func TestPassingErrors(t *testing.T) {
	for _, fault := range []string{"write ENOBUFS", "write ENOMEM", "accept EMFILE", "accept ENOMEM"} {
		t.Run(fault, func(t *testing.T) {
			b := NewLoop()
			var conns []*Conn
			var ends []error
			address, refused := serve(t, b, 10, &conns, &ends)
			faultinject.Tell(fault)
			t.Cleanup(func() { faultinject.Tell("") })
			peer := dial(t, address)
			_, _ = peer.Write([]byte("hello"))
			heard := make(chan error, 1)
			go func() {
				_, err := io.ReadFull(peer, make([]byte, 5))
				heard <- err
			}()
			owner(b, func() bool { return len(refused) > 0 || b.Stalled() > 0 || len(ends) > 0 }) // it has failed
			faultinject.Tell("")
			done := false
			if !owner(b, func() bool {
				select {
				case err := <-heard:
					done = err == nil
					return true
				default:
					return false
				}
			}) || !done {
				t.Error("no answer; ends:", ends)
			}
		})
	}
}

// TestPassingDial: a dial that fails for a moment is told of, and the next one stands.
func TestPassingDial(t *testing.T) {
	b := NewLoop()
	var conns []*Conn
	var ends []error
	address, _ := serve(t, b, 10, &conns, &ends)
	faultinject.Tell("connect ENOBUFS")
	t.Cleanup(func() { faultinject.Tell("") })
	told := make(chan error, 1)
	tried := func() error {
		b.Dial(address, func(_ *Conn, err error) { told <- err })
		owner(b, func() bool { return len(told) == 1 })
		return <-told
	}
	if err := tried(); err == nil {
		t.Error("it did not fail: nothing is shown")
	}
	faultinject.Tell("")
	if err := tried(); err != nil {
		t.Error(err)
	}
}
