package overload

import "time"

// Optional is a setting for which absence differs from the zero value. The zero Optional is absent.
type Optional[T any] struct {
	Value T
	Set   bool
}

// Some returns a present Optional with the given value.
func Some[T any](value T) Optional[T] { return Optional[T]{Value: value, Set: true} }

// Or returns the value, or missing if the setting is absent.
func (o Optional[T]) Or(missing T) T {
	if o.Set {
		return o.Value
	}
	return missing
}

// DefaultClientTimeout is the client timeout of a handler without one in its settings.
const DefaultClientTimeout = 10 * time.Second

// Settings describe the server that a Controller makes decisions for, and its environment. They are constant for the
// lifetime of the Controller. The zero value is valid and describes a server with one core and no known limits.
type Settings struct {
	// BatchInterval is the maximum time that events wait before the adapter passes them to the controller. Decisions
	// that have to take effect by a certain time are made earlier to allow for this delay.
	BatchInterval time.Duration
	// Tier is the number of tiers in front of this server's tier, 0 for the one that clients call.
	Tier float64
	// Servers is the number of servers that share the customers' quotas. Values below 1 count as 1.
	Servers float64

	Backend   Backend
	Rules     PlatformRules
	Limits    RetryAfterLimits
	Handlers  []Handler
	Customers []Customer
}

// Backend describes the server itself and its capabilities.
type Backend struct {
	// Cores is the number of processor cores. Values below 1 count as 1.
	Cores float64
	// MemoryKB is the memory for requests in kilobytes, unlimited if absent.
	MemoryKB Optional[float64]
	// RunMemoryFactor is the memory of a running request as a multiple of its queued size. Values below 1 count as 1.
	RunMemoryFactor float64
	// KeySizeKB is the size of one entry in the idempotency table, in kilobytes.
	KeySizeKB float64
	// Cold reports whether the server has just started with cold caches.
	Cold bool
	// Cancellation is the way in which running requests can be stopped.
	Cancellation Cancellation
	// Signal is the meaning of the load signal in responses.
	Signal SignalMeaning
	// Downstream is the destination of the calls that running requests make.
	Downstream Downstream
	// CallShare is the number of concurrent calls from this server that a shared dependency can sustain, averaged
	// over CallShareWindow. 0 means unknown.
	CallShare float64
	// CallShareWindow is the averaging window of CallShare, 5 s if absent.
	CallShareWindow Optional[time.Duration]
	// CallLinger is how long the dependency continues to work on a call after this server has given it up.
	CallLinger time.Duration
	// ReuseFor is how long after its end the result of a read may answer other requests. 0 forbids sharing.
	ReuseFor time.Duration
	// EdgeNodes is the number of edge nodes that send requests to this server. 0 means unknown.
	EdgeNodes float64
	// Gauges is the meaning of each value in Event.Gauges, in the same order.
	Gauges []Gauge
}

// PlatformRules describe the properties of the platform that decisions depend on.
type PlatformRules struct {
	// CollapseFactor is the number of requests in progress per core at which the server collapses under the load.
	// If absent, there is no such limit.
	CollapseFactor Optional[float64]
	// ColdCapacity is the share of its full capacity that a cold server starts with, 1 if absent.
	ColdCapacity Optional[float64]
	// WarmUpTime is the time that a cold server takes to reach its full capacity.
	WarmUpTime time.Duration
	// DrainGrace is the grace period after the drain notice. Requests that are read within it may still start.
	DrainGrace time.Duration
}

// RetryAfterLimits restrict the retry advice in rejections.
type RetryAfterLimits struct {
	// RetryAfter allows rejections to advise a delay before the next attempt.
	RetryAfter bool
	// MaxRetryAfter is the longest delay that is advised, 1 s if absent.
	MaxRetryAfter Optional[time.Duration]
}

// Handler describes one kind of request.
type Handler struct {
	// Name identifies the handler in requests. The controller only uses the index.
	Name string
	// ClientTimeout is the longest time that clients wait for an answer, DefaultClientTimeout if absent.
	ClientTimeout Optional[time.Duration]
	// ResponseTarget is the latency objective: an answer within this time has its full value. The client timeout is
	// its upper limit, and its default if absent.
	ResponseTarget Optional[time.Duration]
	// Value is the value of an answer within the target, relative to other handlers, 1 if absent.
	Value Optional[float64]
	// LateValue is the share of the value that an answer after the target still has, 0 to 1.
	LateValue float64
	// SkipValue is the share of the value that an answer without its call has. 0 means that calls can't be skipped.
	SkipValue float64
	// Idempotency defines whether a request may run more than once.
	Idempotency Idempotency
	// Window is the time after a request's arrival during which repeats of it may arrive, for deduplicated requests.
	Window time.Duration
}

