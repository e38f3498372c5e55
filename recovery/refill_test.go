package recovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRefill: pages are asked for one by one, of some boxes at a time; who does not answer is asked more seldom, who starts anew tells from the
// start, who has lost something itself does not count, and late pages do nothing.
func TestRefill(t *testing.T) {
	r := NewRefill[int](RefillConfig{Incarnation: 7, Others: []string{"a", "b", "c", "d"}, MaxConcurrent: 2}, 5)
	const pages = 3
	life := map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1}
	full := map[string]bool{"a": true, "c": true, "d": true}
	var text strings.Builder
	say := func(now time.Duration, format string, args ...any) {
		fmt.Fprintf(&text, "%s ", now)
		fmt.Fprintf(&text, format+"\n", args...)
	}
	silent, asked := 0, map[string]int{}
	for now := time.Duration(0); now < 12*time.Second && !r.Done(); now += 10 * time.Millisecond {
		if now == 40*time.Millisecond {
			life["c"] = 2
			say(now, "c starts anew")
		}
		if now == 6*time.Second {
			full["b"] = true
			say(now, "b is whole")
		}
		for _, q := range r.Tick(now, func(name string) bool { return name != "d" || now > time.Second }) {
			if asked[q.To]++; q.To == "a" && q.From == 1 && silent < 3 {
				silent++
				say(now, "a is silent")
				continue
			}
			p := PageInfo[int]{Incarnation: 7, From: q.From, Next: q.From + 1, Keys: 10, Last: q.From+1 == pages, Complete: full[q.To]}
			late := p
			late.Incarnation = 6
			if r.Wants(q.To, life[q.To], &late) {
				t.Error("a page for an earlier life")
			}
			if !r.Wants(q.To, life[q.To], &p) {
				say(now, "%s: from %d is void", q.To, q.From)
				continue
			}
			say(now, "%s tells from %d, last %v, whole %v", q.To, q.From, p.Last, p.Complete)
			r.PageReceived(now, q.To, &p, true)
			if r.Wants(q.To, life[q.To], &p) {
				t.Error("the same page twice")
			}
		}
		if r.Covers([]string{"b"}) && !full["b"] || r.Covers([]string{"a", "x"}) {
			t.Fatal("covers what it does not")
		}
	}
	say(0, "done %v, covers all %v, %v", r.Done(), r.Covers([]string{"a", "b", "c", "d"}), r.Progress())
	want := `0s c tells from 0, last false, whole true
0s a tells from 0, last false, whole true
20ms c tells from 1, last false, whole true
20ms a is silent
40ms c starts anew
40ms c: from 2 is void
50ms c tells from 0, last false, whole true
70ms c tells from 1, last false, whole true
90ms c tells from 2, last true, whole true
100ms b tells from 0, last false, whole false
120ms b tells from 1, last false, whole false
140ms b tells from 2, last true, whole false
190ms a is silent
580ms a is silent
1.01s d tells from 0, last false, whole true
1.03s d tells from 1, last false, whole true
1.05s d tells from 2, last true, whole true
1.63s a tells from 1, last false, whole true
1.65s a tells from 2, last true, whole true
5.14s b tells from 0, last false, whole false
5.16s b tells from 1, last false, whole false
5.18s b tells from 2, last true, whole false
6s b is whole
10.18s b tells from 0, last false, whole true
10.2s b tells from 1, last false, whole true
10.22s b tells from 2, last true, whole true
0s done true, covers all true, [{c told 50 5} {d told 30 3} {a told 30 3} {b told 90 9}]
`
	if diff := cmp.Diff(want, text.String()); diff != "" {
		t.Error(diff)
	}
}

// TestSettling: keys in doubt are asked about some at a time and ever more seldom, until they are in doubt no more or too often asked for.
func TestSettling(t *testing.T) {
	var keys [][16]byte
	for i := range 40 {
		keys = append(keys, [16]byte{byte(i)})
	}
	s := NewUnknownOutcomes(keys)
	asks := map[byte]int{}
	doubted := func(k [16]byte) bool { return k[0] != 3 || asks[3] < 2 }
	for now := time.Duration(0); s.Remaining() > 0; now += 10 * time.Millisecond {
		if now > time.Hour {
			t.Fatal("it never ends: ", s.Remaining())
		}
		most := 0
		for _, k := range s.Tick(now, doubted) {
			asks[k[0]]++
			most++
		}
		if most > settleBatch {
			t.Fatal("too many at a time: ", most)
		}
		if now == 100*time.Millisecond && len(asks) != 40 {
			t.Error("asked about ", len(asks))
		}
	}
	if asks[3] != 2 || asks[4] != settleTries {
		t.Error(asks)
	}
}
