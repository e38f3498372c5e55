package overload

// admissionMemoryShare is the share of the memory that admission may fill. The rest is for requests that are being
// read.
const admissionMemoryShare = 0.93

// memoryAccount tracks the memory of requests and of the idempotency table. It follows the wanted states, because
// rules apply to the situation after the actions of the batch have been executed.
type memoryAccount struct {
	totalKB       float64
	keySizeKB     float64            // size of one entry in the idempotency table
	runFactor     float64            // memory of a running request as a multiple of its queued size
	factorByState [numStates]float64 // memory of a request as a multiple of its queued size, by state
	usedKB        float64
}

func newMemoryAccount(totalKB, runFactor, keySizeKB float64) memoryAccount {
	return memoryAccount{
		totalKB:   totalKB,
		keySizeKB: keySizeKB,
		runFactor: runFactor,
		factorByState: [numStates]float64{
			stateQueued:       1,
			stateCoalesced:    1,
			stateRunning:      runFactor,
			stateAwaitingCall: runFactor,
			stateCalling:      runFactor,
		},
	}
}

// usageOf returns the memory of a request in the given state, in kilobytes.
func (m *memoryAccount) usageOf(r *request, state requestState) float64 {
	return r.sizeKB * m.factorByState[state]
}

// wouldExceed reports whether additionalKB more would exceed the memory that admission may fill.
func (m *memoryAccount) wouldExceed(additionalKB float64) bool {
	return m.usedKB+additionalKB > admissionMemoryShare*m.totalKB
}

// underThreshold reports whether usage, with additionalKB more, is below the threshold of node duress.
func (m *memoryAccount) underThreshold(additionalKB float64) bool {
	return m.usedKB+additionalKB < memoryThreshold*m.totalKB
}
