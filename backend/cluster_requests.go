package backend

import (
	"cmp"
	"fmt"
	"time"

	"frosthub/accounting"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/overload"
)

// defaultSizeKB is the size in kilobytes that is taken for a request whose first node said none.
const defaultSizeKB = 24.0

// claim asks the group of a guarded request, before it is submitted to the overload controller.
func (c *cluster) claim(r *request) {
	r.unverify()
	handler := &c.backend.handlers[r.handler]
	c.node.Claim(c.backend.guard.now(), r.guard.key, r.guard.createdAt, r.id, failover.Work{
		Handler:    handler.name,
		Body:       r.body,
		Left:       int64(r.guard.answerDeadline - c.backend.now),
		Cost:       int64(r.arrival.Hint),
		Size:       r.arrival.SizeKB,
		Rank:       r.arrival.ValueRank,
		Weight:     handler.weight,
		Replayable: r.guard.replayable,
	})
}

// submitClaimed submits a request that its group has granted to the overload controller.
func (c *cluster) submitClaimed(r *request) {
	c.endClaim(r)
	if r.guard.replayable {
		c.backend.results.checkRepeat(r) // where there is no room it isn't cached: it may run twice
	}
	c.backend.submitArrival(r)
}

// submitRepeat submits a request of which the group knows another attempt in flight.
func (c *cluster) submitRepeat(r *request) {
	c.endClaim(r)
	r.originalID = cmp.Or(c.node.OriginalID(r.guard.key), 1)
	if r.originalID == r.id || c.backend.requests[r.originalID] == nil {
		r.originalID = ^uint64(0) // another node's: the overload controller knows nothing of it
	}
	r.arrival.RepeatOf = r.originalID
	c.backend.submitArrival(r)
}

func (c *cluster) endClaim(r *request) {
	r.hold()
	r.arrival.QueueDelay += c.backend.now - r.guard.claimedAt
}

// requestWithdrawn implements requestObserver. It does nothing: the account of a request that was taken over is closed by
// whoever withdraws it.
func (c *cluster) requestWithdrawn(*request) {}

// requestEnded implements requestObserver.
func (c *cluster) requestEnded(r *request, end requestEnd) { c.recordFailoverResponse(r, end.reason) }

// recordFailoverResponse closes the account of a request that was taken over: its answer is the group's.
func (c *cluster) recordFailoverResponse(r *request, reason accounting.Reason) {
	if !r.failedOver || r.accountClosed {
		return
	}
	r.accountClosed = true
	ledger := c.backend.ledger
	ledger.ResponseWritten(c.backend.wallTime, r.ticket, reason)
	ledger.ResponseSent(c.backend.wallTime, r.ticket)
}

// handOff has another node take over a request that this one leaves unstarted as it ends, and reports whether one does.
// The client gets the other node's result from here, if it comes in time.
func (c *cluster) handOff(r *request) bool {
	if c.node == nil || r.guard == nil || r.state != stateHeld {
		return false
	}
	if !c.node.HandOff(c.backend.guard.now(), r.guard.key, r.id) {
		return false
	}
	c.backend.stats.HandedOff++
	r.awaitResult()
	c.backend.guard.awaitingResult[r] = struct{}{}
	return true
}

// acceptFailover submits a request of another node, which was lost, to the overload controller. Nobody waits for it on
// a connection here.
func (c *cluster) acceptFailover(outcome *failover.RequestDecision) {
	b := c.backend
	work := outcome.Work
	handler := b.handlerIndex(work.Handler)
	left := time.Duration(work.Left)
	if handler < 0 || left <= 0 || b.controller == nil || b.requests[outcome.ID] != nil {
		c.node.Release(b.guard.now(), outcome.Key, outcome.ID)
		return
	}
	r := &request{
		id:         outcome.ID,
		wireID:     fmt.Sprintf("%016x", outcome.ID),
		handler:    handler,
		body:       work.Body,
		state:      stateHeld,
		failedOver: true,
		readAt:     b.now,
		guard: &guardState{
			key:            outcome.Key,
			createdAt:      outcome.Made,
			answerDeadline: b.now + left,
			replayable:     work.Replayable,
		},
	}
	r.arrival = overload.Event{
		Kind:       overload.Arrived,
		ID:         r.id,
		Handler:    handler,
		Remaining:  left,
		Hint:       time.Duration(work.Cost),
		SizeKB:     cmp.Or(work.Size, defaultSizeKB),
		ValueRank:  work.Rank,
		QueueDelay: max(0, b.handlers[handler].clientTimeout-left),
	}
	r.ticket = b.ledger.Open(b.wallTime, r.id, b.ledgerRow(handler), accounting.FailedOver, accounting.CustomerName{})
	b.requests[r.id] = r
	b.stats.FailedOver++
	b.events = append(b.events, r.arrival)
}

// applyOutcome carries out what the failover node decided about a request.
func (c *cluster) applyOutcome(outcome failover.RequestDecision) {
	b := c.backend
	if outcome.Decision == failover.TakenOver {
		c.acceptFailover(&outcome)
		return
	}
	r := b.requests[outcome.ID]
	if r == nil || r.guard == nil || r.guard.key != outcome.Key {
		if outcome.Decision == idempotency.Start { // it was given up in the same moment: it never ran
			c.node.Finish(b.guard.now(), outcome.Key, outcome.ID, idempotency.EntryNeverRan, nil)
		}
		return
	}
	if r.state == stateUnverified {
		c.applyClaimed(r, &outcome)
	} else {
		c.applyLater(r, &outcome)
	}
}

// applyClaimed carries out the answer to the claim of r.
func (c *cluster) applyClaimed(r *request, outcome *failover.RequestDecision) {
	b := c.backend
	switch {
	case outcome.Decision == idempotency.Fresh:
		c.submitClaimed(r)
	case outcome.Decision == idempotency.Duplicate && r.guard.replayable: // it waits
	case outcome.Decision == idempotency.Duplicate:
		c.submitRepeat(r)
	case outcome.Decision == idempotency.Replay:
		b.guard.countDecision(outcome.Decision)
		b.frontend.respondSuccess(r, accounting.Replayed, outcome.Result)
		b.finishAnswered(r)
	case r.guard.replayable:
		c.submitClaimed(r)
	default:
		b.frontend.respondWithoutResult(r, b.guard.countDecision(outcome.Decision))
		b.finishAnswered(r)
	}
}

// applyLater carries out a decision about a request that was submitted to the overload controller.
func (c *cluster) applyLater(r *request, outcome *failover.RequestDecision) {
	b := c.backend
	controllerDecides := r.guard.replayable && r.state != stateAwaitingResult && !r.failedOver
	switch {
	case outcome.Decision == idempotency.Duplicate: // it goes on where it is, or waits for the node that has taken it over
	case controllerDecides && outcome.Decision != idempotency.Replay:
	case outcome.Decision == idempotency.Start && !b.isWanted(r):
		r.guard.endRecorded = true
		c.node.Finish(b.guard.now(), outcome.Key, outcome.ID, idempotency.EntryNeverRan, nil)
		b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
	default:
		b.guard.applyOutcome(outcome.Outcome)
	}
}
