package failover

import (
	"slices"
	"time"
)

// simRetryHorizon is past the time for which a request is asked for again and
// its callers wait.
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
func (x *simNode) transitionEnded() bool {
	return len(x.roster.Previous) == 0 && x.roster.Members[0].Name != "a"
}

// adoptRoster has a node adopt other member lists as soon as it may.
func (x *simNode) adoptRoster() {
	c := x.cluster
	if c.Now < simStart+100*time.Millisecond || x.transitionEnded() {
		return
	}
	inTransition := len(x.roster.Previous) > 0
	reported := func(name string) []uint64 { return x.reportedDigests[name] }
	if inTransition && x.roster.Since == 0 && len(x.roster.NotAdopted(x.name, reported)) == 0 {
		x.roster.Since = c.Now
	}
	to := Roster{Members: c.oldMembers()}
	if c.Now > simStart+200*time.Millisecond+time.Duration(x.index)*20*time.Millisecond {
		to = Roster{Members: c.newMembers(), Previous: c.oldMembers()}
	}
	if x.roster.Since > 0 || disabledRule == ruleRetryHorizon && inTransition {
		to.Previous = nil
	}
	next, err := x.roster.Next(c.Now, simRetryHorizon, to)
	if err != nil || slices.Equal(next.Digests(), x.digests) {
		return
	}
	x.roster = next
	x.digests = next.Digests()
	x.machine.Reconfigure(c.Now, next.Members, next.Previous)
	c.log("%s/%d adopts %d and %d members", x.name, x.incarnation, len(next.Members), len(next.Previous))
	if len(next.Previous) == 0 {
		c.finishedTransition++
	}
}
