package failover

import (
	"cmp"
	"slices"

	"frosthub/idempotency"
)

// Fence voids the votes that a node cast in incarnations before the given one.
//
// A node that has lost records may have confirmed starts that no other member
// heard of; its peers can't transfer those. A holder might still add such a
// confirmation to that of a peer and believe that it has a majority. So a peer
// that transfers records fences the node first, and makes the fence durable
// before the last page: its own votes carry the fence, and who counts them
// leaves out earlier votes of the fenced node.
type Fence struct {
	Node        string
	Incarnation uint64
}

// fenceState is a fence of this node and whether it is on the disk.
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

// fencedDurably reports whether a durable fence voids all incarnations of a node
// before the given one.
func (n *Node) fencedDurably(node string, incarnation uint64) bool {
	fence := n.fences[node]
	return fence.durable && fence.incarnation >= incarnation
}

// Fences returns the fences of this node, by name, to be made durable.
func (n *Node) Fences() []Fence {
	var fences []Fence
	for name, fence := range n.fences {
		fences = append(fences, Fence{Node: name, Incarnation: fence.incarnation})
	}
	slices.SortFunc(fences, func(x, y Fence) int { return cmp.Compare(x.Node, y.Node) })
	return fences
}

// AddFences reports that fences are durable.
func (n *Node) AddFences(fences []Fence) {
	for _, fence := range fences {
		if n.fences[fence.Node].incarnation <= fence.Incarnation {
			n.fences[fence.Node] = fenceState{incarnation: fence.Incarnation, durable: true}
		}
	}
}

// fencesOf returns the fences of other members of a key's group, for a vote on
// the key.
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
