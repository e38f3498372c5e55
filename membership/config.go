package membership

import (
	"cmp"
	"time"
)

// Config says whom a Detector watches and how. Fields that are zero take the default, except for Name, Incarnation and Others.
type Config struct {
	// Name is the name of the local node.
	Name string
	// Incarnation numbers the local process. It must be higher than that of any earlier process of the node.
	Incarnation uint64
	// Others names all nodes that may exist. It may contain Name, which is ignored.
	Others []string
	// ProbeInterval is the time from one probe to the next, SWIM's protocol period.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct ping may take before helpers are asked to probe the target.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of those helpers.
	IndirectProbes int
	// SuspicionFactor is how long a node stays suspected before it is declared dead: this many probe intervals, times the logarithm of the
	// cluster's size.
	SuspicionFactor float64
}

// Defaults of Config.
const (
	defaultProbeInterval   = 200 * time.Millisecond
	defaultProbeTimeout    = 60 * time.Millisecond
	defaultIndirectProbes  = 3
	defaultSuspicionFactor = 3
)

// withDefaults returns cfg with the default in place of each tunable that is zero.
func (cfg Config) withDefaults() Config {
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, defaultProbeInterval)
	cfg.ProbeTimeout = cmp.Or(cfg.ProbeTimeout, defaultProbeTimeout)
	cfg.IndirectProbes = cmp.Or(cfg.IndirectProbes, defaultIndirectProbes)
	cfg.SuspicionFactor = cmp.Or(cfg.SuspicionFactor, defaultSuspicionFactor)
	return cfg
}
