package accounting

import (
	"fmt"
	"strings"
	"time"
)

const (
	trailLength            = 16 // recent entries that are shown with a mismatch
	maxUnreported          = 16 // mismatches that are kept for TakeMismatches; further ones are only counted
	maxRecordedDifferences = 2 * maxUnreported
)

// Mismatch describes two numbers that should be equal but differ, or a transition that is not allowed.
type Mismatch struct {
	At          time.Duration
	What        string // names of the two numbers, or a description of the transition
	Left, Right int64
	Trail       string // the last entries before the mismatch was found
}

// recordMismatch counts a mismatch and keeps it for TakeMismatches. A mismatch that was already recorded is not recorded
// again until the difference between its numbers changes. Mismatches whose numbers are equal, as those of transitions
// may be, are always recorded.
func (l *Ledger) recordMismatch(at time.Duration, what string, left, right int64) {
	difference := left - right
	if recorded, known := l.recordedDifferences[what]; known && recorded == difference && difference != 0 {
		return
	}
	if len(l.recordedDifferences) < maxRecordedDifferences {
		l.recordedDifferences[what] = difference
	}
	trail := l.trailText()
	l.commit(Entry{Kind: EntryMismatch, At: at})
	if len(l.unreported) < maxUnreported {
		l.unreported = append(l.unreported, Mismatch{
			At:    at,
			What:  what,
			Left:  left,
			Right: right,
			Trail: trail,
		})
	}
}

// TakeMismatches returns the mismatches recorded since the last call, 16 at most, and clears them.
func (l *Ledger) TakeMismatches() []Mismatch {
	taken := l.unreported
	l.unreported = nil
	return taken
}

// trailText returns the last trailLength entries as text, oldest first.
func (l *Ledger) trailText() string {
	var out strings.Builder
	for ago := uint64(trailLength); ago > 0; ago-- {
		if l.seq < ago {
			continue
		}
		if entry := &l.trail[(l.seq-ago+1)%trailLength]; entry.Kind != 0 {
			fmt.Fprintf(&out, "%s ", entry)
		}
	}
	return strings.TrimSpace(out.String())
}

// expectEqual records a mismatch if the numbers differ.
func (l *Ledger) expectEqual(at time.Duration, what string, left, right int64) {
	if left != right {
		l.recordMismatch(at, what, left, right)
	}
}

// expectEqualCounts records a mismatch for each count in which left and right differ.
func (l *Ledger) expectEqualCounts(at time.Duration, what string, left, right Counts) {
	if left == right {
		return
	}
	l.expectEqual(at, what+", received", left.Received, right.Received)
	l.expectEqual(at, what+", served", left.Served, right.Served)
	l.expectEqual(at, what+", rejected", left.Rejected, right.Rejected)
	l.expectEqual(at, what+", failed", left.Failed, right.Failed)
	l.expectEqual(at, what+", open", left.Open, right.Open)
}

// Audit recomputes all sums that the ledger holds and records a mismatch for each sum that differs. The cost does not
// grow with the number of requests.
func (l *Ledger) Audit(at time.Duration) {
	l.auditTotals(at)
	l.auditReasons(at)
	l.expectEqual(at, "open and the slots in use", l.total.Open, int64(len(l.requests)-len(l.freeSlots)))
	l.auditPeriods(at)
}

// auditTotals checks that the counts of the total, of each row and of each customer add up, and that the rows, the
// customers and the incarnations each sum up to the total.
func (l *Ledger) auditTotals(at time.Duration) {
	l.expectEqual(at, "received and served + rejected + failed + open", l.total.Received, l.total.Sum())
	var byRow, byCustomer Counts
	for row, counts := range l.rows {
		if !counts.balanced() {
			l.recordMismatch(at, "received and the sum of its parts, of "+l.rowName(row), counts.Received, counts.Sum())
		}
		byRow = byRow.Plus(counts)
	}
	for i := range l.customers.rows {
		counts := l.customers.rows[i].Counts
		l.expectEqual(at, "received and the sum of its parts, of a customer", counts.Received, counts.Sum())
		byCustomer = byCustomer.Plus(counts)
	}
	byIncarnation := l.incarnations.earlier
	for i := range l.incarnations.list {
		byIncarnation = byIncarnation.Plus(l.incarnations.list[i].Counts)
	}
	l.expectEqualCounts(at, "the total and its handlers and front ends", l.total, byRow)
	l.expectEqualCounts(at, "the total and its customers", l.total, byCustomer)
	l.expectEqualCounts(at, "the total and its incarnations", l.total, byIncarnation)
}

// auditReasons compares the counts of each row with the sums of its cells.
func (l *Ledger) auditReasons(at time.Duration) {
	for row, counts := range l.rows {
		if byReason := sumCells(l.cells, row); byReason != counts {
			l.expectEqualCounts(at, "the counts and the reasons of "+l.rowName(row), counts, byReason)
		}
	}
}

// auditPeriods compares each cell with its sum over all periods.
func (l *Ledger) auditPeriods(at time.Duration) {
	p := &l.periods
	if !p.enabled() {
		return
	}
	for cell, n := range l.cells {
		if sum := p.expired[cell] + p.retained[cell] + p.current[cell]; sum != n {
			l.recordMismatch(at, "the total and its periods, of "+l.rowName(cell/reasonCount), n, sum)
		}
	}
}

// CompareOpenRequests compares the open requests of the ledger with those of the node and records a mismatch for each
// difference. forEach must call yield once for each open request of the node, with its ticket and its id.
func (l *Ledger) CompareOpenRequests(at time.Duration, forEach func(yield func(ticket Ticket, id uint64))) {
	l.comparison++
	openInNode := int64(0)
	forEach(func(ticket Ticket, id uint64) {
		openInNode++
		l.compareRequest(at, ticket, id)
	})
	l.expectEqual(at, "requests open in the ledger and in the node", l.total.Open, openInNode)
}

// compareRequest checks that an open request of the node is open in the ledger, and that no other request of the node
// has the same slot.
func (l *Ledger) compareRequest(at time.Duration, ticket Ticket, id uint64) {
	if int(ticket.slot) >= len(l.requests) {
		l.recordMismatch(at, "a request of the node has no slot in the ledger", int64(id), 0)
		return
	}
	request := &l.requests[ticket.slot]
	current := request.generation == ticket.generation && request.id == id
	switch {
	case request.state == slotFree || !current:
		l.recordMismatch(at, "a request of the node is not open in the ledger", int64(id), int64(request.id))
	case request.lastComparison == l.comparison:
		l.recordMismatch(at, "two requests of the node have one slot in the ledger", int64(id), int64(request.id))
	default:
		request.lastComparison = l.comparison
	}
}
