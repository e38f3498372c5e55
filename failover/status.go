package failover

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// RequestStatus describes what a node has to do with a request, for reports.
type RequestStatus struct {
	Key     string `json:"key"` // in hexadecimal
	Handler string `json:"handler"`
	// Role is the node's: "holds", "waits" (another holds it) or "notes" (it
	// records it for the holder).
	Role string `json:"part"`
	// State is how far the request has come.
	State  string `json:"step"`
	Holder string `json:"holder"` // empty if not known
	// TakenOver is set if the node has taken it over from another.
	TakenOver bool `json:"taken"`
	// Left is for how long the caller still waits, in nanoseconds.
	Left time.Duration `json:"left"`
}

// The values of Request.Part.
const (
	partHolder  = "holds"
	partWaiter  = "waits"
	partRecords = "notes"
)

// Requests returns the requests that the node holds, waits for or records, at
// most limit, in the order of their keys.
func (n *Node) Requests(limit int) []RequestStatus {
	var requests []RequestStatus
	for _, claim := range n.claims {
		requests = append(requests, n.claimStatus(claim))
	}
	for _, reservation := range n.reservations.byKey {
		requests = append(requests, n.reservationStatus(reservation))
	}
	slices.SortFunc(requests, func(x, y RequestStatus) int {
		return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(x.Role, y.Role))
	})
	return requests[:min(limit, len(requests))]
}

func (n *Node) claimStatus(claim *claim) RequestStatus {
	status := RequestStatus{
		Key:       fmt.Sprintf("%x", claim.key),
		Handler:   claim.work.Handler,
		Role:      partHolder,
		State:     claim.state.String(),
		Holder:    n.cfg.Name,
		TakenOver: claim.takenOver,
		Left:      claim.deadline - n.now,
	}
	if claim.otherHolds() {
		status.Role = partWaiter
		status.Holder = claim.holder.Node
	}
	return status
}

func (n *Node) reservationStatus(reservation *reservation) RequestStatus {
	return RequestStatus{
		Key:     fmt.Sprintf("%x", reservation.key),
		Handler: reservation.work.Handler,
		Role:    partRecords,
		State:   reservation.step(),
		Holder:  reservation.ballot.Node,
		Left:    reservation.deadline - n.now,
	}
}

// step returns the word for how far a request has come at its holder.
func (r *reservation) step() string {
	switch {
	case r.finished:
		return "answered"
	case r.startDurable:
		return claimRunning.String()
	case r.started:
		return claimStarting.String()
	default:
		return claimHeld.String()
	}
}

// Stats counts what a node has to do with requests of the cluster.
type Stats struct {
	// Held is the number of keys that this node holds or asks for.
	Held int `json:"held"`
	// Waiting is the number of keys that another node holds for requests here.
	Waiting int `json:"waiting"`
	// Reservations is the number of keys that this node records for holders.
	Reservations int `json:"notes"`
	// Started is the number of those that have started or are about to.
	Started int `json:"begun"`
	// TakenOver counts the requests taken over from other nodes.
	TakenOver int64 `json:"taken"`
	// OutcomeUnknown counts the requests answered so.
	OutcomeUnknown int64 `json:"in_doubt"`
	// Joined counts the requests answered from another request's run.
	Joined int64 `json:"joined"`
	// Lost counts the keys held here until another node took them over.
	Lost int64 `json:"lost"`
	// FoundAtProcessor counts the outcomes reported by processors of lost nodes.
	FoundAtProcessor int64 `json:"found"`
}

// Stats returns the present counts.
func (n *Node) Stats() Stats {
	stats := n.stats
	for _, claim := range n.claims {
		if claim.otherHolds() {
			stats.Waiting++
		} else {
			stats.Held++
		}
	}
	stats.Reservations = len(n.reservations.byKey)
	for _, reservation := range n.reservations.byKey {
		if reservation.started {
			stats.Started++
		}
	}
	return stats
}
