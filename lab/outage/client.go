package main

import (
	"time"

	"frosthub/overload"
)

// request is a request of a client.
type request struct {
	id            uint64
	handler       int
	createdAt     time.Duration
	remainingWork time.Duration // work left; in a sharedProcessor, the workPerRequest at which the request ends
	node          *node         // node that has the request; nil if none has it
	done          bool          // the request was served or its client timed out
	attempts      int
	running       bool
}

// generateRequests creates a request and schedules the next one after a random time.
func (f *fleet) generateRequests() {
	rate := baseLoad * float64(f.config.nodes) * coresPerNode / meanWork.Seconds()
	if f.Now >= firstReturn && f.Now < firstReturn+f.overloadDuration {
		rate *= f.loadFactor
	}
	f.createRequest()
	f.After(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.generateRequests)
}

// createRequest creates a request for a random handler and sends it.
func (f *fleet) createRequest() {
	f.requests++
	r := &request{
		id:            uint64(f.requests),
		handler:       f.drawHandler(),
		createdAt:     f.Now,
		remainingWork: meanWork/2 + f.randomDuration(meanWork),
	}
	f.After(clientTimeout, func() { f.timeOut(r) })
	f.send(r)
}

// drawHandler returns the index of a random handler. Its probability is the handler's share.
func (f *fleet) drawHandler() int {
	x := f.random.Float64()
	last := len(handlers) - 1
	for i := range last {
		if x < handlers[i].share {
			return i
		}
		x -= handlers[i].share
	}
	return last
}

// send sends a request to a random node. A node that is down, or cannot run the handler yet, rejects it.
func (f *fleet) send(r *request) {
	if r.done {
		return
	}
	f.attempts++
	r.attempts++
	n := f.nodes[f.random.IntN(len(f.nodes))]
	if !n.up || handlers[r.handler].deduplicated && !n.established {
		f.retry(r, retryDelay)
		return
	}
	r.node = n
	n.requests[r.id] = r
	if f.strategy == unlimited {
		n.shared.add(r)
		return
	}
	n.events = append(n.events, overload.Event{
		Kind:      overload.Arrived,
		ID:        r.id,
		Handler:   r.handler,
		Remaining: clientTimeout - (f.Now - r.createdAt),
		Hint:      r.remainingWork,
		SizeKB:    1,
		EdgeNode:  int(r.id % clientAddresses),
	})
}

// retry schedules another attempt of a failed request after a random time around the given delay.
func (f *fleet) retry(r *request, delay time.Duration) {
	r.node = nil
	r.running = false
	if !r.done {
		f.After(delay/2+f.randomDuration(delay), func() { f.send(r) })
	}
}

// timeOut ends a request whose client times out. Most clients then create a new request.
func (f *fleet) timeOut(r *request) {
	if r.done {
		return
	}
	r.done = true
	if n := r.node; n != nil && n.requests[r.id] == r && f.strategy != unlimited {
		// Without a controller the processor is not notified, and the request continues to run.
		n.events = append(n.events, overload.Event{Kind: overload.ClientGone, ID: r.id})
	}
	if f.random.Float64() < repeatShare {
		f.After(repeatDelay/2+f.randomDuration(repeatDelay), f.createRequest)
	}
}

// serve ends a request with a response, if its client still waits.
func (f *fleet) serve(r *request) {
	if r.done {
		return
	}
	r.done = true
	f.served[r.handler][f.Now/bucketWidth]++
}
