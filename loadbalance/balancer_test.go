package loadbalance

import (
	"container/heap"
	"fmt"
	"frosthub/internal/golden"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() { golden.SameDraws() }

func peers(n int) (out []Peer) {
	for i := range n {
		out = append(out, Peer{Address: fmt.Sprint("p", i), Route: fmt.Sprint("w", i)})
	}
	return out
}

// TestRules: whatever happens, no peer has more than its most, none that is out is picked, the floor stays in service,
// further tries stay within their budget and go elsewhere, and counts come back to zero.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "peers")
		cfg := Config{Peers: peers(n), Seed: rapid.Uint64().Draw(t, "seed")}
		for i := range cfg.Peers {
			cfg.Peers[i].MaxCalls = rapid.IntRange(1, 5).Draw(t, "most")
			cfg.Peers[i].Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
		}
		r := New(cfg)
		now := time.Duration(0)
		var out []*Target
		firsts, furthers := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				firsts++
				sticky := rapid.SampledFrom([]string{"", "w0", "w1", "none"}).Draw(t, "sticky")
				p := r.Pick(now, sticky)
				if p == nil {
					for _, x := range r.Targets() {
						if x.State == InService && x.Outstanding < x.MaxCalls {
							t.Fatal("a peer in service has room and is not picked")
						}
					}
					continue
				}
				if p.State == Ejected || p.Outstanding > p.MaxCalls || p.Removed {
					t.Fatalf("%+v is picked", p)
				}
				out = append(out, p)
			case 3:
				if len(out) == 0 {
					continue
				}
				not := rapid.SampledFrom(out).Draw(t, "not")
				if p := r.Pick(now, "", not); p != nil {
					furthers++
					if p == not {
						t.Fatal("a further try at the same peer")
					}
					out = append(out, p)
				}
			case 4, 5:
				if len(out) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				r.Done(now, out[i], rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Overloaded, Fault, TimedOut, Abandoned}).Draw(t, "how"))
				out = append(out[:i], out[i+1:]...)
			case 6:
				if rapid.IntRange(0, 9).Draw(t, "update") == 0 {
					cfg.Peers = peers(rapid.IntRange(1, 6).Draw(t, "peers"))
					r.Update(cfg)
				}
			}
			for _, x := range r.Targets() {
				if x.Outstanding < 0 {
					t.Fatal("fewer than none")
				}
			}
			if float64(furthers) > maxRetryTokens+0.1*float64(firsts) {
				t.Fatal(furthers, "further tries for", firsts)
			}
		}
		for _, p := range out {
			r.Done(now, p, Abandoned)
		}
		for _, x := range r.Targets() {
			if x.Outstanding != 0 {
				t.Fatal("out there after all have ended: ", x.Outstanding)
			}
		}
	})
}

