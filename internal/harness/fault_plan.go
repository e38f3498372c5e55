package harness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault of a node or of what it communicates with.
type FaultKind uint8

// The kinds of faults.
const (
	FaultDrain       FaultKind = iota // SIGTERM, then a new process
	FaultKill                         // SIGKILL, then a new process
	FaultPause                        // SIGSTOP, then SIGCONT
	FaultClock                        // the wall clock is wrong
	FaultSyscall                      // a system call fails
	FaultDescriptors                  // no file descriptor is free
	FaultLinkReset                    // the connection to the processor is reset
	FaultLinkStall                    // the connection to the processor carries nothing
	FaultEdgeReset                    // the connections of edge nodes are reset
	FaultEdgeDelay                    // the connections of edge nodes are slow
	FaultEdgeStall                    // the connections of edge nodes carry nothing
	FaultUpstream                     // replies of the upstream fail
	FaultReconfigure                  // a reload that moves the processor and the upstream to other addresses
	faultKinds                        // number of kinds
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
	At    time.Duration // since the start of the test
	For   time.Duration // how long it lasts; 0 if it is momentary
	Node  int
	Kind  FaultKind
	Clock time.Duration // of FaultClock: the clock's offset
	Call  string        // of FaultSyscall: the call and its error, in the syntax of the build tag faults
}

// String describes the fault in one line.
func (f PlannedFault) String() string {
	return fmt.Sprintf("%v +%v node %d %v %v%s", f.At, f.For, f.Node, f.Kind, f.Clock, f.Call)
}

// drainShare is the share of faults made drains whatever was drawn: most rules under test are about drains.
const drainShare = 0.25

// faultCalls are the failures of system calls to draw from.
var faultCalls = []string{
	"write ENOBUFS",
	"write ENOMEM",
	"accept EMFILE",
	"accept ENOMEM",
	"connect ENOBUFS",
	"send ENOBUFS",
	"read EIO",
}

// faultClocks are the clock offsets to draw from.
var faultClocks = []time.Duration{
	-time.Hour,
	-2 * time.Second,
	-300 * time.Millisecond,
	300 * time.Millisecond,
	2 * time.Second,
	time.Hour,
}

// PlanFaults draws the given number of faults per node, spread over the length of a test so that they overlap, in the order of their
// times. Equal seeds give equal plans.
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
		Kind: FaultKind(random.IntN(int(faultKinds))),
	}
	if random.Float64() < drainShare {
		fault.Kind = FaultDrain
	}
	fault.For = time.Duration((0.05 + random.Float64()) * float64(time.Second))
	switch fault.Kind {
	case FaultDrain, FaultKill, FaultLinkReset, FaultEdgeReset, FaultReconfigure:
		fault.For = 0
	case FaultClock:
		fault.Clock = faultClocks[random.IntN(len(faultClocks))]
	case FaultSyscall:
		fault.Call = faultCalls[random.IntN(len(faultCalls))]
	case FaultEdgeDelay:
		fault.For *= 2
	case FaultPause:
		fault.For /= 2
	}
	return fault
}
