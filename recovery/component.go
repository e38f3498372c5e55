package recovery

// Trust is what a restarted node does with a piece of state from before the restart.
type Trust uint8

// The ways to treat such state.
const (
	Trusted   Trust = iota + 1 // used as it is
	Checked                    // compared with what peers know
	Discarded                  // discarded, and learnt anew
)

// trustNames are printed by the recovery subcommand: they stay as they are.
var trustNames = [...]string{
	Trusted:   "trusted",
	Checked:   "checked",
	Discarded: "thrown away",
}

// String returns the name of the treatment.
func (t Trust) String() string { return trustNames[t] }

// Component is one piece of state that a node may have from before a restart.
type Component struct {
	Name   string
	Trust  Trust
	Reason string // why it is treated so
	Risk   string // what goes wrong if it were trusted without a check, or what may still go wrong
}

// Components is the trust table: each piece of state and how it is treated. The recovery subcommand prints it word for word, so the texts stay
// as they are. It must not be modified.
//
// Terms of the texts: prints are Bloom filters of expired keys; a life is an incarnation; a box is a node; in doubt means that the outcome
// is unknown.
var Components = []Component{
	{
		Name:   "results and failures on the disk",
		Trust:  Trusted,
		Reason: "checksums, and numbers without a gap",
		Risk:   "none: what ran stays so",
	},
	{
		Name:   "intents without an end",
		Trust:  Trusted,
		Reason: "they say that a run may have begun",
		Risk:   "none: in doubt until somebody knows the end",
	},
	{
		Name:   "prints of what has aged",
		Trust:  Trusted,
		Reason: "checksums",
		Risk:   "none: a false hit costs an errored answer",
	},
	{
		Name:   "that there is no more than these",
		Trust:  Checked,
		Reason: "an older copy, a lost last second or an empty disk is whole too",
		Risk:   "what ran there would run again",
	},
	{
		Name:   "the number of this life",
		Trust:  Checked,
		Reason: "an older disk counts lives anew",
		Risk:   "others would take its messages for those of an earlier life",
	},
	{
		Name:   "the lists of members",
		Trust:  Trusted,
		Reason: "on the disk before they are acted on; others hear by which lists a box goes",
		Risk:   "refusals, where others go by none of them",
	},
	{
		Name:   "what is remembered of others",
		Trust:  Trusted,
		Reason: "only ever the highest that they told",
		Risk:   "too low a number: a loss of the last second is not found",
	},
	{
		Name:   "which boxes are there",
		Trust:  Discarded,
		Reason: "all may have changed",
		Risk:   "wrong guesses, for a moment",
	},
	{
		Name:   "notes of what others hold and have not begun",
		Trust:  Discarded,
		Reason: "grants are not on the disk; who begins under a forgotten one is refused",
		Risk:   "none",
	},
	{
		Name:   "what the module learnt",
		Trust:  Discarded,
		Reason: "the processor is cold, the load another",
		Risk:   "limits of another day",
	},
	{
		Name:   "ejected peers of the next tier",
		Trust:  Discarded,
		Reason: "they may be well",
		Risk:   "one more try",
	},
	{
		Name:   "figures",
		Trust:  Trusted,
		Reason: "checksums; the last moment is in doubt, by id",
		Risk:   "none",
	},
	{
		Name:   "the clock",
		Trust:  Checked,
		Reason: "the store's time never goes back",
		Risk:   "a clock that is behind: results age later, never earlier",
	},
}
