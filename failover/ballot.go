package failover

import (
	"cmp"
	"slices"

	"frosthub/idempotency"
)

// Ballot orders the attempts to hold a key. The highest ballot wins; no two
// ballots are equal.
type Ballot struct {
	Number uint64
	// Node and Incarnation identify the process that created the ballot.
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

// nextBallot returns a ballot of this node that is higher than all ballots that
// it has created or received.
func (n *Node) nextBallot() Ballot {
	n.highestBallot++
	return Ballot{Number: n.highestBallot, Node: n.cfg.Name, Incarnation: n.cfg.Incarnation}
}

// groupsOf returns the groups whose majorities are needed for a key: one, or
// two during a membership change.
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

// hasMajority reports whether the nodes that satisfy the condition form a
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

// voidedBy reports whether one of the fences voids the votes of an incarnation
// of a node.
func voidedBy(fences []Fence, node string, incarnation uint64) bool {
	return slices.ContainsFunc(fences, func(fence Fence) bool {
		return fence.Node == node && incarnation < fence.Incarnation
	})
}

// countVote records a member's vote in the claim's current state. Votes of
// incarnations that another voter's fence voids are discarded, in whichever
// order the votes arrive.
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

// majorityVoted reports whether a majority has cast the given vote in the
// claim's current state.
func (n *Node) majorityVoted(claim *claim, vote Vote) bool {
	return n.hasMajority(claim.key, func(name string) bool {
		received, ok := claim.votes[name]
		return ok && received.Vote == vote
	})
}

// majorityPossible reports whether the missing votes could still complete a
// majority for the given vote.
func (n *Node) majorityPossible(claim *claim, vote Vote) bool {
	return n.hasMajority(claim.key, func(name string) bool {
		received, ok := claim.votes[name]
		return !ok || received.Vote == vote
	})
}
