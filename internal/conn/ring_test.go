package conn

import (
	"bytes"
	"testing"
)

// FuzzRing writes to a ring and skips bytes, and compares the ring with a plain
// slice.
func FuzzRing(f *testing.F) {
	f.Add([]byte{200, 100, 255, 255, 3, 250, 9, 90})
	f.Fuzz(func(t *testing.T, steps []byte) {
		var r Ring
		var want []byte
		for i, step := range steps {
			switch i % 3 {
			case 0:
				p := bytes.Repeat([]byte{step}, int(step)*40)
				r.Write(p)
				want = append(want, p...)
			case 1:
				space := r.Space(int(step))
				n := min(len(space), int(step))
				for j := range space[:n] {
					space[j] = step
				}
				r.Commit(n)
				want = append(want, bytes.Repeat([]byte{step}, n)...)
			case 2:
				p := r.Peek()
				if n := min(len(p), int(step)*30); n > 0 {
					if !bytes.Equal(p, want[:len(p)]) {
						t.Fatal("Peek returns other bytes than were written")
					}
					r.Skip(n)
					want = want[n:]
				}
			}
			if r.Len() != len(want) {
				t.Fatalf("%d bytes, want %d", r.Len(), len(want))
			}
		}
	})
}
