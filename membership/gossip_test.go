package membership

import (
	"slices"
	"testing"
)

// TestGossipQueue checks that names are taken in the order of how often they were, that they are dropped at the limit, and that a new update
// begins anew.
func TestGossipQueue(t *testing.T) {
	const limit = 2
	var queue gossipQueue
	take := func(count int) []string {
		var taken []string
		queue.take(limit, func(name string) bool {
			taken = append(taken, name)
			return len(taken) < count
		})
		return taken
	}
	check := func(step string, got []string, want ...string) {
		t.Helper()
		if !slices.Equal(got, want) {
			t.Errorf("%s: %q, want %q", step, got, want)
		}
	}
	check("empty", take(1))
	for _, name := range []string{"a", "b", "c"} {
		queue.enqueue(name)
	}
	check("oldest first", take(2), "a", "b")
	check("least often first", take(2), "c", "a")
	queue.enqueue("a")
	check("a new update begins anew", take(1), "a")
	check("the rest", take(9), "b", "c", "a")
	// Of limit 2 each name may be taken three times: b and c were so twice, and a twice since it began anew.
	queue.remove("c")
	check("without a removed name", take(9), "b", "a")
	check("all are at the limit", take(9))
}
