package backend

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"frosthub/failover"
)

// TestRosterFormat reads a roster that an earlier version wrote, and checks that it is written back byte for byte.
// Nodes of both versions may use the same directory in turn.
func TestRosterFormat(t *testing.T) {
	const stored = "testdata/roster-v1"
	member := func(node failover.Member, address, processor string) ClusterMember {
		return ClusterMember{Member: node, Address: address, Processor: processor}
	}
	n2 := member(failover.Member{Name: "n2", Zone: "north"}, "10.0.0.2:7000", "10.0.0.2:6100")
	n3 := member(failover.Member{Name: "n3", Zone: "south", Weight: 2.5}, "10.0.0.3:7000", "")
	want := clusterRoster{
		Members: []ClusterMember{
			n2,
			n3,
			member(failover.Member{Name: "n4"}, "10.0.0.4:7000", "10.0.0.4:6100"),
		},
		Previous: []ClusterMember{
			member(failover.Member{Name: "n1", Zone: "north", Removed: true}, "10.0.0.1:7000", ""),
			n2,
			n3,
		},
		Since: 1780000000123456789 * time.Nanosecond,
	}
	got, err := readRoster(stored, clusterRoster{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("read (-want +got):", diff)
	}
	dir := t.TempDir()
	if err := writeRosterFile(dir, got); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(filepath.Join(stored, rosterFileName))
	if err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(filepath.Join(dir, rosterFileName))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(before), string(after)); diff != "" {
		t.Error("written (-before +after):", diff)
	}
}
