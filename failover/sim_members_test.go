package failover

import (
	"slices"
	"time"
)

// simRetryHorizon is longer than the time for which clients retry a request and
// wait for its answer.
const simRetryHorizon = 400 * time.Millisecond

// oldMembers returns the member list at the start.
func (c *simCluster) oldMembers() []Member {
	if !c.membersChange {
		return c.membersBetween(0, len(c.nodes))
	}
	return c.membersBetween(0, len(c.nodes)-2)
}

// newMembers returns the member list after the change.
func (c *simCluster) newMembers() []Member {
	return c.membersBetween(2, len(c.nodes))
}

func (c *simCluster) membersBetween(from, to int) (members []Member) {
	for _, node := range c.nodes[from:to] {
		members = append(members, Member{Name: node.name, Zone: string('x' + rune(node.index%2))})
	}
	return members
}

// transitionEnded reports whether the node uses the new list alone.
func (n *simNode) transitionEnded() bool {
	return len(n.roster.Previous) == 0 && n.roster.Members[0].Name != "a"
}

// adoptNextRoster adopts the next member lists as soon as the protocol allows.
func (n *simNode) adoptNextRoster() {
	c := n.cluster
	if c.Now < simStart+100*time.Millisecond || n.transitionEnded() {
		return
	}
	inTransition := len(n.roster.Previous) > 0
	reported := func(name string) []uint64 { return n.reportedDigests[name] }
	if inTransition && n.roster.Since == 0 && len(n.roster.NotAdopted(n.name, reported)) == 0 {
		n.roster.Since = c.Now
	}
	to := Roster{Members: c.oldMembers()}
	if c.Now > simStart+200*time.Millisecond+time.Duration(n.index)*20*time.Millisecond {
		to = Roster{Members: c.newMembers(), Previous: c.oldMembers()}
	}
	if n.roster.Since > 0 || disabledRule == ruleRetryHorizon && inTransition {
		to.Previous = nil
	}
	next, err := n.roster.Next(c.Now, simRetryHorizon, to)
	if err != nil || slices.Equal(next.Digests(), n.digests) {
		return
	}
	n.roster = next
	n.digests = next.Digests()
	n.stateMachine.Reconfigure(c.Now, next.Members, next.Previous)
	c.log("%s/%d adopts %d and %d members", n.name, n.incarnation, len(next.Members), len(next.Previous))
	if len(next.Previous) == 0 {
		c.finishedTransition++
	}
}
