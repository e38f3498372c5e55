package harness

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
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

// Process is a process of the program with its own directory. The fields take effect at the next Start, Launch or reload. Log may be
// called at any time. The other methods must not be called concurrently, except that Signal and PID may be called while Wait waits.
type Process struct {
	Binary          string
	Dir             string
	Name            string // n1 if empty
	Listen          string
	Processor       string
	Upstream        string
	StopMS          int
	OperatorFile    string // content of the operator's file; empty: there is none
	Cores           float64
	Sockets         int           // 1024 if 0
	ProcessorCores  int           // cores of the processor in the settings; 2 if 0
	WithoutCommands bool          // the program is an earlier version without subcommands
	ConfigPipe      string        // path of the configuration that the process reads; the file in Dir if empty
	ClockOffset     time.Duration // offset of its wall clock, if it is built with the tag powerloss or faults
	GraceMS         int           // 300 if 0
	MemoryMB        int           // 192 if 0

	cmd *exec.Cmd
	log lockedBuffer
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(data)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// Log returns the log of the process and of all processes that were started before it.
func (p *Process) Log() string { return p.log.String() }

// startTimeout limits how long Start waits for a process to listen.
const startTimeout = 10 * time.Second

// Start starts the process and returns once it accepts connections.
func (p *Process) Start() error {
	if err := p.Launch(); err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", p.Listen)
		if err == nil {
			return conn.Close()
		}
		if p.cmd.Process.Signal(syscall.Signal(0)) != nil {
			break
		}
	}
	return fmt.Errorf("process does not accept connections: %s", p.Log())
}

// Launch writes the process's configuration and starts the process without waiting until it listens.
func (p *Process) Launch() error {
	text, err := p.Config()
	if err != nil {
		return err
	}
	config := p.configPath()
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	args := []string{"serve"}
	if p.WithoutCommands {
		args = nil
	}
	if p.OperatorFile != "" {
		if err := p.writeOperatorFile(); err != nil {
			return err
		}
		args = append(args, "--conf", p.operatorPath())
	}
	p.cmd = exec.Command(p.Binary, args...)
	p.cmd.Env = append(os.Environ(),
		"PROXY_CONFIG="+cmp.Or(p.ConfigPipe, config),
		"FROSTHUB_CLOCK="+p.ClockOffset.String(),
		"FROSTHUB_FAULTS="+p.faultPath(),
	)
	p.cmd.Stderr = &p.log
	return p.cmd.Start()
}

func (p *Process) configPath() string { return filepath.Join(p.Dir, "config.json") }

func (p *Process) operatorPath() string { return filepath.Join(p.Dir, "frosthub.conf") }

func (p *Process) faultPath() string { return filepath.Join(p.Dir, "faults") }

func (p *Process) writeOperatorFile() error {
	return os.WriteFile(p.operatorPath(), []byte(p.OperatorFile), 0o600)
}

// InjectFaults replaces the active faults of a process that is built with the tag faults. Each line is one fault, such as "clock 2s" or
// "write ENOBUFS".
func (p *Process) InjectFaults(lines ...string) error {
	return replaceFile(p.faultPath(), strings.Join(lines, "\n"))
}

// ReloadConfig writes the platform's configuration and signals the process to reload it.
func (p *Process) ReloadConfig() error {
	text, err := p.Config()
	if err == nil {
		err = replaceFile(p.configPath(), string(text))
	}
	if err == nil {
		err = p.Signal(syscall.SIGHUP)
	}
	return err
}

// replaceFile replaces the content of a file atomically.
func replaceFile(path, text string) error {
	next := path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// ReloadOperatorFile writes the operator's file and signals the process to reload it.
func (p *Process) ReloadOperatorFile() error {
	if err := p.writeOperatorFile(); err != nil {
		return err
	}
	return p.Signal(syscall.SIGHUP)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// Kill kills the process and waits for it to exit.
func (p *Process) Kill() error {
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	var exit *exec.ExitError
	if err := p.cmd.Wait(); err != nil && !errors.As(err, &exit) {
		return err
	}
	return nil
}

// Wait waits for the process to exit and returns its error.
func (p *Process) Wait() error { return p.cmd.Wait() }

// Drain sends SIGTERM to the process, waits for it to exit and returns its error.
func (p *Process) Drain() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.cmd.Wait()
}

// CPU returns the CPU time that the threads of the running process have used so far.
func (p *Process) CPU() (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return 0, err
		}
		word, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// Resident returns the resident memory of the process in kilobytes.
func (p *Process) Resident() (kb int, err error) { return p.readMemoryStatus("VmRSS:") }

// PeakResident returns the peak resident memory of the running process in kilobytes. Unlike MaxResident, it does not include the memory
// of the parent process between fork and exec.
func (p *Process) PeakResident() (kb int, err error) { return p.readMemoryStatus("VmHWM:") }

// readMemoryStatus returns a field of the process's status file in kilobytes.
func (p *Process) readMemoryStatus(name string) (kb int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err == nil {
		_, rest, _ := strings.Cut(string(text), name)
		_, err = fmt.Sscan(rest, &kb)
	}
	return kb, err
}

// MaxResident returns the peak resident memory of the exited process in kilobytes.
func (p *Process) MaxResident() int64 {
	if usage, ok := p.cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		return usage.Maxrss
	}
	return 0
}
