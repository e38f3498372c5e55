package overload

// randomSource is a multiply-with-carry generator (Marsaglia). The same seed yields the same decisions on every
// platform.
type randomSource struct {
	state uint32
	carry uint32
}

const (
	mwcMultiplier = 4294957665
	mwcMaxCarry   = mwcMultiplier - 1 // the carry stays below the multiplier
)

func newRandomSource(seed uint64) randomSource {
	return randomSource{
		state: uint32(seed) | 1,
		carry: uint32(seed>>32)%mwcMaxCarry + 1,
	}
}

// float64 returns a pseudo-random number in [0, 1).
func (r *randomSource) float64() float64 {
	t := uint64(r.state)*mwcMultiplier + uint64(r.carry)
	r.state = uint32(t)
	r.carry = uint32(t >> 32)
	return float64(r.state) / (1 << 32)
}
