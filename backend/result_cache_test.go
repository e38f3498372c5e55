package backend

import (
	"fmt"
	"testing"
	"time"

	"frosthub/accounting"
	"frosthub/overload"
)

// newCacheBackend returns a backend that does not serve, for tests of its result cache that set the clock.
func newCacheBackend(t *testing.T, memoryMB string) *Backend {
	t.Helper()
	bed := &testbed{t: t, listenAddress: "127.0.0.1:0", options: map[string]string{"claim": "dedup", "memory_mb": memoryMB}}
	bed.startFakes("")
	t.Cleanup(func() { bed.processor.stop(); bed.upstream.stop() })
	return New(bed.config(), nil)
}

// Handlers of the test's settings.
const (
	readHandler  = 0 // requests that only read, whose results are shared for 0.8 s
	claimHandler = 1 // requests that run only once, with a repeat window of 60 s
)

// newCacheRequest returns a request that is read now and that arrived the duration unread earlier.
func newCacheRequest(b *Backend, id uint64, handler int, name string, unread time.Duration) *request {
	return &request{
		id:        id,
		handler:   handler,
		cacheKey:  cacheKey{handler: handler, name: name},
		verified:  true,
		arrivedAt: b.now - unread,
		readAt:    b.now,
	}
}

// TestCacheWindows checks that a request counts as a repeat of one that must run only once by the time when it arrived,
// not when it was read, and that the result of a read is shared for a limited time after its end.
func TestCacheWindows(t *testing.T) {
	b := newCacheBackend(t, "192")
	const second, ms = time.Second, time.Millisecond
	for _, step := range []struct {
		at      time.Duration
		id      uint64
		handler int
		unread  time.Duration
		repeats uint64
	}{
		{at: 1 * second, id: 1, handler: claimHandler},
		{at: 61*second - ms, id: 2, handler: claimHandler, repeats: 1},
		{at: 61*second + 500*ms, id: 3, handler: claimHandler, unread: 501 * ms, repeats: 1}, // arrived just before the end of the window
		{at: 62 * second, id: 4, handler: claimHandler, unread: second - 3*ms},               // arrived just after the end of the window
		{at: 62 * second, id: 5, handler: readHandler},
		{at: 62*second + 799*ms, id: 6, handler: readHandler, repeats: 5},
		{at: 62*second + 801*ms, id: 7, handler: readHandler, unread: 10 * ms},
	} {
		b.now = step.at
		b.results.sweep()
		r := newCacheRequest(b, step.id, step.handler, "k", step.unread)
		b.results.checkRepeat(r)
		if r.originalID != step.repeats {
			t.Errorf("request %d repeats %d, want %d", step.id, r.originalID, step.repeats)
		}
		if r.originalID == 0 {
			b.results.storeEntry(r, time.Hour)
			b.results.requestEnded(r, requestEnd{outcome: overload.OK, mayHaveRun: true, result: []byte("x")})
		}
	}
	b.now = time.Hour
	b.results.sweep()
	if len(b.results.byID) > 0 || len(b.results.entries) > 0 || b.results.usedBytes != 0 {
		t.Error("not all entries have expired:", len(b.results.byID), len(b.results.entries), b.results.usedBytes)
	}
}

// TestCacheFull checks that at the memory limit requests that must run only once are rejected, and that no cached one
// is dropped.
func TestCacheFull(t *testing.T) {
	b := newCacheBackend(t, "1")
	claim := func(id uint64, name int) *request { return newCacheRequest(b, id, claimHandler, fmt.Sprint(name), 0) }
	admitted := 0
	for i := range 100 {
		if b.results.checkRepeat(claim(uint64(i)+1, i)) == accounting.NoReason {
			admitted++
		}
	}
	if admitted == 0 || admitted == 100 || float64(b.results.usedBytes) > b.memoryShare(resultCacheShare) {
		t.Error(admitted, "of 100 requests were admitted,", b.results.usedBytes, "bytes are cached")
	}
	for i := range admitted {
		id := uint64(i) + 1
		b.results.requestEnded(claim(id, i), requestEnd{outcome: overload.Failed, mayHaveRun: true})
		if r := claim(id+999, i); b.results.checkRepeat(r) != accounting.NoReason || r.originalID != id {
			t.Fatal(i, "is no longer cached")
		}
	}
	b.results.requestWithdrawn(&request{id: 1})
	if r := claim(2000, 0); b.results.checkRepeat(r) != accounting.NoReason || r.originalID != 0 {
		t.Error("a request that never ran is still cached")
	}
}

// TestOptionalRequestFields checks that the customer of a request is looked up in the settings by name, and that the
// client timeout is taken from its header.
func TestOptionalRequestFields(t *testing.T) {
	for _, front := range []string{"fastcgi", "ajp"} {
		t.Run(front, func(t *testing.T) {
			t.Parallel()
			bed := &testbed{t: t, clients: map[string]*clientSocket{}, knownIDs: map[string]bool{}, useAJP: front == "ajp"}
			bed.start(map[string]string{})
			bed.awaitQuiet(2)
			bed.step([]string{"processor", "says", "hi warm 500000"})
			bed.awaitQuiet(1)
			bed.step([]string{"edge", "a", "sends", "1", "HTTP_X_TENANT=south", "HTTP_X_TIMEOUT_MS=700"})
			bed.step([]string{"edge", "a", "sends", "2", "HTTP_X_TENANT=east"})
			bed.awaitQuiet(2)
			bed.backend.runOnOwner(func() {
				known, unknown := bed.backend.requests[1], bed.backend.requests[2]
				if known == nil || known.arrival.Customer != 1 || known.arrival.Remaining <= 0 || known.arrival.Remaining > 700*time.Millisecond {
					t.Error("request of a configured customer with a timeout:", known)
				}
				if unknown == nil || unknown.arrival.Customer != -1 || unknown.arrival.Remaining != 0 {
					t.Error("request of a customer that is not in the settings:", unknown)
				}
			})
		})
	}
}
