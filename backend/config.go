package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"frosthub/internal/faultinject"
	"frosthub/internal/settings"
	"frosthub/lifecycle"
	"frosthub/overload"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Config is all that a backend is told.
type Config struct {
	Name         string
	Listen       string // where edge nodes connect
	Processor    string
	ControlPlane string // empty: no reports
	Upstream     string // empty: the last tier
	Seed         uint64
	StopTimeout  time.Duration // from the notice to leave until the process is ended
	Limits       Limits
	Settings     overload.Settings
	Accounting   AccountingConfig // of the operator, as what follows
	AJP          AJPConfig
	AJPUpstream  AJPUpstreamConfig // instead of NextTier
	Idempotency  IdempotencyConfig
	Cluster      ClusterConfig // needs Keep
}

// Limits are those of the process.
type Limits struct {
	Cores    float64
	MemoryMB float64
	Sockets  int
}

const (
	memoryShare  = 0.75            // of the memory limit that the collector aims at: the rest is stacks and the program
	stopMissing  = 3 * time.Second // where no time to stop is told
	socketsLeast = 32              // descriptors under which a backend can't serve
)

// Load reads the configuration that the environment names. The time to stop is bounded by what the platform's rules allow.
func Load() (Config, error) {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return Config{}, errors.New("PROXY_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if fault := faultinject.Error(faultinject.ReadFile); fault != nil {
		err = &os.PathError{Op: "read", Path: path, Err: fault}
	}
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.StopTimeout = lifecycle.KillAfter(c.StopTimeout, c.longestTimeout())
	return c, nil
}

// longestTimeout is the longest client timeout of all handlers, 0 if none is told.
func (c *Config) longestTimeout() (longest time.Duration) {
	for i := range c.Settings.Handlers {
		longest = max(longest, c.Settings.Handlers[i].ClientTimeout.Or(0))
	}
	return longest
}

// Parse reads a configuration from JSON.
func Parse(text []byte) (Config, error) {
	var in struct {
		Name, Listen, Processor, Control, Backend, Seed string
		StopMS                                          float64 `json:"stop_ms"`
		Limits                                          struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return Config{}, fmt.Errorf("not understood: %w", err)
	}
	for _, f := range []struct{ name, value string }{
		{"name", in.Name}, {"listen", in.Listen}, {"processor", in.Processor}, {"settings", string(in.Settings)},
	} {
		if f.value == "" || f.value == "null" {
			return Config{}, fmt.Errorf("field %q is missing", f.name)
		}
	}
	v, err := fastjson.ParseBytes(in.Settings)
	if err != nil || v.Type() != fastjson.TypeObject {
		return Config{}, errors.New(`field "settings" is no object`)
	}
	c := Config{
		Name: in.Name, Listen: in.Listen, Processor: in.Processor, ControlPlane: in.Control, Upstream: in.Backend,
		StopTimeout: time.Duration(in.StopMS * float64(time.Millisecond)),
		Limits:      Limits{Cores: in.Limits.Cores, MemoryMB: in.Limits.MemoryMB, Sockets: in.Limits.Sockets},
		Settings:    settings.Decode(v),
	}
	if in.Seed != "" {
		if c.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
			return Config{}, errors.New(`field "seed" is no hexadecimal number`)
		}
	}
	if c.StopTimeout <= 0 {
		c.StopTimeout = stopMissing
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.Sockets < socketsLeast {
		return Config{}, fmt.Errorf("limits: %d sockets are too few, %d at least", c.Limits.Sockets, socketsLeast)
	}
	return c, nil
}

// Apply sets the process's own limits. A program that embeds a backend among other things leaves it out.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * l.MemoryMB * (1 << 20)))
	}
}
