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

	gcMemoryShare      = 0.75            // of the memory limit, for the garbage collector; the rest is for stacks and the program
	defaultStopTimeout = 3 * time.Second // used if the configuration states none
	defaultSockets     = 1024
	minSockets         = 32 // a backend can't serve with fewer file descriptors
)

// Config is the configuration of a backend. ParseConfig reads the first group of fields, the platform's, and the
// program fills in the second group, the operator's.
type Config struct {
	Name         string
	Listen       string        // the address where FastCGI clients connect
	Processor    string        // the address of the processor, which runs requests
	ControlPlane string        // the address of the control plane, which receives lease reports; empty for none
	Upstream     string        // the address of the upstream proxy; empty on nodes of the last tier
	Seed         uint64        // for the random numbers of the overload controller and the load balancer
	StopTimeout  time.Duration // from the termination signal until the process is killed
	Limits       Limits
	Settings     overload.Settings

	Accounting  AccountingConfig
	AJP         AJPConfig
	AJPUpstream AJPUpstreamConfig // if its Balancer has peers, calls go to these servers instead of to Upstream
	Idempotency IdempotencyConfig
	Cluster     ClusterConfig // requires Idempotency
}

// Limits are the resource limits of the process.
type Limits struct {
	Cores    float64 // 0 for no limit
	MemoryMB float64 // in 2^20 bytes; 0 for no limit
	Sockets  int     // file descriptors
}

// configFile is the content of the configuration file. Its keys are matched case-insensitively.
type configFile struct {
	Name      string
	Listen    string
	Processor string
	Control   string
	Backend   string  // the address of the upstream proxy
	Seed      string  // hexadecimal
	StopMS    float64 `json:"stop_ms"`
	Limits    struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Settings json.RawMessage
}

// LoadConfig reads the configuration file that the environment variable PROXY_CONFIG names. It limits the stop timeout
// to what the platform allows, see lifecycle.KillDelay. An error that wraps *fs.PathError means that the file could not
// be read; any other error means that its content is invalid or that the variable is not set.
func LoadConfig() (Config, error) {
	path := os.Getenv(configPathVariable)
	if path == "" {
		return Config{}, errors.New(configPathVariable + " is not set; it must name the configuration file")
	}
	text, err := os.ReadFile(path)
	if fault := faultinject.Error(faultinject.ReadFile); fault != nil {
		err = &os.PathError{Op: "read", Path: path, Err: fault}
	}
	if err != nil {
		return Config{}, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("parsing the configuration %s: %w", path, err)
	}
	c.StopTimeout = lifecycle.KillDelay(c.StopTimeout, c.longestTimeout())
	return c, nil
}

// longestTimeout returns the longest client timeout of all handlers, or 0 if none is configured.
func (c *Config) longestTimeout() (longest time.Duration) {
	for i := range c.Settings.Handlers {
		longest = max(longest, c.Settings.Handlers[i].ClientTimeout.Or(0))
	}
	return longest
}

// ParseConfig parses the platform's part of a configuration from JSON. It ignores unknown fields, and returns an error
// if a required field is missing or a value is invalid.
func ParseConfig(text []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("decoding JSON: %w", err)
	}
	if err := file.checkRequired(); err != nil {
		return Config{}, err
	}
	value, err := fastjson.ParseBytes(file.Settings)
	if err != nil || value.Type() != fastjson.TypeObject {
		return Config{}, errors.New(`field "settings" is not an object`)
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
			return Config{}, errors.New(`field "seed" is not a hexadecimal number`)
		}
	}
	if cfg.StopTimeout <= 0 {
		cfg.StopTimeout = defaultStopTimeout
	}
	if cfg.Limits.Sockets == 0 {
		cfg.Limits.Sockets = defaultSockets
	}
	if cfg.Limits.Sockets < minSockets {
		return Config{}, fmt.Errorf("limits: %d sockets are too few, at least %d are required", cfg.Limits.Sockets, minSockets)
	}
	return cfg, nil
}

// checkRequired returns an error if a field without a default is missing.
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

// usesAJPUpstream reports whether calls go to the servers of AJPUpstream instead of to the upstream proxy.
func (c *Config) usesAJPUpstream() bool { return len(c.AJPUpstream.Balancer.Peers) > 0 }

// Apply sets the limits of the Go runtime: the number of threads that run Go code at the same time, and the soft memory
// limit of the garbage collector. A program that embeds a backend next to other work should not call it.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * l.MemoryMB * (1 << 20)))
	}
}
