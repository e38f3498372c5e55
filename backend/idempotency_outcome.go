package backend

import (
	"frosthub/accounting"
	"frosthub/idempotency"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
)

// applyOutcomes carries out each of the given decisions of the store.
func (g *idempotencyGuard) applyOutcomes(outcomes []idempotency.Outcome) {
	for _, outcome := range outcomes {
		g.applyOutcome(outcome)
	}
}

// applyOutcome carries out the decision of the store, or of the cluster, on a request that waited for it.
func (g *idempotencyGuard) applyOutcome(outcome idempotency.Outcome) {
	b := g.backend
	r := b.requests[outcome.ID]
	if r == nil || r.guard == nil || r.guard.endRecorded && r.state != stateAwaitingResult {
		invariant.Check(outcome.Decision != idempotency.Start, "a request whose intent became durable still exists")
		return
	}
	delete(g.awaitingResult, r)
	switch outcome.Decision {
	case idempotency.Start:
		if r.state == stateAwaitingIntent && b.isWanted(r) {
			b.startRun(r)
		} else {
			g.abandonIntent(r)
		}
	case idempotency.Completed:
		b.cluster.recordFailoverResponse(r, r.guard.answerReason)
		delete(b.requests, r.id)
		if b.hasClient(r) {
			b.frontend.respondSuccess(r, r.guard.answerReason, outcome.Result)
			b.releaseClient(r)
		}
	case idempotency.Replay:
		r.guard.endRecorded = true
		b.runEnded(r, overload.OK, g.countDecision(outcome.Decision), 0, outcome.Result)
	default:
		r.guard.endRecorded = true
		reason := g.countDecision(outcome.Decision)
		ended := overload.Failed
		if reason.Category() == accounting.Rejected {
			ended = overload.NeverRan
		}
		b.runEnded(r, ended, reason, 0, nil)
	}
}

// abandonIntent ends a request whose intent became durable but that must not run any more: its client is gone, or the
// overload controller joined it to another request in the meantime.
func (g *idempotencyGuard) abandonIntent(r *request) {
	reason := accounting.NeverRan
	if r.state == stateJoined {
		reason = accounting.RetryAllowed
	}
	r.guard.endRecorded = true
	others := g.store.Finish(g.now(), r.guard.key, idempotency.EntryNeverRan, nil)
	g.backend.runEnded(r, overload.NeverRan, reason, 0, nil)
	g.applyOutcomes(others)
}

// recordEnd reports the end of a guarded request to the store, or to the failover node, and returns whether the
// response must wait until the end is durable.
func (g *idempotencyGuard) recordEnd(r *request, outcome overload.Outcome, reason accounting.Reason, body []byte) bool {
	if r.guard.replayable {
		g.recordReplayableEnd(r, outcome, body)
		return false
	}
	switch {
	case r.guard.endRecorded, r.state < stateJoined:
		return false
	case r.state == stateJoined: // a joined request has no run of its own
		g.withdraw(r)
		return false
	case r.state == stateAwaitingIntent:
		r.guard.endRecorded = true
		g.withdraw(r)
		return false
	}
	r.guard.endRecorded = true
	kind := entryKindOf(outcome)
	if kind == idempotency.EntryResult {
		r.guard.answerReason = reason
		r.awaitResult()
		g.awaitingResult[r] = struct{}{}
	}
	if g.backend.cluster.enabled() {
		g.backend.cluster.node.Finish(g.now(), r.guard.key, r.id, kind, body)
	} else {
		g.applyOutcomes(g.store.Finish(g.now(), r.guard.key, kind, body))
	}
	return kind == idempotency.EntryResult
}

// recordReplayableEnd reports the end of a replayable request to the failover node. Nothing is stored, so the response
// does not wait.
func (g *idempotencyGuard) recordReplayableEnd(r *request, outcome overload.Outcome, body []byte) {
	switch {
	case r.guard.endRecorded:
	case !r.state.runInProgress():
		g.withdraw(r)
	default:
		r.guard.endRecorded = true
		kind := idempotency.EntryNeverRan
		if outcome == overload.OK {
			kind = idempotency.EntryResult
		}
		g.backend.cluster.node.Finish(g.now(), r.guard.key, r.id, kind, body)
	}
}

// entryKindOf returns the kind of store entry that records a run with the given outcome.
func entryKindOf(outcome overload.Outcome) idempotency.EntryKind {
	switch outcome {
	case overload.OK:
		return idempotency.EntryResult
	case overload.NeverRan:
		return idempotency.EntryNeverRan
	}
	return idempotency.EntryFailed
}

// onTimer fails the requests that wait for a durable result and have reached their deadline. The store keeps their
// results all the same once they are durable.
func (g *idempotencyGuard) onTimer() {
	b := g.backend
	for r := range g.awaitingResult {
		deadline := r.guard.answerDeadline
		if b.process.Phase() > lifecycle.Serving {
			deadline = min(deadline, b.process.AnswerDeadline())
		}
		if b.now < deadline {
			b.wakeBy(deadline)
			continue
		}
		if b.hasClient(r) {
			b.frontend.respondFailure(r, accounting.ResultNotDurable)
			b.finishAnswered(r)
		}
		delete(g.awaitingResult, r)
		if b.cluster.enabled() { // a majority of the group may never confirm the result
			b.cluster.recordFailoverResponse(r, accounting.ResultNotDurable)
			delete(b.requests, r.id)
		}
	}
}
