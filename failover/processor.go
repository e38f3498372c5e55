package failover

import (
	"time"

	"frosthub/idempotency"
)

// ProcessorQuery asks for a query to the processor of a lost node, which may know
// the outcomes of requests that ran there.
type ProcessorQuery struct {
	Node string
	// Notice is the last notice of the processor that the node had surely read
	// when it started the first of the requests.
	Notice uint64
}

// ProcessorQueries returns the queries that have become due since the last call.
// A query takes the processor's connection from its node: if that is alive after
// all it connects again, and nothing is lost.
func (n *Node) ProcessorQueries() []ProcessorQuery {
	queries := n.processorQueries
	n.processorQueries = nil
	return queries
}

// scheduleProcessorQuery has the processor of a lost holder queried for the
// outcome of a started request, while a caller may wait for it.
func (n *Node) scheduleProcessorQuery(reservation *reservation) {
	if !n.processorMayTell(reservation) {
		reservation.suspectedAt = 0
		return
	}
	if reservation.suspectedAt == 0 {
		reservation.suspectedAt = n.now
	}
	if n.now-reservation.suspectedAt < processorQueryDelay || n.now-reservation.queriedAt < processorQueryInterval {
		return
	}
	reservation.queriedAt = n.now
	n.addProcessorQuery(ProcessorQuery{Node: reservation.ballot.Node, Notice: reservation.lastNotice})
}

// processorMayTell reports whether the holder is lost, hasn't come back, and
// left a run that its processor may know.
func (n *Node) processorMayTell(reservation *reservation) bool {
	holder := reservation.ballot
	return !n.peers.Alive(holder.Node) &&
		n.peers.Incarnation(holder.Node) <= holder.Incarnation &&
		reservation.runID != 0 &&
		n.now <= reservation.deadline
}

// addProcessorQuery queues a query, or widens the one that is queued.
func (n *Node) addProcessorQuery(query ProcessorQuery) {
	for i, queued := range n.processorQueries {
		if queued.Node == query.Node {
			n.processorQueries[i].Notice = min(queued.Notice, query.Notice)
			return
		}
	}
	n.processorQueries = append(n.processorQueries, query)
}

// FinishFromProcessor reports how a run ended at the processor of a lost node; id
// is the request's ID there.
func (n *Node) FinishFromProcessor(now time.Duration, node string, id uint64, kind idempotency.EntryKind, result []byte) {
	n.advance(now)
	reservation := n.reservations.byRun[processorRun{node: node, id: id}]
	if reservation == nil {
		return
	}
	n.stats.FoundAtProcessor++
	claim := n.claims[reservation.key]
	if claim == nil {
		claim = n.newClaim(reservation.key, reservation.made)
	}
	if claim.state != claimFinishing {
		n.relayOutcome(claim, reservation.ballot, kind, result)
	}
}