// TestScript: a script of calls and the picks that follow, as people read it.
func TestScript(t *testing.T) {
	r := New(Config{Peers: []Peer{{Address: "a", Weight: 2}, {Address: "b", Route: "wb", MaxCalls: 2}, {Address: "c"}}, Seed: 7})
	var got []string
	now := time.Duration(0)
	pick := func(sticky string, not ...*Target) *Target {
		p := r.Pick(now, sticky, not...)
		if p == nil {
			got = append(got, "none")
		} else {
			got = append(got, p.Address)
		}
		return p
	}
	state := func() {
		var s []string
		for _, x := range r.Targets() {
			s = append(s, fmt.Sprint(x.Address, " ", x.State, " ", x.Outstanding))
		}
		got = append(got, strings.Join(s, ", "))
	}
	a, b := pick(""), pick("")
	pick("")
	pick("")
	pick("wb")
	pick("wb") // b has its most
	state()
	for range 3 { // two outstanding and one more fail at b
		r.Done(now, b, Fault)
		if b.Outstanding == 0 {
			r.Pick(now, "wb")
		}
	}
	for _, x := range r.Targets() {
		for x.Outstanding > 0 {
			r.Done(now, x, Succeeded)
		}
	}
	state()
	a = pick("")
	r.Done(now, a, Fault)
	r.retryTokens = 1
	pick("", a)
	pick("", a) // the budget is spent
	now = 900 * time.Millisecond
	state()
	now = 2 * time.Second
	for range 600 { // its trial: one in ten picks, until five went well
		p := r.Pick(now, "")
		r.Done(now, p, Succeeded)
	}
	state()
	want := []string{
		"a", "b", "c", "a", "b", "a", "a in 3, b in 2, c in 1", "a in 0, b out 0, c in 0", "a", "c", "none",
		"a in 0, b out 0, c in 1", "a in 0, b in 0, c in 1",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestFloor: when all fail, at least half stay in service, and nothing is tried twice.
func TestFloor(t *testing.T) {
	r := New(Config{Peers: peers(5)})
	now := time.Duration(0)
	for range 1000 {
		now += time.Millisecond
		if p := r.Pick(now, ""); p != nil {
			r.Done(now, p, Fault)
		}
	}
	in := 0
	for _, x := range r.Targets() {
		if x.State == InService {
			in++
		}
	}
	p := r.Pick(now, "")
	if in != 3 || p == nil || r.Pick(now, "", p) != nil {
		t.Error(in, p)
	}
}

// TestUpdate: who stays keeps its state, who goes gets no more and may end what it has.
func TestUpdate(t *testing.T) {
	r := New(Config{Peers: peers(4)})
	targets := r.Targets()
	for range 3 {
		r.Pick(0, "w1")
		r.Done(0, targets[1], Fault)
	}
	old := r.Pick(0, "w0")
	r.Update(Config{Peers: peers(4)[1:]})
	if targets[1].State != Ejected || r.Targets()[0] != targets[1] || !old.Removed {
		t.Error("a peer that stays is another")
	}
	for range 20 {
		if p := r.Pick(0, "w0"); p == old || p == nil {
			t.Error("one that is gone is picked, or none")
		}
	}
	r.Done(0, old, Fault)
	r.Update(Config{Peers: peers(4)})
	if r.Targets()[0] == old {
		t.Error("one that comes back begins anew")
	}
}

// ---- a schedule of faults, against taking turns ----

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// tally is what became of the calls of a schedule.
type tally struct {
	calls, lost, late, tries, twice int
	spread                          []int
}

// play sends 20,000 calls in 100 s to four peers of ten places each: one is slow by ten from 10 to 30 s, one resets half of what it
// gets from 30 to 50 s, one is away from 50 to 65 s, all are restarted in turn from 70 s on. A third of the calls must not run twice.
func play(choose func(now time.Duration, not ...*Target) *Target, done func(now time.Duration, t *Target, how Outcome)) tally {
	const (
		calls = 20_000
		gap   = 5 * time.Millisecond
		work  = 15 * time.Millisecond
		limit = 150 * time.Millisecond
	)
	chance := rand.New(rand.NewPCG(1, 2))
	out := tally{calls: calls, spread: make([]int, 4)}
	busy := map[string]int{}
	ran := map[int]int{}
	var q events
	index := func(t *Target) int { return int(t.Address[1] - '0') }
	var try func(now time.Duration, id int, not []*Target)
	try = func(now time.Duration, id int, not []*Target) {
		p := choose(now, not...)
		if p == nil {
			out.lost++
			return
		}
		out.tries++
		i := index(p)
		out.spread[i]++
		away := i == 2 && now >= 50*time.Second && now < 65*time.Second ||
			now >= 70*time.Second && (now-70*time.Second)/(5*time.Second) == time.Duration(i) // a restart of 5 s
		if away { // a refused connection: proved never to have run
			heap.Push(&q, event{now + time.Millisecond, func() {
				done(now+time.Millisecond, p, Fault)
				if len(not) == 0 {
					try(now+time.Millisecond, id, []*Target{p})
				} else {
					out.lost++
				}
			}})
			return
		}
		took := time.Duration(float64(work) * (0.5 + chance.Float64()) * (1 + float64(busy[p.Address])/10))
		if i == 0 && now >= 10*time.Second && now < 30*time.Second {
			took *= 10
		}
		busy[p.Address]++
		ran[id]++
		if ran[id] > 1 && id%3 == 0 {
			out.twice++
		}
		broken := i == 1 && now >= 30*time.Second && now < 50*time.Second && chance.Float64() < 0.5
		end := now + min(took, limit)
		heap.Push(&q, event{end, func() {
			busy[p.Address]--
			switch {
			case broken: // it may have run: only what may run again is made again
				done(end, p, Fault)
				if id%3 != 0 && len(not) == 0 {
					try(end, id, []*Target{p})
				} else {
					out.lost++
				}
			case took > limit:
				done(end, p, TimedOut)
				out.late++
			default:
				done(end, p, Succeeded)
			}
		}})
	}
	for id := range calls {
		at := time.Duration(id) * gap
		heap.Push(&q, event{at, func() { try(at, id, nil) }})
	}
	for q.Len() > 0 {
		heap.Pop(&q).(event).do()
	}
	return out
}

// TestSchedule: under faults fewer calls are lost than by taking turns, none that must not run twice does.
func TestSchedule(t *testing.T) {
	r := New(Config{Peers: peers(4), Seed: 3})
	routed := play(func(now time.Duration, not ...*Target) *Target { return r.Pick(now, "", not...) }, r.Done)
	turns := New(Config{Peers: peers(4)})
	n := 0
	robin := play(func(_ time.Duration, not ...*Target) *Target {
		for {
			n++
			p := turns.Targets()[n%4]
			if len(not) == 0 || p != not[0] {
				p.Outstanding++
				return p
			}
		}
	}, func(_ time.Duration, p *Target, _ Outcome) { p.Outstanding-- })
	t.Logf("%-12s %7s %7s %7s %7s %7s  %s", "", "calls", "lost", "late", "tries", "twice", "spread")
	for _, x := range []struct {
		name string
		tally
	}{{"routed", routed}, {"taking turns", robin}} {
		t.Logf("%-12s %7d %7d %7d %7d %7d  %v", x.name, x.calls, x.lost, x.late, x.tries, x.twice, x.spread)
	}
	if routed.twice > 0 || routed.lost+routed.late > (robin.lost+robin.late)/5 {
		t.Error("worse than told")
	}
}

func BenchmarkPick(b *testing.B) {
	r := New(Config{Peers: peers(8)})
	b.ReportAllocs()
	for i := range b.N {
		r.Done(time.Duration(i), r.Pick(time.Duration(i), ""), Succeeded)
	}
}
