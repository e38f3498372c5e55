package harness

import (
	"container/heap"
	"time"
)

// EventQueue is the clock and the event queue of a discrete-event simulation. Events run in order of their times; events with equal
// times run in the order in which they were scheduled. It is not safe for concurrent use.
type EventQueue struct {
	Now time.Duration

	events    eventHeap
	scheduled int
}

// event is a scheduled call.
type event struct {
	at     time.Duration
	number int // sequence number, which orders events with equal times
	call   func()
}

// eventHeap implements heap.Interface with the next event on top.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// After schedules a call at the current simulated time plus delay.
func (q *EventQueue) After(delay time.Duration, call func()) {
	q.scheduled++
	heap.Push(&q.events, event{at: q.Now + delay, number: q.scheduled, call: call})
}

// Next advances the clock to the next event and runs it, unless that event is later than the given time. It reports whether an event ran.
func (q *EventQueue) Next(until time.Duration) bool {
	if len(q.events) == 0 || q.events[0].at > until {
		return false
	}
	next := heap.Pop(&q.events).(event)
	q.Now = next.at
	next.call()
	return true
}

// Count returns the number of events scheduled so far.
func (q *EventQueue) Count() int { return q.scheduled }
