package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"frosthub/internal/faultinject"
	"frosthub/internal/settings"
	"frosthub/lifecycle"
	"frosthub/overload"

	"github.com/valyala/fastjson"
)

const (
	configPathVariable = "PROXY_CONFIG" // the environment variable that names the configuration file

	gcMemoryShare      = 0.75            // of the memory limit, which the garbage collector aims at; the rest is stacks and the program
	defaultStopTimeout = 3 * time.Second // where the configuration states none
	defaultSockets     = 1024
	minSockets         = 32 // a backend can't serve with fewer descriptors
)

// Config is the configuration of a backend. The first part is the platform's and is read by Parse; the second part is the
// operator's and is filled in by the program.
type Config struct {
	Name         string
	Listen       string        // the address where FastCGI clients connect
	Processor    string        // the address of the processor, which runs requests
	ControlPlane string        // the address that lease reports go to; empty for none
	Upstream     string        // the address of the upstream proxy; empty for the last tier
	Seed         uint64        // of the overload controller's random source
	StopTimeout  time.Duration // from the notice to leave until the process is killed
	Limits       Limits
	Settings     overload.Settings

	Accounting  AccountingConfig
	AJP         AJPConfig
	AJPUpstream AJPUpstreamConfig // with peers, calls go there instead of to Upstream
	Idempotency IdempotencyConfig
	Cluster     ClusterConfig // needs Idempotency
}

// Limits are the limits of the process.
type Limits struct {
	Cores    float64 // 0 for no limit
	MemoryMB float64 // in 2^20 bytes; 0 for no limit
	Sockets  int     // descriptors
}

// configFile is the configuration file. Its keys are matched without regard to case.
type configFile struct {
	Name      string
	Listen    string
	Processor string
	Control   string
	Backend   string  // the upstream tier
	Seed      string  // hexadecimal
	StopMS    float64 `json:"stop_ms"`
	Limits    struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Settings json.RawMessage
}

// LoadConfig reads the configuration file that the environment names. The stop timeout is bounded by what the platform allows,
// see lifecycle.KillAfter. An error that wraps *fs.PathError says that the file could not be read; others say that it
// can't be used.
func LoadConfig() (Config, error) {
	path := os.Getenv(configPathVariable)
	if path == "" {
		return Config{}, errors.New(configPathVariable + " is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if fault := faultinject.Error(faultinject.ReadFile); fault != nil {
		err = &os.PathError{Op: "read", Path: path, Err: fault}
	}
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.StopTimeout = lifecycle.KillDelay(c.StopTimeout, c.longestTimeout())
	return c, nil
}

// longestTimeout returns the longest client timeout of all handlers, 0 if none is stated.
func (c *Config) longestTimeout() (longest time.Duration) {
	for i := range c.Settings.Handlers {
		longest = max(longest, c.Settings.Handlers[i].ClientTimeout.Or(0))
	}
	return longest
}

// ParseConfig reads the platform's part of a configuration from JSON. Fields that it does not know are ignored.
func ParseConfig(text []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("not understood: %w", err)
	}
	if err := file.checkRequired(); err != nil {
		return Config{}, err
	}
	value, err := fastjson.ParseBytes(file.Settings)
	if err != nil || value.Type() != fastjson.TypeObject {
		return Config{}, errors.New(`field "settings" is no object`)
	}
	cfg := Config{
		Name:         file.Name,
		Listen:       file.Listen,
		Processor:    file.Processor,
		ControlPlane: file.Control,
		Upstream:     file.Backend,
		StopTimeout:  time.Duration(file.StopMS * float64(time.Millisecond)),
		Limits:       Limits{Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets},
		Settings:     settings.Decode(value),
	}
	if file.Seed != "" {
		if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return Config{}, errors.New(`field "seed" is no hexadecimal number`)
		}
	}
	if cfg.StopTimeout <= 0 {
		cfg.StopTimeout = defaultStopTimeout
	}
	if cfg.Limits.Sockets == 0 {
		cfg.Limits.Sockets = defaultSockets
	}
	if cfg.Limits.Sockets < minSockets {
		return Config{}, fmt.Errorf("limits: %d sockets are too few, %d at least", cfg.Limits.Sockets, minSockets)
	}
	return cfg, nil
}

// checkRequired returns an error if a field is missing that has no default.
func (f *configFile) checkRequired() error {
	required := []struct{ name, value string }{
		{"name", f.Name},
		{"listen", f.Listen},
		{"processor", f.Processor},
		{"settings", string(f.Settings)},
	}
	for _, field := range required {
		if field.value == "" || field.value == "null" {
			return fmt.Errorf("field %q is missing", field.name)
		}
	}
	return nil
}

// callsOverAJP reports whether calls go to AJP peers instead of the upstream proxy.
func (c *Config) usesAJPUpstream() bool { return len(c.AJPUpstream.Balancer.Peers) > 0 }

// Apply sets the limits of the Go runtime: the number of threads that run Go code, and the memory that the garbage
// collector aims at. A program that embeds a backend among other things leaves it out.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * l.MemoryMB * (1 << 20)))
	}
}
