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

// Roster holds the member lists from which a node computes the groups of keys.
//
// During a membership change, a node uses both the previous and the new list
// and needs majorities of both groups (joint consensus). Its majorities
// therefore intersect those of nodes that still use only the previous list,
// those of nodes that already use only the new list, and those of requests that
// ran under the previous list alone.
type Roster struct {
	// Members is the current list.
	Members []Member
	// Previous is the list that Members replaces; empty when no change is in
	// progress.
	Previous []Member
	// Since is the time, since the Unix epoch, from which all other nodes are
	// known to use both lists; 0 if some are not known to.
	Since time.Duration
}

// MembersDigest returns a hash of the properties of a member list that
// determine its groups: names, zones and weights. The order of the members does
// not matter.
func MembersDigest(members []Member) uint64 {
	members = slices.Clone(members)
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	hash := xxhash.New()
	for _, member := range members {
		weight := cmp.Or(member.Weight, 1)
		_, _ = fmt.Fprintf(hash, "%q %q %x\n", member.Name, member.Zone, math.Float64bits(weight)) // a hash never returns an error
	}
	return hash.Sum64()
}

// Digests returns the digests of the roster's lists, that of Members first.
func (r Roster) Digests() []uint64 {
	digests := []uint64{MembersDigest(r.Members)}
	if r.inTransition() {
		digests = append(digests, MembersDigest(r.Previous))
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

// Compatible reports whether two nodes with the given list digests may exchange
// messages about keys. The majorities of two nodes intersect if the nodes share
// a list.
func Compatible(x, y []uint64) bool {
	return slices.ContainsFunc(x, func(digest uint64) bool { return slices.Contains(y, digest) })
}

// The reasons for which Roster.Next rejects other lists.
var (
	// ErrTransitionRequired means that the new list must first be used together
	// with the previous list.
	ErrTransitionRequired = errors.New("the new member list must first be used together with the previous list")
	// ErrTransitionInProgress means that the lists belong to a different change
	// than the one in progress.
	ErrTransitionInProgress = errors.New("another membership change is in progress and must end first")
	// ErrRetryHorizon means that clients may still retry requests that ran
	// under the previous list alone.
	ErrRetryHorizon = errors.New("clients may still retry requests that ran under the previous member list")
	// ErrNotAdopted means that some nodes are not known to use the new list.
	ErrNotAdopted = errors.New("some nodes are not known to use the new member list")
)

// NotAdopted returns the members other than self that are not known to use the
// new list. reported returns the digests of the lists that a node has last
// reported, nil if it has not reported any. Removed members are omitted: the
// operator guarantees that they never return under the previous list.
func (r Roster) NotAdopted(self string, reported func(name string) []uint64) (names []string) {
	wanted := MembersDigest(r.Members)
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
// returns the roster that the node uses from then on. retryHorizon is how long
// after a request was read it may still run or be retried: a change ends only
// when every node has used both lists for that long.
//
// The allowed steps, where "N with M" is the list N with the previous list M:
//
//	from        to
//	M           M: other addresses
//	M           N with M: a change begins
//	N with M    N with M: other addresses
//	N with M    N: the change ends
//	N with M    O with N: the change ends and the next begins
//
// Any other step returns r and one of the errors ErrTransitionRequired,
// ErrTransitionInProgress, ErrRetryHorizon and ErrNotAdopted.
func (r Roster) Next(now, retryHorizon time.Duration, to Roster) (Roster, error) {
	members, previous := MembersDigest(r.Members), MembersDigest(r.Previous)
	toMembers, toPrevious := MembersDigest(to.Members), MembersDigest(to.Previous)
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
		if err := r.checkTransitionEnd(now, retryHorizon); err != nil {
			return r, err
		}
		return to, nil
	}
	return r, ErrTransitionInProgress
}

// checkTransitionEnd returns nil if every node has used both lists for the
// retry horizon.
func (r Roster) checkTransitionEnd(now, retryHorizon time.Duration) error {
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
