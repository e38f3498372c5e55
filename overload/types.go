// Package overload decides, inside one server, which reqs are taken, run, shed and dropped.
package overload

import "time"

// EventKind tells what an Event reports.
type EventKind uint8

// The events. A protocol in front of the module turns what it sees into these.
const (
	Arrived    EventKind = iota + 1 // a req was read into the hold
	Ended                           // a run or a join has ended
	ClientGone                      // the caller no longer waits, or (BrokenOff) can no longer be reached
	NeedsCall                       // a running req stands at a call to what lies below
	CallEnded                       // that call has ended
	Timer                           // the wanted time has come; carries the gauges
	Drain                           // the server is being taken out of service
)

// Outcome tells how a run or a call ended.
type Outcome uint8

// The outcomes. Full, NoConnection and Moot prove that nothing was run.
const (
	OK Outcome = iota + 1
	Failed
	Overloaded
	TimedOut
	NoConnection
	BrokenOff
	Stopped
	NeverRan
)

// Event is one thing that happened. Fields that do not belong to its kind are zero.
type Event struct {
	Kind EventKind
	ID   uint64

	Handler   int           // Arrived: index in the settings' handlers
	Customer  int           // Arrived: index in the settings' customers
	Subject   string        // Arrived: what the req is about; may be empty
	Remaining time.Duration // Arrived: how long the caller still waits, 0 unknown; Leave: until the stop
	Hint      time.Duration // Arrived: expected work on a standard core, 0 unknown
	Size      float64       // Arrived: kilobytes while held
	ValueRank float64       // Arrived: place by value, 0 to 1
	Write     bool          // Arrived: changes something
	Retry     bool          // Arrived: known to be a further try
	Caller    int           // Arrived: the edge node's number
	Delay     time.Duration // Arrived: how long it lay unread; Leave: how long ago it was said, at most
	RepeatOf  uint64        // Arrived: the remembered req that this one repeats, 0 none

	Outcome Outcome       // Ended, CallEnded, Gone
	Took    time.Duration // Ended, CallEnded
	Gauges  []float64     // Timer: in the order of the settings' gauges
}

// gauge is the one at that place, 0 if it was not told.
func (e *Event) gauge(i int) float64 {
	if i < 0 || i >= len(e.Gauges) {
		return 0
	}
	return e.Gauges[i]
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Start     ActionKind = iota + 1 // start a held req
	Cancel                          // stop a running req
	Reject                          // final answer: refused, never ran
	Fail                            // final answer: errored
	Call                            // let a waiting req call what lies below
	SkipCall                        // go on without the call
	Remember                        // keep the req in the table of keys
	Forget                          // remove it from that table
	Coalesce                        // answer a repeat from its forerunner
	Health                          // what health checks are told from now on
	Signal                          // the value that rides on answers
	Wake                            // ask for a Timer event
	CloseIdle                       // close connections that have been idle for so long
)

// Action is one thing to be done. Fields that do not belong to its kind are zero.
type Action struct {
	Kind ActionKind
	ID   uint64

	RetryAfter time.Duration // Shed: how long to stay away; 0 no advice
	NoRetry    bool          // Shed: not to be tried elsewhere either
	Duration   time.Duration // Call: time-out; Remember: lifetime; Trim: how long idle
	At         time.Duration // Wake
	Healthy    bool          // Health
	Shallow    bool          // Health: answer checks without real work
	Value      float64       // Signal
}
