package recovery

// Phase is the phase of a node's recovery. See Node for the transitions.
type Phase uint8

// The phases. Each phase permits everything that the phases before it permit.
const (
	Cold     Phase = iota // the process has started and has not read the store
	Loading               // the process is reading the store
	Querying              // the store is loaded; the node queries its peers to find out whether the store is complete
	Degraded              // history is lost or may be lost: keys that are not in the store have unknown outcomes
	Serving               // the node trusts the store
)

// phaseNames are written to logs and operators' reports, and must not change.
var phaseNames = [...]string{
	Cold:     "cold",
	Loading:  "reading",
	Querying: "asking",
	Degraded: "serving in part",
	Serving:  "serving",
}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[min(p, Serving)] }

// maxFailedLoads is the number of consecutive crashes while loading the store after which the store is quarantined.
const maxFailedLoads = 3

// ShouldQuarantine reports whether a node should move its store aside and start with an empty one instead of risking another crash. tries
// is the number of consecutive starts that crashed while loading the store. If the crashes had another cause, the outcomes of earlier
// requests are needlessly unknown for one retry horizon.
func ShouldQuarantine(tries int) bool { return tries >= maxFailedLoads }
