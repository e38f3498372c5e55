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

// defaultSizeKB is the assumed size in kilobytes of a taken-over request whose size is not known.
const defaultSizeKB = 24.0

// claim claims the key of a guarded request in its group, the nodes that record the state of that key, before the
// request is submitted to the overload controller.
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

// submitClaimed submits a request whose claim its group has granted to the overload controller.
func (c *cluster) submitClaimed(r *request) {
	c.endClaim(r)
	if r.guard.replayable {
		c.backend.results.checkRepeat(r) // if the cache is full the request runs uncached, since it may run twice
	}
	c.backend.submitArrival(r)
}

// submitRepeat submits a request to the overload controller while another attempt with its key is in flight.
func (c *cluster) submitRepeat(r *request) {
	c.endClaim(r)
	r.originalID = cmp.Or(c.node.OriginalID(r.guard.key), 1)
	if r.originalID == r.id || c.backend.requests[r.originalID] == nil {
		r.originalID = ^uint64(0) // the attempt is at another node, unknown to the overload controller
	}
	r.arrival.RepeatOf = r.originalID
	c.backend.submitArrival(r)
}

// endClaim ends the wait for the decision on a claim, and adds its duration to the queue delay of the request.
func (c *cluster) endClaim(r *request) {
	r.hold()
	r.arrival.QueueDelay += c.backend.now - r.guard.claimedAt
}

// requestWithdrawn implements requestObserver. It does nothing: the code that withdraws a taken-over request records
// its response.
func (c *cluster) requestWithdrawn(*request) {}

// requestEnded implements requestObserver.
func (c *cluster) requestEnded(r *request, end requestEnd) { c.recordFailoverResponse(r, end.reason) }

// recordFailoverResponse records the response to a taken-over request in the ledger. The request has no client
// connection; its response goes to the group.
func (c *cluster) recordFailoverResponse(r *request, reason accounting.Reason) {
	if !r.failedOver || r.accountClosed {
		return
	}
	r.accountClosed = true
	ledger := c.backend.ledger
	ledger.ResponseWritten(c.backend.wallTime, r.ticket, reason)
	ledger.ResponseSent(c.backend.wallTime, r.ticket)
}

// handOff hands a request that this node has not started over to another node while this one shuts down. It reports
// whether another node takes the request over. The client still gets its response from this node if the other node's
// result arrives in time.
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

// acceptFailover submits a request of a lost node to the overload controller. No client connection of this node waits
// for it.
func (c *cluster) acceptFailover(decision *failover.RequestDecision) {
	b := c.backend
	work := decision.Work
	handler := b.handlerIndex(work.Handler)
	left := time.Duration(work.Left)
	if handler < 0 || left <= 0 || b.controller == nil || b.requests[decision.ID] != nil {
		c.node.Release(b.guard.now(), decision.Key, decision.ID)
		return
	}
	r := &request{
		id:         decision.ID,
		wireID:     fmt.Sprintf("%016x", decision.ID),
		handler:    handler,
		body:       work.Body,
		state:      stateHeld,
		failedOver: true,
		readAt:     b.now,
		guard: &guardState{
			key:            decision.Key,
			createdAt:      decision.Made,
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

// applyDecision carries out a decision of the failover node on a request.
func (c *cluster) applyDecision(decision failover.RequestDecision) {
	b := c.backend
	if decision.Decision == failover.TakenOver {
		c.acceptFailover(&decision)
		return
	}
	r := b.requests[decision.ID]
	if r == nil || r.guard == nil || r.guard.key != decision.Key {
		if decision.Decision == idempotency.Start { // the request was cancelled at the same time: it never ran
			c.node.Finish(b.guard.now(), decision.Key, decision.ID, idempotency.EntryNeverRan, nil)
		}
		return
	}
	if r.state == stateUnverified {
		c.applyClaimDecision(r, &decision)
	} else {
		c.applySubmittedDecision(r, &decision)
	}
}

// applyClaimDecision carries out the decision on the claim of r.
func (c *cluster) applyClaimDecision(r *request, decision *failover.RequestDecision) {
	b := c.backend
	switch {
	case decision.Decision == idempotency.Fresh:
		c.submitClaimed(r)
	case decision.Decision == idempotency.Duplicate && r.guard.replayable: // r waits for the outcome
	case decision.Decision == idempotency.Duplicate:
		c.submitRepeat(r)
	case decision.Decision == idempotency.Replay:
		b.guard.countDecision(decision.Decision)
		b.frontend.respondSuccess(r, accounting.Replayed, decision.Result)
		b.finishAnswered(r)
	case r.guard.replayable:
		c.submitClaimed(r)
	default:
		b.frontend.respondWithoutResult(r, b.guard.countDecision(decision.Decision))
		b.finishAnswered(r)
	}
}

// applySubmittedDecision carries out a decision on a request that was submitted to the overload controller.
func (c *cluster) applySubmittedDecision(r *request, decision *failover.RequestDecision) {
	b := c.backend
	controllerDecides := r.guard.replayable && r.state != stateAwaitingResult && !r.failedOver
	switch {
	case decision.Decision == idempotency.Duplicate: // it continues, or waits for the node that has taken it over
	case controllerDecides && decision.Decision != idempotency.Replay:
	case decision.Decision == idempotency.Start && !b.isWanted(r):
		r.guard.endRecorded = true
		c.node.Finish(b.guard.now(), decision.Key, decision.ID, idempotency.EntryNeverRan, nil)
		b.runEnded(r, overload.NeverRan, accounting.NeverRan, 0, nil)
	default:
		b.guard.applyOutcome(decision.Outcome)
	}
}
