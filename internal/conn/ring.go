package conn

// Sizes of a ring, in bytes.
const (
	minRingSize     = 4 << 10  // size of a new ring, which fits a common request or response
	maxIdleRingSize = 32 << 10 // largest buffer that an empty ring keeps, so that the memory of a burst is freed
)

// Ring is a first-in, first-out queue of bytes in one reusable buffer. It grows
// as needed; its writers must enforce a limit. The zero value is an empty ring. A
// Ring is not safe for concurrent use.
type Ring struct {
	buf    []byte
	head   int // index of the first byte in the queue
	length int // bytes in the queue
}

// Len returns the number of bytes in the ring.
func (r *Ring) Len() int { return r.length }

// Space returns free space of at least one byte, and grows the ring by want
// bytes if it is full. Commit adds the bytes that were written to the space.
func (r *Ring) Space(want int) []byte {
	if r.length == len(r.buf) {
		r.grow(r.length + max(1, want))
	}
	tail := (r.head + r.length) % len(r.buf)
	if tail < r.head {
		return r.buf[tail:r.head]
	}
	return r.buf[tail:]
}

// Commit adds the first n bytes of the result of the last Space to the queue.
func (r *Ring) Commit(n int) { r.length += n }

// Write copies p to the end of the queue.
func (r *Ring) Write(p []byte) {
	if r.length+len(p) > len(r.buf) {
		r.grow(r.length + len(p))
	}
	for len(p) > 0 {
		n := copy(r.Space(len(p)), p)
		r.Commit(n)
		p = p[n:]
	}
}

// Peek returns the first contiguous part of the queue, which is empty only if
// the ring is. It remains valid until the ring is written to again after a Skip.
func (r *Ring) Peek() []byte {
	if r.length == 0 {
		return nil
	}
	return r.buf[r.head:min(r.head+r.length, len(r.buf))]
}

// Skip removes the first n bytes from the queue.
func (r *Ring) Skip(n int) {
	r.length -= n
	if r.length > 0 {
		r.head = (r.head + n) % len(r.buf)
		return
	}
	r.head = 0
	if len(r.buf) > maxIdleRingSize {
		r.buf = nil
	}
}

// Release frees the buffer of an empty ring.
func (r *Ring) Release() {
	if r.length == 0 {
		r.buf = nil
		r.head = 0
	}
}

// grow moves the bytes to a larger buffer. It leaves the old one untouched,
// since a result of Peek may still refer to it.
func (r *Ring) grow(need int) {
	size := max(minRingSize, len(r.buf))
	for size < need {
		size *= 2
	}
	buf := make([]byte, size)
	n := copy(buf, r.Peek())
	if n < r.length {
		copy(buf[n:], r.buf[:r.length-n])
	}
	r.buf = buf
	r.head = 0
}
