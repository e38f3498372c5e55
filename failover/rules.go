package failover

// safetyRule identifies a rule of the protocol that tests can disable.
//
// The simulation searches for schedules that violate the guarantees. A search
// without findings proves little unless the simulation is known to detect
// faults. The tests therefore disable each rule in turn and require that the
// simulation finds a violation (mutation testing).
type safetyRule uint8

const (
	// ruleStartQuorum: a request runs only when a majority has recorded its
	// start.
	ruleStartQuorum safetyRule = iota + 1
	// ruleStartBallot: a member records a start only under the ballot that it
	// granted last.
	ruleStartBallot
	// ruleNoGrantAfterStart: a member does not grant a key whose start it has
	// recorded.
	ruleNoGrantAfterStart
	// ruleDurableStart: a member confirms a start only when the record is on
	// disk.
	ruleDurableStart
	// rulePreviousGroup: during a membership change, a majority of the group of
	// the previous list is required as well.
	rulePreviousGroup
	// ruleRetryHorizon: a membership change ends only when all nodes have used
	// both lists for as long as any request may be retried.
	ruleRetryHorizon
	// ruleFencing: votes that a node cast before it lost its records are not
	// counted together with the votes of the peers that restored it.
	ruleFencing
	// ruleCompleteSource: a transfer from a node that has lost records itself
	// does not count as complete.
	ruleCompleteSource
	// ruleTransferInFlight: a transfer includes requests in flight.
	ruleTransferInFlight
	// ruleTransferExpired: a transfer includes the fingerprints of expired
	// keys.
	ruleTransferExpired
	// ruleAllGroupPeers: the history of a key is complete only when all other
	// members of its group have transferred their records.
	ruleAllGroupPeers
)

// disabledRule is the rule that is disabled; zero outside tests.
var disabledRule safetyRule
