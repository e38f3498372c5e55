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

// Counters count the events of a backend since its start. The fields marked "now" are current values.
type Counters struct {
	// Connections of clients.
	Accepted       int64
	ConnsRefused   int64 // closed on accept for lack of room
	ConnsClosed    int64
	ConnsEvicted   int64 // closed by this backend because they were idle
	BadConns       int64 // terminated because the client violated the protocol
	DiscardedBytes int64 // bytes received and discarded without being parsed
	Open           int64 // now: open connections of all kinds

	// Requests.
	Checks      int64 // health checks
	BadRequests int64 // rejected as malformed
	Unanswered  int64 // whose client disconnected before it got the whole response
	Pending     int64 // now: not answered yet
	FailedOver  int64 // taken over from other nodes of the cluster
	HandedOff   int64 // handed off to other nodes of the cluster

	// Runs.
	Started int64
	Stopped int64
	Ended   int64

	// Calls to the upstream tier.
	CallsRequested int64 // that runs have requested
	Calls          int64 // that were started
	CallsOK        int64
	CallsFailed    int64

	// The link to the processor.
	Links       int64 // connections established
	LinksLost   int64
	Rejects     int64 // commands that it rejected
	Remarks     int64
	Repeated    int64 // commands that were retried after the link was lost
	Unconfirmed int64 // runs whose last command may have been lost with the link and was not retried
	GaugesLate  int64 // timer events for which fresh gauges did not arrive in time

	// The owner.
	Reports    int64 // to the control plane
	Batches    int64 // passed to the overload controller
	Events     int64 // in those batches
	Reloads    int64 // of the configuration
	Stalls     int64 // turns that began late by minStall or more
	ClockSteps int64 // steps of the wall clock
	Broken     int64 // violations of invariants
	Violations int64 // operations that package lifecycle forbade and that were not carried out

	// Accounts, over all incarnations in the statistics file; without a file, of this process alone.
	Requests   accounting.Counts
	Mismatches int64            // mismatches found in the accounts
	Reasons    map[string]int64 // closed requests by reason
}

// Counters returns the counters. It may be called from any goroutine while Serve runs and after it has returned.
func (b *Backend) Counters() Counters {
	var counters Counters
	b.runOnOwner(func() { counters = b.counters() })
	return counters
}

func (b *Backend) counters() Counters {
	c := b.stats
	if b.ledger != nil { // Serve has opened it
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

// LogValue returns the counters as groups of log attributes.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Group("connections", "accepted", c.Accepted, "rejected", c.ConnsRefused, "closed", c.ConnsClosed,
			"evicted", c.ConnsEvicted, "protocol_errors", c.BadConns, "open", c.Open, "discarded_bytes", c.DiscardedBytes),
		slog.Group("requests", "received", c.Requests.Received, "served", c.Requests.Served, "rejected", c.Requests.Rejected,
			"failed", c.Requests.Failed, "open", c.Requests.Open, "mismatches", c.Mismatches, "pending", c.Pending,
			"malformed", c.BadRequests, "health_checks", c.Checks, "unanswered", c.Unanswered),
		slog.Group("runs", "started", c.Started, "cancelled", c.Stopped, "ended", c.Ended, "retried_commands", c.Repeated,
			"unconfirmed", c.Unconfirmed, "taken_over", c.FailedOver, "handed_off", c.HandedOff),
		slog.Group("calls", "requested", c.CallsRequested, "started", c.Calls, "succeeded", c.CallsOK, "failed", c.CallsFailed),
		slog.Group("processor_link", "established", c.Links, "lost", c.LinksLost, "rejected_commands", c.Rejects,
			"remarks", c.Remarks, "late_gauges", c.GaugesLate),
		slog.Int64("control_reports", c.Reports),
		slog.Int64("batches", c.Batches),
		slog.Int64("events", c.Events),
		slog.Int64("reloads", c.Reloads),
		slog.Int64("stalls", c.Stalls),
		slog.Int64("clock_steps", c.ClockSteps),
		slog.Int64("invariant_violations", c.Broken),
		slog.Int64("lifecycle_violations", c.Violations),
		slog.Any("close_reasons", c.reasons()))
}

// reasons returns the numbers of closed requests by reason, sorted by reason.
func (c Counters) reasons() slog.Value {
	var attrs []slog.Attr
	for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
		attrs = append(attrs, slog.Int64(reason, c.Reasons[reason]))
	}
	return slog.GroupValue(attrs...)
}

// sumReasons returns the numbers of closed requests by reason, summed over all rows of a ledger.
func sumReasons(ledger *accounting.Ledger) map[string]int64 {
	sums := map[string]int64{}
	for _, row := range ledger.Report(false).Rows {
		for reason, n := range row.Reasons {
			sums[reason] += n
		}
	}
	return sums
}

// recordViolation counts and logs an operation on a request that package lifecycle forbids. The caller does not carry
// it out.
func (b *Backend) recordViolation(operation string, r *request, decision lifecycle.Decision) {
	b.stats.Violations++
	b.log.Error("lifecycle violation prevented", "operation", operation, "id", r.wireID, "reason", decision)
}

// logLimited logs a warning, at most once a second for each message, with the number of suppressed warnings since the
// last one.
func (b *Backend) logLimited(message string, args ...any) {
	limiter := b.logLimits[message]
	if limiter == nil {
		limiter = &logthrottle.Limiter{}
		b.logLimits[message] = limiter
	}
	suppressed, ok := limiter.Allow()
	if !ok {
		return
	}
	if suppressed > 0 {
		args = append(args, "suppressed", suppressed)
	}
	b.log.Warn(message, args...)
}

// parseLogged returns a function for a connection's OnData that feeds a parser and logs its errors as warnings with the
// given message.
func (b *Backend) parseLogged(message string, feed func([]byte) error) func([]byte) error {
	return func(p []byte) error {
		err := feed(p)
		if err != nil {
			b.logLimited(message, "reason", err)
		}
		return err
	}
}
