package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"frosthub/failover"
	"frosthub/internal/wal"
)

// rosterFileName is the file in the store's directory that holds the roster that this node has adopted.
const rosterFileName = "cluster.json"

// clusterRoster holds the member lists that a node has adopted, with addresses. A roster is written to disk before the
// node uses it, so that after a restart the node never uses an older roster than other nodes have seen from it.
type clusterRoster struct {
	Members  []ClusterMember `json:"members"`
	Previous []ClusterMember `json:"before,omitempty"` // the previous list while the members change
	Since    time.Duration   `json:"since"`            // nanoseconds since 1970; see failover.Roster
}

// roster returns the configured roster.
func (c *ClusterConfig) roster() clusterRoster {
	return clusterRoster{Members: c.Members, Previous: c.Previous}
}

// forFailover returns the roster without addresses, for package failover.
func (r *clusterRoster) forFailover() failover.Roster {
	return failover.Roster{
		Members:  failoverMembers(r.Members),
		Previous: failoverMembers(r.Previous),
		Since:    r.Since,
	}
}

// failoverMembers returns members without their addresses, for package failover.
func failoverMembers(members []ClusterMember) (out []failover.Member) {
	for _, member := range members {
		out = append(out, member.Member)
	}
	return out
}

func containsMember(members []ClusterMember, name string) bool {
	return slices.ContainsFunc(members, func(member ClusterMember) bool { return member.Name == name })
}

// allMembers returns the members of both lists. A node on both lists is returned with its entry of the new list.
func (r *clusterRoster) allMembers() []ClusterMember {
	out := slices.Clone(r.Members)
	for _, member := range r.Previous {
		if !containsMember(out, member.Name) {
			out = append(out, member)
		}
	}
	return out
}

// readRoster returns the roster that this node has adopted last. If there is none, it writes initial and returns it.
func readRoster(dir string, initial clusterRoster) (clusterRoster, error) {
	text, err := os.ReadFile(filepath.Join(dir, rosterFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return initial, writeRosterFile(dir, initial)
	}
	if err != nil {
		return clusterRoster{}, fmt.Errorf("read %s: %w", rosterFileName, err)
	}
	var roster clusterRoster
	if err := json.Unmarshal(text, &roster); err != nil {
		return clusterRoster{}, fmt.Errorf("read %s: %w", rosterFileName, err)
	}
	if len(roster.Members) == 0 {
		return clusterRoster{}, fmt.Errorf("read %s: the member list is empty", rosterFileName)
	}
	return roster, nil
}

// writeRosterFile writes a roster to the store's directory, and returns once it is durable.
func writeRosterFile(dir string, roster clusterRoster) error {
	text, err := json.MarshalIndent(roster, "", " ")
	if err != nil {
		return err
	}
	return wal.WriteFile(wal.DirDisk(dir), rosterFileName, append(text, '\n'))
}
