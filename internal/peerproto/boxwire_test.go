package peerproto

import (
	"slices"
	"testing"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/google/go-cmp/cmp"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/membership"
	"frosthub/recovery"
)

var whole = Batch{Hello: &Hello{"north", "n1", 3, []uint64{5, 0}, 70, 9, true, 1},
	Known:   &recovery.Answer{Memory: recovery.Memory{Life: 4, Seq: 11}, For: 9, Blank: true},
	Members: []membership.Message{{Kind: membership.Ping, Number: 7, For: "n2", Updates: []membership.Update{{Name: "n3", Life: 2, Incarnation: 5, State: membership.Dead}, {}}}},
	Claims: []failover.Message{{Kind: failover.Open, Key: idempotency.Key{1, 2, 15: 9}, Ballot: failover.Ballot{N: 8, Box: "n1", Life: 3}, Force: true, Made: 5,
		Vote: failover.Running, By: failover.Ballot{N: 4, Box: "n2", Life: 1}, End: idempotency.Result, Result: []byte("filed"),
		Work: &failover.Work{Handler: "file-claim", Body: []byte("hail"), Left: 9, Cost: 4, Size: 24.5, Rank: 0.625, Worth: 3, Replay: true}, Replay: true, Run: 17, Notice: 4,
		Fences: []failover.Fence{{Box: "n4", Life: 6}, {}}}, {}},
	Telling: &failover.Telling{Life: 6, From: failover.Cursor{Step: failover.StepEnded, At: 3, End: 9}},
	Page: &failover.Page{Life: 6, Goes: 12, Next: failover.Cursor{Step: failover.StepPrints, Print: 2}, Whole: true, Heeded: true,
		Told:   []idempotency.Told{{Key: idempotency.Key{4}, Kind: idempotency.Result, Result: []byte("filed")}, {}},
		InHand: []failover.InHand{{Key: idempotency.Key{5}, Ballot: failover.Ballot{N: 2, Box: "n2", Life: 1}, Made: 6, Left: -7, Run: 8, Notice: 9}},
		Prints: []idempotency.Aged{{Number: 3, Till: 4, Filter: aged()}}}}

func aged() *bloom.BloomFilter {
	f := bloom.New(100, 3)
	f.Add([]byte("a key"))
	return f
}

var sameFilter = cmp.Comparer(func(x, y *bloom.BloomFilter) bool {
	return x.Cap() == y.Cap() && x.K() == y.K() && slices.Equal(x.BitSet().Words(), y.BitSet().Words())
})

// TestRound: what is written is read, however it is cut.
func TestRound(t *testing.T) {
	text := append(Append(nil, &whole), Append(nil, &Batch{})...)
	for cut := range len(text) {
		var got []*Batch
		p := NewParser(func(b *Batch) error { got = append(got, b); return nil })
		if err := p.Feed(text[:cut]); err != nil {
			t.Fatal(err)
		}
		if err := p.Feed(text[cut:]); err != nil || p.Held() != 0 || len(got) != 2 {
			t.Fatal(cut, err, len(got))
		}
		if diff := cmp.Diff(&whole, got[0], sameFilter); diff != "" {
			t.Fatal(diff)
		}
	}
	if err := NewParser(func(*Batch) error { return nil }).Feed([]byte{255, 0, 0, 0}); err != ErrLarge {
		t.Error(err)
	}
}

// FuzzParser: whatever comes is read or refused, and what was read is written as the same.
func FuzzParser(f *testing.F) {
	f.Add(Append(nil, &whole)[4:])
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := Parse(b)
		if err != nil {
			return
		}
		again, err := Parse(Append(nil, batch)[4:])
		if err != nil {
			t.Fatal(err)
		}
		if len(again.Claims) != len(batch.Claims) || len(again.Members) != len(batch.Members) {
			t.Error("another batch")
		}
	})
}
