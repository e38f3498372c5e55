package failover

import (
	"time"

	"frosthub/idempotency"
)

// ProcessorQuery is a request to query the processor of a lost node, which may
// have the outcomes of requests that ran there.
type ProcessorQuery struct {
	Node string
	// Notice is the number of the last notice that the node had certainly read
	// from its processor when it started the first of the requests whose
	// outcomes are queried. See Message.Notice.
	Notice uint64
}

// ProcessorQueries returns the queries that have become due since the last
// call. A query takes over the connection of the processor from its node. If
// the node is alive after all, it reconnects and nothing is lost.
func (n *Node) ProcessorQueries() []ProcessorQuery {
	queries := n.processorQueries
	n.processorQueries = nil
	return queries
}

// scheduleProcessorQuery queues a query for the outcome of a started request to
// the processor of its lost holder, as long as a client may wait for the
// outcome.
func (n *Node) scheduleProcessorQuery(reservation *reservation) {
	if !n.processorMayHaveOutcome(reservation) {
		reservation.suspectedSince = 0
		return
	}
	if reservation.suspectedSince == 0 {
		reservation.suspectedSince = n.now
	}
	if n.now-reservation.suspectedSince < processorQueryDelay || n.now-reservation.queriedAt < processorQueryInterval {
		return
	}
	reservation.queriedAt = n.now
	n.addProcessorQuery(ProcessorQuery{Node: reservation.ballot.Node, Notice: reservation.lastNotice})
}

// processorMayHaveOutcome reports whether the holder is lost, has not
// restarted, and left a run whose outcome its processor may have.
func (n *Node) processorMayHaveOutcome(reservation *reservation) bool {
	holder := reservation.ballot
	return !n.detector.Alive(holder.Node) &&
		n.detector.Incarnation(holder.Node) <= holder.Incarnation &&
		reservation.runID != 0 &&
		n.now <= reservation.deadline
}

// addProcessorQuery queues a query, or extends the queued query for the same
// node.
func (n *Node) addProcessorQuery(query ProcessorQuery) {
	for i, queued := range n.processorQueries {
		if queued.Node == query.Node {
			n.processorQueries[i].Notice = min(queued.Notice, query.Notice)
			return
		}
	}
	n.processorQueries = append(n.processorQueries, query)
}

// FinishFromProcessor reports the outcome of a run at the processor of a lost
// node; id is the ID of the request at that processor.
func (n *Node) FinishFromProcessor(now time.Duration, node string, id uint64, kind idempotency.EntryKind, result []byte) {
	n.advance(now)
	reservation := n.reservations.byRun[processorRun{node: node, id: id}]
	if reservation == nil {
		return
	}
	n.stats.FoundAtProcessor++
	claim := n.claims[reservation.key]
	if claim == nil {
		claim = n.newClaim(reservation.key, reservation.madeAt)
	}
	if claim.state != claimFinishing {
		n.relayOutcome(claim, reservation.ballot, kind, result)
	}
}
