package main

import (
	"container/heap"
	"time"
)

// sharedProcessor runs any number of requests concurrently, which share the cores equally. The cost of a time step depends on the number of
// requests that end in it, not on the number that run. The zero value is an idle processor.
type sharedProcessor struct {
	// requests is ordered by the workPerRequest at which each request ends, which is stored in its remainingWork.
	requests requestHeap
	// workPerRequest is the total work of a request that has run since the start of the processor.
	workPerRequest time.Duration
}

// add starts a request.
func (p *sharedProcessor) add(r *request) {
	r.remainingWork += p.workPerRequest
	heap.Push(&p.requests, r)
}

// run runs all requests for one time step and returns those that have ended.
func (p *sharedProcessor) run(speed float64) []*request {
	if len(p.requests) == 0 {
		return nil
	}
	p.workPerRequest += workPerRequest(float64(len(p.requests)), speed)
	var ended []*request
	for len(p.requests) > 0 && p.requests[0].remainingWork <= p.workPerRequest {
		ended = append(ended, heap.Pop(&p.requests).(*request))
	}
	return ended
}

// requestHeap implements heap.Interface with the request that ends first on top.
type requestHeap []*request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].remainingWork < h[j].remainingWork }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(*request)) }

func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
