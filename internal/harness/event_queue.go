package harness

import (
	"container/heap"
	"time"
)

// EventQueue is the time of a simulation, and what happens in it: in the order of its moments, and of one moment in that in which it was asked for.
type EventQueue struct {
	Now   time.Duration
	queue happenings
	seq   int
}

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any     { old := *h; x := old[len(old)-1]; *h = old[:len(old)-1]; return x }

// After has something happen later.
func (s *EventQueue) After(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, happening{s.Now + d, s.seq, do})
}

// Next has what comes next happen, if that is by then, and tells whether it did.
func (s *EventQueue) Next(by time.Duration) bool {
	if len(s.queue) == 0 || s.queue[0].at > by {
		return false
	}
	h := heap.Pop(&s.queue).(happening)
	s.Now = h.at
	h.do()
	return true
}

// Count is how much has been asked for so far.
func (s *EventQueue) Count() int { return s.seq }
