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
	returnAt time.Duration // time of its return after the outage; 0 if it never returns
	up       bool
	startAt  time.Duration // start time of its processor

	// Recovery.
	recovery    *recovery.Node // nil until the store is read, and with strategies that do not query peers
	established bool           // it may run requests with idempotency keys
	messages    int            // number of recovery messages sent: its queries and its responses to peers

	// The overload controller.
	controller  *overload.Controller
	nextControl time.Duration
	events      []overload.Event // events that the controller has not handled yet
	busySum     float64          // sum of the share of cores in use over the steps since the last timer event

	// Requests.
	requests map[uint64]*request // all requests on the node, by ID
	running  []*request
	shared   sharedProcessor // used by the strategy unlimited only
}

// controllerSettings returns the settings of each node's overload controller.
func controllerSettings() overload.Settings {
	var list []overload.Handler
	for _, h := range handlers {
		idempotency := overload.Replayable
		if h.deduplicated {
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

// start starts a node without requests.
func (f *fleet) start(n *node) {
	n.up = true
	n.startAt = f.Now
	if f.Now == 0 {
		n.startAt = -warmUpTime // nodes are already warm when the run starts
	}
	n.controller = overload.New(f.seed+uint64(n.index), controllerSettings(), f.Now)
	n.nextControl = f.Now
	n.events = nil
	n.requests = map[uint64]*request{}
	n.running = nil
	n.shared = sharedProcessor{}
}

// stop cuts the power of a node. All its requests fail and are retried.
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

// sortedIDs returns the IDs of requests in ascending order. Map iteration order would make runs with equal seeds differ.
func sortedIDs(requests map[uint64]*request) []uint64 {
	ids := make([]uint64, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// step advances a node by one time step: first its processor runs requests, then its controller handles events.
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
	f.runRequests(n, speed)
	f.runController(n)
}

// runRequests runs the requests of a node for one time step, in which they share its cores equally.
func (f *fleet) runRequests(n *node, speed float64) {
	count := float64(len(n.running))
	if count == 0 {
		return
	}
	workDone := workPerRequest(count, speed)
	n.busySum += min(1, count/coresPerNode)
	n.running = slices.DeleteFunc(n.running, func(r *request) bool {
		r.remainingWork -= workDone
		if r.remainingWork > 0 {
			return false
		}
		delete(n.requests, r.id)
		f.serve(r)
		n.events = append(n.events, overload.Event{Kind: overload.Ended, ID: r.id, Outcome: overload.OK, Took: f.Now - r.createdAt})
		return true
	})
}

// workPerRequest returns the work that each of count running requests completes in one time step.
func workPerRequest(count, speed float64) time.Duration {
	return time.Duration(float64(simStep) * speed * min(1, coresPerNode/count))
}

// runController passes the events of a node to its controller and applies the resulting actions.
func (f *fleet) runController(n *node) {
	if f.Now >= n.nextControl {
		n.nextControl = f.Now + controlInterval
		busyShare := n.busySum / float64(controlInterval/simStep)
		n.events = append(n.events, overload.Event{Kind: overload.Timer, Gauges: []float64{busyShare, float64(len(n.running))}})
		n.busySum = 0
	}
	for len(n.events) > 0 {
		events := n.events
		n.events = nil
		for _, action := range n.controller.Handle(f.Now, events) {
			f.applyAction(n, &action)
		}
	}
}

// applyAction applies an action of a node's controller.
func (f *fleet) applyAction(n *node, action *overload.Action) {
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
