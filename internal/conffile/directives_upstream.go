package conffile

import (
	"time"

	"frosthub/loadbalance"
)

const exampleAJPAddress = "127.0.0.1:8009"

var upstreamDirectives = []directive{
	// A server of the next tier that accepts calls over AJP.
	{
		name:       "next-tier ajp",
		repeatable: true,
		args: []argument{{
			name: "address",
			kind: "an address and a port, such as " + exampleAJPAddress,
			set:  (*Config).addUpstreamPeer,
		}},
		options: []argument{
			weight(func(c *Config) *float64 { return &c.lastUpstreamPeer().Weight }),
			shortName("route", "the name of a worker", func(c *Config) *string { return &c.lastUpstreamPeer().Route }),
			integer(func(c *Config) *int { return &c.lastUpstreamPeer().MaxCalls }, 1, 10000).named("most"),
		},
	},
	// The file with the secret that each call over AJP carries.
	{
		name:     "next-tier secret file",
		requires: "next-tier ajp",
		args: []argument{
			secretFile(func(c *Config) *string { return &c.AJPUpstream.Secret }),
		},
	},
	// How many consecutive faults eject a peer, and how long the first ejection lasts.
	// The time doubles with each ejection up to the last argument.
	{
		name:     "route eject",
		requires: "next-tier ajp",
		args: []argument{
			integer(func(c *Config) *int { return &c.AJPUpstream.Balancer.MaxConsecutiveFaults }, 1, 100),
			keyword("for"),
			duration(ejectionTime, 10*time.Millisecond, time.Hour),
			keyword("to"),
			durationFrom(ejectionTime, func(c *Config) *time.Duration { return &c.AJPUpstream.Balancer.MaxEjectionTime }, time.Hour),
		},
	},
	// The share of the calls that a peer receives after an ejection, and how many of
	// them must succeed before it is fully back in service.
	{
		name:     "route trial",
		requires: "next-tier ajp",
		args: []argument{
			percentage(func(c *Config) *float64 { return &c.AJPUpstream.Balancer.TrialShare }),
			keyword("passes"),
			integer(func(c *Config) *int { return &c.AJPUpstream.Balancer.TrialSuccesses }, 1, 1000),
		},
	},
	// The share of the peers that stay in service regardless of their faults.
	{
		name:     "route floor",
		requires: "next-tier ajp",
		args: []argument{
			percentage(func(c *Config) *float64 { return &c.AJPUpstream.Balancer.MinHealthyShare }),
		},
	},
	// The retry budget, as a share of the first attempts.
	{
		name:     "route budget",
		requires: "next-tier ajp",
		args: []argument{
			percentage(func(c *Config) *float64 { return &c.AJPUpstream.Balancer.RetryBudget }),
		},
	},
}

func ejectionTime(c *Config) *time.Duration { return &c.AJPUpstream.Balancer.EjectionTime }

// lastUpstreamPeer returns the peer that the current line has added.
func (c *Config) lastUpstreamPeer() *loadbalance.Peer { return last(c.AJPUpstream.Balancer.Peers) }

func (c *Config) addUpstreamPeer(address string) error {
	if err := checkPeerAddress(address); err != nil {
		return err
	}
	peers := &c.AJPUpstream.Balancer.Peers
	for _, peer := range *peers {
		if peer.Address == address {
			return errDuplicate
		}
	}
	*peers = append(*peers, loadbalance.Peer{Address: address})
	return nil
}
