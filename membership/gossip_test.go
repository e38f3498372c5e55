package membership

import (
	"slices"
	"testing"
)

// TestGossipQueue checks that the queue returns names in the order of their transmissions, drops names that are over the limit, and resets
// the count of a name that is enqueued again.
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
	check("oldest entry first", take(2), "a", "b")
	check("fewest transmissions first", take(2), "c", "a")
	queue.enqueue("a")
	check("enqueuing again resets the count", take(1), "a")
	check("the rest", take(9), "b", "c", "a")
	// With a limit of 2, each name is taken three times at most: b and c were taken twice so far, a twice since it was enqueued again.
	queue.remove("c")
	check("removed name is skipped", take(9), "b", "a")
	check("all names are over the limit", take(9))
}
