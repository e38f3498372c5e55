package harness

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
)

const (
	// maxPauseAtTransition limits the pause of a process that is starting or ending.
	maxPauseAtTransition = 100 * time.Millisecond
	// reconfigureOverlap is how long connections to the old addresses of processor and upstream stay open after a reconfiguration.
	reconfigureOverlap = 1500 * time.Millisecond
	// loggedLines is the number of log lines that a violation quotes.
	loggedLines = 4
)

// Node is a real process with its processor, its upstream and the proxies between them, all of which can be made to fail. After a drain
// or a kill it is restarted under the same name and address. Its methods are safe for concurrent use; the exported fields must not
// change after Start.
type Node struct {
	Name      string
	Process   *Process
	Processor *fake.Processor
	Upstream  *fake.Upstream
	EdgeProxy *faultproxy.Proxy // proxy between edge nodes and the process, for network faults
	KillAfter time.Duration     // longest time that a drain may take

	transition     sync.Mutex // held while the process starts, ends or is reconfigured
	processorProxy *faultproxy.Proxy
	upstreamProxy  *faultproxy.Proxy

	mu         sync.Mutex
	faults     map[string]bool // lines of the process's fault file that are active
	drains     []Drain
	kills      []time.Time
	pauses     []Span
	violations []string
}

// Span is a period of time. If To is zero, it has not ended.
type Span struct{ From, To time.Time }

// Drain is a drain of a node's process.
type Drain struct {
	NotifiedAt time.Time
	EndedAt    time.Time
}

// NewNode starts the processor, the upstream and the proxies of a node, and returns the node. Its process is not started.
func NewNode(name, binary, dir string, cores float64, work func(uint64, string) time.Duration, seed uint64) (*Node, error) {
	n := &Node{Name: name, faults: map[string]bool{}}
	var err error
	if n.Processor, err = fake.NewProcessor(cores, work); err != nil {
		return nil, fmt.Errorf("starting a processor: %w", err)
	}
	if n.Upstream, err = fake.NewUpstream(seed); err != nil {
		return nil, fmt.Errorf("starting an upstream: %w", err)
	}
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	n.Process = &Process{Binary: binary, Dir: dir, Name: name, Listen: listen, ProcessorCores: int(cores)}
	if n.EdgeProxy, err = faultproxy.NewProxy(listen); err != nil {
		return nil, fmt.Errorf("starting the proxy for edge nodes: %w", err)
	}
	return n, n.newProxies()
}

// newProxies replaces the proxies to the processor and the upstream. The caller closes the old ones.
func (n *Node) newProxies() (err error) {
	if n.processorProxy, err = faultproxy.NewProxy(n.Processor.Address()); err != nil {
		return fmt.Errorf("starting the proxy to the processor: %w", err)
	}
	if n.upstreamProxy, err = faultproxy.NewProxy(n.Upstream.Address()); err != nil {
		return fmt.Errorf("starting the proxy to the upstream: %w", err)
	}
	n.Process.Processor = n.processorProxy.Address()
	n.Process.Upstream = n.upstreamProxy.Address()
	return nil
}

// Close kills the process and closes its processor, its upstream and all proxies.
func (n *Node) Close() {
	n.transition.Lock()
	defer n.transition.Unlock()
	_ = n.Process.Signal(syscall.SIGCONT)
	_ = n.Process.Kill()
	n.Processor.Close()
	n.Upstream.Close()
	n.EdgeProxy.Close()
	n.processorProxy.Close()
	n.upstreamProxy.Close()
}

// Start starts the process and returns once it accepts connections.
func (n *Node) Start() error {
	n.transition.Lock()
	defer n.transition.Unlock()
	return n.Process.Start()
}

// Drain sends SIGTERM and waits for the process to end. A process that does not exit in time or exits with an error is a violation. If
// restart is set, Drain then starts a new process.
func (n *Node) Drain(restart bool) {
	n.transition.Lock()
	defer n.transition.Unlock()
	notifiedAt := time.Now()
	if err := n.Process.Signal(syscall.SIGTERM); err != nil {
		n.addViolation("sending SIGTERM failed, the process had ended before its drain: %v; %s", err, lastLines(n.Process.Log()))
	}
	if err := n.waitForDrain(notifiedAt); err != nil {
		n.addViolation("process ended with an error: %v; %s", err, lastLines(n.Process.Log()))
	}
	n.mu.Lock()
	n.drains = append(n.drains, Drain{NotifiedAt: notifiedAt, EndedAt: time.Now()})
	n.mu.Unlock()
	if restart {
		n.restart()
	}
}

// waitForDrain waits for the process to end and returns its error. A process that exceeds KillAfter is killed and recorded as a
// violation; time during which it was paused does not count.
func (n *Node) waitForDrain(notifiedAt time.Time) error {
	var err error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err = n.Process.Wait()
	}()
	timeout := n.KillAfter + n.Paused(notifiedAt, notifiedAt.Add(n.KillAfter))
	select {
	case <-ended:
		return err
	case <-time.After(timeout):
		n.addViolation("process killed, it had not ended %v after SIGTERM; %s", n.KillAfter, lastLines(n.Process.Log()))
		_ = n.Process.Signal(syscall.SIGKILL)
		<-ended
		return nil // the error would only report the kill
	}
}

// Kill kills the process and starts a new one.
func (n *Node) Kill() {
	n.transition.Lock()
	defer n.transition.Unlock()
	n.mu.Lock()
	n.kills = append(n.kills, time.Now())
	n.mu.Unlock()
	if err := n.Process.Kill(); err != nil {
		n.addViolation("killing the process: %v", err)
	}
	n.restart()
}

func (n *Node) restart() {
	if err := n.Process.Start(); err != nil {
		n.addViolation("starting the process: %v", err)
	}
}

// Pause stops the process for the given time, or for at most maxPauseAtTransition if it is starting or ending.
func (n *Node) Pause(duration time.Duration) {
	if n.transition.TryLock() {
		defer n.transition.Unlock()
	} else {
		duration = min(duration, maxPauseAtTransition)
	}
	n.mu.Lock()
	index := len(n.pauses)
	n.pauses = append(n.pauses, Span{From: time.Now()})
	n.mu.Unlock()
	_ = n.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = n.Process.Signal(syscall.SIGCONT)
	n.mu.Lock()
	n.pauses[index].To = time.Now()
	n.mu.Unlock()
}

// reconfigure changes the addresses of the processor and the upstream by a reload. The old addresses immediately accept no new
// connections; connections to them are closed after reconfigureOverlap.
func (n *Node) reconfigure() {
	n.transition.Lock()
	processorProxy := n.processorProxy
	upstreamProxy := n.upstreamProxy
	err := n.newProxies()
	if err == nil {
		err = n.Process.ReloadConfig()
	}
	n.transition.Unlock()
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.addViolation("reconfiguring the process: %v", err)
	}
	processorProxy.StopAccepting()
	upstreamProxy.StopAccepting()
	time.Sleep(reconfigureOverlap)
	processorProxy.Close()
	upstreamProxy.Close()
}

// lastLines returns the last lines of a log, joined into one line.
func lastLines(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-loggedLines):], " | ")
}
