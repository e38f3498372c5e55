package backend

import (
	"frosthub/accounting"
	"frosthub/internal/logthrottle"
	"frosthub/lifecycle"
	"log/slog"
	"maps"
	"slices"
)

// Counters tell what a backend has taken in, sent and answered since its start.
type Counters struct {
	Conns, ConnsRefused, ConnsClosed, ConnsTrimmed     int64
	Checks, BadRequests, BadConns, Unanswered          int64
	Begun, Stopped, Ended, Asked, TakenOver, HandedOff int64
	Calls, CallsOK, CallsFailed                        int64
	Links, LinksLost, Rejects, Remarks, Repeated       int64
	Reports, Batches, Events, GaugesLate, Reloads      int64
	Open, Pending                                      int64 // now: connections, reqs without their answer
	Broken                                             int64 // invariants found broken
	Violations                                         int64 // acts that a rule forbade, found at the moment of the act
	Dropped                                            int64 // bytes of connections that were thrown away unread
	Stalls                                             int64 // turns of the owner that came later than they were due, by stallTold or more
	ClockSteps                                         int64 // steps of the time of day

	Requests   accounting.Counts // over all lives that the figures file knows, of this process without one
	Mismatches int64             // figures found that do not add up
	Reasons    map[string]int64  // of the reqs that are closed, over the same lives
}

// LogValue prints the counters in groups.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Group("conns", "taken", c.Conns, "no_room", c.ConnsRefused, "closed", c.ConnsClosed, "trimmed",
			c.ConnsTrimmed, "bad", c.BadConns, "open", c.Open, "dropped_bytes", c.Dropped),
		slog.Group("reqs", "taken", c.Requests.Received, "served", c.Requests.Served, "refused", c.Requests.Rejected, "failed",
			c.Requests.Failed, "open", c.Requests.Open, "differs", c.Mismatches, "owed", c.Pending, "bad", c.BadRequests, "checks", c.Checks, "unanswered", c.Unanswered),
		slog.Group("runs", "begun", c.Begun, "stopped", c.Stopped, "ended", c.Ended, "repeated", c.Repeated, "taken", c.TakenOver, "handed", c.HandedOff),
		slog.Group("calls", "asked", c.Asked, "made", c.Calls, "ok", c.CallsOK, "failed", c.CallsFailed),
		slog.Group("link", "made", c.Links, "lost", c.LinksLost, "rejects", c.Rejects, "remarks", c.Remarks,
			"gauges_late", c.GaugesLate),
		slog.Int64("reports", c.Reports), slog.Int64("batches", c.Batches), slog.Int64("events", c.Events),
		slog.Int64("reloads", c.Reloads),
		slog.Int64("stalls", c.Stalls), slog.Int64("clock_steps", c.ClockSteps),
		slog.Int64("broken", c.Broken), slog.Int64("violations", c.Violations), slog.Any("reasons", c.reasons()))
}

// reasons lists why reqs were closed, in order of their words.
func (c Counters) reasons() slog.Value {
	var all []slog.Attr
	for _, why := range slices.Sorted(maps.Keys(c.Reasons)) {
		all = append(all, slog.Int64(why, c.Reasons[why]))
	}
	return slog.GroupValue(all...)
}

// reasonsOf adds up the reasons of all rows of a book.
func reasonsOf(book *accounting.Ledger) map[string]int64 {
	sums := map[string]int64{}
	for _, row := range book.Report(false).Rows {
		for why, n := range row.Reasons {
			sums[why] += n
		}
	}
	return sums
}

// recordViolation counts and tells of an act that a rule forbids at this moment, and that was not done.
func (b *Backend) recordViolation(act string, r *request, why lifecycle.Verdict) {
	b.stats.Violations++
	b.log.Error("rule kept at the last moment", "act", act, "id", r.wireID, "why", why)
}

// logLimited logs a trouble, at most once a second for each kind, with the number left out since.
func (b *Backend) logLimited(kind string, args ...any) {
	line := b.logLimits[kind]
	if line == nil {
		line = &logthrottle.Limiter{}
		b.logLimits[kind] = line
	}
	leftOut, ok := line.Allow()
	if !ok {
		return
	}
	if leftOut > 0 {
		args = append(args, "left_out", leftOut)
	}
	b.log.Warn(kind, args...)
}

// parseLogged is a connection's Data that feeds a parser and logs what it can't follow as that kind of trouble.
func (b *Backend) parseLogged(kind string, feed func([]byte) error) func([]byte) error {
	return func(p []byte) error {
		err := feed(p)
		if err != nil {
			b.logLimited(kind, "why", err)
		}
		return err
	}
}
