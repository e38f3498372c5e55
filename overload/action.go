package overload

import "time"

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Start       ActionKind = iota + 1 // start a queued request
	Cancel                            // stop a running request; an Ended event confirms it
	Reject                            // final answer: refused by load shedding, never ran
	Fail                              // final answer: an error
	Call                              // let a waiting request call its dependency
	SkipCall                          // go on without the call
	StoreEntry                        // keep the request in the idempotency table
	RemoveEntry                       // remove it from that table
	Coalesce                          // answer a repeat from its original
	Health                            // answer health checks like this from now on
	Signal                            // send this load signal with answers from now on
	SetTimer                          // ask for a Timer event
	CloseIdle                         // close connections that have been idle for this long
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

// String returns the name of the kind.
func (k ActionKind) String() string { return nameOf(actionKindNames[:], uint8(k)) }

// Action is one thing to be done. Fields that do not belong to its kind are zero.
type Action struct {
	Kind ActionKind
	ID   uint64 // of the request, if the action concerns one

	RetryAfter time.Duration // of Reject: how long the client should stay away; 0 is no advice
	NoRetry    bool          // of Reject: the client should not try another server either
	Duration   time.Duration // of Call: the timeout; of Remember: the lifetime; of CloseIdle: how long idle, 0 for the adapter's own limit
	At         time.Duration // of Wake: when
	Healthy    bool          // of Health: whether the server wants requests
	Shallow    bool          // of Health: answer checks without real work
	Value      float64       // of Signal: in the meaning of Backend.Signal
}

// noAnswer stands for a request without a final answer where Reject and Fail stand for theirs.
const noAnswer = ActionKind(0)
