// Package lifecycle decides what a node may do, and when: start a run, send a command again, answer, end a connection, accept one, exit.
// All such permissions are asked for here, so that each rule stands once; who acts on a permission checks it again at the moment of the
// act and counts a violation. It is plain state without I/O, clock or goroutine: times are spans since a start of the caller's choice.
//
// Two principles run through it. What was read is owed an answer, so an end is permitted by what is left to do, never by the wish to end.
// And a deadline is counted from the earliest moment at which the event that set it can have happened, since a machine may hold any thread
// between the event and its handling.
package lifecycle

import "time"

// Phase is how far the end of the process has come. It only grows.
type Phase uint8

// The phases.
const (
	Serving  Phase = iota
	Draining       // notified: what is read within the grace may still start
	Closing        // nothing is accepted any more, what is read is refused, connections end as soon as nothing is owed on them
	Ending         // what is half read is refused too
	Ended          // nothing is owed, or the kill is near: the process may exit
)

// String is the phase's word in log lines.
func (p Phase) String() string {
	return [...]string{"serving", "draining", "closing", "ending", "ended"}[p]
}

const (
	ClosingBefore = 300 * time.Millisecond // of the kill: time for what crosses the closing, and for peers to close too
	EndingBefore  = 100 * time.Millisecond // of the kill: time to end what only holds half a request
	ExitBefore    = 20 * time.Millisecond  // of the kill: the process ends whatever is left
	answerBefore  = 150 * time.Millisecond // of the kill: when the last answers are to be decided, so that they get out

	killMargin   = 700 * time.Millisecond // from the longest client timeout to the kill, by the platform's newest rule
	maxKillDelay = 3 * time.Second        // and no later than this after the notice, by the same
)

// KillAfter is how long after the notice the process may be killed, by what the platform tells and what its rules allow: the least of
// the time told, the longest client timeout and a margin, and a bound. A longest of 0 is not known.
func KillAfter(told, longest time.Duration) time.Duration {
	if longest > 0 {
		told = min(told, longest+killMargin)
	}
	return min(told, maxKillDelay)
}

// Process follows the end of the process. The zero value serves.
type Process struct {
	phase    Phase
	notified time.Duration // the earliest moment at which the notice can have come
	kill     time.Duration // the earliest at which the process can be killed
	grace    time.Duration // after the notice, in which what is read may start
}

// PendingWork is what is left to do when a process is to end.
type PendingWork struct {
	Unanswered  int  // requests without their answer
	Connections int  // of clients, not closed yet
	Accepting   bool // a connection may still come out of the system's queue
	Unhandled   bool // something that was read or has happened waits to be handled
	Unsaved     bool // results are on their way to the disk
}

// empty tells whether nothing is left.
func (w PendingWork) empty() bool {
	return w.Unanswered == 0 && w.Connections == 0 && !w.Accepting && !w.Unhandled && !w.Unsaved
}

// Notify follows the notice to leave, which came at the given moment or later; it tells whether it is the first. Later ones change nothing.
func (p *Process) Notify(earliest, grace, killAfter time.Duration) bool {
	if p.phase != Serving {
		return false
	}
	p.phase, p.notified, p.grace, p.kill = Draining, earliest, grace, earliest+killAfter
	return true
}

// Advance takes the end as far as the time and the work that is left allow, by one phase at most, and tells whether it went on.
func (p *Process) Advance(now time.Duration, left PendingWork) bool {
	switch {
	case p.phase == Serving, p.phase == Ended:
		return false
	case p.phase > Draining && p.Exit(now, left) == Allowed:
		p.phase = Ended
	case p.phase == Draining && now >= p.kill-ClosingBefore:
		p.phase = Closing
	case p.phase == Closing && now >= p.kill-EndingBefore:
		p.phase = Ending
	default:
		return false
	}
	return true
}

// SetKillTime has the process end by another moment, as where more time is granted.
func (p *Process) SetKillTime(at time.Duration) { p.kill = at }

// Phase is the present phase.
func (p *Process) Phase() Phase { return p.phase }

// Notified is the earliest moment at which the notice can have come.
func (p *Process) Notified() time.Duration { return p.notified }

// KillTime is the earliest moment at which the process can be killed.
func (p *Process) KillTime() time.Duration { return p.kill }

// AnswerBy is when the last answers are to be decided.
func (p *Process) AnswerBy() time.Duration { return p.kill - answerBefore }

// ClosesAt is when the closing begins.
func (p *Process) ClosesAt() time.Duration { return p.kill - ClosingBefore }
