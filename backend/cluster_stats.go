package backend

import (
	"slices"

	"frosthub/failover"
	"frosthub/recovery"
)

// maxStatsRequests is the maximum number of requests in ClusterStats, which are meant for human readers.
const maxStatsRequests = 500

// ClusterStats holds the state of the cluster as a node sees it.
type ClusterStats struct {
	Name            string                   `json:"name"`
	Incarnation     uint64                   `json:"life"`
	Previous        int                      `json:"former"` // nodes of the previous list during a membership change, else 0
	Since           string                   `json:"since"`  // time since which all nodes are known to have adopted both lists
	RosterReason    string                   `json:"why"`    // why the configured roster is not adopted
	Phase           string                   `json:"phase"`  // phase of the recovery
	PhaseReason     string                   `json:"phase_why"`
	Unanswered      []string                 `json:"missing"`  // during recovery: nodes that have not answered
	Refill          []recovery.Progress      `json:"told"`     // progress of each other node's history transfer, if any is needed
	UnknownOutcomes int                      `json:"doubts"`   // number of keys whose outcome is queried from other nodes
	OutcomeUnknown  map[string]int           `json:"in_doubt"` // keys with an unknown outcome, by handler; "" if unknown
	LocalHealth     int                      `json:"unwell"`   // estimate of this node's own slowness, 0 to 8
	Members         []MemberStats            `json:"members"`
	Failover        failover.Stats           `json:"work"`
	Requests        []failover.RequestStatus `json:"reqs"` // some of the requests in flight, awaited, or noted for other nodes
}

// MemberStats holds the state of a member as this node sees it.
type MemberStats struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
	State       string `json:"state"`
	Roster      string `json:"goes"` // relation of its adopted roster to this node's; see rosterRelation
}

// ClusterStats returns the state of the cluster, or nil if the node belongs to no cluster or its store is still
// loading. It may be called from any goroutine while Serve runs and after it has returned.
func (b *Backend) ClusterStats() *ClusterStats {
	var out *ClusterStats
	b.runOnOwner(func() {
		if b.cluster.recovery != nil {
			out = b.cluster.stats()
		}
	})
	return out
}

// stats returns the state of the cluster. Until the failover node has started, it is the state of the recovery only.
func (c *cluster) stats() *ClusterStats {
	out := &ClusterStats{
		Name:         c.backend.cfg.Cluster.Name,
		Incarnation:  c.incarnation,
		Previous:     len(c.roster.Previous),
		Since:        c.adoptedByAllSince(),
		RosterReason: c.change.reason,
		Phase:        c.recovery.Phase().String(),
		PhaseReason:  c.recovery.Reason(),
		Unanswered:   c.recovery.Unanswered(),
	}
	if c.node == nil {
		return out
	}
	out.OutcomeUnknown = c.store.UnknownOutcomesByHandler()
	out.UnknownOutcomes = c.refill.unknownOutcomes.Remaining()
	if c.refill.history != nil {
		out.Refill = c.refill.history.Progress()
	}
	out.LocalHealth = c.detector.LocalHealth()
	out.Failover = c.node.Stats()
	out.Requests = c.node.Requests(maxStatsRequests)
	for _, member := range c.detector.Snapshot() {
		out.Members = append(out.Members, MemberStats{
			Name:        member.Name,
			Incarnation: member.Incarnation,
			State:       member.State.String(),
			Roster:      c.rosterRelation(member.Name),
		})
	}
	return out
}

// rosterRelation returns how the roster that a node has adopted relates to this node's: "as here" if they are equal,
// "beside" if the two may be in use at the same time, "apart" if not, and "unknown" if the node has not reported one.
func (c *cluster) rosterRelation(name string) string {
	digests := c.peerDigests[name]
	switch {
	case name == c.backend.cfg.Name, slices.Equal(digests, c.ownDigests):
		return "as here"
	case failover.Compatible(digests, c.ownDigests):
		return "beside"
	case digests != nil:
		return "apart"
	}
	return "unknown"
}
