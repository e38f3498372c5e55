package backend

import (
	"fmt"
	"frosthub/accounting"
	"frosthub/overload"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// keysAt is a table of remembered reqs whose clock the test sets.
func keysAt(t *testing.T, memoryMB string) *Backend {
	s := &stage{t: t, listen: "127.0.0.1:0", options: map[string]string{"claim": "dedup", "memory_mb": memoryMB}}
	s.newPeers("")
	t.Cleanup(func() { s.processor.shut(); s.tier.shut() })
	return New(s.config(), nil)
}

// reads gives a req of a handler that came so long before it is read now.
func (b *Backend) reads(id uint64, h int, name string, unread time.Duration) *request {
	return &request{id: id, handler: h, subject: cacheKey{handler: h, name: name}, verified: true, arrivedAt: b.now - unread, readAt: b.now}
}

// TestWindows: what repeats a req that must run once is told by when it came and not by when it was read; the result of a
// read is shared until so long after its end. The test's handlers: 0 are reads, shared for 0.8 s; 1 has a window of 60 s.
func TestWindows(t *testing.T) {
	b := keysAt(t, "192")
	var got []string
	step := func(at time.Duration, id uint64, h int, unread time.Duration) {
		b.now = at
		b.results.sweep()
		r := b.reads(id, h, "k", unread)
		b.results.lookup(r)
		got = append(got, fmt.Sprintf("%d repeats %d", id, r.originalID))
		if r.originalID == 0 {
			b.results.remember(r, time.Hour)
			b.results.ended(r, overload.OK, true, []byte("x"))
		}
	}
	const s, ms = time.Second, time.Millisecond
	step(1*s, 1, 1, 0)
	step(61*s-ms, 2, 1, 0)
	step(61*s+500*ms, 3, 1, 501*ms) // came in the window's last moment and lay unread
	step(62*s, 4, 1, s-3*ms)        // came right after it
	step(62*s, 5, 0, 0)
	step(62*s+799*ms, 6, 0, 0)
	step(62*s+801*ms, 7, 0, 10*ms)
	want := []string{"1 repeats 0", "2 repeats 1", "3 repeats 1", "4 repeats 0", "5 repeats 0", "6 repeats 5", "7 repeats 0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	b.now = time.Hour
	b.results.sweep()
	if len(b.results.byID) > 0 || len(b.results.entries) > 0 || b.results.resultBytes != 0 {
		t.Error("not all is let go:", len(b.results.byID), len(b.results.entries), b.results.resultBytes)
	}
}

// TestKeysFull: at the bound of memory what must run once is refused, and none of what is remembered is forgotten.
func TestKeysFull(t *testing.T) {
	b := keysAt(t, "1")
	taken := 0
	for i := range uint64(100) {
		if r := b.reads(i+1, 1, fmt.Sprint(i), 0); b.results.lookup(r) == accounting.None {
			taken++
		}
	}
	if taken == 0 || taken == 100 || float64(b.results.resultBytes) > b.memoryShare(resultCacheShare) {
		t.Error(taken, "of 100 are taken,", b.results.resultBytes, "bytes are kept")
	}
	for i := range uint64(taken) {
		b.results.ended(b.reads(i+1, 1, fmt.Sprint(i), 0), overload.Failed, true, nil)
		if r := b.reads(i+1000, 1, fmt.Sprint(i), 0); b.results.lookup(r) != accounting.None || r.originalID != i+1 {
			t.Fatal(i, "is forgotten")
		}
	}
	b.results.ended(&request{id: 1}, overload.Failed, false, nil)
	if r := b.reads(2000, 1, "0", 0); b.results.lookup(r) != accounting.None || r.originalID != 0 {
		t.Error("what never ran is still known")
	}
}

// TestFieldsOfOthers: a customer is known by its name in the settings, and how long a caller waits by what it tells.
func TestFieldsOfOthers(t *testing.T) {
	for _, front := range []string{"fastcgi", "ajp"} {
		t.Run(front, func(t *testing.T) {
			t.Parallel()
			s := &stage{t: t, edges: map[string]*edgeNode{}, known: map[string]bool{}, ajp: front == "ajp"}
			s.start(map[string]string{})
			s.settle(2)
			s.step([]string{"processor", "says", "hi warm 500000"})
			s.settle(1)
			s.step([]string{"edge", "a", "sends", "1", "HTTP_X_TENANT=south", "HTTP_X_TIMEOUT_MS=700"})
			s.step([]string{"edge", "a", "sends", "2", "HTTP_X_TENANT=east"})
			s.settle(2)
			s.b.onOwner(func() {
				told, other := s.b.requests[1], s.b.requests[2]
				if told == nil || told.arrival.Customer != 1 || told.arrival.Remaining <= 0 || told.arrival.Remaining > 700*time.Millisecond {
					t.Error("a told customer and time:", told)
				}
				if other == nil || other.arrival.Customer != -1 || other.arrival.Remaining != 0 {
					t.Error("a customer that the settings don't know:", other)
				}
			})
		})
	}
}
