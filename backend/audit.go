package backend

import (
	"slices"

	"frosthub/accounting"
	"frosthub/internal/invariant"
)

// auditLedger checks the sums of the ledger, every ledgerComparisonInterval compares its open accounts with the
// requests of the backend, and logs the mismatches.
func (b *Backend) auditLedger() {
	b.ledger.Audit(b.wallTime)
	if b.now >= b.nextComparison {
		b.nextComparison = b.now + ledgerComparisonInterval
		b.compareLedger()
	}
	b.logMismatches()
}

// compareLedger compares the open accounts of the ledger with the requests of the backend that are not answered and the
// responses that are not delivered.
func (b *Backend) compareLedger() {
	b.ledger.CompareOpenRequests(b.wallTime, func(open func(accounting.Ticket, uint64)) {
		for _, r := range b.requests { // the comparison does not depend on the order
			if b.hasClient(r) || r.failedOver && !r.accountClosed {
				open(r.ticket, r.id)
			}
		}
		for client := range b.frontend.clients {
			for _, sent := range client.undelivered {
				open(sent.ticket, sent.id)
			}
		}
	})
}

// logMismatches logs the mismatches that the ledger has found.
func (b *Backend) logMismatches() {
	for _, mismatch := range b.ledger.TakeMismatches() {
		b.log.Error("accounting mismatch", "mismatch", mismatch.What, "left", mismatch.Left, "right", mismatch.Right,
			"trail", mismatch.Trail)
		invariant.Check(false, "accounts match: "+mismatch.What)
	}
}

// checkInvariants checks all requests, slots, calls and accounts. A debug build calls it after each batch. Among other
// things, each unanswered request holds one slot of its client's connection, and each request without a client runs or
// was taken over from another node.
func (b *Backend) checkInvariants() {
	b.checkRequests()
	b.compareLedger()
	b.ledger.Audit(b.wallTime)
	b.logMismatches()
	invariant.Check(float64(b.results.usedBytes) <= b.memoryShare(resultCacheShare), "the result cache stays within its memory limit")
}

// checkRequests checks the requests, the slots that they hold and the calls of their runs.
func (b *Backend) checkRequests() {
	waiting, calls := 0, 0
	for _, r := range b.requests {
		if b.hasClient(r) {
			waiting++
			invariant.Check(r.client.requests[r.slot] == r, "an unanswered request holds its slot")
			queryPending := r.guard != nil || slices.Contains(b.processor.unverified, r)
			invariant.Check(r.state != stateUnverified || queryPending, "the processor is queried about an unverified request")
		} else {
			invariant.Check(r.failedOver || r.state >= stateAwaitingIntent, "a request without a client runs")
		}
		if r.call != nil {
			calls++
			invariant.Check(r.state == stateCalling, "a request with a call in flight is calling")
		}
	}
	for _, r := range b.processor.unconfirmed {
		known := b.requests[r.id] == r && r.state.runInProgress() && r.noticeDeadline > 0
		invariant.Check(known, "an unconfirmed run is in progress")
	}
	slots := 0
	for client := range b.frontend.clients {
		slots += len(client.requests)
		slotsOpen := client.readStopped || client.protocol.openSlots() >= client.pendingResponses()
		invariant.Check(slotsOpen, "the protocol parser counts at least the slots with pending responses")
	}
	invariant.Check(waiting == b.unanswered && waiting == slots, "unanswered requests hold one slot each")
	invariant.Check(calls == b.upstream.callsInFlight(), "each call in flight belongs to a request")
}