// TimeLimits returns the client timeout and the response target with their defaults applied.
func (h *Handler) TimeLimits() (clientTimeout, responseTarget time.Duration) {
	clientTimeout = h.ClientTimeout.Or(DefaultClientTimeout)
	return clientTimeout, min(h.ResponseTarget.Or(clientTimeout), clientTimeout)
}

// Customer describes one of the parties whose requests share the servers.
type Customer struct {
	// Name identifies the customer in requests. The controller only uses the index.
	Name string
	// QuotaPerSecond is the number of requests per second that the customer is entitled to across all servers. 0
	// means no quota.
	QuotaPerSecond float64
}

// Idempotency defines whether a request may run more than once.
type Idempotency uint8

// The kinds of idempotency. The controller treats requests of unknown idempotency as replayable, because none of them
// has a key. Other packages should not make this assumption.
const (
	IdempotencyUnknown Idempotency = iota
	Replayable                     // may run any number of times
	Deduplicated                   // has a key; repeats with the same key are answered from the first run
	NonReplayable                  // must not run twice, and repeats can't be recognized
)

var idempotencyNames = [...]string{
	IdempotencyUnknown: "unknown",
	Replayable:         "replayable",
	Deduplicated:       "deduplicated",
	NonReplayable:      "non-replayable",
}

// String returns the name of the value as it appears in settings and traces.
func (i Idempotency) String() string { return nameOf(idempotencyNames[:], uint8(i)) }

// Cancellation is the way in which a running request can be stopped.
type Cancellation uint8

// The ways to stop a request. The controller only distinguishes whether cancellation is possible.
const (
	CancelOff   Cancellation = iota // a running request can't be stopped
	CancelDrop                      // a stopped request is discarded
	CancelPause                     // a stopped request is suspended
)

var cancellationNames = [...]string{
	CancelOff:   "off",
	CancelDrop:  "drop",
	CancelPause: "pause",
}

// String returns the name of the value as it appears in settings and traces.
func (c Cancellation) String() string { return nameOf(cancellationNames[:], uint8(c)) }

// SignalMeaning is the meaning of the load signal in responses.
type SignalMeaning uint8

// The meanings of the signal's value.
const (
	SignalOff       SignalMeaning = iota // no signal is sent
	SignalWeight                         // wanted share of the usual load, 0 to 1
	SignalFloor                          // minimum rank by value of the requests that should be sent here, 0 to 1
	SignalAllowance                      // maximum number of requests in flight per edge node
)

var signalMeaningNames = [...]string{
	SignalOff:       "off",
	SignalWeight:    "weight",
	SignalFloor:     "floor",
	SignalAllowance: "allowance",
}

// String returns the name of the value as it appears in settings and traces.
func (s SignalMeaning) String() string { return nameOf(signalMeaningNames[:], uint8(s)) }

// Downstream is the destination of the calls that running requests make.
type Downstream uint8

// The kinds of dependencies.
const (
	DownstreamOff    Downstream = iota // none is known
	DownstreamTier                     // another tier with its own overload control
	DownstreamShared                   // one dependency that all servers share, without its own overload protection
)

var downstreamNames = [...]string{
	DownstreamOff:    "off",
	DownstreamTier:   "tier",
	DownstreamShared: "shared",
}

// String returns the name of the value as it appears in settings and traces.
func (d Downstream) String() string { return nameOf(downstreamNames[:], uint8(d)) }

// Gauge is the meaning of one of the values in Event.Gauges.
type Gauge uint8

// The gauges. Decisions ignore GaugeOther.
const (
	GaugeOther    Gauge = iota
	GaugeBusy           // recent share of the cores that were busy, 0 to 1
	GaugeRunnable       // number of threads that occupy a core or wait for one
)

var gaugeNames = [...]string{
	GaugeOther:    "other",
	GaugeBusy:     "busy",
	GaugeRunnable: "runnable",
}

// String returns the name of the value as it appears in settings and traces.
func (g Gauge) String() string { return nameOf(gaugeNames[:], uint8(g)) }
