package failover

import (
	"bytes"
	"fmt"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/harness"
)

// handleOutcome plays the part of a node's callers, and judges what they hear.
func (x *simNode) handleOutcome(outcome RequestDecision) {
	c := x.cluster
	truth := c.keys[outcome.Key]
	c.decisions[outcome.Decision]++
	_, requested := x.requests[outcome.ID]
	letIn := outcome.Decision == idempotency.Fresh && requested
	if !letIn && outcome.Decision != idempotency.Duplicate && outcome.Decision != idempotency.Start {
		c.answered[outcome.ID] = true
	}
	c.log("%s/%d %x %d: decision %d %q", x.name, x.incarnation, outcome.Key[15], outcome.ID, outcome.Decision, outcome.Result)
	switch outcome.Decision {
	case idempotency.Fresh, TakenOver:
		if outcome.Decision == TakenOver || letIn { // otherwise it is rejected after it was let in
			x.enqueue(outcome, truth)
		}
	case idempotency.Duplicate:
		if truth.replayable {
			return // it waits
		}
		delete(x.requests, outcome.ID)
		x.machine.Join(c.Now, outcome.Key, outcome.ID)
	case idempotency.Start:
		x.run(outcome, truth)
	case idempotency.Completed, idempotency.Replay:
		c.judgeResult(outcome, truth)
	case idempotency.OutcomeUnknown, idempotency.OriginalFailed:
		c.recordAnswer(outcome, false)
		// Who asked before the first answer may hear what was so then.
		if at, ok := c.requestedAt[outcome.ID]; ok && truth.answer != nil && at > truth.answeredAt {
			c.violated("key %x was answered, and is %d now", outcome.Key[15], outcome.Decision)
		}
	}
}

// enqueue has a request wait for its turn and then ask to start, or give up.
func (x *simNode) enqueue(outcome RequestDecision, truth *keyTruth) {
	c := x.cluster
	delete(x.requests, outcome.ID)
	x.after(c.drawUpTo(5*time.Millisecond), func() {
		switch {
		case truth.replayable:
			x.runReplayable(outcome, truth)
		case c.random.IntN(8) == 0:
			x.machine.Release(c.Now, outcome.Key, outcome.ID)
			c.answered[outcome.ID] = true
		default:
			x.machine.Start(c.Now, outcome.Key, outcome.ID, 0)
		}
	})
}

func (x *simNode) runReplayable(outcome RequestDecision, truth *keyTruth) {
	c := x.cluster
	x.machine.MarkRunning(c.Now, outcome.Key, outcome.ID)
	truth.runs++
	result := fmt.Appendf(nil, "run %d of %x", truth.runs, outcome.Key[15])
	x.after(c.drawUpTo(20*time.Millisecond), func() {
		x.machine.Finish(c.Now, outcome.Key, outcome.ID, idempotency.EntryResult, result)
	})
	c.answered[outcome.ID] = true
}

// run executes a request at the node's processor, or gives it up.
func (x *simNode) run(outcome RequestDecision, truth *keyTruth) {
	c := x.cluster
	if c.random.IntN(10) == 0 { // its caller has gone
		x.machine.Finish(c.Now, outcome.Key, outcome.ID, idempotency.EntryNeverRan, nil)
		c.answered[outcome.ID] = true
		return
	}
	truth.runs++
	c.runs++
	if truth.runs > 1 {
		c.violated("key %x ran twice, on %s/%d now", outcome.Key[15], x.name, x.incarnation)
	}
	run := finishedRun{outcome.ID, idempotency.EntryResult, fmt.Appendf(nil, "run %d of %x", c.runs, outcome.Key[15])}
	if c.random.IntN(12) == 0 {
		run.kind = idempotency.EntryFailed
		run.result = nil
	}
	c.history = append(c.history, harness.HistoryEvent{
		Key:    string(outcome.Key[:]),
		Ran:    true,
		Result: string(run.result),
		Asked:  int64(c.Now),
		Heard:  int64(c.Now),
	})
	incarnation := x.incarnation
	c.After(c.drawUpTo(20*time.Millisecond), func() {
		survived := x.up && x.incarnation == incarnation
		if c.processorsSurvive || survived {
			x.processorRuns = append(x.processorRuns, run)
		}
		if survived {
			x.after(c.drawUpTo(4*time.Millisecond), func() {
				x.machine.Finish(c.Now, outcome.Key, outcome.ID, run.kind, run.result)
			})
			c.answered[outcome.ID] = c.answered[outcome.ID] || run.kind == idempotency.EntryFailed
		}
	})
}

// judgeResult checks that all callers get the same result.
func (c *simCluster) judgeResult(outcome RequestDecision, truth *keyTruth) {
	if truth.replayable {
		c.joinedReplayables++
		return
	}
	c.recordAnswer(outcome, true)
	if truth.answer == nil {
		truth.answer = outcome.Result
		truth.answeredAt = c.Now
	}
	if !bytes.Equal(truth.answer, outcome.Result) {
		c.violated("key %x: %q, and %q before", outcome.Key[15], outcome.Result, truth.answer)
	}
}

// recordAnswer adds an answer to the history.
func (c *simCluster) recordAnswer(outcome RequestDecision, served bool) {
	at, ok := c.requestedAt[outcome.ID]
	if !ok || c.keys[outcome.Key].replayable {
		return
	}
	c.history = append(c.history, harness.HistoryEvent{
		Key:    string(outcome.Key[:]),
		Served: served,
		Result: string(outcome.Result),
		Asked:  int64(at),
		Heard:  int64(c.Now),
	})
}
