package backend

import (
	"slices"

	"frosthub/accounting"
	"frosthub/internal/invariant"
)

// auditLedger has the ledger check that its sums add up, from time to time compares it with the requests that are known here,
// and logs what differs.
func (b *Backend) auditLedger() {
	b.ledger.Audit(b.wallTime)
	if b.now >= b.nextComparison {
		b.nextComparison = b.now + ledgerComparisonInterval
		b.compareLedger()
	}
	b.logMismatches()
}

// compareLedger compares the open accounts of the ledger with the requests that are known here.
func (b *Backend) compareLedger() {
	b.ledger.CompareOpenRequests(b.wallTime, func(open func(accounting.Ticket, uint64)) {
		for _, r := range b.requests { // a sum: the order does not matter
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

// logMismatches logs what the ledger found not to add up.
func (b *Backend) logMismatches() {
	for _, mismatch := range b.ledger.TakeMismatches() {
		b.log.Error("accounting mismatch", "what", mismatch.What, "one", mismatch.Left, "other", mismatch.Right, "trail", mismatch.Trail)
		invariant.Check(false, "figures add up: "+mismatch.What)
	}
}

// checkInvariants goes through all requests, slots and calls. A debug build does so after each batch: each unanswered
// request holds one slot of its client's connection, and what nobody waits for runs.
func (b *Backend) checkInvariants() {
	b.checkRequests()
	b.compareLedger()
	b.ledger.Audit(b.wallTime)
	b.logMismatches()
	invariant.Check(float64(b.results.usedBytes) <= b.memoryShare(resultCacheShare), "kept results stay within their bound")
}

func (b *Backend) checkRequests() {
	waiting, calls := 0, 0
	for _, r := range b.requests {
		if b.hasClient(r) {
			waiting++
			invariant.Check(r.client.requests[r.slot] == r, "an unanswered request holds its slot")
			asked := r.guard != nil || slices.Contains(b.processor.unverified, r)
			invariant.Check(r.state != stateUnverified || asked, "an unverified request is asked for")
		} else {
			invariant.Check(r.failedOver || r.state >= stateAwaitingIntent, "a request for which nobody waits runs")
		}
		if r.call != nil {
			calls++
			invariant.Check(r.state == stateCalling, "a request with a call in flight is calling")
		}
	}
	slots := 0
	for client := range b.frontend.clients {
		slots += len(client.requests)
		known := client.readStopped || client.protocol.openSlots() >= client.pendingResponses()
		invariant.Check(known, "open slots are known to the parser")
	}
	invariant.Check(waiting == b.unanswered && waiting == slots, "unanswered requests hold one slot each")
	invariant.Check(calls == b.upstream.callsInFlight(), "calls in flight are those of requests")
}
