package failover

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Roster holds the member lists by which a node asks the groups of keys.
//
// While the members change, a node uses both the previous and the new list and
// needs majorities of both groups (joint consensus). So it meets the nodes that
// still use the previous list alone, those that already use the new one alone,
// and whatever ran under the previous list alone.
type Roster struct {
	// Members is the list in force.
	Members []Member
	// Previous is the list before it; empty while nothing changes.
	Previous []Member
	// Since is the time since 1970 from which all other nodes are known to use
	// both lists; 0 if some aren't.
	Since time.Duration
}

// Digest returns a hash of what the groups of a member list depend on: names,
// zones and weights, in any order.
func Digest(members []Member) uint64 {
	members = slices.Clone(members)
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	hash := xxhash.New()
	for _, member := range members {
		weight := cmp.Or(member.Weight, 1)
		_, _ = fmt.Fprintf(hash, "%q %q %x\n", member.Name, member.Zone, math.Float64bits(weight)) // never an error
	}
	return hash.Sum64()
}

// Digests returns the digests of the roster's lists, that of Members first.
func (r Roster) Digests() []uint64 {
	digests := []uint64{Digest(r.Members)}
	if r.inTransition() {
		digests = append(digests, Digest(r.Previous))
	}
	return digests
}

// configurationDigest returns one hash of both lists.
func (r Roster) configurationDigest() (sum uint64) {
	for _, digest := range r.Digests() {
		sum = sum*31 + digest
	}
	return sum
}

func (r Roster) inTransition() bool { return len(r.Previous) > 0 }

// Compatible reports whether two nodes with these digests may exchange messages
// about keys: a list that both use has their majorities meet.
func Compatible(x, y []uint64) bool {
	return slices.ContainsFunc(x, func(digest uint64) bool { return slices.Contains(y, digest) })
}

// Reasons of Roster.Next for not adopting other lists.
var (
	// ErrTransitionRequired means that the previous list must stand beside the
	// new one first.
	ErrTransitionRequired = errors.New("the members change, and the list before must stand beside the new one first")
	// ErrTransitionInProgress means that the lists belong to another change
	// than the one under way.
	ErrTransitionInProgress = errors.New("a change of members is under way: it can only be ended")
	// ErrRetryHorizon means that what ran under the previous list alone may
	// still be asked for again.
	ErrRetryHorizon = errors.New("what ran before may still be asked for again")
	// ErrNotAdopted means that some nodes aren't known to use the new list.
	ErrNotAdopted = errors.New("not known to go by the new list")
)

// NotAdopted returns the members other than self that aren't known to use the
// new list. reported returns the digests of the lists that a node has last said
// to use, nil if it hasn't said so. Removed members are left out: they never
// come back under the previous list, by the operator's word.
func (r Roster) NotAdopted(self string, reported func(name string) []uint64) (names []string) {
	wanted := Digest(r.Members)
	for _, member := range slices.Concat(r.Members, r.Previous) {
		if member.Name == self || member.Removed || slices.Contains(names, member.Name) {
			continue
		}
		if !slices.Contains(reported(member.Name), wanted) {
			names = append(names, member.Name)
		}
	}
	return names
}

// Next decides whether a node that uses the roster may adopt another one, and
// returns that as it then stands. retryHorizon is how long after a request was
// read it may still run or be asked for again: a change ends only when every
// node has used both lists for that long.
//
// The allowed steps:
//
//	from            to
//	M               M beside nothing (other addresses)
//	M               N beside M: a change begins
//	N beside M      N beside M (other addresses)
//	N beside M      N: the change ends
//	N beside M      O beside N: the change ends and the next begins
//
// Any other step returns r and one of the errors ErrTransitionRequired,
// ErrTransitionInProgress, ErrRetryHorizon and ErrNotAdopted.
func (r Roster) Next(now, retryHorizon time.Duration, to Roster) (Roster, error) {
	members, previous := Digest(r.Members), Digest(r.Previous)
	toMembers, toPrevious := Digest(to.Members), Digest(to.Previous)
	to.Since = 0
	switch {
	case members == toMembers && previous == toPrevious && r.inTransition() == to.inTransition():
		to.Since = r.Since // only addresses may differ
		return to, nil
	case !r.inTransition() && to.inTransition() && members == toPrevious:
		return to, nil
	case !r.inTransition():
		return r, ErrTransitionRequired
	case !to.inTransition() && members == toMembers, to.inTransition() && members == toPrevious:
		if err := r.mayEndTransition(now, retryHorizon); err != nil {
			return r, err
		}
		return to, nil
	}
	return r, ErrTransitionInProgress
}

// mayEndTransition returns nil if every node has used both lists for the retry
// horizon.
func (r Roster) mayEndTransition(now, retryHorizon time.Duration) error {
	if disabledRule == ruleRetryHorizon {
		return nil
	}
	if r.Since == 0 {
		return ErrNotAdopted
	}
	if left := r.Since + retryHorizon - now; left > 0 {
		return fmt.Errorf("%w, for %s", ErrRetryHorizon, left.Round(time.Second))
	}
	return nil
}
