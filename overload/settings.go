package overload

import "time"

// Optional is a setting whose absence means something else than its zero value. The zero Optional is absent.
type Optional[T any] struct {
	Value T
	Set   bool
}

// Some returns an Optional that is present.
func Some[T any](value T) Optional[T] { return Optional[T]{Value: value, Set: true} }

// Or returns the setting, or missing if it is absent.
func (o Optional[T]) Or(missing T) T {
	if o.Set {
		return o.Value
	}
	return missing
}

// DefaultClientTimeout is the client timeout of a handler that has none in its settings.
const DefaultClientTimeout = 10 * time.Second

// Settings describe the server that a Controller decides for, and its surroundings. They are fixed for the
// lifetime of the Controller. The zero value is valid: a server with one core and no known limits.
type Settings struct {
	// BatchInterval is how long events may wait before they are handed to the controller. Decisions that
	// have to take effect by a certain time are made earlier by this much.
	BatchInterval time.Duration
	// Tier is the number of tiers in front of this server's; 0 is the tier that clients reach first.
	Tier float64
	// Servers is the number of servers that share the customers' quotas. Less than 1 counts as 1.
	Servers float64

	Backend   Backend
	Rules     PlatformRules
	Limits    RetryAfterLimits
	Handlers  []Handler
	Customers []Customer
}

// Backend describes the server itself and what it can do.
type Backend struct {
	// Cores is the number of processor cores. Less than 1 counts as 1.
	Cores float64
	// MemoryKB is the memory for requests in kilobytes. If absent it is unlimited.
	MemoryKB Optional[float64]
	// RunMemoryFactor is the memory of a running request as a multiple of its size while it is queued. Less
	// than 1 counts as 1.
	RunMemoryFactor float64
	// KeySizeKB is the memory of one entry in the idempotency table, in kilobytes.
	KeySizeKB float64
	// Cold reports whether the server has just started with cold caches.
	Cold bool
	// Cancellation is how a running request can be stopped.
	Cancellation Cancellation
	// Signal is the meaning of the load signal that rides on answers.
	Signal SignalMeaning
	// Downstream is what the calls of running requests go to.
	Downstream Downstream
	// CallShare is how many concurrent calls a shared dependency survives from this server alone, as a mean
	// over CallShareWindow. 0 means unknown.
	CallShare float64
	// CallShareWindow is the time over which CallShare is averaged, 5 s if absent.
	CallShareWindow Optional[time.Duration]
	// CallLinger is how long the dependency still works on a call that was given up here.
	CallLinger time.Duration
	// ReuseFor is how long after its end the result of a read may answer others. 0 forbids it.
	ReuseFor time.Duration
	// EdgeNodes is the number of edge nodes that send requests here. 0 means unknown.
	EdgeNodes float64
	// Gauges says what each of the values of a Timer event measures.
	Gauges []Gauge
}

// PlatformRules are the properties of the platform that decisions have to respect.
type PlatformRules struct {
	// CollapseFactor is how many requests per core may be in progress before the server collapses. If
	// absent the server survives any number.
	CollapseFactor Optional[float64]
	// ColdCapacity is the share of the full capacity that a cold server has at first, 1 if absent.
	ColdCapacity Optional[float64]
	// WarmUpTime is the time in which a cold server reaches its full capacity.
	WarmUpTime time.Duration
	// DrainGrace is the time after the notice to drain during which what is read may still start.
	DrainGrace time.Duration
}

// RetryAfterLimits bound the advice given to clients.
type RetryAfterLimits struct {
	// RetryAfter allows rejections to say when to come back.
	RetryAfter bool
	// MaxRetryAfter is the longest such time; decisions take 1 s if it is absent.
	MaxRetryAfter Optional[time.Duration]
}

