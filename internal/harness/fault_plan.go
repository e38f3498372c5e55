package harness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault of a node or of what it talks to.
type FaultKind uint8

// The kinds.
const (
	FaultDrain       FaultKind = iota // SIGTERM, and a new process after its end
	FaultKill                         // SIGKILL, and a new process
	FaultPause                        // SIGSTOP for a while
	FaultClock                        // its time of day is wrong for a while
	FaultSyscall                      // a call of the system fails for a while
	FaultDescriptors                  // it runs out of descriptors for a while
	FaultLinkReset                    // its link to the processor breaks
	FaultLinkStall                    // and carries nothing for a while
	FaultEdgeReset                    // connections of edge nodes break
	FaultEdgeDelay                    // and are slow for a while
	FaultEdgeStall                    // and carry nothing for a while
	FaultUpstream                     // replies of the next tier fail for a while
	FaultReconfigure                  // a new configuration: processor and next tier are elsewhere
	faultKinds
)

// String is the kind's word.
func (k FaultKind) String() string {
	return [...]string{
		"drain", "kill", "pause", "clock", "call", "files", "link reset", "link stall", "edge reset", "edge delay", "edge stall",
		"tier", "move",
	}[k]
}

// PlannedFault is one of a plan.
type PlannedFault struct {
	At    time.Duration // since the start of the play
	For   time.Duration // until it is over; 0 for one that is a moment
	Node  int
	Kind  FaultKind
	Clock time.Duration // FaultClock: by so much
	Call  string        // FaultCall: which and how, as the faults build reads it
}

// String tells of it in one line.
func (f PlannedFault) String() string {
	return fmt.Sprintf("%v +%v node %d %v %v%s", f.At, f.For, f.Node, f.Kind, f.Clock, f.Call)
}

// PlanFaults gives the faults of a play by its seed: so many a node, spread over its length, so that they overlap.
func PlanFaults(seed uint64, nodes int, length time.Duration, each int) []PlannedFault {
	r := rand.New(rand.NewPCG(seed, 35))
	calls := []string{"write ENOBUFS", "write ENOMEM", "accept EMFILE", "accept ENOMEM", "connect ENOBUFS", "send ENOBUFS", "read EIO"}
	clocks := []time.Duration{-time.Hour, -2 * time.Second, -300 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, time.Hour}
	var plan []PlannedFault
	for node := range nodes {
		for range each {
			f := PlannedFault{At: time.Duration(r.Float64() * float64(length)), Node: node, Kind: FaultKind(r.IntN(int(faultKinds)))}
			if r.Float64() < 0.25 { // the faults that the rules are about come most
				f.Kind = FaultDrain
			}
			f.For = time.Duration((0.05 + r.Float64()) * float64(time.Second))
			switch f.Kind {
			case FaultDrain, FaultKill, FaultLinkReset, FaultEdgeReset, FaultReconfigure:
				f.For = 0
			case FaultClock:
				f.Clock = clocks[r.IntN(len(clocks))]
			case FaultSyscall:
				f.Call = calls[r.IntN(len(calls))]
			case FaultEdgeDelay:
				f.For *= 2
			case FaultPause:
				f.For /= 2
			}
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(x, y PlannedFault) int { return int(x.At - y.At) })
	return plan
}
