package backend

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"
)

// eventTimeout bounds the wait for an expected event. It is long because a machine may stall; only a failing test waits
// for all of it.
const eventTimeout = time.Minute

// newReadyTestbed returns a testbed whose backend serves and whose processor is ready.
func newReadyTestbed(t *testing.T, options map[string]string) *testbed {
	bed := newTestbed(t)
	bed.start(withLongTimeouts(options))
	bed.expect("processor: hello 0")
	bed.step([]string{"processor", "says", "hi warm 500000"})
	bed.expect("control: lease n3 Ready")
	bed.await(func() bool { return bed.backend.processor.ready() })
	return bed
}

// withLongTimeouts returns options with timeouts of a minute, so that no timeout interferes with a test of crossing
// messages.
func withLongTimeouts(options map[string]string) map[string]string {
	all := map[string]string{"timeout": "60000000", "target": "60000000", "grace": "60000000"}
	maps.Copy(all, options)
	return all
}

// takeLine removes and returns the first printed line with the prefix, if there is one.
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

// expect waits until a party has printed the line, and removes it.
func (bed *testbed) expect(line string) {
	bed.t.Helper()
	got := ""
	if !bed.eventually(func() (ok bool) { got, ok = bed.takeLine(line); return ok }) {
		bed.mu.Lock()
		defer bed.mu.Unlock()
		bed.t.Fatalf("no line %q among %q", line, bed.printed)
	}
	if got != line {
		bed.t.Fatalf("got %q, want %q", got, line)
	}
}

// expectNone fails the test if a party has printed a line with the prefix.
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

// eventually calls f until it returns true or eventTimeout has passed, and reports whether it returned true.
func (bed *testbed) eventually(f func() bool) bool {
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// holdOwner blocks the owner until the returned function is called. The owner then calls the functions in then.
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

// runInTurn has the owner call f, and waits until that turn is over.
func (bed *testbed) runInTurn(f func()) {
	done := make(chan struct{})
	bed.backend.loop.Post(func() { f(); bed.backend.loop.Post(func() { close(done) }) })
	select {
	case <-done:
	case <-bed.backend.done:
	}
}

// startRun sends a request whose id is its slot, and waits until its run has begun.
func (bed *testbed) startRun(client *testClient, slot uint16) {
	bed.t.Helper()
	client.send(fastcgiRequest(slot, nil))
	bed.expect(fmt.Sprintf("processor: begin %016x status \"\"", slot))
}

// serveRequest sends a request, completes its run and reads the response. The connection is verified from then on.
func (bed *testbed) serveRequest(client *testClient, slot uint16) {
	bed.t.Helper()
	bed.startRun(client, slot)
	bed.completeRun(slot)
	client.expect(fmt.Sprintf("%d Status: 200 OK", slot))
}

// startCall makes the run of the request in a slot request a call, and waits until the upstream tier has received it.
func (bed *testbed) startCall(slot uint16, body string) {
	bed.t.Helper()
	id := fmt.Sprintf("%016x", slot)
	bed.step([]string{"processor", "notes", "ask", id, body})
	bed.expect(fmt.Sprintf("tier: invoke %s %q", id, body))
}

// completeRun makes the processor report that the run of the request in a slot has succeeded.
func (bed *testbed) completeRun(slot uint16) {
	bed.step([]string{"processor", "notes", "complete", fmt.Sprintf("%016x", slot), "ok", "5", "done"})
}

// expectExit waits until Serve has returned without an error.
func (bed *testbed) expectExit() {
	bed.t.Helper()
	bed.expect("backend: ended: <nil>")
}

// awaitOwnerInput waits until input is queued for the owner, which is blocked.
func (bed *testbed) awaitOwnerInput() {
	bed.t.Helper()
	if !bed.eventually(func() bool { return !bed.backend.loop.Idle() }) {
		bed.t.Fatal("no input arrived for the owner")
	}
}

// awaitPartialRequests waits until n connections hold an incomplete request and no complete one.
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

// awaitUnverified waits until n requests await verification by the processor.
func (bed *testbed) awaitUnverified(n int) {
	bed.t.Helper()
	bed.await(func() bool { return len(bed.backend.processor.unverified) == n })
}

// await waits until f, called by the owner, returns true.
func (bed *testbed) await(f func() bool) {
	bed.t.Helper()
	if !bed.eventually(func() bool {
		holds := false
		bed.runInTurn(func() { holds = f() })
		return holds
	}) {
		bed.t.Fatal("the awaited condition did not become true")
	}
}
