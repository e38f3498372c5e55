package main

import (
	"container/heap"
	"time"
)

// sharedProcessor runs any number of requests at once, which share the cores evenly. A step costs as much as requests end in it, however many
// there are. The zero value has none.
type sharedProcessor struct {
	// requests are ordered by the work per request at which they end, which is in their field work.
	requests requestHeap
	// workPerRequest is what each request got that was there all the time.
	workPerRequest time.Duration
}

// add begins a request.
func (p *sharedProcessor) add(r *request) {
	r.work += p.workPerRequest
	heap.Push(&p.requests, r)
}

// run has the requests run for one step, and returns those that have ended.
func (p *sharedProcessor) run(speed float64) []*request {
	if len(p.requests) == 0 {
		return nil
	}
	p.workPerRequest += workPerRequest(float64(len(p.requests)), speed)
	var ended []*request
	for len(p.requests) > 0 && p.requests[0].work <= p.workPerRequest {
		ended = append(ended, heap.Pop(&p.requests).(*request))
	}
	return ended
}

// requestHeap implements heap.Interface: the request with the least work is on top.
type requestHeap []*request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].work < h[j].work }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(*request)) }

func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
