package lifecycle

import "time"

// Decision states whether an operation is allowed now, and if not, why.
type Decision uint8

// The decisions.
const (
	Allowed          Decision = iota
	AfterGracePeriod          // the request was read after the grace period
	ProcessExiting            // the process is shutting down and rejects requests that are read now
	RequestOpen               // a request on the connection has no response
	PartiallyRead             // part of a request was received; the rest may be in transit
	InputUnread               // received bytes have not been parsed and may contain a request
	OutputUnsent              // part of a response has not been passed to the operating system
	MayHaveRun                // the operation may have run, and must not run twice
	AlreadyAnswered           // the request has been answered
	WorkPending               // work is pending
	ClientGone                // no client waits for the result
)

// decisionTexts are the reasons that log lines give for the decisions.
var decisionTexts = [...]string{
	Allowed:          "allowed",
	AfterGracePeriod: "request was read after the grace period",
	ProcessExiting:   "process is exiting",
	RequestOpen:      "connection has a request without a response",
	PartiallyRead:    "connection has a partially received request",
	InputUnread:      "connection has unparsed input",
	OutputUnsent:     "connection has unsent output",
	MayHaveRun:       "operation may have run and must not run twice",
	AlreadyAnswered:  "request has already been answered",
	WorkPending:      "process has pending work",
	ClientGone:       "no client waits for the result",
}

// String returns the reason for the decision, or "allowed".
func (d Decision) String() string { return decisionTexts[d] }

// CheckStart decides whether a request that was received completely at the given time may start a run:
//
//	phase    read                     decision
//	Serving  at any time              Allowed
//	later    within the grace period  Allowed
//	later    after it                 AfterGracePeriod
//
// The time at which the request was read counts, not its time stamp. The time stamp is by another clock, which may
// step, and it belongs to the first byte of the request, while the last byte may arrive much later.
func (p *Process) CheckStart(readAt time.Duration) Decision {
	if p.phase != Serving && readAt > p.noticeTime+p.gracePeriod {
		return AfterGracePeriod
	}
	return Allowed
}

// CheckAccept decides whether a request that is read now may be passed to the overload controller. Otherwise it must
// be rejected at once:
//
//	phase                   decision
//	Serving, Draining       Allowed
//	Closing, Ending, Ended  ProcessExiting
func (p *Process) CheckAccept() Decision {
	if p.phase >= Closing {
		return ProcessExiting
	}
	return Allowed
}

// CheckExit decides whether the process may exit now, in any phase:
//
//	pending work  time                                      decision
//	none          any                                       Allowed
//	any           ExitBeforeKill before the kill, or later  Allowed
//	some          earlier                                   WorkPending
func (p *Process) CheckExit(now time.Duration, pending PendingWork) Decision {
	if pending.empty() || now >= p.killTime-ExitBeforeKill {
		return Allowed
	}
	return WorkPending
}

// Connection is the state of a client connection that is to be closed.
type Connection struct {
	OpenRequests int  // requests without a response
	HalfRead     bool // part of a message was received
	Unread       bool // received bytes have not been parsed
	Unsent       bool // part of the output has not been passed to the operating system
	Broken       bool // the stream can't be parsed any further: received bytes are meaningless
}

// CheckCloseWrite decides whether the sending side of a connection may be closed. The first matching line applies:
//
//	connection           decision
//	has an open request  RequestOpen
//	has unsent output    OutputUnsent
//	is broken            Allowed
//	is half read         PartiallyRead
//	has unread input     InputUnread
//	otherwise            Allowed
//
// A peer continues to send until it reads the end of the stream, so the intent to close a connection does not justify
// dropping requests that the peer has already sent.
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

// Command is a command to the processor, or a call to the upstream tier, that is a candidate for a retry.
type Command struct {
	Idempotent bool // the command is idempotent: a second execution is harmless
	NeverRan   bool // the first attempt is proved to have had no effect
	Wanted     bool // a client waits for the outcome
}

// CheckRetry decides whether a command may be sent again:
//
//	wanted  idempotent or never ran  decision
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

// CheckAnswer decides whether a request may be answered now. It may be answered once, and only while its client
// waits:
//
//	answered  client waits  decision
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
