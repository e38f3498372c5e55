package backend

import (
	"frosthub/accounting"
	"frosthub/idempotency"
	"frosthub/internal/invariant"
	"frosthub/lifecycle"
	"frosthub/overload"
)

func (g *idempotencyGuard) applyOutcomes(outcomes []idempotency.Outcome) {
	for _, outcome := range outcomes {
		g.applyOutcome(outcome)
	}
}

// applyOutcome carries out what the store, or the cluster, decided about a request that waited.
func (g *idempotencyGuard) applyOutcome(outcome idempotency.Outcome) {
	b := g.backend
	r := b.requests[outcome.ID]
	if r == nil || r.guard == nil || r.guard.resultDurable && r.state != stateAwaitingResult {
		invariant.Check(outcome.Decision != idempotency.Start, "what is to be begun is there")
		return
	}
	delete(g.awaitingDisk, r)
	switch outcome.Decision {
	case idempotency.Start:
		if r.state == stateAwaitingIntent && b.isWanted(r) {
			b.startRun(r)
		} else {
			g.abandonIntent(r)
		}
	case idempotency.Completed:
		b.cluster.closeAccount(r, r.guard.reason)
		delete(b.requests, r.id)
		if b.hasClient(r) {
			b.frontend.succeeded(r, r.guard.reason, outcome.Result)
			b.releaseClient(r)
		}
	case idempotency.Replay:
		r.guard.resultDurable = true
		b.runEnded(r, overload.OK, g.countDecision(outcome.Decision), 0, outcome.Result)
	default:
		r.guard.resultDurable = true
		reason := g.countDecision(outcome.Decision)
		ended := overload.Failed
		if reason.Category() == accounting.Rejected {
			ended = overload.NeverRan
		}
		b.runEnded(r, ended, reason, 0, nil)
	}
}

// abandonIntent follows an intent that is on disk but is not to be carried out: nobody waits for the request any more,
// or the overload controller had it join another meanwhile.
func (g *idempotencyGuard) abandonIntent(r *request) {
	reason := accounting.NeverRan
	if r.state == stateJoined {
		reason = accounting.RetryAllowed
	}
	r.guard.resultDurable = true
	others := g.store.Finish(g.now(), r.guard.key, idempotency.EntryNeverRan, nil)
	g.backend.runEnded(r, overload.NeverRan, reason, 0, nil)
	g.applyOutcomes(others)
}

// recordEnd reports the end of a guarded request to the store, or the cluster, and returns whether its answer has to
// wait for the disk.
func (g *idempotencyGuard) recordEnd(r *request, outcome overload.Outcome, reason accounting.Reason, body []byte) bool {
	if r.guard.replayable {
		g.recordReplayableEnd(r, outcome, body)
		return false
	}
	switch {
	case r.guard.resultDurable, r.state < stateJoined:
		return false
	case r.state == stateJoined: // it has no run of its own
		g.withdraw(r)
		return false
	case r.state == stateAwaitingIntent:
		r.guard.resultDurable = true
		g.withdraw(r)
		return false
	}
	r.guard.resultDurable = true
	kind := entryKindOf(outcome)
	if kind == idempotency.EntryResult {
		r.guard.reason = reason
		r.awaitResult()
		g.awaitingDisk[r] = struct{}{}
	}
	if g.backend.cluster.enabled() {
		g.backend.cluster.node.Finish(g.now(), r.guard.key, r.id, kind, body)
	} else {
		g.applyOutcomes(g.store.Finish(g.now(), r.guard.key, kind, body))
	}
	return kind == idempotency.EntryResult
}

// recordReplayableEnd reports the end of a request that may run twice: to the other nodes only, and its answer doesn't
// wait.
func (g *idempotencyGuard) recordReplayableEnd(r *request, outcome overload.Outcome, body []byte) {
	switch {
	case r.guard.resultDurable:
	case !r.state.started():
		g.withdraw(r)
	default:
		r.guard.resultDurable = true
		kind := idempotency.EntryNeverRan
		if outcome == overload.OK {
			kind = idempotency.EntryResult
		}
		g.backend.cluster.node.Finish(g.now(), r.guard.key, r.id, kind, body)
	}
}

// entryKindOf returns how the store records the end of a run.
func entryKindOf(outcome overload.Outcome) idempotency.EntryKind {
	switch outcome {
	case overload.OK:
		return idempotency.EntryResult
	case overload.NeverRan:
		return idempotency.EntryNeverRan
	}
	return idempotency.EntryFailed
}

// onTimer answers the requests that wait for the disk and can wait no longer. Their results are kept all the same once
// the disk has them.
func (g *idempotencyGuard) onTimer() {
	b := g.backend
	for r := range g.awaitingDisk {
		deadline := r.guard.answerBy
		if b.process.Phase() > lifecycle.Serving {
			deadline = min(deadline, b.process.AnswerDeadline())
		}
		if b.now < deadline {
			b.wakeBy(deadline)
			continue
		}
		if b.hasClient(r) {
			b.frontend.failed(r, accounting.ResultNotDurable)
			b.finishAnswered(r)
		}
		delete(g.awaitingDisk, r)
		if b.cluster.enabled() { // too few nodes of its group may ever answer
			b.cluster.closeAccount(r, accounting.ResultNotDurable)
			delete(b.requests, r.id)
		}
	}
}
