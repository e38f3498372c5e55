package conn

const (
	ringLeast = 4 << 10  // bytes of a new ring: a req or an answer of usual size
	ringKeep  = 32 << 10 // bytes an empty ring may keep: more is let go, a burst is over
)

// Ring is a queue of bytes in one piece of memory that is used again and again. It grows as needed; who
// writes to it keeps the bound.
type Ring struct {
	buf     []byte
	head, n int
}

// Len is the number of bytes in the ring.
func (r *Ring) Len() int { return r.n }

// Space is a stretch that can be written to, of at least one byte; Commit takes what was written.
func (r *Ring) Space(want int) []byte {
	if r.n == len(r.buf) {
		r.grow(r.n + max(1, want))
	}
	tail := (r.head + r.n) % len(r.buf)
	if tail < r.head {
		return r.buf[tail:r.head]
	}
	return r.buf[tail:]
}

// Commit adds the first n bytes of the last Space.
func (r *Ring) Commit(n int) { r.n += n }

// Write appends p.
func (r *Ring) Write(p []byte) {
	if r.n+len(p) > len(r.buf) {
		r.grow(r.n + len(p))
	}
	for len(p) > 0 {
		k := copy(r.Space(len(p)), p)
		r.Commit(k)
		p = p[k:]
	}
}

// Peek is the next stretch in order; it is empty only if the ring is.
func (r *Ring) Peek() []byte {
	if r.n == 0 {
		return nil
	}
	return r.buf[r.head:min(r.head+r.n, len(r.buf))]
}

// Release lets go of the memory of an empty ring.
func (r *Ring) Release() {
	if r.n == 0 {
		r.buf, r.head = nil, 0
	}
}

// Skip drops the first n bytes.
func (r *Ring) Skip(n int) {
	r.n -= n
	if r.n == 0 {
		r.head = 0
		if len(r.buf) > ringKeep {
			r.buf = nil
		}
		return
	}
	r.head = (r.head + n) % len(r.buf)
}

// grow lays the bytes out anew in a larger piece. The old one stays as it was: a reader may still look at it.
func (r *Ring) grow(need int) {
	size := max(ringLeast, len(r.buf))
	for size < need {
		size *= 2
	}
	buf := make([]byte, size)
	k := copy(buf, r.Peek())
	if k < r.n {
		copy(buf[k:], r.buf[:r.n-k])
	}
	r.buf, r.head = buf, 0
}
