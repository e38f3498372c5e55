package main

import "time"

// strategy is how the nodes of a fleet recover after the outage.
type strategy uint8

const (
	queryPeers       strategy = iota // as implemented in package recovery
	serveImmediately                 // each node serves as soon as it has read its store
	awaitAll                         // each node waits for responses from all other nodes
	unlimited                        // like serveImmediately, but without an overload controller: all requests run concurrently
	strategyCount
)

// strategyNames are the names of the strategies in the report and the plot.
var strategyNames = [...]string{
	queryPeers:       "as built",
	serveImmediately: "at once",
	awaitAll:         "wait for all",
	unlimited:        "no limits",
}

// handler describes the requests for one handler.
type handler struct {
	name         string
	share        float64 // share of all requests
	weight       float64 // value of a served request
	deduplicated bool    // requests have idempotency keys: only a node that has recovered its history may run them
}

var handlers = []handler{
	{name: "status", share: 0.6, weight: 1},
	{name: "field-update", share: 0.2, weight: 2},
	{name: "file-claim", share: 0.2, weight: 3, deduplicated: true},
}

// config holds the parameters of one simulation run.
type config struct {
	nodes            int
	lostShare        float64       // share of the nodes that never return
	loadFactor       float64       // load after the outage, as a multiple of the load before
	overloadDuration time.Duration // duration of the increased load
	strategy         strategy
	seed             uint64
	// honorRetryAfter makes rejected clients wait for at least the node's Retry-After.
	honorRetryAfter bool
	// peersPerNode is the number of peers that store a node's state.
	peersPerNode int
}

// Simulated time.
const (
	simStep     = 5 * time.Millisecond   // time step of the nodes
	simEnd      = 40 * time.Second       // length of a run
	bucketWidth = 200 * time.Millisecond // time resolution of the served requests
)

// Nodes.
const (
	coresPerNode    = 2.0
	meanWork        = 100 * time.Millisecond // mean work of a request on one core
	baseLoad        = 0.7                    // load before the outage, as a share of the capacity
	maxLoadingTime  = 200 * time.Millisecond // longest time until a node has read its store
	warmUpTime      = 5 * time.Second        // time after a start in which the processor runs at warmUpSpeed
	warmUpSpeed     = 0.5
	controlInterval = 25 * time.Millisecond // longest time between two timer events of the overload controller
	maxNetworkDelay = 2 * time.Millisecond
)

// Outage.
const (
	outageAt     = 5 * time.Second
	outageLength = 3 * time.Second // time until the first node returns
	returnSpread = 3 * time.Second // longest time between the returns of the first and the last node
	firstReturn  = outageAt + outageLength
)

// Clients.
const (
	clientTimeout   = 3 * time.Second
	retryDelay      = 50 * time.Millisecond  // mean time until a rejected client retries
	repeatDelay     = 500 * time.Millisecond // mean time until a client that timed out creates a new request
	repeatShare     = 0.8                    // share of the clients that do so
	clientAddresses = 50
)
