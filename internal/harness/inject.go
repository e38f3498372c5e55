package harness

import (
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// upstreamFailureShare is the share of upstream replies that fail during FaultUpstream.
	upstreamFailureShare = 0.3
	// edgeDelayDivisor is the ratio of the duration of FaultEdgeDelay to the delay that it injects.
	edgeDelayDivisor = 20
	// minDescriptors is the lowest descriptor limit that is set: it leaves the standard streams open.
	minDescriptors = 3
)

// Inject injects a fault and returns when it has ended.
func (n *Node) Inject(fault PlannedFault) {
	switch fault.Kind {
	case FaultDrain:
		n.Drain(true)
	case FaultKill:
		n.Kill()
	case FaultPause:
		n.Pause(fault.Duration)
	case FaultClock:
		n.injectProcessFault("clock "+fault.ClockOffset.String(), fault.Duration)
	case FaultSyscall:
		n.injectProcessFault(fault.Syscall, fault.Duration)
	case FaultDescriptors:
		n.exhaustDescriptors(fault.Duration)
	case FaultUpstream:
		n.Upstream.SetFailureShare(upstreamFailureShare)
		time.Sleep(fault.Duration)
		n.Upstream.SetFailureShare(0)
	case FaultReconfigure:
		n.reconfigure()
	default:
		n.injectNetworkFault(fault)
	}
}

// injectNetworkFault injects a fault into the proxy between the node and its processor or its edge nodes.
func (n *Node) injectNetworkFault(fault PlannedFault) {
	n.transition.Lock()
	processorProxy := n.processorProxy
	n.transition.Unlock()
	switch fault.Kind {
	case FaultLinkReset:
		processorProxy.Reset()
	case FaultLinkStall:
		processorProxy.Stall(true)
		time.Sleep(fault.Duration)
		processorProxy.Stall(false)
	case FaultEdgeReset:
		n.EdgeProxy.Reset()
	case FaultEdgeDelay:
		n.EdgeProxy.Delay(fault.Duration / edgeDelayDivisor)
		time.Sleep(fault.Duration)
		n.EdgeProxy.Delay(0)
	case FaultEdgeStall:
		n.EdgeProxy.Stall(true)
		time.Sleep(fault.Duration)
		n.EdgeProxy.Stall(false)
	}
}

// injectProcessFault adds a line to the process's fault file and removes it after the given time.
func (n *Node) injectProcessFault(line string, duration time.Duration) {
	n.setProcessFault(line, true)
	time.Sleep(duration)
	n.setProcessFault(line, false)
}

func (n *Node) setProcessFault(line string, active bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if active {
		n.faults[line] = true
	} else {
		delete(n.faults, line)
	}
	var lines []string
	for fault := range n.faults {
		lines = append(lines, fault)
	}
	_ = n.Process.InjectFaults(lines...)
}

// exhaustDescriptors limits the process's file descriptors to fewer than are open, for the given time.
func (n *Node) exhaustDescriptors(duration time.Duration) {
	n.transition.Lock()
	pid := n.Process.PID()
	n.transition.Unlock()
	var limit unix.Rlimit
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil || unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit) != nil {
		return // the process has just ended
	}
	exhausted := unix.Rlimit{Cur: uint64(max(minDescriptors, len(open)-1)), Max: limit.Max}
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &exhausted, nil)
	time.Sleep(duration)
	limit.Cur = limit.Max // the value that the Go runtime sets; the limit read above may come from an overlapping fault
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}
