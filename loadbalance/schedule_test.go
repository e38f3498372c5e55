package loadbalance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// The schedule is a simulation of faults in virtual time: 20,000 calls in 100 s at four peers of ten workers each.
const (
	scheduleCalls = 20_000
	callInterval  = 5 * time.Millisecond
	workTime      = 15 * time.Millisecond  // of a call, on average, at a peer without other calls
	workers       = 10                     // calls that make a peer twice as slow
	callTimeout   = 150 * time.Millisecond // of a call
	refusalTime   = time.Millisecond       // until a refused connection is known
	restartTime   = 5 * time.Second
	restartsFrom  = 70 * time.Second // all peers in turn
)

// interval is a span of virtual time.
type interval struct{ from, to time.Duration }

func (i interval) contains(now time.Duration) bool { return now >= i.from && now < i.to }

// The faults: peer 0 is slow, peer 1 resets half of its calls, peer 2 is down.
var (
	slowTime  = interval{10 * time.Second, 30 * time.Second}
	resetTime = interval{30 * time.Second, 50 * time.Second}
	downTime  = interval{50 * time.Second, 65 * time.Second}
)

const (
	slowPeer, slowFactor    = 0, 10
	resetPeer, resetShare   = 1, 0.5
	downPeer                = 2
	notRepeatable, outOfAll = 0, 3 // one call in three must not run twice
)

// event is what happens at a moment of virtual time.
type event struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// picker picks peers: a Balancer, or what it is compared with.
type picker struct {
	pick func(now time.Duration, tried ...*Target) *Target
	done func(now time.Duration, target *Target, outcome Outcome)
}

// tally is what became of the calls of a schedule.
type tally struct {
	calls    int
	lost     int // failed
	late     int // timed out
	attempts int
	twice    int // calls that ran twice and must not
	spread   []int
}

// simulation plays a schedule.
type simulation struct {
	picker
	tally
	random *rand.Rand
	events eventQueue
	busy   map[string]int // calls at each peer
	ran    map[int]int    // attempts of each call that ran
}

// playSchedule plays the schedule with a picker.
func playSchedule(p picker) tally {
	s := simulation{
		picker: p,
		tally:  tally{calls: scheduleCalls, spread: make([]int, 4)},
		random: rand.New(rand.NewPCG(1, 2)),
		busy:   map[string]int{},
		ran:    map[int]int{},
	}
	for id := range scheduleCalls {
		at := time.Duration(id) * callInterval
		s.at(at, func() { s.attempt(at, id, nil) })
	}
	for s.events.Len() > 0 {
		heap.Pop(&s.events).(event).do()
	}
	return s.tally
}

func (s *simulation) at(at time.Duration, do func()) { heap.Push(&s.events, event{at, do}) }

func repeatable(id int) bool { return id%outOfAll != notRepeatable }

// isDown reports whether a peer refuses connections.
func isDown(peer int, now time.Duration) bool {
	if peer == downPeer && downTime.contains(now) {
		return true
	}
	return now >= restartsFrom && (now-restartsFrom)/restartTime == time.Duration(peer)
}

// attempt makes a first attempt of a call, or a retry at another peer than the one that was tried.
func (s *simulation) attempt(now time.Duration, id int, tried []*Target) {
	target := s.pick(now, tried...)
	if target == nil {
		s.lost++
		return
	}
	s.attempts++
	peer := int(target.Address[1] - '0')
	s.spread[peer]++
	retry := func(at time.Duration) {
		if len(tried) > 0 {
			s.lost++
			return
		}
		s.attempt(at, id, []*Target{target})
	}
	if isDown(peer, now) {
		refusedAt := now + refusalTime
		s.at(refusedAt, func() {
			s.done(refusedAt, target, Fault)
			retry(refusedAt) // it is proved never to have run
		})
		return
	}
	s.run(now, id, peer, target, retry)
}

// run has a peer work on a call.
func (s *simulation) run(now time.Duration, id, peer int, target *Target, retry func(at time.Duration)) {
	took := s.drawWorkTime(now, peer, s.busy[target.Address])
	s.busy[target.Address]++
	s.ran[id]++
	if s.ran[id] > 1 && !repeatable(id) {
		s.twice++
	}
	reset := peer == resetPeer && resetTime.contains(now) && s.random.Float64() < resetShare
	end := now + min(took, callTimeout)
	s.at(end, func() {
		s.busy[target.Address]--
		switch {
		case reset && repeatable(id):
			s.done(end, target, Fault)
			retry(end)
		case reset: // it may have run
			s.done(end, target, Fault)
			s.lost++
		case took > callTimeout:
			s.done(end, target, TimedOut)
			s.late++
		default:
			s.done(end, target, Succeeded)
		}
	})
}

// drawWorkTime draws how long a peer takes for a call.
func (s *simulation) drawWorkTime(now time.Duration, peer, busy int) time.Duration {
	took := time.Duration(float64(workTime) * (0.5 + s.random.Float64()) * (1 + float64(busy)/workers))
	if peer == slowPeer && slowTime.contains(now) {
		took *= slowFactor
	}
	return took
}

// roundRobin picks peers in turn, without any regard to how they are.
func roundRobin() picker {
	b := New(Config{Peers: peers(4)})
	turn := 0
	return picker{
		pick: func(_ time.Duration, tried ...*Target) *Target {
			for {
				turn++
				target := b.Targets()[turn%4]
				if len(tried) == 0 || target != tried[0] {
					target.Outstanding++
					return target
				}
			}
		},
		done: func(_ time.Duration, target *Target, _ Outcome) { target.Outstanding-- },
	}
}

// TestSchedule checks that under faults fewer calls are lost than by taking turns, and that no call that must not run twice
// does.
func TestSchedule(t *testing.T) {
	b := New(Config{Peers: peers(4), Seed: 3})
	balanced := playSchedule(picker{
		pick: func(now time.Duration, tried ...*Target) *Target { return b.Pick(now, "", tried...) },
		done: b.Done,
	})
	inTurn := playSchedule(roundRobin())
	t.Logf("%-12s %7s %7s %7s %8s %7s  %s", "", "calls", "lost", "late", "attempts", "twice", "spread")
	for _, row := range []struct {
		name string
		tally
	}{
		{"balanced", balanced},
		{"round robin", inTurn},
	} {
		t.Logf("%-12s %7d %7d %7d %8d %7d  %v", row.name, row.calls, row.lost, row.late, row.attempts, row.twice, row.spread)
	}
	if balanced.twice > 0 || balanced.lost+balanced.late > (inTurn.lost+inTurn.late)/5 {
		t.Error("more calls are lost than promised")
	}
}
