package harness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault of a node, its network or the processes that it communicates with.
type FaultKind uint8

// The kinds of faults.
const (
	FaultDrain       FaultKind = iota // SIGTERM, then a restart
	FaultKill                         // SIGKILL, then a restart
	FaultPause                        // SIGSTOP, then SIGCONT
	FaultClock                        // the wall clock is offset
	FaultSyscall                      // system calls fail
	FaultDescriptors                  // no file descriptor is free
	FaultLinkReset                    // the connection to the processor is reset
	FaultLinkStall                    // the connection to the processor forwards no data
	FaultEdgeReset                    // the connections of edge nodes are reset
	FaultEdgeDelay                    // the connections of edge nodes delay data
	FaultEdgeStall                    // the connections of edge nodes forward no data
	FaultUpstream                     // replies of the upstream fail
	FaultReconfigure                  // a reload changes the addresses of the processor and the upstream
	faultKindCount                    // number of kinds
)

var faultKindNames = [...]string{
	FaultDrain:       "drain",
	FaultKill:        "kill",
	FaultPause:       "pause",
	FaultClock:       "clock",
	FaultSyscall:     "syscall",
	FaultDescriptors: "descriptors",
	FaultLinkReset:   "link reset",
	FaultLinkStall:   "link stall",
	FaultEdgeReset:   "edge reset",
	FaultEdgeDelay:   "edge delay",
	FaultEdgeStall:   "edge stall",
	FaultUpstream:    "upstream",
	FaultReconfigure: "reconfigure",
}

// String returns the kind's name.
func (k FaultKind) String() string { return faultKindNames[k] }

// PlannedFault is one fault of a plan.
type PlannedFault struct {
	At          time.Duration // since the start of the test
	Duration    time.Duration // duration; 0 if the fault is instantaneous
	Node        int
	Kind        FaultKind
	ClockOffset time.Duration // clock offset of FaultClock
	Syscall     string        // system call and error of FaultSyscall, in the fault file syntax of builds with the tag faults
}

// String describes the fault in one line.
func (f PlannedFault) String() string {
	return fmt.Sprintf("%v +%v node %d %v %v%s", f.At, f.Duration, f.Node, f.Kind, f.ClockOffset, f.Syscall)
}

// drainShare is the share of faults that are replaced by drains, because most of the rules under test concern drains.
const drainShare = 0.25

// syscallFaults are the system call failures from which FaultSyscall is drawn.
var syscallFaults = []string{
	"write ENOBUFS",
	"write ENOMEM",
	"accept EMFILE",
	"accept ENOMEM",
	"connect ENOBUFS",
	"send ENOBUFS",
	"read EIO",
}

// clockOffsets are the offsets from which FaultClock is drawn.
var clockOffsets = []time.Duration{
	-time.Hour,
	-2 * time.Second,
	-300 * time.Millisecond,
	300 * time.Millisecond,
	2 * time.Second,
	time.Hour,
}

// PlanFaults draws the given number of faults per node at random times within the length of a test, so that faults overlap. It returns
// them in order of time. Equal seeds produce equal plans.
func PlanFaults(seed uint64, nodes int, length time.Duration, perNode int) []PlannedFault {
	random := rand.New(rand.NewPCG(seed, 35))
	var plan []PlannedFault
	for node := range nodes {
		for range perNode {
			plan = append(plan, drawFault(random, node, length))
		}
	}
	slices.SortStableFunc(plan, func(x, y PlannedFault) int { return int(x.At - y.At) })
	return plan
}

func drawFault(random *rand.Rand, node int, length time.Duration) PlannedFault {
	fault := PlannedFault{
		At:   time.Duration(random.Float64() * float64(length)),
		Node: node,
		Kind: FaultKind(random.IntN(int(faultKindCount))),
	}
	if random.Float64() < drainShare {
		fault.Kind = FaultDrain
	}
	fault.Duration = time.Duration((0.05 + random.Float64()) * float64(time.Second))
	switch fault.Kind {
	case FaultDrain, FaultKill, FaultLinkReset, FaultEdgeReset, FaultReconfigure:
		fault.Duration = 0
	case FaultClock:
		fault.ClockOffset = clockOffsets[random.IntN(len(clockOffsets))]
	case FaultSyscall:
		fault.Syscall = syscallFaults[random.IntN(len(syscallFaults))]
	case FaultEdgeDelay:
		fault.Duration *= 2
	case FaultPause:
		fault.Duration /= 2
	}
	return fault
}
