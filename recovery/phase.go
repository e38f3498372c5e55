package recovery

// Phase is how far a node has come on its way back. See Node for the transitions.
type Phase uint8

// The phases. A later one allows all that an earlier one does.
const (
	Cold     Phase = iota // the process runs and has read nothing
	Loading               // the store is being read
	Querying              // the store is read; peers are asked whether it is complete
	Degraded              // history is lost, or may be: keys that are not in the store have unknown outcomes
	Serving               // the store is trusted
)

// phaseNames are read in logs and reports of operators: they stay as they are.
var phaseNames = [...]string{
	Cold:     "cold",
	Loading:  "reading",
	Querying: "asking",
	Degraded: "serving in part",
	Serving:  "serving",
}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[min(p, Serving)] }

// maxFailedLoads is the number of starts in a row that may die while the store is read.
const maxFailedLoads = 3

// ShouldQuarantine reports whether a node whose last starts died while they read the store, so many in a row, should set the store aside and
// begin with an empty one rather than die once more. If the deaths had another cause, that costs a retry horizon in which outcomes of
// earlier work are unknown.
func ShouldQuarantine(tries int) bool { return tries >= maxFailedLoads }
