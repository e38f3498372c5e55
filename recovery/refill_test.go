package recovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRefill checks that pages are queried one by one and from a limited number of nodes at a time, that a silent node is queried at
// growing intervals, that the transfer from a restarted node restarts, that a node that has lost history itself does not count as complete,
// and that pages for an earlier incarnation are ignored.
func TestRefill(t *testing.T) {
	r := NewRefill[int](RefillConfig{Incarnation: 7, Others: []string{"a", "b", "c", "d"}, MaxConcurrent: 2}, 5)
	const pages = 3
	incarnations := map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1}
	isComplete := map[string]bool{"a": true, "c": true, "d": true}
	var events strings.Builder
	record := func(now time.Duration, format string, args ...any) {
		fmt.Fprintf(&events, "%s ", now)
		fmt.Fprintf(&events, format+"\n", args...)
	}
	unansweredQueries := 0 // queries to a
	for now := time.Duration(0); now < 12*time.Second && !r.Done(); now += 10 * time.Millisecond {
		if now == 40*time.Millisecond {
			incarnations["c"] = 2
			record(now, "c restarts")
		}
		if now == 6*time.Second {
			isComplete["b"] = true
			record(now, "b is complete")
		}
		for _, q := range r.Tick(now, func(name string) bool { return name != "d" || now > time.Second }) {
			if q.To == "a" && q.From == 1 && unansweredQueries < 3 {
				unansweredQueries++
				record(now, "a is silent")
				continue
			}
			page := PageInfo[int]{
				Incarnation: 7,
				From:        q.From,
				Next:        q.From + 1,
				Keys:        10,
				Last:        q.From+1 == pages,
				Complete:    isComplete[q.To],
			}
			late := page
			late.Incarnation = 6
			if r.Expects(q.To, incarnations[q.To], &late) {
				t.Error("a page for an earlier incarnation is accepted")
			}
			if !r.Expects(q.To, incarnations[q.To], &page) {
				record(now, "%s: page %d is stale", q.To, q.From)
				continue
			}
			record(now, "%s sends page %d, last %v, complete %v", q.To, q.From, page.Last, page.Complete)
			r.PageReceived(now, q.To, &page, true)
			if r.Expects(q.To, incarnations[q.To], &page) {
				t.Error("the same page is accepted twice")
			}
		}
		if r.Covers([]string{"b"}) && !isComplete["b"] || r.Covers([]string{"a", "x"}) {
			t.Fatal("Covers reports a node that has not sent all of its records")
		}
	}
	record(0, "done %v, covers all %v, %v", r.Done(), r.Covers([]string{"a", "b", "c", "d"}), r.Progress())
	want := `0s c sends page 0, last false, complete true
0s a sends page 0, last false, complete true
20ms c sends page 1, last false, complete true
20ms a is silent
40ms c restarts
40ms c: page 2 is stale
50ms c sends page 0, last false, complete true
70ms c sends page 1, last false, complete true
90ms c sends page 2, last true, complete true
100ms b sends page 0, last false, complete false
120ms b sends page 1, last false, complete false
140ms b sends page 2, last true, complete false
190ms a is silent
580ms a is silent
1.01s d sends page 0, last false, complete true
1.03s d sends page 1, last false, complete true
1.05s d sends page 2, last true, complete true
1.63s a sends page 1, last false, complete true
1.65s a sends page 2, last true, complete true
5.14s b sends page 0, last false, complete false
5.16s b sends page 1, last false, complete false
5.18s b sends page 2, last true, complete false
6s b is complete
10.18s b sends page 0, last false, complete true
10.2s b sends page 1, last false, complete true
10.22s b sends page 2, last true, complete true
0s done true, covers all true, [{c told 50 5} {d told 30 3} {a told 30 3} {b told 90 9}]
`
	if diff := cmp.Diff(want, events.String()); diff != "" {
		t.Error(diff)
	}
}
