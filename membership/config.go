package membership

import (
	"cmp"
	"time"
)

// Config configures a Detector. A zero field takes its default, except for Name, Incarnation and Others, which have none.
type Config struct {
	// Name is the name of the local node.
	Name string
	// Incarnation numbers the processes of the local node. It must be higher than that of any earlier process.
	Incarnation uint64
	// Others lists the names of all nodes that may exist. It may contain Name, which is ignored.
	Others []string
	// ProbeInterval is the time between the starts of two probes, SWIM's protocol period. It is also how long after its start a probe fails
	// without an ack. A node that appears to be slow itself extends it: see Detector.LocalHealth.
	ProbeInterval time.Duration
	// ProbeTimeout is how long to wait for the ack of a direct ping before relays are requested to ping the target.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of relays per indirect probe.
	IndirectProbes int
	// SuspicionFactor determines how long a node stays suspected before it is declared dead: this many probe intervals, times one plus
	// the binary logarithm of the cluster size, rounded down.
	SuspicionFactor float64
}

// Defaults of Config.
const (
	defaultProbeInterval   = 200 * time.Millisecond
	defaultProbeTimeout    = 60 * time.Millisecond
	defaultIndirectProbes  = 3
	defaultSuspicionFactor = 3
)

// withDefaults returns cfg with each tunable that is zero replaced by its default.
func (cfg Config) withDefaults() Config {
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, defaultProbeInterval)
	cfg.ProbeTimeout = cmp.Or(cfg.ProbeTimeout, defaultProbeTimeout)
	cfg.IndirectProbes = cmp.Or(cfg.IndirectProbes, defaultIndirectProbes)
	cfg.SuspicionFactor = cmp.Or(cfg.SuspicionFactor, defaultSuspicionFactor)
	return cfg
}
