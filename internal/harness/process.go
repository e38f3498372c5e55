package harness

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is the process of one backend, in a folder of its own.
type Process struct {
	Binary, Dir     string
	Name            string // n1 if empty
	Listen          string
	Processor       string
	Upstream        string
	StopMS          int
	Conf            string // lines of the operator's file; empty: none
	Cores           float64
	Sockets         int           // 1024 if 0
	ProcessorCores  int           // of the processor, as the settings tell them; 2 if 0
	WithoutCommands bool          // an earlier version, which knows no commands
	ConfigPipe      string        // read as its configuration in place of the file that is written; empty: that
	ClockOffset     time.Duration // by how much its time of day is wrong, where it is built with the tag powerloss or faults
	GraceMS         int           // 300 if 0
	MemoryMB        int           // 192 if 0

	cmd *exec.Cmd
	log lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Log is what the box has logged so far.
func (b *Process) Log() string {
	b.log.mu.Lock()
	defer b.log.mu.Unlock()
	return b.log.b.String()
}

var (
	givenMu sync.Mutex
	given   = map[string]bool{}
)

// FreeAddress is a loopback address that was free a moment ago, which no other call was given. It lies below the ports that the system
// gives to connections and to listeners without one: those come and go until it is listened on.
func FreeAddress() (string, error) {
	const from, to = 10000, 32000
	givenMu.Lock()
	defer givenMu.Unlock()
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", from+rand.IntN(to-from))
		if given[address] {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		given[address] = true
		return address, ln.Close()
	}
	return "", errors.New("no free address")
}

// Config is the platform's configuration of it.
func (b *Process) Config() ([]byte, error) {
	type m = map[string]any
	handler := func(name, repeats string, value int) m {
		return m{"name": name, "credit": value, "giveUpUs": 3_000_000, "goalTimeUs": 1_000_000, "idempotency": repeats}
	}
	settings := m{
		"servers": 1, "tickUs": 1000,
		"classes": []m{handler("status", "retryable", 1), handler("field-update", "retryable", 2), handler("file-claim", "fragile", 3)},
		"familyInfo": m{
			"cores": cmp.Or(b.ProcessorCores, 2), "downstream": "tier", "halt": "discard", "keyKb": 10, "memoryKb": 100000, "runFactor": 8,
			"senders": 2, "shareForUs": 800_000, "ownStats": []string{"cpu_busy", "runnable", "mem_used", "sockets"},
			"signal": "allowance", "tellsGone": true,
		},
		"invariants": m{"answerSlackUs": 80_000, "drainGraceUs": 1000 * cmp.Or(b.GraceMS, 300), "fallMultiple": 8},
		"limits":     m{"maxRetryAfterUs": 1_000_000, "retryAfter": true},
	}
	cores := b.Cores
	if cores == 0 {
		cores = 1
	}
	return json.Marshal(m{
		"name": cmp.Or(b.Name, "n1"), "listen": b.Listen, "processor": b.Processor, "backend": b.Upstream,
		"seed": "8c1f30d27a5be964", "stop_ms": b.StopMS, "limits": m{"cores": cores, "memory_mb": cmp.Or(b.MemoryMB, 192), "sockets": cmp.Or(b.Sockets, 1024)},
		"settings": settings,
	})
}

// Start starts the process, and returns once it accepts connections.
func (b *Process) Start() error {
	if err := b.Launch(); err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", b.Listen)
		if err == nil {
			return c.Close()
		}
		if b.cmd.Process.Signal(syscall.Signal(0)) != nil {
			break
		}
	}
	return fmt.Errorf("it does not listen: %s", b.Log())
}

// Launch starts the process, and does not wait for it.
func (b *Process) Launch() error {
	text, err := b.Config()
	if err != nil {
		return err
	}
	config := b.configPath()
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	args := []string{"serve"}
	if b.WithoutCommands {
		args = nil
	}
	if b.Conf != "" {
		conf := filepath.Join(b.Dir, "frosthub.conf")
		if err := os.WriteFile(conf, []byte(b.Conf), 0o600); err != nil {
			return err
		}
		args = append(args, "--conf", conf)
	}
	b.cmd = exec.Command(b.Binary, args...)
	b.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+cmp.Or(b.ConfigPipe, config), "FROSTHUB_CLOCK="+b.ClockOffset.String(), "FROSTHUB_FAULTS="+b.faultPath())
	b.cmd.Stderr = &b.log
	return b.cmd.Start()
}

func (b *Process) configPath() string { return filepath.Join(b.Dir, "config.json") }
func (b *Process) faultPath() string  { return filepath.Join(b.Dir, "faults") }

// InjectFaults tells a box that is built with the tag faults what fails from now on: lines such as "clock 2s" and "write ENOBUFS".
func (b *Process) InjectFaults(lines ...string) error {
	return replaceFile(b.faultPath(), strings.Join(lines, "\n"))
}

// ReloadConfig has it read its configuration anew, as it is now.
func (b *Process) ReloadConfig() error {
	text, err := b.Config()
	if err == nil {
		err = replaceFile(b.configPath(), string(text))
	}
	if err == nil {
		err = b.Signal(syscall.SIGHUP)
	}
	return err
}

// replaceFile replaces a file as a whole.
func replaceFile(path, text string) error {
	next := path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// ReloadOperatorFile has it read its operator's file anew, as it is now.
func (b *Process) ReloadOperatorFile() error {
	if err := os.WriteFile(filepath.Join(b.Dir, "frosthub.conf"), []byte(b.Conf), 0o600); err != nil {
		return err
	}
	return b.Signal(syscall.SIGHUP)
}

// PID is the number of its process.
func (b *Process) PID() int { return b.cmd.Process.Pid }

// Signal sends it one.
func (b *Process) Signal(s os.Signal) error { return b.cmd.Process.Signal(s) }

// Kill ends it at once, with no notice.
func (b *Process) Kill() error {
	if err := b.cmd.Process.Kill(); err != nil {
		return err
	}
	var exit *exec.ExitError
	if err := b.cmd.Wait(); err != nil && !errors.As(err, &exit) {
		return err
	}
	return nil
}

// Wait waits for its end.
func (b *Process) Wait() error { return b.cmd.Wait() }

// Drain gives it the notice to leave and waits for its end.
func (b *Process) Drain() error {
	if err := b.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return b.cmd.Wait()
}

// CPU is the time on cores that the process has taken so far.
func (b *Process) CPU() (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", b.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return 0, err
		}
		word, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(n)
	}
	return sum, nil
}

// Resident is the memory that the process holds now, in kilobytes.
func (b *Process) Resident() (kb int, err error) { return b.status("VmRSS:") }

// PeakResident is the most memory that the running process has held, in kilobytes; unlike what is told of ended ones, nothing of who started it counts.
func (b *Process) PeakResident() (kb int, err error) { return b.status("VmHWM:") }

func (b *Process) status(name string) (kb int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	if err == nil {
		_, rest, _ := strings.Cut(string(text), name)
		_, err = fmt.Sscan(rest, &kb)
	}
	return kb, err
}

// MaxResident is the most memory that the ended process held, in kilobytes.
func (b *Process) MaxResident() int64 {
	if u, ok := b.cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		return u.Maxrss
	}
	return 0
}
