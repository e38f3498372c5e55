// Package lifecycle contains the rules that permit or forbid a node's operations: starting a run, retrying a command,
// answering a request, closing a connection, accepting a request and exiting. Each rule of the graceful shutdown is
// implemented here, and only here. The code that performs an operation checks the decision again immediately before,
// and counts a violation if the operation is no longer allowed.
//
// The package is plain state without I/O, clocks or goroutines. Times are durations since a fixed moment of the
// caller's choice, by a monotonic clock. Nothing in the package is safe for concurrent use: a Process and an
// EventTimeBound belong to the goroutine that owns the node's state.
//
// Two principles apply throughout. First, every request that was read gets a response, so the pending work determines
// whether a connection may be closed or the process may exit, and the intent to do so does not. Second, a deadline
// counts from the earliest time at which the event that set it can have happened, because the machine may suspend any
// thread between the event and its processing.
package lifecycle

import "time"

// Phase is the progress of the graceful shutdown. It never goes back.
//
//	phase     next      when
//	Serving   Draining  BeginDrain: the termination notice was received
//	Draining  Closing   Advance: ClosingBeforeKill remains until the kill
//	Closing   Ending    Advance: EndingBeforeKill remains until the kill
//	Closing   Ended     Advance: nothing is pending, or ExitBeforeKill remains until the kill
//	Ending    Ended     the same
//
// Behaviour of the process in each phase:
//
//	phase     starts runs                    accepts requests  partially received requests
//	Serving   yes                            yes               are awaited
//	Draining  read within the grace period   yes               are awaited
//	Closing   read within the grace period   no: rejected      are awaited
//	Ending    read within the grace period   no: rejected      are rejected
//	Ended     -                              -                 the process exits
type Phase uint8

// The phases.
const (
	Serving  Phase = iota // normal operation
	Draining              // the termination notice was received: no requests read after the grace period are run
	Closing               // requests are rejected, and connections are closed once no response is pending on them
	Ending                // partially received requests are rejected as well
	Ended                 // the process may exit
)

// phaseNames are the names of the phases in log lines.
var phaseNames = [...]string{
	Serving:  "serving",
	Draining: "draining",
	Closing:  "closing",
	Ending:   "ending",
	Ended:    "ended",
}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Beginning of the phases, as the time remaining until the kill.
const (
	// ClosingBeforeKill is when Closing begins. It leaves time for requests that are sent while connections are being
	// closed, and for peers to close their side.
	ClosingBeforeKill = 300 * time.Millisecond
	// EndingBeforeKill is when Ending begins. It leaves time to close connections on which only part of a request was
	// received.
	EndingBeforeKill = 100 * time.Millisecond
	// ExitBeforeKill is when Ended begins. The process exits even if work is pending.
	ExitBeforeKill = 20 * time.Millisecond

	// answerBeforeKill is when the last responses must be decided, so that they can still be delivered.
	answerBeforeKill = 150 * time.Millisecond
)

// Platform limits of the time from the termination notice to the kill.
const (
	killMargin   = 700 * time.Millisecond // maximum delay beyond the longest client timeout
	maxKillDelay = 3 * time.Second        // maximum delay after the notice
)

// KillDelay returns how long after the termination notice the process may be killed: the configured time, or less if
// the platform limits require it. A longestTimeout of 0 means that the longest client timeout is unknown.
func KillDelay(configured, longestTimeout time.Duration) time.Duration {
	delay := min(configured, maxKillDelay)
	if longestTimeout > 0 {
		delay = min(delay, longestTimeout+killMargin)
	}
	return delay
}

// Process is the state machine of the graceful shutdown, see Phase. The zero value is in the phase Serving.
type Process struct {
	phase       Phase
	noticeTime  time.Duration // earliest time at which the termination notice can have been sent
	killTime    time.Duration // earliest time at which the process can be killed
	gracePeriod time.Duration // after the notice; requests that are read within it may still start a run
}

// PendingWork is the work that remains before a process can exit.
type PendingWork struct {
	Unanswered  int  // requests without a response
	Connections int  // client connections that are not closed
	Accepting   bool // the accept queue of the operating system may still contain a connection
	Unhandled   bool // input or events are waiting to be processed
	Unsaved     bool // results are being written to disk
}

// empty reports whether no work remains.
func (w PendingWork) empty() bool {
	return w.Unanswered == 0 && w.Connections == 0 && !w.Accepting && !w.Unhandled && !w.Unsaved
}

// BeginDrain processes the termination notice and changes the phase from Serving to Draining. earliest is the
// earliest time at which the notice can have been sent; the kill can follow killAfter later. BeginDrain reports
// whether this is the first notice. Later notices have no effect.
func (p *Process) BeginDrain(earliest, gracePeriod, killAfter time.Duration) bool {
	if p.phase != Serving {
		return false
	}
	p.phase = Draining
	p.noticeTime = earliest
	p.gracePeriod = gracePeriod
	p.killTime = earliest + killAfter
	return true
}

// Advance moves the shutdown to the next phase if the time and the pending work permit it, and reports whether it
// did. Call it until it returns false.
func (p *Process) Advance(now time.Duration, pending PendingWork) bool {
	next := p.next(now, pending)
	advanced := next != p.phase
	p.phase = next
	return advanced
}

// next returns the phase that follows now, or the current phase.
func (p *Process) next(now time.Duration, pending PendingWork) Phase {
	switch p.phase {
	case Draining:
		if now >= p.killTime-ClosingBeforeKill {
			return Closing
		}
	case Closing:
		if p.CheckExit(now, pending) == Allowed {
			return Ended
		}
		if now >= p.killTime-EndingBeforeKill {
			return Ending
		}
	case Ending:
		if p.CheckExit(now, pending) == Allowed {
			return Ended
		}
	}
	return p.phase
}

// SetKillTime changes the time of the kill, for a process that is granted more time.
func (p *Process) SetKillTime(at time.Duration) { p.killTime = at }

// Phase returns the current phase.
func (p *Process) Phase() Phase { return p.phase }

// NoticeTime returns the earliest time at which the termination notice can have been sent.
func (p *Process) NoticeTime() time.Duration { return p.noticeTime }

// KillTime returns the earliest time at which the process can be killed.
func (p *Process) KillTime() time.Duration { return p.killTime }

// AnswerDeadline returns the time by which the last responses must be decided.
func (p *Process) AnswerDeadline() time.Duration { return p.killTime - answerBeforeKill }

// ClosingTime returns the time at which Closing begins.
func (p *Process) ClosingTime() time.Duration { return p.killTime - ClosingBeforeKill }
