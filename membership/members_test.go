package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var sizes = flag.Int("boxes", 50, "boxes of the largest simulated cluster; 500 outside CI")

// fleet is boxes that gossip over links that delay and lose.
type fleet struct {
	r     *rand.Rand
	now   time.Duration
	lists []*Detector
	up    []bool
	names []string
	queue map[time.Duration][]func()
	loss  float64
	slow  map[int]time.Duration // boxes that answer late
	sent  int
	bytes int
}

const step = 5 * time.Millisecond

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 9)), queue: map[time.Duration][]func(){}, slow: map[int]time.Duration{}}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("n", i))
	}
	f.lists, f.up = make([]*Detector, n), make([]bool, n)
	for i := range n {
		f.start(i, 1)
	}
	return f
}

func (f *fleet) start(i int, life uint64) {
	f.up[i] = true
	f.lists[i] = New(Config{Name: f.names[i], Incarnation: life, Others: f.names}, uint64(i)*7919+life, f.now)
}

func (f *fleet) index(name string) int {
	n := 0
	_, _ = fmt.Sscanf(name, "n%d", &n)
	return n
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		due := f.queue[f.now]
		delete(f.queue, f.now)
		for _, do := range due {
			do()
		}
		for i, l := range f.lists {
			if f.up[i] {
				l.Tick(f.now)
				f.flush(i)
			}
		}
	}
}

func (f *fleet) flush(i int) {
	l := f.lists[i]
	sends, _ := l.Ready()
	for _, s := range sends {
		f.sent++
		f.bytes += 40 + 24*len(s.Updates)
		if f.r.Float64() < f.loss {
			continue
		}
		to, m, life := f.index(s.To), s.Message, l.self.Incarnation
		at := f.now + step*time.Duration(1+f.r.IntN(2)) + f.slow[to].Truncate(step)
		f.queue[at] = append(f.queue[at], func() {
			if f.up[to] {
				f.lists[to].Receive(f.now, f.names[i], life, &m)
				f.flush(to)
			}
		})
	}
}

// believers counts who believes that of a box.
func (f *fleet) believers(i int, s State) (n int) {
	for k, l := range f.lists {
		if k != i && f.up[k] && l.Lookup(f.names[i]).State == s {
			n++
		}
	}
	return n
}

// TestDetection: a dead box is found by all in bounded time, one that lives is not taken for dead however messages are lost, one that
// comes back under its name is another life, and one that was wrongly taken for dead says so.
func TestDetection(t *testing.T) {
	for _, n := range []int{5, *sizes} {
		f := newFleet(n, uint64(n))
		f.run(time.Duration(n)*200*time.Millisecond + 2*time.Second)
		if got := f.believers(0, Alive); got != n-1 {
			t.Fatalf("%d boxes: %d know of the first", n, got)
		}
		f.sent, f.bytes = 0, 0
		f.run(2 * time.Second)
		rate := float64(f.bytes) / 2 / float64(n)
		f.up[1] = false
		died, first, all := f.now, time.Duration(0), time.Duration(0)
		for f.now < died+60*time.Second && all == 0 {
			f.run(50 * time.Millisecond)
			switch k := f.believers(1, Dead); {
			case k > 0 && first == 0:
				first = f.now - died
				fallthrough
			case k == n-1:
				if k == n-1 {
					all = f.now - died
				}
			}
		}
		if all == 0 || all > 20*time.Second {
			t.Errorf("%d boxes: not all know in time: %d", n, f.believers(1, Dead))
		}
		f.start(1, 2)
		f.run(3*time.Second + time.Duration(n)*100*time.Millisecond)
		if got := f.believers(1, Alive); got != n-1 || f.lists[0].Lookup("n1").Incarnation != 2 {
			t.Errorf("%d boxes: %d know that it is back, in life %d", n, got, f.lists[0].Lookup("n1").Incarnation)
		}
		f.loss = 0.1
		wrong, looks := 0, 0
		for range 100 {
			f.run(100 * time.Millisecond)
			for i := range f.names {
				wrong += f.believers(i, Dead)
				looks += n - 1
			}
		}
		if share := float64(wrong) / float64(looks); share > 0.001 {
			t.Errorf("%d boxes at a loss of 0.1: %.4f of beliefs are wrong", n, share)
		}
		f.loss = 0
		f.slow[2] = 400 * time.Millisecond
		f.run(8 * time.Second)
		suspicious := f.lists[2].LocalHealth()
		delete(f.slow, 2)
		f.run(time.Duration(n)*200*time.Millisecond + 6*time.Second)
		if got := f.believers(2, Alive); got != n-1 {
			t.Errorf("%d boxes: one that was slow is alive for %d only", n, got)
		}
		t.Logf("%d boxes: first knows after %s, all after %s; %.0f bytes a box and second; wrong at a loss of 0.1: %d of %d; unwell %d",
			n, first, all, rate, wrong, looks, suspicious)
	}
}

// TestOldLives: what an earlier life sent does no harm, and a box refutes what is said of it.
func TestOldLives(t *testing.T) {
	l := New(Config{Name: "a", Incarnation: 3, Others: []string{"a", "b", "c"}}, 1, 0)
	l.Receive(0, "b", 2, &Message{Kind: Ping, Number: 1})
	l.Receive(0, "b", 1, &Message{Kind: Ping, Number: 9, Updates: []Update{{"c", 5, 0, Dead}}})
	if l.Lookup("b").Incarnation != 2 || l.Lookup("c").State != Unknown {
		t.Error(l.Snapshot())
	}
	sends, _ := l.Ready()
	if len(sends) != 1 || sends[0].To != "b" || sends[0].Kind != Ack {
		t.Error(sends)
	}
	l.Receive(0, "b", 2, &Message{Kind: Ack, Updates: []Update{{"a", 3, 0, Dead}, {"a", 2, 9, Dead}}})
	if me := l.Lookup("a"); me.State != Alive || me.Refutation != 1 {
		t.Error(me)
	}
	l.Receive(0, "x", 1, &Message{Kind: Ping})
	if _, known := l.peers["x"]; known {
		t.Error("a stranger is taken in")
	}
}

// TestBound: what is remembered of boxes follows the list: ten times as many names that come and go, speak and are spoken of leave nothing behind.
func TestBound(t *testing.T) {
	const size, rounds = 50, 11
	names := func(round int) (all []string) {
		all = append(all, "me")
		for i := range size {
			all = append(all, fmt.Sprint("n", round*size+i))
		}
		return all
	}
	l := New(Config{Name: "me", Incarnation: 1, Others: names(0)}, 3, 0)
	most, now := 0, time.Duration(0)
	for round := range rounds {
		l.SetOthers(names(round))
		for i, name := range names(round)[1:] {
			m := Message{Kind: Ping, Number: uint64(i), Updates: []Update{{name, 1, 0, Dead}, {"stranger" + name, 1, 0, Alive}, {fmt.Sprint("n", i), 9, 0, Suspect}}}
			l.Receive(now, name, 1, &m)
		}
		for range 100 {
			now += 50 * time.Millisecond
			l.Tick(now)
			sends, _ := l.Ready()
			for _, s := range sends {
				most = max(most, len(s.Updates))
			}
		}
		if len(l.peers) != size || len(l.order) != size || len(l.probes) > size || len(l.suspected) > size || len(l.news.last) > size+1 {
			t.Fatalf("round %d: %d peers, %d in order, %d probes, %d suspected, %d news", round, len(l.peers), len(l.order), len(l.probes),
				len(l.suspected), len(l.news.last))
		}
	}
	if most == 0 || most > 20 {
		t.Error("updates in a message: ", most)
	}
}
