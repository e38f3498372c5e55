//go:build review

// Package rig has what the cases under review/ share: node processes started with the commands of the deploy file, free loopback addresses,
// and the record of what was sent, answered and run.
package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Object is a JSON object.
type Object = map[string]any

// Class is the settings of one handler.
type Class struct {
	Name        string
	Idempotency string // retryable, dedup or fragile
	Credit      float64
	Goal        time.Duration
	GiveUp      time.Duration
}

// Node is one node process with a folder of its own.
type Node struct {
	Binary    string
	Dir       string
	Name      string
	Listen    string
	Processor string
	Upstream  string
	Operator  string // content of the operator's file; empty for none
	Classes   []Class
	Cores     int
	Grace     time.Duration
	Halt      string
	StopMS    int
	MemoryMB  int
	Sockets   int

	cmd    *exec.Cmd
	log    lockedBuffer
	exited chan struct{}
}

// Settings of the small deployment: those of the brief for trondheim-main where it names them.
func (n *Node) settings() Object {
	var classes []Object
	for _, c := range n.Classes {
		classes = append(classes, Object{
			"name": c.Name, "credit": c.Credit, "idempotency": c.Idempotency, "lateShare": 0.2, "windowUs": 5_000_000,
			"goalTimeUs": c.Goal.Microseconds(), "giveUpUs": c.GiveUp.Microseconds(),
		})
	}
	return Object{
		"servers": 5, "tickUs": 5000, "classes": classes, "kindOfService": "server", "worthBy": "work",
		"familyInfo": Object{
			"cores": n.Cores, "downstream": "tier", "halt": n.Halt, "keyKb": 10, "memoryKb": 100000, "runFactor": 8, "senders": 3,
			"shareForUs": 0, "ownStats": []string{"cpu_busy", "runnable", "mem_used", "sockets"}, "signal": "allowance", "tellsGone": true,
			"heardForUs": 1_000_000, "idleUs": 15_000_000, "lingerUs": 200_000,
		},
		"invariants": Object{
			"answerSlackUs": 80_000, "coldFrom": 0.21, "coldUs": 18_000_000, "drainGraceUs": n.Grace.Microseconds(), "fallMultiple": 8,
			"fallUs": 2_000_000,
		},
		"limits": Object{"maxRetryAfterUs": 1_000_000, "retryAfter": true},
	}
}

// WriteConfig writes the platform's configuration and the operator's file.
func (n *Node) WriteConfig() error {
	text, err := json.Marshal(Object{
		"name": n.Name, "listen": n.Listen, "processor": n.Processor, "backend": n.Upstream, "seed": "8c1f30d27a5be964", "stop_ms": n.StopMS,
		"limits":   Object{"cores": 1.0, "memory_mb": n.MemoryMB, "sockets": n.Sockets},
		"settings": n.settings(),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.configPath(), text, 0o600); err != nil {
		return err
	}
	if n.Operator == "" {
		return nil
	}
	return os.WriteFile(n.operatorPath(), []byte(n.Operator), 0o600)
}

func (n *Node) configPath() string   { return filepath.Join(n.Dir, "config.json") }
func (n *Node) operatorPath() string { return filepath.Join(n.Dir, "frosthub.conf") }

// Launch starts the process as the deploy file's run does, and doesn't wait for it.
func (n *Node) Launch() error {
	if err := n.WriteConfig(); err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", "exec "+n.Binary)
	cmd.Env = append(os.Environ(), "PROXY_NAME="+n.Name, "PROXY_LISTEN="+n.Listen, "PROXY_CONFIG="+n.configPath())
	if n.Operator != "" {
		cmd.Env = append(cmd.Env, "FROSTHUB_CONF="+n.operatorPath())
	}
	cmd.Stderr = &n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // where this program is killed itself
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.cmd, n.exited = cmd, exited
	started.add(n)
	return nil
}

// Start starts the process and returns once it accepts connections.
func (n *Node) Start() error {
	if err := n.Launch(); err != nil {
		return err
	}
	return n.WaitListening(10 * time.Second)
}

// WaitListening waits until the process accepts connections.
func (n *Node) WaitListening(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if conn, err := net.Dial("tcp", n.Listen); err == nil {
			return conn.Close()
		}
		if n.Exited() {
			break
		}
	}
	return errors.New("the node does not accept connections: " + n.Log())
}

// Exited reports whether the process has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// PID returns the id of the process.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(signal)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// Drain ends the process with SIGTERM and waits for its end.
func (n *Node) Drain() {
	n.Signal(syscall.SIGTERM)
	<-n.exited
}

// Log returns what all processes of the node have written to standard error.
func (n *Node) Log() string { return n.log.String() }

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Unable("no free port: %v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Record is record.txt: what was sent, answered and run, in order.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		Unable("%v", err)
	}
	return &Record{file: file, start: time.Now()}
}

// Add adds a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// started are the nodes of which a process was started.
var started nodeList

type nodeList struct {
	mu    sync.Mutex
	nodes []*Node
}

func (l *nodeList) add(n *Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = append(l.nodes, n)
}

// Exit ends all node processes and then the program, with the given status.
func Exit(status int) {
	started.mu.Lock()
	for _, n := range started.nodes {
		_ = n.cmd.Process.Kill() // no error but that it has ended
	}
	for _, n := range started.nodes {
		<-n.exited
	}
	os.Exit(status)
}

// Unable ends the program with status 2: the case couldn't run.
func Unable(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	Exit(2)
}
