// Package prng is the chance of the state machines that boxes of a cluster share: small, and one run a seed.
package prng

// Chance is a row of numbers by xorshift (Marsaglia, 2003). Make it with New.
type Chance uint64

// New returns the row of a seed.
func New(seed uint64) Chance { return Chance(seed | 1) }

// Next is the next number.
func (c *Chance) Next() uint64 {
	*c ^= *c << 13
	*c ^= *c >> 7
	*c ^= *c << 17
	return uint64(*c)
}

// Below is the next number, under n.
func (c *Chance) Below(n int) int { return int(c.Next() % uint64(n)) }
