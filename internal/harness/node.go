package harness

import (
	"errors"
	"fmt"
	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Node is a real process with its processor, its next tier and the ways between them, all of which may fail; it is started anew under its name
// and address whenever it ends.
type Node struct {
	Name      string
	Process   *Process
	Processor *fake.Processor
	Upstream  *fake.Upstream
	EdgeProxy *faultproxy.Proxy // the way of edge nodes that fails
	link      *faultproxy.Proxy // to the processor
	calls     *faultproxy.Proxy // to the next tier
	KillAfter time.Duration

	life sync.Mutex // held while the process starts, ends or moves

	mu         sync.Mutex
	faults     map[string]bool // lines for the process
	notified   []Drain
	killed     []time.Time
	pauses     []Span
	violations []string // what broke a rule by itself: a process that did not end in time, or not well
}

// Span is a time from one moment to another; a zero To has not come.
type Span struct{ From, To time.Time }

// Drain is a drain of a node's process.
type Drain struct {
	NotifiedAt time.Time
	EndedAt    time.Time
}

// NewNode prepares one; its process is not started.
func NewNode(name, binary, dir string, cores float64, work func(uint64, string) time.Duration, seed uint64) (*Node, error) {
	n := &Node{Name: name, faults: map[string]bool{}}
	var err error
	if n.Processor, err = fake.NewProcessor(cores, work); err != nil {
		return nil, err
	}
	if n.Upstream, err = fake.NewUpstream(seed); err != nil {
		return nil, err
	}
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	n.Process = &Process{Binary: binary, Dir: dir, Name: name, Listen: listen, ProcessorCores: int(cores)}
	if n.EdgeProxy, err = faultproxy.NewProxy(listen); err != nil {
		return nil, err
	}
	return n, n.ways()
}

// ways lays new ways to the processor and the next tier. Old ones are closed by who is told to.
func (n *Node) ways() (err error) {
	if n.link, err = faultproxy.NewProxy(n.Processor.Address()); err != nil {
		return err
	}
	if n.calls, err = faultproxy.NewProxy(n.Upstream.Address()); err != nil {
		return err
	}
	n.Process.Processor, n.Process.Upstream = n.link.Address(), n.calls.Address()
	return nil
}

// Close ends all of it.
func (n *Node) Close() {
	n.life.Lock()
	defer n.life.Unlock()
	_ = n.Process.Signal(syscall.SIGCONT)
	_ = n.Process.Kill()
	n.Processor.Close()
	n.Upstream.Close()
	n.EdgeProxy.Close()
	n.link.Close()
	n.calls.Close()
}

// Start starts its process.
func (n *Node) Start() error {
	n.life.Lock()
	defer n.life.Unlock()
	return n.Process.Start()
}

func (n *Node) addViolation(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.violations = append(n.violations, n.Name+": "+fmt.Sprintf(format, args...))
}

// Violations tells what broke a rule by itself.
func (n *Node) Violations() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.violations...)
}

// Drains gives its drains.
func (n *Node) Drains() []Drain {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Drain(nil), n.notified...)
}

// KilledSince tells whether its process was killed since then: what it held is nobody's duty.
func (n *Node) KilledSince(then time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, at := range n.killed {
		if at.After(then) {
			return "the node was killed"
		}
	}
	return ""
}

// Paused is for how long its process stood still between two moments.
func (n *Node) Paused(from, to time.Time) (sum time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pauses {
		end := p.To
		if end.IsZero() || end.After(to) {
			end = to
		}
		start := p.From
		if start.Before(from) {
			start = from
		}
		sum += max(0, end.Sub(start))
	}
	return sum
}

// Drain gives the notice, waits for the end of the process, which has to come by itself and in time, and starts the next.
func (n *Node) Drain(next bool) {
	n.life.Lock()
	defer n.life.Unlock()
	at := time.Now()
	if err := n.Process.Signal(syscall.SIGTERM); err != nil {
		n.addViolation("it was gone before its notice: %v; %s", err, last(n.Process.Log()))
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Process.Wait() }()
	var err error
	select {
	case err = <-ended:
	case <-time.After(n.KillAfter + n.Paused(at, at.Add(n.KillAfter))):
		n.addViolation("killed %v after its notice; %s", n.KillAfter, last(n.Process.Log()))
		_ = n.Process.Signal(syscall.SIGKILL)
		<-ended
	}
	if err != nil {
		n.addViolation("it ended badly: %v; %s", err, last(n.Process.Log()))
	}
	n.mu.Lock()
	n.notified = append(n.notified, Drain{at, time.Now()})
	n.mu.Unlock()
	if next {
		n.again()
	}
}

