package failover

import (
	"cmp"
	"frosthub/idempotency"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one box of a cluster, as the operators' files name it.
type Member struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone,omitempty"`
	Weight  float64 `json:"weight,omitempty"` // 1 if 0
	Removed bool    `json:"gone,omitempty"`   // of a list before: it never comes back
}

// Group gives the names of the boxes that note what becomes of a key, by weighted rendezvous hashing: who comes or goes moves only the
// keys that are its own. Where there are zones enough no two of a group are in one; they are never all in one where there are two.
func Group(members []Member, key idempotency.Key, size int) []string {
	type scored struct {
		Member
		score float64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		h := xxhash.New()
		_, _ = h.Write(key[:]) // never an error
		_, _ = h.WriteString(m.Name)
		unit := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
		all = append(all, scored{m, -cmp.Or(m.Weight, 1) / math.Log(unit)})
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.Name, y.Name)) })
	var out []string
	zones := map[string]bool{}
	for _, others := range []bool{false, true} { // first of each zone, then the rest
		for _, m := range all {
			if len(out) < size && !slices.Contains(out, m.Name) && (others || !zones[m.Zone] || m.Zone == "") {
				zones[m.Zone] = true
				out = append(out, m.Name)
			}
		}
	}
	return out
}

// Ballot orders attempts at one key. The highest goes on; two are never the same.
type Ballot struct {
	Number      uint64
	Node        string
	Incarnation uint64
}

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Node, o.Node), cmp.Compare(b.Incarnation, o.Incarnation))
}

// Work is what another box needs to go on with a req.
type Work struct {
	Handler    string
	Body       []byte
	Left       int64 // nanoseconds that its caller still waits, when it was sent
	Cost       int64 // expected, in nanoseconds
	Size, Rank float64
	Weight     float64 // of the handler: what is worth most is taken over first
	Replayable bool    // it may run again
}
