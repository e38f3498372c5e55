package failover

import (
	"cmp"
	"slices"

	"frosthub/idempotency"
)

// Ballot orders the attempts to hold a key. The highest wins; no two are equal.
type Ballot struct {
	Number uint64
	// Node and Incarnation name the process that asks under the ballot.
	Node        string
	Incarnation uint64
}

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Number, other.Number),
		cmp.Compare(b.Node, other.Node),
		cmp.Compare(b.Incarnation, other.Incarnation),
	)
}

// nextBallot returns a ballot of this node above all that it has seen.
func (n *Node) nextBallot() Ballot {
	n.highestBallot++
	return Ballot{Number: n.highestBallot, Node: n.cfg.Name, Incarnation: n.cfg.Incarnation}
}

// groupsOf returns the groups of which majorities are needed for a key: one, or
// two while the members change.
func (n *Node) groupsOf(key idempotency.Key) [][]string {
	if groups := n.groupCache[key]; groups != nil {
		return groups
	}
	groups := [][]string{Group(n.cfg.Members, key, n.cfg.GroupSize)}
	if len(n.cfg.Previous) > 0 && disabledRule != rulePreviousGroup {
		groups = append(groups, Group(n.cfg.Previous, key, n.cfg.GroupSize))
	}
	if len(n.groupCache) >= maxCachedGroups {
		clear(n.groupCache)
	}
	n.groupCache[key] = groups
	return groups
}

// membersOf returns the nodes of all groups of a key, each once.
func (n *Node) membersOf(key idempotency.Key) []string {
	var members []string
	for _, group := range n.groupsOf(key) {
		for _, name := range group {
			if !slices.Contains(members, name) {
				members = append(members, name)
			}
		}
	}
	return members
}

// hasMajority reports whether the nodes that satisfy the condition are a
// majority of each group of a key.
func (n *Node) hasMajority(key idempotency.Key, satisfies func(name string) bool) bool {
	for _, group := range n.groupsOf(key) {
		count := 0
		for _, name := range group {
			if satisfies(name) {
				count++
			}
		}
		if 2*count <= len(group) {
			return false
		}
	}
	return true
}

// receivedVote is a reply with a member's vote, and the incarnation that cast
// it.
type receivedVote struct {
	Message
	incarnation uint64
}

// voidedBy reports whether one of the fences voids votes of an incarnation.
func voidedBy(fences []Fence, node string, incarnation uint64) bool {
	return slices.ContainsFunc(fences, func(fence Fence) bool {
		return fence.Node == node && incarnation < fence.Incarnation
	})
}

// countVote records a member's vote on the claim's present step. Votes of
// incarnations that another voter's fence voids are left out, whichever came
// first.
func (c *claim) countVote(from string, incarnation uint64, message *Message) {
	for _, vote := range c.votes {
		if voidedBy(vote.Fences, from, incarnation) {
			return
		}
	}
	c.votes[from] = receivedVote{*message, incarnation}
	if len(message.Fences) == 0 {
		return
	}
	for name, vote := range c.votes {
		if voidedBy(message.Fences, name, vote.incarnation) {
			delete(c.votes, name)
		}
	}
}

// majorityVoted reports whether a majority has cast that vote on the claim's
// present step.
func (n *Node) majorityVoted(claim *claim, vote Vote) bool {
	return n.hasMajority(claim.key, func(name string) bool {
		received, ok := claim.votes[name]
		return ok && received.Vote == vote
	})
}

// majorityPossible reports whether the votes still missing could make a
// majority of that vote.
func (n *Node) majorityPossible(claim *claim, vote Vote) bool {
	return n.hasMajority(claim.key, func(name string) bool {
		received, ok := claim.votes[name]
		return !ok || received.Vote == vote
	})
}
