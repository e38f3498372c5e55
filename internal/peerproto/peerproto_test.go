package peerproto

import (
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/membership"
	"frosthub/recovery"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/google/go-cmp/cmp"
)

// completeBatch has a value in each field.
var completeBatch = Batch{
	Hello: &Hello{
		Cluster:       "north",
		From:          "n1",
		Incarnation:   3,
		RosterDigests: []uint64{5, 0},
		Seq:           70,
		Mark:          9,
		QueryState:    true,
		Features:      1,
	},
	PeerState: &recovery.Answer{PeerState: recovery.PeerState{Incarnation: 4, Seq: 11}, Mark: 9, Empty: true},
	Members: []membership.Message{{
		Kind:    membership.Ping,
		Number:  7,
		Target:  "n2",
		Updates: []membership.Update{{Name: "n3", Incarnation: 2, Refutation: 5, State: membership.Dead}, {}},
	}},
	Claims: []failover.Message{
		{
			Kind:    failover.MsgAcquire,
			Key:     idempotency.Key{1, 2, 15: 9},
			Ballot:  failover.Ballot{Number: 8, Node: "n1", Incarnation: 3},
			Force:   true,
			Made:    5,
			Vote:    failover.VoteRunning,
			Holder:  failover.Ballot{Number: 4, Node: "n2", Incarnation: 1},
			Outcome: idempotency.EntryResult,
			Result:  []byte("filed"),
			Work: &failover.Work{
				Handler:    "file-claim",
				Body:       []byte("hail"),
				Left:       9,
				Cost:       4,
				Size:       24.5,
				Rank:       0.625,
				Weight:     3,
				Replayable: true,
			},
			Replayable: true,
			Run:        17,
			Notice:     4,
			Fences:     []failover.Fence{{Node: "n4", Incarnation: 6}, {}},
		},
		{},
	},
	PageRequest: &failover.PageRequest{Incarnation: 6, From: failover.Cursor{Step: failover.StepRecords, Position: 3, End: 9}},
	Page: &failover.Page{
		Incarnation:     6,
		Configuration:   12,
		Next:            failover.Cursor{Step: failover.StepExpired, Segment: 2},
		Complete:        true,
		FencesSupported: true,
		Records:         []idempotency.Record{{Key: idempotency.Key{4}, Kind: idempotency.EntryResult, Result: []byte("filed")}, {}},
		InFlight: []failover.InFlightRequest{{
			Key:    idempotency.Key{5},
			Ballot: failover.Ballot{Number: 2, Node: "n2", Incarnation: 1},
			Made:   6,
			Left:   -7,
			Run:    8,
			Notice: 9,
		}},
		Expired: []idempotency.ExpiredKeys{{Segment: 3, Until: 4, Filter: expiredFilter()}},
	},
}

func expiredFilter() *bloom.BloomFilter {
	filter := bloom.New(100, 3)
	filter.Add([]byte("a key"))
	return filter
}

var sameFilter = cmp.Comparer(func(x, y *bloom.BloomFilter) bool {
	return x.Cap() == y.Cap() && x.K() == y.K() && slices.Equal(x.BitSet().Words(), y.BitSet().Words())
})

// TestRoundTrip checks that the parser decodes the batches that were encoded, wherever the input is split.
func TestRoundTrip(t *testing.T) {
	frames := append(Append(nil, &completeBatch), Append(nil, &Batch{})...)
	for cut := range len(frames) {
		var got []*Batch
		p := NewParser(func(batch *Batch) error {
			got = append(got, batch)
			return nil
		})
		if err := p.Feed(frames[:cut]); err != nil {
			t.Fatal(err)
		}
		if err := p.Feed(frames[cut:]); err != nil || p.Buffered() != 0 || len(got) != 2 {
			t.Fatal(cut, err, len(got))
		}
		if diff := cmp.Diff(&completeBatch, got[0], sameFilter); diff != "" {
			t.Fatal(diff)
		}
	}
	if err := NewParser(func(*Batch) error { return nil }).Feed([]byte{255, 0, 0, 0}); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
}

// TestWireFormat checks that the encoding of each field remains compatible with deployed nodes.
func TestWireFormat(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "complete_frame.hex"))
	if err != nil {
		t.Fatal(err)
	}
	want := strings.ReplaceAll(string(text), "\n", "")
	if diff := cmp.Diff(want, hex.EncodeToString(Append(nil, &completeBatch))); diff != "" {
		t.Error(diff)
	}
}

// TestMalformed checks that invalid input is rejected with ErrMalformed.
func TestMalformed(t *testing.T) {
	element := func(number fieldNumber, message []byte) []byte { return appendElement(nil, number, message) }
	tests := []struct {
		name  string
		bytes []byte
	}{
		{"truncated tag", []byte{0x80}},
		{"truncated message", element(batchHello, []byte("abc"))[:4]},
		{"short key of a claim", element(batchClaim, element(claimKey, []byte("short")))},
		{"short key of a record", element(batchPage, element(pageRecord, element(recordKey, []byte("short"))))},
		{"unknown step", element(batchPageRequest, element(pageRequestFrom, appendUint(nil, cursorStep, 4)))},
		{"kind that is not an outcome", element(batchPage, element(pageRecord, appendUint(nil, recordKind, uint64(idempotency.EntryIntent))))},
		{"filter without bits", element(batchPage, element(pageExpired, nil))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Parse(test.bytes); !errors.Is(err, ErrMalformed) {
				t.Error(err)
			}
		})
	}
}

// FuzzParser checks that any input is either decoded or rejected, and that a decoded batch survives another round trip.
func FuzzParser(f *testing.F) {
	f.Add(Append(nil, &completeBatch)[frameHeaderBytes:])
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := Parse(b)
		if err != nil {
			return
		}
		reparsed, err := Parse(Append(nil, batch)[frameHeaderBytes:])
		if err != nil {
			t.Fatal(err)
		}
		if len(reparsed.Claims) != len(batch.Claims) || len(reparsed.Members) != len(batch.Members) {
			t.Error("the batch changed in a round trip")
		}
	})
}
