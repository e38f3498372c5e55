// Package prng is the pseudo-random number generator of the state machines: small enough to be part of their state, and deterministic, so that
// a seed repeats a run exactly. It is not for cryptography.
package prng

// Source is a generator of the xorshift family (Marsaglia, 2003) with 64 bits of state. Make it with New: the zero value yields only zeros. It
// is not safe for concurrent use.
type Source uint64

// New returns the generator of a seed. Seeds that differ in their lowest bit alone give the same numbers, as the state must not be 0.
func New(seed uint64) Source { return Source(seed | 1) }

// Uint64 returns the next number, from 1 to 2^64-1.
func (s *Source) Uint64() uint64 {
	*s ^= *s << 13
	*s ^= *s >> 7
	*s ^= *s << 17
	return uint64(*s)
}

// Intn returns the next number modulo n, which must be positive. It is slightly biased towards small numbers, which does not matter for n far
// below 2^64.
func (s *Source) Intn(n int) int { return int(s.Uint64() % uint64(n)) }
