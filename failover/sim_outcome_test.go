package failover

import (
	"bytes"
	"fmt"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/harness"
)

// handleDecision acts for the clients of a node, and checks the decisions that
// they get.
func (n *simNode) handleDecision(decision RequestDecision) {
	c := n.cluster
	record := c.keys[decision.Key]
	c.decisions[decision.Decision]++
	_, requested := n.requests[decision.ID]
	admitted := decision.Decision == idempotency.Fresh && requested
	if !admitted && decision.Decision != idempotency.Duplicate && decision.Decision != idempotency.Start {
		c.answered[decision.ID] = true
	}
	c.log("%s/%d %x %d: decision %d %q", n.name, n.incarnation, decision.Key[15], decision.ID, decision.Decision, decision.Result)
	switch decision.Decision {
	case idempotency.Fresh, TakenOver:
		if decision.Decision == TakenOver || admitted { // otherwise it is rejected after its admission
			n.enqueue(decision, record)
		}
	case idempotency.Duplicate:
		if record.replayable {
			return // the request waits
		}
		delete(n.requests, decision.ID)
		n.stateMachine.Join(c.Now, decision.Key, decision.ID)
	case idempotency.Start:
		n.run(decision, record)
	case idempotency.Completed, idempotency.Replay:
		c.checkResult(decision, record)
	case idempotency.OutcomeUnknown, idempotency.OriginalFailed:
		c.recordAnswer(decision, false)
		// A request sent before the first answer may get the outcome as of that
		// time.
		if at, ok := c.requestedAt[decision.ID]; ok && record.answer != nil && at > record.answeredAt {
			c.recordViolation("key %x was answered, then got decision %d", decision.Key[15], decision.Decision)
		}
	}
}

// enqueue queues a request for a random time; the request then starts or is
// cancelled.
func (n *simNode) enqueue(decision RequestDecision, record *keyRecord) {
	c := n.cluster
	delete(n.requests, decision.ID)
	n.after(c.randomUpTo(5*time.Millisecond), func() {
		switch {
		case record.replayable:
			n.runReplayable(decision, record)
		case c.random.IntN(8) == 0:
			n.stateMachine.Release(c.Now, decision.Key, decision.ID)
			c.answered[decision.ID] = true
		default:
			n.stateMachine.Start(c.Now, decision.Key, decision.ID, 0)
		}
	})
}

func (n *simNode) runReplayable(decision RequestDecision, record *keyRecord) {
	c := n.cluster
	n.stateMachine.MarkRunning(c.Now, decision.Key, decision.ID)
	record.runs++
	result := fmt.Appendf(nil, "run %d of %x", record.runs, decision.Key[15])
	n.after(c.randomUpTo(20*time.Millisecond), func() {
		n.stateMachine.Finish(c.Now, decision.Key, decision.ID, idempotency.EntryResult, result)
	})
	c.answered[decision.ID] = true
}

// run executes a request at the node's processor, or cancels it.
func (n *simNode) run(decision RequestDecision, record *keyRecord) {
	c := n.cluster
	if c.random.IntN(10) == 0 { // the client has disconnected
		n.stateMachine.Finish(c.Now, decision.Key, decision.ID, idempotency.EntryNeverRan, nil)
		c.answered[decision.ID] = true
		return
	}
	record.runs++
	c.runs++
	if record.runs > 1 {
		c.recordViolation("key %x ran twice, the second time on %s/%d", decision.Key[15], n.name, n.incarnation)
	}
	run := finishedRun{decision.ID, idempotency.EntryResult, fmt.Appendf(nil, "run %d of %x", c.runs, decision.Key[15])}
	if c.random.IntN(12) == 0 {
		run.kind = idempotency.EntryFailed
		run.result = nil
	}
	c.history = append(c.history, harness.HistoryEvent{
		Key:        string(decision.Key[:]),
		Ran:        true,
		Result:     string(run.result),
		InvokedAt:  int64(c.Now),
		ReturnedAt: int64(c.Now),
	})
	incarnation := n.incarnation
	c.After(c.randomUpTo(20*time.Millisecond), func() {
		survived := n.up && n.incarnation == incarnation
		if c.processorsSurvive || survived {
			n.processorRuns = append(n.processorRuns, run)
		}
		if survived {
			n.after(c.randomUpTo(4*time.Millisecond), func() {
				n.stateMachine.Finish(c.Now, decision.Key, decision.ID, run.kind, run.result)
			})
			c.answered[decision.ID] = c.answered[decision.ID] || run.kind == idempotency.EntryFailed
		}
	})
}

// checkResult checks that all clients get the same result.
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
		c.recordViolation("key %x: result %q differs from the earlier %q", decision.Key[15], decision.Result, record.answer)
	}
}

// recordAnswer adds an answer to the history.
func (c *simCluster) recordAnswer(decision RequestDecision, served bool) {
	at, ok := c.requestedAt[decision.ID]
	if !ok || c.keys[decision.Key].replayable {
		return
	}
	c.history = append(c.history, harness.HistoryEvent{
		Key:        string(decision.Key[:]),
		Served:     served,
		Result:     string(decision.Result),
		InvokedAt:  int64(at),
		ReturnedAt: int64(c.Now),
	})
}
