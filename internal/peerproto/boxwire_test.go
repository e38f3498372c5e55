package peerproto

import (
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/membership"
	"frosthub/recovery"
	"slices"
	"testing"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/google/go-cmp/cmp"
)

var whole = Batch{
	Hello:     &Hello{"north", "n1", 3, []uint64{5, 0}, 70, 9, true, 1},
	PeerState: &recovery.Answer{PeerState: recovery.PeerState{Incarnation: 4, Seq: 11}, Mark: 9, Empty: true},
	Members:   []membership.Message{{Kind: membership.Ping, Number: 7, Target: "n2", Updates: []membership.Update{{Name: "n3", Incarnation: 2, Refutation: 5, State: membership.Dead}, {}}}},
	Claims: []failover.Message{{
		Kind: failover.MsgAcquire, Key: idempotency.Key{1, 2, 15: 9}, Ballot: failover.Ballot{Number: 8, Node: "n1", Incarnation: 3}, Force: true, Made: 5,
		Vote: failover.VoteRunning, Holder: failover.Ballot{Number: 4, Node: "n2", Incarnation: 1}, Outcome: idempotency.EntryResult, Result: []byte("filed"),
		Work: &failover.Work{Handler: "file-claim", Body: []byte("hail"), Left: 9, Cost: 4, Size: 24.5, Rank: 0.625, Weight: 3, Replayable: true}, Replayable: true, Run: 17, Notice: 4,
		Fences: []failover.Fence{{Node: "n4", Incarnation: 6}, {}},
	}, {}},
	PageRequest: &failover.PageRequest{Incarnation: 6, From: failover.Cursor{Step: failover.StepRecords, Position: 3, End: 9}},
	Page: &failover.Page{
		Incarnation: 6, Configuration: 12, Next: failover.Cursor{Step: failover.StepExpired, Segment: 2}, Complete: true, FencesSupported: true,
		Records:  []idempotency.Record{{Key: idempotency.Key{4}, Kind: idempotency.EntryResult, Result: []byte("filed")}, {}},
		InFlight: []failover.InFlight{{Key: idempotency.Key{5}, Ballot: failover.Ballot{Number: 2, Node: "n2", Incarnation: 1}, Made: 6, Left: -7, Run: 8, Notice: 9}},
		Expired:  []idempotency.ExpiredKeys{{Segment: 3, Until: 4, Filter: aged()}},
	},
}

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
	if err := NewParser(func(*Batch) error { return nil }).Feed([]byte{255, 0, 0, 0}); err != ErrTooLarge {
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
