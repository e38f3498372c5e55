package failover

import (
	"cmp"
	"math"
	"slices"

	"frosthub/idempotency"

	"github.com/cespare/xxhash/v2"
)

// Member is a node of a cluster, as configured in the operator's member list.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
	// Weight is the node's share of the keys relative to other nodes; 0 means
	// 1.
	Weight float64 `json:"weight,omitempty"`
	// Removed marks a member of the previous list that never returns.
	Removed bool `json:"gone,omitempty"`
}

// Group returns the names of the nodes that record the state of a key, in order
// of preference, by weighted rendezvous hashing: a member that joins or leaves
// moves only the keys that it serves. Members of different zones are preferred,
// so that a group spans as many zones as possible.
func Group(members []Member, key idempotency.Key, size int) []string {
	ranked := rankMembers(members, key)
	var group []string
	usedZones := map[string]bool{}
	for _, allowUsedZones := range []bool{false, true} { // the best member of each zone first, then the others
		for _, member := range ranked {
			if len(group) >= size {
				return group
			}
			zoneFree := member.Zone == "" || !usedZones[member.Zone]
			if slices.Contains(group, member.Name) || !zoneFree && !allowUsedZones {
				continue
			}
			usedZones[member.Zone] = true
			group = append(group, member.Name)
		}
	}
	return group
}

// rankMembers sorts members by their score for a key, highest first.
func rankMembers(members []Member, key idempotency.Key) []Member {
	type scoredMember struct {
		Member
		score float64
	}
	scored := make([]scoredMember, 0, len(members))
	for _, member := range members {
		scored = append(scored, scoredMember{member, rendezvousScore(member, key)})
	}
	slices.SortFunc(scored, func(x, y scoredMember) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.Name, y.Name))
	})
	ranked := make([]Member, len(scored))
	for i, member := range scored {
		ranked[i] = member.Member
	}
	return ranked
}

// rendezvousScore returns a member's score for a key. With u uniform in (0, 1),
// the score -weight/ln(u) is the highest with a probability proportional to the
// member's weight.
func rendezvousScore(member Member, key idempotency.Key) float64 {
	hash := xxhash.New()
	_, _ = hash.Write(key[:]) // a hash never returns an error
	_, _ = hash.WriteString(member.Name)
	uniform := (float64(hash.Sum64()>>11) + 0.5) / (1 << 53)
	return -cmp.Or(member.Weight, 1) / math.Log(uniform)
}
