package backend

import (
	"log/slog"
	"maps"
	"slices"

	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/internal/logthrottle"
	"frosthub/lifecycle"
)

// Counters say what a backend has received, sent and answered since its start.
type Counters struct {
	// Connections of clients.
	Accepted       int64 // accepted
	ConnsRefused   int64 // for which there was no room
	ConnsClosed    int64
	ConnsEvicted   int64 // closed here because they were idle
	BadConns       int64 // cut because they did not keep to the protocol
	DiscardedBytes int64 // bytes that were discarded unread
	Open           int64 // now: connections of all kinds

	// Requests.
	Checks      int64 // health checks
	BadRequests int64 // rejected as malformed
	Unanswered  int64 // whose client left without its answer
	Pending     int64 // now: without their answer
	FailedOver  int64 // from other nodes of the cluster
	HandedOff   int64 // to other nodes of the cluster

	// Runs.
	Started int64
	Stopped int64
	Ended   int64

	// Calls to the upstream tier.
	CallsRequested int64 // that runs have asked for
	Calls          int64 // that were made
	CallsOK        int64
	CallsFailed    int64

	// The link to the processor.
	Links      int64 // connections made
	LinksLost  int64
	Rejects    int64 // commands that it rejected
	Remarks    int64
	Repeated   int64 // commands that were retried after a break
	GaugesLate int64 // timer events that did not get fresh gauges

	// The owner.
	Reports    int64 // to the control plane
	Batches    int64 // handed to the overload controller
	Events     int64 // in those
	Reloads    int64 // of the configuration
	Stalls     int64 // turns that came later than they were due, by stallMin or more
	ClockSteps int64 // steps of the time of day
	Broken     int64 // invariants found broken
	Violations int64 // acts that a rule forbade at the moment of the act, and that were not done

	// Accounts, over all processes that the statistics file knows; of this process alone without one.
	Requests   accounting.Counts
	Mismatches int64            // sums found not to add up
	Reasons    map[string]int64 // of the requests that are closed
}

// Counters returns the counters. It may be called from any goroutine while Serve runs and after that.
func (b *Backend) Counters() Counters {
	var counters Counters
	b.runOnOwner(func() { counters = b.counters() })
	return counters
}

func (b *Backend) counters() Counters {
	c := b.stats
	if b.ledger != nil { // Serve has begun
		c.Requests = b.ledger.Total()
		c.Mismatches = b.ledger.MismatchCount()
		c.Reasons = sumReasons(b.ledger)
	}
	c.ConnsRefused = b.connsRejected.Load()
	c.Open = b.loop.Open.Load()
	c.DiscardedBytes = b.loop.Discarded.Load()
	c.Pending = int64(b.unanswered)
	c.Broken = invariant.Violations()
	return c
}

// LogValue returns the counters in groups, under the words that operators search for.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Group("conns", "taken", c.Accepted, "no_room", c.ConnsRefused, "closed", c.ConnsClosed, "trimmed", c.ConnsEvicted,
			"bad", c.BadConns, "open", c.Open, "dropped_bytes", c.DiscardedBytes),
		slog.Group("reqs", "taken", c.Requests.Received, "served", c.Requests.Served, "refused", c.Requests.Rejected,
			"failed", c.Requests.Failed, "open", c.Requests.Open, "differs", c.Mismatches, "owed", c.Pending,
			"bad", c.BadRequests, "checks", c.Checks, "unanswered", c.Unanswered),
		slog.Group("runs", "begun", c.Started, "stopped", c.Stopped, "ended", c.Ended, "repeated", c.Repeated,
			"taken", c.FailedOver, "handed", c.HandedOff),
		slog.Group("calls", "asked", c.CallsRequested, "made", c.Calls, "ok", c.CallsOK, "failed", c.CallsFailed),
		slog.Group("link", "made", c.Links, "lost", c.LinksLost, "rejects", c.Rejects, "remarks", c.Remarks,
			"gauges_late", c.GaugesLate),
		slog.Int64("reports", c.Reports),
		slog.Int64("batches", c.Batches),
		slog.Int64("events", c.Events),
		slog.Int64("reloads", c.Reloads),
		slog.Int64("stalls", c.Stalls),
		slog.Int64("clock_steps", c.ClockSteps),
		slog.Int64("broken", c.Broken),
		slog.Int64("violations", c.Violations),
		slog.Any("reasons", c.reasons()))
}

// reasons returns why requests were closed, in the order of the words.
func (c Counters) reasons() slog.Value {
	var attrs []slog.Attr
	for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
		attrs = append(attrs, slog.Int64(reason, c.Reasons[reason]))
	}
	return slog.GroupValue(attrs...)
}

// reasonsOf adds up the reasons of all rows of a ledger.
func sumReasons(ledger *accounting.Ledger) map[string]int64 {
	sums := map[string]int64{}
	for _, row := range ledger.Report(false).Rows {
		for reason, n := range row.Reasons {
			sums[reason] += n
		}
	}
	return sums
}

// recordViolation counts and logs an act that a rule forbids at this moment. The caller leaves it undone.
func (b *Backend) recordViolation(operation string, r *request, verdict lifecycle.Decision) {
	b.stats.Violations++
	b.log.Error("lifecycle violation prevented", "act", operation, "id", r.wireID, "reason", verdict)
}

// logLimited logs a warning, at most once a second for each kind, with the number left out since the last one.
func (b *Backend) logLimited(message string, args ...any) {
	limiter := b.logLimits[message]
	if limiter == nil {
		limiter = &logthrottle.Limiter{}
		b.logLimits[message] = limiter
	}
	leftOut, ok := limiter.Allow()
	if !ok {
		return
	}
	if leftOut > 0 {
		args = append(args, "left_out", leftOut)
	}
	b.log.Warn(message, args...)
}

// parseLogged returns a function for a connection's OnData that feeds a parser, and logs the errors of that under kind.
func (b *Backend) parseLogged(message string, feed func([]byte) error) func([]byte) error {
	return func(p []byte) error {
		err := feed(p)
		if err != nil {
			b.logLimited(message, "reason", err)
		}
		return err
	}
}
