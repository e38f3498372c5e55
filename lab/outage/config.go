package main

import "time"

// strategy is how the nodes of a fleet come back after the outage.
type strategy uint8

const (
	queryPeers       strategy = iota // as the product does it
	serveImmediately                 // each node trusts its disk
	awaitAll                         // each node waits for the answers of all others
	unlimited                        // as serveImmediately, and all requests run at once: there is no overload controller
	strategyCount
)

// strategyNames are the rows of the report.
var strategyNames = [...]string{
	queryPeers:       "as built",
	serveImmediately: "at once",
	awaitAll:         "wait for all",
	unlimited:        "no limits",
}

// handler is a kind of request, as clients and nodes know it.
type handler struct {
	name    string
	share   float64 // of the requests
	weight  float64 // what an answer is worth
	guarded bool    // it has an idempotency key: only a node that knows its own history may run it
}

var handlers = []handler{
	{name: "status", share: 0.6, weight: 1},
	{name: "field-update", share: 0.2, weight: 2},
	{name: "file-claim", share: 0.2, weight: 3, guarded: true},
}

// config is one fleet and what happens to it.
type config struct {
	nodes      int
	lost       float64       // share of the nodes that never come back
	loadFactor float64       // load after the outage, as a multiple of the load before
	floodFor   time.Duration // how long the load is that high
	strategy   strategy
	seed       uint64
	// honorRetryAfter has rejected clients wait as long as the node said.
	honorRetryAfter bool
	// witnesses is the number of peers that remember a node's state.
	witnesses int
}

// The simulated time.
const (
	simStep = 5 * time.Millisecond   // of a node
	simEnd  = 40 * time.Second       // of a run
	bucket  = 200 * time.Millisecond // resolution of what was served
)

// The nodes.
const (
	coresPerNode    = 2.0
	meanWork        = 100 * time.Millisecond // of a request, on one core
	baseLoad        = 0.7                    // before the outage, as a share of the capacity
	maxLoadingTime  = 200 * time.Millisecond // until a node has read its store
	warmUpTime      = 5 * time.Second        // after a start, in which the processor is slower
	warmUpSpeed     = 0.5
	controlInterval = 25 * time.Millisecond // longest time between two calls of the overload controller
	maxNetworkDelay = 2 * time.Millisecond
)

// The outage.
const (
	outageAt     = 5 * time.Second
	outageLength = 3 * time.Second // until the first node returns
	returnSpread = 3 * time.Second // from the first to the last
	firstReturn  = outageAt + outageLength
)

// The clients.
const (
	clientTimeout   = 3 * time.Second
	retryDelay      = 50 * time.Millisecond  // until a rejected client tries another node
	repeatDelay     = 500 * time.Millisecond // until a client that timed out makes a new request
	repeatShare     = 0.8                    // of those clients do so
	clientAddresses = 50
)
