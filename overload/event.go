package overload

import "time"

// EventKind is the type of an Event.
type EventKind uint8

// The kinds of events. The adapter derives them from its observations.
const (
	Arrived    EventKind = iota + 1 // a request was read and awaits a decision
	Ended                           // a run, or the wait for the original of a coalesced request, has ended
	ClientGone                      // the client gave up waiting or, with the outcome ConnectionLost, is unreachable
	NeedsCall                       // a running request has reached its call to the dependency
	CallEnded                       // that call has ended
	Timer                           // the time set by a SetTimer action has come; carries the gauges
	Drain                           // the server is being taken out of service
)

var eventKindNames = [...]string{
	Arrived:    "arrived",
	Ended:      "ended",
	ClientGone: "client-gone",
	NeedsCall:  "needs-call",
	CallEnded:  "call-ended",
	Timer:      "timer",
	Drain:      "drain",
}

// String returns the name of the kind as it appears in traces.
func (k EventKind) String() string { return nameOf(eventKindNames[:], uint8(k)) }

// Outcome is the result of a run or a call.
type Outcome uint8

// The outcomes. Overloaded, NoConnection and NeverRan prove that nothing was run.
const (
	OK             Outcome = iota + 1
	Failed                 // ended with an error
	Overloaded             // rejected by the dependency
	TimedOut               // no response within the timeout
	NoConnection           // could not be sent
	ConnectionLost         // the connection was lost before the response
	Cancelled              // stopped by a Cancel action
	NeverRan               // was not started
)

var outcomeNames = [...]string{
	OK:             "ok",
	Failed:         "failed",
	Overloaded:     "overloaded",
	TimedOut:       "timed-out",
	NoConnection:   "no-connection",
	ConnectionLost: "broken-off",
	Cancelled:      "stopped",
	NeverRan:       "never-ran",
}

// String returns the name of the outcome as it appears in traces.
func (o Outcome) String() string { return nameOf(outcomeNames[:], uint8(o)) }

// Event is an observation of the adapter. Fields that do not apply to its kind are zero.
type Event struct {
	Kind EventKind
	ID   uint64 // of the request; unique among the requests that have not ended

	// Fields of Arrived.
	Handler   int           // index in Settings.Handlers
	Customer  int           // index in Settings.Customers
	Resource  string        // resource that a read accesses, the key for sharing its result; may be empty
	Hint      time.Duration // expected work on a standard core, 0 if unknown
	SizeKB    float64       // kilobytes of memory while queued
	ValueRank float64       // rank by value among all requests, 0 to 1
	Write     bool          // the request modifies data
	Retry     bool          // the request is known to be a retry
	EdgeNode  int           // number of the edge node that sent it; a node gets a new number with each restart
	RepeatOf  uint64        // the request with an idempotency entry that this one repeats, 0 if none

	// Remaining is the time until the client times out for Arrived, 0 if unknown, and the time until the server is
	// stopped for Drain.
	Remaining time.Duration
	// QueueDelay is the time that the request was in the server's input before it was read for Arrived, and the
	// maximum age of the notice for Drain.
	QueueDelay time.Duration

	Outcome Outcome       // of Ended, CallEnded and ClientGone
	Took    time.Duration // of Ended and CallEnded
	Gauges  []float64     // of Timer, in the order of Backend.Gauges
}

// nameOf returns the name of an enumeration value, or "invalid" for the zero value of an enumeration that starts at 1
// and for values past the last one.
func nameOf(names []string, value uint8) string {
	if int(value) < len(names) && names[value] != "" {
		return names[value]
	}
	return "invalid"
}
