package lifecycle

import "time"

// Verdict is whether something may be done now, and if not, why.
type Verdict uint8

// The verdicts.
const (
	Allowed         Verdict = iota
	AfterGrace              // it was read after the grace that follows the notice
	ProcessEnds             // the process closes: what is read is refused
	RequestOpen             // a request on the connection has no answer
	HalfRead                // part of a request was read, its rest may be on the way
	InputUnread             // bytes have come that were not looked at: there may be a request in them
	OutputUnsent            // part of an answer was not handed to the system
	MayHaveRun              // it may have run, and must not run twice
	AlreadyAnswered         // it was answered before
	WorkLeft                // something is still to be done
	NobodyWaits             // its client has gone
)

// String says why in log lines.
func (v Verdict) String() string {
	return [...]string{
		"allowed", "read after the grace", "the process ends", "a request is open", "a request is half read",
		"input is unread", "output is unsent", "it may have run", "it was answered", "work is left", "nobody waits",
	}[v]
}

// Start decides whether what was read whole at a moment may start a run. After the notice only what was read within the grace may. When
// it was read counts, not when it says that it came: that is told by another clock, which may step, and by a first byte, whose last may come
// much later.
func (p *Process) Start(read time.Duration) Verdict {
	if p.phase != Serving && read > p.notified+p.grace {
		return AfterGrace
	}
	return Allowed
}

// Accept decides whether a request that is read now may be handed to the overload controller; else it is refused at once.
func (p *Process) Accept() Verdict {
	if p.phase >= Closing {
		return ProcessEnds
	}
	return Allowed
}

// Exit decides whether the process may exit now.
func (p *Process) Exit(now time.Duration, left PendingWork) Verdict {
	if left.empty() || now >= p.kill-ExitBefore {
		return Allowed
	}
	return WorkLeft
}

// Connection is what stands on a connection that is wished to end.
type Connection struct {
	OpenRequests int  // requests without their answer
	HalfRead     bool // part of a message was read
	Unread       bool // bytes have come that were not looked at
	Unsent       bool // part of what was written is not yet with the system
	Broken       bool // its stream can't be followed any more: what comes means nothing
}

// End decides whether the sending side of a connection may be closed: what was read whole is answered, and nothing that has come is left
// unread. A peer goes on sending until it sees the end, so the wish to end a connection permits nothing to be thrown away.
func End(c Connection) Verdict {
	switch {
	case c.OpenRequests > 0:
		return RequestOpen
	case c.Unsent:
		return OutputUnsent
	case c.Broken:
		return Allowed
	case c.HalfRead:
		return HalfRead
	case c.Unread:
		return InputUnread
	}
	return Allowed
}

// Command is one to the processor, or a call to the next tier, that is to be sent again.
type Command struct {
	Repeatable bool // it does no harm where the first had its effect
	NeverRan   bool // the first is proved to have had none
	Wanted     bool // somebody waits for what comes of it
}

// Repeat decides whether a command may be sent again. What is in doubt is not.
func Repeat(c Command) Verdict {
	switch {
	case !c.Wanted:
		return NobodyWaits
	case c.Repeatable, c.NeverRan:
		return Allowed
	}
	return MayHaveRun
}

// Answer decides whether a request may be answered now: once, and only where somebody waits.
func Answer(given, waits bool) Verdict {
	switch {
	case given:
		return AlreadyAnswered
	case !waits:
		return NobodyWaits
	}
	return Allowed
}
