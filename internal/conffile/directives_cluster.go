package conffile

import (
	"errors"
	"time"

	"frosthub/backend"
	"frosthub/failover"
)

// minMembers is the size of the smallest cluster.
const minMembers = 3

var clusterDirectives = []directive{
	// The cluster whose nodes hold guarded requests in groups, and take over those
	// of lost nodes.
	{
		name:     "cluster name",
		requires: "keep dir",
		args: []argument{
			shortName("name", "a name, the same for all boxes", func(c *Config) *string { return &c.Cluster.Name }),
		},
		check: func(c *Config) *conflict {
			if c.Cluster.Listen == "" || len(c.Cluster.Members) < minMembers {
				return &conflict{"says nothing alone", `also "cluster listen", and "cluster member" three times at least`}
			}
			return nil
		},
	},
	// Where the other nodes of the cluster connect.
	{
		name:     "cluster listen",
		requires: "cluster name",
		args: []argument{
			listenAddress(func(c *Config) *string { return &c.Cluster.Listen }, "127.0.0.1:9700"),
		},
	},
	// A node of the cluster, this one included. All nodes have the same lines.
	{
		name:       "cluster member",
		repeatable: true,
		requires:   "cluster name",
		args:       memberArguments(currentMembers),
		options:    memberOptions(currentMembers),
	},
	// A node of the previous list of members, while that changes: the complete list
	// as it was.
	{
		name:       "cluster former",
		repeatable: true,
		requires:   "cluster name",
		args:       memberArguments(previousMembers),
		options:    append(memberOptions(previousMembers), removedOption),
	},
	// Whether requests that a lost node held are resumed without a retry.
	{
		name:     "cluster promise",
		requires: "cluster name",
		args: []argument{{
			name: "word",
			kind: "yes or no",
			set: func(c *Config, value string) error {
				if value != "yes" && value != "no" {
					return errors.New("neither yes nor no")
				}
				c.Cluster.ResumeUnclaimed = value == "yes"
				return nil
			},
		}},
	},
	// How long a started node waits for all that may know more than its disk, and
	// then for a majority of them.
	{
		name:     "cluster wait",
		requires: "cluster name",
		args: []argument{
			duration(majorityAfter, time.Millisecond, time.Hour),
			keyword("alone"),
			durationFrom(majorityAfter, func(c *Config) *time.Duration { return &c.Cluster.DegradeAfter }, time.Hour),
		},
	},
	// A handler whose requests may run again, and are taken over too. The parts
	// identify a request.
	{
		name:       "cluster replay",
		repeatable: true,
		requires:   "cluster name",
		args:       handlerKey(func(c *Config) *handlerKeys { return &c.Cluster.ReplayableHandlers }),
		check: func(c *Config) *conflict {
			for handler, parts := range c.Cluster.ReplayableHandlers {
				if c.Idempotency.Handlers[handler] != nil {
					return &conflict{handler + ` is guarded by "keep handler"`, "one of the two"}
				}
				if conflict := c.checkKeyParts(handler, parts); conflict != nil {
					return conflict
				}
			}
			return nil
		},
	},
}

func majorityAfter(c *Config) *time.Duration { return &c.Cluster.MajorityAfter }

// memberList returns a list of members of the configuration.
type memberList func(*Config) *[]backend.ClusterMember

func currentMembers(c *Config) *[]backend.ClusterMember  { return &c.Cluster.Members }
func previousMembers(c *Config) *[]backend.ClusterMember { return &c.Cluster.Previous }

// last returns the member that the rest of a line belongs to.
func (list memberList) last(c *Config) *backend.ClusterMember { return last(*list(c)) }

// memberArguments returns the arguments of a directive that adds a member.
func memberArguments(list memberList) []argument {
	return []argument{
		{
			name: "name",
			kind: "a box's name, as in its platform's configuration",
			set: func(c *Config, value string) error {
				return addMember(list(c), value)
			},
		},
		peerAddress("address", func(c *Config) *string { return &list.last(c).Address }, "127.0.0.1:9700"),
	}
}

func memberOptions(list memberList) []argument {
	return []argument{
		shortName("zone", "the name of a zone", func(c *Config) *string { return &list.last(c).Zone }),
		weight(func(c *Config) *float64 { return &list.last(c).Weight }),
		peerAddress("processor", func(c *Config) *string { return &list.last(c).Processor }, "127.0.0.1:6100"),
	}
}

// removedOption marks a previous member that never comes back.
var removedOption = argument{
	name: "gone",
	kind: "yes, where it never comes back",
	set: func(c *Config, value string) error {
		if value != "yes" {
			return errors.New("not yes")
		}
		last(c.Cluster.Previous).Removed = true
		return nil
	},
}

func addMember(members *[]backend.ClusterMember, name string) error {
	for _, member := range *members {
		if member.Name == name {
			return errDuplicate
		}
	}
	*members = append(*members, backend.ClusterMember{Member: failover.Member{Name: name}})
	return checkName(name)
}
