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
	// The name of the cluster. Groups of its nodes record each guarded request, and
	// take over the requests of lost nodes.
	{
		name:     "cluster name",
		requires: "keep dir",
		args: []argument{
			shortName("name", "a name, the same on all nodes", func(c *Config) *string { return &c.Cluster.Name }),
		},
		check: func(c *Config) *conflict {
			if c.Cluster.Listen == "" || len(c.Cluster.Members) < minMembers {
				return &conflict{"has no effect alone", `also "cluster listen", and "cluster member" at least three times`}
			}
			return nil
		},
	},
	// The address at which the node accepts connections of the other members.
	{
		name:     "cluster listen",
		requires: "cluster name",
		args: []argument{
			listenAddress(func(c *Config) *string { return &c.Cluster.Listen }, "127.0.0.1:9700"),
		},
	},
	// A member of the cluster. The file lists all members including this node, and
	// must list the same on all nodes.
	{
		name:       "cluster member",
		repeatable: true,
		requires:   "cluster name",
		args:       memberArguments(currentMembers),
		options:    memberOptions(currentMembers),
	},
	// A member of the previous member list. During a membership change the file holds
	// the complete previous list.
	{
		name:       "cluster former",
		repeatable: true,
		requires:   "cluster name",
		args:       memberArguments(previousMembers),
		options:    append(memberOptions(previousMembers), removedOption),
	},
	// Whether the cluster resumes the requests that a lost node held although no
	// client retries them.
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
	// How long a started node waits for the answers of all nodes that may have records
	// that its disk lacks, and then for those of a majority.
	{
		name:     "cluster wait",
		requires: "cluster name",
		args: []argument{
			duration(majorityAfter, time.Millisecond, time.Hour),
			keyword("alone"),
			durationFrom(majorityAfter, func(c *Config) *time.Duration { return &c.Cluster.DegradeAfter }, time.Hour),
		},
	},
	// A handler whose requests may run more than once. The cluster takes over its
	// requests too. The parts make up the key that identifies a request.
	{
		name:       "cluster replay",
		repeatable: true,
		requires:   "cluster name",
		args:       handlerKey(func(c *Config) *handlerKeys { return &c.Cluster.ReplayableHandlers }),
		check: func(c *Config) *conflict {
			for handler, parts := range c.Cluster.ReplayableHandlers {
				if c.Idempotency.Handlers[handler] != nil {
					return &conflict{handler + ` is also guarded by "keep handler"`, "only one of the two"}
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

// memberList selects a member list of the configuration.
type memberList func(*Config) *[]backend.ClusterMember

func currentMembers(c *Config) *[]backend.ClusterMember  { return &c.Cluster.Members }
func previousMembers(c *Config) *[]backend.ClusterMember { return &c.Cluster.Previous }

// last returns the member that the current line has added.
func (list memberList) last(c *Config) *backend.ClusterMember { return last(*list(c)) }

// memberArguments returns the arguments of a directive that adds a member.
func memberArguments(list memberList) []argument {
	return []argument{
		{
			name: "name",
			kind: "the name of a node, as in its platform's configuration",
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

// removedOption marks a member of the previous list that never comes back.
var removedOption = argument{
	name: "gone",
	kind: "yes, if the node never comes back",
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
