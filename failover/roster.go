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

// Roster is by which lists of members a box asks the groups of keys. While the members change it goes by both, the list before and the
// new one, and needs majorities of both groups: so it meets whoever still goes by the one before, whoever already goes by the new one
// alone, and what ran when only the one before stood.
type Roster struct {
	Members  []Member
	Previous []Member      // none while nothing changes
	Since    time.Duration // since 1970: all others are known to go by both since then; 0 not all are
}

// Digest tells lists apart by what the groups hang on.
func Digest(list []Member) uint64 {
	list = slices.Clone(list)
	slices.SortFunc(list, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	h := xxhash.New()
	for _, m := range list { // never an error
		_, _ = fmt.Fprintf(h, "%q %q %x\n", m.Name, m.Zone, math.Float64bits(cmp.Or(m.Weight, 1)))
	}
	return h.Sum64()
}

// Digests are those of the lists that a box goes by.
func (r Roster) Digests() []uint64 {
	out := []uint64{Digest(r.Members)}
	if len(r.Previous) > 0 {
		out = append(out, Digest(r.Previous))
	}
	return out
}

// Compatible tells whether two boxes that go by these lists may hear each other on keys: a list that both go by has their majorities meet.
func Compatible(x, y []uint64) bool {
	return slices.ContainsFunc(x, func(d uint64) bool { return slices.Contains(y, d) })
}

// Why a box can't go by other lists yet, or at all.
var (
	ErrTransitionRequired   = errors.New("the members change, and the list before must stand beside the new one first")
	ErrTransitionInProgress = errors.New("a change of members is under way: it can only be ended")
	ErrRetryHorizon         = errors.New("what ran before may still be asked for again")
	ErrNotAdopted           = errors.New("not known to go by the new list")
)

// NotAdopted names the boxes that are not known to go by the new list. told gives the lists that a box has last said it goes by, nil where it
// has not said so. One that is Gone never comes back under the list before: that is the operator's word.
func (r Roster) NotAdopted(self string, told func(name string) []uint64) (names []string) {
	next := Digest(r.Members)
	for _, m := range slices.Concat(r.Members, r.Previous) {
		if m.Name != self && !m.Removed && !slices.Contains(names, m.Name) && !slices.Contains(told(m.Name), next) {
			names = append(names, m.Name)
		}
	}
	return names
}

// Next decides whether a box that goes by r may go by other lists, and gives them as they then are. wait is how long after a req was
// read it may run or be asked for again: what ran under the list before alone, before the last box went by both, was then so long ago.
func (r Roster) Next(now, wait time.Duration, to Roster) (Roster, error) {
	present, before, next, beforeNext := Digest(r.Members), Digest(r.Previous), Digest(to.Members), Digest(to.Previous)
	changing, toChanging := len(r.Previous) > 0, len(to.Previous) > 0
	to.Since = 0
	switch {
	case present == next && changing == toChanging && before == beforeNext: // perhaps at other addresses
		to.Since = r.Since
		return to, nil
	case !changing && toChanging && present == beforeNext:
		return to, nil
	case !changing:
		return r, ErrTransitionRequired
	case !toChanging && present == next, toChanging && present == beforeNext: // the change ends; perhaps the next begins
		if off == ruleWait {
			return to, nil
		}
		if r.Since == 0 {
			return r, ErrNotAdopted
		}
		if left := r.Since + wait - now; left > 0 {
			return r, fmt.Errorf("%w, for %s", ErrRetryHorizon, left.Round(time.Second))
		}
		return to, nil
	}
	return r, ErrTransitionInProgress
}
