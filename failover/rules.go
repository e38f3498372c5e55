package failover

// safetyRule names a rule of the protocol that tests can switch off.
//
// The simulation searches for schedules that break the guarantees. A search
// that finds nothing proves little unless it is known to find faults, so the
// tests disable each rule in turn and require that the simulation notices
// (mutation testing).
type safetyRule uint8

const (
	// ruleStartQuorum: run only when a majority has recorded the start.
	ruleStartQuorum safetyRule = iota + 1
	// ruleStartBallot: record a start only under the ballot granted last.
	ruleStartBallot
	// ruleNoGrantAfterStart: grant no key whose start is recorded.
	ruleNoGrantAfterStart
	// ruleDurableStart: confirm a start only when it is on the disk.
	ruleDurableStart
	// rulePreviousGroup: while the members change, ask the group of the
	// previous list as well.
	rulePreviousGroup
	// ruleRetryHorizon: end a change of members only when all nodes have used
	// both lists for as long as anything may be asked for again.
	ruleRetryHorizon
	// ruleFencing: votes that a node cast before it lost its records don't
	// count beside those of the peers that restored it.
	ruleFencing
	// ruleCompleteSource: a node that has lost records itself doesn't
	// count as having transferred everything to another.
	ruleCompleteSource
	// ruleTransferInFlight: requests in flight are transferred as well.
	ruleTransferInFlight
	// ruleTransferExpired: fingerprints of expired keys are transferred as
	// well.
	ruleTransferExpired
	// ruleAllGroupPeers: a key's history is complete only when all other
	// members of its group have transferred theirs.
	ruleAllGroupPeers
)

// disabledRule is the rule that is switched off; zero outside tests.
var disabledRule safetyRule
