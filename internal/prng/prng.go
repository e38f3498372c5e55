// Package prng is the pseudo-random number generator of the state machines. A generator is small enough to be part of
// their state, and deterministic, so that a run can be repeated exactly from its seed. It is not suitable for
// cryptography.
package prng

import "time"

// Source is a generator of the xorshift family (Marsaglia, 2003) with 64 bits of state. It must be created with New: the
// zero value yields only zeros. A Source is not safe for concurrent use.
type Source uint64

// New returns a generator with the given seed. New sets the lowest bit of the seed because the state must not be 0, so
// seeds that differ only in that bit give the same numbers.
func New(seed uint64) Source { return Source(seed | 1) }

// Uint64 returns the next number, from 1 to 2^64-1.
func (s *Source) Uint64() uint64 {
	*s ^= *s << 13
	*s ^= *s >> 7
	*s ^= *s << 17
	return uint64(*s)
}

// Intn returns the next number modulo n, which must be positive. The result is slightly biased towards small numbers,
// which is negligible for n far below 2^64.
func (s *Source) Intn(n int) int { return int(s.Uint64() % uint64(n)) }

// Jitter returns a random duration from half of d to one and a half times d, which must be positive. Retries at such
// intervals don't synchronize with each other.
func (s *Source) Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.Uint64()%uint64(d))
}

// Shuffle puts n elements in random order (Fisher-Yates). swap exchanges the elements with the indexes i and j.
func (s *Source) Shuffle(n int, swap func(i, j int)) {
	for i := n - 1; i > 0; i-- {
		swap(i, s.Intn(i+1))
	}
}
