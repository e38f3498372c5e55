// Package lifecycle decides what a node may do, and when: start a run, send a command again, answer, end a connection,
// accept a request, exit. Each rule of the graceful shutdown is stated here once. Whoever acts on a permission asks for it
// again at the moment of the act, and counts a violation if it is refused by then.
//
// The package is plain state without I/O, clock or goroutine. Times are spans since a start of the caller's choice, by a
// monotonic clock. Nothing in it is safe for concurrent use: a Process and a Heartbeat belong to the goroutine that owns the
// node's state.
//
// Two principles hold throughout. What was read gets a response, so that an end is permitted by the work that is left, never
// by the wish to end. And a deadline counts from the earliest moment at which the event that set it can have happened, as a
// machine may suspend any thread between the event and its handling.
package lifecycle

import "time"

// Phase is how far the shutdown of the process has come. It never goes back.
//
//	phase     next      when
//	Serving   Draining  Notify: the termination notice was heard of
//	Draining  Closing   Advance: ClosingBefore remains until the kill
//	Closing   Ending    Advance: EndingBefore remains until the kill
//	Closing   Ended     Advance: nothing is pending, or ExitBefore remains until the kill
//	Ending    Ended     the same
//
// What a process does in each phase:
//
//	phase     starts runs                    accepts requests  half-received requests
//	Serving   yes                            yes               are awaited
//	Draining  read within the grace period   yes               are awaited
//	Closing   read within the grace period   no: rejected      are awaited
//	Ending    read within the grace period   no: rejected      are rejected
//	Ended     -                              -                 the process exits
type Phase uint8

// The phases.
const (
	Serving  Phase = iota // normal operation
	Draining              // the termination notice was heard of: no new runs after the grace period
	Closing               // requests are rejected, connections are closed as soon as no response is pending on them
	Ending                // half-received requests are rejected too
	Ended                 // the process may exit
)

// phaseNames are the words of the phases in log lines.
var phaseNames = [...]string{
	Serving:  "serving",
	Draining: "draining",
	Closing:  "closing",
	Ending:   "ending",
	Ended:    "ended",
}

// String returns the phase's word.
func (p Phase) String() string { return phaseNames[p] }

// When the phases begin, as time before the kill.
const (
	// ClosingBeforeKill begins Closing: time for requests that cross the closing, and for peers to close as well.
	ClosingBeforeKill = 300 * time.Millisecond
	// EndingBeforeKill begins Ending: time to end connections on which only part of a request was received.
	EndingBeforeKill = 100 * time.Millisecond
	// ExitBeforeKill begins Ended: the process exits whatever is pending.
	ExitBeforeKill = 20 * time.Millisecond

	// answerBefore is when the last responses are to be decided, so that they are still delivered.
	answerBefore = 150 * time.Millisecond
)

// Rules of the platform for the time from the termination notice to the kill.
const (
	killMargin   = 700 * time.Millisecond // the kill comes no later than this after the longest client timeout
	maxKillDelay = 3 * time.Second        // and no later than this after the notice
)

// KillDelay returns how long after the termination notice the process may be killed: the time that is configured, or less
// where the platform's rules allow less. A longestTimeout of 0 says that the longest client timeout is not known.
func KillDelay(configured, longestTimeout time.Duration) time.Duration {
	delay := min(configured, maxKillDelay)
	if longestTimeout > 0 {
		delay = min(delay, longestTimeout+killMargin)
	}
	return delay
}

// Process is the state machine of the graceful shutdown, see Phase. The zero value serves.
type Process struct {
	phase       Phase
	notified    time.Duration // the earliest moment at which the termination notice can have come
	kill        time.Duration // the earliest moment at which the process can be killed
	gracePeriod time.Duration // after the notice, in which what is read may still start a run
}

// PendingWork is what is left to do before a process can exit.
type PendingWork struct {
	Unanswered  int  // requests without their response
	Connections int  // client connections that are not closed
	Accepting   bool // a connection may still come out of the system's accept queue
	Unhandled   bool // input or events wait to be handled
	Unsaved     bool // results are on their way to the disk
}

// empty reports whether nothing is left.
func (w PendingWork) empty() bool {
	return w.Unanswered == 0 && w.Connections == 0 && !w.Accepting && !w.Unhandled && !w.Unsaved
}

// BeginDrain handles the termination notice, which came at the given moment or later: Serving becomes Draining. It reports
// whether this is the first notice. Later ones change nothing.
func (p *Process) BeginDrain(earliest, gracePeriod, killAfter time.Duration) bool {
	if p.phase != Serving {
		return false
	}
	p.phase = Draining
	p.notified = earliest
	p.gracePeriod = gracePeriod
	p.kill = earliest + killAfter
	return true
}

// Advance moves the shutdown on by one phase at most, as far as the time and the pending work allow, and reports whether
// it did. Call it until it returns false.
func (p *Process) Advance(now time.Duration, pending PendingWork) bool {
	next := p.next(now, pending)
	advanced := next != p.phase
	p.phase = next
	return advanced
}

// next returns the phase that follows now, or the present one.
func (p *Process) next(now time.Duration, pending PendingWork) Phase {
	switch p.phase {
	case Draining:
		if now >= p.kill-ClosingBeforeKill {
			return Closing
		}
	case Closing:
		if p.CheckExit(now, pending) == Allowed {
			return Ended
		}
		if now >= p.kill-EndingBeforeKill {
			return Ending
		}
	case Ending:
		if p.CheckExit(now, pending) == Allowed {
			return Ended
		}
	}
	return p.phase
}

// SetKillTime replaces the moment of the kill, for a process that is granted more time.
func (p *Process) SetKillTime(at time.Duration) { p.kill = at }

// Phase returns the present phase.
func (p *Process) Phase() Phase { return p.phase }

// NoticeTime returns the earliest moment at which the termination notice can have come.
func (p *Process) NoticeTime() time.Duration { return p.notified }

// KillTime returns the earliest moment at which the process can be killed.
func (p *Process) KillTime() time.Duration { return p.kill }

// AnswerDeadline returns the moment by which the last responses are to be decided.
func (p *Process) AnswerDeadline() time.Duration { return p.kill - answerBefore }

// ClosingTime returns the moment at which Closing begins.
func (p *Process) ClosingTime() time.Duration { return p.kill - ClosingBeforeKill }
