package main

import (
	"time"

	"frosthub/overload"
)

// request is what a client wants served.
type request struct {
	id       uint64
	handler  int
	made     time.Duration
	work     time.Duration // still to be done; of a node without limits: the work per request at which this one ends
	node     *node         // that has it; nil while no node does
	over     bool          // it was answered, or the client has given up
	attempts int
	running  bool
}

// arrive makes a request, and has the next one come at a random moment.
func (f *fleet) arrive() {
	rate := baseLoad * float64(f.config.nodes) * coresPerNode / meanWork.Seconds()
	if f.Now >= firstReturn && f.Now < firstReturn+f.floodFor {
		rate *= f.loadFactor
	}
	f.newRequest()
	f.After(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.arrive)
}

// newRequest makes a request of a random handler.
func (f *fleet) newRequest() {
	f.requests++
	r := &request{
		id:      uint64(f.requests),
		handler: f.drawHandler(),
		made:    f.Now,
		work:    meanWork/2 + f.randomSpan(meanWork),
	}
	f.After(clientTimeout, func() { f.giveUp(r) })
	f.send(r)
}

// drawHandler returns a handler by its share.
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

// send sends a request to a random node. One that is down refuses the connection.
func (f *fleet) send(r *request) {
	if r.over {
		return
	}
	f.attempts++
	r.attempts++
	n := f.nodes[f.random.IntN(len(f.nodes))]
	if !n.up || handlers[r.handler].guarded && !n.established {
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
		Remaining: clientTimeout - (f.Now - r.made),
		Hint:      r.work,
		Size:      1,
		Caller:    int(r.id % clientAddresses),
	})
}

// retry has the client of a failed attempt try another node after about that time.
func (f *fleet) retry(r *request, delay time.Duration) {
	r.node = nil
	r.running = false
	if !r.over {
		f.After(delay/2+f.randomSpan(delay), func() { f.send(r) })
	}
}

// giveUp has the client time out. Most clients make a new request then.
func (f *fleet) giveUp(r *request) {
	if r.over {
		return
	}
	r.over = true
	if n := r.node; n != nil && n.requests[r.id] == r && f.strategy != unlimited {
		// Without the controller nobody tells the processor, and the request runs on.
		n.events = append(n.events, overload.Event{Kind: overload.ClientGone, ID: r.id})
	}
	if f.random.Float64() < repeatShare {
		f.After(repeatDelay/2+f.randomSpan(repeatDelay), f.newRequest)
	}
}

// serve ends a request with an answer, if its client still waits.
func (f *fleet) serve(r *request) {
	if r.over {
		return
	}
	r.over = true
	f.served[r.handler][f.Now/bucket]++
}
