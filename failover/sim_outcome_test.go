package failover

import (
	"bytes"
	"fmt"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/harness"
)

// handleOutcome plays the part of a node's callers, and judges what they hear.
func (n *simNode) handleDecision(decision RequestDecision) {
	c := n.cluster
	record := c.keys[decision.Key]
	c.decisions[decision.Decision]++
	_, requested := n.requests[decision.ID]
	letIn := decision.Decision == idempotency.Fresh && requested
	if !letIn && decision.Decision != idempotency.Duplicate && decision.Decision != idempotency.Start {
		c.answered[decision.ID] = true
	}
	c.log("%s/%d %x %d: decision %d %q", n.name, n.incarnation, decision.Key[15], decision.ID, decision.Decision, decision.Result)
	switch decision.Decision {
	case idempotency.Fresh, TakenOver:
		if decision.Decision == TakenOver || letIn { // otherwise it is rejected after it was let in
			n.enqueue(decision, record)
		}
	case idempotency.Duplicate:
		if record.replayable {
			return // it waits
		}
		delete(n.requests, decision.ID)
		n.machine.Join(c.Now, decision.Key, decision.ID)
	case idempotency.Start:
		n.run(decision, record)
	case idempotency.Completed, idempotency.Replay:
		c.checkResult(decision, record)
	case idempotency.OutcomeUnknown, idempotency.OriginalFailed:
		c.recordAnswer(decision, false)
		// Who asked before the first answer may hear what was so then.
		if at, ok := c.requestedAt[decision.ID]; ok && record.answer != nil && at > record.answeredAt {
			c.recordViolation("key %x was answered, and is %d now", decision.Key[15], decision.Decision)
		}
	}
}

// enqueue has a request wait for its turn and then ask to start, or give up.
func (n *simNode) enqueue(decision RequestDecision, record *keyRecord) {
	c := n.cluster
	delete(n.requests, decision.ID)
	n.after(c.randomUpTo(5*time.Millisecond), func() {
		switch {
		case record.replayable:
			n.runReplayable(decision, record)
		case c.random.IntN(8) == 0:
			n.machine.Release(c.Now, decision.Key, decision.ID)
			c.answered[decision.ID] = true
		default:
			n.machine.Start(c.Now, decision.Key, decision.ID, 0)
		}
	})
}

func (n *simNode) runReplayable(decision RequestDecision, record *keyRecord) {
	c := n.cluster
	n.machine.MarkRunning(c.Now, decision.Key, decision.ID)
	record.runs++
	result := fmt.Appendf(nil, "run %d of %x", record.runs, decision.Key[15])
	n.after(c.randomUpTo(20*time.Millisecond), func() {
		n.machine.Finish(c.Now, decision.Key, decision.ID, idempotency.EntryResult, result)
	})
	c.answered[decision.ID] = true
}

// run executes a request at the node's processor, or gives it up.
func (n *simNode) run(decision RequestDecision, record *keyRecord) {
	c := n.cluster
	if c.random.IntN(10) == 0 { // its caller has gone
		n.machine.Finish(c.Now, decision.Key, decision.ID, idempotency.EntryNeverRan, nil)
		c.answered[decision.ID] = true
		return
	}
	record.runs++
	c.runs++
	if record.runs > 1 {
		c.recordViolation("key %x ran twice, on %s/%d now", decision.Key[15], n.name, n.incarnation)
	}
	run := finishedRun{decision.ID, idempotency.EntryResult, fmt.Appendf(nil, "run %d of %x", c.runs, decision.Key[15])}
	if c.random.IntN(12) == 0 {
		run.kind = idempotency.EntryFailed
		run.result = nil
	}
	c.history = append(c.history, harness.HistoryEvent{
		Key:    string(decision.Key[:]),
		Ran:    true,
		Result: string(run.result),
		Asked:  int64(c.Now),
		Heard:  int64(c.Now),
	})
	incarnation := n.incarnation
	c.After(c.randomUpTo(20*time.Millisecond), func() {
		survived := n.up && n.incarnation == incarnation
		if c.processorsSurvive || survived {
			n.processorRuns = append(n.processorRuns, run)
		}
		if survived {
			n.after(c.randomUpTo(4*time.Millisecond), func() {
				n.machine.Finish(c.Now, decision.Key, decision.ID, run.kind, run.result)
			})
			c.answered[decision.ID] = c.answered[decision.ID] || run.kind == idempotency.EntryFailed
		}
	})
}

// judgeResult checks that all callers get the same result.
func (c *simCluster) checkResult(decision RequestDecision, record *keyRecord) {
	if record.replayable {
		c.joinedReplayables++
		return
	}
	c.recordAnswer(decision, true)
	if record.answer == nil {
		record.answer = decision.Result
		record.answeredAt = c.Now
	}
	if !bytes.Equal(record.answer, decision.Result) {
		c.recordViolation("key %x: %q, and %q before", decision.Key[15], decision.Result, record.answer)
	}
}

// recordAnswer adds an answer to the history.
func (c *simCluster) recordAnswer(decision RequestDecision, served bool) {
	at, ok := c.requestedAt[decision.ID]
	if !ok || c.keys[decision.Key].replayable {
		return
	}
	c.history = append(c.history, harness.HistoryEvent{
		Key:    string(decision.Key[:]),
		Served: served,
		Result: string(decision.Result),
		Asked:  int64(at),
		Heard:  int64(c.Now),
	})
}
