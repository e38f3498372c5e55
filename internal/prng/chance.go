// Package prng is the chance of the state machines that boxes of a cluster share: small, and one run a seed.
package prng

// Source is a row of numbers by xorshift (Marsaglia, 2003). Make it with New.
type Source uint64

// New returns the row of a seed.
func New(seed uint64) Source { return Source(seed | 1) }

// Uint64 is the next number.
func (c *Source) Uint64() uint64 {
	*c ^= *c << 13
	*c ^= *c >> 7
	*c ^= *c << 17
	return uint64(*c)
}

// Intn is the next number, under n.
func (c *Source) Intn(n int) int { return int(c.Uint64() % uint64(n)) }
