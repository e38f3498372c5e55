package overload

import "time"

// ActionKind is the type of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Start       ActionKind = iota + 1 // start a queued request
	Cancel                            // stop a running request; an Ended event confirms it
	Reject                            // final response: shed before the request ran
	Fail                              // final response: an error
	Call                              // let a waiting request make its call to the dependency
	SkipCall                          // continue a waiting request without its call
	StoreEntry                        // store an entry for the request in the idempotency table, or extend its lifetime
	RemoveEntry                       // remove the request's entry from the idempotency table
	Coalesce                          // answer a repeat from its original
	Health                            // set the response to health checks from now on
	Signal                            // set the load signal of responses from now on
	SetTimer                          // request a Timer event
	CloseIdle                         // close connections that have been idle for longer than a duration from now on
)

var actionKindNames = [...]string{
	Start:       "start",
	Cancel:      "cancel",
	Reject:      "reject",
	Fail:        "fail",
	Call:        "call",
	SkipCall:    "skip-call",
	StoreEntry:  "remember",
	RemoveEntry: "forget",
	Coalesce:    "coalesce",
	Health:      "health",
	Signal:      "signal",
	SetTimer:    "wake",
	CloseIdle:   "close-idle",
}

// String returns the name of the kind as it appears in traces.
func (k ActionKind) String() string { return nameOf(actionKindNames[:], uint8(k)) }

// Action is an instruction to the adapter. Fields that do not apply to its kind are zero.
type Action struct {
	Kind ActionKind
	ID   uint64 // of the request, if the action concerns one

	RetryAfter time.Duration // of Reject: delay before the client's next attempt; 0 gives no advice
	NoRetry    bool          // of Reject: the client should not try another server either
	Duration   time.Duration // of Call: timeout; of StoreEntry: lifetime; of CloseIdle: idle timeout, 0 for the default
	At         time.Duration // of SetTimer: time of the event
	Healthy    bool          // of Health: whether the server reports itself as healthy
	Shallow    bool          // of Health: respond to health checks without running a request
	Value      float64       // of Signal: value in the unit that Backend.Signal defines
}

// noAnswer is the answer of a request that has received neither Reject nor Fail.
const noAnswer = ActionKind(0)
