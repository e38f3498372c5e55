package overload

import "time"

// EventKind says what an Event reports.
type EventKind uint8

// The events. The adapter in front of the controller turns what it observes into these.
const (
	Arrived    EventKind = iota + 1 // a request was read and waits to be decided about
	Ended                           // a run, or the wait for the original of a coalesced request, has ended
	ClientGone                      // the client no longer waits, or (BrokenOff) can't be reached any more
	NeedsCall                       // a running request has to call its dependency
	CallEnded                       // that call has ended
	Timer                           // the time that a Wake action asked for has come; carries the gauges
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

// String returns the name of the kind.
func (k EventKind) String() string { return nameOf(eventKindNames[:], uint8(k)) }

// Outcome says how a run or a call ended.
type Outcome uint8

// The outcomes. Overloaded, NoConnection and NeverRan prove that nothing was run.
const (
	OK             Outcome = iota + 1
	Failed                 // ended with an error
	Overloaded             // rejected by the dependency
	TimedOut               // gave no answer in time
	NoConnection           // could not be sent
	ConnectionLost         // the connection was lost
	Cancelled              // cancelled at the controller's request
	NeverRan               // was not begun
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

// String returns the name of the outcome.
func (o Outcome) String() string { return nameOf(outcomeNames[:], uint8(o)) }

// Event is one thing that happened. Fields that do not belong to its kind are zero.
type Event struct {
	Kind EventKind
	ID   uint64 // of the request; unique among those that have not ended

	// Of Arrived.
	Handler   int           // index in Settings.Handlers
	Customer  int           // index in Settings.Customers
	Resource  string        // what a read asks for, to share its result; may be empty
	Hint      time.Duration // expected work on a standard core, 0 if unknown
	SizeKB    float64       // kilobytes of memory while queued
	ValueRank float64       // rank by value among all requests, 0 to 1
	Write     bool          // the request changes something
	Retry     bool          // the request is known to be a retry
	EdgeNode  int           // number of the edge node that sent it; a new one after each restart of the node
	RepeatOf  uint64        // the remembered request that this one repeats, 0 if none

	// Remaining is, of Arrived, how long the client still waits, 0 if unknown; of Drain, the time until the server
	// is stopped.
	Remaining time.Duration
	// QueueDelay is, of Arrived, how long the request lay unread; of Drain, how long ago the notice came at most.
	QueueDelay time.Duration

	Outcome Outcome       // of Ended, CallEnded and ClientGone
	Took    time.Duration // of Ended and CallEnded
	Gauges  []float64     // of Timer, in the order of Backend.Gauges
}

// nameOf returns the name of a value of an enum, of which the zero value and those past the last one have none.
func nameOf(names []string, value uint8) string {
	if int(value) < len(names) && names[value] != "" {
		return names[value]
	}
	return "invalid"
}
