package main

import (
	"slices"
	"time"

	"frosthub/overload"
	"frosthub/recovery"
)

// node is one server of the fleet.
type node struct {
	index    int
	returnAt time.Duration // after the outage; 0 if it never returns
	up       bool
	startAt  time.Duration // of its processor

	// Recovery.
	recovery    *recovery.Node // nil until the store is read, and where the strategy has none
	established bool           // it may run guarded requests
	messages    int            // sent for recovery, its own and answers to others

	// The overload controller.
	controller  *overload.Controller
	nextControl time.Duration
	events      []overload.Event // that the controller has not seen yet
	busy        float64          // sum over the steps since the last timer event: share of the cores in use

	// Requests.
	requests map[uint64]*request // all that it has, by their id
	running  []*request
	shared   sharedProcessor // of the strategy unlimited
}

// settings returns the configuration of each node's overload controller.
func settings() overload.Settings {
	var list []overload.Handler
	for _, h := range handlers {
		idempotency := overload.Replayable
		if h.guarded {
			idempotency = overload.Deduplicated
		}
		list = append(list, overload.Handler{
			Idempotency:    idempotency,
			Value:          overload.Some(h.weight),
			ResponseTarget: overload.Some(time.Second),
			ClientTimeout:  overload.Some(clientTimeout),
		})
	}
	return overload.Settings{
		BatchInterval: time.Millisecond,
		Handlers:      list,
		Backend: overload.Backend{
			Cores:           coresPerNode,
			MemoryKB:        overload.Some(100000.0),
			RunMemoryFactor: 4,
			KeySizeKB:       10,
			Cancellation:    overload.CancelDrop,
			Gauges:          []overload.Gauge{overload.GaugeBusy, overload.GaugeRunnable},
		},
		Rules:  overload.PlatformRules{CollapseFactor: overload.Some(8.0), DrainGrace: time.Second},
		Limits: overload.RetryAfterLimits{RetryAfter: true, MaxRetryAfter: overload.Some(time.Second)},
	}
}

// start starts a node without any requests.
func (f *fleet) start(n *node) {
	n.up = true
	n.startAt = f.Now
	if f.Now == 0 {
		n.startAt = -warmUpTime // it was warm when the run began
	}
	n.controller = overload.New(f.seed+uint64(n.index), settings(), f.Now)
	n.nextControl = f.Now
	n.events = nil
	n.requests = map[uint64]*request{}
	n.running = nil
	n.shared = sharedProcessor{}
}

// stop has a node lose power, and all its requests fail.
func (f *fleet) stop(n *node) {
	n.up = false
	n.established = false
	n.recovery = nil
	failed := n.requests
	n.requests = nil
	for _, id := range sortedIDs(failed) {
		f.retry(failed[id], retryDelay)
	}
}

// sortedIDs returns the ids of requests in ascending order, so that a run depends on its seed alone.
func sortedIDs(requests map[uint64]*request) []uint64 {
	ids := make([]uint64, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// step is one step of the simulated time of a node: its processor works, and its controller decides.
func (f *fleet) step(n *node) {
	speed := 1.0
	if f.Now-n.startAt < warmUpTime {
		speed = warmUpSpeed
	}
	if f.strategy == unlimited {
		for _, r := range n.shared.run(speed) {
			delete(n.requests, r.id)
			f.serve(r)
		}
		return
	}
	f.work(n, speed)
	f.control(n)
}

// work has the running requests of a node share its cores for one step.
func (f *fleet) work(n *node, speed float64) {
	count := float64(len(n.running))
	if count == 0 {
		return
	}
	done := workPerRequest(count, speed)
	n.busy += min(1, count/coresPerNode)
	n.running = slices.DeleteFunc(n.running, func(r *request) bool {
		r.work -= done
		if r.work > 0 {
			return false
		}
		delete(n.requests, r.id)
		f.serve(r)
		n.events = append(n.events, overload.Event{Kind: overload.Ended, ID: r.id, Outcome: overload.OK, Took: f.Now - r.made})
		return true
	})
}

// workPerRequest returns the work that each of so many running requests gets in one step.
func workPerRequest(count, speed float64) time.Duration {
	return time.Duration(float64(simStep) * speed * min(1, coresPerNode/count))
}

// control passes the events of a node to its controller, and does what that decides.
func (f *fleet) control(n *node) {
	if f.Now >= n.nextControl {
		n.nextControl = f.Now + controlInterval
		busyShare := n.busy / float64(controlInterval/simStep)
		n.events = append(n.events, overload.Event{Kind: overload.Timer, Gauges: []float64{busyShare, float64(len(n.running))}})
		n.busy = 0
	}
	for len(n.events) > 0 {
		events := n.events
		n.events = nil
		for _, action := range n.controller.Handle(f.Now, events) {
			f.apply(n, &action)
		}
	}
}

// apply does what the controller of a node has decided.
func (f *fleet) apply(n *node, action *overload.Action) {
	if action.Kind == overload.SetTimer {
		n.nextControl = min(max(action.At, f.Now+simStep), f.Now+controlInterval)
	}
	r := n.requests[action.ID]
	if r == nil {
		return
	}
	switch action.Kind {
	case overload.Start:
		r.running = true
		n.running = append(n.running, r)
	case overload.Reject, overload.Fail:
		if r.running {
			return
		}
		delete(n.requests, r.id)
		delay := retryDelay
		if f.honorRetryAfter {
			delay = max(delay, action.RetryAfter)
		}
		f.retry(r, delay)
	case overload.Cancel:
		n.running = slices.DeleteFunc(n.running, func(other *request) bool { return other == r })
		delete(n.requests, r.id)
		n.events = append(n.events, overload.Event{Kind: overload.Ended, ID: r.id, Outcome: overload.Cancelled})
	}
}
