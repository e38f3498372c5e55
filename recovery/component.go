package recovery

// Trust is how a restarted node treats a component of its state from before the restart.
type Trust uint8

// The degrees of trust.
const (
	Trusted   Trust = iota + 1 // used without a check
	Checked                    // compared with the records of peers
	Discarded                  // discarded and rebuilt
)

// trustNames are printed by the recovery subcommand, and must not change.
var trustNames = [...]string{
	Trusted:   "trusted",
	Checked:   "checked",
	Discarded: "thrown away",
}

// String returns the name of the degree of trust.
func (t Trust) String() string { return trustNames[t] }

// Component is one component of the state that a node may have from before a restart.
type Component struct {
	Name   string
	Trust  Trust
	Reason string // why this degree of trust applies
	Risk   string // the failure that trust without a check would cause, or the failure that remains possible
}

// Components lists each component with its degree of trust. The recovery subcommand prints the table for operators. Callers must not modify
// it.
var Components = []Component{
	{
		Name:   "stored results and failures",
		Trust:  Trusted,
		Reason: "checksums and gapless sequence numbers",
		Risk:   "none: a completed run stays completed",
	},
	{
		Name:   "intents without an outcome",
		Trust:  Trusted,
		Reason: "they prove that a run may have started",
		Risk:   "none: the outcome is unknown until another node reports it",
	},
	{
		Name:   "fingerprints of expired keys",
		Trust:  Trusted,
		Reason: "checksums",
		Risk:   "none: a false positive causes one error response",
	},
	{
		Name:   "completeness of the stored records",
		Trust:  Checked,
		Reason: "an older copy, a disk without its last second of writes or an empty disk also passes the checksums",
		Risk:   "requests whose records are missing would run again",
	},
	{
		Name:   "number of this incarnation",
		Trust:  Checked,
		Reason: "an older disk reuses incarnation numbers",
		Risk:   "other nodes would treat its messages as those of an earlier incarnation",
	},
	{
		Name:   "member lists",
		Trust:  Trusted,
		Reason: "written to disk before use; each node reports to the others which lists it uses",
		Risk:   "rejected requests if the other nodes use none of these lists",
	},
	{
		Name:   "recorded states of other nodes",
		Trust:  Trusted,
		Reason: "only the highest state that each node has reported is kept",
		Risk:   "a recorded state that is too low: the loss of the last second of writes is not detected",
	},
	{
		Name:   "which nodes are alive",
		Trust:  Discarded,
		Reason: "any of it may have changed",
		Risk:   "wrong node states for a short time",
	},
	{
		Name:   "reservations of other nodes for runs that have not started",
		Trust:  Discarded,
		Reason: "grants are not stored; a node that starts a run under a lost grant is rejected",
		Risk:   "none",
	},
	{
		Name:   "limits learned by the overload controller",
		Trust:  Discarded,
		Reason: "the processor is cold and the load has changed",
		Risk:   "limits that do not fit the current load",
	},
	{
		Name:   "ejected peers of the next tier",
		Trust:  Discarded,
		Reason: "they may have recovered",
		Risk:   "one more failed attempt",
	},
	{
		Name:   "figures",
		Trust:  Trusted,
		Reason: "checksums; requests open at the last moment are listed by id as in doubt",
		Risk:   "none",
	},
	{
		Name:   "the clock",
		Trust:  Checked,
		Reason: "the time of the store never goes back",
		Risk:   "a clock that is behind: results expire later, never earlier",
	},
}
