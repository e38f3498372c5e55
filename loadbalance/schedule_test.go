package loadbalance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// The schedule is a simulation of faults in virtual time: 20,000 calls in 100 s to four peers of ten workers each.
const (
	scheduleCalls = 20_000
	callInterval  = 5 * time.Millisecond
	workTime      = 15 * time.Millisecond  // mean duration of a call at an idle peer
	workers       = 10                     // concurrent calls that double the duration of a call
	callTimeout   = 150 * time.Millisecond // timeout of a call
	refusalTime   = time.Millisecond       // time until the caller detects a refused connection
	restartTime   = 5 * time.Second
	restartsFrom  = 70 * time.Second // all peers restart one after another
)

// interval is a half-open interval of virtual time.
type interval struct{ from, to time.Duration }

func (i interval) contains(now time.Duration) bool { return now >= i.from && now < i.to }

// The faults: peer 0 is slow, peer 1 resets half of its calls, peer 2 is down.
var (
	slowInterval  = interval{10 * time.Second, 30 * time.Second}
	resetInterval = interval{30 * time.Second, 50 * time.Second}
	downInterval  = interval{50 * time.Second, 65 * time.Second}
)

const (
	slowPeer, slowFactor                       = 0, 10
	resetPeer, resetShare                      = 1, 0.5
	downPeer                                   = 2
	nonIdempotentRemainder, idempotencyModulus = 0, 3 // one call in three is not idempotent and must not run twice
)

// event is an event at a point in virtual time.
type event struct {
	at  time.Duration
	run func()
}

// eventQueue is a heap of events ordered by time.
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

// picker is a strategy that picks peers: a Balancer or the round robin that it is compared with.
type picker struct {
	pick func(now time.Duration, tried ...*Target) *Target
	done func(now time.Duration, target *Target, outcome Outcome)
}

// tally counts the outcomes of the calls of a schedule.
type tally struct {
	calls    int
	lost     int // calls that failed
	late     int // calls that timed out
	attempts int
	twice    int // calls that ran twice although they are not idempotent
	spread   []int
}

// simulation is the state of a run of the schedule.
type simulation struct {
	picker
	tally
	random *rand.Rand
	events eventQueue
	active map[string]int // running calls by address of the peer
	runs   map[int]int    // number of runs by call
}

// runSchedule runs the schedule with a picker.
func runSchedule(p picker) tally {
	s := simulation{
		picker: p,
		tally:  tally{calls: scheduleCalls, spread: make([]int, 4)},
		random: rand.New(rand.NewPCG(1, 2)),
		active: map[string]int{},
		runs:   map[int]int{},
	}
	for id := range scheduleCalls {
		at := time.Duration(id) * callInterval
		s.schedule(at, func() { s.attempt(at, id, nil) })
	}
	for s.events.Len() > 0 {
		heap.Pop(&s.events).(event).run()
	}
	return s.tally
}

func (s *simulation) schedule(at time.Duration, do func()) { heap.Push(&s.events, event{at, do}) }

func idempotent(id int) bool { return id%idempotencyModulus != nonIdempotentRemainder }

// isDown reports whether a peer refuses connections.
func isDown(peer int, now time.Duration) bool {
	if peer == downPeer && downInterval.contains(now) {
		return true
	}
	return now >= restartsFrom && (now-restartsFrom)/restartTime == time.Duration(peer)
}

// attempt starts the first attempt of a call, or a retry at another peer than the one in tried.
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
		s.schedule(refusedAt, func() {
			s.done(refusedAt, target, Fault)
			retry(refusedAt) // a refused call has never run
		})
		return
	}
	s.run(now, id, peer, target, retry)
}

// run simulates the run of a call at a peer.
func (s *simulation) run(now time.Duration, id, peer int, target *Target, retry func(at time.Duration)) {
	duration := s.drawWorkTime(now, peer, s.active[target.Address])
	s.active[target.Address]++
	s.runs[id]++
	if s.runs[id] > 1 && !idempotent(id) {
		s.twice++
	}
	reset := peer == resetPeer && resetInterval.contains(now) && s.random.Float64() < resetShare
	endsAt := now + min(duration, callTimeout)
	s.schedule(endsAt, func() {
		s.active[target.Address]--
		switch {
		case reset && idempotent(id):
			s.done(endsAt, target, Fault)
			retry(endsAt)
		case reset: // the call may have run
			s.done(endsAt, target, Fault)
			s.lost++
		case duration > callTimeout:
			s.done(endsAt, target, TimedOut)
			s.late++
		default:
			s.done(endsAt, target, Succeeded)
		}
	})
}

// drawWorkTime draws the duration of a call at a peer with the given number of running calls.
func (s *simulation) drawWorkTime(now time.Duration, peer, active int) time.Duration {
	duration := time.Duration(float64(workTime) * (0.5 + s.random.Float64()) * (1 + float64(active)/workers))
	if peer == slowPeer && slowInterval.contains(now) {
		duration *= slowFactor
	}
	return duration
}

// roundRobin returns a picker that picks peers in rotation, regardless of their state.
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

// TestSchedule checks that with a Balancer at most a fifth as many calls fail or time out under faults as with round robin, and
// that no call that is not idempotent runs twice.
func TestSchedule(t *testing.T) {
	b := New(Config{Peers: peers(4), Seed: 3})
	balancerTally := runSchedule(picker{
		pick: func(now time.Duration, tried ...*Target) *Target { return b.Pick(now, "", tried...) },
		done: b.Done,
	})
	roundRobinTally := runSchedule(roundRobin())
	t.Logf("%-12s %7s %7s %7s %8s %7s  %s", "", "calls", "lost", "late", "attempts", "twice", "spread")
	for _, row := range []struct {
		name string
		tally
	}{
		{"balanced", balancerTally},
		{"round robin", roundRobinTally},
	} {
		t.Logf("%-12s %7d %7d %7d %8d %7d  %v", row.name, row.calls, row.lost, row.late, row.attempts, row.twice, row.spread)
	}
	if balancerTally.twice > 0 || balancerTally.lost+balancerTally.late > (roundRobinTally.lost+roundRobinTally.late)/5 {
		t.Error("a non-idempotent call ran twice, or more than a fifth as many calls failed or timed out as with round robin")
	}
}
