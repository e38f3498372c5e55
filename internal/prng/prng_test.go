package prng

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestSequence checks that the numbers of a seed never change, because simulations recorded by their seed depend on them.
func TestSequence(t *testing.T) {
	tests := []struct {
		seed uint64
		want []uint64
	}{
		{0, []uint64{1082269761, 1152992998833853505, 11177516664432764457}},
		{1, []uint64{1082269761, 1152992998833853505, 11177516664432764457}},
		{2, []uint64{3246809283, 3458978961873255618, 12475830192055012923}},
		{7919, []uint64{8471990650130, 17851094761212919064, 984511198290323042}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint("seed ", test.seed), func(t *testing.T) {
			source := New(test.seed)
			for i, want := range test.want {
				if got := source.Uint64(); got != want {
					t.Errorf("number %d is %d, want %d", i, got, want)
				}
			}
		})
	}
}

// TestDerived checks the values that the other methods derive from the sequence of a seed.
func TestDerived(t *testing.T) {
	source := New(5)
	for i, want := range []int{5, 1, 1, 7, 8, 0} {
		if got := source.Intn(10); got != want {
			t.Errorf("Intn: number %d is %d, want %d", i, got, want)
		}
	}

	source = New(5)
	order := []int{0, 1, 2, 3, 4, 5}
	source.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if want := []int{5, 2, 0, 4, 1, 3}; !slices.Equal(order, want) {
		t.Errorf("Shuffle: %v, want %v", order, want)
	}

	source = New(5)
	for i, want := range []time.Duration{1305, 691, 801, 1237} {
		if got := source.Jitter(1000); got != want {
			t.Errorf("Jitter: number %d is %d, want %d", i, got, want)
		}
	}
}
