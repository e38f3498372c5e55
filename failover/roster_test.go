package failover

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// TestRosterNext checks that a node adopts other member lists only in steps
// whose majorities intersect.
func TestRosterNext(t *testing.T) {
	const retryHorizon = time.Hour
	const now = 100 * time.Hour
	first := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	second := []Member{{Name: "b"}, {Name: "c"}, {Name: "d"}}
	third := []Member{{Name: "c"}, {Name: "d"}, {Name: "e"}}
	reordered := []Member{{Name: "c"}, {Name: "a", Weight: 1}, {Name: "b"}}

	stable := Roster{Members: first}
	unadopted := Roster{Members: second, Previous: first}
	recent := Roster{Members: second, Previous: first, Since: now - retryHorizon + time.Second}
	settled := Roster{Members: second, Previous: first, Since: now - retryHorizon}
	for _, test := range []struct {
		name      string
		from, to  Roster
		wantSince time.Duration
		wantErr   error
	}{
		{"same list", stable, Roster{Members: reordered}, 0, nil},
		{"change begins", stable, unadopted, 0, nil},
		{"new list alone", stable, Roster{Members: second}, 0, ErrTransitionRequired},
		{"change of another list", stable, Roster{Members: third, Previous: second}, 0, ErrTransitionRequired},
		{"same change", recent, unadopted, recent.Since, nil},
		{"end before all adopt it", unadopted, Roster{Members: second}, 0, ErrNotAdopted},
		{"end within the retry horizon", recent, Roster{Members: second}, 0, ErrRetryHorizon},
		{"end", settled, Roster{Members: second}, 0, nil},
		{"end and next change", settled, Roster{Members: third, Previous: second}, 0, nil},
		{"next change too early", recent, Roster{Members: third, Previous: second}, 0, ErrRetryHorizon},
		{"return to the previous list", settled, Roster{Members: first}, 0, ErrTransitionInProgress},
		{"other change", settled, Roster{Members: third, Previous: first}, 0, ErrTransitionInProgress},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.from.Next(now, retryHorizon, test.to)
			if !errors.Is(err, test.wantErr) {
				t.Fatalf("error %v, want %v", err, test.wantErr)
			}
			want := test.to
			want.Since = test.wantSince
			if err != nil {
				want = test.from
			}
			if got.Since != want.Since || !slices.Equal(got.Members, want.Members) || !slices.Equal(got.Previous, want.Previous) {
				t.Errorf("roster %+v, want %+v", got, want)
			}
		})
	}
}

// TestRosterNotAdopted checks that removed members and the node itself are
// omitted.
func TestRosterNotAdopted(t *testing.T) {
	roster := Roster{
		Members:  []Member{{Name: "b"}, {Name: "c"}, {Name: "d"}},
		Previous: []Member{{Name: "a", Removed: true}, {Name: "b"}, {Name: "e"}},
	}
	reported := map[string][]uint64{
		"c": roster.Digests(),
		"d": {MembersDigest(roster.Previous)},
	}
	got := roster.NotAdopted("b", func(name string) []uint64 { return reported[name] })
	if want := []string{"d", "e"}; !slices.Equal(got, want) {
		t.Errorf("not adopted by %v, want %v", got, want)
	}
}
