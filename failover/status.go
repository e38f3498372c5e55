package failover

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// RequestStatus is the state of a request on a node, for reports.
type RequestStatus struct {
	Key     string `json:"key"` // in hexadecimal
	Handler string `json:"handler"`
	// Role is the role of the node: "holds" (the node holds or requests the
	// key), "waits" (another node holds the key, or the node queries the group)
	// or "notes" (the node records the request for its holder).
	Role string `json:"part"`
	// State is the name of the state of the request.
	State  string `json:"step"`
	Holder string `json:"holder"` // empty if unknown
	// TakenOver is set if the node has taken the request over from another
	// node.
	TakenOver bool `json:"taken"`
	// Left is the remaining time until the client timeout, in nanoseconds.
	Left time.Duration `json:"left"`
}

// The values of RequestStatus.Role.
const (
	roleHolder   = "holds"
	roleWaiter   = "waits"
	roleRecorder = "notes"
)

// Requests returns the requests that the node holds, waits for or records, at
// most limit, sorted by key.
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
		Role:      roleHolder,
		State:     claim.state.String(),
		Holder:    n.cfg.Name,
		TakenOver: claim.takenOver,
		Left:      claim.deadline - n.now,
	}
	if claim.waitsOrQueries() {
		status.Role = roleWaiter
		status.Holder = claim.holder.Node
	}
	return status
}

func (n *Node) reservationStatus(reservation *reservation) RequestStatus {
	return RequestStatus{
		Key:     fmt.Sprintf("%x", reservation.key),
		Handler: reservation.work.Handler,
		Role:    roleRecorder,
		State:   reservation.stateName(),
		Holder:  reservation.ballot.Node,
		Left:    reservation.deadline - n.now,
	}
}

// stateName returns the name of the state of the request at its holder.
func (r *reservation) stateName() string {
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

// Stats counts the cluster's requests that a node handles.
type Stats struct {
	// Held is the number of keys that this node holds or requests.
	Held int `json:"held"`
	// Waiting is the number of keys that this node neither holds nor requests,
	// and for whose outcome it waits or queries the group.
	Waiting int `json:"waiting"`
	// Reservations is the number of keys that this node records for their
	// holders.
	Reservations int `json:"notes"`
	// Started is the number of reservations whose holder has announced the
	// start.
	Started int `json:"begun"`
	// TakenOver counts the requests taken over from other nodes.
	TakenOver int64 `json:"taken"`
	// OutcomeUnknown counts the requests answered with an unknown outcome.
	OutcomeUnknown int64 `json:"in_doubt"`
	// Joined counts the requests answered with the result of another request's
	// run.
	Joined int64 `json:"joined"`
	// Lost counts the keys that this node held until another node took them
	// over.
	Lost int64 `json:"lost"`
	// FoundAtProcessor counts the outcomes reported by the processors of lost
	// nodes.
	FoundAtProcessor int64 `json:"found"`
}

// Stats returns the current counts.
func (n *Node) Stats() Stats {
	stats := n.stats
	for _, claim := range n.claims {
		if claim.waitsOrQueries() {
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
