package recovery

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestEarlierProcesses checks that a delayed message from an earlier process is not attributed to the latest process.
func TestEarlierProcesses(t *testing.T) {
	s := NewPeerStates(true)
	if answer := s.Answer("x", 1); !answer.Empty {
		t.Error(answer)
	}
	s.Update("x", 1, PeerState{Incarnation: 1, Seq: 10})
	s.Update("x", 2, PeerState{Incarnation: 2, Seq: 12})
	s.Update("x", 1, PeerState{Incarnation: 1, Seq: 11})
	s.Update("x", 2, PeerState{Incarnation: 2, Seq: 11})
	if answer := s.Answer("x", 2); answer.PeerState != (PeerState{Incarnation: 1, Seq: 11}) || answer.Empty {
		t.Error(answer)
	}
	if answer := s.Answer("x", 3); answer.PeerState != (PeerState{Incarnation: 2, Seq: 12}) {
		t.Error(answer)
	}
}

// TestStoredFormat checks that the JSON form of PeerStates, which nodes store on disk, does not change.
func TestStoredFormat(t *testing.T) {
	s := NewPeerStates(false)
	s.Update("x", 1, PeerState{Incarnation: 1, Seq: 10})
	s.Update("x", 2, PeerState{Incarnation: 2, Seq: 12})
	s.SetFeatures("x", FeatureFences)
	s.AddFence("x", 2)
	s.Forget("y", time.Second)
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"of":{"x":{"life":2,"seq":12,"mark":2,"before":{"life":1,"seq":10},"past":[1],"knows":1}},` +
		`"fences":{"x":2},"gone":{"y":1000000000}}`
	if diff := cmp.Diff(want, string(text)); diff != "" {
		t.Error(diff)
	}
	read := NewPeerStates(false)
	if err := json.Unmarshal(text, read); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, read, cmp.AllowUnexported(PeerStates{}), cmp.FilterPath(func(p cmp.Path) bool {
		return p.Last().String() == ".changed"
	}, cmp.Ignore())); diff != "" {
		t.Error(diff)
	}
}
