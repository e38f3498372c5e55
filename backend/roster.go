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

// rosterFileName is the file in the directory of the store that holds the roster that this node has adopted.
const rosterFileName = "cluster.json"

// clusterRoster is the members of a cluster as a node has adopted them, with their addresses. The record of it on disk
// is as new as what the node acts on, or newer: what the node starts with after a restart is what others may know of
// it.
type clusterRoster struct {
	Members  []ClusterMember `json:"members"`
	Previous []ClusterMember `json:"before,omitempty"` // while the members change: those before
	Since    time.Duration   `json:"since"`            // nanoseconds since 1970; see failover.Roster
}

// roster returns the roster of the operator's file.
func (c *ClusterConfig) roster() clusterRoster {
	return clusterRoster{Members: c.Members, Previous: c.Previous}
}

// forFailover returns the roster without addresses.
func (r *clusterRoster) forFailover() failover.Roster {
	return failover.Roster{
		Members:  failoverMembers(r.Members),
		Previous: failoverMembers(r.Previous),
		Since:    r.Since,
	}
}

func failoverMembers(members []ClusterMember) (out []failover.Member) {
	for _, member := range members {
		out = append(out, member.Member)
	}
	return out
}

func containsMember(members []ClusterMember, name string) bool {
	return slices.ContainsFunc(members, func(member ClusterMember) bool { return member.Name == name })
}

// allMembers returns the members of both lists. A node that is on both is returned as it is on the new one.
func (r *clusterRoster) allMembers() []ClusterMember {
	out := slices.Clone(r.Members)
	for _, member := range r.Previous {
		if !containsMember(out, member.Name) {
			out = append(out, member)
		}
	}
	return out
}

// readRoster returns the roster that this node adopted last. If there is none it writes and returns first.
func readRoster(dir string, first clusterRoster) (clusterRoster, error) {
	text, err := os.ReadFile(filepath.Join(dir, rosterFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return first, writeRosterFile(dir, first)
	}
	if err != nil {
		return clusterRoster{}, fmt.Errorf("%s: %w", rosterFileName, err)
	}
	var roster clusterRoster
	if err := json.Unmarshal(text, &roster); err != nil {
		return clusterRoster{}, fmt.Errorf("%s: %w", rosterFileName, err)
	}
	if len(roster.Members) == 0 {
		return clusterRoster{}, fmt.Errorf("%s: no members", rosterFileName)
	}
	return roster, nil
}

func writeRosterFile(dir string, roster clusterRoster) error {
	text, err := json.MarshalIndent(roster, "", " ")
	if err != nil {
		return err
	}
	return wal.WriteFile(wal.DirDisk(dir), rosterFileName, append(text, '\n'))
}
