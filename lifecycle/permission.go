package lifecycle

import "time"

// Decision is whether something may be done now, and if not, why.
type Decision uint8

// The verdicts.
const (
	Allowed          Decision = iota
	AfterGracePeriod          // the request was read after the grace period that follows the termination notice
	ProcessExiting            // the process closes: what is read now is rejected
	RequestOpen               // a request on the connection has no response
	PartiallyRead             // part of a request was received, its rest may be on the way
	InputUnread               // received bytes were not looked at: there may be a request in them
	OutputUnsent              // part of a response was not handed to the operating system
	MayHaveRun                // it may have run, and must not run twice
	AlreadyAnswered           // the request was answered before
	WorkPending               // work is pending
	ClientGone                // the client has gone
)

// verdictNames are the words of the verdicts in log lines.
var verdictNames = [...]string{
	Allowed:          "allowed",
	AfterGracePeriod: "read after the grace",
	ProcessExiting:   "the process ends",
	RequestOpen:      "a request is open",
	PartiallyRead:    "a request is half read",
	InputUnread:      "input is unread",
	OutputUnsent:     "output is unsent",
	MayHaveRun:       "it may have run",
	AlreadyAnswered:  "it was answered",
	WorkPending:      "work is left",
	ClientGone:       "nobody waits",
}

// String returns the verdict's words.
func (v Decision) String() string { return verdictNames[v] }

// CheckStart decides whether a request that was received completely at the given moment may start a run:
//
//	phase    read                     verdict
//	Serving  at any time              Allowed
//	later    within the grace period  Allowed
//	later    after it                 AfterGrace
//
// The moment at which the request was read counts, not the one that its stamp tells: that is by another clock, which may
// step, and for the first byte of the request, while its last may come much later.
func (p *Process) CheckStart(read time.Duration) Decision {
	if p.phase != Serving && read > p.notified+p.gracePeriod {
		return AfterGracePeriod
	}
	return Allowed
}

// CheckAccept decides whether a request that is read now may be handed to the overload controller. Otherwise it is rejected at
// once:
//
//	phase                   verdict
//	Serving, Draining       Allowed
//	Closing, Ending, Ended  ProcessEnds
func (p *Process) CheckAccept() Decision {
	if p.phase >= Closing {
		return ProcessExiting
	}
	return Allowed
}

// CheckExit decides whether the process may exit now, whatever its phase:
//
//	pending work  time                            verdict
//	none          any                             Allowed
//	any           ExitBefore the kill, or later   Allowed
//	some          before that                     WorkLeft
func (p *Process) CheckExit(now time.Duration, pending PendingWork) Decision {
	if pending.empty() || now >= p.kill-ExitBeforeKill {
		return Allowed
	}
	return WorkPending
}

// Connection is the state of a client connection that is to be ended.
type Connection struct {
	OpenRequests int  // requests without their response
	HalfRead     bool // part of a message was received
	Unread       bool // received bytes were not looked at
	Unsent       bool // part of what was written is not yet with the operating system
	Broken       bool // its stream can't be followed any more: what is received means nothing
}

// CheckCloseWrite decides whether the sending side of a connection may be closed. The first line that fits counts:
//
//	connection           verdict
//	has an open request  RequestOpen
//	has unsent output    OutputUnsent
//	is broken            Allowed
//	is half read         PartiallyRead
//	has unread input     InputUnread
//	else                 Allowed
//
// A peer goes on sending until it sees the end of the stream, so the wish to end a connection is no reason to drop what it
// has sent.
func CheckCloseWrite(c Connection) Decision {
	switch {
	case c.OpenRequests > 0:
		return RequestOpen
	case c.Unsent:
		return OutputUnsent
	case c.Broken:
		return Allowed
	case c.HalfRead:
		return PartiallyRead
	case c.Unread:
		return InputUnread
	}
	return Allowed
}

// Command is a command to the processor, or a call to the upstream tier, that is to be sent again.
type Command struct {
	Idempotent bool // it is idempotent: it does no harm if the first one had its effect
	NeverRan   bool // the first one is proved to have had no effect
	Wanted     bool // a client waits for its outcome
}

// CheckRetry decides whether a command may be sent again:
//
//	wanted  idempotent or never ran  verdict
//	no      any                      ClientGone
//	yes     yes                      Allowed
//	yes     no                       MayHaveRun
func CheckRetry(c Command) Decision {
	switch {
	case !c.Wanted:
		return ClientGone
	case c.Idempotent, c.NeverRan:
		return Allowed
	}
	return MayHaveRun
}

// CheckAnswer decides whether a request may be answered now: once, and only if its client waits:
//
//	answered  client waits  verdict
//	yes       any           AlreadyAnswered
//	no        no            ClientGone
//	no        yes           Allowed
func CheckAnswer(answered, clientWaits bool) Decision {
	switch {
	case answered:
		return AlreadyAnswered
	case !clientWaits:
		return ClientGone
	}
	return Allowed
}
