package backend

import (
	"slices"

	"frosthub/failover"
	"frosthub/recovery"
)

// maxShownRequests is how many requests ClusterStats shows: what a person reads.
const maxShownRequests = 500

// ClusterStats tells how a node sees its cluster, and what it has to do with the other nodes.
type ClusterStats struct {
	Name            string                   `json:"name"`
	Incarnation     uint64                   `json:"life"`
	Previous        int                      `json:"former"` // nodes of the previous list while the members change, else 0
	Since           string                   `json:"since"`  // since when all are known to have adopted both lists
	RosterReason    string                   `json:"why"`    // why the roster of the configuration is not adopted
	Phase           string                   `json:"phase"`  // of the recovery
	PhaseReason     string                   `json:"phase_why"`
	Unanswered      []string                 `json:"missing"`  // during recovery: the nodes that have not answered
	Refill          []recovery.Progress      `json:"told"`     // if the disk lacked something: how far each other node has sent it
	UnknownOutcomes int                      `json:"doubts"`   // keys whose outcome the other nodes are asked for
	OutcomeUnknown  map[string]int           `json:"in_doubt"` // keys whose outcome is unknown, by handler; "" where that is unknown too
	LocalHealth     int                      `json:"unwell"`   // how slow this node takes itself to be, 0 to 8
	Members         []MemberStats            `json:"members"`
	Failover        failover.Stats           `json:"work"`
	Requests        []failover.RequestStatus `json:"reqs"` // some of those in flight, waited for or noted for others
}

// MemberStats tells what is believed of a node.
type MemberStats struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
	State       string `json:"state"`
	Roster      string `json:"goes"` // how the roster it has adopted stands to this node's; see rosterRelation
}

// ClusterStats returns the figures of the cluster, nil without one or before the store is loaded. It may be called from
// any goroutine while Serve runs and after it.
func (b *Backend) ClusterStats() *ClusterStats {
	var out *ClusterStats
	b.runOnOwner(func() {
		if b.cluster.recovery != nil {
			out = b.cluster.stats()
		}
	})
	return out
}

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
	out.Requests = c.node.Requests(maxShownRequests)
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

// rosterRelation tells how the roster that a node has adopted stands to this node's: "as here", "beside" if the two may
// be used at the same time, "apart" if not, or "unknown".
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