// Kill kills the process and its processor's work, and starts the next.
func (n *Node) Kill() {
	n.life.Lock()
	defer n.life.Unlock()
	n.mu.Lock()
	n.killed = append(n.killed, time.Now())
	n.mu.Unlock()
	if err := n.Process.Kill(); err != nil {
		n.addViolation("not killed: %v", err)
	}
	n.again()
}

func (n *Node) again() {
	if err := n.Process.Start(); err != nil {
		n.addViolation("it does not start: %v", err)
	}
}

// Pause stops the process for a while.
func (n *Node) Pause(d time.Duration) {
	if !n.life.TryLock() { // it is starting or ending: a machine holds threads for so long at any line
		d = min(d, 100*time.Millisecond)
	} else {
		defer n.life.Unlock()
	}
	n.mu.Lock()
	n.pauses = append(n.pauses, Span{From: time.Now()})
	i := len(n.pauses) - 1
	n.mu.Unlock()
	_ = n.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = n.Process.Signal(syscall.SIGCONT)
	n.mu.Lock()
	n.pauses[i].To = time.Now()
	n.mu.Unlock()
}

// fail has a fault of the process be there for a while.
func (n *Node) fail(line string, d time.Duration) {
	set := func(on bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if delete(n.faults, line); on {
			n.faults[line] = true
		}
		var lines []string
		for l := range n.faults {
			lines = append(lines, l)
		}
		_ = n.Process.InjectFaults(lines...)
	}
	set(true)
	time.Sleep(d)
	set(false)
}

// files has the process run out of descriptors for a while.
func (n *Node) files(d time.Duration) {
	n.life.Lock()
	pid := n.Process.PID()
	n.life.Unlock()
	var before unix.Rlimit
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil || unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before) != nil {
		return // it has just ended
	}
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(max(3, len(open)-1)), Max: before.Max}, nil)
	time.Sleep(d)
	before.Cur = before.Max // as a Go program has it; another fault like this one may have begun before
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil)
}

// move gives the process other addresses of its processor and next tier; the old ones take nothing new, and are closed after a while.
func (n *Node) move() {
	n.life.Lock()
	link, calls := n.link, n.calls
	err := n.ways()
	if err == nil {
		err = n.Process.ReloadConfig()
	}
	n.life.Unlock()
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.addViolation("not moved: %v", err)
	}
	link.StopAccepting()
	calls.StopAccepting()
	time.Sleep(1500 * time.Millisecond)
	link.Close()
	calls.Close()
}

// Inject has a fault happen to the node, and returns when it is over.
func (n *Node) Inject(f PlannedFault) {
	n.life.Lock()
	link := n.link
	n.life.Unlock()
	switch f.Kind {
	case FaultDrain:
		n.Drain(true)
	case FaultKill:
		n.Kill()
	case FaultPause:
		n.Pause(f.For)
	case FaultClock:
		n.fail("clock "+f.Clock.String(), f.For)
	case FaultSyscall:
		n.fail(f.Call, f.For)
	case FaultDescriptors:
		n.files(f.For)
	case FaultLinkReset:
		link.Reset()
	case FaultLinkStall:
		link.Stall(true)
		time.Sleep(f.For)
		link.Stall(false)
	case FaultEdgeReset:
		n.EdgeProxy.Reset()
	case FaultEdgeDelay:
		n.EdgeProxy.Delay(f.For / 20)
		time.Sleep(f.For)
		n.EdgeProxy.Delay(0)
	case FaultEdgeStall:
		n.EdgeProxy.Stall(true)
		time.Sleep(f.For)
		n.EdgeProxy.Stall(false)
	case FaultUpstream:
		n.Upstream.SetFailureShare(0.3)
		time.Sleep(f.For)
		n.Upstream.SetFailureShare(0)
	case FaultReconfigure:
		n.move()
	}
}

// last is the end of a log.
func last(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-4):], " | ")
}
