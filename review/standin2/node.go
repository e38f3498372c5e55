//go:build review

package standin2

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// Root is the root of the repository, from the folder of a case.
const Root = "../.."

// Node is a process of the program, started with the command of the deploy file.
type Node struct {
	Dir      string
	Listen   string
	Platform Object // the platform's configuration
	Operator string // content of the operator's file; empty for none

	cmd    *exec.Cmd
	exited chan struct{}
}

var (
	nodesMu sync.Mutex
	nodes   []*Node
)

// StopAll kills the processes that were started.
func StopAll() {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, node := range nodes {
		if node.cmd != nil && node.cmd.Process != nil {
			_ = node.cmd.Process.Kill()
		}
	}
}

// Ports of FreeAddress: below those that the system gives to outgoing connections, which could take a free one again.
const (
	firstPort = 10000
	lastPort  = 32000
)

var issued = map[string]bool{} // addresses that FreeAddress has returned

// FreeAddress returns a loopback address that is not in use. It must be called by one goroutine at a time.
func FreeAddress() string {
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort))
		if issued[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		issued[address] = true
		_ = listener.Close()
		return address
	}
	Fatal(fmt.Errorf("no free loopback address"))
	return ""
}

// Class returns the settings of a handler; the times are in milliseconds.
func Class(name, idempotency string, value, giveUpMS, goalMS, windowMS int) Object {
	return Object{
		"name": name, "credit": value, "idempotency": idempotency,
		"giveUpUs": 1000 * giveUpMS, "goalTimeUs": 1000 * goalMS, "windowUs": 1000 * windowMS, "lateShare": 0.2,
	}
}

// Settings returns the settings of a small deployment.
func Settings(cores int, halt string, classes ...Object) Object {
	return Object{
		"servers": 3, "tickUs": 1000, "classes": classes,
		"familyInfo": Object{
			"cores": cores, "downstream": "tier", "halt": halt, "keyKb": 10, "memoryKb": 400000, "runFactor": 8, "senders": 2,
			"ownStats": []string{"cpu_busy", "runnable"}, "signal": "allowance", "tellsGone": true,
		},
		"invariants": Object{"answerSlackUs": 80_000, "drainGraceUs": 1_800_000, "fallMultiple": 8},
		"limits":     Object{"maxRetryAfterUs": 1_000_000, "retryAfter": true},
	}
}

// Platform returns the platform's configuration of a node.
func Platform(name, listen, processor, upstream string, settings Object) Object {
	return Object{
		"name": name, "listen": listen, "processor": processor, "backend": upstream,
		"seed": "8c1f30d27a5be964", "stop_ms": 3200,
		"limits":   Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings,
	}
}

// WriteConfig writes the configuration of the node.
func (n *Node) WriteConfig() {
	text, err := json.Marshal(n.Platform)
	if err != nil {
		Fatal(err)
	}
	next := filepath.Join(n.Dir, "config.next")
	if err := os.WriteFile(next, text, 0o600); err != nil {
		Fatal(err)
	}
	if err := os.Rename(next, filepath.Join(n.Dir, "config.json")); err != nil {
		Fatal(err)
	}
	if n.Operator == "" {
		return
	}
	if err := os.WriteFile(filepath.Join(n.Dir, "frosthub.conf"), []byte(n.Operator), 0o600); err != nil {
		Fatal(err)
	}
}

// Launch starts the process and does not wait for it.
func (n *Node) Launch() {
	n.WriteConfig()
	log, err := os.OpenFile(filepath.Join(n.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", "exec bin/frosthub")
	cmd.Dir = Root
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(n.Dir, "config.json"))
	if n.Operator != "" {
		cmd.Env = append(cmd.Env, "FROSTHUB_CONF="+filepath.Join(n.Dir, "frosthub.conf"))
	}
	cmd.Stderr = log
	cmd.Stdout = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		Fatal(err)
	}
	_ = log.Close()
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	nodesMu.Lock()
	nodes = append(nodes, n)
	nodesMu.Unlock()
}

// Start starts the process and waits until its shallow health check is good.
func (n *Node) Start() {
	n.Launch()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", n.Listen); err == nil {
			_ = conn.Close()
			return
		}
	}
	Fatal(fmt.Errorf("the node does not listen: %s", n.Log()))
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal os.Signal) { _ = n.cmd.Process.Signal(signal) }

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// Exited reports whether the process ends within the given time.
func (n *Node) Exited(within time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// Stop ends the process with SIGTERM, and with SIGKILL where it takes too long.
func (n *Node) Stop() {
	n.Signal(syscall.SIGTERM)
	if !n.Exited(5 * time.Second) {
		n.Kill()
	}
}

// Log returns the log of the process.
func (n *Node) Log() string {
	text, _ := os.ReadFile(filepath.Join(n.Dir, "log"))
	return string(text)
}

// Command runs a command of the program and returns its output.
func Command(args ...string) (string, error) {
	cmd := exec.Command("bin/frosthub", args...)
	cmd.Dir = Root
	out, err := cmd.CombinedOutput()
	return string(out), err
}
