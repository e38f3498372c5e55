package backend

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"
)

// eventTimeout bounds the wait for an event that must come. A machine may stall for long, and only a test that fails
// waits so long.
const eventTimeout = time.Minute

// newReadyTestbed returns a testbed whose backend serves, with its processor up.
func newReadyTestbed(t *testing.T, options map[string]string) *testbed {
	bed := newTestbed(t)
	bed.start(withLongTimeouts(options))
	bed.expect("processor: hello 0")
	bed.step([]string{"processor", "says", "hi warm 500000"})
	bed.expect("control: lease n3 Ready")
	bed.await(func() bool { return bed.backend.processor.ready() })
	return bed
}

// withLongTimeouts returns options by which clients wait for a minute: no clock decides a crossing.
func withLongTimeouts(options map[string]string) map[string]string {
	all := map[string]string{"timeout": "60000000", "target": "60000000", "grace": "60000000"}
	maps.Copy(all, options)
	return all
}

// takeLine takes the first line that begins so, if a party has printed one.
func (bed *testbed) takeLine(prefix string) (line string, ok bool) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for i, line := range bed.printed {
		if strings.HasPrefix(line, prefix) {
			bed.printed = append(bed.printed[:i:i], bed.printed[i+1:]...)
			return line, true
		}
	}
	return "", false
}

// expect waits until a party has printed the line, and takes it.
func (bed *testbed) expect(line string) {
	bed.t.Helper()
	got := ""
	if !bed.eventually(func() (ok bool) { got, ok = bed.takeLine(line); return ok }) {
		bed.mu.Lock()
		defer bed.mu.Unlock()
		bed.t.Fatalf("no %q, but %q", line, bed.printed)
	}
	if got != line {
		bed.t.Fatalf("%q, not %q", got, line)
	}
}

// expectNone fails the test if a party has printed a line that begins so.
func (bed *testbed) expectNone(prefix string) {
	bed.t.Helper()
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for _, line := range bed.printed {
		if strings.HasPrefix(line, prefix) {
			bed.t.Errorf("%q", line)
		}
	}
}

func (bed *testbed) eventually(f func() bool) bool {
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// holdOwner keeps the owner at a gate until the returned function is called.
func (bed *testbed) holdOwner(then ...func()) (release func()) {
	gate, held := make(chan struct{}), make(chan struct{})
	bed.backend.loop.Post(func() {
		close(held)
		<-gate
		for _, f := range then {
			f()
		}
	})
	<-held
	return sync.OnceFunc(func() { close(gate) })
}

// runInTurn has the owner call f, and waits until the turn of that is over.
func (bed *testbed) runInTurn(f func()) {
	done := make(chan struct{})
	bed.backend.loop.Post(func() { f(); bed.backend.loop.Post(func() { close(done) }) })
	select {
	case <-done:
	case <-bed.backend.done:
	}
}

// startRun sends a request, and waits until it runs.
func (bed *testbed) startRun(client *testClient, slot uint16) {
	bed.t.Helper()
	client.send(fastcgiRequest(slot, nil))
	bed.expect(fmt.Sprintf("processor: begin %016x status \"\"", slot))
}

// serveRequest has the connection be verified: a request of it is run and answered.
func (bed *testbed) serveRequest(client *testClient, slot uint16) {
	bed.t.Helper()
	bed.startRun(client, slot)
	bed.completeRun(slot)
	client.expect(fmt.Sprintf("%d Status: 200 OK", slot))
}

// completeRun has the processor say that the run of a slot's request ended well.
func (bed *testbed) completeRun(slot uint16) {
	bed.step([]string{"processor", "notes", "complete", fmt.Sprintf("%016x", slot), "ok", "5", "done"})
}

func (bed *testbed) expectExit() {
	bed.t.Helper()
	bed.expect("backend: ended: <nil>")
}

// awaitOwnerInput waits until something waits for the owner, which is held.
func (bed *testbed) awaitOwnerInput() {
	bed.t.Helper()
	if !bed.eventually(func() bool { return !bed.backend.loop.Idle() }) {
		bed.t.Fatal("nothing arrives")
	}
}

// awaitPartialRequests waits until so many connections hold a request that is not whole.
func (bed *testbed) awaitPartialRequests(n int) {
	bed.t.Helper()
	bed.await(func() bool {
		partial := 0
		for client := range bed.backend.frontend.clients {
			if len(client.requests) == 0 && client.protocol.openSlots() > 0 {
				partial++
			}
		}
		return partial == n
	})
}

// awaitUnverified waits until the processor is asked for so many requests.
func (bed *testbed) awaitUnverified(n int) {
	bed.t.Helper()
	bed.await(func() bool { return len(bed.backend.processor.unverified) == n })
}

// await waits until the owner finds f to be true.
func (bed *testbed) await(f func() bool) {
	bed.t.Helper()
	if !bed.eventually(func() bool {
		holds := false
		bed.runInTurn(func() { holds = f() })
		return holds
	}) {
		bed.t.Fatal("it does not come about")
	}
}
