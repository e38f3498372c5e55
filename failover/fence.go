package failover

import (
	"cmp"
	"slices"

	"frosthub/idempotency"
)

// Fence voids the votes that a node cast in incarnations before the given one.
//
// A node that has lost records may have confirmed starts that no other member
// received, so its peers cannot transfer those. A holder could still add such a
// confirmation to that of a peer and count a majority. A peer that transfers
// records therefore fences the node first, and makes the fence durable before
// it sends the last page. The peer's own votes carry the fence, and a node that
// counts them discards the earlier votes of the fenced node.
type Fence struct {
	Node        string
	Incarnation uint64
}

// fenceState is a fence that this node has raised, and whether it is on disk.
type fenceState struct {
	incarnation uint64
	durable     bool
}

// raiseFence fences a node's incarnations before the given one.
func (n *Node) raiseFence(node string, incarnation uint64) {
	if n.fences[node].incarnation < incarnation {
		n.fences[node] = fenceState{incarnation: incarnation}
	}
}

// hasDurableFence reports whether a durable fence voids all incarnations of a
// node before the given one.
func (n *Node) hasDurableFence(node string, incarnation uint64) bool {
	fence := n.fences[node]
	return fence.durable && fence.incarnation >= incarnation
}

// Fences returns the fences that this node has raised, sorted by node name, for
// the caller to make durable.
func (n *Node) Fences() []Fence {
	var fences []Fence
	for name, fence := range n.fences {
		fences = append(fences, Fence{Node: name, Incarnation: fence.incarnation})
	}
	slices.SortFunc(fences, func(x, y Fence) int { return cmp.Compare(x.Node, y.Node) })
	return fences
}

// MarkFencesDurable records that the fences are durable.
func (n *Node) MarkFencesDurable(fences []Fence) {
	for _, fence := range fences {
		if n.fences[fence.Node].incarnation <= fence.Incarnation {
			n.fences[fence.Node] = fenceState{incarnation: fence.Incarnation, durable: true}
		}
	}
}

// fencesOf returns the fences of the other members of a key's group, for a vote
// on the key.
func (n *Node) fencesOf(key idempotency.Key) (fences []Fence) {
	if len(n.fences) == 0 || disabledRule == ruleFencing {
		return nil
	}
	for _, name := range n.membersOf(key) {
		fence := n.fences[name]
		if fence.incarnation > 0 && name != n.cfg.Name {
			fences = append(fences, Fence{Node: name, Incarnation: fence.incarnation})
		}
	}
	return fences
}