// Handler describes one kind of request.
type Handler struct {
	// Name is how requests name the handler. The controller knows handlers by their index alone.
	Name string
	// ClientTimeout is how long clients wait for an answer, DefaultClientTimeout if absent.
	ClientTimeout Optional[time.Duration]
	// ResponseTarget is the time by which an answer has its full value. It is at most the client timeout,
	// which it also defaults to.
	ResponseTarget Optional[time.Duration]
	// Value is what an answer in time counts in relation to other handlers. Decisions take 1 if it is absent.
	Value Optional[float64]
	// LateValue is the share of the value that an answer after the target still has, from 0 to 1.
	LateValue float64
	// SkipValue is the share of the value that an answer without its call has. 0 means that calls can't be skipped.
	SkipValue float64
	// Idempotency says whether a request may run more than once.
	Idempotency Idempotency
	// Window is the time after a request's arrival in which repeats of it may come, if they are deduplicated.
	Window time.Duration
}

// Customer describes one of the parties whose requests share the servers.
type Customer struct {
	// Name is how requests name the customer. The controller knows customers by their index alone.
	Name string
	// QuotaPerSecond is the number of requests per second that all servers together owe the customer. 0 is no quota.
	QuotaPerSecond float64
}

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The kinds of handlers. Where nothing is known the controller treats requests as replayable, as none of them brings a
// key; others should not rely on that.
const (
	IdempotencyUnknown Idempotency = iota
	Replayable                     // may run any number of times
	Deduplicated                   // brings a key by which repeats are known and answered from the first run
	NonReplayable                  // must not run twice, and repeats can't be recognized
)

var idempotencyNames = [...]string{
	IdempotencyUnknown: "unknown",
	Replayable:         "replayable",
	Deduplicated:       "deduplicated",
	NonReplayable:      "non-replayable",
}

// String returns the name of the value.
func (i Idempotency) String() string { return nameOf(idempotencyNames[:], uint8(i)) }

// Cancellation is how a running request can be stopped.
type Cancellation uint8

// The ways to stop a request. The controller only distinguishes whether there is one.
const (
	CancelOff   Cancellation = iota // a running request can't be stopped
	CancelDrop                      // a stopped request is discarded
	CancelPause                     // a stopped request is frozen
)

var cancellationNames = [...]string{
	CancelOff:   "off",
	CancelDrop:  "drop",
	CancelPause: "pause",
}

// String returns the name of the value.
func (c Cancellation) String() string { return nameOf(cancellationNames[:], uint8(c)) }

// SignalMeaning is the meaning of the load signal that rides on answers.
type SignalMeaning uint8

// The meanings of the signal's value.
const (
	SignalOff       SignalMeaning = iota // no signal is sent
	SignalWeight                         // the share of the usual load that is wanted, 0 to 1
	SignalFloor                          // the least rank by value that should be sent here, 0 to 1
	SignalAllowance                      // requests in flight that each edge node may have here
)

var signalMeaningNames = [...]string{
	SignalOff:       "off",
	SignalWeight:    "weight",
	SignalFloor:     "floor",
	SignalAllowance: "allowance",
}

// String returns the name of the value.
func (s SignalMeaning) String() string { return nameOf(signalMeaningNames[:], uint8(s)) }

// Downstream is what the calls of running requests go to.
type Downstream uint8

// The kinds of dependencies.
const (
	DownstreamOff    Downstream = iota // none is known
	DownstreamTier                     // another tier with an overload control of its own
	DownstreamShared                   // one dependency for all servers, without any protection of its own
)

var downstreamNames = [...]string{
	DownstreamOff:    "off",
	DownstreamTier:   "tier",
	DownstreamShared: "shared",
}

// String returns the name of the value.
func (d Downstream) String() string { return nameOf(downstreamNames[:], uint8(d)) }

// Gauge is one measurement of the server that comes with each Timer event.
type Gauge uint8

// The gauges that decisions use. Others are GaugeOther.
const (
	GaugeOther    Gauge = iota
	GaugeBusy           // share of the cores that were busy of late, 0 to 1
	GaugeRunnable       // number of threads that have a core or wait for one
)

var gaugeNames = [...]string{
	GaugeOther:    "other",
	GaugeBusy:     "busy",
	GaugeRunnable: "runnable",
}

// String returns the name of the value.
func (g Gauge) String() string { return nameOf(gaugeNames[:], uint8(g)) }
